package planner

import "valvecove/internal/control/message"

// receivedHeartbeat is a forwarder's heartbeat that has no reply yet.
type receivedHeartbeat struct {
	session  SessionID
	epoch    message.Epoch
	sequence uint64
}

// heartbeats replies to heartbeats at the end of a step, after the policy has processed the messages that precede them.
type heartbeats struct {
	step       *step
	timer      *stepTimer
	forwarders *forwarderTable

	received []receivedHeartbeat
}

// add records a heartbeat, to be answered at the end of the step.
func (h *heartbeats) add(session SessionID, epoch message.Epoch, sequence uint64) {
	h.received = append(h.received, receivedHeartbeat{session, epoch, sequence})
}

// answer replies to the heartbeats of this step whose sessions are still open.
func (h *heartbeats) answer() {
	for _, heartbeat := range h.received {
		session := h.forwarders.sessions[heartbeat.session]
		if session == nil || session.forwarder == nil || session.forwarder.epoch != heartbeat.epoch {
			continue
		}
		h.step.send(session.forwarder, &message.HeartbeatReply{Sequence: heartbeat.sequence, TimerLag: h.timer.lag})
	}
	h.received = h.received[:0]
}
