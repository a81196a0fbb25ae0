package forwarder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// endpointList is the forwarder's own list of worker nodes.
type endpointList struct {
	workers  map[uint64]dispatch.Worker
	revision int64
	synced   bool // discovery has spoken
}

// endpointsChanged takes in news of the host group. Planners hear of what has changed.
func (f *Forwarder) endpointsChanged(e dispatch.WorkerList) {
	f.watchAnswered(e)
	if e.Kind == dispatch.ListUnavailable {
		f.notifyLocal(e)
		return
	}
	f.revision = e.Revision
	f.validator.Observe(f.now, e)
	before := f.workers
	if e.Kind != dispatch.ListDelta {
		f.workers = make(map[uint64]dispatch.Worker, len(e.Workers))
	}
	for _, w := range e.Workers {
		was, known := before[w.ID]
		if w.Removed {
			delete(f.workers, w.ID)
			w.BootAt = max(w.BootAt, was.BootAt)
		} else {
			f.workers[w.ID] = w
		}
		// A whole list has them all for new, where there was none.
		fresh := !known && !w.Removed && (e.Kind == dispatch.ListDelta || !w.Ready && f.endpointList.synced)
		if fresh || known && (w.Removed || w.Ready != was.Ready || w.BootAt != was.BootAt) {
			f.broadcastStatus(workerStatusOf(w, e.Revision), nil)
		}
	}
	if e.Kind != dispatch.ListDelta {
		for _, id := range slices.Sorted(maps.Keys(before)) {
			if was := before[id]; f.workers[id].ID != id {
				was.Removed = true
				f.broadcastStatus(workerStatusOf(was, e.Revision), nil)
			}
		}
	}
	f.endpointList.synced = f.endpointList.synced || e.Kind != dispatch.ListCached
	e.Workers = f.withBlocked(e.Workers)
	f.notifyLocal(e)
}

func workerStatusOf(w dispatch.Worker, generation int64) message.WorkerStatus {
	x := message.WorkerStatus{WorkerID: w.ID, StartedMs: w.BootAt.Milliseconds(), Revision: generation}
	switch {
	case w.Removed:
		x.State = message.WorkerGone
	case !w.Ready:
		x.State = message.WorkerDraining
	}
	return x
}

// withBlocked is a list as the own module is told it: nodes that drain by the word of others do so.
func (f *Forwarder) withBlocked(list []dispatch.Worker) []dispatch.Worker {
	if f.localPolicy == nil {
		return list
	}
	list = slices.Clone(list)
	for i := range list {
		if list[i].Ready && f.validator.Blocked(list[i].ID) {
			list[i].Ready = false
		}
	}
	return list
}

// listedWorkers is all worker nodes, in order.
func (f *Forwarder) listedWorkers() []dispatch.Worker {
	all := slices.SortedFunc(maps.Values(f.workers), func(a, b dispatch.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return f.withBlocked(all)
}

// workerStatus takes in what a planner says of a worker node. The other planners hear of it if it is news: they may not see
// each other.
func (f *Forwarder) workerStatus(p *plannerLink, w message.WorkerStatus) {
	was := f.validator.Blocked(w.WorkerID)
	if !f.validator.ObserveStatus(f.now, w) {
		return
	}
	f.broadcastStatus(w, p)
	if is, known := f.validator.Blocked(w.WorkerID), f.workers[w.WorkerID]; is != was && f.localPolicy != nil {
		known.Ready = known.Ready && !is
		f.notifyLocal(dispatch.WorkerList{Kind: dispatch.ListDelta, Workers: []dispatch.Worker{known}, Revision: f.revision})
	}
}

// broadcastStatus has all planners but one hear a word.
func (f *Forwarder) broadcastStatus(w message.WorkerStatus, but *plannerLink) {
	for _, p := range f.planners {
		if p != but && p.accepted {
			f.send(p, &w)
		}
	}
}

// sendUnavailable has a planner that has just taken us in hear of what drains.
func (f *Forwarder) sendUnavailable(p *plannerLink) {
	n := 0
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		if w := f.workers[id]; !w.Ready && n < maxInitialStatuses {
			n++
			word := workerStatusOf(w, f.revision)
			f.send(p, &word)
		}
	}
}

// ---- The watch ----

// subscription is the forwarder's call to discovery, where one is needed. It is its own whoever decides: the guard goes by it.
type subscription struct {
	subscribing, subscribed bool
	subscribeAt, backoff    time.Duration
}

const minWatchBackoff = 10 * time.Millisecond

func (f *Forwarder) watchAnswered(e dispatch.WorkerList) {
	if e.Kind != dispatch.ListUnavailable {
		if e.Kind != dispatch.ListCached && f.subscribing {
			f.subscribing, f.subscribed, f.backoff = false, true, 0
		}
		return
	}
	if f.subscribing || f.backoff == 0 {
		f.backoff = min(max(f.settings.PollInterval/20, 2*f.backoff, minWatchBackoff), max(f.settings.PollInterval/4, minWatchBackoff))
	}
	f.subscribing, f.subscribed = false, false
	f.subscribeAt = f.now + f.backoff/2 + time.Duration(f.rng.Int64N(int64(f.backoff)+1))
}

func (f *Forwarder) subscribeIfNeeded() {
	if f.settings.MustSubscribe && !f.subscribed && !f.subscribing && f.now >= f.subscribeAt {
		f.subscribing = true
		f.emit(dispatch.Subscribe{})
	}
}

func (f *Forwarder) nextSubscribe() time.Duration {
	if f.settings.MustSubscribe && !f.subscribed && !f.subscribing {
		return f.subscribeAt
	}
	return 0
}
