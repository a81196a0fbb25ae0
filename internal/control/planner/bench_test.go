package planner

import (
	"fmt"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// rig drives a book with forwarders that follow every order: each attempt starts after one delay and ends OK after
// another. Its queues are rings in order of time, as the model must cost next to nothing beside what it drives.
type rig struct {
	b      *Planner
	now    time.Duration
	fwds   int
	last   []uint64 // query by forwarder
	outs   []Action
	ins    []Event
	starts []rigDue
	ends   []rigDue
	s, e   int
	head   message.RequestSummary
	ended  []message.AttemptEnded // reused, as are the others
	began  []message.AttemptStarted
	offers []message.RequestOffer
	served int
	others int
	orders int
}

type rigDue struct {
	at    time.Duration
	f     SessionID
	query uint64
	n     int
}

const (
	rigDelay = 200 * time.Microsecond
	rigRun   = 20 * ms
)

func newRig(nodes, forwarders int) *rig {
	set := testSettings()
	set.HealthChecks, set.WarmUp, set.TenantQuota = false, 0, nil
	set.Classes = []dispatch.Class{{LatencyObjective: 80 * ms, ObjectiveStretch: 2.5, ClientTimeout: 5 * time.Second, Idempotency: dispatch.Idempotent, PriorityWeight: 1}}
	conf := Config{Settings: set, MaxOpenRequests: 1 << 20, MaxCredit: 1 << 18, NewPolicy: func() Policy { return dispatch.New(set, 1) }}
	r := &rig{
		b: newBook(conf), now: time.Hour, fwds: forwarders, last: make([]uint64, forwarders+1),
		ended: make([]message.AttemptEnded, 4096), began: make([]message.AttemptStarted, 4096), offers: make([]message.RequestOffer, 4096),
	}
	r.head = message.RequestSummary{Remaining: 5 * time.Second, Hint: rigRun, Slots: 1}
	list := dispatch.WorkerList{Kind: dispatch.ListFull, Revision: 1}
	for id := range nodes {
		list.Workers = append(list.Workers, dispatch.Worker{ID: uint64(id+1) * 0x9e3779b97f4a7c15, Kind: id % 3, Zone: id % 2, Cell: id / 4, Ready: true})
	}
	ins := []Event{EndpointsChanged{Endpoints: list}}
	for f := range forwarders {
		ins = append(ins, SessionOpened{Session: SessionID(f + 1)},
			ForwarderMessage{Session: SessionID(f + 1), Envelope: message.Envelope{Epoch: 1, Message: &message.Handshake{Name: fmt.Sprint("f", f), Version: 0x100}}})
	}
	r.step(ins)
	return r
}

func (r *rig) say(f SessionID, m message.Message) {
	r.ins = append(r.ins, ForwarderMessage{Session: f, Envelope: message.Envelope{Epoch: 1, Message: m}})
}

func (r *rig) offer() {
	f := SessionID(r.orders%r.fwds + 1)
	r.orders++
	r.last[f]++
	m := &r.offers[len(r.ins)]
	*m = message.RequestOffer{RequestID: r.last[f], Summary: r.head}
	r.say(f, m)
}

func (r *rig) step(ins []Event) {
	r.outs = r.b.Step(r.now, ins, r.outs[:0])
	for i := range r.outs {
		o, ok := r.outs[i].(SendToForwarder)
		if !ok {
			continue
		}
		switch m := o.Envelope.Message.(type) {
		case *message.SendCommand:
			r.starts = append(r.starts, rigDue{r.now + 2*rigDelay, o.Session, m.RequestID, m.Attempt})
			r.ends = append(r.ends, rigDue{r.now + 2*rigDelay + rigRun, o.Session, m.RequestID, m.Attempt})
		case *message.RejectCommand, *message.FailCommand:
			r.others++
		}
	}
}

// pass takes in what is due next, at most so much at once, and a new query for each that is served.
func (r *rig) pass(most int) {
	r.ins = r.ins[:0]
	for len(r.ins)+2 <= most || len(r.ins) == 0 {
		if r.s < len(r.starts) && (r.e >= len(r.ends) || r.starts[r.s].at <= r.ends[r.e].at) {
			d := r.starts[r.s]
			r.s++
			r.now = max(r.now, d.at)
			m := &r.began[len(r.ins)]
			*m = message.AttemptStarted{RequestID: d.query, Attempt: d.n}
			r.say(d.f, m)
			continue
		}
		if r.e >= len(r.ends) {
			r.now += ms
			break
		}
		d := r.ends[r.e]
		r.e++
		r.now = max(r.now, d.at)
		m := &r.ended[len(r.ins)]
		*m = message.AttemptEnded{RequestID: d.query, Attempt: d.n, Result: dispatch.OK}
		r.say(d.f, m)
		r.offer()
		r.served++
	}
	if r.s > 1<<14 {
		r.starts, r.s = r.starts[:copy(r.starts, r.starts[r.s:])], 0
	}
	if r.e > 1<<14 {
		r.ends, r.e = r.ends[:copy(r.ends, r.ends[r.e:])], 0
	}
	r.step(r.ins)
}

// BenchmarkQuery is the whole life of a query at the book: its head, an order, a start, an end. A tenth of the fleet's
// slots are in use, by ten forwarders. By one message a step, and by up to 64.
func BenchmarkQuery(b *testing.B) {
	for _, most := range []int{2, 64} {
		for _, nodes := range []int{10, 100, 1000, 10000} {
			b.Run(fmt.Sprintf("nodes=%d/batch=%d", nodes, most), func(b *testing.B) {
				r := newRig(nodes, 10)
				for range max(4, nodes*4/10) {
					r.ins = r.ins[:0]
					r.offer()
					r.step(r.ins)
				}
				for r.served < 4*nodes {
					r.pass(most)
				}
				b.ReportAllocs()
				from, others := r.served, r.others
				for b.Loop() {
					for want := r.served + 1; r.served < want; {
						r.pass(most)
					}
				}
				n := float64(r.served - from)
				b.ReportMetric(n/b.Elapsed().Seconds(), "queries/s")
				b.ReportMetric(n/float64(b.N), "queries/op")
				b.ReportMetric(float64(r.others-others)/n, "refused/query")
			})
		}
	}
}
