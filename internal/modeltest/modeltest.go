// Package modeltest is what the model tests share: it turns a fuzzer's bytes into the random steps that a model and
// the code are both put through.
package modeltest

import (
	"math/rand/v2"
	"testing"
	"time"

	"valvecove/dispatch"
)

// ScriptedPolicy is a decision module that does as it is told, and remembers what it has heard.
type ScriptedPolicy struct {
	Next     []dispatch.Action // for the next step
	Received []dispatch.Event
	Panic    bool // instead, once
}

// Step hands out what was scripted.
func (m *ScriptedPolicy) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	if m.Panic {
		m.Panic = false
		panic("scripted")
	}
	m.Received = append(m.Received, events...)
	dst = append(dst, m.Next...)
	m.Next = nil
	return dst
}

// Steps deals out choices until its bytes are used up.
type Steps struct {
	T         *testing.T
	remaining []byte
	history   []string
}

// More tells whether another step is to be taken.
func (s *Steps) More() bool { return len(s.remaining) > 0 }

// Pick chooses one of n.
func (s *Steps) Pick(n int) int {
	if len(s.remaining) == 0 {
		return 0
	}
	b := s.remaining[0]
	s.remaining = s.remaining[1:]
	return int(b) % n
}

// Record notes a step, for the message of a failure.
func (s *Steps) Record(what string) { s.history = append(s.history, what) }

// Check fails the test, with the steps that led here, unless ok.
func (s *Steps) Check(ok bool, format string, args ...any) {
	if !ok {
		s.T.Helper()
		s.T.Fatalf("after %v: "+format, append([]any{s.history}, args...)...)
	}
}

// maxSteps keeps a run short: more steps than that find nothing that fewer do not.
const maxSteps = 1000

// Fuzz runs a model on seeded sequences, always the same ones, and on whatever the fuzzer finds.
func Fuzz(f *testing.F, model func(s *Steps)) {
	rng := rand.New(rand.NewPCG(1, 2))
	for n := range 120 {
		seed := make([]byte, 20+4*n)
		for i := range seed {
			seed[i] = byte(rng.Uint32())
		}
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, b []byte) { model(&Steps{T: t, remaining: b[:min(len(b), maxSteps)]}) })
}
