// Package faultinjection injects faults into the system calls of an event loop, by the rules of a test: calls fail, transfer
// fewer bytes, or take long. Random choices follow from a seed, so the same sequence of calls gets the same faults. It is for
// tests only.
package faultinjection

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
)

// Rule describes a fault and the calls that it is injected into. The first rule that applies to a call is used.
type Rule struct {
	Calls       []eventloop.Call          // the kinds of calls that the rule applies to; empty: all
	Descriptor  func(descriptor int) bool // reports whether the rule applies to a descriptor; nil: to all
	From, Until time.Duration             // when the rule applies, by the injector's clock, Until excluded; 0: no limit
	Skip        int                       // number of matching calls without a fault before the first one with a fault
	Times       int                       // maximum number of calls with a fault; 0: no limit
	Probability float64                   // probability that the rule applies to a matching call; 0: it always applies

	Errnos    []unix.Errno // the call fails with one of these, chosen at random; empty: it does not fail
	MaxLength int          // reads and writes transfer at most a random length from 1 to this; 0: no limit
	Stall     func()       // called before the call, to advance the test's clock; nil: none
}

// Injector applies rules, and counts the calls and the injected faults. It may be used from several goroutines.
type Injector struct {
	mutex    sync.Mutex
	rng      *rand.Rand
	clock    func() time.Duration
	rules    []*ruleState
	calls    [eventloop.NumCalls]int
	injected [eventloop.NumCalls]int
}

// ruleState is a rule with the numbers of calls that it has skipped and injected a fault into.
type ruleState struct {
	Rule
	skipped, injected int
}

// New returns an injector without rules. The clock is that of From and Until; it may be nil if no rule uses these.
func New(seed uint64, clock func() time.Duration) *Injector {
	return &Injector{rng: rand.New(rand.NewPCG(seed, 0)), clock: clock}
}

// Add adds a rule after the existing ones.
func (i *Injector) Add(rule Rule) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.rules = append(i.rules, &ruleState{Rule: rule})
}

// Clear removes all rules. The counts are kept.
func (i *Injector) Clear() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.rules = nil
}

// Syscalls returns system calls into which the injector injects faults.
func (i *Injector) Syscalls() eventloop.Syscalls { return eventloop.Syscalls{Interceptor: i.Intercept} }

// Calls returns the number of calls of a kind.
func (i *Injector) Calls(call eventloop.Call) int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.calls[call]
}

// Injected returns the number of calls of a kind with an injected fault.
func (i *Injector) Injected(call eventloop.Call) int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.injected[call]
}

// TotalInjected returns the number of calls with an injected fault.
func (i *Injector) TotalInjected() (total int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, n := range i.injected {
		total += n
	}
	return total
}

// Intercept implements eventloop.Interceptor.
func (i *Injector) Intercept(call eventloop.Call, descriptor int) eventloop.Injection {
	injection, stall := i.inject(call, descriptor)
	if stall != nil { // not called under the mutex, as it may call the injector
		stall()
	}
	return injection
}

// inject returns the fault for a call and the Stall of its rule, if any.
func (i *Injector) inject(call eventloop.Call, descriptor int) (injection eventloop.Injection, stall func()) {
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

// applies reports whether a rule applies to a call, and updates the counts of the rule.
func (i *Injector) applies(rule *ruleState, call eventloop.Call, descriptor int) bool {
	switch {
	case len(rule.Calls) > 0 && !slices.Contains(rule.Calls, call),
		rule.Descriptor != nil && !rule.Descriptor(descriptor),
		rule.From > 0 && i.clock() < rule.From,
		rule.Until > 0 && i.clock() >= rule.Until,
		rule.Times > 0 && rule.injected >= rule.Times,
		rule.Probability > 0 && i.rng.Float64() >= rule.Probability:
		return false
	case rule.skipped < rule.Skip:
		rule.skipped++
		return false
	}
	rule.injected++
	return true
}
