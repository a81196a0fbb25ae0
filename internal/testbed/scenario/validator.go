package scenario

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// shareTolerance is how much the sum of shares may differ from 1.
const shareTolerance = 0.005

// maxNameLength is in bytes.
const maxNameLength = 64

// validator checks values and collects errors by key.
type validator struct{ problemList }

// entryKey is the key of an entry of a list.
func entryKey(key string, index int) string { return key + "[" + strconv.Itoa(index) + "]" }

func (v *validator) inRange(key string, value, low, high float64) {
	if !(value >= low && value <= high) { // a NaN is in no range
		v.report(key, "expected %v to %v, got %v", low, high, value)
	}
}

func (v *validator) intInRange(key string, value, low, high int) {
	if value < low || value > high {
		v.report(key, "expected %d to %d, got %d", low, high, value)
	}
}

func (v *validator) durationInRange(key string, value, low, high Duration) {
	if value < low || value > high {
		v.report(key, "expected %v to %v, got %v", low, high, value)
	}
}

// durationLimit is a key with its value and the bounds of it.
type durationLimit struct {
	key       string
	value     Duration
	low, high Duration
}

func (v *validator) durationsInRange(prefix string, limits []durationLimit) {
	for _, limit := range limits {
		v.durationInRange(prefix+limit.key, limit.value, limit.low, limit.high)
	}
}

func (v *validator) oneOf(key, word string, words ...string) {
	if !slices.Contains(words, word) {
		v.report(key, "expected one of %s, got %q", strings.Join(words, ", "), word)
	}
}

// notEmpty checks that a list has at least one entry.
func (v *validator) notEmpty(key string, length int) {
	if length == 0 {
		v.report(key, "expected at least one entry")
	}
}

// sumsToOne checks that a sum of shares is 1.
func (v *validator) sumsToOne(key string, sum float64) {
	if !(math.Abs(sum-1) <= shareTolerance) {
		v.report(key, "expected shares whose sum is 1, got the sum %.4g", sum)
	}
}

// validName checks a name that is used in paths, headers and file names.
func (v *validator) validName(key, name string) {
	valid := name != "" && len(name) <= maxNameLength && name[0] != '.' && name[0] != '-'
	for _, char := range []byte(name) {
		valid = valid && isNameByte(char)
	}
	if !valid {
		v.report(key, "expected 1 to %d letters, digits, '-', '_' or '.', the first not '-' or '.', got %q", maxNameLength, name)
	}
}

func isNameByte(char byte) bool {
	switch {
	case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		return true
	}
	return char == '-' || char == '_' || char == '.'
}

// distinct checks that no name occurs twice.
func (v *validator) distinct(key string, names []string) {
	for i, name := range names {
		if slices.Index(names, name) < i {
			v.report(entryKey(key, i), "%q occurs twice", name)
		}
	}
}
