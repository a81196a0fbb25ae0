package forwarder

import (
	"fmt"
	"time"
)

// latencyDecayDivisor sets the weight of a new sample in the moving average of the latency: 1/latencyDecayDivisor.
const latencyDecayDivisor = 4

// heartbeat is the state of the heartbeats to one planner. A reply proves that the planner has read every message that was
// sent before that heartbeat.
type heartbeat struct {
	state         heartbeatState
	sequence      uint64        // of the last heartbeat sent
	acknowledged  uint64        // sequence number of the last heartbeat that the planner replied to
	sentAt        time.Duration // when the last heartbeat was sent, or the session began
	awaitedSince  time.Duration // when the wait for the reply began
	ignoreLatency bool          // the next reply is no latency sample, because the forwarder itself was late
	offersSent    bool          // the planner was offered requests since the last heartbeat
	latency       time.Duration // moving average of the time to a reply, kept across sessions
	minLatency    time.Duration // shortest time to a reply in this session; 0 if there was none
}

// heartbeatState is the state of the wait for a reply.
type heartbeatState uint8

const (
	heartbeatIdle     heartbeatState = iota // no reply is awaited
	heartbeatAwaiting                       // a reply is awaited
	heartbeatOverdue                        // no reply within the suspicion timeout: the planner is suspected
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

// heartbeatEvent is an event that may change the state of a heartbeat.
type heartbeatEvent uint8

const (
	eventHeartbeatSent heartbeatEvent = iota
	eventReplyOverdue
	eventReplyReceived
)

// after returns the state after an event, or false if the event is not valid in this state.
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

// transition applies an event to the state. It returns false and changes nothing if the event is not valid in this state.
func (h *heartbeat) transition(event heartbeatEvent) bool {
	next, valid := h.state.after(event)
	if valid {
		h.state = next
	}
	return valid
}

// reset starts a new session. The average latency is kept.
func (h *heartbeat) reset(now time.Duration) {
	*h = heartbeat{sentAt: now, latency: h.latency}
}

// recordSent records that a heartbeat is being sent, and returns its sequence number.
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

// recordReply records a reply that was received at receivedAt, and returns the time since the wait for it started. It returns
// false if the reply is not the awaited one.
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
