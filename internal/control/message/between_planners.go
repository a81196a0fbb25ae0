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

// LoadReport reports the load of a planner to another one.
type LoadReport struct {
	OpenRequests   int           // requests that are assigned to the planner
	QueuedRequests int           // of these, without an attempt in flight
	Forwarders     int           // forwarders with a session
	TimerLag       time.Duration // delay of the planner's own timers
	UsedSlots      float64       // slots of workers that its attempts occupy
	FreeSlots      float64       // slots of workers that it estimates to be free
}

// Kind returns KindLoadReport.
func (*LoadReport) Kind() Kind { return KindLoadReport }

// Clone copies the message.
func (l *LoadReport) Clone() Message { return shallowClone(l) }
