package hotrestart

import (
	"fmt"
	"time"

	"valvecove/internal/requests"
)

// NoDescriptor is the value of a descriptor that was not received.
const NoDescriptor = -1

// ReceivedState is the part of the predecessor's state that a successor has received so far. It owns its descriptors until the
// caller restores the connections, or closes the descriptors; see Descriptors.
type ReceivedState struct {
	// ClockAhead is how far this process's clock is ahead of the predecessor's; see SetClocks. The instants in PolicySnapshot are
	// on the predecessor's clock; Finish converts all others to this process's clock.
	ClockAhead time.Duration
	// MarksOverrun reports that the predecessor's build sets ClientConnection.InputOverrun.
	MarksOverrun      bool
	PolicySnapshot    []byte
	RequestTable      requests.State
	OpenRequests      []requests.OpenRequest
	ClientConnections []ReceivedClientConnection
	WorkerConnections []ReceivedWorkerConnection
}

// ReceivedClientConnection is a client's connection and its socket.
type ReceivedClientConnection struct {
	ClientConnection
	Descriptor int
}

// ReceivedWorkerConnection is a connection to a worker and its socket.
type ReceivedWorkerConnection struct {
	WorkerConnection
	Descriptor int
}

// Add adds the content of a message. descriptor was passed along with the message, or is NoDescriptor. Messages without state are
// ignored.
func (r *ReceivedState) Add(message Message, descriptor int) {
	switch message := message.(type) {
	case SnapshotChunk:
		r.PolicySnapshot = append(r.PolicySnapshot, message...)
	case RequestTable:
		r.RequestTable = requests.State(message)
	case OpenRequest:
		r.OpenRequests = append(r.OpenRequests, requests.OpenRequest(message))
	case ClientConnection:
		r.ClientConnections = append(r.ClientConnections, ReceivedClientConnection{message, descriptor})
	case WorkerConnection:
		r.WorkerConnections = append(r.WorkerConnections, ReceivedWorkerConnection{message, descriptor})
	}
}

// MissingDescriptorError is the error of a connection that was received without its socket.
type MissingDescriptorError struct {
	Kind FrameKind
}

// Error returns the kind of the connection.
func (m *MissingDescriptorError) Error() string {
	return fmt.Sprintf("%v without its descriptor", m.Kind)
}

// SetClocks sets ClockAhead from the predecessor's readings, which have just been received, and this process's readings, taken
// now.
func (r *ReceivedState) SetClocks(predecessor TransferBegin, now ClockReadings) {
	r.ClockAhead = now.AheadOf(ClockReadings(predecessor))
}

// Finish returns the complete state with its instants converted to this process's clock. The error is that of Check.
func (r *ReceivedState) Finish() (ReceivedState, error) {
	if err := r.Check(); err != nil {
		return ReceivedState{}, err
	}
	finished := *r
	finished.moveClock(r.ClockAhead)
	return finished, nil
}

// Check returns a *MissingDescriptorError if a connection has no socket.
func (r *ReceivedState) Check() error {
	for _, connection := range r.ClientConnections {
		if connection.Descriptor == NoDescriptor {
			return &MissingDescriptorError{KindClientConnection}
		}
	}
	for _, connection := range r.WorkerConnections {
		if connection.Descriptor == NoDescriptor {
			return &MissingDescriptorError{KindWorkerConnection}
		}
	}
	return nil
}

// Descriptors returns the sockets of all connections.
func (r *ReceivedState) Descriptors() []int {
	var descriptors []int
	for _, connection := range r.ClientConnections {
		descriptors = append(descriptors, connection.Descriptor)
	}
	for _, connection := range r.WorkerConnections {
		descriptors = append(descriptors, connection.Descriptor)
	}
	return descriptors
}
