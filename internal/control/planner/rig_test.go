package planner

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

const ms = time.Millisecond

const me = "plan-a"

// TestMain has random plays always be the same ones, unless flags say otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, want := range map[string][2]string{"rapid.seed": {"0", "1"}, "rapid.checks": {"100", "150"}} {
		if f := flag.Lookup(name); f.Value.String() == want[0] {
			if err := f.Value.Set(want[1]); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// poison is the tenant whose jobs make modules panic.
const poison = 9

func testSettings() dispatch.Settings {
	return dispatch.Settings{
		Replicas: 1, AttemptLimit: 4, Hedging: true, Cancellation: true, StartNotifications: true, HealthChecks: true,
		HealthCheckCost: 0.01, ConnectTimeout: 40 * ms, PollInterval: 10 * time.Second, WarmUp: 10 * time.Second, WarmUpCapacity: 0.2,
		OverloadFactor: 1.5, OverloadWindow: time.Second, MaxRetryAfter: time.Second, TenantQuota: []float64{0, 5},
		Classes: []dispatch.Class{
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, ClientTimeout: 3 * time.Second, Idempotency: dispatch.Idempotent, LateValue: 0.3, PriorityWeight: 1},
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, ClientTimeout: 3 * time.Second, Idempotency: dispatch.NonIdempotent, LateValue: 0.3, PriorityWeight: 1},
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, ClientTimeout: 3 * time.Second, Idempotency: dispatch.IdempotentWithKey, DeduplicationScope: dispatch.ScopeCell, DeduplicationWindow: 2 * time.Second, PriorityWeight: 1},
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, ClientTimeout: 3 * time.Second, Idempotency: dispatch.Idempotent, Kinds: []int{1}, PriorityWeight: 1},
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, ClientTimeout: 3 * time.Second, Idempotency: dispatch.IdempotentWithKey, DeduplicationScope: dispatch.ScopeZone, DeduplicationWindow: 2 * time.Second, PriorityWeight: 1},
		},
	}
}

// contract is a module that holds the book to what package logic asks of its caller, and hands on to a dispatcher.
type contract struct {
	*dispatch.Dispatcher
	jobs   map[uint64]*contractJob
	has    map[uint64]bool // workers: ready
	faults []string
	heard  []dispatch.Event // where kept
	keeps  bool
}

type contractJob struct {
	closed   bool
	attempts []contractAttempt
}

type contractAttempt struct {
	worker uint64
	ended  bool
}

func newContract(set dispatch.Settings) *contract {
	return &contract{Dispatcher: dispatch.New(set, 1), jobs: map[uint64]*contractJob{}, has: map[uint64]bool{}}
}

func (c *contract) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *contract) attempt(what string, job uint64, n int, worker uint64) *contractAttempt {
	j := c.jobs[job]
	if j == nil || n < 0 || n >= len(j.attempts) || j.attempts[n].ended || j.attempts[n].worker != worker {
		c.fault("%s of job %d, attempt %d at %d, which is not out", what, job, n, worker)
		return nil
	}
	return &j.attempts[n]
}

func (c *contract) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.Job:
			c.arrive(e, nil)
		case dispatch.JobResumed:
			c.arrive(e.Job, e.Attempts)
		case dispatch.Outcome:
			if a := c.attempt("outcome", e.Job, e.Attempt, e.Worker); a != nil {
				a.ended = true
				c.jobs[e.Job].closed = c.jobs[e.Job].closed || e.Closed
				c.drop(e.Job)
			}
		case dispatch.Started:
			c.attempt("start", e.Job, e.Attempt, e.Worker)
		case dispatch.Progressed:
			c.attempt("progress", e.Job, e.Attempt, e.Worker)
		case dispatch.ClientDisconnected:
			if j := c.jobs[e.Job]; j == nil || j.closed {
				c.fault("job %d is closed twice", e.Job)
			} else {
				j.closed = true
				c.drop(e.Job)
			}
		case dispatch.WorkerList:
			if e.Kind != dispatch.ListDelta && e.Kind != dispatch.ListUnavailable {
				clear(c.has)
			}
			for _, w := range e.Workers {
				if delete(c.has, w.ID); !w.Removed {
					c.has[w.ID] = w.Ready
				}
			}
		}
	}
	if c.keeps {
		c.heard = append(c.heard, events...)
	}
	from := len(dst)
	dst = c.Dispatcher.Step(now, events, dst)
	for _, a := range dst[from:] {
		switch a := a.(type) {
		case dispatch.Send:
			if j := c.jobs[a.Job]; j == nil || j.closed {
				c.fault("send of job %d, which is closed", a.Job)
			} else {
				j.attempts = append(j.attempts, contractAttempt{worker: a.Worker})
			}
		case dispatch.Reject:
			c.jobs[a.Job].closed = true
			c.drop(a.Job)
		case dispatch.Fail:
			c.jobs[a.Job].closed = true
			c.drop(a.Job)
		}
	}
	return dst
}

func (c *contract) arrive(j dispatch.Job, pasts []dispatch.PastAttempt) {
	if j.Tenant == poison {
		panic("poison")
	}
	if c.jobs[j.ID] != nil {
		c.fault("job %d arrives twice", j.ID)
	}
	x := &contractJob{}
	for _, p := range pasts {
		x.attempts = append(x.attempts, contractAttempt{p.Worker, p.Ended})
		if _, known := c.has[p.Worker]; !known {
			c.fault("job %d comes with an attempt at worker %d, which was not told of", j.ID, p.Worker)
		}
	}
	c.jobs[j.ID] = x
}

func (c *contract) drop(id uint64) {
	if j := c.jobs[id]; j.closed && !slices.ContainsFunc(j.attempts, func(a contractAttempt) bool { return !a.ended }) {
		delete(c.jobs, id)
	}
}

func newBook(conf Config) *Planner {
	conf.Name, conf.Incarnation, conf.Version = me, 7, 0x100
	if conf.Settings.Classes == nil {
		conf.Settings = testSettings()
	}
	if conf.NewPolicy == nil {
		conf.NewPolicy = func() Policy { return newContract(conf.Settings) }
	}
	return New(conf)
}

// ownerByCell shares cells out by a table of planners.
func ownerByCell(names ...string) func(w *dispatch.Worker) string {
	return func(w *dispatch.Worker) string { return names[w.Cell%len(names)] }
}

// checkBook holds the book's counts against what they count.
func checkBook(b *Planner) error {
	live, held, slots := 0, 0, 0.0
	refs := map[*worker]int{}
	by := map[*forwarder]int{}
	for id, h := range b.requests.byID {
		out := 0
		for i := range h.attempts {
			refs[h.attempts[i].worker]++
			if h.attempts[i].inFlight() {
				out++
				slots += h.slots
			}
		}
		if h.state.isOpen() {
			live++
			by[h.forwarder]++
		}
		switch {
		case h.id != id || h.inFlight != out:
			return fmt.Errorf("head %d: %d out, counted %d", id, out, h.inFlight)
		case h.state.isOpen() && (h.forwarder == nil || h.forwarder.session == nil || h.forwarder.requests[h.forwarderID] != h || h.epoch != h.forwarder.epoch):
			return fmt.Errorf("head %d is open without a session", id)
		case !h.state.isOpen() && (h.inFlight == 0 || h.state != requestClosing):
			return fmt.Errorf("head %d is closed, and would never be forgotten", id)
		case (h.state == requestQueued) != (h.state.isOpen() && h.inFlight == 0):
			return fmt.Errorf("head %d: held %v, open %v with %d out", id, h.state == requestQueued, h.state.isOpen(), h.inFlight)
		}
	}
	for range b.requests.queued.all() {
		held++
	}
	if live != b.requests.openCount || held > live || slots-b.requests.slotsInUse > 1e-6 || b.requests.slotsInUse-slots > 1e-6 {
		return fmt.Errorf("%d open, counted %d; %d held; %v slots, counted %v", live, b.requests.openCount, held, slots, b.requests.slotsInUse)
	}
	credit := 0
	for _, f := range b.forwarders.byName {
		n := 0
		for range f.offered.all() {
			n++
		}
		if credit += f.credit.limit; n != len(f.requests) || by[f] != f.openCount || f.session == nil && (f.openCount > 0 || f.credit.limit > 0) {
			return fmt.Errorf("forwarder %s: %d queries, %d in its ring, %d open, counted %d", f.name, len(f.requests), n, by[f], f.openCount)
		}
	}
	if credit > b.config.MaxOpenRequests {
		return fmt.Errorf("credits come to %d of %d", credit, b.config.MaxOpenRequests)
	}
	up := 0
	for i, h := range b.workers.list {
		if h.index != i || b.workers.byID[h.ID] != h || h.references != refs[h] {
			return fmt.Errorf("worker %d: place %d is %d, %d attempts, counted %d", h.ID, h.index, i, refs[h], h.references)
		}
		if h.listed && h.status.State == message.WorkerUp {
			up++
		}
	}
	for _, s := range b.locations.locations {
		if up -= s.available; s.available < 0 {
			return fmt.Errorf("seat %v has %d", s.locationKey, s.available)
		}
	}
	if up != 0 || len(b.workers.list) != len(b.workers.byID) {
		return fmt.Errorf("%d workers up that no seat has, %d known and %d in order", up, len(b.workers.byID), len(b.workers.list))
	}
	if c, ok := b.policy.policy.(*contract); ok && len(c.faults) > 0 {
		return fmt.Errorf("the module was told: %s", c.faults[0])
	}
	return nil
}
