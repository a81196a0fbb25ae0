// Package formtest helps tests of stored forms: of bytes that reflection writes or reads by the names of struct fields,
// and that have to keep their names when the Go names change. It owns no form, and nothing but tests imports it.
package formtest

import (
	"encoding"
	"encoding/json"
	"reflect"
	"slices"
)

// Untagged walks the types that are reachable from the roots through exported fields, pointers, lists and maps, and
// names each exported field of a struct that has no explicit tag of the given key. A tag without a name, as in
// `json:",omitempty"`, counts as none, since the name is then Go's; "-" counts as one. An embedded struct needs no tag,
// but its fields do. A type that writes itself is not walked further: give the struct that it writes as a root of its
// own.
func Untagged(tag string, roots ...reflect.Type) []string {
	w := walker{tag: tag, seen: map[reflect.Type]bool{}}
	for _, root := range roots {
		w.walk(root)
	}
	slices.Sort(w.untagged)
	return w.untagged
}

type walker struct {
	tag      string
	seen     map[reflect.Type]bool
	untagged []string
}

func (w *walker) walk(t reflect.Type) {
	if w.seen[t] || writesItself(t) {
		return
	}
	w.seen[t] = true
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		w.walk(t.Elem())
	case reflect.Map:
		w.walk(t.Key())
		w.walk(t.Elem())
	case reflect.Struct:
		for i := range t.NumField() {
			w.field(t, t.Field(i))
		}
	}
}

func (w *walker) field(owner reflect.Type, f reflect.StructField) {
	name, tagged := f.Tag.Lookup(w.tag)
	switch {
	case name == "-":
		return
	case f.Anonymous && !tagged:
	case !f.IsExported():
		return
	case !tagged || name == "" || name[0] == ',':
		w.untagged = append(w.untagged, owner.String()+"."+f.Name)
	}
	w.walk(f.Type)
}

// writesItself tells whether the encoder asks the type, or a pointer to it, for its text.
func writesItself(t reflect.Type) bool {
	if t.Kind() == reflect.Pointer {
		return false // what it points to is asked
	}
	p := reflect.PointerTo(t)
	return p.Implements(reflect.TypeFor[json.Marshaler]()) || p.Implements(reflect.TypeFor[encoding.TextMarshaler]())
}
