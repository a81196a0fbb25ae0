package planner

import (
	"time"

	"valvecove/internal/control/message"
)

// maxClockSkew is by how much a worker's start may lie ahead of this planner's clock.
const maxClockSkew = time.Minute

// statusSource is who has reported a worker's status. The zero value is the endpoint list.
type statusSource struct {
	forwarder *forwarder
	peer      *peer
}

// statusReceived takes in what a forwarder or a peer reports of a worker.
func (p *Planner) statusReceived(status message.WorkerStatus, source statusSource) {
	if !p.isPlausible(&status) {
		p.stats.InvalidMessages++
		return
	}
	if p.workers.byID[status.WorkerID] == nil && status.State == message.WorkerUp {
		return // the endpoint list will tell what it is
	}
	worker := p.ensureWorker(status.WorkerID)
	p.updateStatus(worker, status, source)
	if worker.listed {
		p.syncWorker(worker)
	}
	p.workers.removeWorker(worker)
}

func (p *Planner) isPlausible(status *message.WorkerStatus) bool {
	latestStart := (p.now + maxClockSkew) / time.Millisecond
	return status.State <= message.WorkerGone && status.StartedMs >= 0 && time.Duration(status.StartedMs) <= latestStart
}

// updateStatus keeps a status that is newer than the one before. It is passed on where that matters: if the worker drains,
// is gone, is back, or has started again. What a peer reports goes to forwarders only: it tells the other peers itself.
func (p *Planner) updateStatus(w *worker, status message.WorkerStatus, source statusSource) {
	previous, isKnown := w.status, w.hasStatus
	if isKnown && !status.Supersedes(previous) {
		return
	}
	w.status, w.hasStatus = status, true
	if !w.listed {
		p.workers.addTombstone(w, p.now)
	}
	restarted := isKnown && status.StartedMs > previous.StartedMs
	if !p.workers.synced || status.State == previous.State && !restarted || !isKnown && status.State == message.WorkerUp {
		return
	}
	p.stats.StatusUpdates++
	for _, f := range p.forwarders.connected {
		if f != source.forwarder {
			p.send(f, &status)
		}
	}
	if source.peer == nil {
		p.sendToPeers(&status)
	}
}

// sendUnavailable tells a forwarder that has just connected which workers are not available.
func (p *Planner) sendUnavailable(f *forwarder) {
	for _, worker := range p.workers.list {
		if worker.isUnavailable() {
			status := worker.status
			p.send(f, &status)
		}
	}
}
