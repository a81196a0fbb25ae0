package scenario

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// Set replaces the value of one key by a value in TOML, as in Set("fault[2].size", "3.5"), and checks the scenario. If it
// returns an error, the scenario is unchanged. Setting one of load.of, load.rate and load.closed clears the others.
func (s *Scenario) Set(key, value string) error {
	var table map[string]any
	if _, err := toml.Decode("value = "+value, &table); err != nil || len(table) != 1 {
		return &KeyError{key, fmt.Errorf("expected a value in TOML, got %q", value)}
	}
	next := s.Clone()
	target, err := lookUp(reflect.ValueOf(next).Elem(), key)
	if err != nil {
		return &KeyError{key, err}
	}
	next.Load.clearOthers(key)
	d := newDecoder()
	d.decode(key, table["value"], target)
	if err := d.err(); err != nil {
		return err
	}
	if err := next.Check(); err != nil {
		return err
	}
	*s = *next
	return nil
}

// clearOthers clears the amounts of load that can't be combined with the one that a key names.
func (l *Load) clearOthers(key string) {
	switch key {
	case "load.of":
		l.Rate, l.ClosedClients = 0, 0
	case "load.rate":
		l.CapacityShare, l.ClosedClients = 0, 0
	case "load.closed":
		l.CapacityShare, l.Rate = 0, 0
	}
}

// lookUp returns the value that a path of keys leads to, as in "fault[2].on.share".
func lookUp(value reflect.Value, path string) (reflect.Value, error) {
	for path != "" {
		step, remainder, _ := strings.Cut(path, ".")
		inner, err := lookUpStep(value, step)
		if err != nil {
			return value, err
		}
		if remainder != "" && inner.Kind() != reflect.Struct {
			return value, errNoSuchKey
		}
		value, path = inner, remainder
	}
	return value, nil
}

// lookUpStep returns a field of a table or, as for "fault[2]", an entry of a field that is a list.
func lookUpStep(table reflect.Value, step string) (reflect.Value, error) {
	name, index, isIndexed := strings.Cut(step, "[")
	field, exists := fieldOf(table, name)
	if !exists {
		return field, errNoSuchKey
	}
	if !isIndexed {
		return field, nil
	}
	position, err := strconv.Atoi(strings.TrimSuffix(index, "]"))
	if err != nil || field.Kind() != reflect.Slice || position < 0 || position >= field.Len() {
		return field, fmt.Errorf("there is no entry [%s", index)
	}
	return field.Index(position), nil
}

// Clone returns a deep copy.
func (s *Scenario) Clone() *Scenario {
	copied := &Scenario{}
	copyDeep(reflect.ValueOf(copied).Elem(), reflect.ValueOf(s).Elem())
	return copied
}

// copyDeep copies structs, slices and plain values.
func copyDeep(target, source reflect.Value) {
	switch source.Kind() {
	case reflect.Struct:
		for i := range source.NumField() {
			copyDeep(target.Field(i), source.Field(i))
		}
	case reflect.Slice:
		if source.IsNil() {
			target.SetZero()
			return
		}
		target.Set(reflect.MakeSlice(source.Type(), source.Len(), source.Len()))
		for i := range source.Len() {
			copyDeep(target.Index(i), source.Index(i))
		}
	default:
		target.Set(source)
	}
}
