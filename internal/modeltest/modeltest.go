// Package modeltest runs model tests. It derives random choices from a fuzzer's bytes; a test uses them to choose the steps that
// it executes both on a model and on the code under test. The package is independent of both, and is used only by tests.
package modeltest

import (
	"math/rand/v2"
	"testing"
)

// The seed inputs of Fuzz.
const (
	seedCount     = 120
	seedBytes     = 20 // length of the first one
	seedIncrement = 4  // number of bytes by which each one is longer than the one before
)

// maxSteps is the maximum number of bytes of a run. It also bounds the steps, each of which uses at least one byte. Longer runs
// find no faults that shorter ones do not find.
const maxSteps = 1000

// Steps makes the random choices of one run, until the bytes of the run are used up.
type Steps struct {
	T         testing.TB
	remaining []byte
	history   []string
}

// More reports whether there are bytes for another step.
func (s *Steps) More() bool { return len(s.remaining) > 0 }

// Pick returns a random number from 0 to n-1, for which it uses one byte. It returns 0 once the bytes are used up.
func (s *Steps) Pick(n int) int {
	if len(s.remaining) == 0 {
		return 0
	}
	choice := int(s.remaining[0]) % n
	s.remaining = s.remaining[1:]
	return choice
}

// Record adds a step to the history, which the message of a failed Check contains.
func (s *Steps) Record(step string) { s.history = append(s.history, step) }

// Check fails the test with the history if ok is false.
func (s *Steps) Check(ok bool, format string, args ...any) {
	s.T.Helper()
	if !ok {
		s.T.Fatalf("after %v: "+format, append([]any{s.history}, args...)...)
	}
}

// Fuzz runs a model with the seed inputs, which are always the same, and with the inputs that the fuzzer generates.
func Fuzz(f *testing.F, model func(steps *Steps)) {
	f.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	for n := range seedCount {
		seed := make([]byte, seedBytes+seedIncrement*n)
		for i := range seed {
			seed[i] = byte(rng.Uint32())
		}
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		model(&Steps{T: t, remaining: input[:min(len(input), maxSteps)]})
	})
}
