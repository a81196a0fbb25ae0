package forwarder

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/requests"
)

// harness is a forwarder in virtual time: a ledger, the follower as its module, and this in place of clients, worker nodes
// and connections. What it does with them is for those who use it.
type harness struct {
	now          time.Duration
	forwarder    *Forwarder
	table        *requests.Table
	events       eventQueue
	iterations   int
	lastSequence uint64

	onStart       func(a *requests.Attempt)
	onAbandon     func(a *requests.Attempt)
	onCheckHealth func(worker uint64)
	onCloseIdle   func(worker uint64)
	onResponse    func(q *client, what string, after time.Duration)
	onMessage     func(e Outgoing) // a message that leaves
	onAction      func(a dispatch.Action)
	onWatch       func(after int64)
	onStep        func()
}

// recordingPolicy is the follower as the ledger has it, with a look at its actions.
type recordingPolicy struct{ harness *harness }

func (s recordingPolicy) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	from := len(dst)
	dst = s.harness.forwarder.Step(now, events, dst)
	for _, a := range dst[from:] {
		if s.harness.onAction != nil {
			s.harness.onAction(a)
		}
	}
	for _, e := range s.harness.forwarder.Outbox() {
		s.harness.onMessage(cloneOutgoing(e))
	}
	return dst
}

// cloneOutgoing is a message that outlives the step.
func cloneOutgoing(e Outgoing) Outgoing {
	e.Envelope = e.Envelope.Clone()
	return e
}

const startTime = 1000 * time.Hour // worker nodes have started before

func newHarness(settings dispatch.Settings, config Config, selector PlannerSelector, newPolicy func() Policy) *harness {
	r := &harness{now: startTime}
	config.Name, config.Incarnation = "f", 1000
	r.forwarder = New(settings, config, selector, newPolicy)
	return r
}

// start starts the ledger, once all is in place.
func (r *harness) start(known requests.EndpointList) {
	r.table = requests.New(max(1, r.forwarder.settings.AttemptLimit), requests.NameTable{Zones: []string{"z0", "z1", "z2"},
		MachineTypes: []string{"k0", "k1", "k2"}},
		func() requests.Policy { return recordingPolicy{r} }, known, r, slog.New(slog.DiscardHandler))
}

func (r *harness) Start(a *requests.Attempt)   { r.onStart(a) }
func (r *harness) Abandon(a *requests.Attempt) { r.onAbandon(a) }

func (r *harness) Cancel(a *requests.Attempt) { // its worker node is told at once
	r.table.CancelCompleted(a, true)
	r.onAbandon(a)
}
func (r *harness) CheckHealth(worker uint64)          { r.onCheckHealth(worker) }
func (r *harness) CloseIdleConnections(worker uint64) { r.onCloseIdle(worker) }
func (r *harness) Watch(after int64)                  { r.onWatch(after) }

// settle turns the loop until nothing is left to do at this instant.
func (r *harness) settle() {
	for n := 0; ; n++ {
		if r.forwarder.HasPending() {
			r.table.Wake()
		}
		at, ok := r.table.NextStep()
		if !ok || at > r.now {
			return
		}
		if r.iterations++; n > 10000 {
			panic("no end at one instant")
		}
		if r.table.Step(r.now); r.onStep != nil {
			r.onStep()
		}
	}
}

// runUntil lets time pass, and does what is due meanwhile.
func (r *harness) runUntil(end time.Duration) {
	r.settle()
	for {
		next := end
		if at, ok := r.table.NextStep(); ok && at < next {
			next = at
		}
		if len(r.events) > 0 && r.events[0].at < next {
			next = r.events[0].at
		}
		r.now = max(r.now, next)
		for len(r.events) > 0 && r.events[0].at <= r.now {
			heap.Pop(&r.events).(scheduledEvent).act()
		}
		if r.settle(); next >= end {
			return
		}
	}
}

// after has something done later.
func (r *harness) after(span time.Duration, act func()) {
	heap.Push(&r.events, scheduledEvent{r.now + span, r.lastSequence, act})
	r.lastSequence++
}

type scheduledEvent struct {
	at       time.Duration
	sequence uint64
	act      func()
}

type eventQueue []scheduledEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, k int) bool {
	return a[i].at < a[k].at || a[i].at == a[k].at && a[i].sequence < a[k].sequence
}
func (a eventQueue) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

// client is a client's side of a query.
type client struct {
	harness   *harness
	request   *requests.Request
	name      string
	responses []string
}

func (a *client) RespondResult([]byte) { a.respond("served", 0) }

func (a *client) RespondRejected(after time.Duration) { a.respond("refused", after) }

func (a *client) RespondFailed() { a.respond("failed", 0) }

func (a *client) respond(what string, after time.Duration) {
	a.responses = append(a.responses, what)
	a.harness.onResponse(a, what, after)
}

// admit has a query come.
func (r *harness) admit(name string, job dispatch.Job) *client {
	a := &client{harness: r, name: name}
	q, err := r.table.Admit(r.now, requests.Arrival{CallID: name, Job: job, Responder: a})
	if err != nil {
		panic(err)
	}
	a.request = q
	return a
}

func workerID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// fixedOrder is a chooser that has the planners in a fixed order.
type fixedOrder struct {
	planners []string
	calls    []string // what it heard, for tests
}

func (c *fixedOrder) PlannersKnown(_ time.Duration, names []string) {
	c.calls = append(c.calls, "known "+strings.Join(names, " "))
}

func (c *fixedOrder) SessionChanged(_ time.Duration, name string, up bool) {
	c.calls = append(c.calls, fmt.Sprintf("%s %v", name, up))
}

func (c *fixedOrder) ReplyReceived(_ time.Duration, name string, took, late time.Duration) {
	c.calls = append(c.calls, fmt.Sprintf("%s took %v late %v", name, took, late))
}

func (c *fixedOrder) AppendOrder(_ time.Duration, dst []string) []string {
	return append(dst, c.planners...)
}

func (c *fixedOrder) Next() time.Duration { return 0 }

// simplePolicy is a module that is easily foreseen: it sends each job to the first worker that is ready and has not had it,
// one at a time, and refuses it where there is none. While none is ready at all it holds them.
type simplePolicy struct {
	ready    []uint64
	jobs     map[uint64]*simpleJob
	onEvent  func(e dispatch.Event)
	panicsOn func(e dispatch.Event) bool
}

type simpleJob struct {
	workers  []uint64
	inFlight int
}

func (m *simplePolicy) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, e := range events {
		m.onEvent(e)
		if m.panicsOn != nil && m.panicsOn(e) {
			panic("scripted")
		}
		switch e := e.(type) {
		case dispatch.WorkerList:
			if e.Kind == dispatch.ListDelta {
				for _, w := range e.Workers {
					m.ready = slices.DeleteFunc(m.ready, func(id uint64) bool { return id == w.ID })
				}
			} else if e.Kind != dispatch.ListUnavailable {
				m.ready = m.ready[:0]
			}
			for _, w := range e.Workers {
				if w.Ready && !w.Removed {
					m.ready = append(m.ready, w.ID)
				}
			}
			for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
				dst = m.place(id, dst)
			}
		case dispatch.Job:
			m.jobs[e.ID] = &simpleJob{}
			dst = m.place(e.ID, dst)
		case dispatch.JobResumed:
			j := &simpleJob{}
			for _, p := range e.Attempts {
				if j.workers = append(j.workers, p.Worker); !p.Ended {
					j.inFlight++
				}
			}
			m.jobs[e.Job.ID] = j
			dst = m.place(e.Job.ID, dst)
		case dispatch.Outcome:
			if j := m.jobs[e.Job]; j != nil && e.Attempt < len(j.workers) {
				if j.inFlight--; e.Closed {
					delete(m.jobs, e.Job)
				} else {
					dst = m.place(e.Job, dst)
				}
			}
		case dispatch.ClientDisconnected:
			delete(m.jobs, e.Job)
		}
	}
	return dst
}

func (m *simplePolicy) place(id uint64, dst []dispatch.Action) []dispatch.Action {
	j := m.jobs[id]
	if j.inFlight > 0 || len(m.ready) == 0 {
		return dst
	}
	for _, w := range m.ready {
		if !slices.Contains(j.workers, w) {
			j.workers = append(j.workers, w)
			j.inFlight++
			return append(dst, dispatch.Send{Job: id, Worker: w})
		}
	}
	delete(m.jobs, id)
	return append(dst, dispatch.Reject{Job: id})
}

// messageText is a message as plays have it.
func messageText(e message.Envelope, epoch func(message.Epoch) string, worker func(uint64) string) string {
	s := &strings.Builder{}
	fmt.Fprintf(s, "%v %s", e.Message.Kind(), epoch(e.Epoch))
	put := func(format string, args ...any) { fmt.Fprintf(s, " "+format, args...) }
	switch m := e.Message.(type) {
	case *message.RequestOffer:
		put("q%d left=%v", m.RequestID, m.Summary.Remaining)
		s.WriteString(summaryText(&m.Summary, worker))
	case *message.AttemptEnded:
		put("q%d #%d %s", m.RequestID, m.Attempt, resultNames[m.Result])
		if m.Reason != message.ReasonNone {
			put("as %v", m.Reason)
		}
	case *message.AttemptStarted:
		put("q%d #%d", m.RequestID, m.Attempt)
	case *message.AttemptProgress:
		put("q%d #%d %v", m.RequestID, m.Attempt, m.Fraction)
	case *message.RequestClosed:
		put("q%d", m.RequestID)
	case *message.HealthCheckResult:
		put("%s %s", worker(m.WorkerID), resultNames[m.Result])
	case *message.Heartbeat:
		put("%d", m.Sequence)
	case *message.WorkerStatus:
		put("%s start=%v gen=%d %v", worker(m.WorkerID), time.Duration(m.StartedMs)*time.Millisecond, m.Revision, m.State)
	}
	return s.String()
}

func summaryText(h *message.RequestSummary, worker func(uint64) string) string {
	s := &strings.Builder{}
	put := func(format string, args ...any) { fmt.Fprintf(s, " "+format, args...) }
	if h.Waited > 0 {
		put("waited=%v", h.Waited)
	}
	if h.Transfers > 0 {
		put("moves=%d", h.Transfers)
	}
	for i, p := range h.Attempts {
		put("[#%d %s %v ago", i, worker(p.WorkerID), p.SentAgo)
		if p.StartedAgo > 0 {
			put("began %v ago", p.StartedAgo)
		}
		if p.Ended {
			put("%s", resultNames[p.Result])
		} else {
			put("out")
		}
		if p.PossiblyExecuted {
			put("may have run")
		}
		s.WriteString("]")
	}
	return s.String()
}

var resultNames = []string{"ok", "failed", "full", "timeout", "noconnect", "reset", "cancelled", "notsent"}
