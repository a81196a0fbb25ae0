package aperture

import (
	"time"

	"valvecove/dispatch"
)

// worker is the state of a worker that is listed, or has attempts of this scheduler in flight.
type worker struct {
	dispatch.Worker        // as discovery lists it
	unit            *unit  // nil: it is not listed
	listVersion     uint64 // fleet.listVersion of the last list that contained it
	inFlight        int    // attempts of this scheduler

	// The status that the policy has received.
	reported      bool // it is in the policy's list
	reportedReady bool
	reportedRank  slowStartRank
	changed       bool // discovery has listed a change since

	// Responses.
	awaitingSince time.Duration // since when a response is due; 0: none is due
	awaited       bool          // it is in fleet.awaited
	failures      int           // consecutive failures to reach it
	unresponsive  bool
}

// resetResponses resets the state of its responses.
func (w *worker) resetResponses() {
	w.awaitingSince = 0
	w.failures = 0
	w.unresponsive = false
}

// report returns the status of a listed worker for the policy, and records that it is in the policy's list.
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
	ready      int // ready ones of listed
	responsive int // responsive ones of ready
}

// add adds other, multiplied by times.
func (w *workerCounts) add(other workerCounts, times int) {
	w.listed += times * other.listed
	w.ready += times * other.ready
	w.responsive += times * other.responsive
}
