package planner

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"valvecove/internal/tier"
	"valvecove/logic"
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

func testSettings() logic.Settings {
	return logic.Settings{Replicas: 1, TryLimit: 4, SecondCopies: true, Cancelling: true, TellsStart: true, Probes: true,
		ProbePrice: 0.01, ConnectTimeout: 40 * ms, AskEvery: 10 * time.Second, Cold: 10 * time.Second, ColdFrom: 0.2,
		Overload: 1.5, OverloadSpan: time.Second, MaxRetryAfter: time.Second, TenantQuota: []float64{0, 5},
		Classes: []logic.Class{
			{Aim: 400 * ms, Stretch: 2, GiveUp: 3 * time.Second, Effect: logic.Safe, LateShare: 0.3, Worth: 1},
			{Aim: 400 * ms, Stretch: 2, GiveUp: 3 * time.Second, Effect: logic.Unsafe, LateShare: 0.3, Worth: 1},
			{Aim: 400 * ms, Stretch: 2, GiveUp: 3 * time.Second, Effect: logic.Keyed, Group: logic.GroupCell, Window: 2 * time.Second, Worth: 1},
			{Aim: 400 * ms, Stretch: 2, GiveUp: 3 * time.Second, Effect: logic.Safe, Kinds: []int{1}, Worth: 1},
			{Aim: 400 * ms, Stretch: 2, GiveUp: 3 * time.Second, Effect: logic.Keyed, Group: logic.GroupZone, Window: 2 * time.Second, Worth: 1},
		}}
}

// contract is a module that holds the book to what package logic asks of its caller, and hands on to a dispatcher.
type contract struct {
	*logic.Dispatcher
	jobs   map[uint64]*contractJob
	has    map[uint64]bool // workers: ready
	faults []string
	heard  []logic.Event // where kept
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

func newContract(set logic.Settings) *contract {
	return &contract{Dispatcher: logic.New(set, 1), jobs: map[uint64]*contractJob{}, has: map[uint64]bool{}}
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

func (c *contract) Step(now time.Duration, events []logic.Event, dst []logic.Action) []logic.Action {
	for _, e := range events {
		switch e := e.(type) {
		case logic.Job:
			c.arrive(e, nil)
		case logic.Resumed:
			c.arrive(e.Job, e.Attempts)
		case logic.Outcome:
			if a := c.attempt("outcome", e.Job, e.Attempt, e.Worker); a != nil {
				a.ended = true
				c.jobs[e.Job].closed = c.jobs[e.Job].closed || e.Closed
				c.drop(e.Job)
			}
		case logic.Started:
			c.attempt("start", e.Job, e.Attempt, e.Worker)
		case logic.Progressed:
			c.attempt("progress", e.Job, e.Attempt, e.Worker)
		case logic.ClientGone:
			if j := c.jobs[e.Job]; j == nil || j.closed {
				c.fault("job %d is closed twice", e.Job)
			} else {
				j.closed = true
				c.drop(e.Job)
			}
		case logic.WorkerList:
			if e.Kind != logic.ListDelta && e.Kind != logic.ListLost {
				clear(c.has)
			}
			for _, w := range e.Workers {
				if delete(c.has, w.ID); !w.Gone {
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
		case logic.Send:
			if j := c.jobs[a.Job]; j == nil || j.closed {
				c.fault("send of job %d, which is closed", a.Job)
			} else {
				j.attempts = append(j.attempts, contractAttempt{worker: a.Worker})
			}
		case logic.Refuse:
			c.jobs[a.Job].closed = true
			c.drop(a.Job)
		case logic.Fail:
			c.jobs[a.Job].closed = true
			c.drop(a.Job)
		}
	}
	return dst
}

func (c *contract) arrive(j logic.Job, pasts []logic.Past) {
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

func newBook(conf Config) *Book {
	conf.Name, conf.Process, conf.Version = me, 7, 0x100
	if conf.Settings.Classes == nil {
		conf.Settings = testSettings()
	}
	if conf.Start == nil {
		conf.Start = func() Module { return newContract(conf.Settings) }
	}
	return New(conf)
}

// ownerByCell shares cells out by a table of planners.
func ownerByCell(names ...string) func(w *logic.Worker) string {
	return func(w *logic.Worker) string { return names[w.Cell%len(names)] }
}

// checkBook holds the book's counts against what they count.
func checkBook(b *Book) error {
	live, held, slots := 0, 0, 0.0
	refs := map[*host]int{}
	by := map[*forwarder]int{}
	for id, h := range b.jobs {
		out := 0
		for i := range h.attempts {
			refs[h.attempts[i].host]++
			if !h.attempts[i].ended {
				out++
				slots += h.slots
			}
		}
		if h.live {
			live++
			by[h.f]++
		}
		switch {
		case h.id != id || h.out != out:
			return fmt.Errorf("head %d: %d out, counted %d", id, out, h.out)
		case h.live && (h.f == nil || h.f.s == nil || h.f.queries[h.query] != h || h.epoch != h.f.epoch):
			return fmt.Errorf("head %d is open without a session", id)
		case !h.live && (h.out == 0 || !h.lapses):
			return fmt.Errorf("head %d is closed, and would never be forgotten", id)
		case h.in[ofHeld].on != (h.live && h.out == 0):
			return fmt.Errorf("head %d: held %v, open %v with %d out", id, h.in[ofHeld].on, h.live, h.out)
		}
	}
	for h := b.held.first; h != nil; h = h.in[ofHeld].next {
		held++
	}
	if live != b.live || held > live || slots-b.slots > 1e-6 || b.slots-slots > 1e-6 {
		return fmt.Errorf("%d open, counted %d; %d held; %v slots, counted %v", live, b.live, held, slots, b.slots)
	}
	credit := 0
	for _, f := range b.names {
		n := 0
		for h := f.all.first; h != nil; h = h.in[ofForwarder].next {
			n++
		}
		if credit += f.credit; n != len(f.queries) || by[f] != f.live || f.s == nil && (f.live > 0 || f.credit > 0) {
			return fmt.Errorf("forwarder %s: %d queries, %d in its ring, %d open, counted %d", f.name, len(f.queries), n, by[f], f.live)
		}
	}
	if credit > b.conf.Heads {
		return fmt.Errorf("credits come to %d of %d", credit, b.conf.Heads)
	}
	up := 0
	for i, h := range b.order {
		if h.place != i || b.hosts[h.ID] != h || h.refs != refs[h] {
			return fmt.Errorf("worker %d: place %d is %d, %d attempts, counted %d", h.ID, h.place, i, refs[h], h.refs)
		}
		if h.listed && h.word.State == tier.Up {
			up++
		}
	}
	for _, s := range b.seats {
		if up -= s.up; s.up < 0 {
			return fmt.Errorf("seat %v has %d", s.seatKey, s.up)
		}
	}
	if up != 0 || len(b.order) != len(b.hosts) {
		return fmt.Errorf("%d workers up that no seat has, %d known and %d in order", up, len(b.hosts), len(b.order))
	}
	if c, ok := b.module.(*contract); ok && len(c.faults) > 0 {
		return fmt.Errorf("the module was told: %s", c.faults[0])
	}
	return nil
}
