package planner

import (
	"math"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// workerTable is all worker nodes, with the newest word on each. The module knows those of this planner's part, and as not
// ready those others where attempts of open queries are, or may have run: until nothing of them is held here any more.
type workerTable struct {
	workers       map[uint64]*worker
	workerList    []*worker // map order decides nothing
	ownerOfWorker func(w *dispatch.Worker) string
	partitioned   bool // a part was told
	revision      int64
	listSequence  uint64
	synced        bool // discovery has spoken
	subscribing   bool // the module has asked for the list and was not answered
	workerUpdates []dispatch.Worker
	takeovers     []takeover  // in order of time
	tombstones    []tombstone // in order of time
	locations     []*location
	locationByKey map[locationKey]*location
	placements    []placement // by class: may it be placed here
}

// worker is a worker node, or one of which there is but a word.
type worker struct {
	dispatch.Worker // as the list has it
	listed          bool
	listSequence    uint64               // of the last whole list that it was in
	status          message.WorkerStatus // the newest, by whomever
	hasStatus       bool
	owned           bool
	warmUntil       time.Duration // until then it gets no work as long as it is cold
	references      int           // attempts of heads that are held
	reported        bool          // the module has it
	reportedAs      dispatch.Worker
	index           int // in the order
	location        *location
}

type takeover struct {
	at     time.Duration
	worker *worker
}

// tombstone is a worker node that was gone at an instant, and may be forgotten later.
type tombstone struct {
	at     time.Duration
	worker *worker
}

// seat is where a class may be placed, and the nodes that are up there.
type locationKey struct {
	owner      string
	zone, kind int
}

type location struct {
	locationKey
	available int
}

// placement is whether a class may be placed in this part, found out when it is asked for.
type placement uint8

const (
	placementUnknown placement = iota
	placementLocal
	placementRemote
)

func (b *Planner) workerByID(id uint64) *worker {
	h := b.workers[id]
	if h == nil {
		h = &worker{index: len(b.workerList)}
		h.ID, h.Kind, h.Cell, h.Zone = id, -1, math.MinInt, math.MinInt // it is in none that another is in
		b.workers[id] = h
		b.workerList = append(b.workerList, h)
	}
	return h
}

// removeWorker forgets a worker node that is not listed, of which nothing is held, and whose last word is old.
func (b *Planner) removeWorker(h *worker) {
	if h.listed || h.references > 0 || h.hasStatus || b.workers[h.ID] != h {
		return
	}
	delete(b.workers, h.ID)
	last := b.workerList[len(b.workerList)-1]
	b.workerList[h.index], last.index = last, h.index
	b.workerList[len(b.workerList)-1] = nil
	b.workerList = b.workerList[:len(b.workerList)-1]
}

// addReferences counts attempts at a worker node that are held here.
func (b *Planner) addReferences(h *worker, n int) {
	if h.references += n; !h.owned || !h.listed || h.status.State == message.WorkerGone { // else the module has it in any case
		b.syncWorker(h)
		b.removeWorker(h)
	}
}

// ---- What discovery tells ----

func (b *Planner) endpointsChanged(l dispatch.WorkerList) {
	if l.Kind == dispatch.ListUnavailable {
		b.subscribing = false
		b.notifyPolicy(l)
		return
	}
	b.flushWorkerUpdates() // what came before is told before
	b.revision = l.Revision
	b.subscribing = b.subscribing && l.Kind == dispatch.ListCached
	if whole := l.Kind != dispatch.ListDelta; whole {
		b.listSequence++
	}
	for i := range l.Workers {
		b.updateWorker(&l.Workers[i], l.Revision)
	}
	if l.Kind == dispatch.ListDelta {
		b.synced = true
		l.Workers, b.workerUpdates = b.workerUpdates, nil
		b.notifyPolicy(l)
		return
	}
	for i := len(b.workerList) - 1; i >= 0; i-- { // backwards, as the last takes the place of one that leaves
		if h := b.workerList[i]; h.listed && h.listSequence != b.listSequence {
			b.workerRemoved(h, l.Revision)
		}
	}
	b.synced = true
	b.workerUpdates = nil // it is in the whole list
	l.Workers = b.policyWorkers()
	b.notifyPolicy(l)
}

// updateWorker takes in an entry. One older than what is known changes nothing but what words do not tell.
func (b *Planner) updateWorker(x *dispatch.Worker, generation int64) {
	h := b.workers[x.ID]
	if x.Removed {
		if h != nil && h.listed {
			h.BootAt = max(h.BootAt, x.BootAt)
			b.workerRemoved(h, generation)
		}
		return
	}
	h = b.workerByID(x.ID)
	fresh := !h.listed
	h.Worker, h.listed, h.listSequence = *x, true, b.listSequence
	if fresh || b.ownerOfWorker != nil {
		b.updateOwner(h, fresh)
	}
	b.updateStatus(h, workerStatusOf(x, generation), nil, nil)
	b.syncWorker(h)
}

// workerRemoved takes in that a list has a worker node no more.
func (b *Planner) workerRemoved(h *worker, generation int64) {
	w := message.WorkerStatus{WorkerID: h.ID, StartedMs: max(h.BootAt.Milliseconds(), 0), Revision: generation, State: message.WorkerGone}
	if h.hasStatus && h.status.Supersedes(w) && h.status.State != message.WorkerGone {
		return // by a newer word it is there
	}
	h.listed = false
	b.addTombstone(h)
	b.updateStatus(h, w, nil, nil)
	b.syncWorker(h)
}

func workerStatusOf(x *dispatch.Worker, generation int64) message.WorkerStatus {
	w := message.WorkerStatus{WorkerID: x.ID, StartedMs: max(x.BootAt.Milliseconds(), 0), Revision: generation}
	if !x.Ready {
		w.State = message.WorkerDraining
	}
	return w
}

func (b *Planner) endpointSourceChanged() {
	for _, h := range b.workerList {
		h.status.Revision = 0
	}
	b.revision = 0
}

// ---- Words ----

// statusReceived takes in what a forwarder or a peer says of a worker node.
func (b *Planner) statusReceived(w message.WorkerStatus, by *forwarder, from *peer) {
	if w.State > message.WorkerGone || w.StartedMs < 0 || time.Duration(w.StartedMs) > (b.now+maxClockSkew)/time.Millisecond {
		b.statistics.InvalidMessages++
		return
	}
	h := b.workers[w.WorkerID]
	if h == nil {
		if w.State == message.WorkerUp { // the list will say what it is
			return
		}
		h = b.workerByID(w.WorkerID)
	}
	if b.updateStatus(h, w, by, from); h.listed {
		b.syncWorker(h)
	}
	b.removeWorker(h)
}

// updateStatus keeps a word that is newer than the last one, and tells it on if that matters: that a worker node drains, is
// gone, is back, or has started again. What a peer says goes to forwarders alone: it tells the other peers itself.
func (b *Planner) updateStatus(h *worker, w message.WorkerStatus, by *forwarder, from *peer) {
	was, worded := h.status, h.hasStatus
	if worded && !w.Supersedes(was) {
		return
	}
	if h.status, h.hasStatus = w, true; !h.listed {
		b.addTombstone(h)
	}
	again := worded && w.StartedMs > was.StartedMs
	if !b.synced || w.State == was.State && !again || !worded && w.State == message.WorkerUp {
		return
	}
	b.statistics.StatusUpdates++
	for _, f := range b.connected {
		if f != by {
			b.sendTo(f, &w)
		}
	}
	if from == nil {
		for _, p := range b.peerTable.peers {
			b.sendToPeer(p, &w)
		}
	}
}

// addTombstone has a worker node that is not listed forgotten by and by.
func (b *Planner) addTombstone(h *worker) {
	if b.tombstones = append(b.tombstones, tombstone{b.now, h}); len(b.tombstones) > maxTombstones {
		b.expireTombstone()
	}
}

// expireTombstone forgets the word on the worker node that has been gone for longest.
func (b *Planner) expireTombstone() {
	h := b.tombstones[0].worker
	b.tombstones[0] = tombstone{}
	b.tombstones = b.tombstones[1:]
	if !h.listed && b.workers[h.ID] == h {
		h.hasStatus, h.status = false, message.WorkerStatus{}
		b.removeWorker(h)
	}
}

// sendUnavailable has a forwarder that has just come hear of what it had better not send to.
func (b *Planner) sendUnavailable(f *forwarder) {
	for _, h := range b.workerList {
		if h.hasStatus && h.status.State != message.WorkerUp {
			w := h.status
			b.sendTo(f, &w)
		}
	}
}

// ---- Whose is what ----

// partitionChanged takes in how the fleet is parted.
func (b *Planner) partitionChanged(owner func(w *dispatch.Worker) string) {
	b.ownerOfWorker = owner
	for _, h := range b.workerList {
		if h.listed {
			b.updateOwner(h, !b.partitioned)
			b.syncWorker(h)
		}
	}
	b.partitioned = true
	for i := range b.placements {
		b.placements[i] = placementUnknown
	}
}

func (b *Planner) ownerName(h *worker) string {
	if b.ownerOfWorker == nil {
		return b.config.Name
	}
	return b.ownerOfWorker(&h.Worker)
}

// updateOwner finds out whose a worker node is. One that comes from another planner's part gets no work for one span of
// overload as long as it is cold: what that one sent lately is not known. fresh: it comes from nobody's.
func (b *Planner) updateOwner(h *worker, fresh bool) {
	mine := b.ownerName(h) == b.config.Name
	span := b.config.Settings.OverloadWindow
	if mine && !h.owned && !fresh && span > 0 && b.now-h.startedAt() < b.config.Settings.WarmUp {
		h.warmUntil = b.now + span
		b.takeovers = append(b.takeovers, takeover{h.warmUntil, h})
	}
	h.owned = mine
}

func (h *worker) startedAt() time.Duration {
	return max(h.BootAt, time.Duration(h.status.StartedMs)*time.Millisecond)
}

// expireTakeovers lets worker nodes have work whose time has passed.
func (b *Planner) expireTakeovers() {
	for len(b.takeovers) > 0 && b.takeovers[0].at <= b.now {
		h := b.takeovers[0].worker
		b.takeovers[0] = takeover{}
		b.takeovers = b.takeovers[1:]
		if b.workers[h.ID] == h {
			b.syncWorker(h)
		}
	}
	for len(b.tombstones) > 0 && b.now-b.tombstones[0].at >= tombstoneRetention {
		b.expireTombstone()
	}
}

// ---- What the module is told ----

// policyView is a worker node as the module is to have it; not ok: it is to have none.
func (b *Planner) policyView(h *worker) (w dispatch.Worker, ok bool) {
	w = h.Worker
	w.Ready = h.listed && h.owned && h.status.State == message.WorkerUp
	w.Removed = false
	w.BootAt = h.startedAt()
	w.AssigneeRank, w.Assignees = 0, 1
	if b.now < h.warmUntil {
		w.AssigneeRank = 1
	}
	return w, h.references > 0 || h.listed && h.owned && h.status.State != message.WorkerGone
}

// syncWorker brings the module's word of a worker node up to date, and the count of those that are up where it is.
func (b *Planner) syncWorker(h *worker) {
	b.updateLocation(h)
	w, ok := b.policyView(h)
	switch {
	case ok && (!h.reported || w != h.reportedAs):
		h.reported, h.reportedAs = true, w
		b.workerUpdates = append(b.workerUpdates, w)
	case !ok && h.reported:
		h.reported = false
		w.Ready, w.Removed = false, true
		b.workerUpdates = append(b.workerUpdates, w)
	}
}

// updateLocation counts a worker node where it is up.
func (b *Planner) updateLocation(h *worker) {
	var to *location
	if h.listed && h.status.State == message.WorkerUp {
		key := locationKey{b.config.Name, h.Zone, h.Kind}
		if !h.owned {
			key.owner = b.ownerName(h)
		}
		if h.location != nil && h.location.locationKey == key {
			return
		}
		if to = b.locationByKey[key]; to == nil {
			to = &location{locationKey: key}
			b.locationByKey[key] = to
			b.locations = append(b.locations, to)
		}
	}
	for _, s := range []*location{h.location, to} {
		if s == nil {
			continue
		}
		if s.available++; s == h.location {
			s.available -= 2
		}
		if s.available <= 1 {
			for i := range b.placements {
				b.placements[i] = placementUnknown
			}
		}
	}
	h.location = to
}

// flushWorkerUpdates tells the module what has changed. While it waits for the list that it has asked for, changes would look
// like an answer, so it has the whole list as it was known.
func (b *Planner) flushWorkerUpdates() {
	if len(b.workerUpdates) == 0 {
		return
	}
	l := dispatch.WorkerList{Kind: dispatch.ListDelta, Workers: b.workerUpdates, Revision: b.revision}
	if b.workerUpdates = nil; b.subscribing {
		l.Kind, l.Workers = dispatch.ListCached, b.policyWorkers()
	}
	b.notifyPolicy(l)
}

// policyWorkers is the list that the module has.
func (b *Planner) policyWorkers() (list []dispatch.Worker) {
	for _, h := range b.workerList {
		if w, ok := b.policyView(h); ok {
			h.reported, h.reportedAs = true, w
			list = append(list, w)
		} else {
			h.reported = false
		}
	}
	return list
}

// ---- Where a query may go ----

func classAllows(names []int, name int) bool {
	if names == nil {
		return true
	}
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// canPlaceHere tells whether a class may go to any worker node of this part that is up.
func (b *Planner) canPlaceHere(class int) bool {
	v := &b.placements[class]
	if *v == placementUnknown {
		if *v = placementRemote; b.anyLocalLocation(class, func(*location) bool { return true }) {
			*v = placementLocal
		}
	}
	return *v == placementLocal
}

func (b *Planner) anyLocalLocation(class int, which func(s *location) bool) bool {
	for _, s := range b.locations {
		if s.owner == b.config.Name && s.available > 0 && b.classFits(class, s) && which(s) {
			return true
		}
	}
	return false
}

func (b *Planner) classFits(class int, s *location) bool {
	c := &b.config.Settings.Classes[class]
	return classAllows(c.Kinds, s.kind) && classAllows(c.Zones, s.zone)
}

// bestPeerFor is the peer with the most worker nodes for a class that are up; empty: there is none.
func (b *Planner) bestPeerFor(class int, which func(s *location) bool) string {
	best, most := "", 0
	for _, p := range b.peerTable.peers {
		if !p.alive {
			continue
		}
		n := 0
		for _, s := range b.locations {
			if s.owner == p.name && b.classFits(class, s) && which(s) {
				n += s.available
			}
		}
		if n > most {
			best, most = p.name, n
		}
	}
	return best
}

// preferredPeer is the planner that a query had better be with, as no worker node of this part may have it; empty: there is
// none, or it can be placed here. Keyed queries that may have run stay with what knows of them.
func (b *Planner) preferredPeer(h *request) (to string) {
	if !b.hasAlivePeer || h.inFlight > 0 || h.transfers >= maxTransfers {
		return ""
	}
	c := &b.config.Settings.Classes[h.job.Class]
	if c.Idempotency != dispatch.Idempotent {
		for i := range h.attempts {
			a := &h.attempts[i]
			if provesNotExecuted(a.result) || c.Idempotency == dispatch.IdempotentWithKey && c.DeduplicationScope == dispatch.ScopeAll {
				continue
			}
			if c.Idempotency == dispatch.NonIdempotent || !a.worker.listed {
				return "" // nobody may send it, or nobody here knows who may
			}
			if c.DeduplicationScope == dispatch.ScopeCell {
				return b.peerIfAlive(b.ownerName(a.worker))
			}
			zone := a.worker.Zone
			in := func(s *location) bool { return s.zone == zone }
			if b.anyLocalLocation(h.job.Class, in) {
				return ""
			}
			return b.bestPeerFor(h.job.Class, in)
		}
	}
	if b.canPlaceHere(h.job.Class) {
		return ""
	}
	return b.bestPeerFor(h.job.Class, func(*location) bool { return true })
}

func (b *Planner) peerIfAlive(name string) string {
	if p := b.findPeer(name); p != nil && p.alive {
		return name
	}
	return ""
}
