package tomlfile

import (
	"encoding"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"

	"bronzewinch.dev/lib/problem"
)

// Fill decodes the table n into the struct that target points to, and adds a mistake
// for each value that can't be decoded. The tag `toml` gives the name of a field.
// Mistakes don't contain the value of a field with the tag `secret`. Field names in
// mistakes are relative to n.
func (n Node) Fill(target any, mistakes *Mistakes) {
	f := filler{root: n, mistakes: mistakes}
	f.fill(n, reflect.ValueOf(target).Elem(), false)
}

type filler struct {
	root     Node
	mistakes *Mistakes
}

func (f filler) fieldName(n Node) string {
	return strings.TrimPrefix(strings.TrimPrefix(n.path, f.root.path), ".")
}

func (f filler) reject(n Node, secret bool, limit string) {
	value := fmt.Sprint(n.value)
	switch n.value.(type) {
	case map[string]any:
		value = "a table"
	case []any:
		value = "an array"
	}
	if secret {
		value = "redacted"
	}
	f.mistakes.Add(n.Line(""), problem.Detail{Field: f.fieldName(n), Value: value, Limit: limit, Remedy: "correct the value"})
}

func (f filler) fill(n Node, target reflect.Value, secret bool) {
	if u, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		f.fillText(n, u, secret)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		f.fillStruct(n, target, secret)
	case reflect.Slice:
		f.fillSlice(n, target, secret)
	case reflect.Map:
		f.fillMap(n, target, secret)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		f.fill(n, target.Elem(), secret)
	default:
		f.fillScalar(n, target, secret)
	}
}

func (f filler) fillText(n Node, target encoding.TextUnmarshaler, secret bool) {
	s, ok := n.value.(string)
	if !ok {
		f.reject(n, secret, "a string")
		return
	}
	if err := target.UnmarshalText([]byte(s)); err != nil {
		f.reject(n, secret, problem.As(err).Limit)
	}
}

func (f filler) fillScalar(n Node, target reflect.Value, secret bool) {
	switch target.Kind() {
	case reflect.String:
		if s, ok := n.value.(string); ok {
			target.SetString(s)
			return
		}
		f.reject(n, secret, "a string")
	case reflect.Bool:
		if b, ok := n.value.(bool); ok {
			target.SetBool(b)
			return
		}
		f.reject(n, secret, "true or false")
	case reflect.Int, reflect.Int64:
		if i, ok := n.value.(int64); ok && !target.OverflowInt(i) {
			target.SetInt(i)
			return
		}
		f.reject(n, secret, "a whole number")
	case reflect.Uint64:
		if i, ok := n.value.(int64); ok && i >= 0 {
			target.SetUint(uint64(i))
			return
		}
		f.reject(n, secret, "a whole number, 0 or more")
	case reflect.Float64:
		switch v := n.value.(type) {
		case int64:
			target.SetFloat(float64(v))
			return
		case float64:
			if !math.IsNaN(v) && !math.IsInf(v, 0) {
				target.SetFloat(v)
				return
			}
		}
		f.reject(n, secret, "a number")
	default:
		panic(fmt.Sprintf("tomlfile: field %s has the unsupported type %v", n.path, target.Type()))
	}
}

func (f filler) fillSlice(n Node, target reflect.Value, secret bool) {
	items, ok := n.Items()
	if !ok {
		f.reject(n, secret, "an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(items), len(items)))
	for i, item := range items {
		f.fill(item, target.Index(i), secret)
	}
}

func (f filler) fillMap(n Node, target reflect.Value, secret bool) {
	if _, ok := n.value.(map[string]any); !ok {
		f.reject(n, secret, "a table")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for _, name := range n.Names() {
		item, _ := n.Get(name)
		v := reflect.New(target.Type().Elem()).Elem()
		f.fill(item, v, secret)
		target.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), v)
	}
}

func (f filler) fillStruct(n Node, target reflect.Value, secret bool) {
	if _, ok := n.value.(map[string]any); !ok {
		f.reject(n, secret, "a table")
		return
	}
	fields := make(map[string]reflect.StructField)
	Fields(target.Type(), func(name string, sf reflect.StructField) { fields[name] = sf })
	for _, name := range n.Names() {
		item, _ := n.Get(name)
		sf, ok := fields[name]
		if !ok {
			f.mistakes.Add(item.Line(""), problem.Detail{Field: f.fieldName(item), Limit: "a known field",
				Remedy: "remove it or correct its name" + nearest(name, fields)})
			continue
		}
		_, isSecret := sf.Tag.Lookup("secret")
		f.fill(item, target.FieldByIndex(sf.Index), secret || isSecret)
	}
}

// maxEdits is the maximum edit distance at which a known name is suggested. It is 2
// because two swapped letters count as two edits.
const maxEdits = 2

// nearest returns the end of a remedy that suggests the known name with the smallest
// edit distance, or "". Among equal distances it chooses the first in alphabetical
// order.
func nearest(name string, fields map[string]reflect.StructField) string {
	best, minEdits := "", min(maxEdits+1, len(name))
	for _, known := range slices.Sorted(maps.Keys(fields)) {
		if n := edits(strings.ToLower(known), strings.ToLower(name)); n < minEdits {
			best, minEdits = known, n
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(" to %q", best)
}

// edits returns the Levenshtein distance of two names in bytes.
func edits(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}

// Fields calls visit for each field with a tag `toml` of a struct type and of its
// embedded structs, in the order of declaration.
func Fields(t reflect.Type, visit func(name string, field reflect.StructField)) {
	for _, sf := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(sf.Tag.Get("toml"), ",")
		if name != "" && name != "-" && !sf.Anonymous {
			visit(name, sf)
		}
	}
}

// TypeName returns the name of a type of a field, as the documentation uses it.
func TypeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return "duration"
	case t == reflect.TypeFor[Size]():
		return "size"
	}
	switch t.Kind() {
	case reflect.Pointer:
		return TypeName(t.Elem())
	case reflect.Slice:
		return "list of " + TypeName(t.Elem())
	case reflect.Map:
		return "table of " + TypeName(t.Elem())
	case reflect.Struct:
		return "table"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "number"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "whole number"
	}
	return "string"
}
