package planner

import (
	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// subscriber is the policy: it is notified of events, and may wait for an endpoint list that it has requested.
type subscriber interface {
	notifier
	isSubscribing() bool
}

// policySync keeps what the policy has of the workers up to date.
type policySync struct {
	step      *step
	locations *locationIndex
	policy    subscriber
	workers   *workerTable

	updates []dispatch.Worker // of which the policy is not notified yet
}

// view returns a worker as the policy is to have it; ok: the policy is to have the worker at all.
func (p *policySync) view(w *worker) (view dispatch.Worker, ok bool) {
	view = w.Worker
	view.Ready = w.owned && w.isUp()
	view.Removed = false
	view.BootAt = w.startedAt()
	view.AssigneeRank = 0
	view.Assignees = 1
	if p.step.now() < w.warmUntil {
		view.AssigneeRank = 1 // another planner may still have attempts there
	}
	return view, w.references > 0 || w.listed && w.owned && w.status.State != message.WorkerGone
}

// sync updates what the policy has of a worker, and the count of the workers that are up at its location.
func (p *policySync) sync(w *worker) {
	p.locations.update(w, &p.workers.partition)
	view, ok := p.view(w)
	switch {
	case ok && (!w.announced || view != w.announcedAs):
		w.announced = true
		w.announcedAs = view
		p.updates = append(p.updates, view)
	case !ok && w.announced:
		w.announced = false
		view.Ready = false
		view.Removed = true
		p.updates = append(p.updates, view)
	}
}

// flush notifies the policy of the workers that have changed. While the policy waits for a list that it has requested,
// changes alone would be mistaken for the list: it receives the complete list as a cached one.
func (p *policySync) flush() {
	if len(p.updates) == 0 {
		return
	}
	list := dispatch.WorkerList{Kind: dispatch.ListDelta, Workers: p.takeUpdates(), Revision: p.workers.revision}
	if p.policy.isSubscribing() {
		list.Kind = dispatch.ListCached
		list.Workers = p.workersOfPolicy()
	}
	p.policy.notify(list)
}

// takeUpdates returns the workers that have changed, for an event that notifies the policy of them.
func (p *policySync) takeUpdates() []dispatch.Worker {
	updates := p.updates
	p.updates = nil
	return updates
}

// notifyAll notifies a new policy of all workers.
func (p *policySync) notifyAll() {
	p.updates = nil
	p.policy.notify(dispatch.WorkerList{Kind: dispatch.ListCached, Workers: p.workersOfPolicy(), Revision: p.workers.revision})
}

// workersOfPolicy returns all workers that the policy is to have.
func (p *policySync) workersOfPolicy() (views []dispatch.Worker) {
	for _, worker := range p.workers.list {
		view, ok := p.view(worker)
		worker.announced = ok
		if ok {
			worker.announcedAs = view
			views = append(views, view)
		}
	}
	return views
}

// addReferences counts attempts at a worker that requests in the table have.
func (p *policySync) addReferences(w *worker, count int) {
	w.references += count
	if w.owned && w.listed && w.status.State != message.WorkerGone {
		return // the policy has the worker without references too
	}
	p.sync(w)
	p.workers.removeWorker(w)
}
