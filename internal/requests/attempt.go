package requests

import (
	"valvecove/dispatch"
	"valvecove/internal/due"
)

// Attempt is one sending of a query.
type Attempt struct {
	due.Item   // it is waited for until then
	Request    *Request
	Number     int
	Worker     uint64
	Stage      Stage  // kept by the carrier
	EndpointID string // the host's own id
	started    bool   // the carrier has it, or had it
	ended      bool
	result     dispatch.Result // once it has
	// cancelling is set from the withdrawal of an accepted attempt until its worker node is told: it may run until then.
	cancelling         bool
	cancelReason       Reason // of that
	ambiguousCallbacks bool   // an attempt before it at the same host may still tell notes, and these name no attempt
}

// HasEnded tells whether it has its outcome. A note may bring that about before a carrier has written all of it: one that
// is told late, of an attempt before at the same host. A carrier then writes no more, as the query may be over, or out
// at another host by now.
func (a *Attempt) HasEnded() bool { return a.ended }

// EndedByWorker tells whether its own worker node has said how it ended: nothing is left there that could be withdrawn.
func (a *Attempt) EndedByWorker() bool {
	return a.ended && a.result != dispatch.TimedOut && a.result != dispatch.Cancelled
}

// mayStillCallBack holds of an attempt that has ended here without a word of its worker node, and may run there.
func (a *Attempt) mayStillCallBack() bool {
	return a.ended && a.Stage >= StageWritten &&
		(a.result == dispatch.ConnectionReset || a.result == dispatch.TimedOut || a.result == dispatch.Cancelled)
}

type attemptKey struct{ callID, endpointID string }
