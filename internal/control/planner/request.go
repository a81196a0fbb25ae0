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

func (r requestState) String() string {
	switch r {
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
func (r requestState) isOpen() bool { return r >= requestOffered && r <= requestInFlight }

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
func (r *requestTable) allocate() *request {
	req := &request{}
	if last := len(r.free) - 1; last >= 0 {
		req = r.free[last]
		r.free = r.free[:last]
	}
	r.lastID++
	*req = request{id: r.lastID, attempts: req.attempts[:0]}
	return req
}

// release keeps a removed request for reuse.
func (r *requestTable) release(req *request) {
	if len(r.free) < r.maxFree {
		r.free = append(r.free, req)
	}
}

// open returns the request of a number if it is open, else nil.
func (r *requestTable) open(id uint64) *request {
	if req := r.byID[id]; req != nil && req.state.isOpen() {
		return req
	}
	return nil
}

// transition moves a request to a state. It keeps the counts of open requests, the queue, and the expiries of closing
// requests, whose At is to be set before.
func (r *requestTable) transition(req *request, state requestState, now time.Duration) {
	from := req.state
	if from == state {
		return
	}
	req.state = state
	if from.isOpen() != state.isOpen() {
		r.countOpen(req, state.isOpen())
	}
	switch from {
	case requestQueued:
		r.queued.remove(req)
	case requestClosing:
		r.expiries.Remove(req)
	}
	switch state {
	case requestQueued:
		req.queuedSince = now
		r.queued.push(req)
	case requestClosing:
		r.expiries.Add(req)
	}
}

func (r *requestTable) countOpen(req *request, opened bool) {
	change := -1
	if opened {
		change = 1
	}
	r.openCount += change
	req.forwarder.openCount += change
}

// settle gives an open request the state that follows from its attempts.
func (r *requestTable) settle(req *request, now time.Duration) {
	switch {
	case !req.state.isOpen():
	case req.inFlight > 0:
		r.transition(req, requestInFlight, now)
	default:
		r.transition(req, requestQueued, now)
	}
}

// expireBy has a closing request expire at a time, unless it does so earlier.
func (r *requestTable) expireBy(req *request, at time.Duration) {
	if req.At <= at {
		return
	}
	r.expiries.Remove(req)
	req.At = at
	r.expiries.Add(req)
}

// close takes in that a request is not open any more. What is in flight of it still counts as load.
func (r *requestLifecycle) close(req *request) {
	switch {
	case !req.state.isOpen():
	case req.inFlight == 0:
		r.remove(req)
	default:
		req.At = max(req.deadline, r.step.now()) + reportGrace
		r.requests.transition(req, requestClosing, r.step.now())
	}
}

// remove forgets a request.
func (r *requestLifecycle) remove(req *request) {
	table := r.requests
	table.transition(req, requestRemoved, r.step.now())
	for i := range req.attempts {
		attempt := &req.attempts[i]
		if attempt.inFlight() {
			table.slotsInUse -= req.slots
		}
		r.policySync.addReferences(attempt.worker, -1)
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

// abandon ends a request and its attempts for the policy.
func (r *requestLifecycle) abandon(req *request) {
	if req.state.isOpen() {
		r.policy.notify(dispatch.ClientDisconnected{Job: req.id})
	}
	r.cancelAttempts(req)
	r.remove(req)
}
