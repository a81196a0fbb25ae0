// Package modeltest runs model tests: it turns a fuzzer's bytes into random steps, which a model and the code under test
// both take. It knows neither the steps nor the code, and is for tests alone.
package modeltest

import (
	"math/rand/v2"
	"testing"
)

// Seeded sequences of Fuzz: how many, and the bytes of the shortest and by which each is longer than the one before.
const (
	seedCount     = 120
	seedBytes     = 20
	seedIncrement = 4
)

// maxSteps bounds the bytes of a run, which take a step each at most: longer runs find nothing that shorter ones do not.
const maxSteps = 1000

// Steps makes the random choices of one run until its bytes are used up.
type Steps struct {
	T         *testing.T
	remaining []byte
	history   []string
}

// More reports whether another step is to be taken.
func (s *Steps) More() bool { return len(s.remaining) > 0 }

// Pick returns a choice from 0 to n-1, which takes one byte. It returns 0 once the bytes are used up.
func (s *Steps) Pick(n int) int {
	if len(s.remaining) == 0 {
		return 0
	}
	choice := int(s.remaining[0]) % n
	s.remaining = s.remaining[1:]
	return choice
}

// Record adds a step to the history that a failure shows.
func (s *Steps) Record(step string) { s.history = append(s.history, step) }

// Check fails the test, with the history, unless ok.
func (s *Steps) Check(ok bool, format string, args ...any) {
	s.T.Helper()
	if !ok {
		s.T.Fatalf("after %v: "+format, append([]any{s.history}, args...)...)
	}
}

// Fuzz runs a model on seeded sequences, which are the same each time, and on whatever the fuzzer finds.
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
