package message

import "time"

// PeerHandshake opens a session between two planners.
type PeerHandshake struct {
	Name        string // of the sender
	Incarnation uint64 // start of its process, Unix time in ns
	Version     int    // of the protocol: major version << 8 | minor version
}

// Kind returns KindPeerHandshake.
func (*PeerHandshake) Kind() Kind { return KindPeerHandshake }

// Clone copies the message.
func (p *PeerHandshake) Clone() Message { return shallowClone(p) }

// LoadReport reports a planner's load to another planner.
type LoadReport struct {
	OpenRequests   int           // requests that are assigned to the planner
	QueuedRequests int           // assigned requests without an attempt in flight
	Forwarders     int           // forwarders that have a session with the planner
	TimerLag       time.Duration // delay with which the planner's own timers fire
	UsedSlots      float64       // worker slots occupied by the planner's attempts
	FreeSlots      float64       // worker slots that the planner estimates to be free
}

// Kind returns KindLoadReport.
func (*LoadReport) Kind() Kind { return KindLoadReport }

// Clone copies the message.
func (l *LoadReport) Clone() Message { return shallowClone(l) }
