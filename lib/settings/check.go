package settings

import (
	"encoding"
	"fmt"
	"net/netip"
	"net/url"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/tomlfile"
)

// walker sets the defaults and checks the limits that the tags of the fields define.
type walker struct {
	root      tomlfile.Node
	dir       string
	mistakes  *tomlfile.Mistakes
	undecoded map[string]bool // paths of the values for which Fill has reported a mistake
}

func (w walker) walk(target any) { w.walkStruct("", reflect.ValueOf(target).Elem()) }

func (w walker) addMistake(path, value, limit, remedy string) {
	if !w.undecoded[path] {
		w.mistakes.Add(w.root.Line(path), problem.Detail{Field: path, Value: value, Limit: limit, Remedy: remedy})
	}
}

func (w walker) walkStruct(prefix string, v reflect.Value) {
	tomlfile.Fields(v.Type(), func(name string, sf reflect.StructField) {
		path := strings.TrimPrefix(prefix+"."+name, ".")
		field := v.FieldByIndex(sf.Index)
		switch {
		case isTable(sf.Type):
			w.walkStruct(path, field)
		case field.Kind() == reflect.Map:
			w.walkMap(path, field)
		default:
			w.walkValue(path, field, sf.Tag)
		}
	})
}

// isTable reports whether a field of type t is a table with fields of its own.
func isTable(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

func (w walker) walkMap(path string, field reflect.Value) {
	for _, key := range field.MapKeys() {
		// A value in a map is not addressable, so a copy is changed and stored.
		item := reflect.New(field.Type().Elem()).Elem()
		item.Set(field.MapIndex(key))
		w.walkStruct(path+"."+key.String(), item)
		field.SetMapIndex(key, item)
	}
}

func (w walker) walkValue(path string, field reflect.Value, tag reflect.StructTag) {
	if field.IsZero() && !w.isSet(path) {
		if text, ok := tag.Lookup("default"); ok {
			setText(field, text)
		} else if tag.Get("required") != "" {
			w.addMistake(path, "", tag.Get("doc"), "add the field")
		}
		return
	}
	if limits, ok := tag.Lookup("range"); ok {
		low, high, _ := strings.Cut(limits, "..")
		if v := numberOf(field); v < numberOf(textValue(field.Type(), low)) || v > numberOf(textValue(field.Type(), high)) {
			w.addMistake(path, formatValue(field), low+" to "+high, "give a value within the limits")
		}
	}
	if names, ok := tag.Lookup("oneof"); ok && !slices.Contains(strings.Fields(names), field.String()) {
		w.addMistake(path, field.String(), strings.Join(strings.Fields(names), " or "), "choose one of these")
	}
	if check, ok := tag.Lookup("check"); ok {
		w.checkText(path, field, check)
	}
}

// isSet reports whether the file contains a value at path.
func (w walker) isSet(path string) bool {
	n, ok := w.root, true
	for name := range strings.SplitSeq(path, ".") {
		if n, ok = n.Get(name); !ok {
			return false
		}
	}
	return true
}

func (w walker) checkText(path string, field reflect.Value, check string) {
	if field.Kind() == reflect.Slice {
		if field.Len() == 0 {
			w.addMistake(path, "", "at least one", "add an entry")
		}
		for i := range field.Len() {
			w.checkText(fmt.Sprintf("%s[%d]", path, i), field.Index(i), check)
		}
		return
	}
	text := field.String()
	switch check {
	case "id":
		if err := id.Check(path, text); err != nil {
			d := problem.As(err).Detail
			w.addMistake(path, d.Value, d.Limit, d.Remedy)
		}
	case "address":
		if _, err := netip.ParseAddrPort(text); err != nil {
			w.addMistake(path, text, "IP address and port", `write it as "10.0.0.1:8080" or "[fd00::1]:8080"`)
		}
	case "url":
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.User != nil {
			w.addMistake(path, "", "an http or https address without a user", `write it as "http://10.0.0.1:8080"`)
		}
	case "file":
		if text != "" && !filepath.IsAbs(text) {
			field.SetString(filepath.Join(w.dir, text))
		}
	}
}

// textValue converts the text of a limit to a value of type t.
func textValue(t reflect.Type, text string) reflect.Value {
	v := reflect.New(t).Elem()
	setText(v, text)
	return v
}

// setText sets v to the value that the text of a tag stands for. It panics if the
// text is invalid for the type of v. Any test that reads settings detects that.
func setText(v reflect.Value, text string) {
	var err error
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		err = u.UnmarshalText([]byte(text))
	} else {
		switch v.Kind() {
		case reflect.String:
			v.SetString(text)
		case reflect.Int:
			var n int64
			n, err = strconv.ParseInt(text, 10, 64)
			v.SetInt(n)
		case reflect.Float64:
			var f float64
			f, err = strconv.ParseFloat(text, 64)
			v.SetFloat(f)
		default:
			err = fmt.Errorf("unsupported type %v", v.Type())
		}
	}
	if err != nil {
		panic(fmt.Sprintf("settings: tag %q: %v", text, err))
	}
}

func numberOf(v reflect.Value) float64 {
	if v.CanInt() {
		return float64(v.Int())
	}
	return v.Float()
}

func formatValue(v reflect.Value) string {
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		if text, err := m.MarshalText(); err == nil {
			return string(text)
		}
	}
	return fmt.Sprint(v.Interface())
}
