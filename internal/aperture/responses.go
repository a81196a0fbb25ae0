package aperture

import "time"

const (
	responseTimeout = time.Second // a worker that does not respond within this time is unresponsive
	maxFailures     = 2           // after this number of consecutive failures to reach a worker, it is unresponsive
)

// expectResponse starts the response timeout of a worker, unless a response is already due.
func (f *fleet) expectResponse(w *worker, now time.Duration) {
	if w.awaitingSince > 0 || w.unit == nil {
		return
	}
	w.awaitingSince = max(now, 1)
	if !w.inAwaitingResponse {
		w.inAwaitingResponse = true
		f.awaitingResponse = append(f.awaitingResponse, w)
	}
}

// responseReceived records a response of a worker.
func (f *fleet) responseReceived(id uint64) {
	if w := f.workers[id]; w != nil {
		f.clearResponses(w)
	}
}

// clearResponses marks a worker as responsive, without a response due.
func (f *fleet) clearResponses(w *worker) {
	w.awaitingSince = 0
	w.failures = 0
	f.setUnresponsive(w, false)
}

// failureObserved records that a worker could not be reached.
func (f *fleet) failureObserved(id uint64) {
	w := f.workers[id]
	if w == nil || !w.reported {
		return
	}
	w.failures++
	if w.failures >= maxFailures {
		f.setUnresponsive(w, true)
	}
}

// setUnresponsive sets whether a worker is unresponsive. An unresponsive worker stays in the subset, so that a later response can
// mark it as responsive again, and further workers are selected in addition.
func (f *fleet) setUnresponsive(w *worker, unresponsive bool) {
	if w.unit == nil || w.unresponsive == unresponsive {
		return
	}
	f.adjustCounts(w, -1)
	w.unresponsive = unresponsive
	f.adjustCounts(w, 1)
	f.needsRefresh = true
}

// checkResponses marks the workers that have not responded in time as unresponsive. stalled means that this process was not
// running in time: every worker gets the full timeout again.
func (f *fleet) checkResponses(now time.Duration, stalled bool) {
	awaited := f.awaitingResponse[:0]
	for _, w := range f.awaitingResponse {
		if w.awaitingSince == 0 {
			w.inAwaitingResponse = false
			continue
		}
		if stalled {
			w.awaitingSince = now
		} else if w.reported && now-w.awaitingSince >= responseTimeout {
			f.setUnresponsive(w, true)
		}
		awaited = append(awaited, w)
	}
	clear(f.awaitingResponse[len(awaited):])
	f.awaitingResponse = awaited
}
