package dispatch

import "time"

// LeaseID names a lease of slots, or a request for one. A dispatcher numbers those that it asks for.
type LeaseID uint32

// Shard is a part of the workers of a zone whose slots one dispatcher, the shard's coordinator, leases to all.
type Shard struct {
	Zone   int `json:"zone"`
	Number int `json:"number"` // from 0, in its zone
}

// PeerMessage is what dispatchers tell each other about slots of workers. Each may be lost, late, repeated or out of order.
// Captures hold messages under the names in the tags.
type PeerMessage interface{ peerMessage() }

// The messages of a dispatcher to a coordinator.
type (
	// LeaseRequest asks for slots at some worker of a shard, for a job. It is repeated, with its ID, until it is granted.
	LeaseRequest struct {
		ID         LeaseID       `json:"id"`
		Shard      Shard         `json:"shard"`
		Class      int           `json:"class"`              // index into Settings.Classes
		Demand     float64       `json:"demand"`             // slots
		Work       float64       `json:"work"`               // seconds on a standard core, times slots
		LongChance float64       `json:"score"`              // the job's score, from 0 to 1
		Demoted    bool          `json:"demoted"`            // it can't earn in full any more: it is granted after those that can
		PromoteIn  time.Duration `json:"promote_ns"`         // until the job has been queued for longer than tau; negative: it has been
		Excluded   []uint64      `json:"excluded,omitempty"` // workers that the job may not go to, MaxExcluded at most
	}
	// LeaseStarted tells whether the attempt on a lease has started promptly; not prompt: it is late, and may not have
	// started.
	LeaseStarted struct {
		ID     LeaseID `json:"id"`
		Prompt bool    `json:"prompt"`
	}
	// LeaseReleased ends a lease, or a request for one. Result is how the attempt on it ended; NotSent: there was none.
	LeaseReleased struct {
		ID     LeaseID `json:"id"`
		Result Result  `json:"result"`
	}
	// LeaseReport lists leases that are in use, and slots in use that were taken without one. If it is complete, whatever
	// it does not list is free.
	LeaseReport struct {
		Complete bool        `json:"complete"`
		Leases   []HeldLease `json:"leases,omitempty"` // MaxReported at most
	}
)

// The messages of a coordinator, which name a request by its ID. FreeSlots are those that its shard has free, less those that
// are waited for.
type (
	// LeaseGranted grants slots at a worker.
	LeaseGranted struct {
		ID        LeaseID `json:"id"`
		Worker    uint64  `json:"number"`
		FreeSlots int     `json:"free"`
	}
	// LeaseQueued tells that no worker of the shard can start the job now. The request waits.
	LeaseQueued struct {
		ID        LeaseID `json:"id"`
		FreeSlots int     `json:"free"`
	}
)

// PeerRestarted is in place of a message: the peer is a new process, which knows nothing of what was said before.
type PeerRestarted struct{}

// HeldLease is a lease in use.
type HeldLease struct {
	ID      LeaseID `json:"id"`
	Worker  uint64  `json:"number"`
	Demand  float64 `json:"demand"` // slots
	Started bool    `json:"started"`
}

// Bounds of the lists in messages.
const (
	MaxExcluded = 4
	MaxReported = 14 // with the largest figures a report fits into a datagram
)

func (LeaseRequest) peerMessage()  {}
func (LeaseStarted) peerMessage()  {}
func (LeaseReleased) peerMessage() {}
func (LeaseReport) peerMessage()   {}
func (LeaseGranted) peerMessage()  {}
func (LeaseQueued) peerMessage()   {}
func (PeerRestarted) peerMessage() {}
