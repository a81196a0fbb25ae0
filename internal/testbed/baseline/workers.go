package baseline

import (
	"time"

	"valvecove/dispatch"
)

// warmUpShare returns the share of its capacity that a worker has at the age of its process: 1 once it is warm.
func (b *base) warmUpShare(worker *worker) float64 {
	age := b.now - worker.BootAt
	if worker.BootAt <= 0 || b.settings.WarmUp <= 0 || age >= b.settings.WarmUp {
		return 1
	}
	return b.settings.WarmUpCapacity + (1-b.settings.WarmUpCapacity)*max(0, age.Seconds())/b.settings.WarmUp.Seconds()
}

// skipsWarmingUp decides, with a random draw, whether a worker that is warming up is skipped this time. It is always skipped
// if it has more attempts in flight than the mean of all ready workers times its share of its capacity.
func (b *base) skipsWarmingUp(worker *worker) bool {
	share := b.warmUpShare(worker)
	if share >= 1 {
		return false
	}
	return b.rng.Float64() >= share || float64(worker.inFlight) > share*float64(len(b.inFlight))/float64(len(b.ready))
}

// applyList handles an update of the worker list, or the event that the list is unavailable.
func (b *base) applyList(workerList dispatch.WorkerList) {
	if workerList.Kind == dispatch.ListUnavailable {
		b.watching = false
		if b.watchRequested || b.pollDelay == 0 {
			b.pollDelay = min(max(b.settings.PollInterval/20, 2*b.pollDelay), b.settings.PollInterval/4)
		}
		b.watchRequested = false
		b.pollAt = b.now + b.pollDelay/2 + time.Duration(b.rng.Int64N(int64(b.pollDelay)+1))
		return
	}
	b.listUpdated = true
	if workerList.Kind != dispatch.ListCached && b.watchRequested {
		b.watchRequested = false
		b.watching = true
		b.pollDelay = 0
	}
	if workerList.Kind != dispatch.ListDelta {
		listed := make(map[uint64]bool, len(workerList.Workers))
		for _, entry := range workerList.Workers {
			listed[entry.ID] = true
		}
		for i := len(b.ready) - 1; i >= 0; i-- { // backward, as setReady moves the last worker to the place of a removed one
			if known := b.ready[i]; !listed[known.ID] {
				b.setReady(known, false)
			}
		}
	}
	for _, entry := range workerList.Workers {
		known := b.workers[entry.ID]
		if known == nil {
			known = &worker{}
			b.workers[entry.ID] = known
		}
		known.Worker = entry
		b.setReady(known, entry.Ready && !entry.Removed)
	}
}

// setReady adds a worker to base.ready, or removes it.
func (b *base) setReady(worker *worker, ready bool) {
	if ready == (worker.readyIndex > 0) {
		return
	}
	if ready {
		b.ready = append(b.ready, worker)
		worker.readyIndex = len(b.ready)
	} else {
		last := b.ready[len(b.ready)-1]
		b.ready[worker.readyIndex-1] = last
		last.readyIndex = worker.readyIndex
		b.ready[len(b.ready)-1] = nil
		b.ready = b.ready[:len(b.ready)-1]
		worker.readyIndex = 0
	}
	b.track(worker)
}

// mustPoll reports whether the policy has to subscribe to the worker list.
func (b *base) mustPoll() bool { return b.settings.MustSubscribe && !b.watching && !b.watchRequested }

// requestWatch subscribes to the worker list if that is due.
func (b *base) requestWatch() {
	if b.mustPoll() && b.now >= b.pollAt {
		b.watchRequested = true
		b.emit(dispatch.Subscribe{})
	}
}
