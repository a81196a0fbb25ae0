// Package baseline has reference policies with which the dispatcher is compared in the same environment. Each is a
// requests.Policy that follows the rules for schedulers, and differs from the others only in when it sends a job and to which
// worker. Random choice is the lower bound; the policy that sees the true state of all workers is the upper bound.
//
// The common part (base): a job is sent only to workers that its class allows and that are neither draining nor removed. A
// worker that is warming up is skipped with a probability that grows with the capacity that it lacks. An attempt that was not
// executed is retried at another worker; one that was possibly executed is retried only if the job's class allows that. A job
// that can't be sent any more is rejected if its client may retry, and fails otherwise. Decisions are the same for the same
// seed.
//
// Files: base.go (the step), jobs.go, attempts.go and workers.go (the common part), simple.go (the policies that see only
// their own requests), omniscient.go with flight.go and heap.go (the policy that sees the true state).
package baseline

import (
	"slices"

	"valvecove/dispatch"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/environment"
)

// Oracle gives a baseline policy the true state of the environment.
type Oracle interface {
	// WorkerIndex returns the environment's number of a worker, given its ID; ok is false if there is none.
	WorkerIndex(worker uint64) (node int, ok bool)
	// View returns the true state of a worker, given its number, and of the network between it and the scheduler.
	View(node int) environment.View
	// Work returns the true work of a job that arrived in the current step: seconds on a standard core, and slots. Each
	// execution takes that time with the random variation of the job's class.
	Work(job uint64) (work, slots float64, ok bool)
}

// Factory creates a policy in its initial state.
type Factory func(set dispatch.Settings, seed uint64, o Oracle) requests.Policy

// Policy is one baseline policy.
type Policy struct {
	Name        string
	Description string // one sentence
	// ForRun returns the Factory for one run, which is called for each scheduler. The policies of a run may share state.
	ForRun func() Factory
}

// All returns the baseline policies, from the lower bound to the upper bound.
func All() []Policy {
	return []Policy{
		{"random", "any worker, each as likely", withChooser(func(b *base) chooser { return random{b} })},
		{"round-robin", "the workers in turn", withChooser(func(b *base) chooser { return &roundRobin{base: b} })},
		{
			"two-choices", "the one with fewer of the scheduler's own requests in flight, of two drawn at random",
			withChooser(func(b *base) chooser { return twoChoices{b} }),
		},
		{
			"least-outstanding", "the one with the fewest of the scheduler's own requests in flight",
			withChooser(func(b *base) chooser { return &leastOutstanding{base: b} }),
		},
		{"all-seeing", "by the true state of workers: the request that must start soonest first, to a worker that can start" +
			" it now and end it in time; requests that can't be in time are rejected", func() Factory {
			flight := &sharedFlight{}
			return func(set dispatch.Settings, seed uint64, o Oracle) requests.Policy {
				b := newBase(set, seed)
				b.policy = newOmniscient(b, o, flight)
				return b
			}
		}},
	}
}

// Find returns the baseline policy with a name; the second result is false if there is none.
func Find(name string) (Policy, bool) {
	all := All()
	index := slices.IndexFunc(all, func(policy Policy) bool { return policy.Name == name })
	if index < 0 {
		return Policy{}, false
	}
	return all[index], true
}

// withChooser returns Policy.ForRun for a policy that sends each job at once to the worker that a chooser selects.
func withChooser(choose func(b *base) chooser) func() Factory {
	return func() Factory {
		return func(set dispatch.Settings, seed uint64, _ Oracle) requests.Policy {
			b := newBase(set, seed)
			b.policy = &immediate{base: b, chooser: choose(b)}
			return b
		}
	}
}
