package requests

import (
	"log/slog"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/steps"
)

// modelRequest is what the model knows of a query.
type modelRequest struct {
	request      *Request
	responder    *countingResponder
	disconnected bool
	sends        int
}

// A query gets one answer or has lost its client, every Send one outcome, and whatever comes late, twice or for
// nobody changes nothing.
func FuzzTable(f *testing.F) { steps.Fuzz(f, runTableModel) }

func runTableModel(s *steps.Steps) {
	module, carried := &steps.Script{}, &recordingTransport{abandoned: map[*Attempt]bool{}, confirmed: map[*Attempt]bool{}}
	l := New(4, NameTable{Classes: []string{"a"}}, func() Policy { return module }, EndpointList{Endpoints: []Endpoint{
		{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}, {ID: "s-1", Addr: "127.0.0.1:2", Lifecycle: "up"},
	}}, carried,
		slog.New(slog.DiscardHandler))
	now := time.Hour
	var qs []*modelRequest
	result := "r"
	for s.More() {
		now += time.Duration(s.Pick(200)) * time.Millisecond
		var m *modelRequest
		if len(qs) > 0 {
			m = qs[s.Pick(len(qs))]
		}
		act := func(a dispatch.Action) { module.Next = append(module.Next, a) }
		switch what := s.Pick(14); {
		case what == 0 || m == nil:
			e := &countingResponder{}
			q, err := l.Admit(now, Arrival{CallID: strconv.Itoa(len(qs)), Job: dispatch.Job{Remaining: time.Second}, Responder: e})
			s.Check(err == nil, "a new id was refused: %v", err)
			_, again := l.Admit(now, Arrival{CallID: q.CallID, Responder: e})
			s.Check(again == ErrDuplicateCallID, "an open query's id was taken again")
			qs = append(qs, &modelRequest{request: q, responder: e})
			s.Did("take")
		case what <= 3:
			m.sends++
			patience := time.Duration(s.Pick(3)) * 300 * time.Millisecond
			act(dispatch.Send{Job: m.request.ID, Worker: hashID("s-" + strconv.Itoa(s.Pick(2))), AttemptTimeout: patience})
			l.DiscoveryFailed() // something to step for
			before := len(carried.started)
			l.Step(now)
			if len(carried.started) > before {
				until := m.request.Deadline
				if patience > 0 {
					until = min(until, now+patience)
				}
				s.Check(carried.started[before].At == until, "patience not kept or not trimmed")
			}
			s.Did("send")
		case what == 4:
			act([]dispatch.Action{dispatch.Reject{Job: m.request.ID}, dispatch.Fail{Job: m.request.ID}}[s.Pick(2)])
			s.Did("refuse or fail")
		case what == 5:
			act(dispatch.Cancel{Job: m.request.ID, Attempt: s.Pick(5)})
			s.Did("cancel")
		case what == 6:
			m.disconnected = m.disconnected || m.responder.total() == 0
			l.ClientDisconnected(m.request)
			s.Did("gone")
		case what == 7:
			states := []string{"started", "running", "done", "failed", "returned", "lost"}
			n := Callback{CallID: m.request.CallID, EndpointID: "s-" + strconv.Itoa(s.Pick(3)), State: states[s.Pick(6)], Result: &result}
			_, err := l.HandleCallback(n)
			s.Check(err == nil, "a sound note was refused")
			s.Did(n.State)
		case what == 8 && len(carried.started) > 0:
			a := carried.started[s.Pick(len(carried.started))]
			if stage := Stage(s.Pick(3)); !a.ended && a.Stage < StageAccepted {
				a.Stage = stage
			}
			why := []Reason{ReasonConnectionLost, ReasonInvalidRequest}[s.Pick(2)]
			open := !a.ended && !a.Request.closed
			l.EndAttempt(a, nil, &AttemptError{Stage: a.Stage, Reason: why})
			if why == ReasonInvalidRequest && open {
				s.Check(a.Request.closed == (a.Request.inFlight == 0), "unusable at its last worker node, and not answered")
			}
			s.Did("end " + a.Stage.String())
		case what == 9 && s.Pick(8) == 0:
			// A new module knows no query: each must have its answer by the end of the step.
			module.Panic, module.Next = true, nil
			l.Step(now)
			if !module.Panic {
				s.Check(l.OpenCount() == 0, "%d queries without an answer after a panic", l.OpenCount())
				for _, m := range qs {
					s.Check(m.disconnected || m.responder.total() == 1, "%d answers after a panic", m.responder.total())
				}
				return
			}
			module.Panic = false
		case what <= 11 && what > 9 && len(carried.started) > 0:
			if a := carried.started[s.Pick(len(carried.started))]; !a.ended {
				a.Stage = StageAccepted
				if what == 11 {
					act(dispatch.Cancel{Job: a.Request.ID, Attempt: a.Number})
				}
			}
			s.Did("accept")
		case what > 11 && len(carried.cancelling) > 0:
			carried.completeCancel(l, what == 12)
			s.Did("tell of a withdrawal")
		}
		l.Step(now)
		for _, a := range carried.cancelling {
			s.Check(a.Stage == StageAccepted, "an attempt that is %v is withdrawn by name", a.Stage)
		}
		for _, a := range carried.started {
			s.Check(!a.ended || a.Stage < StageAccepted || a.result != dispatch.Cancelled && a.result != dispatch.TimedOut ||
				carried.confirmed[a] || a.Request.closed || now >= a.Request.Deadline,
				"query %d: an accepted attempt is given up, and its worker node does not know", a.Request.ID)
			s.Check(a.ended || !a.Request.closed || a.Stage >= StageWritten, "query %d is over, and may still be sent", a.Request.ID)
		}
	}
	for range 3 { // past every deadline: attempts expire, the module fails what is left
		now += 2 * time.Second
		for _, m := range qs {
			module.Next = append(module.Next, dispatch.Fail{Job: m.request.ID})
		}
		l.UpdateEndpoints(EndpointList{})
		l.Step(now)
	}
	checkOutcomes(s, qs, module.Heard, carried)
	s.Check(!carried.hasTwoAtOneWorker, "a worker node had two attempts of a query at once")
	s.Check(len(l.requests)+len(l.openByCallID)+len(l.inFlight)+l.timeouts.Len() == 0, "the ledger still holds something")
}

// checkOutcomes checks what was heard against what was done.
func checkOutcomes(s *steps.Steps, qs []*modelRequest, heard []dispatch.Event, carried *recordingTransport) {
	outcomes := map[[2]uint64]dispatch.Outcome{}
	for _, e := range heard {
		if o, ok := e.(dispatch.Outcome); ok {
			key := [2]uint64{o.Job, uint64(o.Attempt)}
			_, twice := outcomes[key]
			s.Check(!twice || o.Result == dispatch.NotSent, "two outcomes for query %d attempt %d", o.Job, o.Attempt)
			if !twice { // a Send for a query that has ended has no number of its own
				outcomes[key] = o
			}
		}
	}
	for _, m := range qs {
		s.Check(m.disconnected && m.responder.total() == 0 || !m.disconnected && m.responder.total() == 1, "%d answers, gone %v", m.responder.total(), m.disconnected)
		for n := range m.request.attempts {
			o, ok := outcomes[[2]uint64{m.request.ID, uint64(n)}]
			s.Check(ok, "no outcome for query %d attempt %d", m.request.ID, n)
			s.Check(o.Result != dispatch.OK || o.Closed, "served, and not closed")
		}
	}
	for _, a := range carried.started {
		o := outcomes[[2]uint64{a.Request.ID, uint64(a.Number)}]
		timedOut := o.Result == dispatch.TimedOut || o.Result == dispatch.Cancelled
		recalled := o.Result == dispatch.NotSent && o.Closed && a.Stage < StageWritten
		given := carried.abandoned[a] || carried.confirmed[a]
		s.Check(!timedOut || given, "result %v, and the worker node was not told", o.Result)
		s.Check(!given || timedOut || recalled, "result %v, stage %v, and the worker node was told", o.Result, a.Stage)
		if o.Result == dispatch.ConnectFailed {
			s.Check(a.Stage < StageWritten, "could not connect, though %v", a.Stage)
		}
	}
}
