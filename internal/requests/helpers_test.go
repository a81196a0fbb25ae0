package requests

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/steps"
)

// countingResponder is an Asker that counts its answers.
type countingResponder struct{ results, rejected, failed int }

func (e *countingResponder) RespondResult([]byte) { e.results++ }

func (e *countingResponder) RespondRejected(time.Duration) { e.rejected++ }

func (e *countingResponder) RespondFailed() { e.failed++ }

func (e *countingResponder) total() int { return e.results + e.rejected + e.failed }

// recordingTransport is a Carrier that only remembers.
type recordingTransport struct {
	started           []*Attempt
	abandoned         map[*Attempt]bool
	hasTwoAtOneWorker bool       // a worker node had two attempts of a query at once
	cancelling        []*Attempt // whose worker nodes are to be told
	confirmed         map[*Attempt]bool
}

// completeCancel ends the oldest withdrawal that is due.
func (c *recordingTransport) completeCancel(l *Table, told bool) {
	a := c.cancelling[0]
	if c.cancelling = c.cancelling[1:]; told && !a.ended {
		c.confirmed[a] = true
	}
	l.CancelCompleted(a, told)
}

func (c *recordingTransport) Start(a *Attempt) {
	for _, o := range c.started {
		c.hasTwoAtOneWorker = c.hasTwoAtOneWorker || !o.ended && o.Request == a.Request && o.Worker == a.Worker
	}
	c.started = append(c.started, a)
}

func (c *recordingTransport) Abandon(a *Attempt) { c.abandoned[a] = true }

func (c *recordingTransport) Cancel(a *Attempt) { c.cancelling = append(c.cancelling, a) }

func (c *recordingTransport) CheckHealth(uint64) {}

func (c *recordingTransport) CloseIdleConnections(uint64) {}

func (c *recordingTransport) Watch(int64) {}

// attemptFixture is a ledger with one query that has an accepted attempt at s-0.
type attemptFixture struct {
	table     *Table
	policy    *steps.Script
	transport *recordingTransport
	responder *countingResponder
	request   *Request
	first     *Attempt
}

func newAttemptFixture(t *testing.T, patience time.Duration) *attemptFixture {
	t.Helper()
	c := &attemptFixture{policy: &steps.Script{}, transport: &recordingTransport{abandoned: map[*Attempt]bool{}, confirmed: map[*Attempt]bool{}}, responder: &countingResponder{}}
	c.table = New(4, NameTable{}, func() Policy { return c.policy }, EndpointList{Endpoints: []Endpoint{{ID: "s-0", Lifecycle: "up"}, {ID: "s-1", Lifecycle: "up"}}},
		c.transport, slog.New(slog.DiscardHandler))
	var err error
	if c.request, err = c.table.Admit(0, Arrival{CallID: "c", Job: dispatch.Job{Remaining: time.Second}, Responder: c.responder}); err != nil {
		t.Fatal(err)
	}
	c.step(1, dispatch.Send{Job: c.request.ID, Worker: hashID("s-0"), AttemptTimeout: patience})
	c.first = c.transport.started[0]
	c.first.Stage = StageAccepted
	return c
}

// step has the module do something, and hear what comes of it.
func (c *attemptFixture) step(now time.Duration, actions ...dispatch.Action) {
	c.policy.Next = actions
	c.table.Wake()
	c.table.Step(now)
	c.table.Step(now)
}

func (c *attemptFixture) results() (results []dispatch.Result) {
	for _, e := range c.policy.Heard {
		if o, ok := e.(dispatch.Outcome); ok {
			results = append(results, o.Result)
		}
	}
	return results
}

// takeOver goes on in another process.
func (c *attemptFixture) takeOver(t *testing.T) {
	t.Helper()
	if !c.table.FlushEvents(5) {
		t.Fatal("not settled")
	}
	book, open := c.table.Snapshot()
	next := newAttemptFixture(t, 0)
	next.table = New(4, NameTable{}, func() Policy { return next.policy }, EndpointList{}, next.transport, slog.New(slog.DiscardHandler))
	next.policy.Heard, next.transport.started = nil, nil
	next.table.TakeOver(5, book, open, map[uint64]Responder{c.request.ID: c.responder}, func() Policy { return next.policy })
	c.table, c.policy, c.transport, c.request = next.table, next.policy, next.transport, next.table.Request(c.request.ID)
}

func endpointRange(from, to int) (g EndpointList) {
	for n := from; n < to; n++ {
		g.Endpoints = append(g.Endpoints, Endpoint{ID: fmt.Sprint("s-", n), Addr: "10.0.0.1:80", Lifecycle: "up"})
	}
	return g
}
