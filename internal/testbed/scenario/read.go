package scenario

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// UnmarshalText reads a span as in "250ms".
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("expected a span of time as in \"250ms\", got %q", text)
	}
	*s = Duration(d)
	return nil
}

// MarshalText writes a span as UnmarshalText reads it.
func (s Duration) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (s Duration) String() string { return time.Duration(s).String() }

// Open reads a scenario's file. Its name is the file's, unless it says otherwise.
func Open(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(strings.TrimSuffix(filepath.Base(path), ".toml"), text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse reads a scenario from its text, fills in what is absent and checks the whole. The error names each faulty
// key, one to a line. name is what it is called if the text does not say.
func Parse(name string, text []byte) (*Scenario, error) {
	s, err := read(name, text)
	if err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

// read is Parse without the checks of what the values mean.
func read(name string, text []byte) (*Scenario, error) {
	var table map[string]any
	if _, err := toml.Decode(string(text), &table); err != nil {
		return nil, err
	}
	s := Default()
	s.Name = name
	r := reader{given: map[string]bool{}}
	r.value("", table, reflect.ValueOf(s).Elem())
	if len(r.problems) > 0 {
		return nil, errors.Join(r.problems...)
	}
	s.applyDerivedDefaults(func(key string) bool { return r.given[key] })
	return s, nil
}

// Set puts a value, as TOML has it, in the place of one key, as in Set("fault[2].size", "3.5"), and checks the whole.
// On a fault the scenario stays as it was. What stands for the load (load.of, load.rate, load.closed) replaces
// each other.
func (s *Scenario) Set(key, value string) error {
	var table map[string]any
	if _, err := toml.Decode("value = "+value, &table); err != nil || len(table) != 1 {
		return fmt.Errorf("key %q: expected a value as TOML has it, got %q", key, value)
	}
	next := s.Clone()
	target, path := reflect.ValueOf(next).Elem(), key
	for path != "" {
		first, remainder, _ := strings.Cut(path, ".")
		name, index, indexed := strings.Cut(first, "[")
		field, ok := fieldOf(target, name)
		if !ok {
			return fmt.Errorf("key %q: there is no such key", key)
		}
		target, path = field, remainder
		if indexed {
			i, err := strconv.Atoi(strings.TrimSuffix(index, "]"))
			if err != nil || target.Kind() != reflect.Slice || i < 0 || i >= target.Len() {
				return fmt.Errorf("key %q: there is no entry [%s", key, index)
			}
			target = target.Index(i)
		}
		if path != "" && target.Kind() != reflect.Struct {
			return fmt.Errorf("key %q: there is no such key", key)
		}
	}
	switch key {
	case "load.of":
		next.Load.Rate, next.Load.ClosedClients = 0, 0
	case "load.rate":
		next.Load.CapacityShare, next.Load.ClosedClients = 0, 0
	case "load.closed":
		next.Load.CapacityShare, next.Load.Rate = 0, 0
	}
	r := reader{given: map[string]bool{}}
	r.value(key, table["value"], target)
	if len(r.problems) > 0 {
		return errors.Join(r.problems...)
	}
	if err := next.Check(); err != nil {
		return err
	}
	*s = *next
	return nil
}

// Clone copies a scenario; the two share nothing.
func (s *Scenario) Clone() *Scenario {
	c := &Scenario{}
	clone(reflect.ValueOf(c).Elem(), reflect.ValueOf(s).Elem())
	return c
}

func clone(target, source reflect.Value) {
	switch source.Kind() {
	case reflect.Struct:
		for i := range source.NumField() {
			clone(target.Field(i), source.Field(i))
		}
	case reflect.Slice:
		if source.IsNil() {
			target.SetZero()
			return
		}
		target.Set(reflect.MakeSlice(source.Type(), source.Len(), source.Len()))
		for i := range source.Len() {
			clone(target.Index(i), source.Index(i))
		}
	default:
		target.Set(source)
	}
}

// reader puts what TOML has into the types above by their tags, and gathers what is wrong. The library's own
// decoding names no entry of a list, and gives the entries of lists no defaults.
type reader struct {
	given    map[string]bool // keys that the text has
	problems []error
}

func (r *reader) report(key, format string, args ...any) {
	r.problems = append(r.problems, fmt.Errorf("key %q: "+format, append([]any{key}, args...)...))
}

var durationType = reflect.TypeFor[Duration]()

func (r *reader) value(key string, v any, to reflect.Value) {
	r.given[key] = true
	if to.Type() == durationType {
		var s Duration
		text, ok := v.(string)
		if !ok {
			r.report(key, "expected a span of time as in \"250ms\", got %s", describeValue(v))
		} else if err := s.UnmarshalText([]byte(text)); err != nil {
			r.report(key, "%w", err)
		}
		to.SetInt(int64(s))
		return
	}
	switch to.Kind() {
	case reflect.Struct:
		r.table(key, v, to)
	case reflect.Slice:
		r.list(key, v, to)
	case reflect.String:
		text, ok := v.(string)
		if !ok {
			r.report(key, "expected a text, got %s", describeValue(v))
		}
		to.SetString(text)
	case reflect.Bool:
		flag, ok := v.(bool)
		if !ok {
			r.report(key, "expected true or false, got %s", describeValue(v))
		}
		to.SetBool(flag)
	case reflect.Int:
		n, ok := v.(int64)
		if !ok {
			r.report(key, "expected a whole number, got %s", describeValue(v))
		}
		to.SetInt(n)
	case reflect.Float64:
		x, ok := v.(float64)
		if n, whole := v.(int64); whole {
			x, ok = float64(n), true
		}
		if !ok || math.IsNaN(x) || math.IsInf(x, 0) {
			r.report(key, "expected a number, got %s", describeValue(v))
			return
		}
		to.SetFloat(x)
	default:
		panic("scenario: no TOML for " + to.Type().String())
	}
}

func (r *reader) table(key string, v any, target reflect.Value) {
	table, ok := v.(map[string]any)
	if !ok {
		r.report(key, "expected a table, got %s", describeValue(v))
		return
	}
	names := make([]string, 0, len(table))
	for name := range table {
		names = append(names, name)
	}
	slices.Sort(names) // so that the faults come in one order
	for _, name := range names {
		at := name
		if key != "" {
			at = key + "." + name
		}
		field, ok := fieldOf(target, name)
		if !ok {
			r.report(at, "there is no such key; those here are %s", strings.Join(keysOf(target.Type()), ", "))
			continue
		}
		r.value(at, table[name], field)
	}
}

func (r *reader) list(key string, v any, target reflect.Value) {
	var entries []any
	switch l := v.(type) {
	case []any:
		entries = l
	case []map[string]any:
		for _, t := range l {
			entries = append(entries, t)
		}
	default:
		r.report(key, "expected a list, got %s", describeValue(v))
		return
	}
	target.SetZero()
	if len(entries) == 0 {
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(entries), len(entries)))
	for i, e := range entries {
		target.Index(i).Set(plain(target.Type().Elem()))
		r.value(fmt.Sprintf("%s[%d]", key, i), e, target.Index(i))
	}
}

// plain is an entry of a list before its keys are read.
func plain(t reflect.Type) reflect.Value {
	switch t {
	case reflect.TypeFor[WorkerKind]():
		return reflect.ValueOf(plainWorkerKind())
	case reflect.TypeFor[Class]():
		return reflect.ValueOf(plainClass())
	case reflect.TypeFor[Tenant]():
		return reflect.ValueOf(Tenant{Quota: 1, Usage: 1})
	}
	return reflect.Zero(t)
}

func fieldOf(table reflect.Value, name string) (reflect.Value, bool) {
	for i := range table.NumField() {
		if table.Type().Field(i).Tag.Get("toml") == name {
			return table.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func keysOf(table reflect.Type) []string {
	keys := make([]string, table.NumField())
	for i := range keys {
		keys[i] = table.Field(i).Tag.Get("toml")
	}
	slices.Sort(keys)
	return keys
}

// describeValue says what a value of TOML's is.
func describeValue(v any) string {
	switch v := v.(type) {
	case string:
		return strconv.Quote(v)
	case bool, int64, float64:
		return fmt.Sprint(v)
	case map[string]any:
		return "a table"
	case []any, []map[string]any:
		return "a list"
	}
	return "a date"
}
