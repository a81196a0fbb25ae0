// Package baseline has reference policies that any module can be held against in the same environment: each is a
// ledger.Module that keeps the rules a scheduler must keep, and differs from the others in its choice of worker
// alone. Random choice is the floor, the one that sees the true state of all workers is the top.
//
// What they have in common (base): a request is sent where its class may go and to no worker that drains or is
// gone; a cold one is passed over as often as it lacks capacity; an attempt that proves never to have run is
// followed by another elsewhere, one that may have run only as far as the class permits; what can't be sent any
// more is refused where that is harmless, and failed elsewhere. They decide the same for the same seed.
package baseline

import (
	"slices"

	"valvecove/dispatch"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/environment"
)

// Oracle is what only a baseline policy in the testbed may know.
type Oracle interface {
	// WorkerIndex is the environment's number of the machine that a module knows as worker; not ok: there is none.
	WorkerIndex(worker uint64) (node int, ok bool)
	// View is a machine's true state, and what passes between it and the scheduler.
	View(node int) environment.View
	// Work is the true work of a job that arrived in the present step: seconds on a standard core, and slots. Runs
	// vary about it by the noise of the job's class.
	Work(job uint64) (work, slots float64, ok bool)
}

// Maker makes a module that knows nothing.
type Maker func(set dispatch.Settings, seed uint64, o Oracle) requests.Policy

// Policy is one baseline policy.
type Policy struct {
	Name        string
	Description string // one sentence
	// ForRun gives the maker of one run's modules. Those of one run may share what is true at an instant.
	ForRun func() Maker
}

// All are the baseline policies, from the floor to the top.
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
		{"all-seeing", "the request first whose start can wait least, to a worker that truly can start it now and" +
			" be in time; what can't be in time is rejected", func() Maker {
			flight := &sharedFlight{}
			return func(set dispatch.Settings, seed uint64, o Oracle) requests.Policy {
				b := newBase(set, seed)
				b.policy = newOmniscient(b, o, flight)
				return b
			}
		}},
	}
}

// Find finds a baseline policy by its name.
func Find(name string) (Policy, bool) {
	all := All()
	i := slices.IndexFunc(all, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		return Policy{}, false
	}
	return all[i], true
}

func withChooser(choose func(b *base) chooser) func() Maker {
	return func() Maker {
		return func(set dispatch.Settings, seed uint64, _ Oracle) requests.Policy {
			b := newBase(set, seed)
			b.policy = &immediate{base: b, chooser: choose(b)}
			return b
		}
	}
}
