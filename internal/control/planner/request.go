package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/deadline"
)

// requestState is how far a request has come at this planner. It changes by requestTable.transition only.
type requestState uint8

const (
	requestNew      requestState = iota // not in the table yet
	requestOffered                      // open; not decided yet whether it stays here
	requestQueued                       // open, without an attempt in flight
	requestInFlight                     // open, with attempts in flight
	requestClosing                      // closed, with attempts in flight
	requestRemoved                      // not in the table any more
)

func (s requestState) String() string {
	switch s {
	case requestNew:
		return "new"
	case requestOffered:
		return "offered"
	case requestQueued:
		return "queued"
	case requestInFlight:
		return "in flight"
	case requestClosing:
		return "closing"
	case requestRemoved:
		return "removed"
	}
	return "unknown"
}

// isOpen reports whether the forwarder awaits a decision on the request.
func (s requestState) isOpen() bool { return s >= requestOffered && s <= requestInFlight }

// request is a request that a forwarder has offered.
type request struct {
	deadline.Item // when the attempts of a closing request are taken to have ended
	state         requestState
	id            uint64        // the job number by which the policy knows it
	forwarderID   uint64        // the forwarder's number
	forwarder     *forwarder    // nil: that process has ended
	epoch         message.Epoch // of the session in which it was offered
	links         [listCount]listLinks
	knownToPolicy bool // to this one, or one before it
	job           dispatch.Job
	arrivedAt     time.Duration // at the forwarder
	deadline      time.Duration
	queuedSince   time.Duration // of one that is queued
	slots         float64       // that an attempt takes
	transfers     int           // between planners so far
	failureCount  int           // steps with a panic of the policy that were about it
	attempts      []attempt     // by number
	inFlight      int           // attempts
}

// requestTable is the requests that are open, or closing.
type requestTable struct {
	byID       map[uint64]*request
	lastID     uint64
	openCount  int
	slotsInUse float64     // of attempts in flight
	queued     requestList // the one that has been queued longest first
	expiries   deadline.Queue[*request]
	free       []*request // for reuse
	maxFree    int
}

func newRequestTable(maxFree int) requestTable {
	return requestTable{byID: map[uint64]*request{}, queued: requestList{id: queuedList}, maxFree: maxFree}
}

// allocate returns a request that is new but for its number. Its attempts' array may be that of an earlier request.
func (t *requestTable) allocate() *request {
	req := &request{}
	if last := len(t.free) - 1; last >= 0 {
		req = t.free[last]
		t.free = t.free[:last]
	}
	t.lastID++
	*req = request{id: t.lastID, attempts: req.attempts[:0]}
	return req
}

// release keeps a removed request for reuse.
func (t *requestTable) release(req *request) {
	if len(t.free) < t.maxFree {
		t.free = append(t.free, req)
	}
}

// open returns the request of a number if it is open, else nil.
func (t *requestTable) open(id uint64) *request {
	if req := t.byID[id]; req != nil && req.state.isOpen() {
		return req
	}
	return nil
}

// transition moves a request to a state. It keeps the counts of open requests, the queue, and the expiries of closing
// requests, whose At is to be set before.
func (t *requestTable) transition(req *request, state requestState, now time.Duration) {
	from := req.state
	if from == state {
		return
	}
	req.state = state
	if from.isOpen() != state.isOpen() {
		t.countOpen(req, state.isOpen())
	}
	switch from {
	case requestQueued:
		t.queued.remove(req)
	case requestClosing:
		t.expiries.Remove(req)
	}
	switch state {
	case requestQueued:
		req.queuedSince = now
		t.queued.push(req)
	case requestClosing:
		t.expiries.Add(req)
	}
}

func (t *requestTable) countOpen(req *request, opened bool) {
	change := -1
	if opened {
		change = 1
	}
	t.openCount += change
	req.forwarder.openCount += change
}

// settle gives an open request the state that follows from its attempts.
func (t *requestTable) settle(req *request, now time.Duration) {
	switch {
	case !req.state.isOpen():
	case req.inFlight > 0:
		t.transition(req, requestInFlight, now)
	default:
		t.transition(req, requestQueued, now)
	}
}

// expireBy has a closing request expire at a time, unless it does so earlier.
func (t *requestTable) expireBy(req *request, at time.Duration) {
	if req.At <= at {
		return
	}
	t.expiries.Remove(req)
	req.At = at
	t.expiries.Add(req)
}

// closeRequest takes in that a request is not open any more. What is in flight of it still counts as load.
func (p *Planner) closeRequest(req *request) {
	switch {
	case !req.state.isOpen():
	case req.inFlight == 0:
		p.removeRequest(req)
	default:
		req.At = max(req.deadline, p.now) + reportGrace
		p.requests.transition(req, requestClosing, p.now)
	}
}

// removeRequest forgets a request.
func (p *Planner) removeRequest(req *request) {
	table := &p.requests
	table.transition(req, requestRemoved, p.now)
	for i := range req.attempts {
		attempt := &req.attempts[i]
		if attempt.inFlight() {
			table.slotsInUse -= req.slots
		}
		p.addReferences(attempt.worker, -1)
		attempt.worker = nil
	}
	if f := req.forwarder; f != nil {
		f.offered.remove(req)
		if f.requests[req.forwarderID] == req {
			delete(f.requests, req.forwarderID)
		}
		req.forwarder = nil
	}
	delete(table.byID, req.id)
	if len(table.byID) == 0 {
		table.slotsInUse = 0 // without the rounding errors of its sums
	}
	table.release(req)
}

// abandonRequest ends a request and its attempts for the policy.
func (p *Planner) abandonRequest(req *request) {
	if req.state.isOpen() {
		p.notifyPolicy(dispatch.ClientDisconnected{Job: req.id})
	}
	p.cancelAttempts(req)
	p.removeRequest(req)
}
