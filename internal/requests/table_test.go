package requests

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// A request gets one response or has lost its client, every Send gets one outcome, and whatever comes late, twice or
// for nobody changes nothing.
func FuzzTable(f *testing.F) { modeltest.Fuzz(f, runTableModel) }

// modelRequest is what the model knows of a request.
type modelRequest struct {
	request      *Request
	responder    *countingResponder
	disconnected bool
}

// tableModel puts a table through random steps, and checks it against what it knows itself.
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
	model.Check(!model.transport.hasTwoAtOneWorker, "a worker had two attempts of a request at once")
	table := model.table
	remaining := len(table.requests.byID) + len(table.requests.openByCallID) + len(table.attempts.byKey) + table.attempts.timeouts.Len()
	model.Check(remaining == 0, "the table is not empty")
}

// step takes one random step, and reports whether the policy has panicked.
func (m *tableModel) step() (hasPanicked bool) {
	if len(m.requests) == 0 {
		m.Pick(14)
		m.admit()
		return false
	}
	target := m.requests[m.Pick(len(m.requests))]
	switch kind := m.Pick(14); kind {
	case 0:
		m.admit()
	case 1, 2, 3:
		m.send(target)
	case 4:
		job := target.request.ID
		m.act([]dispatch.Action{dispatch.Reject{Job: job}, dispatch.Fail{Job: job}}[m.Pick(2)])
		m.Record("reject or fail")
	case 5:
		m.act(dispatch.Cancel{Job: target.request.ID, Attempt: m.Pick(5)})
		m.Record("cancel")
	case 6:
		target.disconnected = target.disconnected || target.responder.total() == 0
		m.table.ClientDisconnected(target.request)
		m.Record("disconnect")
	case 7:
		m.callBack(target)
	case 8:
		m.endAttempt()
	case 9:
		return m.Pick(8) == 0 && m.panicPolicy()
	case 10, 11:
		m.accept(kind == 11)
	case 12, 13:
		if len(m.transport.cancelling) > 0 {
			m.transport.completeCancel(m.table, kind == 12)
			m.Record("complete a cancellation")
		}
	}
	return false
}

// act has the policy take an action at its next step.
func (m *tableModel) act(action dispatch.Action) { m.policy.Next = append(m.policy.Next, action) }

func (m *tableModel) admit() {
	responder := &countingResponder{}
	arrival := Arrival{CallID: strconv.Itoa(len(m.requests)), Job: dispatch.Job{Remaining: time.Second}, Responder: responder}
	request, err := m.table.Admit(m.now, arrival)
	m.Check(err == nil, "a new call id was rejected: %v", err)
	_, err = m.table.Admit(m.now, arrival)
	m.Check(errors.Is(err, ErrDuplicateCallID), "an open request's call id was admitted again")
	m.requests = append(m.requests, &modelRequest{request: request, responder: responder})
	m.Record("admit")
}

func (m *tableModel) send(target *modelRequest) {
	timeout := time.Duration(m.Pick(3)) * 300 * time.Millisecond
	worker := hashID("s-" + strconv.Itoa(m.Pick(2)))
	m.act(dispatch.Send{Job: target.request.ID, Worker: worker, AttemptTimeout: timeout})
	m.table.DiscoveryFailed() // something to step for
	before := len(m.transport.started)
	m.table.Step(m.now)
	if len(m.transport.started) > before {
		until := target.request.Deadline
		if timeout > 0 {
			until = min(until, m.now+timeout)
		}
		m.Check(m.transport.started[before].At == until, "attempt timeout not kept or not trimmed")
	}
	m.Record("send")
}

func (m *tableModel) callBack(target *modelRequest) {
	result := "r"
	endpoint := "s-" + strconv.Itoa(m.Pick(3))
	state := []string{"started", "running", "done", "failed", "returned", "lost"}[m.Pick(6)]
	callback := Callback{CallID: target.request.CallID, EndpointID: endpoint, State: state, Result: &result}
	_, err := m.table.HandleCallback(callback)
	m.Check(err == nil, "a valid callback was rejected")
	m.Record(state)
}

// endAttempt has the transport end an attempt, perhaps once more.
func (m *tableModel) endAttempt() {
	if len(m.transport.started) == 0 {
		return
	}
	attempt := m.transport.started[m.Pick(len(m.transport.started))]
	if stage := Stage(m.Pick(3)); !attempt.HasEnded() && attempt.Stage < StageAccepted {
		attempt.Stage = stage
	}
	reason := []Reason{ReasonConnectionLost, ReasonInvalidRequest}[m.Pick(2)]
	request := attempt.Request
	wasOpen := !attempt.HasEnded() && !request.IsClosed()
	m.table.EndAttempt(attempt, nil, &AttemptError{Stage: attempt.Stage, Reason: reason})
	if reason == ReasonInvalidRequest && wasOpen {
		m.Check(request.IsClosed() == (request.inFlight == 0), "invalid at its last worker, and not closed")
	}
	m.Record("end " + attempt.Stage.String())
}

// accept has a worker accept an attempt, and perhaps the policy cancel it.
func (m *tableModel) accept(cancel bool) {
	if len(m.transport.started) == 0 {
		return
	}
	attempt := m.transport.started[m.Pick(len(m.transport.started))]
	if !attempt.HasEnded() {
		attempt.Stage = StageAccepted
		if cancel {
			m.act(dispatch.Cancel{Job: attempt.Request.ID, Attempt: attempt.Number})
		}
	}
	m.Record("accept")
}

// panicPolicy has the policy panic at its next step, and reports whether it had one. A new policy knows no request:
// each must have its response by the end of the step.
func (m *tableModel) panicPolicy() bool {
	m.policy.Panic, m.policy.Next = true, nil
	m.table.Step(m.now)
	if m.policy.Panic {
		m.policy.Panic = false
		return false
	}
	m.Check(m.table.OpenCount() == 0, "%d requests without a response after a panic", m.table.OpenCount())
	for _, r := range m.requests {
		m.Check(r.disconnected || r.responder.total() == 1, "%d responses after a panic", r.responder.total())
	}
	return true
}

// checkAttempts checks after each step that no attempt may be executed without need.
func (m *tableModel) checkAttempts() {
	for _, attempt := range m.transport.cancelling {
		m.Check(attempt.Stage == StageAccepted, "an attempt that is %v is cancelled at its worker", attempt.Stage)
	}
	for _, attempt := range m.transport.started {
		request := attempt.Request
		isGivenUp := attempt.HasEnded() && attempt.Stage >= StageAccepted &&
			(attempt.result == dispatch.Cancelled || attempt.result == dispatch.TimedOut)
		m.Check(!isGivenUp || m.transport.confirmed[attempt] || request.IsClosed() || m.now >= request.Deadline,
			"request %d: an accepted attempt is given up, and its worker was not notified", request.ID)
		m.Check(attempt.HasEnded() || !request.IsClosed() || attempt.Stage >= StageWritten,
			"request %d is closed, and may still be sent", request.ID)
	}
}

// expireAll steps past every deadline: attempts expire, and the policy fails what is left.
func (m *tableModel) expireAll() {
	for range 3 {
		m.now += 2 * time.Second
		for _, r := range m.requests {
			m.act(dispatch.Fail{Job: r.request.ID})
		}
		m.table.UpdateEndpoints(EndpointList{})
		m.table.Step(m.now)
	}
}

// checkResponses checks that each request got one response, or has lost its client and got none.
func (m *tableModel) checkResponses() {
	for _, r := range m.requests {
		want := 1
		if r.disconnected {
			want = 0
		}
		m.Check(r.responder.total() == want, "%d responses, disconnected %v", r.responder.total(), r.disconnected)
	}
}

// attemptID names an attempt by its request and number.
type attemptID struct {
	job    uint64
	number int
}

// outcomes returns the outcomes that the policy has received, and checks that there is one for each attempt.
func (m *tableModel) outcomes() map[attemptID]dispatch.Outcome {
	outcomes := map[attemptID]dispatch.Outcome{}
	for _, event := range m.policy.Received {
		outcome, isOutcome := event.(dispatch.Outcome)
		if !isOutcome {
			continue
		}
		id := attemptID{outcome.Job, outcome.Attempt}
		_, isSecond := outcomes[id]
		m.Check(!isSecond || outcome.Result == dispatch.NotSent, "two outcomes for request %d attempt %d", id.job, id.number)
		if !isSecond { // a Send for a request that has ended has no number of its own
			outcomes[id] = outcome
		}
	}
	return outcomes
}

// checkOutcomes checks what the policy has received against what the transport was asked for.
func (m *tableModel) checkOutcomes() {
	outcomes := m.outcomes()
	for _, r := range m.requests {
		for number := range r.request.attempts {
			outcome, known := outcomes[attemptID{r.request.ID, number}]
			m.Check(known, "no outcome for request %d attempt %d", r.request.ID, number)
			m.Check(outcome.Result != dispatch.OK || outcome.Closed, "served, and not closed")
		}
	}
	for _, attempt := range m.transport.started {
		outcome := outcomes[attemptID{attempt.Request.ID, attempt.Number}]
		isGivenUp := outcome.Result == dispatch.TimedOut || outcome.Result == dispatch.Cancelled
		isUnwritten := outcome.Result == dispatch.NotSent && outcome.Closed && attempt.Stage < StageWritten
		isNotified := m.transport.abandoned[attempt] || m.transport.confirmed[attempt]
		m.Check(!isGivenUp || isNotified, "result %v, and the worker was not notified", outcome.Result)
		m.Check(!isNotified || isGivenUp || isUnwritten,
			"result %v, stage %v, and the worker was notified", outcome.Result, attempt.Stage)
		m.Check(outcome.Result != dispatch.ConnectFailed || attempt.Stage < StageWritten,
			"could not connect, though %v", attempt.Stage)
	}
}
