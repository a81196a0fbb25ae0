package requests

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// A request gets one response, or none if its client disconnects first. Each Send gets one outcome. Events that are late,
// repeated or about an unknown request have no effect.
func FuzzTable(f *testing.F) { modeltest.Fuzz(f, runTableModel) }

// modelRequest is the model's state of a request.
type modelRequest struct {
	request      *Request
	responder    *countingResponder
	disconnected bool
}

// tableModel makes random steps with a table, and checks it against its own record of requests and attempts.
type tableModel struct {
	*modeltest.Steps
	policy    *modeltest.ScriptedPolicy
	transport *recordingTransport
	table     *Table
	now       time.Duration
	requests  []*modelRequest
}

func runTableModel(random *modeltest.Steps) {
	model := &tableModel{Steps: random, policy: &modeltest.ScriptedPolicy{}, transport: newRecordingTransport(), now: time.Hour}
	model.table = newTestTable(model.policy, 2, model.transport)
	for model.More() {
		model.now += time.Duration(model.Pick(200)) * time.Millisecond
		if hasPanicked := model.step(); hasPanicked {
			return
		}
		model.table.Step(model.now)
		model.checkAttempts()
	}
	model.expireAll()
	model.checkResponses()
	model.checkOutcomes()
	model.Check(!model.transport.hasTwoAtOneWorker, "a worker had two attempts of a request in flight")
	table := model.table
	remaining := len(table.requests.byID) + len(table.requests.openByCallID) + len(table.attempts.byKey) + table.attempts.timeouts.Len()
	model.Check(remaining == 0, "the table is not empty")
}

// step makes one random step, and reports whether the policy has panicked.
func (t *tableModel) step() (hasPanicked bool) {
	if len(t.requests) == 0 {
		t.Pick(14)
		t.admit()
		return false
	}
	target := t.requests[t.Pick(len(t.requests))]
	switch kind := t.Pick(14); kind {
	case 0:
		t.admit()
	case 1, 2, 3:
		t.send(target)
	case 4:
		job := target.request.ID
		t.scheduleAction([]dispatch.Action{dispatch.Reject{Job: job}, dispatch.Fail{Job: job}}[t.Pick(2)])
		t.Record("reject or fail")
	case 5:
		t.scheduleAction(dispatch.Cancel{Job: target.request.ID, Attempt: t.Pick(5)})
		t.Record("cancel")
	case 6:
		target.disconnected = target.disconnected || target.responder.total() == 0
		t.table.ClientDisconnected(target.request)
		t.Record("disconnect")
	case 7:
		t.callBack(target)
	case 8:
		t.endAttempt()
	case 9:
		return t.Pick(8) == 0 && t.panicPolicy()
	case 10, 11:
		t.accept(kind == 11)
	case 12, 13:
		if len(t.transport.cancelling) > 0 {
			t.transport.completeCancel(t.table, kind == 12)
			t.Record("complete a cancellation")
		}
	}
	return false
}

// scheduleAction makes the policy return an action in its next step.
func (t *tableModel) scheduleAction(action dispatch.Action) {
	t.policy.Next = append(t.policy.Next, action)
}

func (t *tableModel) admit() {
	responder := &countingResponder{}
	arrival := Arrival{CallID: strconv.Itoa(len(t.requests)), Job: dispatch.Job{Remaining: time.Second}, Responder: responder}
	request, err := t.table.Admit(t.now, arrival)
	t.Check(err == nil, "a new call ID was rejected: %v", err)
	_, err = t.table.Admit(t.now, arrival)
	t.Check(errors.Is(err, ErrDuplicateCallID), "the call ID of an open request was admitted again")
	t.requests = append(t.requests, &modelRequest{request: request, responder: responder})
	t.Record("admit")
}

func (t *tableModel) send(target *modelRequest) {
	timeout := time.Duration(t.Pick(3)) * 300 * time.Millisecond
	worker := hashID("s-" + strconv.Itoa(t.Pick(2)))
	t.scheduleAction(dispatch.Send{Job: target.request.ID, Worker: worker, AttemptTimeout: timeout})
	t.table.DiscoveryFailed() // adds an event, so that Step runs the policy
	before := len(t.transport.started)
	t.table.Step(t.now)
	if len(t.transport.started) > before {
		until := target.request.Deadline
		if timeout > 0 {
			until = min(until, t.now+timeout)
		}
		t.Check(t.transport.started[before].At == until, "the attempt does not expire at its timeout or at the deadline of its request")
	}
	t.Record("send")
}

func (t *tableModel) callBack(target *modelRequest) {
	result := "r"
	endpoint := "s-" + strconv.Itoa(t.Pick(3))
	state := []string{"started", "running", "done", "failed", "returned", "lost"}[t.Pick(6)]
	callback := Callback{CallID: target.request.CallID, EndpointID: endpoint, State: state, Result: &result}
	_, err := t.table.HandleCallback(callback)
	t.Check(err == nil, "a valid callback was rejected")
	t.Record(state)
}

// endAttempt makes the transport end an attempt, which may have ended before.
func (t *tableModel) endAttempt() {
	if len(t.transport.started) == 0 {
		return
	}
	attempt := t.transport.started[t.Pick(len(t.transport.started))]
	if stage := Stage(t.Pick(3)); !attempt.HasEnded() && attempt.Stage < StageAccepted {
		attempt.Stage = stage
	}
	reason := []Reason{ReasonConnectionLost, ReasonInvalidRequest}[t.Pick(2)]
	request := attempt.Request
	wasOpen := !attempt.HasEnded() && !request.IsClosed()
	t.table.EndAttempt(attempt, nil, &AttemptError{Stage: attempt.Stage, Reason: reason})
	if reason == ReasonInvalidRequest && wasOpen {
		t.Check(request.IsClosed() == (request.inFlight == 0), "an invalid request without attempts in flight is not closed, or one with attempts in flight is")
	}
	t.Record("end " + attempt.Stage.String())
}

// accept makes a worker accept an attempt, and the policy cancel it if cancel is set.
func (t *tableModel) accept(cancel bool) {
	if len(t.transport.started) == 0 {
		return
	}
	attempt := t.transport.started[t.Pick(len(t.transport.started))]
	if !attempt.HasEnded() {
		attempt.Stage = StageAccepted
		if cancel {
			t.scheduleAction(dispatch.Cancel{Job: attempt.Request.ID, Attempt: attempt.Number})
		}
	}
	t.Record("accept")
}

// panicPolicy makes the policy panic if the next step runs it, and reports whether it did. The new policy has no requests, so
// all requests must have their responses after that step.
func (t *tableModel) panicPolicy() bool {
	t.policy.Panic, t.policy.Next = true, nil
	t.table.Step(t.now)
	if t.policy.Panic {
		t.policy.Panic = false
		return false
	}
	t.Check(t.table.OpenCount() == 0, "%d requests without a response after a panic", t.table.OpenCount())
	for _, r := range t.requests {
		t.Check(r.disconnected || r.responder.total() == 1, "%d responses after a panic", r.responder.total())
	}
	return true
}

// checkAttempts checks after each step that no attempt can be executed needlessly.
func (t *tableModel) checkAttempts() {
	for _, attempt := range t.transport.cancelling {
		t.Check(attempt.Stage == StageAccepted, "an attempt in stage %v is cancelled at its worker", attempt.Stage)
	}
	for _, attempt := range t.transport.started {
		request := attempt.Request
		isAbandoned := attempt.HasEnded() && attempt.Stage >= StageAccepted &&
			(attempt.result == dispatch.Cancelled || attempt.result == dispatch.TimedOut)
		t.Check(!isAbandoned || t.transport.confirmed[attempt] || request.IsClosed() || t.now >= request.Deadline,
			"request %d: an accepted attempt was abandoned without a confirmation of its worker", request.ID)
		t.Check(attempt.HasEnded() || !request.IsClosed() || attempt.Stage >= StageWritten,
			"request %d is closed, and an attempt of it is not written yet", request.ID)
	}
}

// expireAll runs steps after all deadlines: attempts expire, and the policy fails the remaining requests.
func (t *tableModel) expireAll() {
	for range 3 {
		t.now += 2 * time.Second
		for _, r := range t.requests {
			t.scheduleAction(dispatch.Fail{Job: r.request.ID})
		}
		t.table.UpdateEndpoints(EndpointList{})
		t.table.Step(t.now)
	}
}

// checkResponses checks that each request got one response, or none if its client disconnected first.
func (t *tableModel) checkResponses() {
	for _, r := range t.requests {
		want := 1
		if r.disconnected {
			want = 0
		}
		t.Check(r.responder.total() == want, "%d responses, disconnected %v", r.responder.total(), r.disconnected)
	}
}

// attemptID identifies an attempt by its request and number.
type attemptID struct {
	job    uint64
	number int
}

// outcomes returns the outcomes that the policy has received, and checks that there is one for each attempt.
func (t *tableModel) outcomes() map[attemptID]dispatch.Outcome {
	outcomes := map[attemptID]dispatch.Outcome{}
	for _, event := range t.policy.Received {
		outcome, isOutcome := event.(dispatch.Outcome)
		if !isOutcome {
			continue
		}
		id := attemptID{outcome.Job, outcome.Attempt}
		_, isSecond := outcomes[id]
		t.Check(!isSecond || outcome.Result == dispatch.NotSent, "two outcomes for request %d attempt %d", id.job, id.number)
		if !isSecond { // a Send for a request that has ended creates no attempt, so its outcome has number 0
			outcomes[id] = outcome
		}
	}
	return outcomes
}

// checkOutcomes checks the outcomes that the policy has received against the calls of the transport.
func (t *tableModel) checkOutcomes() {
	outcomes := t.outcomes()
	for _, r := range t.requests {
		for number := range r.request.attempts {
			outcome, known := outcomes[attemptID{r.request.ID, number}]
			t.Check(known, "no outcome for request %d attempt %d", r.request.ID, number)
			t.Check(outcome.Result != dispatch.OK || outcome.Closed, "an attempt was served, and its request is not closed")
		}
	}
	for _, attempt := range t.transport.started {
		outcome := outcomes[attemptID{attempt.Request.ID, attempt.Number}]
		isAbandoned := outcome.Result == dispatch.TimedOut || outcome.Result == dispatch.Cancelled
		isUnwritten := outcome.Result == dispatch.NotSent && outcome.Closed && attempt.Stage < StageWritten
		isNotified := t.transport.abandoned[attempt] || t.transport.confirmed[attempt]
		t.Check(!isAbandoned || isNotified, "result %v, and the worker was not notified", outcome.Result)
		t.Check(!isNotified || isAbandoned || isUnwritten,
			"result %v, stage %v, and the worker was notified", outcome.Result, attempt.Stage)
		t.Check(outcome.Result != dispatch.ConnectFailed || attempt.Stage < StageWritten,
			"result ConnectFailed in stage %v", attempt.Stage)
	}
}
