package forwarder

import (
	"fmt"
	"time"

	"valvecove/internal/control/message"
)

const (
	// confirmHeartbeatDelay is the time between two heartbeats while there are offers that the planner has not confirmed
	// with a reply.
	confirmHeartbeatDelay = 10 * time.Millisecond
	// latencyDecayDivisor is the part of a new measurement that enters the mean latency.
	latencyDecayDivisor = 4
	// Both timeouts are at least these multiples of the planner's mean latency.
	suspicionLatencies    = 4
	unresponsiveLatencies = 8
)

// heartbeat checks whether a planner replies, and by that, how much it has read of what was sent: a reply shows that
// everything before its heartbeat was read.
type heartbeat struct {
	state         heartbeatState
	sequence      uint64        // of the last heartbeat sent
	acknowledged  uint64        // of the last heartbeat that was replied to
	sentAt        time.Duration // when the last one was sent, or the session began
	awaitedSince  time.Duration // when the wait for the reply began
	ignoreLatency bool          // the reply says nothing of the planner's latency: the forwarder was late itself
	offersSent    bool          // the planner was offered requests since the last heartbeat
	latency       time.Duration // mean time to a reply, over all sessions
	minLatency    time.Duration // shortest time to a reply in this session; 0: there was no reply
}

// heartbeatState is whether a reply is awaited.
type heartbeatState uint8

const (
	heartbeatIdle     heartbeatState = iota // no reply is awaited
	heartbeatAwaiting                       // a reply is awaited
	heartbeatOverdue                        // it has been awaited for so long that the planner is under suspicion
)

// String returns the state's name.
func (s heartbeatState) String() string {
	switch s {
	case heartbeatIdle:
		return "idle"
	case heartbeatAwaiting:
		return "awaiting"
	case heartbeatOverdue:
		return "overdue"
	default:
		return fmt.Sprintf("heartbeatState(%d)", uint8(s))
	}
}

// heartbeatEvent is what changes the state of a heartbeat.
type heartbeatEvent uint8

const (
	eventHeartbeatSent heartbeatEvent = iota
	eventReplyOverdue
	eventReplyReceived
)

// after returns the state that follows s on an event, or false where the event has no meaning.
func (s heartbeatState) after(event heartbeatEvent) (next heartbeatState, valid bool) {
	switch event {
	case eventHeartbeatSent:
		return heartbeatAwaiting, s == heartbeatIdle
	case eventReplyOverdue:
		return heartbeatOverdue, s == heartbeatAwaiting
	case eventReplyReceived:
		return heartbeatIdle, s != heartbeatIdle
	default:
		return s, false
	}
}

// transition changes the state for an event. It reports false, and changes nothing, where the event has no meaning.
func (h *heartbeat) transition(event heartbeatEvent) bool {
	next, valid := h.state.after(event)
	if valid {
		h.state = next
	}
	return valid
}

// reset begins a new session. What is known of the planner's latency stays.
func (h *heartbeat) reset(now time.Duration) {
	*h = heartbeat{sentAt: now, latency: h.latency}
}

// recordSent notes that a heartbeat is sent, and returns its sequence number.
func (h *heartbeat) recordSent(now time.Duration) (sequence uint64) {
	h.transition(eventHeartbeatSent)
	h.sequence++
	h.sentAt = now
	h.awaitedSince = now
	h.ignoreLatency = false
	h.offersSent = false
	return h.sequence
}

// restartWait gives the planner its time for the reply anew.
func (h *heartbeat) restartWait(now time.Duration) {
	if h.state != heartbeatIdle {
		h.awaitedSince = now
		h.ignoreLatency = true
	}
}

// recordReply notes a reply that was received at an instant, and returns how long it took. It is not valid if it is not the
// reply that is awaited.
func (h *heartbeat) recordReply(receivedAt time.Duration, sequence uint64) (latency time.Duration, valid bool) {
	if sequence != h.sequence || !h.transition(eventReplyReceived) {
		return 0, false
	}
	h.acknowledged = sequence
	latency = max(0, receivedAt-h.awaitedSince)
	if h.ignoreLatency {
		return latency, true
	}
	h.latency += (latency - h.latency) / latencyDecayDivisor
	if h.minLatency == 0 || latency < h.minLatency {
		h.minLatency = latency
	}
	return latency, true
}

// isSuspected reports whether the planner's reply is overdue.
func (s *plannerSession) isSuspected() bool { return s.heartbeat.state == heartbeatOverdue }

func (f *Forwarder) suspicionTimeout(h *heartbeat) time.Duration {
	return max(f.config.SuspicionTimeout, suspicionLatencies*h.latency)
}

func (f *Forwarder) unresponsiveTimeout(h *heartbeat) time.Duration {
	return max(f.config.UnresponsiveTimeout, unresponsiveLatencies*h.latency)
}

// sendHeartbeats sends the heartbeats that are due.
func (f *Forwarder) sendHeartbeats() {
	for _, session := range f.sessions {
		if session.isAccepted() && session.heartbeat.state == heartbeatIdle && f.now >= f.nextHeartbeat(session) {
			f.send(session, &message.Heartbeat{Sequence: session.heartbeat.recordSent(f.now)})
		}
	}
}

// nextHeartbeat returns when a planner is to be sent the next heartbeat, if no reply is awaited.
func (f *Forwarder) nextHeartbeat(session *plannerSession) time.Duration {
	heartbeat := &session.heartbeat
	switch candidate := session.poisonCandidate; {
	case candidate != nil && candidate.offeredSequence > heartbeat.sequence:
		return f.now
	case heartbeat.offersSent:
		return heartbeat.sentAt + min(confirmHeartbeatDelay, f.config.HeartbeatInterval)
	}
	return heartbeat.sentAt + f.config.HeartbeatInterval
}

// nextSessionCheck returns when something is due for a session; 0: nothing is.
func (f *Forwarder) nextSessionCheck(session *plannerSession) time.Duration {
	if !session.isAccepted() {
		return 0
	}
	heartbeat := &session.heartbeat
	switch heartbeat.state {
	case heartbeatAwaiting:
		return heartbeat.awaitedSince + f.suspicionTimeout(heartbeat)
	case heartbeatOverdue:
		return heartbeat.awaitedSince + f.unresponsiveTimeout(heartbeat)
	default:
		return max(f.nextHeartbeat(session), 1)
	}
}

// heartbeatReplied processes a reply that was received at an instant.
func (f *Forwarder) heartbeatReplied(session *plannerSession, receivedAt time.Duration, reply *message.HeartbeatReply) {
	heartbeat := &session.heartbeat
	latency, valid := heartbeat.recordReply(receivedAt, reply.Sequence)
	if !valid {
		return
	}
	if !heartbeat.ignoreLatency {
		f.selector.ReplyReceived(f.now, session.planner, latency, max(0, reply.TimerLag))
		f.orderStale = true
	}
	if session.poisonCandidate != nil && session.poisonCandidate.offeredSequence <= heartbeat.acknowledged {
		session.poisonCandidate = nil
	}
}
