package config

import (
	"math"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"
)

const (
	// maxExactInteger is the largest integer up to which a float64, to which JSON numbers are decoded, is exact.
	maxExactInteger = 1 << 53
	// maxMicroseconds is the longest time.Duration in microseconds.
	maxMicroseconds = float64(math.MaxInt64 / int64(time.Microsecond))
)

// jsonReader reads a JSON text key by key. It collects errors with their keys. A value of the wrong type is an error, and is
// skipped. null is equivalent to an absent value.
type jsonReader struct {
	iterator *jsoniter.Iterator
	path     []string // of the current value
	errors   keyErrors
	broken   bool // after a syntax error: the rest of the text can't be read
}

// newJSONReader returns a reader of a JSON text. path is the path of its value in the file.
func newJSONReader(text []byte, path ...string) *jsonReader {
	return &jsonReader{iterator: jsoniter.ParseBytes(jsoniter.ConfigDefault, text), path: path}
}

// fields maps the known keys of an object to functions that read their values.
type fields map[string]func()

// object reads an object. Unknown keys are skipped.
func (j *jsonReader) object(known fields) {
	if !j.expect(jsoniter.ObjectValue, "an object") {
		return
	}
	j.iterator.ReadObjectCB(func(_ *jsoniter.Iterator, key string) bool {
		read := known[key]
		if read == nil {
			read = j.skip
		}
		return j.within(key, read)
	})
	j.checkSyntax()
}

// list reads a list. element reads or skips one element.
func (j *jsonReader) list(element func(index int)) {
	if !j.expect(jsoniter.ArrayValue, "a list") {
		return
	}
	index := 0
	j.iterator.ReadArrayCB(func(*jsoniter.Iterator) bool {
		readable := j.within(strconv.Itoa(index), func() { element(index) })
		index++
		return readable
	})
	j.checkSyntax()
}

// within calls read for the value of a key or an index. It reports whether the text after the value can be read.
func (j *jsonReader) within(element string, read func()) bool {
	j.path = append(j.path, element)
	read()
	j.checkSyntax()
	j.path = j.path[:len(j.path)-1]
	return !j.broken
}

// end adds an error if there is anything after the object.
func (j *jsonReader) end() {
	if !j.broken && j.iterator.WhatIsNext() != jsoniter.InvalidValue {
		j.report(&ValueError{Expected: "nothing after the object"})
	}
}

// report adds an error for the current path.
func (j *jsonReader) report(err error) { j.errors.add(newKeyError(j.path, err)) }

// checkSyntax adds an error of the parser for the path at which it occurred.
func (j *jsonReader) checkSyntax() {
	if j.iterator.Error == nil || j.broken {
		return
	}
	j.report(&SyntaxError{Format: "JSON", Err: j.iterator.Error})
	j.broken = true
}

// isPresent reports whether the next value is not null.
func (j *jsonReader) isPresent() bool { return j.iterator.WhatIsNext() != jsoniter.NilValue }

// expect reports whether the next value is of the given kind. Any other value is skipped, with an error unless it is null.
func (j *jsonReader) expect(kind jsoniter.ValueType, expected string) bool {
	next := j.iterator.WhatIsNext()
	if j.broken {
		return false
	}
	if next == kind {
		return true
	}
	if next != jsoniter.NilValue {
		j.report(&ValueError{Expected: expected})
	}
	j.skip()
	return false
}

// skip skips the next value.
func (j *jsonReader) skip() { j.iterator.Skip() }

// value decodes an object into a Go value according to its tags.
func (j *jsonReader) value(destination any) {
	if j.expect(jsoniter.ObjectValue, "an object") {
		j.iterator.ReadVal(destination)
	}
}

// text reads a string.
func (j *jsonReader) text() string {
	if !j.expect(jsoniter.StringValue, "text") {
		return ""
	}
	return j.iterator.ReadString()
}

// number reads a number.
func (j *jsonReader) number() float64 {
	if !j.expect(jsoniter.NumberValue, "a number") {
		return 0
	}
	return j.iterator.ReadFloat64()
}

// integer reads a whole number.
func (j *jsonReader) integer() int {
	number := j.number()
	if number != math.Trunc(number) || math.Abs(number) > maxExactInteger {
		j.report(&ValueError{Expected: "a whole number", Value: number})
	}
	return int(number)
}

// boolean reads true or false.
func (j *jsonReader) boolean() bool {
	return j.expect(jsoniter.BoolValue, "true or false") && j.iterator.ReadBool()
}

// duration reads a number of microseconds.
func (j *jsonReader) duration() time.Duration {
	microseconds := j.number()
	if math.Abs(microseconds) > maxMicroseconds {
		j.report(&ValueError{Expected: "microseconds", Value: microseconds})
		return 0
	}
	return time.Duration(microseconds * float64(time.Microsecond))
}

// texts reads a list of strings.
func (j *jsonReader) texts() []string {
	var list []string
	j.list(func(int) { list = append(list, j.text()) })
	return list
}

// numbers reads a list of numbers.
func (j *jsonReader) numbers() []float64 {
	var list []float64
	j.list(func(int) { list = append(list, j.number()) })
	return list
}

// integers reads a list of whole numbers. It returns nil only if the value is absent, which is different from an empty list.
func (j *jsonReader) integers() []int {
	var list []int
	if j.isPresent() {
		list = []int{}
	}
	j.list(func(int) { list = append(list, j.integer()) })
	return list
}
