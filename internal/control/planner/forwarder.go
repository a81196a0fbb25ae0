package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valvecove/internal/control/message"
)

// forwarder is a forwarder, identified by its name. Its process may be replaced by another one.
type forwarder struct {
	name           string
	incarnation    uint64
	epoch          message.Epoch // of its newest session
	session        *session      // nil: it has ended
	disconnectedAt time.Duration
	requests       map[uint64]*request // by the forwarder's number
	offered        requestList         // the same in the order of their offers
	openCount      int                 // of these, the open ones
	credit         credit
	snapshotDue    time.Duration
}

// detachRequests removes the requests of a forwarder whose process has ended: their numbers are invalid, and nobody reports
// the ends of their attempts.
func (f *forwarder) detachRequests() {
	for req := range f.offered.all() {
		f.offered.remove(req)
		req.forwarder = nil
	}
	clear(f.requests)
}

// removeRequest removes a request of the forwarder.
func (f *forwarder) removeRequest(req *request) {
	f.offered.remove(req)
	if f.requests[req.forwarderID] == req {
		delete(f.requests, req.forwarderID)
	}
	req.forwarder = nil
}

// inFlight returns how many attempts of the forwarder are in flight.
func (f *forwarder) inFlight() (count int) {
	for req := range f.offered.all() {
		count += req.inFlight
	}
	return count
}

// attemptInFlight returns a request of the forwarder and one of its attempts; nil: there is none by this number, or it is
// not in flight.
func (f *forwarder) attemptInFlight(requestID uint64, number int) (*request, *attempt) {
	req := f.requests[requestID]
	if req == nil || number < 0 || number >= len(req.attempts) || !req.attempts[number].inFlight() {
		return req, nil
	}
	return req, &req.attempts[number]
}

// forwarderTable has the forwarders and their sessions.
type forwarderTable struct {
	sessions     map[SessionID]*session
	byName       map[string]*forwarder
	connected    []*forwarder // that have a session, by name
	disconnected []*forwarder // by the time at which their session ended; some may have a session again
}

// sessionIDs returns the sessions in order, so that no decision depends on the order of a map.
func (f *forwarderTable) sessionIDs() []SessionID { return slices.Sorted(maps.Keys(f.sessions)) }

func (f *forwarderTable) connect(entry *forwarder) {
	at, _ := slices.BinarySearchFunc(f.connected, entry.name, compareForwarder)
	f.connected = slices.Insert(f.connected, at, entry)
}

func (f *forwarderTable) disconnect(entry *forwarder) {
	if at, ok := slices.BinarySearchFunc(f.connected, entry.name, compareForwarder); ok {
		f.connected = slices.Delete(f.connected, at, at+1)
	}
	f.disconnected = append(f.disconnected, entry)
}

func compareForwarder(f *forwarder, name string) int { return cmp.Compare(f.name, name) }
