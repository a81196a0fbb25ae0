package simwire

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
)

// presence is whether a line must have a field.
type presence int

const (
	optional presence = iota // if it is missing, its value is 0
	required
)

// fields contains the name=value pairs of a line. Its methods return the value of a field, and store the first error in err.
type fields struct {
	pairs string
	err   error
}

// splitLine returns the first word of a line, and the fields after it.
func splitLine(line string) (string, *fields) {
	name, pairs, _ := strings.Cut(line, " ")
	return name, &fields{pairs: pairs}
}

// fail stores an error, unless there already is one.
func (f *fields) fail(field, expected, value string) {
	if f.err == nil {
		f.err = &FieldError{Field: field, Expected: expected, Value: quotable(value)}
	}
}

// find returns the value of the first field with a name, and whether there is one.
func (f *fields) find(name string) (string, bool) {
	for pair := range strings.SplitSeq(f.pairs, " ") {
		if key, value, ok := strings.Cut(pair, "="); ok && key == name {
			return value, true
		}
	}
	return "", false
}

func (f *fields) text(name string) string {
	value, _ := f.find(name)
	return value
}

// bytes decodes a required field, which is base64 with padding, or "-" for no bytes.
func (f *fields) bytes(name string) []byte {
	value, _ := f.find(name)
	if value == "-" {
		return nil
	}
	decoded, err := base64.StdEncoding.DecodeString(value)
	if err != nil || value == "" {
		f.fail(name, "base64", value)
	}
	return decoded
}

func (f *fields) integer(name string, must presence) int64 {
	value, ok := f.find(name)
	if !ok && must == optional {
		return 0
	}
	parsed, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		f.fail(name, "a whole number", value)
	}
	return parsed
}

// id returns a required whole number that is not negative.
func (f *fields) id(name string) uint64 {
	id := f.integer(name, required)
	if id < 0 {
		f.fail(name, "a whole number of at least 0", f.text(name))
	}
	return uint64(id)
}

// seed returns a required integer of 64 bits, which may be signed or unsigned.
func (f *fields) seed(name string) uint64 {
	if seed, err := strconv.ParseUint(f.text(name), 10, 64); err == nil {
		return seed
	}
	return uint64(f.integer(name, required))
}

// duration returns a duration, which is a whole number of microseconds in the line.
func (f *fields) duration(name string, must presence) time.Duration {
	const limit = int64(math.MaxInt64 / time.Microsecond)
	microseconds := f.integer(name, must)
	if microseconds > limit || microseconds < -limit {
		f.fail(name, "a duration in microseconds", f.text(name))
	}
	return time.Duration(microseconds) * time.Microsecond
}

// number returns an optional number.
func (f *fields) number(name string) float64 {
	value, ok := f.find(name)
	if !ok {
		return 0
	}
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil {
		f.fail(name, "a number", value)
	}
	return parsed
}

// flag reports whether an optional field is 1.
func (f *fields) flag(name string) bool {
	value, ok := f.find(name)
	if ok && value != "0" && value != "1" {
		f.fail(name, "0 or 1", value)
	}
	return value == "1"
}

// result returns the result for a required completion code.
func (f *fields) result(name string) dispatch.Result {
	result, ok := resultsByCode[f.integer(name, required)]
	if !ok {
		f.fail(name, "a completion code", f.text(name))
	}
	return result
}

// numbers returns an optional list of numbers that are separated by commas. An element that is empty or "-" is absent, and is NaN
// in the result.
func (f *fields) numbers(name string) []float64 {
	value, ok := f.find(name)
	if !ok || value == "" {
		return nil
	}
	var parsed []float64
	for part := range strings.SplitSeq(value, ",") {
		if part == "" || part == "-" {
			parsed = append(parsed, math.NaN())
			continue
		}
		number, err := strconv.ParseFloat(part, 64)
		if err != nil {
			f.fail(name, "numbers separated by commas", value)
		}
		parsed = append(parsed, number)
	}
	return parsed
}

// settings decodes the settings in a required JSON object, which is the rest of the line.
func (f *fields) settings(name string) dispatch.Settings {
	_, object, ok := strings.Cut(" "+f.pairs, " "+name+"=")
	if !ok {
		f.fail(name, "an object", "")
		return dispatch.Settings{}
	}
	decoded, err := config.DecodeSettings([]byte(object))
	if err != nil && f.err == nil {
		f.err = fmt.Errorf("%s: expected a settings object: %w", name, err)
	}
	return decoded.Settings
}
