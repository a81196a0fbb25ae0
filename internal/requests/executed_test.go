package requests_test

import (
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// Classes of an executedRun, and for how long call IDs of the first are remembered.
const (
	classNonIdempotent = iota
	classIdempotent
	executedWindow = 5 * time.Second
)

// executedRun is a table that remembers call IDs of one class.
type executedRun struct {
	*requests.Table
	t         *testing.T
	now       time.Duration
	policy    *modeltest.ScriptedPolicy
	transport *recordingTransport
}

func newExecutedRun(t *testing.T) *executedRun {
	t.Helper()
	run := &executedRun{t: t, now: time.Hour, policy: &modeltest.ScriptedPolicy{}, transport: &recordingTransport{}}
	names := requests.NameTable{Classes: []string{"payout", "status"}, Tenants: []string{"t"}}
	list := requests.EndpointList{Endpoints: []requests.Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}
	run.Table = requests.New(3, names, func() requests.Policy { return run.policy }, list, run.transport, slog.New(slog.DiscardHandler))
	run.RememberExecuted(requests.ExecutedWindows([]dispatch.Class{
		classNonIdempotent: {Idempotency: dispatch.NonIdempotent, ClientTimeout: executedWindow, DeduplicationWindow: time.Second},
		classIdempotent:    {Idempotency: dispatch.Idempotent, ClientTimeout: executedWindow},
	}))
	run.SetExecutedLimit(100)
	run.Step(run.now)
	return run
}

// admit admits a request, and returns an error if that is not allowed.
func (r *executedRun) admit(callID string, class int) (*requests.Request, error) {
	job := dispatch.Job{Class: class, Remaining: time.Minute}
	return r.Admit(r.now, requests.Arrival{CallID: callID, Job: job, Responder: &recordingResponder{}})
}

// send admits a request, and has its first attempt come to a stage.
func (r *executedRun) send(callID string, class int, stage requests.Stage) *requests.Attempt {
	r.t.Helper()
	request, err := r.admit(callID, class)
	if err != nil {
		r.t.Fatal(err)
	}
	worker, _ := r.WorkerNumber("s-0")
	r.policy.Next = append(r.policy.Next, dispatch.Send{Job: request.ID, Worker: worker})
	r.Step(r.now)
	attempt := r.transport.started[len(r.transport.started)-1]
	attempt.Stage = stage
	return attempt
}

// Guards against a payout that runs twice because its call ID came again: after its client had left, after its result or its failure.
func TestPossiblyExecutedIsNotAdmittedAgain(t *testing.T) {
	lost := &requests.AttemptError{Stage: requests.StageAccepted, Reason: requests.ReasonConnectionLost}
	refused := &requests.AttemptError{Stage: requests.StageNotConnected, Reason: requests.ReasonConnectionLost}
	for name, test := range map[string]struct {
		class int
		stage requests.Stage
		end   func(run *executedRun, attempt *requests.Attempt)
		want  error
	}{
		"open":   {classNonIdempotent, requests.StageWritten, func(*executedRun, *requests.Attempt) {}, requests.ErrDuplicateCallID},
		"left":   {classNonIdempotent, requests.StageWritten, (*executedRun).leave, requests.ErrPossiblyExecuted},
		"unsent": {classNonIdempotent, requests.StagePartlyWritten, (*executedRun).leave, nil},
		"served": {classNonIdempotent, requests.StageAccepted, func(run *executedRun, attempt *requests.Attempt) {
			run.EndAttempt(attempt, []byte("r"), nil)
		}, requests.ErrPossiblyExecuted},
		"failed": {classNonIdempotent, requests.StageAccepted, func(run *executedRun, attempt *requests.Attempt) {
			run.EndAttempt(attempt, nil, lost)
			run.leave(attempt)
		}, requests.ErrPossiblyExecuted},
		"refused": {classNonIdempotent, requests.StageNotConnected, func(run *executedRun, attempt *requests.Attempt) {
			run.EndAttempt(attempt, nil, refused)
			run.leave(attempt)
		}, nil},
		"idempotent": {classIdempotent, requests.StageAccepted, (*executedRun).leave, nil},
	} {
		t.Run(name, func(t *testing.T) {
			run := newExecutedRun(t)
			test.end(run, run.send("q", test.class, test.stage))
			run.Step(run.now)
			if _, err := run.admit("q", test.class); !errors.Is(err, test.want) {
				t.Errorf("%v, expected %v", err, test.want)
			}
		})
	}
}

// leave reports that the client of an attempt's request has disconnected.
func (r *executedRun) leave(attempt *requests.Attempt) { r.ClientDisconnected(attempt.Request) }

// A call ID is forgotten after its window, which counts from the end of the last attempt, also in a successor.
func TestExecutedIDIsForgottenAfterWindow(t *testing.T) {
	run := newExecutedRun(t)
	attempt := run.send("q", classNonIdempotent, requests.StageAccepted)
	run.leave(attempt)
	run.Step(run.now)
	run.now += 3 * time.Second
	run.EndAttempt(attempt, []byte("r"), nil)
	run.Step(run.now)
	state, open := run.Snapshot()
	successor := newExecutedRun(t)
	successor.TakeOver(run.now, state, open, nil, func() requests.Policy { return nil })
	end := run.now + executedWindow
	for _, process := range []*executedRun{run, successor} {
		process.now = end - 1
		if _, err := process.admit("q", classNonIdempotent); !errors.Is(err, requests.ErrPossiblyExecuted) {
			t.Errorf("at the window's end: %v", err)
		}
		if _, err := process.Admit(end, requests.Arrival{CallID: "q", Responder: &recordingResponder{}}); err != nil {
			t.Errorf("after the window: %v", err)
		}
	}
}

// Guards against a payout that runs twice after a hot restart from an earlier build, which transfers the request whose client left, but
// no call IDs.
func TestPossiblyExecutedOfEarlierBuildIsNotAdmittedAgain(t *testing.T) {
	run := newExecutedRun(t)
	run.leave(run.send("q", classNonIdempotent, requests.StageAccepted))
	run.Step(run.now)
	state, open := run.Snapshot()
	state.ExecutedIDs = nil
	successor := newExecutedRun(t)
	successor.TakeOver(run.now, state, open, nil, func() requests.Policy { return nil })
	if _, err := successor.admit("q", classNonIdempotent); !errors.Is(err, requests.ErrPossiblyExecuted) {
		t.Errorf("%v, expected %v", err, requests.ErrPossiblyExecuted)
	}
}

// At the limit of remembered IDs no further request that would have to be remembered is admitted, until one is forgotten.
func TestExecutedLimit(t *testing.T) {
	const limit = 8
	run := newExecutedRun(t)
	run.SetExecutedLimit(limit)
	for n := range limit {
		if !run.CanRemember(run.now, classNonIdempotent) {
			t.Fatalf("%d of %d IDs are remembered, and no more can be", n, limit)
		}
		run.EndAttempt(run.send(fmt.Sprint(n), classNonIdempotent, requests.StageAccepted), []byte("r"), nil)
		run.Step(run.now)
	}
	if run.CanRemember(run.now, classNonIdempotent) || !run.CanRemember(run.now, classIdempotent) {
		t.Error("at the limit the classes are not told apart")
	}
	if !run.CanRemember(run.now+executedWindow, classNonIdempotent) {
		t.Error("nothing is forgotten after the window")
	}
}
