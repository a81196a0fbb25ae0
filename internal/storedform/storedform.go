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
func CheckTags(tb testing.TB, roots ...any) {
	tb.Helper()
	CheckTagsBy(tb, "json", roots...)
}

// CheckTagsBy fails a test for what UntaggedBy lists.
func CheckTagsBy(tb testing.TB, key string, roots ...any) {
	tb.Helper()
	for _, fault := range UntaggedBy(key, roots...) {
		tb.Error(fault)
	}
}

type walk struct {
	key    string // of the tags
	seen   map[reflect.Type]bool
	faults []string
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
		return // it has a form of its own
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
		w.faults = append(w.faults, fmt.Sprintf("%s: %v does not say what is written", place, t))
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
	return unsetFields(reflect.ValueOf(value), fmt.Sprintf("%T", value))
}

// unsetFields is Zero for a value that stands at a place.
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

// unsetElements is Zero for a list. Bytes are one value: any of them may be zero.
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
// Golden files are what a build before has written. They are never written anew to make a test pass: a build that does not
// read them, or writes other bytes, can't go on from what runs today. A form that has to change gets a new number, and
// golden files of its own beside these.
func Golden(tb testing.TB, name string) []byte {
	tb.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

// CheckGolden fails a test if what is written today is not what a golden file has.
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
	tb.Errorf("%s: %d bytes, expected %d; from byte %d on they differ: %q, expected %q", name, len(got), len(want), at,
		got[from:min(len(got), at+40)], want[from:min(len(want), at+40)])
}
