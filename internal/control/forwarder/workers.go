package forwarder

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// maxInitialStatuses limits the worker statuses that are sent at the start of a session.
const maxInitialStatuses = 1024

// workerValidator decides which workers requests may be sent to, based on the endpoint list and the statuses that planners
// report.
type workerValidator interface {
	Observe(now time.Duration, event dispatch.Event) (commandNumber int, attemptEnded bool)
	ObserveStatus(now time.Duration, status message.WorkerStatus) (isNew bool)
	Blocked(workerID uint64) bool
}

// workers keeps the forwarder's endpoint list, and reports changes of the workers' status to planners and the local policy.
type workers struct {
	step         *step
	validator    workerValidator
	planners     *plannerSet
	local        *localPolicy
	endpoints    endpointList
	subscription subscription
	rng          *rand.Rand
}

// listChanged handles an update of the endpoint list.
func (w *workers) listChanged(update dispatch.WorkerList) {
	now := w.step.now()
	w.subscription.observe(now, update.Kind, w.rng)
	if update.Kind == dispatch.ListUnavailable {
		w.local.notify(update)
		return
	}
	w.validator.Observe(now, update)
	w.endpoints.apply(update, func(status message.WorkerStatus) { w.broadcast(status, nil) })
	update.Workers = w.withBlocked(update.Workers)
	w.local.notify(update)
}

// localList returns the current endpoint list as the local policy should see it.
func (w *workers) localList() dispatch.WorkerList {
	return dispatch.WorkerList{
		Kind:     dispatch.ListCached,
		Workers:  w.withBlocked(w.endpoints.list()),
		Revision: w.endpoints.revision,
	}
}

// withBlocked returns a list as the local policy should see it: workers that planners report as draining are marked as not
// ready. Without a running policy it returns the list unchanged.
func (w *workers) withBlocked(list []dispatch.Worker) []dispatch.Worker {
	if !w.local.isRunning() {
		return list
	}
	list = slices.Clone(list)
	for i := range list {
		if list[i].Ready && w.validator.Blocked(list[i].ID) {
			list[i].Ready = false
		}
	}
	return list
}

// statusReceived handles a worker's status from a planner. A new status is forwarded to the other planners, which may not be
// connected to the sender.
func (w *workers) statusReceived(sender *plannerSession, status message.WorkerStatus) {
	wasBlocked := w.validator.Blocked(status.WorkerID)
	if !w.validator.ObserveStatus(w.step.now(), status) {
		return
	}
	w.broadcast(status, sender)
	isBlocked := w.validator.Blocked(status.WorkerID)
	if isBlocked == wasBlocked {
		return
	}
	worker := w.endpoints.workers[status.WorkerID]
	worker.Ready = worker.Ready && !isBlocked
	w.local.notify(dispatch.WorkerList{
		Kind:     dispatch.ListDelta,
		Workers:  []dispatch.Worker{worker},
		Revision: w.endpoints.revision,
	})
}

// broadcast sends a worker's status to all planners except the excluded one (which may be nil).
func (w *workers) broadcast(status message.WorkerStatus, excluded *plannerSession) {
	for _, session := range w.planners.all() {
		if session != excluded {
			w.step.send(session, &status)
		}
	}
}

// sendUnavailable sends the status of the workers that are not ready to a planner that has accepted a session, up to
// maxInitialStatuses.
func (w *workers) sendUnavailable(session *plannerSession) {
	sent := 0
	for _, id := range slices.Sorted(maps.Keys(w.endpoints.workers)) {
		worker := w.endpoints.workers[id]
		if worker.Ready {
			continue
		}
		if sent == maxInitialStatuses {
			return
		}
		sent++
		status := statusOf(worker, w.endpoints.revision)
		w.step.send(session, &status)
	}
}

// nextSubscription returns when the next subscription to the endpoint list is due, or 0 if none is scheduled.
func (w *workers) nextSubscription() time.Duration { return w.subscription.nextStart() }

// subscribe subscribes to the endpoint list if that is due.
func (w *workers) subscribe() {
	if w.subscription.start(w.step.now()) {
		w.step.emit(dispatch.Subscribe{})
	}
}
