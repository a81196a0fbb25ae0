package aperture

import "time"

const (
	responseTimeout = time.Second // a worker that does not respond for so long is unresponsive
	maxFailures     = 2           // and so is one that could not be reached so often in a row
)

// expectResponse notes that a worker has been sent something that it has to respond to.
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

// responseReceived notes a response of a worker.
func (f *fleet) responseReceived(id uint64) {
	if w := f.workers[id]; w != nil {
		f.clearResponses(w)
	}
}

// clearResponses takes a worker for responsive.
func (f *fleet) clearResponses(w *worker) {
	w.awaitingSince = 0
	w.failures = 0
	f.setUnresponsive(w, false)
}

// failureObserved notes that a worker could not be reached.
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

// setUnresponsive enters whether a worker is unresponsive. One that is stays in the subset, so that it can respond again,
// and others come in addition.
func (f *fleet) setUnresponsive(w *worker, unresponsive bool) {
	if w.unit == nil || w.unresponsive == unresponsive {
		return
	}
	f.count(w, -1)
	w.unresponsive = unresponsive
	f.count(w, 1)
	f.needsRefresh = true
}

// checkResponses finds the workers that have not responded in time. late reports that this process was not running in time:
// then all have the time to respond again.
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
