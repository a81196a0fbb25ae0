package forwarder

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// Outgoing is a message for a planner.
type Outgoing struct {
	Planner string // name of the planner
	message.Envelope
}

// step holds the time of the current step and its output: actions for the request table, and messages for planners.
type step struct {
	number  uint64 // of the step, from 1
	instant time.Duration
	actions []dispatch.Action
	outbox  []Outgoing
}

// begin starts a step, whose actions are appended to dst. Time never goes backwards: if now is before the last step, the time of
// the last step is used.
func (s *step) begin(now time.Duration, dst []dispatch.Action) {
	s.number++
	s.instant = max(now, s.instant)
	s.actions = dst
	clear(s.outbox)
	s.outbox = s.outbox[:0]
}

// finish returns the actions of the step and drops its reference to them.
func (s *step) finish() []dispatch.Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// now returns the time of the current step.
func (s *step) now() time.Duration { return s.instant }

// messages returns the messages of the step, in order. They are valid until the next step.
func (s *step) messages() []Outgoing { return s.outbox }

// emit appends an action for the request table.
func (s *step) emit(action dispatch.Action) { s.actions = append(s.actions, action) }

// log emits a log line from a constant message and attributes, which are alternating keys and values.
func (s *step) log(text string, attributes ...any) {
	s.emit(dispatch.Log{Text: logLine(text, attributes)})
}

// post sends a message in a planner's session, whether or not the planner has accepted it.
func (s *step) post(session *plannerSession, body message.Message) {
	s.outbox = append(s.outbox, Outgoing{session.planner, message.Envelope{Epoch: session.epoch, Message: body}})
}

// send sends a message in a planner's session if the planner has accepted the session. Otherwise it sends nothing.
func (s *step) send(session *plannerSession, body message.Message) {
	if session.isAccepted() {
		s.post(session, body)
	}
}

// sendAbout sends a message about a request to the planner that it is, or was last, assigned to. It sends nothing if the session
// in which the request was offered has ended.
func (s *step) sendAbout(request *openRequest, body message.Message) {
	if request.epoch == request.session.epoch {
		s.send(request.session, body)
	}
}
