package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/deadline"
)

// requestTable holds the open and the closing requests.
type requestTable struct {
	byID       map[uint64]*request
	lastID     uint64
	openCount  int
	slotsInUse float64     // by attempts in flight
	queued     requestList // longest queued first
	expiries   deadline.Queue[*request]
	free       []*request // removed requests for reuse
	maxFree    int
}

// endAttempt ends an attempt in flight.
func (r *requestTable) endAttempt(req *request, a *attempt, result dispatch.Result) {
	a.advanceTo(attemptEnded)
	a.result = result
	req.inFlight--
	r.slotsInUse -= req.slots
}

// byAge returns all requests, oldest first.
func (r *requestTable) byAge() []*request {
	return slices.SortedFunc(maps.Values(r.byID), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}

// allocate returns a new request with an ID. It reuses the memory of removed requests.
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

// addAttempt adds an attempt to a request.
func (r *requestTable) addAttempt(req *request, added attempt) {
	if added.inFlight() {
		req.inFlight++
		r.slotsInUse += req.slots
	}
	req.attempts = append(req.attempts, added)
}

// remove removes a request, which must be in the state requestRemoved.
func (r *requestTable) remove(req *request) {
	for range req.inFlight {
		r.slotsInUse -= req.slots
	}
	delete(r.byID, req.id)
	if len(r.byID) == 0 {
		r.slotsInUse = 0 // discards accumulated rounding errors
	}
	r.release(req)
}

// release keeps a removed request for reuse.
func (r *requestTable) release(req *request) {
	if len(r.free) < r.maxFree {
		r.free = append(r.free, req)
	}
}

// open returns the request with an ID if it is open, otherwise nil.
func (r *requestTable) open(id uint64) *request {
	if req := r.byID[id]; req != nil && req.state.isOpen() {
		return req
	}
	return nil
}

// transition moves a request to a state, and updates the counts of open requests, the queue, and the expiries of closing
// requests. The caller must set At before a transition to requestClosing.
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

// countOpen updates the counts after a request became open or ceased to be open.
func (r *requestTable) countOpen(req *request, opened bool) {
	change := -1
	if opened {
		change = 1
	}
	r.openCount += change
	req.forwarder.openCount += change
}

// updateOpenState moves an open request to requestInFlight or requestQueued, depending on its attempts.
func (r *requestTable) updateOpenState(req *request, now time.Duration) {
	switch {
	case !req.state.isOpen():
	case req.inFlight > 0:
		r.transition(req, requestInFlight, now)
	default:
		r.transition(req, requestQueued, now)
	}
}

// expireBy brings the expiry of a closing request forward to a time, unless it expires earlier.
func (r *requestTable) expireBy(req *request, at time.Duration) {
	if req.At <= at {
		return
	}
	r.expiries.Remove(req)
	req.At = at
	r.expiries.Add(req)
}

func newRequestTable(maxFree int) requestTable {
	return requestTable{byID: map[uint64]*request{}, queued: requestList{id: queuedList}, maxFree: maxFree}
}
