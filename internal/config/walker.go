package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// walker reads a JSON object key by key and knows, for messages, where it stands.
type walker struct {
	it     *jsoniter.Iterator
	path   []string
	faults faults
	broken bool // the text itself is: nothing after that can be read
}

// object calls field for each key, which must read or skip the value.
func (w *walker) object(field func(key string)) {
	if !w.is(jsoniter.ObjectValue, "an object") {
		return
	}
	w.it.ReadObjectCB(func(_ *jsoniter.Iterator, key string) bool {
		w.path = append(w.path, key)
		field(key)
		w.check()
		w.path = w.path[:len(w.path)-1]
		return !w.broken
	})
	w.check()
}

// list calls element for each element, which must read or skip it.
func (w *walker) list(element func(i int)) {
	if !w.is(jsoniter.ArrayValue, "a list") {
		return
	}
	i := 0
	w.it.ReadArrayCB(func(*jsoniter.Iterator) bool {
		w.path = append(w.path, strconv.Itoa(i))
		element(i)
		w.check()
		w.path = w.path[:len(w.path)-1]
		i++
		return !w.broken
	})
	w.check()
}

func (w *walker) fail(format string, args ...any) { w.faults.add(keyError(w.path, format, args...)) }

// KeyError is one thing that is wrong with a file. Key is where; none: the text as a whole.
type KeyError struct{ Key, What string }

func (f *KeyError) Error() string {
	if f.Key == "" {
		return f.What
	}
	return fmt.Sprintf("key %q: %s", f.Key, f.What)
}

// mostFaults is how many faults of a file are told.
const mostFaults = 100

// faults are what is wrong with one file, in the order in which it was found.
type faults []*KeyError

// add takes in a fault. One at or under a key that has one already follows from that, and is not told.
func (all *faults) add(next *KeyError) {
	if len(*all) == mostFaults {
		return
	}
	for _, f := range *all {
		rest, under := strings.CutPrefix(next.Key, f.Key)
		if under && (rest == "" || f.Key == "" || rest[0] == '.' || rest[0] == '[') {
			return
		}
	}
	*all = append(*all, next)
}

// first is what ends a start; nil if there is none.
func (all faults) first() error {
	if len(all) == 0 {
		return nil
	}
	return all[0]
}

// in gives the faults as errors that name the file; without a name, as they are.
func (all faults) in(file string) []error {
	var list []error
	for _, f := range all {
		if file == "" {
			list = append(list, f)
		} else {
			list = append(list, fmt.Errorf("%s: %w", file, f))
		}
	}
	return list
}

func keyError(path []string, format string, args ...any) *KeyError {
	name := ""
	for _, p := range path {
		if _, err := strconv.Atoi(p); err == nil {
			name += "[" + p + "]"
		} else if name != "" {
			name += "." + p
		} else {
			name = p
		}
	}
	return &KeyError{name, fmt.Sprintf(format, args...)}
}

// check turns a fault of the text itself into one that names the place.
func (w *walker) check() {
	if w.it.Error != nil && !w.broken {
		w.fail("not JSON: %v", w.it.Error)
		w.broken = true
	}
}

// present skips a null, which stands for an absent value.
func (w *walker) present() bool { return w.it.WhatIsNext() != jsoniter.NilValue }

// is tells whether the next value is of a kind; null is skipped, any other kind is a fault.
func (w *walker) is(kind jsoniter.ValueType, want string) bool {
	switch next := w.it.WhatIsNext(); {
	case w.broken:
		return false
	case next == kind:
		return true
	case next != jsoniter.NilValue:
		w.fail("expected %s", want)
	}
	w.it.Skip()
	return false
}

func (w *walker) skip() { w.it.Skip() }

func (w *walker) text() string {
	if !w.is(jsoniter.StringValue, "text") {
		return ""
	}
	return w.it.ReadString()
}

func (w *walker) number() float64 {
	if !w.is(jsoniter.NumberValue, "a number") {
		return 0
	}
	return w.it.ReadFloat64()
}

func (w *walker) whole() int {
	x := w.number()
	if x != math.Trunc(x) || math.Abs(x) > 1<<53 {
		w.fail("expected a whole number, got %v", x)
	}
	return int(x)
}

func (w *walker) flag() bool { return w.is(jsoniter.BoolValue, "true or false") && w.it.ReadBool() }

// span reads microseconds.
func (w *walker) span() time.Duration {
	x := w.number()
	if math.Abs(x) > float64(math.MaxInt64/int64(time.Microsecond)) {
		w.fail("expected microseconds, got %v", x)
		return 0
	}
	return time.Duration(x * float64(time.Microsecond))
}

func (w *walker) texts() (list []string) {
	w.list(func(int) { list = append(list, w.text()) })
	return list
}

func (w *walker) numbers() (list []float64) {
	w.list(func(int) { list = append(list, w.number()) })
	return list
}

// wholes is nil only where the value is absent: an empty list allows nothing.
func (w *walker) wholes() (list []int) {
	if w.present() {
		list = []int{}
	}
	w.list(func(int) { list = append(list, w.whole()) })
	return list
}

// end checks that nothing follows.
func (w *walker) end() {
	if !w.broken && w.it.WhatIsNext() != jsoniter.InvalidValue {
		w.fail("expected nothing after the object")
	}
}
