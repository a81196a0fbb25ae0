// Package storedform contains helpers for tests of stored formats. Data in such a format outlives the build that wrote it: the
// frames of a hot restart, captures and state files. The package checks that the names in a format are set by tags and not
// derived from Go names, and compares encoded data with golden files. It is used only by tests, and does not depend on any of the
// formats.
package storedform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// Untagged inspects the types of the roots, and all types that their encoding contains. It lists each exported field without a
// name in a json tag, as renaming that field would change the encoding. It also lists each field whose type does not determine
// the encoding, such as an interface. A field with the tag "-" is not part of the format.
func Untagged(roots ...any) []string { return UntaggedBy("json", roots...) }

// UntaggedBy is Untagged for tags with another key, such as "toml", or "name" for the command line.
func UntaggedBy(key string, roots ...any) []string {
	w := walk{key: key, seen: map[reflect.Type]bool{}}
	for _, root := range roots {
		w.visit(reflect.TypeOf(root), "a root")
	}
	return w.faults
}

// CheckTags fails a test if Untagged lists anything.
func CheckTags(tb testing.TB, roots ...any) {
	tb.Helper()
	CheckTagsBy(tb, "json", roots...)
}

// CheckTagsBy fails a test if UntaggedBy lists anything.
func CheckTagsBy(tb testing.TB, key string, roots ...any) {
	tb.Helper()
	for _, fault := range UntaggedBy(key, roots...) {
		tb.Error(fault)
	}
}

// walk is a traversal of types.
type walk struct {
	key    string // of the tags
	seen   map[reflect.Type]bool
	faults []string // the entries of the list that Untagged returns
}

var marshaler = reflect.TypeFor[json.Marshaler]()

func (w *walk) visit(t reflect.Type, place string) {
	if t == nil {
		w.faults = append(w.faults, place+": no type")
		return
	}
	if w.seen[t] {
		return
	}
	w.seen[t] = true
	if t.Implements(marshaler) || reflect.PointerTo(t).Implements(marshaler) {
		return // it defines its own encoding
	}
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		w.visit(t.Elem(), place)
	case reflect.Map:
		w.visit(t.Key(), place)
		w.visit(t.Elem(), place)
	case reflect.Struct:
		w.fields(t)
	case reflect.Interface, reflect.Func, reflect.Chan, reflect.UnsafePointer:
		w.faults = append(w.faults, fmt.Sprintf("%s: type %v does not determine the encoding", place, t))
	}
}

func (w *walk) fields(t reflect.Type) {
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get(w.key), ",")
		embedded := field.Anonymous && name == ""
		switch {
		case !field.IsExported() && !embedded, field.Tag.Get(w.key) == "-":
			continue
		case name == "" && !embedded:
			w.faults = append(w.faults, fmt.Sprintf("%v.%s: no name in a %s tag", t, field.Name, w.key))
		}
		w.visit(field.Type, fmt.Sprintf("%v.%s", t, field.Name))
	}
}

// ZeroFields lists the exported fields at any depth of a value that are zero, and the lists that are empty. If it lists nothing, a
// golden file of that value contains every field of the format.
func ZeroFields(value any) []string {
	return unsetFields(reflect.ValueOf(value), fmt.Sprintf("%T", value))
}

// unsetFields is Zero for a part of a value. place is the path of the part.
func unsetFields(value reflect.Value, place string) (unset []string) {
	if value.IsZero() {
		return []string{place}
	}
	switch value.Kind() {
	case reflect.Pointer:
		return unsetFields(value.Elem(), place)
	case reflect.Slice, reflect.Array:
		return unsetElements(value, place)
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() && field.Tag.Get("json") != "-" {
				unset = append(unset, unsetFields(value.Field(i), place+"."+field.Name)...)
			}
		}
	}
	return unset
}

// unsetElements is Zero for a list. A list of bytes is a single value: any of its bytes may be zero.
func unsetElements(list reflect.Value, place string) (unset []string) {
	if list.Len() == 0 {
		return []string{place}
	}
	if list.Type().Elem().Kind() == reflect.Uint8 {
		return nil
	}
	for i := range list.Len() {
		unset = append(unset, unsetFields(list.Index(i), fmt.Sprintf("%s[%d]", place, i))...)
	}
	return unset
}

// Golden reads a golden file of the package under test.
//
// Golden files contain what an earlier build has written. They are never regenerated to make a test pass: a build that can't read
// them, or writes other bytes, can't continue with the data of the builds that run today. A format that has to change gets a new
// version number and additional golden files.
func Golden(tb testing.TB, name string) []byte {
	tb.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

// CheckGolden fails a test if the data that is encoded today differs from a golden file.
func CheckGolden(tb testing.TB, name string, got []byte) {
	tb.Helper()
	want := Golden(tb, name)
	if bytes.Equal(got, want) {
		return
	}
	at := 0
	for at < min(len(got), len(want)) && got[at] == want[at] {
		at++
	}
	from := max(0, at-40)
	tb.Errorf("%s: %d bytes, expected %d; they differ from byte %d on: %q, expected %q", name, len(got), len(want), at,
		got[from:min(len(got), at+40)], want[from:min(len(want), at+40)])
}
