package storedform

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// Fate is what a hot restart does with a field of a process's state.
type Fate struct {
	records []string // of a transferred field: the fields of records that contain it, as Type.Field
	reason  string   // of any other field
}

// Transferred is the fate of a field that is transferred in fields of records, each given as Type.Field.
func Transferred(records ...string) Fate { return Fate{records: records} }

// Derived is the fate of a field that the successor sets from what is transferred, or from what it has itself. The reason says from
// what.
func Derived(reason string) Fate { return Fate{reason: reason} }

// Dropped is the fate of a field whose value is lost. The reason says why that harms nobody.
func Dropped(reason string) Fate { return Fate{reason: reason} }

// FieldFates contains the fate of each field of a type.
type FieldFates struct {
	Type  reflect.Type
	Fates map[string]Fate // by name of the field
}

// FatesOf returns the fates of the fields of a type.
func FatesOf[T any](fates map[string]Fate) FieldFates { return FieldFates{reflect.TypeFor[T](), fates} }

// CheckFates fails a test if a field of one of the types has no fate, or if a field of one of the records transfers none of their
// fields.
func CheckFates(tb testing.TB, records []any, types ...FieldFates) {
	tb.Helper()
	for _, fault := range FaultyFates(records, types...) {
		tb.Error(fault)
	}
}

// FaultyFates lists each field of the types without a fate, each fate without a field, a reason or a record, and each field of a
// record that transfers nothing.
func FaultyFates(records []any, types ...FieldFates) (faults []string) {
	unused := recordFields(records)
	known := slices.Clone(unused)
	for _, fields := range types {
		faults = append(faults, fields.faults(known)...)
		for _, fate := range fields.Fates {
			unused = slices.DeleteFunc(unused, func(record string) bool { return slices.Contains(fate.records, record) })
		}
	}
	for _, record := range unused {
		faults = append(faults, record+": transfers no field")
	}
	return faults
}

// recordFields returns the fields of records, as Type.Field.
func recordFields(records []any) (names []string) {
	for _, record := range records {
		for _, field := range reflect.VisibleFields(reflect.TypeOf(record)) {
			if !field.Anonymous {
				names = append(names, reflect.TypeOf(record).Name()+"."+field.Name)
			}
		}
	}
	return names
}

// faults lists the faults of one type.
func (f FieldFates) faults(records []string) (faults []string) {
	for i := range f.Type.NumField() {
		name := f.Type.Field(i).Name
		fate, ok := f.Fates[name]
		switch {
		case !ok:
			faults = append(faults, fmt.Sprintf("%v.%s: no fate at a hot restart", f.Type, name))
		case len(fate.records) == 0 && strings.TrimSpace(fate.reason) == "":
			faults = append(faults, fmt.Sprintf("%v.%s: no record and no reason", f.Type, name))
		}
		for _, record := range fate.records {
			if !slices.Contains(records, record) {
				faults = append(faults, fmt.Sprintf("%v.%s: no record has the field %s", f.Type, name, record))
			}
		}
	}
	for name := range f.Fates {
		if _, ok := f.Type.FieldByName(name); !ok {
			faults = append(faults, fmt.Sprintf("%v.%s: no such field", f.Type, name))
		}
	}
	slices.Sort(faults)
	return faults
}
