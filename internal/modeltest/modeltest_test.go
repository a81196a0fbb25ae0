package modeltest

import "testing"

// A run derives each choice from one byte. Once the bytes are used up, there is no further step, and each choice is 0.
func TestNoStepsAfterLastByte(t *testing.T) {
	steps := &Steps{T: t, remaining: []byte{7, 8}}
	if first, second := steps.Pick(5), steps.Pick(3); first != 2 || second != 2 {
		t.Errorf("picked %d and %d, expected 2 and 2", first, second)
	}
	if steps.More() || steps.Pick(5) != 0 {
		t.Error("there are steps after the last byte")
	}
}
