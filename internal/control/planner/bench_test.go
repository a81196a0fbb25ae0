package planner

import (
	"fmt"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// BenchmarkRequests measures the whole life of a request at the planner: offer, send command, start and end. Ten forwarders
// keep a tenth of the workers' slots in use. A batch is the maximum number of messages per step.
func BenchmarkRequests(b *testing.B) {
	for _, batch := range []int{2, 64} {
		for _, workers := range []int{10, 100, 1000, 10000} {
			b.Run(fmt.Sprintf("workers=%d/batch=%d", workers, batch), func(b *testing.B) {
				benchmarkRequests(b, workers, batch)
			})
		}
	}
}

func benchmarkRequests(b *testing.B, workers, batch int) {
	b.Helper()
	d := newLoadDriver(workers, 10)
	for range max(4, workers*4/10) {
		d.events = d.events[:0]
		d.offer()
		d.step(d.events)
	}
	for d.served < 4*workers {
		d.advance(batch)
	}
	b.ReportAllocs()
	servedBefore, rejectedBefore := d.served, d.rejected
	for b.Loop() {
		for want := d.served + 1; d.served < want; {
			d.advance(batch)
		}
	}
	served := float64(d.served - servedBefore)
	b.ReportMetric(served/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(served/float64(b.N), "requests/op")
	b.ReportMetric(float64(d.rejected-rejectedBefore)/served, "rejected/request")
}

// loadDriver drives a planner with forwarders that execute every command: each attempt starts after one delay and ends
// after another. Its queues are slices sorted by time, and its messages are reused, to keep its cost negligible compared to
// the planner's.
type loadDriver struct {
	planner    *Planner
	now        time.Duration
	forwarders int
	lastIDs    []uint64 // last request ID, by session
	actions    []Action
	events     []Event
	starts     resultQueue
	ends       resultQueue
	summary    message.RequestSummary
	ended      []message.AttemptEnded
	started    []message.AttemptStarted
	offers     []message.RequestOffer
	offered    int
	served     int
	rejected   int // requests rejected or failed
}

// resultQueue is a FIFO queue of the starts or the ends of attempts, sorted by time.
type resultQueue struct {
	items []dueResult
	next  int
}

type dueResult struct {
	at      time.Duration
	session SessionID
	request uint64
	attempt int
}

func (q *resultQueue) push(result dueResult) { q.items = append(q.items, result) }

// pop removes and returns the first result. The queue must not be empty.
func (q *resultQueue) pop() dueResult {
	q.next++
	return q.items[q.next-1]
}

// nextAt returns when the first result is due; ok is false if the queue is empty.
func (q *resultQueue) nextAt() (at time.Duration, ok bool) {
	if q.next == len(q.items) {
		return 0, false
	}
	return q.items[q.next].at, true
}

// compact frees the space of removed results.
func (q *resultQueue) compact() {
	if q.next > 1<<14 {
		q.items = q.items[:copy(q.items, q.items[q.next:])]
		q.next = 0
	}
}

const (
	driverDelay   = 200 * time.Microsecond // one-way delay between a forwarder and the planner or a worker
	driverRuntime = 20 * ms
	driverBuffer  = 4096 // maximum number of messages per step
)

func newLoadDriver(workers, forwarders int) *loadDriver {
	settings := testSettings()
	settings.HealthChecks, settings.WarmUp, settings.TenantQuota = false, 0, nil
	settings.Classes = []dispatch.Class{{
		LatencyObjective: 80 * ms, ObjectiveStretch: 2.5, ClientTimeout: 5 * time.Second, Idempotency: dispatch.Idempotent,
		PriorityWeight: 1,
	}}
	d := &loadDriver{
		planner: newTestPlanner(Config{
			Settings: settings, MaxOpenRequests: 1 << 20, MaxCredit: 1 << 18,
			NewPolicy: func() Policy { return dispatch.New(settings, 1) },
		}),
		now: time.Hour, forwarders: forwarders, lastIDs: make([]uint64, forwarders+1),
		ended: make([]message.AttemptEnded, driverBuffer), started: make([]message.AttemptStarted, driverBuffer),
		offers:  make([]message.RequestOffer, driverBuffer),
		summary: message.RequestSummary{Remaining: 5 * time.Second, Hint: driverRuntime, Slots: 1},
	}
	d.step(d.setup(workers))
	return d
}

// setup returns the events that introduce the workers and forwarders to the planner.
func (d *loadDriver) setup(workers int) []Event {
	list := dispatch.WorkerList{Kind: dispatch.ListFull, Revision: 1}
	for id := range workers {
		list.Workers = append(list.Workers, dispatch.Worker{
			ID: uint64(id+1) * 0x9e3779b97f4a7c15, Kind: id % 3, Zone: id % 2, Cell: id / 4, Ready: true,
		})
	}
	events := []Event{EndpointsChanged{Endpoints: list}}
	for n := range d.forwarders {
		session := SessionID(n + 1)
		handshake := &message.Handshake{Name: fmt.Sprint("f", n), Version: ownVersion}
		events = append(events, SessionOpened{Session: session},
			ForwarderMessage{Session: session, Envelope: message.Envelope{Epoch: 1, Message: handshake}})
	}
	return events
}

func (d *loadDriver) send(session SessionID, m message.Message) {
	d.events = append(d.events, ForwarderMessage{Session: session, Envelope: message.Envelope{Epoch: 1, Message: m}})
}

// offer makes the next forwarder offer a request.
func (d *loadDriver) offer() {
	session := SessionID(d.offered%d.forwarders + 1)
	d.offered++
	d.lastIDs[session]++
	m := &d.offers[len(d.events)]
	*m = message.RequestOffer{RequestID: d.lastIDs[session], Summary: d.summary}
	d.send(session, m)
}

func (d *loadDriver) step(events []Event) {
	d.actions = d.planner.Step(d.now, events, d.actions[:0])
	for _, action := range d.actions {
		sent, ok := action.(SendToForwarder)
		if !ok {
			continue
		}
		switch m := sent.Envelope.Message.(type) {
		case *message.SendCommand:
			startsAt := d.now + 2*driverDelay
			d.starts.push(dueResult{startsAt, sent.Session, m.RequestID, m.Attempt})
			d.ends.push(dueResult{startsAt + driverRuntime, sent.Session, m.RequestID, m.Attempt})
		case *message.RejectCommand, *message.FailCommand:
			d.rejected++
		}
	}
}

// advance delivers at most batch messages: the next results, and one offer for each request served.
func (d *loadDriver) advance(batch int) {
	d.events = d.events[:0]
	for len(d.events)+2 <= batch || len(d.events) == 0 {
		startsAt, hasStart := d.starts.nextAt()
		endsAt, hasEnd := d.ends.nextAt()
		switch {
		case hasStart && (!hasEnd || startsAt <= endsAt):
			d.reportStart(d.starts.pop())
			continue
		case hasEnd:
			d.reportEnd(d.ends.pop())
			continue
		}
		d.now += ms
		break
	}
	d.starts.compact()
	d.ends.compact()
	d.step(d.events)
}

func (d *loadDriver) reportStart(start dueResult) {
	d.now = max(d.now, start.at)
	m := &d.started[len(d.events)]
	*m = message.AttemptStarted{RequestID: start.request, Attempt: start.attempt}
	d.send(start.session, m)
}

func (d *loadDriver) reportEnd(end dueResult) {
	d.now = max(d.now, end.at)
	m := &d.ended[len(d.events)]
	*m = message.AttemptEnded{RequestID: end.request, Attempt: end.attempt, Result: dispatch.OK}
	d.send(end.session, m)
	d.offer()
	d.served++
}
