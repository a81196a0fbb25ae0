// Package faultinjection has system calls of an event loop fail, fall short or take long, as a test's rules say. Which calls
// are hit is drawn from a seed: the same calls in the same order are hit in the same way. It is for tests alone.
package faultinjection

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
)

// Rule says which calls are hit, and how. A call is hit by the first rule that applies to it.
type Rule struct {
	Calls       []eventloop.Call          // of these kinds; none: of all
	Descriptor  func(descriptor int) bool // for descriptors of which this is true; nil: for all
	From, Until time.Duration             // by the injector's clock, Until not included; 0: without limit
	Skip        int                       // so many that would be hit are let be first
	Times       int                       // so many are hit, and no more; 0: without limit
	Share       float64                   // of those that are left, drawn by chance; 0: all of them

	Errnos    []unix.Errno // the call fails with one of these, drawn by chance; none: it does not fail
	MaxLength int          // reads and writes take a length drawn from 1 to this; 0: the whole
	Stall     func()       // called before the call is made, to move the test's clock on; nil: nothing is
}

// Injector holds the rules, and counts what was injected. It may be used from several goroutines.
type Injector struct {
	mutex    sync.Mutex
	rng      *rand.Rand
	clock    func() time.Duration
	rules    []*appliedRule
	calls    [eventloop.NumCalls]int
	injected [eventloop.NumCalls]int
}

type appliedRule struct {
	Rule
	skipped, hit int
}

// New returns an injector that has no rules yet. The clock is that of the rules' times; nil: no rule has one.
func New(seed uint64, clock func() time.Duration) *Injector {
	return &Injector{rng: rand.New(rand.NewPCG(seed, 0)), clock: clock}
}

// Add adds a rule, behind those that are there.
func (i *Injector) Add(rule Rule) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.rules = append(i.rules, &appliedRule{Rule: rule})
}

// Clear drops all rules. The counts stay.
func (i *Injector) Clear() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.rules = nil
}

// Syscalls returns system calls that the rules apply to.
func (i *Injector) Syscalls() eventloop.Syscalls { return eventloop.Syscalls{Interceptor: i.Intercept} }

// Calls returns how many calls of a kind there were.
func (i *Injector) Calls(call eventloop.Call) int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.calls[call]
}

// Injected returns how many calls of a kind were hit.
func (i *Injector) Injected(call eventloop.Call) int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.injected[call]
}

// TotalInjected returns how many calls were hit.
func (i *Injector) TotalInjected() (total int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, n := range i.injected {
		total += n
	}
	return total
}

// Intercept is the eventloop.Interceptor.
func (i *Injector) Intercept(call eventloop.Call, descriptor int) eventloop.Injection {
	injection, stall := i.draw(call, descriptor)
	if stall != nil { // the test's own, which may call this injector
		stall()
	}
	return injection
}

func (i *Injector) draw(call eventloop.Call, descriptor int) (injection eventloop.Injection, stall func()) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.calls[call]++
	for _, rule := range i.rules {
		if !i.applies(rule, call, descriptor) {
			continue
		}
		i.injected[call]++
		if len(rule.Errnos) > 0 {
			injection.Errno = rule.Errnos[i.rng.IntN(len(rule.Errnos))]
		}
		if rule.MaxLength > 0 {
			injection.MaxLength = 1 + i.rng.IntN(rule.MaxLength)
		}
		return injection, rule.Stall
	}
	return injection, nil
}

// applies reports whether a rule hits a call, and keeps account of that.
func (i *Injector) applies(rule *appliedRule, call eventloop.Call, descriptor int) bool {
	switch {
	case len(rule.Calls) > 0 && !slices.Contains(rule.Calls, call),
		rule.Descriptor != nil && !rule.Descriptor(descriptor),
		rule.From > 0 && i.clock() < rule.From,
		rule.Until > 0 && i.clock() >= rule.Until,
		rule.Times > 0 && rule.hit >= rule.Times,
		rule.Share > 0 && i.rng.Float64() >= rule.Share:
		return false
	case rule.skipped < rule.Skip:
		rule.skipped++
		return false
	}
	rule.hit++
	return true
}
