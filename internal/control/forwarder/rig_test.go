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

// rig is a forwarder in virtual time: a ledger, the follower as its module, and this in place of clients, worker nodes
// and connections. What it does with them is for those who use it.
type rig struct {
	now    time.Duration
	f      *Forwarder
	l      *requests.Table
	agenda agenda
	turns  int
	seq    uint64

	carry   func(a *requests.Attempt)
	giveUp  func(a *requests.Attempt)
	probe   func(worker uint64)
	free    func(worker uint64)
	answer  func(q *asker, what string, after time.Duration)
	tell    func(e Outgoing) // a message that leaves
	did     func(a dispatch.Action)
	watched func(after int64)
	stepped func()
}

// spy is the follower as the ledger has it, with a look at its actions.
type spy struct{ r *rig }

func (s spy) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	from := len(dst)
	dst = s.r.f.Step(now, events, dst)
	for _, a := range dst[from:] {
		if s.r.did != nil {
			s.r.did(a)
		}
	}
	for _, e := range s.r.f.Outbox() {
		s.r.tell(keep(e))
	}
	return dst
}

// keep is a message that outlives the step.
func keep(e Outgoing) Outgoing {
	e.Envelope = e.Envelope.Clone()
	return e
}

const rigStart = 1000 * time.Hour // worker nodes have started before

func newRig(set dispatch.Settings, conf Config, choose PlannerSelector, own func() Policy) *rig {
	r := &rig{now: rigStart}
	conf.Name, conf.Incarnation = "f", 1000
	r.f = New(set, conf, choose, own)
	return r
}

// begin starts the ledger, once all is in place.
func (r *rig) begin(known requests.EndpointList) {
	r.l = requests.New(max(1, r.f.settings.AttemptLimit), requests.NameTable{Zones: []string{"z0", "z1", "z2"},
		MachineTypes: []string{"k0", "k1", "k2"}},
		func() requests.Policy { return spy{r} }, known, r, slog.New(slog.DiscardHandler))
}

func (r *rig) Start(a *requests.Attempt)   { r.carry(a) }
func (r *rig) Abandon(a *requests.Attempt) { r.giveUp(a) }

func (r *rig) Cancel(a *requests.Attempt) { // its worker node is told at once
	r.l.CancelCompleted(a, true)
	r.giveUp(a)
}
func (r *rig) CheckHealth(worker uint64)          { r.probe(worker) }
func (r *rig) CloseIdleConnections(worker uint64) { r.free(worker) }
func (r *rig) Watch(after int64)                  { r.watched(after) }

// settle turns the loop until nothing is left to do at this instant.
func (r *rig) settle() {
	for n := 0; ; n++ {
		if r.f.HasPending() {
			r.l.Wake()
		}
		at, ok := r.l.NextStep()
		if !ok || at > r.now {
			return
		}
		if r.turns++; n > 10000 {
			panic("no end at one instant")
		}
		if r.l.Step(r.now); r.stepped != nil {
			r.stepped()
		}
	}
}

// until lets time pass, and does what is due meanwhile.
func (r *rig) until(end time.Duration) {
	r.settle()
	for {
		next := end
		if at, ok := r.l.NextStep(); ok && at < next {
			next = at
		}
		if len(r.agenda) > 0 && r.agenda[0].at < next {
			next = r.agenda[0].at
		}
		r.now = max(r.now, next)
		for len(r.agenda) > 0 && r.agenda[0].at <= r.now {
			heap.Pop(&r.agenda).(entry).act()
		}
		if r.settle(); next >= end {
			return
		}
	}
}

// after has something done later.
func (r *rig) after(span time.Duration, act func()) {
	heap.Push(&r.agenda, entry{r.now + span, r.seq, act})
	r.seq++
}

type entry struct {
	at  time.Duration
	seq uint64
	act func()
}

type agenda []entry

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, k int) bool {
	return a[i].at < a[k].at || a[i].at == a[k].at && a[i].seq < a[k].seq
}
func (a agenda) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(entry)) }
func (a *agenda) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

// asker is a client's side of a query.
type asker struct {
	r       *rig
	q       *requests.Request
	name    string
	answers []string
}

func (a *asker) RespondResult([]byte) { a.got("served", 0) }

func (a *asker) RespondRejected(after time.Duration) { a.got("refused", after) }

func (a *asker) RespondFailed() { a.got("failed", 0) }

func (a *asker) got(what string, after time.Duration) {
	a.answers = append(a.answers, what)
	a.r.answer(a, what, after)
}

// take has a query come.
func (r *rig) take(name string, job dispatch.Job) *asker {
	a := &asker{r: r, name: name}
	q, err := r.l.Admit(r.now, requests.Arrival{CallID: name, Job: job, Responder: a})
	if err != nil {
		panic(err)
	}
	a.q = q
	return a
}

func number(host string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(host))
	return h.Sum64()
}

// inOrder is a chooser that has the planners in a fixed order.
type inOrder struct {
	best []string
	told []string // what it heard, for tests
}

func (c *inOrder) PlannersKnown(_ time.Duration, names []string) {
	c.told = append(c.told, "known "+strings.Join(names, " "))
}

func (c *inOrder) SessionChanged(_ time.Duration, name string, up bool) {
	c.told = append(c.told, fmt.Sprintf("%s %v", name, up))
}

func (c *inOrder) ReplyReceived(_ time.Duration, name string, took, late time.Duration) {
	c.told = append(c.told, fmt.Sprintf("%s took %v late %v", name, took, late))
}

func (c *inOrder) AppendOrder(_ time.Duration, dst []string) []string { return append(dst, c.best...) }

func (c *inOrder) Next() time.Duration { return 0 }

// plain is a module that is easily foreseen: it sends each job to the first worker that is ready and has not had it,
// one at a time, and refuses it where there is none. While none is ready at all it holds them.
type plain struct {
	ready []uint64
	jobs  map[uint64]*plainJob
	tell  func(e dispatch.Event)
	panic func(e dispatch.Event) bool
}

type plainJob struct {
	tries []uint64
	out   int
}

func (m *plain) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, e := range events {
		m.tell(e)
		if m.panic != nil && m.panic(e) {
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
				dst = m.try(id, dst)
			}
		case dispatch.Job:
			m.jobs[e.ID] = &plainJob{}
			dst = m.try(e.ID, dst)
		case dispatch.JobResumed:
			j := &plainJob{}
			for _, p := range e.Attempts {
				if j.tries = append(j.tries, p.Worker); !p.Ended {
					j.out++
				}
			}
			m.jobs[e.Job.ID] = j
			dst = m.try(e.Job.ID, dst)
		case dispatch.Outcome:
			if j := m.jobs[e.Job]; j != nil && e.Attempt < len(j.tries) {
				if j.out--; e.Closed {
					delete(m.jobs, e.Job)
				} else {
					dst = m.try(e.Job, dst)
				}
			}
		case dispatch.ClientDisconnected:
			delete(m.jobs, e.Job)
		}
	}
	return dst
}

func (m *plain) try(id uint64, dst []dispatch.Action) []dispatch.Action {
	j := m.jobs[id]
	if j.out > 0 || len(m.ready) == 0 {
		return dst
	}
	for _, w := range m.ready {
		if !slices.Contains(j.tries, w) {
			j.tries = append(j.tries, w)
			j.out++
			return append(dst, dispatch.Send{Job: id, Worker: w})
		}
	}
	delete(m.jobs, id)
	return append(dst, dispatch.Reject{Job: id})
}

// text is a message as plays have it.
func text(e message.Envelope, epoch func(message.Epoch) string, worker func(uint64) string) string {
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
