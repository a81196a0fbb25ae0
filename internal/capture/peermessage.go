package capture

import (
	"fmt"

	"valvecove/dispatch"
)

// peerMessage is the stored form of a dispatch.PeerMessage. One field is set, according to the type of the message.
type peerMessage struct {
	LeaseRequest  *dispatch.LeaseRequest  `json:"request,omitempty"`
	LeaseStarted  *dispatch.LeaseStarted  `json:"started,omitempty"`
	LeaseReleased *dispatch.LeaseReleased `json:"released,omitempty"`
	LeaseReport   *dispatch.LeaseReport   `json:"report,omitempty"`
	LeaseGranted  *dispatch.LeaseGranted  `json:"granted,omitempty"`
	LeaseQueued   *dispatch.LeaseQueued   `json:"queued,omitempty"`
	PeerRestarted *dispatch.PeerRestarted `json:"restarted,omitempty"`
}

// newPeerMessage returns the stored form of a message; peerMessage.message is its inverse.
func newPeerMessage(message dispatch.PeerMessage) *peerMessage {
	switch message := message.(type) {
	case dispatch.LeaseRequest:
		return &peerMessage{LeaseRequest: &message}
	case dispatch.LeaseStarted:
		return &peerMessage{LeaseStarted: &message}
	case dispatch.LeaseReleased:
		return &peerMessage{LeaseReleased: &message}
	case dispatch.LeaseReport:
		return &peerMessage{LeaseReport: &message}
	case dispatch.LeaseGranted:
		return &peerMessage{LeaseGranted: &message}
	case dispatch.LeaseQueued:
		return &peerMessage{LeaseQueued: &message}
	case dispatch.PeerRestarted:
		return &peerMessage{PeerRestarted: &message}
	}
	panic(fmt.Sprintf("unknown type of peer message: %T", message))
}

// message returns the message, or nil if there is none.
func (p *peerMessage) message() dispatch.PeerMessage {
	switch {
	case p == nil:
	case p.LeaseRequest != nil:
		return *p.LeaseRequest
	case p.LeaseStarted != nil:
		return *p.LeaseStarted
	case p.LeaseReleased != nil:
		return *p.LeaseReleased
	case p.LeaseReport != nil:
		return *p.LeaseReport
	case p.LeaseGranted != nil:
		return *p.LeaseGranted
	case p.LeaseQueued != nil:
		return *p.LeaseQueued
	case p.PeerRestarted != nil:
		return *p.PeerRestarted
	}
	return nil
}

// describePeerMessage returns the stored form of a message as JSON, in which all numbers are exact.
func describePeerMessage(message dispatch.PeerMessage) string {
	text, err := json.MarshalToString(newPeerMessage(message))
	if err != nil {
		return fmt.Sprintf("%T: %v", message, err)
	}
	return text
}
