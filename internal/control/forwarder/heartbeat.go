package forwarder

import (
	"fmt"
	"time"
)

// latencyDecayDivisor is the decay of the mean latency: each sample moves it by this fraction of their difference.
const latencyDecayDivisor = 4

// heartbeat is the state of the heartbeats to one planner. A reply shows that the planner has read every message that was
// sent before the heartbeat.
type heartbeat struct {
	state         heartbeatState
	sequence      uint64        // of the last heartbeat sent
	acknowledged  uint64        // of the last heartbeat that was replied to
	sentAt        time.Duration // when the last one was sent, or the session began
	awaitedSince  time.Duration // when the wait for the reply began
	ignoreLatency bool          // the reply is no sample of the planner's latency, as the forwarder was late itself
	offersSent    bool          // the planner was offered requests since the last heartbeat
	latency       time.Duration // mean time to a reply, over all sessions
	minLatency    time.Duration // shortest time to a reply in this session; 0: there was no reply
}

// heartbeatState is the state of the wait for a reply.
type heartbeatState uint8

const (
	heartbeatIdle     heartbeatState = iota // no reply is awaited
	heartbeatAwaiting                       // a reply is awaited
	heartbeatOverdue                        // it has been awaited for the suspicion timeout: the planner is suspected
)

// String returns the state's name.
func (h heartbeatState) String() string {
	switch h {
	case heartbeatIdle:
		return "idle"
	case heartbeatAwaiting:
		return "awaiting"
	case heartbeatOverdue:
		return "overdue"
	default:
		return fmt.Sprintf("heartbeatState(%d)", uint8(h))
	}
}

// heartbeatEvent is what changes the state of a heartbeat.
type heartbeatEvent uint8

const (
	eventHeartbeatSent heartbeatEvent = iota
	eventReplyOverdue
	eventReplyReceived
)

// after returns the state after an event, or false if the event has no meaning in this state.
func (h heartbeatState) after(event heartbeatEvent) (next heartbeatState, valid bool) {
	switch event {
	case eventHeartbeatSent:
		return heartbeatAwaiting, h == heartbeatIdle
	case eventReplyOverdue:
		return heartbeatOverdue, h == heartbeatAwaiting
	case eventReplyReceived:
		return heartbeatIdle, h != heartbeatIdle
	default:
		return h, false
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

// reset starts a new session. The mean latency is kept.
func (h *heartbeat) reset(now time.Duration) {
	*h = heartbeat{sentAt: now, latency: h.latency}
}

// recordSent records that a heartbeat is sent, and returns its sequence number.
func (h *heartbeat) recordSent(now time.Duration) (sequence uint64) {
	h.transition(eventHeartbeatSent)
	h.sequence++
	h.sentAt = now
	h.awaitedSince = now
	h.ignoreLatency = false
	h.offersSent = false
	return h.sequence
}

// restartWait restarts the wait for a reply, if one is awaited.
func (h *heartbeat) restartWait(now time.Duration) {
	if h.state != heartbeatIdle {
		h.awaitedSince = now
		h.ignoreLatency = true
	}
}

// recordReply processes a reply that was received at an instant, and returns the time since the wait for it was started. It
// is not valid if it is not the reply that is awaited.
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
