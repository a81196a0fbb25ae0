// Package simwire reads and writes the simulator's line protocol, which consists of batches of events for any number of scheduler
// instances, and of replies with the instances' actions. It converts between lines and the types of package dispatch. It makes no
// decisions, and stores no state of an instance.
package simwire

import (
	"time"

	"valvecove/dispatch"
)

// Batch contains all inputs of one point in time.
type Batch struct {
	Now    time.Duration // the simulator's clock
	Inputs []Input       // in order
}

// Input is a message for one instance.
type Input struct {
	Instance int
	Message  Message
}

// Message is the content of an input: a Start, Stop, Event, PeerDatagram or Ignored.
type Message interface{ isMessage() }

// Start starts an instance. It replaces an earlier instance with the same number.
type Start struct {
	Settings dispatch.Settings
	Seed     uint64 // of the instance's random numbers
}

// Stop ends an instance.
type Stop struct{}

// Event is an event for an instance's dispatch policy.
type Event struct{ Event dispatch.Event }

// PeerDatagram is a datagram from another instance of the same deployment.
type PeerDatagram struct {
	From    int // dispatch.Settings.ReplicaIndex of the sender
	Payload []byte
}

// Ignored is a message of the protocol that the dispatch policy does not use.
type Ignored struct{}

func (Start) isMessage()        {}
func (Stop) isMessage()         {}
func (Event) isMessage()        {}
func (PeerDatagram) isMessage() {}
func (Ignored) isMessage()      {}
