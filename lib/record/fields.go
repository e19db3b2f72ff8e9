package record

import (
	"encoding"
	"reflect"
	"slices"

	"bronzewinch.dev/lib/tomlfile"
)

// Field is one field of a record in TOML.
type Field struct {
	Name string // with the path, for example "backends[].address"
	Type string
}

// Fields lists the fields of a kind in a schema version, without schema, kind,
// name and baseRevision, which all kinds have.
func Fields(s Schema, k Kind) []Field {
	var b body = constructorsByKind[k].v1()
	if s == V2 {
		b = constructorsByKind[k].v2()
	}
	var list []Field
	appendFields("", reflect.TypeOf(b).Elem(), &list)
	return slices.DeleteFunc(list, func(f Field) bool {
		return slices.Contains([]string{"schema", "kind", "name", "baseRevision"}, f.Name)
	})
}

// appendFields appends the fields of t, including those of nested structs.
func appendFields(prefix string, t reflect.Type, list *[]Field) {
	tomlfile.Fields(t, func(name string, sf reflect.StructField) {
		inner, path := sf.Type, prefix+name
		if inner.Kind() == reflect.Slice {
			inner, path = inner.Elem(), path+"[]"
		}
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct && !reflect.PointerTo(inner).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
			appendFields(path+".", inner, list)
			return
		}
		*list = append(*list, Field{Name: prefix + name, Type: tomlfile.TypeName(sf.Type)})
	})
}
