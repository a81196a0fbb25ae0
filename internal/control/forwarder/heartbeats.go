package forwarder

import (
	"time"

	"valvecove/internal/control/message"
)

const (
	// confirmHeartbeatDelay is the heartbeat interval while a reply is still needed to confirm that the planner has read its
	// latest offers.
	confirmHeartbeatDelay = 10 * time.Millisecond
	// The suspicion and the unresponsive timeout of a planner are at least these multiples of its average latency.
	suspicionLatencies    = 4
	unresponsiveLatencies = 8
)

// heartbeats sends heartbeats to planners, and detects planners that do not reply.
type heartbeats struct {
	step     *step
	planners *plannerSet

	interval            time.Duration
	suspicionTimeout    time.Duration // lower bound, see suspicionLatencies
	unresponsiveTimeout time.Duration // lower bound, see unresponsiveLatencies
}

// send sends the heartbeats that are due.
func (h *heartbeats) send() {
	now := h.step.now()
	for _, session := range h.planners.all() {
		heartbeat := &session.heartbeat
		if !session.isAccepted() || heartbeat.state != heartbeatIdle || now < h.nextHeartbeat(session) {
			continue
		}
		sequence := heartbeat.recordSent(now)
		h.step.send(session, &message.Heartbeat{Sequence: sequence})
	}
}

// nextHeartbeat returns when the next heartbeat to a planner is due, provided that no reply is awaited.
func (h *heartbeats) nextHeartbeat(session *plannerSession) time.Duration {
	heartbeat := &session.heartbeat
	switch candidate := session.poisonCandidate; {
	case candidate != nil && candidate.offeredSequence > heartbeat.sequence:
		return h.step.now()
	case heartbeat.offersSent:
		return heartbeat.sentAt + min(confirmHeartbeatDelay, h.interval)
	}
	return heartbeat.sentAt + h.interval
}

// nextCheck returns when the next heartbeat to a planner or the timeout of its reply is due, or 0 if neither is.
func (h *heartbeats) nextCheck(session *plannerSession) time.Duration {
	if !session.isAccepted() {
		return 0
	}
	heartbeat := &session.heartbeat
	switch heartbeat.state {
	case heartbeatAwaiting:
		return heartbeat.awaitedSince + h.suspicionTimeoutOf(heartbeat)
	case heartbeatOverdue:
		return heartbeat.awaitedSince + h.unresponsiveTimeoutOf(heartbeat)
	default:
		return max(h.nextHeartbeat(session), 1)
	}
}

func (h *heartbeats) suspicionTimeoutOf(heartbeat *heartbeat) time.Duration {
	return max(h.suspicionTimeout, suspicionLatencies*heartbeat.latency)
}

func (h *heartbeats) unresponsiveTimeoutOf(heartbeat *heartbeat) time.Duration {
	return max(h.unresponsiveTimeout, unresponsiveLatencies*heartbeat.latency)
}

// replyTimeout is the outcome of checking the wait for a planner's reply.
type replyTimeout uint8

const (
	replyInTime       replyTimeout = iota // no reply is awaited, or no timeout has passed since the last check
	replyOverdue                          // the suspicion timeout has passed since the last check
	replyUnresponsive                     // the unresponsive timeout has passed: the session must be reset
)

// checkReply checks the wait for a planner's reply. A planner whose reply is overdue is suspected until it replies.
func (h *heartbeats) checkReply(session *plannerSession) replyTimeout {
	heartbeat := &session.heartbeat
	if !session.isAccepted() || heartbeat.state == heartbeatIdle {
		return replyInTime
	}
	waited := h.step.now() - heartbeat.awaitedSince
	if waited >= h.unresponsiveTimeoutOf(heartbeat) {
		return replyUnresponsive
	}
	if waited >= h.suspicionTimeoutOf(heartbeat) && heartbeat.transition(eventReplyOverdue) {
		return replyOverdue
	}
	return replyInTime
}

// restartWaits restarts the wait for each awaited reply. It is called when the forwarder itself was late, as it may not have
// read replies that have already arrived.
func (h *heartbeats) restartWaits() {
	for _, session := range h.planners.all() {
		session.heartbeat.restartWait(h.step.now())
	}
}

// replied handles a reply to a heartbeat that was received at receivedAt.
func (h *heartbeats) replied(session *plannerSession, receivedAt time.Duration, reply *message.HeartbeatReply) {
	heartbeat := &session.heartbeat
	latency, valid := heartbeat.recordReply(receivedAt, reply.Sequence)
	if !valid {
		return
	}
	if !heartbeat.ignoreLatency {
		h.planners.replyReceived(h.step.now(), session.planner, latency, max(0, reply.TimerLag))
	}
	session.confirmOffers()
}
