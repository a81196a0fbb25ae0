package requests

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"valvecove/dispatch"
)

// faultyTransport sets each attempt to a random stage, and leaves it in flight there or ends it for a random reason. It never
// serves a request.
type faultyTransport struct {
	*recordingTransport
	table *Table
	rng   *rand.Rand
}

func (t *faultyTransport) Start(attempt *Attempt) {
	t.recordingTransport.Start(attempt)
	attempt.Stage = Stage(t.rng.IntN(int(StageAccepted) + 1))
	if reason := Reason(t.rng.IntN(2 * int(ReasonNotSent))); reason <= ReasonNotSent { // otherwise the attempt stays in flight
		t.table.EndAttempt(attempt, nil, &AttemptError{Stage: attempt.Stage, Reason: reason})
	}
}

// Cancel drops half of the cancellations, as if the worker were unreachable, and records the others. None is confirmed.
func (t *faultyTransport) Cancel(attempt *Attempt) {
	if t.rng.IntN(2) == 0 {
		t.recordingTransport.Cancel(attempt)
	}
}

// timedResponder records the instant of the response.
type timedResponder struct {
	countingResponder
	now *time.Duration
	at  time.Duration
}

func (t *timedResponder) RespondResult(b []byte) { t.at = *t.now; t.countingResponder.RespondResult(b) }

func (t *timedResponder) RespondRejected(retry time.Duration) {
	t.at = *t.now
	t.countingResponder.RespondRejected(retry)
}
func (t *timedResponder) RespondFailed() { t.at = *t.now; t.countingResponder.RespondFailed() }

// deadlineRun is a table with a dispatch.Dispatcher as policy and a faultyTransport.
type deadlineRun struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	table     *Table
	transport *faultyTransport
	requests  []*Request
	responses []*timedResponder
	pausedAt  time.Duration
}

const (
	// maxPause is the duration of the pauses of the process.
	maxPause = 150 * time.Millisecond
	// stepTolerance allows for one more step: a request whose deadline has passed when the policy first receives it gets its
	// response in the next step.
	stepTolerance = time.Microsecond
)

func newDeadlineRun(t *testing.T, seed uint64) *deadlineRun {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 0))
	flip := func() bool { return rng.IntN(2) == 0 }
	settings := dispatch.Settings{
		Replicas: 1 + rng.IntN(20), AttemptLimit: 1 + rng.IntN(6), Hedging: flip(), Cancellation: flip(), HealthChecks: flip(),
		StartNotifications: flip(), ConnectTimeout: 250 * time.Millisecond, PollInterval: 10 * time.Second, MaxRetryAfter: time.Second,
	}
	for idempotency := dispatch.NonIdempotent; idempotency <= dispatch.Idempotent; idempotency++ {
		settings.Classes = append(settings.Classes, dispatch.Class{
			LatencyObjective: 100 * time.Millisecond, ObjectiveStretch: 2, ClientTimeout: 2 * time.Second, Idempotency: idempotency,
			DeduplicationScope: dispatch.DeduplicationScope(rng.IntN(3)), DeduplicationWindow: time.Second, LateValue: 0.5 * float64(rng.IntN(2)),
		})
	}
	r := &deadlineRun{t: t, rng: rng, now: time.Hour}
	r.transport = &faultyTransport{recordingTransport: newRecordingTransport(), rng: rng}
	newPolicy := func() Policy { return dispatch.New(settings, seed) }
	names := NameTable{Classes: []string{"a", "b", "c"}}
	r.table = New(settings.AttemptLimit, names, newPolicy, endpointRange(0, 3), r.transport, slog.New(slog.DiscardHandler))
	r.transport.table = r.table
	return r
}

func (d *deadlineRun) admit() {
	responder := &timedResponder{now: &d.now}
	arrival := Arrival{CallID: fmt.Sprint("c", len(d.requests)), Responder: responder, Job: dispatch.Job{
		Class: d.rng.IntN(3), Remaining: time.Duration(1+d.rng.IntN(2000)) * time.Millisecond, Slots: 1,
	}}
	request, err := d.table.Admit(d.now, arrival)
	if err != nil {
		d.t.Fatal(err)
	}
	d.requests, d.responses = append(d.requests, request), append(d.responses, responder)
}

// injectEvent changes the endpoint list or a cordon, reports a failure of discovery, or disconnects a client.
func (d *deadlineRun) injectEvent() {
	id := fmt.Sprint("s-", d.rng.IntN(3))
	switch d.rng.IntN(8) {
	case 0:
		d.table.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{{ID: id, Addr: "10.0.0.1:80", Lifecycle: "draining"}}})
	case 1:
		d.table.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{{ID: id, Lifecycle: "removed"}}})
	case 2:
		d.table.UpdateEndpoints(EndpointList{Reset: true})
	case 3:
		d.table.UpdateEndpoints(endpointRange(0, 3))
	case 4:
		d.table.DiscoveryFailed()
	case 5:
		d.table.Cordon(id)
	case 6:
		d.table.Uncordon(id)
	case 7:
		if request := d.requests[d.rng.IntN(len(d.requests))]; d.rng.IntN(4) == 0 && d.table.Request(request.ID) == request {
			d.table.ClientDisconnected(request)
		}
	}
}

// check checks that no request has two responses, that one whose client has disconnected has none, and that each response was
// given by the deadline plus the tolerance.
func (d *deadlineRun) check(tolerance time.Duration) {
	for i, request := range d.requests {
		responder := d.responses[i]
		isDisconnected := request.IsClosed() && request.Response() == ResponseNone
		switch {
		case isDisconnected && responder.total() != 0 || responder.total() > 1:
			d.t.Fatalf("request %d: %d responses", i, responder.total())
		case !isDisconnected && responder.total() == 0 && d.now > request.Deadline+tolerance:
			d.t.Fatalf("request %d has no response %v after its deadline", i, d.now-request.Deadline)
		case responder.at > request.Deadline+tolerance:
			d.t.Fatalf("request %d: a response %v after its deadline", i, responder.at-request.Deadline)
		}
	}
}

// step advances the time to the next due step, and runs it. In one of 20 calls the process is paused first, at most once per
// second.
func (d *deadlineRun) step(pause time.Duration) {
	at, ok := d.table.NextStep()
	if !ok {
		d.t.Fatal("no step is due")
	}
	d.now = max(d.now, at)
	if pause > 0 && d.now > d.pausedAt+time.Second && d.rng.IntN(20) == 0 {
		d.now += pause
		d.pausedAt = d.now
	}
	d.table.Step(d.now)
}

// Each request gets its response by its deadline, or as much later as the process is paused, regardless of how its attempts end
// and of changes to endpoints and cordons.
func TestEveryRequestIsRespondedToByItsDeadline(t *testing.T) {
	for seed := range uint64(200) {
		r := newDeadlineRun(t, seed)
		pause := time.Duration(seed%2) * maxPause
		for range 400 {
			if r.rng.IntN(4) == 0 && len(r.requests) < 40 || len(r.requests) == 0 {
				r.admit()
			}
			if r.rng.IntN(30) == 0 {
				r.injectEvent()
			}
			r.step(pause)
			r.check(pause + stepTolerance)
		}
		r.now += 3 * time.Second
		for range 20 {
			r.table.Step(r.now)
		}
		if open := r.table.OpenCount(); open != 0 {
			t.Fatalf("seed %d: %d requests are open 3 s after the last step", seed, open)
		}
	}
}
