package scenario

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// tagName is the struct tag that holds a field's key.
const tagName = "toml"

var durationType = reflect.TypeFor[Duration]()

// decoder sets the fields of a scenario from decoded TOML by their tags, and gathers errors by key. The TOML library can't
// do it: its errors don't say which entry of a list they are about, and it has no defaults for entries.
type decoder struct {
	problemList
	given map[string]bool // keys that the text has
}

func newDecoder() *decoder { return &decoder{given: map[string]bool{}} }

// decode sets the target to a value of TOML. The key is that of the value, for errors.
func (d *decoder) decode(key string, value any, target reflect.Value) {
	d.given[key] = true
	if target.Type() == durationType {
		target.SetInt(int64(d.duration(key, value)))
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.table(key, value, target)
	case reflect.Slice:
		d.list(key, value, target)
	case reflect.String:
		target.SetString(scalar[string](d, key, value, "a string"))
	case reflect.Bool:
		target.SetBool(scalar[bool](d, key, value, "true or false"))
	case reflect.Int:
		target.SetInt(scalar[int64](d, key, value, "a whole number"))
	case reflect.Float64:
		target.SetFloat(d.number(key, value))
	default:
		panic("scenario: no TOML for " + target.Type().String())
	}
}

// scalar returns a value as type T. If it has another type, scalar reports an error and returns the zero value.
func scalar[T any](d *decoder, key string, value any, expected string) T {
	typed, ok := value.(T)
	if !ok {
		d.report(key, "expected %s, got %s", expected, describeValue(value))
	}
	return typed
}

// number returns a finite number, which the text may write as an integer.
func (d *decoder) number(key string, value any) float64 {
	if whole, ok := value.(int64); ok {
		return float64(whole)
	}
	number, ok := value.(float64)
	if !ok || math.IsNaN(number) || math.IsInf(number, 0) {
		d.report(key, "expected a number, got %s", describeValue(value))
		return 0
	}
	return number
}

func (d *decoder) duration(key string, value any) Duration {
	text, ok := value.(string)
	if !ok {
		d.report(key, "expected a duration as in \"250ms\", got %s", describeValue(value))
		return 0
	}
	var duration Duration
	if err := duration.UnmarshalText([]byte(text)); err != nil {
		d.report(key, "%w", err)
	}
	return duration
}

func (d *decoder) table(key string, value any, target reflect.Value) {
	table, ok := value.(map[string]any)
	if !ok {
		d.report(key, "expected a table, got %s", describeValue(value))
		return
	}
	for _, name := range slices.Sorted(maps.Keys(table)) { // sorted for errors in a stable order
		innerKey := joinKeys(key, name)
		field, exists := fieldOf(target, name)
		if !exists {
			d.report(innerKey, "%w; expected one of %s", errNoSuchKey, strings.Join(keysOf(target.Type()), ", "))
			continue
		}
		d.decode(innerKey, table[name], field)
	}
}

func (d *decoder) list(key string, value any, target reflect.Value) {
	var entries []any
	switch list := value.(type) {
	case []any:
		entries = list
	case []map[string]any:
		for _, table := range list {
			entries = append(entries, table)
		}
	default:
		d.report(key, "expected a list, got %s", describeValue(value))
		return
	}
	target.SetZero()
	if len(entries) == 0 {
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(entries), len(entries)))
	for i, entry := range entries {
		target.Index(i).Set(defaultEntry(target.Type().Elem()))
		d.decode(entryKey(key, i), entry, target.Index(i))
	}
}

// joinKeys returns the full key of a name in a table, given the key of the table.
func joinKeys(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// fieldOf returns the field of a table that has a name in TOML.
func fieldOf(table reflect.Value, name string) (reflect.Value, bool) {
	for i := range table.NumField() {
		if table.Type().Field(i).Tag.Get(tagName) == name {
			return table.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// keysOf returns the names in TOML of a table's fields, sorted.
func keysOf(table reflect.Type) []string {
	keys := make([]string, table.NumField())
	for i := range keys {
		keys[i] = table.Field(i).Tag.Get(tagName)
	}
	slices.Sort(keys)
	return keys
}

// describeValue describes a value of TOML for errors.
func describeValue(value any) string {
	switch value := value.(type) {
	case string:
		return strconv.Quote(value)
	case bool, int64, float64:
		return fmt.Sprint(value)
	case map[string]any:
		return "a table"
	case []any, []map[string]any:
		return "a list"
	}
	return "a date"
}
