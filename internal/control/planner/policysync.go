package planner

import (
	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// subscriber passes events to the policy, and reports whether the policy is waiting for an endpoint list.
type subscriber interface {
	notifier
	isSubscribing() bool
}

// policySync keeps the policy's view of the workers up to date.
type policySync struct {
	step      *step
	locations *locationIndex
	policy    subscriber
	workers   *workerTable

	updates []dispatch.Worker // not sent to the policy yet
}

// view returns the policy's view of a worker; ok reports whether the policy should have the worker at all.
func (p *policySync) view(w *worker) (view dispatch.Worker, ok bool) {
	view = w.Worker
	view.Ready = w.owned && w.isUp()
	view.Removed = false
	view.BootAt = w.startedAt()
	view.AssigneeRank = 0
	view.Assignees = 1
	if p.step.now() < w.noWorkUntil {
		view.AssigneeRank = 1 // another planner may still have attempts there
	}
	return view, w.references > 0 || w.listed && w.owned && w.status.State != message.WorkerGone
}

// sync updates the policy's view of a worker, and the location index.
func (p *policySync) sync(w *worker) {
	p.locations.update(w, &p.workers.partition)
	view, ok := p.view(w)
	switch {
	case ok && (!w.knownToPolicy || view != w.policyView):
		w.knownToPolicy = true
		w.policyView = view
		p.updates = append(p.updates, view)
	case !ok && w.knownToPolicy:
		w.knownToPolicy = false
		view.Ready = false
		view.Removed = true
		p.updates = append(p.updates, view)
	}
}

// flush notifies the policy of changed workers. While the policy is waiting for an endpoint list, it would mistake a delta for
// that list, so it receives the complete list as a cached one instead.
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

// takeUpdates returns the changed workers and clears them. The caller must notify the policy of them.
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

// workersOfPolicy returns the policy's view of all its workers, and records that the policy has them.
func (p *policySync) workersOfPolicy() (views []dispatch.Worker) {
	for _, worker := range p.workers.list {
		view, ok := p.view(worker)
		worker.knownToPolicy = ok
		if ok {
			worker.policyView = view
			views = append(views, view)
		}
	}
	return views
}

// addReferences changes the count of attempts at a worker that belong to requests in the table.
func (p *policySync) addReferences(w *worker, count int) {
	w.references += count
	if w.owned && w.listed && w.status.State != message.WorkerGone {
		return // the policy has the worker without references too
	}
	p.sync(w)
	p.workers.removeIfUnused(w)
}
