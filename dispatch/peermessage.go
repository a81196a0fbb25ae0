package dispatch

import "time"

// LeaseID names a lease of slots, or a request for one. A dispatcher numbers those that it asks for.
type LeaseID uint32

// Shard is a part of the workers of a zone whose slots one dispatcher, the shard's coordinator, leases to all.
type Shard struct {
	Zone   int
	Number int // from 0, in its zone
}

// PeerMessage is what dispatchers tell each other about slots of workers. Each may be lost, late, repeated or out of order.
type PeerMessage interface{ peerMessage() }

// The messages of a dispatcher to a coordinator.
type (
	// LeaseRequest asks for slots at some worker of a shard, for a job. It is repeated, with its ID, until it is granted.
	LeaseRequest struct {
		ID         LeaseID
		Shard      Shard
		Class      int           // index into Settings.Classes
		Demand     float64       // slots
		Work       float64       // seconds on a standard core, times slots
		LongChance float64       // the job's score, from 0 to 1
		Demoted    bool          // it can't earn in full any more: it is granted after those that can
		PromoteIn  time.Duration // until the job has been queued for longer than tau; negative: it has been
		Excluded   []uint64      // workers that the job may not go to, MaxExcluded at most
	}
	// LeaseStarted tells whether the attempt on a lease has started promptly; not prompt: it is late, and may not have
	// started.
	LeaseStarted struct {
		ID     LeaseID
		Prompt bool
	}
	// LeaseReleased ends a lease, or a request for one. Result is how the attempt on it ended; NotSent: there was none.
	LeaseReleased struct {
		ID     LeaseID
		Result Result
	}
	// LeaseReport lists leases that are in use, and slots in use that were taken without one. If it is complete, whatever
	// it does not list is free.
	LeaseReport struct {
		Complete bool
		Leases   []HeldLease // MaxReported at most
	}
)

// The messages of a coordinator, which name a request by its ID. FreeSlots are those that its shard has free, less those that
// are waited for.
type (
	// LeaseGranted grants slots at a worker.
	LeaseGranted struct {
		ID        LeaseID
		Worker    uint64
		FreeSlots int
	}
	// LeaseQueued tells that no worker of the shard can start the job now. The request waits.
	LeaseQueued struct {
		ID        LeaseID
		FreeSlots int
	}
)

// PeerRestarted is in place of a message: the peer is a new process, which knows nothing of what was said before.
type PeerRestarted struct{}

// HeldLease is a lease in use.
type HeldLease struct {
	ID      LeaseID
	Worker  uint64
	Demand  float64 // slots
	Started bool
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
