package scenario

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Encode writes a scenario as TOML, which Parse reads back as an equal scenario. Default values are left out, except the
// name.
func Encode(s *Scenario) []byte {
	base, derived := Default(), s.Clone()
	derived.applyDerivedDefaults(noneGiven)
	base.Drivers, base.Settle = derived.Drivers, derived.Settle
	base.Load.CapacityShare, base.Load.HintFactor = derived.Load.CapacityShare, derived.Load.HintFactor
	var e encoder
	e.table("", reflect.ValueOf(s).Elem(), reflect.ValueOf(base).Elem())
	return []byte(strings.TrimLeft(e.text.String(), "\n"))
}

type encoder struct{ text strings.Builder }

// table writes the fields that differ from base: plain values first, since in TOML a table ends where the next begins.
func (e *encoder) table(key string, table, base reflect.Value) {
	for i := range table.NumField() {
		field, name := table.Field(i), table.Type().Field(i).Tag.Get(tagName)
		innerKey := joinKeys(key, name)
		isName := innerKey == "name"
		if !isTable(field) && !isTableList(field) && (isName || !isEqual(field, base.Field(i))) {
			fmt.Fprintf(&e.text, "%s = ", name)
			e.value(field)
			e.text.WriteByte('\n')
		}
	}
	for i := range table.NumField() {
		field := table.Field(i)
		if isEqual(field, base.Field(i)) {
			continue
		}
		innerKey := joinKeys(key, table.Type().Field(i).Tag.Get(tagName))
		switch {
		case isTableList(field):
			for j := range field.Len() {
				fmt.Fprintf(&e.text, "\n[[%s]]\n", innerKey)
				e.table(innerKey, field.Index(j), entryBase(field.Index(j)))
			}
		case isTable(field):
			fmt.Fprintf(&e.text, "\n[%s]\n", innerKey)
			e.table(innerKey, field, base.Field(i))
		}
	}
}

func isTable(value reflect.Value) bool { return value.Kind() == reflect.Struct }

func isTableList(value reflect.Value) bool {
	return value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct
}

func isEqual(a, b reflect.Value) bool { return reflect.DeepEqual(a.Interface(), b.Interface()) }

// entryBase returns an entry of a list with the defaults of the keys that are not written.
func entryBase(entry reflect.Value) reflect.Value {
	fault, isFault := entry.Interface().(Fault)
	if !isFault {
		return defaultEntry(entry.Type())
	}
	base := Fault{Kind: fault.Kind}
	base.applyDerivedDefaults()
	base.Kind = ""
	return reflect.ValueOf(base)
}

func (e *encoder) value(value reflect.Value) {
	if duration, ok := value.Interface().(Duration); ok {
		e.quoted(duration.String())
		return
	}
	switch value.Kind() {
	case reflect.String:
		e.quoted(value.String())
	case reflect.Bool:
		e.text.WriteString(strconv.FormatBool(value.Bool()))
	case reflect.Int:
		e.text.WriteString(strconv.FormatInt(value.Int(), 10))
	case reflect.Float64:
		e.text.WriteString(strconv.FormatFloat(value.Float(), 'g', -1, 64))
	case reflect.Slice:
		e.list(value)
	default:
		panic("scenario: no TOML for " + value.Type().String())
	}
}

func (e *encoder) list(list reflect.Value) {
	e.text.WriteByte('[')
	for i := range list.Len() {
		if i > 0 {
			e.text.WriteString(", ")
		}
		e.value(list.Index(i))
	}
	e.text.WriteByte(']')
}

// quoted writes a string. One of several lines, such as an operations file, is written in TOML's multi-line form.
func (e *encoder) quoted(text string) {
	isMultiLine := strings.Contains(text, "\n") && !strings.Contains(text, "\r")
	opening, closing := `"`, `"`
	if isMultiLine {
		opening, closing = "\"\"\"\n", `"""`
	}
	e.text.WriteString(opening)
	for _, char := range text {
		switch {
		case char == '\n' && isMultiLine:
			e.text.WriteByte('\n')
		case char == '"' || char == '\\':
			e.text.WriteByte('\\')
			e.text.WriteRune(char)
		case char < ' ' || char == 0x7f:
			fmt.Fprintf(&e.text, `\u%04X`, char)
		default:
			e.text.WriteRune(char)
		}
	}
	e.text.WriteString(closing)
}
