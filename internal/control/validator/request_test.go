package validator

import (
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// A request may be closed between two sends of one step. The request table then ends the second attempt with an event that does
// not carry its number; the validator must still find the attempt.
func TestSendToClosedRequestEnds(t *testing.T) {
	v := New(dispatch.Settings{
		AttemptLimit: 2, Hedging: true, Classes: []dispatch.Class{{Idempotency: dispatch.Idempotent}},
	})
	v.Observe(1, listOf(1, 2))
	v.OpenSession(1)
	v.Observe(1, dispatch.Job{ID: 5, Remaining: time.Second})
	v.Assign(5, 1)
	for attempt := range 2 {
		worker := uint64(attempt + 1)
		command := &message.SendCommand{RequestID: 5, Attempt: attempt + 10, WorkerID: worker}
		if reason := v.Validate(1, 1, command); reason != message.ReasonNone {
			t.Fatalf("attempt %d: %v", attempt, reason)
		}
		v.Apply(1, dispatch.Send{Job: 5, Worker: worker})
	}
	v.Observe(1, dispatch.Outcome{Job: 5, Attempt: 0, Worker: 1, Result: dispatch.OK, Closed: true})
	number, ended := v.Observe(1, dispatch.Outcome{Job: 5, Worker: 2, Result: dispatch.NotSent, Closed: true})
	if !ended || number != 11 || v.RequestCount() != 0 {
		t.Errorf("got attempt %d, ended %v, %d requests left; want attempt 11, ended true, 0 requests left", number, ended, v.RequestCount())
	}
}

func TestStatesOnlyAdvance(t *testing.T) {
	request := &requestRecord{}
	for _, step := range []struct{ to, want requestState }{
		{requestStreaming, requestStreaming},
		{requestOpen, requestStreaming},
		{requestClosed, requestClosed},
		{requestStreaming, requestClosed},
	} {
		request.advanceTo(step.to)
		if request.state != step.want {
			t.Errorf("after advanceTo(%v): state %v, want %v", step.to, request.state, step.want)
		}
	}
}
