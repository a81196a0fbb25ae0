package planner

import (
	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// policyView returns a worker as the policy is to have it; ok: it is to have it at all.
func (p *Planner) policyView(w *worker) (view dispatch.Worker, ok bool) {
	view = w.Worker
	view.Ready = w.owned && w.isUp()
	view.Removed = false
	view.BootAt = w.startedAt()
	view.AssigneeRank = 0
	view.Assignees = 1
	if p.now < w.warmUntil {
		view.AssigneeRank = 1 // another planner may still have work there
	}
	return view, w.references > 0 || w.listed && w.owned && w.status.State != message.WorkerGone
}

// syncWorker brings what the policy has of a worker up to date, and the count of the workers that are up at its location.
func (p *Planner) syncWorker(w *worker) {
	p.updateLocation(w)
	view, ok := p.policyView(w)
	switch {
	case ok && (!w.announced || view != w.announcedAs):
		w.announced, w.announcedAs = true, view
		p.workers.updates = append(p.workers.updates, view)
	case !ok && w.announced:
		w.announced = false
		view.Ready, view.Removed = false, true
		p.workers.updates = append(p.workers.updates, view)
	}
}

// flushWorkerUpdates tells the policy of the workers that have changed. While it awaits the list that it has asked for,
// changes would look like the answer: it gets the whole list as it was known then.
func (p *Planner) flushWorkerUpdates() {
	if len(p.workers.updates) == 0 {
		return
	}
	list := dispatch.WorkerList{Kind: dispatch.ListDelta, Workers: p.workers.updates, Revision: p.workers.revision}
	p.workers.updates = nil
	if p.policy.subscribing {
		list.Kind = dispatch.ListCached
		list.Workers = p.policyWorkers()
	}
	p.notifyPolicy(list)
}

// policyWorkers returns all workers that the policy is to have.
func (p *Planner) policyWorkers() (views []dispatch.Worker) {
	for _, worker := range p.workers.list {
		view, ok := p.policyView(worker)
		worker.announced = ok
		if ok {
			worker.announcedAs = view
			views = append(views, view)
		}
	}
	return views
}
