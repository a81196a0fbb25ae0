package aperture

import "time"

const (
	responseTimeout = time.Second // a worker that does not respond in this time is unresponsive
	maxFailures     = 2           // consecutive failures to reach a worker, after which it is unresponsive
)

// expectResponse records that a response of a worker is due from now on.
func (f *fleet) expectResponse(w *worker, now time.Duration) {
	if w.awaitingSince > 0 || w.unit == nil {
		return
	}
	w.awaitingSince = max(now, 1)
	if !w.awaited {
		w.awaited = true
		f.awaited = append(f.awaited, w)
	}
}

// responseReceived records a response of a worker.
func (f *fleet) responseReceived(id uint64) {
	if w := f.workers[id]; w != nil {
		f.clearResponses(w)
	}
}

// clearResponses marks a worker as responsive, with no response due.
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

// setUnresponsive sets whether a worker is unresponsive. An unresponsive worker stays in the subset, so that it can respond
// again, and others are selected in addition.
func (f *fleet) setUnresponsive(w *worker, unresponsive bool) {
	if w.unit == nil || w.unresponsive == unresponsive {
		return
	}
	f.count(w, -1)
	w.unresponsive = unresponsive
	f.count(w, 1)
	f.needsRefresh = true
}

// checkResponses marks the workers that have not responded in time as unresponsive. late means that this process was not running
// in time; all workers have the full time again then.
func (f *fleet) checkResponses(now time.Duration, late bool) {
	awaited := f.awaited[:0]
	for _, w := range f.awaited {
		if w.awaitingSince == 0 {
			w.awaited = false
			continue
		}
		if late {
			w.awaitingSince = now
		} else if w.reported && now-w.awaitingSince >= responseTimeout {
			f.setUnresponsive(w, true)
		}
		awaited = append(awaited, w)
	}
	clear(f.awaited[len(awaited):])
	f.awaited = awaited
}
