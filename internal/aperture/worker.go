package aperture

import (
	"time"

	"valvecove/dispatch"
)

// worker is the state of a worker that is listed, or has attempts of this scheduler in flight.
type worker struct {
	dispatch.Worker        // status that discovery lists
	unit            *unit  // nil: the worker is not listed
	listVersion     uint64 // fleet.listVersion of the last update that contained the worker
	inFlight        int    // number of attempts of this scheduler in flight

	// The status that the policy has received.
	reported      bool // the worker is in the policy's list
	reportedReady bool
	reportedRank  slowStartRank
	changed       bool // discovery has listed a change since the last report

	// Responses.
	awaitingSince      time.Duration // time since which a response is due; 0: none is due
	inAwaitingResponse bool          // the worker is in fleet.awaitingResponse
	failures           int           // number of consecutive failures to reach the worker
	unresponsive       bool
}

// resetResponses resets the response state.
func (w *worker) resetResponses() {
	w.awaitingSince = 0
	w.failures = 0
	w.unresponsive = false
}

// report returns the status of a listed worker for the policy, and records that the policy has received it.
func (w *worker) report(ready bool) dispatch.Worker {
	w.reported = true
	w.reportedReady = ready
	w.reportedRank = w.unit.rank
	w.changed = false
	return w.status()
}

// status returns the status that the policy has received.
func (w *worker) status() dispatch.Worker {
	status := w.Worker
	status.Ready = w.reportedReady
	status.AssigneeRank = 0
	status.Assignees = 0
	if w.reportedRank != anyScheduler {
		status.AssigneeRank = int(w.reportedRank) - 1
		status.Assignees = ringCount
	}
	return status
}

// counts returns the contribution of the worker to the counts of its unit.
func (w *worker) counts() workerCounts {
	counts := workerCounts{listed: 1}
	if w.Ready {
		counts.ready = 1
		if !w.unresponsive {
			counts.responsive = 1
		}
	}
	return counts
}

// workerCounts contains numbers of workers.
type workerCounts struct {
	listed     int
	ready      int // number of listed workers that are ready
	responsive int // number of ready workers that are responsive
}

// add adds the counts of other, multiplied by sign, which is 1 or -1.
func (w *workerCounts) add(other workerCounts, sign int) {
	w.listed += sign * other.listed
	w.ready += sign * other.ready
	w.responsive += sign * other.responsive
}
