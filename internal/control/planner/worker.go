package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// worker is a worker on the endpoint list, or an unlisted one that has a status or an attempt.
type worker struct {
	dispatch.Worker        // its entry on the list
	listed          bool   // on the list
	listSequence    uint64 // of the last full list on which it was
	owned           bool   // assigned to this planner
	hasStatus       bool
	status          message.WorkerStatus // the newest one, of any source
	warmUntil       time.Duration        // until then it gets no work while it is warming up
	references      int                  // attempts of requests in the table
	announced       bool                 // the policy has it, as announcedAs
	announcedAs     dispatch.Worker
	index           int // in workerTable.list
	location        *location
}

// startedAt returns when the worker's process started, by its entry and its status.
func (w *worker) startedAt() time.Duration {
	return max(w.BootAt, time.Duration(w.status.StartedMs)*time.Millisecond)
}

// isUp reports whether the worker is on the endpoint list and up by its newest status.
func (w *worker) isUp() bool { return w.listed && w.status.State == message.WorkerUp }

// isUnavailable reports whether the worker is draining or gone by its newest status.
func (w *worker) isUnavailable() bool { return w.hasStatus && w.status.State != message.WorkerUp }
