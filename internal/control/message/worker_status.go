package message

// WorkerStatus is the state of a worker as somebody knows it. Forwarders and planners tell each other of changes.
type WorkerStatus struct {
	WorkerID  uint64
	StartedMs int64 // start of the worker's process by the endpoint list, Unix time in ms
	Revision  int64 // of the endpoint list that the status was taken from; 0: it is not from a list
	State     WorkerState
}

// WorkerState is whether a worker accepts requests. A greater value permits less.
type WorkerState uint8

// States of a worker.
const (
	WorkerUp       WorkerState = iota // it accepts requests
	WorkerDraining                    // it finishes the requests that it has
	WorkerGone                        // it is not on the list any more
)

// String returns the state's name.
func (s WorkerState) String() string {
	switch s {
	case WorkerUp:
		return "up"
	case WorkerDraining:
		return "draining"
	case WorkerGone:
		return "gone"
	}
	return "unknown"
}

// Supersedes reports whether s replaces other, a status of the same worker: the later start of the worker's process wins,
// then the higher revision, then the state that permits less.
func (s WorkerStatus) Supersedes(other WorkerStatus) bool {
	if s.StartedMs != other.StartedMs {
		return s.StartedMs > other.StartedMs
	}
	if s.Revision != other.Revision {
		return s.Revision > other.Revision
	}
	return s.State > other.State
}

// Kind returns KindWorkerStatus.
func (*WorkerStatus) Kind() Kind { return KindWorkerStatus }

// Clone copies the message.
func (s *WorkerStatus) Clone() Message { return shallowClone(s) }
