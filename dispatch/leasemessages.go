package dispatch

import "time"

// LeaseID identifies a lease, or a request for one, among those of the dispatcher that requests it.
type LeaseID uint32

// Shard is a part of the workers of a zone. One dispatcher, the shard's coordinator, leases their slots to
// all dispatchers.
type Shard struct {
	Zone   int `json:"zone"`
	Number int `json:"number"` // from 0, in its zone
}

// PeerMessage is a message about leases between two dispatchers. It may be lost, delayed, repeated or
// reordered. Captures store messages under the names in the tags.
type PeerMessage interface{ peerMessage() }

// The messages of a dispatcher to a coordinator.
type (
	// LeaseRequest requests slots at any worker of a shard, for one job. It is repeated, with the same ID,
	// until it is granted.
	LeaseRequest struct {
		ID              LeaseID `json:"id"`
		Shard           Shard   `json:"shard"`
		Class           int     `json:"class"`  // index into Settings.Classes
		Demand          float64 `json:"demand"` // slots
		Work            float64 `json:"work"`   // seconds on a standard core, times slots
		LongProbability float64 `json:"score"`  // that the job runs long: its score
		// Demoted: the job's answer can no longer have its full utility. The request is granted after those
		// of jobs that still can.
		Demoted bool `json:"demoted"`
		// PromoteIn is the time until the job will have been queued for longer than tau, the promotion
		// threshold; negative: it has been already.
		PromoteIn time.Duration `json:"promote_ns"`
		Excluded  []uint64      `json:"excluded,omitempty"` // workers not to be granted, MaxExcluded at most
	}
	// LeaseStarted reports the start of the attempt on a lease. If Prompt is false, the attempt is late, and
	// may not have started yet.
	LeaseStarted struct {
		ID     LeaseID `json:"id"`
		Prompt bool    `json:"prompt"`
	}
	// LeaseReleased ends a lease, or withdraws a request. Result is that of the attempt, or NotSent if no
	// attempt was sent.
	LeaseReleased struct {
		ID     LeaseID `json:"id"`
		Result Result  `json:"result"`
	}
	// LeaseReport lists leases in use, and slots in use without a lease. If Complete is true, the sender uses
	// no others of the coordinator's shards.
	LeaseReport struct {
		Complete bool        `json:"complete"`
		Leases   []HeldLease `json:"leases,omitempty"` // MaxReported at most
	}
)

// The messages of a coordinator, which answer the request with the same ID. FreeSlots is the number of free
// slots of its shard, less the demand of waiting requests; it may be negative.
type (
	// LeaseGranted grants slots at a worker.
	LeaseGranted struct {
		ID        LeaseID `json:"id"`
		Worker    uint64  `json:"number"`
		FreeSlots int     `json:"free"`
	}
	// LeaseQueued says that no worker of the shard can start the job now. The request waits.
	LeaseQueued struct {
		ID        LeaseID `json:"id"`
		FreeSlots int     `json:"free"`
	}
)

// PeerRestarted is delivered in place of a message: the peer is a new process, without the state of the
// previous one.
type PeerRestarted struct{}

// HeldLease is a lease in use, or slots that are in use without a lease.
type HeldLease struct {
	ID      LeaseID `json:"id"`
	Worker  uint64  `json:"number"`
	Demand  float64 `json:"demand"` // slots
	Started bool    `json:"started"`
}

// Bounds of the lists in messages.
const (
	MaxExcluded = 4  // workers
	MaxReported = 14 // leases; even with the largest values a report then fits into a datagram
)

func (LeaseRequest) peerMessage()  {}
func (LeaseStarted) peerMessage()  {}
func (LeaseReleased) peerMessage() {}
func (LeaseReport) peerMessage()   {}
func (LeaseGranted) peerMessage()  {}
func (LeaseQueued) peerMessage()   {}
func (PeerRestarted) peerMessage() {}
