// Package simwire reads and writes the simulator's line protocol: batches of events for any number of scheduler instances,
// and replies with their actions. It translates between lines and the dispatch package's types. It decides nothing and keeps
// no state of an instance.
package simwire

import (
	"time"

	"valvecove/dispatch"
)

// Batch is all that happened at one instant.
type Batch struct {
	Now    time.Duration // the simulator's clock
	Inputs []Input       // in order
}

// Input is a message for one instance.
type Input struct {
	Instance int
	Message  Message
}

// Message is what an input says: Start, Stop, Event or Ignored.
type Message interface{ isMessage() }

// Start begins an instance, in place of an earlier one of that number.
type Start struct {
	Settings dispatch.Settings
	Seed     uint64 // of its random choices
}

// Stop ends an instance.
type Stop struct{}

// Event is an event for an instance's dispatch policy.
type Event struct{ Event dispatch.Event }

// PeerDatagram is a datagram that another instance of the tier has sent.
type PeerDatagram struct {
	From    int // its dispatch.Settings.ReplicaIndex
	Payload []byte
}

// Ignored is a message of the protocol that the dispatch policy has no use for.
type Ignored struct{}

func (Start) isMessage()        {}
func (Stop) isMessage()         {}
func (Event) isMessage()        {}
func (PeerDatagram) isMessage() {}
func (Ignored) isMessage()      {}
