package forwarder

import (
	"math"

	"valvecove/internal/control/message"
)

// noEpoch is the epoch of no session.
const noEpoch = message.Epoch(math.MaxUint64)

// receive processes a message of a planner. It is void if it does not belong to the present session, or comes before the
// session is accepted.
func (f *Forwarder) receive(recorded *input, received message.Message) {
	session := f.findSession(recorded.planner)
	if session == nil || !session.expects(recorded.epoch, received) {
		f.receiveStray(received)
		return
	}
	if session.overrun { // what follows a gap may mean something else
		return
	}
	switch received := received.(type) {
	case *message.HandshakeAccept:
		f.acceptSession(session, received)
	case *message.CreditUpdate:
		session.credit = max(0, received.Credit)
	case *message.HeartbeatReply:
		f.heartbeatReplied(session, recorded.receivedAt, received)
	case *message.Goodbye:
		f.drainSession(session)
	case *message.WorkerStatus:
		f.workerStatusReceived(session, *received)
	case message.Command:
		f.execute(session, received)
	default:
		f.stats.StrayMessages++
	}
}

// expects reports whether a message of an epoch may come in the state of the session.
func (s *plannerSession) expects(epoch message.Epoch, received message.Message) bool {
	if s.state == sessionNone || epoch != s.epoch {
		return false
	}
	_, isAccept := received.(*message.HandshakeAccept)
	return isAccept || s.isAccepted()
}

// receiveStray counts a message that belongs to no session.
func (f *Forwarder) receiveStray(received message.Message) {
	if command, ok := received.(message.Command); ok {
		f.validator.Validate(f.now, noEpoch, command) // rejects it, and counts that
	} else {
		f.stats.StrayMessages++
	}
}

// post has a message sent in a planner's session, be it accepted or not.
func (f *Forwarder) post(session *plannerSession, body message.Message) {
	f.outbox = append(f.outbox, Outgoing{session.planner, message.Envelope{Epoch: session.epoch, Message: body}})
}

// send has a message sent to a planner, if its session is accepted.
func (f *Forwarder) send(session *plannerSession, body message.Message) {
	if session.isAccepted() {
		f.post(session, body)
	}
}

// sendAbout sends a message about a request to the planner that has it, or had it last, if that session goes on.
func (f *Forwarder) sendAbout(request *openRequest, body message.Message) {
	if request.epoch == request.session.epoch {
		f.send(request.session, body)
	}
}
