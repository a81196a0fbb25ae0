package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// worker is a worker that is on the endpoint list, has a status, or has attempts.
type worker struct {
	dispatch.Worker        // its entry on the endpoint list
	listed          bool   // on the endpoint list
	listSequence    uint64 // of the last list that included it; see workerTable.listSequence
	owned           bool   // assigned to this planner
	hasStatus       bool
	status          message.WorkerStatus // the newest status from any source
	noWorkUntil     time.Duration        // until then it gets no work, after a takeover while warming up
	references      int                  // number of attempts of requests in the table
	knownToPolicy   bool                 // whether the policy has the worker
	policyView      dispatch.Worker      // the policy's view of the worker, if knownToPolicy
	index           int                  // in workerTable.list
	location        *location            // nil unless up
}

// startedAt returns when the worker's process started: the later time of its list entry and its status.
func (w *worker) startedAt() time.Duration {
	return max(w.BootAt, time.Duration(w.status.StartedMs)*time.Millisecond)
}

// isUp reports whether the worker is on the endpoint list and its newest status is up.
func (w *worker) isUp() bool { return w.listed && w.status.State == message.WorkerUp }

// isUnavailable reports whether the worker's newest status is draining or gone.
func (w *worker) isUnavailable() bool { return w.hasStatus && w.status.State != message.WorkerUp }
