package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// worker is a worker on the endpoint list, or one that is not (any more) and of which there is a status or an attempt.
type worker struct {
	dispatch.Worker        // as the list has it
	listed          bool   // it is on the list
	listSequence    uint64 // of the last full list on which it was
	owned           bool   // it is assigned to this planner
	hasStatus       bool
	status          message.WorkerStatus // the newest, whoever reported it
	warmUntil       time.Duration        // until then it gets no work while it is warming up
	references      int                  // attempts of requests in the table
	announced       bool                 // the policy has it
	announcedAs     dispatch.Worker
	index           int // in workerTable.list
	location        *location
}

// startedAt returns when the worker's process started, by what is known of it.
func (w *worker) startedAt() time.Duration {
	return max(w.BootAt, time.Duration(w.status.StartedMs)*time.Millisecond)
}

// isUp reports whether the worker is on the endpoint list and its newest status says that it is up.
func (w *worker) isUp() bool { return w.listed && w.status.State == message.WorkerUp }

// isUnavailable reports whether the newest status says that the worker is draining or gone.
func (w *worker) isUnavailable() bool { return w.hasStatus && w.status.State != message.WorkerUp }
