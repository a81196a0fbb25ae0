package planner

import (
	"time"

	"valvecove/internal/control/message"
)

// maxClockSkew is the maximum by which a worker's start time may be ahead of this planner's clock.
const maxClockSkew = time.Minute

// statusSource is the source of a worker's status. The zero value is the endpoint list.
type statusSource struct {
	forwarder *forwarder
	peer      *peer
}

// statusHandler keeps the newest status of each worker, and forwards changes to forwarders and peers.
type statusHandler struct {
	stats      *Stats
	step       *step
	forwarders *forwarderTable
	peers      *peerTable
	policySync *policySync
	workers    *workerTable
}

// receive processes a worker status reported by a forwarder or a peer.
func (s *statusHandler) receive(status message.WorkerStatus, source statusSource) {
	if !s.isPlausible(&status) {
		s.stats.InvalidMessages++
		return
	}
	if s.workers.byID[status.WorkerID] == nil && status.State == message.WorkerUp {
		return // the endpoint list will add the worker
	}
	worker := s.workers.findOrAdd(status.WorkerID)
	s.update(worker, status, source)
	if worker.listed {
		s.policySync.sync(worker)
	}
	s.workers.removeIfUnused(worker)
}

// isPlausible reports whether a status has a valid state, and a start time no later than now plus maxClockSkew.
func (s *statusHandler) isPlausible(status *message.WorkerStatus) bool {
	latestStart := (s.step.now() + maxClockSkew) / time.Millisecond
	return status.State <= message.WorkerGone && status.StartedMs >= 0 && time.Duration(status.StartedMs) <= latestStart
}

// update stores a status that supersedes the current one. It forwards the status if the worker's state has changed or the
// worker has restarted. A status from a peer is forwarded only to forwarders, because the peer sends it to the other planners
// itself.
func (s *statusHandler) update(w *worker, status message.WorkerStatus, source statusSource) {
	previous := w.status
	isKnown := w.hasStatus
	if isKnown && !status.Supersedes(previous) {
		return
	}
	w.status = status
	w.hasStatus = true
	if !w.listed {
		s.workers.addTombstone(w, s.step.now())
	}
	restarted := isKnown && status.StartedMs > previous.StartedMs
	isUnchanged := status.State == previous.State && !restarted
	isNewAndUp := !isKnown && status.State == message.WorkerUp
	if !s.workers.synced || isUnchanged || isNewAndUp {
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

// sendUnavailable sends the statuses of all unavailable workers to a newly connected forwarder.
func (s *statusHandler) sendUnavailable(f *forwarder) {
	for _, worker := range s.workers.list {
		if worker.isUnavailable() {
			status := worker.status
			s.step.send(f, &status)
		}
	}
}
