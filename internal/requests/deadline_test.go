package requests

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"valvecove/dispatch"
)

// troubledTransport has attempts get to one stage and no further, or end there in one way, drawn for each.
type troubledTransport struct {
	*recordingTransport
	table *Table
	rng   *rand.Rand
}

func (t *troubledTransport) Start(attempt *Attempt) {
	t.recordingTransport.Start(attempt)
	attempt.Stage = Stage(t.rng.IntN(int(StageAccepted) + 1))
	if reason := Reason(t.rng.IntN(2 * int(ReasonNotSent))); reason <= ReasonNotSent { // else it hangs there
		t.table.EndAttempt(attempt, nil, &AttemptError{Stage: attempt.Stage, Reason: reason})
	}
}

// Cancel is never confirmed in half of the cases: the worker is cut off.
func (t *troubledTransport) Cancel(attempt *Attempt) {
	if t.rng.IntN(2) == 0 {
		t.recordingTransport.Cancel(attempt)
	}
}

// timedResponder notes when it responds.
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

// deadlineRun is a table with the real policy, whose workers give nothing but trouble.
type deadlineRun struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	table     *Table
	transport *troubledTransport
	requests  []*Request
	responses []*timedResponder
	heldUpAt  time.Duration
}

const (
	longestHold = 150 * time.Millisecond // that a process may be held up for
	stepDelay   = time.Microsecond       // a request that is past its deadline when the policy first sees it is answered in the next step
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
	r.transport = &troubledTransport{recordingTransport: newRecordingTransport(), rng: rng}
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

// disturb has something happen to workers or other clients.
func (d *deadlineRun) disturb() {
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

// check checks that what is over has one response, in time.
func (d *deadlineRun) check(held time.Duration) {
	for i, request := range d.requests {
		responder := d.responses[i]
		hasLeft := request.IsClosed() && request.Response() == ResponseNone
		switch {
		case hasLeft && responder.total() != 0 || responder.total() > 1:
			d.t.Fatalf("request %d: %d responses", i, responder.total())
		case !hasLeft && responder.total() == 0 && d.now > request.Deadline+held:
			d.t.Fatalf("request %d has no response %v after its deadline", i, d.now-request.Deadline)
		case responder.at > request.Deadline+held:
			d.t.Fatalf("request %d: a response %v after its deadline", i, responder.at-request.Deadline)
		}
	}
}

// step does what is due next. The process is held up before that now and then, though not twice within a second.
func (d *deadlineRun) step(held time.Duration) {
	at, ok := d.table.NextStep()
	if !ok {
		d.t.Fatal("nothing is due")
	}
	d.now = max(d.now, at)
	if held > 0 && d.now > d.heldUpAt+time.Second && d.rng.IntN(20) == 0 {
		d.now += held
		d.heldUpAt = d.now
	}
	d.table.Step(d.now)
}

// Whatever its attempts meet at workers, and whatever else happens meanwhile, each request gets its one response by its deadline, in
// the very step that is due then, and later by no more than the process is held up for.
func TestEveryRequestIsAnsweredByItsDeadline(t *testing.T) {
	for seed := range uint64(200) {
		r := newDeadlineRun(t, seed)
		held := time.Duration(seed%2) * longestHold
		for range 400 {
			if r.rng.IntN(4) == 0 && len(r.requests) < 40 || len(r.requests) == 0 {
				r.admit()
			}
			if r.rng.IntN(30) == 0 {
				r.disturb()
			}
			r.step(held)
			r.check(held + stepDelay)
		}
		r.now += 3 * time.Second
		for range 20 {
			r.table.Step(r.now)
		}
		if open := r.table.OpenCount(); open != 0 {
			t.Fatalf("seed %d: %d requests are open in the end", seed, open)
		}
	}
}
