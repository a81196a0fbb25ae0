package aperture

import (
	"time"

	"valvecove/dispatch"
)

// worker is what is known of a worker that is listed, or has attempts of this scheduler in flight.
type worker struct {
	dispatch.Worker       // as discovery lists it
	unit            *unit // nil: it is not listed
	listVersion     uint64
	inFlight        int // attempts of this scheduler

	// What the policy knows.
	reported      bool // it is in the policy's list
	reportedReady bool
	reportedRank  slowStartRank
	changed       bool // discovery has reported a change since

	// Its responses.
	awaitingSince time.Duration // 0: none is awaited
	awaited       bool          // it is among fleet.awaited
	failures      int           // to reach it, in a row
	unresponsive  bool
}

// resetResponses forgets what was seen of its responses.
func (w *worker) resetResponses() {
	w.awaitingSince = 0
	w.failures = 0
	w.unresponsive = false
}

// report returns the status of a listed worker, which is in the policy's list from now on.
func (w *worker) report(ready bool) dispatch.Worker {
	w.reported = true
	w.reportedReady = ready
	w.reportedRank = w.unit.rank
	w.changed = false
	return w.status()
}

// status is the worker as the policy knows it.
func (w *worker) status() dispatch.Worker {
	status := w.Worker
	status.Ready = w.reportedReady
	status.AssigneeRank, status.Assignees = 0, 0
	if w.reportedRank != anyScheduler {
		status.AssigneeRank = int(w.reportedRank) - 1
		status.Assignees = ringCount
	}
	return status
}

// counts returns what the worker adds to the counts of its unit.
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

// workerCounts counts workers.
type workerCounts struct {
	listed     int
	ready      int // of the listed ones
	responsive int // of the ready ones
}

// add adds other so many times.
func (c *workerCounts) add(other workerCounts, times int) {
	c.listed += times * other.listed
	c.ready += times * other.ready
	c.responsive += times * other.responsive
}
