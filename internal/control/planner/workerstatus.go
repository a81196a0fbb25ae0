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

// statusHandler keeps the newest status of each worker and passes it on.
type statusHandler struct {
	stats      *Stats
	step       *step
	forwarders *forwarderTable
	peers      *peerTable
	policySync *policySync
	workers    *workerTable
}

// receive takes in what a forwarder or a peer reports of a worker.
func (s *statusHandler) receive(status message.WorkerStatus, source statusSource) {
	if !s.isPlausible(&status) {
		s.stats.InvalidMessages++
		return
	}
	if s.workers.byID[status.WorkerID] == nil && status.State == message.WorkerUp {
		return // the endpoint list will tell what it is
	}
	worker := s.workers.ensure(status.WorkerID)
	s.update(worker, status, source)
	if worker.listed {
		s.policySync.sync(worker)
	}
	s.workers.removeWorker(worker)
}

func (s *statusHandler) isPlausible(status *message.WorkerStatus) bool {
	latestStart := (s.step.now() + maxClockSkew) / time.Millisecond
	return status.State <= message.WorkerGone && status.StartedMs >= 0 && time.Duration(status.StartedMs) <= latestStart
}

// update keeps a status that is newer than the one before. It is passed on where that matters: if the worker drains,
// is gone, is back, or has started again. What a peer reports goes to forwarders only: it tells the other peers itself.
func (s *statusHandler) update(w *worker, status message.WorkerStatus, source statusSource) {
	previous, isKnown := w.status, w.hasStatus
	if isKnown && !status.Supersedes(previous) {
		return
	}
	w.status, w.hasStatus = status, true
	if !w.listed {
		s.workers.addTombstone(w, s.step.now())
	}
	restarted := isKnown && status.StartedMs > previous.StartedMs
	if !s.workers.synced || status.State == previous.State && !restarted || !isKnown && status.State == message.WorkerUp {
		return
	}
	s.stats.StatusUpdates++
	for _, f := range s.forwarders.connected {
		if f != source.forwarder {
			s.step.send(f, &status)
		}
	}
	if source.peer == nil {
		s.step.sendToPeers(s.peers.list, &status)
	}
}

// sendUnavailable tells a forwarder that has just connected which workers are not available.
func (s *statusHandler) sendUnavailable(f *forwarder) {
	for _, worker := range s.workers.list {
		if worker.isUnavailable() {
			status := worker.status
			s.step.send(f, &status)
		}
	}
}
