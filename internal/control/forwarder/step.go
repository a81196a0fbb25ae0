package forwarder

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// Outgoing is a message for a planner.
type Outgoing struct {
	Planner string // its name
	message.Envelope
}

// step is the instant of the present step and its output: actions for the request table, and messages for planners.
type step struct {
	number  uint64 // counts steps from 1
	instant time.Duration
	actions []dispatch.Action
	outbox  []Outgoing
}

// begin starts a step, whose actions are appended to dst. The clock never runs backwards: an earlier instant than that of
// the last step is replaced by the latter.
func (s *step) begin(now time.Duration, dst []dispatch.Action) {
	s.number++
	s.instant = max(now, s.instant)
	s.actions = dst
	clear(s.outbox)
	s.outbox = s.outbox[:0]
}

// finish returns the actions of the step, and keeps no reference to them.
func (s *step) finish() []dispatch.Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// now returns the instant of the present step.
func (s *step) now() time.Duration { return s.instant }

// messages returns the messages of the step, in order. They are valid until the next step.
func (s *step) messages() []Outgoing { return s.outbox }

// emit appends an action for the request table.
func (s *step) emit(action dispatch.Action) { s.actions = append(s.actions, action) }

// log writes a line for the operators: a constant message, and attributes as alternating keys and values.
func (s *step) log(text string, attributes ...any) {
	s.emit(dispatch.Log{Text: logLine(text, attributes)})
}

// post sends a message in a planner's session, whether or not the planner has accepted it.
func (s *step) post(session *plannerSession, body message.Message) {
	s.outbox = append(s.outbox, Outgoing{session.planner, message.Envelope{Epoch: session.epoch, Message: body}})
}

// send sends a message to a planner that has accepted its session. To any other planner nothing is sent.
func (s *step) send(session *plannerSession, body message.Message) {
	if session.isAccepted() {
		s.post(session, body)
	}
}

// sendAbout sends a message about a request to the planner that has it, or had it last, if the session in which the request
// was offered has not ended.
func (s *step) sendAbout(request *openRequest, body message.Message) {
	if request.epoch == request.session.epoch {
		s.send(request.session, body)
	}
}
