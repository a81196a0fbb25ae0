package message

// WorkerStatus is the state of a worker as known to the sender. Forwarders and planners notify each other of changes.
type WorkerStatus struct {
	WorkerID  uint64
	StartedMs int64 // start of the worker's process according to the endpoint list, Unix time in ms
	Revision  int64 // revision of the endpoint list with this status; 0 if the status is not from a list
	State     WorkerState
}

// WorkerState states whether a worker accepts requests. A greater value is more restrictive.
type WorkerState uint8

// States of a worker.
const (
	WorkerUp       WorkerState = iota // it accepts requests
	WorkerDraining                    // it accepts no new requests, but finishes those that it has
	WorkerGone                        // it was removed from the endpoint list
)

// String returns the state's name.
func (w WorkerState) String() string {
	switch w {
	case WorkerUp:
		return "up"
	case WorkerDraining:
		return "draining"
	case WorkerGone:
		return "gone"
	}
	return "unknown"
}

// Supersedes reports whether w replaces other, a status of the same worker. The later start of the worker's process wins, then
// the higher revision, then the more restrictive state.
func (w WorkerStatus) Supersedes(other WorkerStatus) bool {
	if w.StartedMs != other.StartedMs {
		return w.StartedMs > other.StartedMs
	}
	if w.Revision != other.Revision {
		return w.Revision > other.Revision
	}
	return w.State > other.State
}

// Kind returns KindWorkerStatus.
func (*WorkerStatus) Kind() Kind { return KindWorkerStatus }

// Clone copies the message.
func (w *WorkerStatus) Clone() Message { return shallowClone(w) }
