package requests

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// countingResponder counts the responses.
type countingResponder struct{ results, rejected, failed int }

func (c *countingResponder) RespondResult([]byte)          { c.results++ }
func (c *countingResponder) RespondRejected(time.Duration) { c.rejected++ }
func (c *countingResponder) RespondFailed()                { c.failed++ }
func (c *countingResponder) total() int                    { return c.results + c.rejected + c.failed }

// recordingTransport records its calls, and sends nothing.
type recordingTransport struct {
	started           []*Attempt
	abandoned         map[*Attempt]bool
	cancelling        []*Attempt // their cancellations are not completed
	confirmed         map[*Attempt]bool
	hasTwoAtOneWorker bool // a worker had two attempts of a request in flight
}

func newRecordingTransport() *recordingTransport {
	return &recordingTransport{abandoned: map[*Attempt]bool{}, confirmed: map[*Attempt]bool{}}
}

// completeCancel completes the oldest cancellation.
func (r *recordingTransport) completeCancel(table *Table, confirmed bool) {
	attempt := r.cancelling[0]
	r.cancelling = r.cancelling[1:]
	if confirmed && !attempt.HasEnded() {
		r.confirmed[attempt] = true
	}
	table.CancelCompleted(attempt, confirmed)
}

func (r *recordingTransport) Start(attempt *Attempt) {
	for _, earlier := range r.started {
		if !earlier.HasEnded() && earlier.Request == attempt.Request && earlier.Worker == attempt.Worker {
			r.hasTwoAtOneWorker = true
		}
	}
	r.started = append(r.started, attempt)
}

func (r *recordingTransport) Abandon(attempt *Attempt)    { r.abandoned[attempt] = true }
func (r *recordingTransport) Cancel(attempt *Attempt)     { r.cancelling = append(r.cancelling, attempt) }
func (r *recordingTransport) CheckHealth(uint64)          {}
func (r *recordingTransport) CloseIdleConnections(uint64) {}
func (r *recordingTransport) Watch(int64)                 {}

// endpointRange returns the endpoints s-FROM to s-(TO-1), which are up.
func endpointRange(from, to int) (list EndpointList) {
	for n := from; n < to; n++ {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: fmt.Sprint("s-", n), Addr: "10.0.0.1:80", Lifecycle: "up"})
	}
	return list
}

// newTestTable returns a table with a scripted policy and the endpoints s-0 to s-(endpoints-1).
func newTestTable(policy *modeltest.ScriptedPolicy, endpoints int, transport Transport) *Table {
	names := NameTable{Classes: []string{"a"}}
	newPolicy := func() Policy { return policy }
	return New(4, names, newPolicy, endpointRange(0, endpoints), transport, slog.New(slog.DiscardHandler))
}

// attemptFixture is a table with the endpoints s-0 and s-1, and one request that has an accepted attempt at s-0.
type attemptFixture struct {
	table     *Table
	policy    *modeltest.ScriptedPolicy
	transport *recordingTransport
	responder *countingResponder
	request   *Request
	first     *Attempt
}

func newAttemptFixture(t *testing.T, attemptTimeout time.Duration) *attemptFixture {
	t.Helper()
	f := &attemptFixture{policy: &modeltest.ScriptedPolicy{}, transport: newRecordingTransport(), responder: &countingResponder{}}
	f.table = newTestTable(f.policy, 2, f.transport)
	f.request = admit(t, f.table, "c", f.responder)
	f.step(1, dispatch.Send{Job: f.request.ID, Worker: hashID("s-0"), AttemptTimeout: attemptTimeout})
	f.first = f.transport.started[0]
	f.first.Stage = StageAccepted
	return f
}

// admit admits a request at instant 0 with a deadline of one second.
func admit(t *testing.T, table *Table, callID string, responder Responder) *Request {
	t.Helper()
	request, err := table.Admit(0, Arrival{CallID: callID, Job: dispatch.Job{Remaining: time.Second}, Responder: responder})
	if err != nil {
		t.Fatal(err)
	}
	return request
}

// step makes the policy return the actions, and then passes the resulting events to it.
func (a *attemptFixture) step(now time.Duration, actions ...dispatch.Action) {
	a.policy.Next = actions
	a.table.Wake()
	a.table.Step(now)
	a.table.Step(now)
}

// results returns the results of attempts that the policy has received.
func (a *attemptFixture) results() (results []dispatch.Result) {
	for _, event := range a.policy.Received {
		if outcome, isOutcome := event.(dispatch.Outcome); isOutcome {
			results = append(results, outcome.Result)
		}
	}
	return results
}

// callBack passes a callback of s-0 about the request to the table.
func (a *attemptFixture) callBack(t *testing.T, state string) (known bool) {
	t.Helper()
	result := "r"
	known, err := a.table.HandleCallback(Callback{CallID: "c", EndpointID: "s-0", State: state, Result: &result})
	if err != nil {
		t.Error(err)
	}
	return known
}

// takeOver replaces the table by the one of a successor, which is restored from a snapshot.
func (a *attemptFixture) takeOver(t *testing.T) {
	t.Helper()
	if !a.table.FlushEvents(5) {
		t.Fatal("events are pending")
	}
	state, open := a.table.Snapshot()
	a.policy, a.transport = &modeltest.ScriptedPolicy{}, newRecordingTransport()
	a.table = newTestTable(a.policy, 0, a.transport)
	responders := map[uint64]Responder{a.request.ID: a.responder}
	a.table.TakeOver(5, state, open, responders, func() Policy { return a.policy })
	a.request = a.table.Request(a.request.ID)
}
