package planner

import (
	"fmt"
	"testing"
	"time"

	"valvecove/internal/tier"
	"valvecove/logic"
)

// rig drives a book with forwarders that follow every order: each attempt starts after one delay and ends OK after
// another. Its queues are rings in order of time, as the model must cost next to nothing beside what it drives.
type rig struct {
	b      *Book
	now    time.Duration
	fwds   int
	last   []uint64 // query by forwarder
	outs   []Out
	ins    []In
	starts []rigDue
	ends   []rigDue
	s, e   int
	head   tier.HeadOf
	msgs   []tier.Message
	served int
	others int
	orders int
}

type rigDue struct {
	at    time.Duration
	f     Session
	query uint64
	n     int
}

const (
	rigDelay = 200 * time.Microsecond
	rigRun   = 20 * ms
)

func newRig(nodes, forwarders int) *rig {
	set := testSettings()
	set.Probes, set.Cold, set.TenantQuota = false, 0, nil
	set.Classes = []logic.Class{{Aim: 80 * ms, Stretch: 2.5, GiveUp: 5 * time.Second, Effect: logic.Safe, Worth: 1}}
	conf := Config{Settings: set, Heads: 1 << 20, Most: 1 << 18, Start: func() Module { return logic.New(set, 1) }}
	r := &rig{b: newBook(conf), now: time.Hour, fwds: forwarders, last: make([]uint64, forwarders+1), msgs: make([]tier.Message, 4096)}
	r.head = tier.HeadOf{Left: 5 * time.Second, Hint: rigRun, Slots: 1}
	list := logic.WorkerList{Kind: logic.ListFull, Generation: 1}
	for id := range nodes {
		list.Workers = append(list.Workers, logic.Worker{ID: uint64(id+1) * 0x9e3779b97f4a7c15, Kind: id % 3, Zone: id % 2, Cell: id / 4, Ready: true})
	}
	ins := []In{{Kind: Hosts, List: list}}
	for f := range forwarders {
		ins = append(ins, In{Kind: SessionUp, Session: Session(f + 1)},
			In{Kind: FromForwarder, Session: Session(f + 1), Msg: &tier.Message{Kind: tier.Hello, Epoch: 1, Name: fmt.Sprint("f", f), Version: 0x100}})
	}
	r.step(ins)
	return r
}

func (r *rig) say(f Session, m tier.Message) {
	m.Epoch = 1
	at := &r.msgs[len(r.ins)]
	*at = m
	r.ins = append(r.ins, In{Kind: FromForwarder, Session: f, Msg: at})
}

func (r *rig) offer() {
	f := Session(r.orders%r.fwds + 1)
	r.orders++
	r.last[f]++
	r.say(f, tier.Message{Kind: tier.Head, Query: r.last[f], Head: &r.head})
}

func (r *rig) step(ins []In) {
	r.outs = r.b.Step(r.now, ins, r.outs[:0])
	for i := range r.outs {
		o := &r.outs[i]
		if o.Kind != Say {
			continue
		}
		switch o.Msg.Kind {
		case tier.Send:
			r.starts = append(r.starts, rigDue{r.now + 2*rigDelay, o.Session, o.Msg.Query, o.Msg.Attempt})
			r.ends = append(r.ends, rigDue{r.now + 2*rigDelay + rigRun, o.Session, o.Msg.Query, o.Msg.Attempt})
		case tier.Refuse, tier.Fail:
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
			r.say(d.f, tier.Message{Kind: tier.Started, Query: d.query, Attempt: d.n})
			continue
		}
		if r.e >= len(r.ends) {
			r.now += ms
			break
		}
		d := r.ends[r.e]
		r.e++
		r.now = max(r.now, d.at)
		r.say(d.f, tier.Message{Kind: tier.Ended, Query: d.query, Attempt: d.n, Result: logic.OK})
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
