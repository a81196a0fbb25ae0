package scenario

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Encode writes a scenario as TOML that Parse reads back as the same. What has its default is left out, but the name.
func Encode(s *Scenario) []byte {
	base, derived := Default(), s.Clone()
	derived.applyDerivedDefaults(func(string) bool { return false })
	base.Drivers, base.Settle = derived.Drivers, derived.Settle
	base.Load.CapacityShare, base.Load.HintFactor = derived.Load.CapacityShare, derived.Load.HintFactor
	var e encoder
	e.table("", reflect.ValueOf(s).Elem(), reflect.ValueOf(base).Elem())
	return []byte(strings.TrimLeft(e.text.String(), "\n"))
}

type encoder struct{ text strings.Builder }

// table writes what differs from base: plain values first, since a table's end is the next one's head.
func (e *encoder) table(under string, t, base reflect.Value) {
	for _, nested := range []bool{false, true} {
		for i := range t.NumField() {
			value, b, name := t.Field(i), base.Field(i), t.Type().Field(i).Tag.Get("toml")
			key := name
			if under != "" {
				key = under + "." + name
			}
			tables := value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct
			same := key != "name" && reflect.DeepEqual(value.Interface(), b.Interface())
			if same || nested != (tables || value.Kind() == reflect.Struct) {
				continue
			}
			switch {
			case tables:
				for j := range value.Len() {
					fmt.Fprintf(&e.text, "\n[[%s]]\n", key)
					e.table(key, value.Index(j), entryBase(value.Index(j)))
				}
			case nested:
				fmt.Fprintf(&e.text, "\n[%s]\n", key)
				e.table(key, value, b)
			default:
				fmt.Fprintf(&e.text, "%s = ", name)
				e.value(value)
				e.text.WriteByte('\n')
			}
		}
	}
}

// entryBase is what an entry of a list has for the keys that are not written.
func entryBase(v reflect.Value) reflect.Value {
	base := plain(v.Type())
	if f, ok := v.Interface().(Fault); ok {
		one := &Scenario{Faults: []Fault{{Kind: f.Kind}}}
		one.applyDerivedDefaults(func(string) bool { return false })
		one.Faults[0].Kind = ""
		return reflect.ValueOf(one.Faults[0])
	}
	return base
}

func (e *encoder) value(value reflect.Value) {
	if s, ok := value.Interface().(Duration); ok {
		e.quoted(s.String())
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
		e.text.WriteByte('[')
		for i := range value.Len() {
			if i > 0 {
				e.text.WriteString(", ")
			}
			e.value(value.Index(i))
		}
		e.text.WriteByte(']')
	default:
		panic("scenario: no TOML for " + value.Type().String())
	}
}

// quoted writes a basic string; one of several lines, as operators' files are, as such.
func (e *encoder) quoted(text string) {
	lines := strings.Contains(text, "\n") && !strings.Contains(text, "\r")
	quote := `"`
	if lines {
		quote = `"""`
		e.text.WriteString(quote + "\n")
	} else {
		e.text.WriteString(quote)
	}
	for _, r := range text {
		switch {
		case r == '\n' && lines:
			e.text.WriteByte('\n')
		case r == '"' || r == '\\':
			e.text.WriteByte('\\')
			e.text.WriteRune(r)
		case r < ' ' || r == 0x7f:
			fmt.Fprintf(&e.text, `\u%04X`, r)
		default:
			e.text.WriteRune(r)
		}
	}
	e.text.WriteString(quote)
}
