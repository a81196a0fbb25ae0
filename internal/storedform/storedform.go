// Package storedform is what tests of stored forms share: of bytes that outlive the build which wrote them, as the frames of
// a hot restart, captures and kept files do. It checks that the names of such a form stand in tags rather than follow from
// Go names, and compares with golden files. It is used by tests only and knows none of the forms.
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

// Untagged walks the types of the roots, and all types that encoding reaches from them. It lists each exported field
// without a name in a json tag, as a rename would change what is written, and each field whose type says nothing of what
// is written there, as an interface does. A field that is tagged "-" is none of the form.
func Untagged(roots ...any) []string { return UntaggedBy("json", roots...) }

// UntaggedBy is Untagged for another reader's tags, such as toml, or name for those of the command line.
func UntaggedBy(key string, roots ...any) []string {
	w := walk{key: key, seen: map[reflect.Type]bool{}}
	for _, root := range roots {
		w.visit(reflect.TypeOf(root), "a root")
	}
	return w.faults
}

// CheckTags fails a test for what Untagged lists.
func CheckTags(t testing.TB, roots ...any) {
	t.Helper()
	CheckTagsBy(t, "json", roots...)
}

// CheckTagsBy fails a test for what UntaggedBy lists.
func CheckTagsBy(t testing.TB, key string, roots ...any) {
	t.Helper()
	for _, fault := range UntaggedBy(key, roots...) {
		t.Error(fault)
	}
}

type walk struct {
	key    string // of the tags
	seen   map[reflect.Type]bool
	faults []string
}

var marshaler = reflect.TypeFor[json.Marshaler]()

func (w *walk) visit(t reflect.Type, at string) {
	if t == nil {
		w.faults = append(w.faults, at+": no type")
		return
	}
	if w.seen[t] {
		return
	}
	w.seen[t] = true
	if t.Implements(marshaler) || reflect.PointerTo(t).Implements(marshaler) {
		return // it has a form of its own
	}
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		w.visit(t.Elem(), at)
	case reflect.Map:
		w.visit(t.Key(), at)
		w.visit(t.Elem(), at)
	case reflect.Struct:
		w.fields(t)
	case reflect.Interface, reflect.Func, reflect.Chan, reflect.UnsafePointer:
		w.faults = append(w.faults, fmt.Sprintf("%s: %v does not say what is written", at, t))
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

// Zero lists the exported fields, however deep, that have their type's zero value somewhere in a value, and what holds
// nothing. A golden file of a value for which it lists none shows every field of the form.
func Zero(value any) []string {
	var faults []string
	var visit func(v reflect.Value, at string)
	visit = func(v reflect.Value, at string) {
		if v.IsZero() {
			faults = append(faults, at)
			return
		}
		switch v.Kind() {
		case reflect.Pointer:
			visit(v.Elem(), at)
		case reflect.Slice, reflect.Array:
			if v.Len() == 0 {
				faults = append(faults, at)
			}
			if v.Type().Elem().Kind() == reflect.Uint8 {
				return
			}
			for i := range v.Len() {
				visit(v.Index(i), fmt.Sprintf("%s[%d]", at, i))
			}
		case reflect.Struct:
			for i := range v.NumField() {
				if field := v.Type().Field(i); field.IsExported() && field.Tag.Get("json") != "-" {
					visit(v.Field(i), at+"."+field.Name)
				}
			}
		}
	}
	visit(reflect.ValueOf(value), fmt.Sprintf("%T", value))
	return faults
}

// Golden reads a golden file of the package under test.
//
// Golden files are what a build before has written. They are never written anew to make a test pass: a build that does not
// read them, or writes other bytes, can't go on from what runs today. A form that has to change gets a new number, and
// golden files of its own beside these.
func Golden(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// CheckGolden fails a test if what is written today is not what a golden file has.
func CheckGolden(t testing.TB, name string, got []byte) {
	t.Helper()
	want := Golden(t, name)
	if bytes.Equal(got, want) {
		return
	}
	at := 0
	for at < min(len(got), len(want)) && got[at] == want[at] {
		at++
	}
	from := max(0, at-40)
	t.Errorf("%s: %d bytes, expected %d; from byte %d on they differ: %q, expected %q", name, len(got), len(want), at,
		got[from:min(len(got), at+40)], want[from:min(len(want), at+40)])
}
