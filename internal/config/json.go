package config

import (
	"math"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"
)

const (
	// maxExactInteger bounds the integers that JSON numbers hold exactly.
	maxExactInteger = 1 << 53
	maxMicroseconds = float64(math.MaxInt64 / int64(time.Microsecond))
)

// jsonReader reads a JSON text key by key. It collects errors with the path at which it stands. A value of the wrong kind
// is an error and is skipped; null stands for an absent value.
type jsonReader struct {
	iterator *jsoniter.Iterator
	path     []string
	errors   keyErrors
	broken   bool // the text itself is malformed: nothing after that can be read
}

// newJSONReader returns a reader of a text that stands at a path of its file.
func newJSONReader(text []byte, path ...string) *jsonReader {
	return &jsonReader{iterator: jsoniter.ParseBytes(jsoniter.ConfigDefault, text), path: path}
}

// fields are the known keys of an object, each with the function that reads its value.
type fields map[string]func()

// object reads an object. Keys that are not known are skipped.
func (r *jsonReader) object(known fields) {
	if !r.expect(jsoniter.ObjectValue, "an object") {
		return
	}
	r.iterator.ReadObjectCB(func(_ *jsoniter.Iterator, key string) bool {
		read := known[key]
		if read == nil {
			read = r.skip
		}
		return r.within(key, read)
	})
	r.checkSyntax()
}

// list reads a list. element reads or skips one element.
func (r *jsonReader) list(element func(index int)) {
	if !r.expect(jsoniter.ArrayValue, "a list") {
		return
	}
	index := 0
	r.iterator.ReadArrayCB(func(*jsoniter.Iterator) bool {
		readable := r.within(strconv.Itoa(index), func() { element(index) })
		index++
		return readable
	})
	r.checkSyntax()
}

// within reads the value at a further element of the path. It tells whether more can be read after it.
func (r *jsonReader) within(element string, read func()) bool {
	r.path = append(r.path, element)
	read()
	r.checkSyntax()
	r.path = r.path[:len(r.path)-1]
	return !r.broken
}

// end reports whatever follows the object.
func (r *jsonReader) end() {
	if !r.broken && r.iterator.WhatIsNext() != jsoniter.InvalidValue {
		r.report(&ValueError{Expected: "nothing after the object"})
	}
}

func (r *jsonReader) report(err error) { r.errors.add(newKeyError(r.path, err)) }

// checkSyntax reports an error of the parser at the place where it is first seen.
func (r *jsonReader) checkSyntax() {
	if r.iterator.Error == nil || r.broken {
		return
	}
	r.report(&SyntaxError{Format: "JSON", Err: r.iterator.Error})
	r.broken = true
}

// isPresent tells whether the next value is other than null.
func (r *jsonReader) isPresent() bool { return r.iterator.WhatIsNext() != jsoniter.NilValue }

// expect tells whether the next value is of a kind. Any other value is skipped, and reported unless it is null.
func (r *jsonReader) expect(kind jsoniter.ValueType, expected string) bool {
	next := r.iterator.WhatIsNext()
	if r.broken {
		return false
	}
	if next == kind {
		return true
	}
	if next != jsoniter.NilValue {
		r.report(&ValueError{Expected: expected})
	}
	r.skip()
	return false
}

func (r *jsonReader) skip() { r.iterator.Skip() }

// value reads an object into a Go value by its tags.
func (r *jsonReader) value(destination any) {
	if r.expect(jsoniter.ObjectValue, "an object") {
		r.iterator.ReadVal(destination)
	}
}

func (r *jsonReader) text() string {
	if !r.expect(jsoniter.StringValue, "text") {
		return ""
	}
	return r.iterator.ReadString()
}

func (r *jsonReader) number() float64 {
	if !r.expect(jsoniter.NumberValue, "a number") {
		return 0
	}
	return r.iterator.ReadFloat64()
}

func (r *jsonReader) integer() int {
	number := r.number()
	if number != math.Trunc(number) || math.Abs(number) > maxExactInteger {
		r.report(&ValueError{Expected: "a whole number", Value: number})
	}
	return int(number)
}

func (r *jsonReader) boolean() bool {
	return r.expect(jsoniter.BoolValue, "true or false") && r.iterator.ReadBool()
}

// duration reads a number of microseconds.
func (r *jsonReader) duration() time.Duration {
	microseconds := r.number()
	if math.Abs(microseconds) > maxMicroseconds {
		r.report(&ValueError{Expected: "microseconds", Value: microseconds})
		return 0
	}
	return time.Duration(microseconds * float64(time.Microsecond))
}

func (r *jsonReader) texts() []string {
	var list []string
	r.list(func(int) { list = append(list, r.text()) })
	return list
}

func (r *jsonReader) numbers() []float64 {
	var list []float64
	r.list(func(int) { list = append(list, r.number()) })
	return list
}

// integers returns nil only if the value is absent: an empty list allows nothing.
func (r *jsonReader) integers() []int {
	var list []int
	if r.isPresent() {
		list = []int{}
	}
	r.list(func(int) { list = append(list, r.integer()) })
	return list
}
