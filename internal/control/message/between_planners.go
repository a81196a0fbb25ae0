package message

import "time"

// PeerHandshake opens a session of a planner with another one.
type PeerHandshake struct {
	Name        string // of the sender
	Incarnation uint64 // when its process started, Unix time in ns
	Version     int    // of the protocol: major version << 8 | minor version
}

// Kind returns KindPeerHandshake.
func (*PeerHandshake) Kind() Kind { return KindPeerHandshake }

// Clone copies the message.
func (m *PeerHandshake) Clone() Message { return shallowClone(m) }

// LoadReport tells how much work a planner has.
type LoadReport struct {
	OpenRequests   int
	QueuedRequests int           // of these without an attempt in flight
	Forwarders     int           // with a session
	TimerLag       time.Duration // how late it has been for its own timers
	UsedSlots      float64       // occupied by its attempts
	FreeSlots      float64       // that it takes to be free
}

// Kind returns KindLoadReport.
func (*LoadReport) Kind() Kind { return KindLoadReport }

// Clone copies the message.
func (m *LoadReport) Clone() Message { return shallowClone(m) }
