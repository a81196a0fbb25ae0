package hotrestart

import (
	"errors"
	"slices"
	"testing"

	"valvecove/internal/requests"
)

func TestReceivedStateAdd(t *testing.T) {
	var received ReceivedState
	received.Add(TransferBegin{}, NoDescriptor)
	received.Add(SnapshotChunk("ab"), NoDescriptor)
	received.Add(SnapshotChunk("c"), NoDescriptor)
	received.Add(RequestTable{LastID: 7}, NoDescriptor)
	received.Add(OpenRequest{ID: 5}, NoDescriptor)
	received.Add(OpenRequest{ID: 6}, NoDescriptor)
	received.Add(WorkerConnection{WorkerID: "s-0"}, 10)
	received.Add(ClientConnection{Input: []byte("GET")}, 11)
	received.Add(WorkerConnection{WorkerID: "s-1"}, 12)
	if string(received.PolicySnapshot) != "abc" || received.RequestTable.LastID != 7 {
		t.Errorf("snapshot %q, table %+v", received.PolicySnapshot, received.RequestTable)
	}
	ids := func(r requests.OpenRequest) uint64 { return r.ID }
	if len(received.OpenRequests) != 2 || ids(received.OpenRequests[0]) != 5 || ids(received.OpenRequests[1]) != 6 {
		t.Errorf("requests %+v", received.OpenRequests)
	}
	if len(received.ClientConnections) != 1 || received.ClientConnections[0].Descriptor != 11 {
		t.Errorf("clients %+v", received.ClientConnections)
	}
	workers := received.WorkerConnections
	if len(workers) != 2 || workers[0].WorkerID != "s-0" || workers[0].Descriptor != 10 || workers[1].Descriptor != 12 {
		t.Errorf("workers %+v", workers)
	}
	if got := received.Descriptors(); !slices.Equal(got, []int{11, 10, 12}) {
		t.Errorf("descriptors %v, expected 11, 10 and 12", got)
	}
	if err := received.Check(); err != nil {
		t.Error(err)
	}
}

// The received snapshot does not change when the buffer that the frame was read from is overwritten.
func TestReceivedStateCopiesSnapshot(t *testing.T) {
	var received ReceivedState
	buffer := []byte("ab")
	received.Add(SnapshotChunk(buffer), NoDescriptor)
	buffer[0] = 'x'
	if string(received.PolicySnapshot) != "ab" {
		t.Errorf("snapshot %q, expected ab", received.PolicySnapshot)
	}
}

func TestReceivedStateCheck(t *testing.T) {
	for _, message := range []Message{ClientConnection{}, WorkerConnection{}} {
		var received ReceivedState
		received.Add(message, 10)
		received.Add(message, NoDescriptor)
		var missing *MissingDescriptorError
		if err := received.Check(); !errors.As(err, &missing) || missing.Kind != message.Kind() {
			t.Errorf("%v without a descriptor: %v, expected a MissingDescriptorError", message.Kind(), err)
		}
	}
}
