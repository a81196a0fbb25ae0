package requests

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/steps"
)

// A note that is told again must not end the next attempt at the same host: handed back twice, a query that may not run
// twice would be sent elsewhere while it runs there. So that host gets no further one.
func TestCallback_RepeatedEndsNoLaterAttempt(t *testing.T) {
	for _, state := range []string{"returned", "failed", "lost"} {
		module, carried := &steps.Script{}, &recordingTransport{abandoned: map[*Attempt]bool{}}
		l := New(4, NameTable{}, func() Policy { return module }, EndpointList{Endpoints: []Endpoint{{ID: "s-0", Lifecycle: "up"}, {
			ID:        "s-1",
			Lifecycle: "up",
		}}}, carried, slog.New(slog.DiscardHandler))
		q, err := l.Admit(0, Arrival{CallID: "c", Job: dispatch.Job{Remaining: time.Second}, Responder: &countingResponder{}})
		if err != nil {
			t.Fatal(err)
		}
		send := func(host string) {
			module.Next = []dispatch.Action{dispatch.Send{Job: q.ID, Worker: hashID(host)}}
			l.DiscoveryFailed() // something to step for
			l.Step(1)
		}
		note := func() {
			if _, err := l.HandleCallback(Callback{CallID: "c", EndpointID: "s-0", State: state}); err != nil {
				t.Fatal(err)
			}
		}
		send("s-0")
		note()
		send("s-0")
		send("s-1")
		note()
		l.Step(2)
		if len(carried.started) != 2 || carried.started[1].EndpointID != "s-1" || carried.started[1].ended {
			t.Errorf("%s: %d attempts went, the last to %s", state, len(carried.started), carried.started[len(carried.started)-1].EndpointID)
		}
	}
}

// Notes name no attempt. Where one before it at the same host may still run, only what is done ends the later one.
func TestCallback_OfEarlierAttemptEndsLaterOnlyIfDone(t *testing.T) {
	result := "r"
	for _, handed := range []bool{false, true} {
		c := newAttemptFixture(t, 0)
		c.table.EndAttempt(c.first, nil, &AttemptError{Stage: StageAccepted, Reason: ReasonConnectionLost})
		c.step(2, dispatch.Send{Job: c.request.ID, Worker: hashID("s-0")})
		if len(c.transport.started) != 2 {
			t.Fatal("not sent again")
		}
		c.transport.started[1].Stage = StageWritten
		if handed {
			c.takeOver(t)
		}
		for _, state := range []string{"started", "returned", "lost", "failed"} {
			if known, err := c.table.HandleCallback(Callback{CallID: "c", EndpointID: "s-0", State: state}); !known || err != nil {
				t.Errorf("%s: known %v, %v", state, known, err)
			}
		}
		if c.step(3); slices.Contains(c.results(), dispatch.WorkerFull) || c.table.InFlightAttempt(c.request.ID, 1) == nil {
			t.Errorf("handed over %v: ended by a note that may be of the attempt before, outcomes %v", handed, c.results())
		}
		if _, err := c.table.HandleCallback(Callback{CallID: "c", EndpointID: "s-0", State: "done", Result: &result}); err != nil || c.table.InFlightAttempt(c.request.ID, 1) != nil ||
			c.table.OpenCount() != 0 {
			t.Errorf("handed over %v: what is done is not taken, %v", handed, err)
		}
	}
}
