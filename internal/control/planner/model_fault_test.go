package planner

import (
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// injectFault injects a random fault into the planner, a forwarder, the workers or the peers, or none.
func (r *randomRun) injectFault() {
	f := r.forwarders[r.pick(len(r.forwarders))]
	switch r.pick(13) {
	case 0:
		r.step(3 * time.Second) // the planner is frozen
	case 1: // both ends notice the lost connection
		if f.connection != nil {
			r.closeConnection(f.connection, true)
		}
	case 4: // reconnects on a new connection or the same one
		f.connect(r.oneIn(2))
	case 5:
		f.restart()
	case 6, 7:
		r.changeWorker()
	case 8, 9:
		r.reportStatus(f)
	case 10:
		r.changePeer()
	case 11:
		r.reportLoads()
	case 12:
		r.events = append(r.events, EndpointsChanged{Endpoints: dispatch.WorkerList{Kind: dispatch.ListUnavailable}})
	}
}

// changeWorker makes a worker drain, disappear, return, or restart.
func (r *randomRun) changeWorker() {
	r.revision++
	worker := &r.workers[r.pick(len(r.workers))]
	switch r.pick(4) {
	case 0:
		worker.Ready = false
	case 1:
		worker.Removed, worker.Ready = true, false
	default:
		worker.Removed, worker.Ready = false, true
		if r.oneIn(2) {
			worker.BootAt = (r.now - r.randomDuration(time.Second)).Truncate(ms)
		}
	}
	if r.oneIn(4) {
		r.sendList(dispatch.ListFull)
	} else {
		r.sendList(dispatch.ListDelta, *worker)
	}
}

// sendList sends the planner the full endpoint list, or a delta of changed entries.
func (r *randomRun) sendList(kind dispatch.ListKind, changed ...dispatch.Worker) {
	list := dispatch.WorkerList{Kind: kind, Revision: r.revision, Workers: changed}
	if kind != dispatch.ListDelta {
		list.Workers = r.presentWorkers()
		for _, id := range slices.Sorted(maps.Keys(r.listed)) {
			if !slices.ContainsFunc(list.Workers, func(w dispatch.Worker) bool { return w.ID == id }) {
				r.recordRemoval(r.listed[id])
			}
		}
	}
	for _, worker := range list.Workers {
		if worker.Removed {
			r.recordRemoval(worker)
			continue
		}
		r.listed[worker.ID] = worker
		r.recordStatus(entryStatus(&worker, r.revision))
	}
	r.events = append(r.events, EndpointsChanged{Endpoints: list})
}

func (r *randomRun) presentWorkers() (present []dispatch.Worker) {
	for _, worker := range r.workers {
		if !worker.Removed {
			present = append(present, worker)
		}
	}
	return present
}

// recordRemoval records that a worker is no longer listed, unless a newer status says that it is up or draining.
func (r *randomRun) recordRemoval(worker dispatch.Worker) {
	known, isListed := r.listed[worker.ID]
	if !isListed {
		return
	}
	status := entryStatus(&worker, r.revision)
	status.StartedMs = max(status.StartedMs, known.BootAt.Milliseconds())
	status.State = message.WorkerGone
	if newest := r.statuses[worker.ID]; newest.Supersedes(status) && newest.State != message.WorkerGone {
		return
	}
	delete(r.listed, worker.ID)
	r.recordStatus(status)
}

// reportStatus makes a forwarder report a worker's status with the previous, the current or the next list revision.
func (r *randomRun) reportStatus(f *modelForwarder) {
	worker := r.workers[r.pick(len(r.workers))]
	status := message.WorkerStatus{
		WorkerID: worker.ID, StartedMs: worker.BootAt.Milliseconds(), Revision: r.revision + int64(r.pick(3)) - 1,
		State: message.WorkerState(r.pick(3)),
	}
	if r.oneIn(2) {
		f.send(&status)
	}
}

// changePeer makes another planner join or leave, and changes the partition accordingly.
func (r *randomRun) changePeer() {
	name := []string{"plan-b", "plan-c"}[r.pick(2)]
	wasPresent := r.peers[name]
	event := Event(PeerConnected{Peer: name})
	if wasPresent {
		event = PeerDisconnected{Peer: name}
		delete(r.peers, name)
	} else {
		r.peers[name] = true
	}
	names := slices.Sorted(maps.Keys(r.peers))
	r.owner = append([]string{ownName}, names...)
	r.events = append(r.events, event, PeersChanged{Names: names}, PartitionChanged{Owner: ownerByCell(r.owner...)})
	if !wasPresent {
		handshake := &message.PeerHandshake{Name: name, Version: ownVersion}
		r.events = append(r.events, PeerMessage{Peer: name, Envelope: message.Envelope{Epoch: 1, Message: handshake}})
	}
}

func (r *randomRun) reportLoads() {
	for _, name := range slices.Sorted(maps.Keys(r.peers)) {
		report := &message.LoadReport{
			OpenRequests: r.pick(20), QueuedRequests: r.pick(3), FreeSlots: float64(r.pick(20)),
		}
		r.events = append(r.events, PeerMessage{Peer: name, Envelope: message.Envelope{Epoch: 1, Message: report}})
	}
}
