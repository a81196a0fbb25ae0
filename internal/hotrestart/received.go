package hotrestart

import (
	"fmt"
	"time"

	"valvecove/internal/requests"
)

// NoDescriptor stands for no file descriptor.
const NoDescriptor = -1

// ReceivedState is what a successor has received of its predecessor's state. It owns the descriptors in it until the caller
// restores the connections, or closes them (see Descriptors).
type ReceivedState struct {
	// ClockAhead is by how much this process's clock is ahead of the predecessor's, as SetClocks found. The instants in
	// PolicySnapshot are the predecessor's; all others are moved by Finish.
	ClockAhead        time.Duration
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

// Add adds what a message says and the descriptor that came with it. Messages that carry no state are ignored.
func (s *ReceivedState) Add(message Message, descriptor int) {
	switch message := message.(type) {
	case SnapshotChunk:
		s.PolicySnapshot = append(s.PolicySnapshot, message...)
	case RequestTable:
		s.RequestTable = requests.State(message)
	case OpenRequest:
		s.OpenRequests = append(s.OpenRequests, requests.OpenRequest(message))
	case ClientConnection:
		s.ClientConnections = append(s.ClientConnections, ReceivedClientConnection{message, descriptor})
	case WorkerConnection:
		s.WorkerConnections = append(s.WorkerConnections, ReceivedWorkerConnection{message, descriptor})
	}
}

// MissingDescriptorError reports a connection that has come without its socket.
type MissingDescriptorError struct {
	Kind FrameKind
}

// Error names the kind of connection.
func (e *MissingDescriptorError) Error() string {
	return fmt.Sprintf("%v without its descriptor", e.Kind)
}

// SetClocks compares what the predecessor's clocks said, which has just come, with what this process's clocks say now.
func (s *ReceivedState) SetClocks(predecessor TransferBegin, now ClockReadings) {
	s.ClockAhead = now.AheadOf(ClockReadings(predecessor))
}

// Finish returns the state, once all of it has come, with its instants as this process's clock has them. The error is that of
// Check.
func (s *ReceivedState) Finish() (ReceivedState, error) {
	if err := s.Check(); err != nil {
		return ReceivedState{}, err
	}
	finished := *s
	finished.moveClock(s.ClockAhead)
	return finished, nil
}

// Check returns a *MissingDescriptorError unless each connection has its socket.
func (s *ReceivedState) Check() error {
	for _, connection := range s.ClientConnections {
		if connection.Descriptor == NoDescriptor {
			return &MissingDescriptorError{KindClientConnection}
		}
	}
	for _, connection := range s.WorkerConnections {
		if connection.Descriptor == NoDescriptor {
			return &MissingDescriptorError{KindWorkerConnection}
		}
	}
	return nil
}

// Descriptors returns the sockets of all connections.
func (s *ReceivedState) Descriptors() []int {
	var descriptors []int
	for _, connection := range s.ClientConnections {
		descriptors = append(descriptors, connection.Descriptor)
	}
	for _, connection := range s.WorkerConnections {
		descriptors = append(descriptors, connection.Descriptor)
	}
	return descriptors
}
