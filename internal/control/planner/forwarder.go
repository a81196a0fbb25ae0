package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valvecove/internal/control/message"
)

// forwarder holds a forwarder's session, requests and credit. It is identified by its name and outlives process restarts.
type forwarder struct {
	name           string
	incarnation    uint64
	epoch          message.Epoch // of the newest session
	session        *session      // nil while disconnected
	disconnectedAt time.Duration
	requests       map[uint64]*request // by the forwarder's request ID
	offered        requestList         // the same requests in the order of their offers
	openCount      int                 // open requests among these
	credit         credit
	snapshotDue    time.Duration
}

// detachRequests separates all requests from a forwarder whose process has ended: their IDs are no longer valid, and no
// process reports the ends of their attempts.
func (f *forwarder) detachRequests() {
	for req := range f.offered.all() {
		f.offered.remove(req)
		req.forwarder = nil
	}
	clear(f.requests)
}

// removeRequest separates one request from the forwarder.
func (f *forwarder) removeRequest(req *request) {
	f.offered.remove(req)
	if f.requests[req.forwarderID] == req {
		delete(f.requests, req.forwarderID)
	}
	req.forwarder = nil
}

// inFlight returns the number of attempts of the forwarder that are in flight.
func (f *forwarder) inFlight() (count int) {
	for req := range f.offered.all() {
		count += req.inFlight
	}
	return count
}

// attemptInFlight returns a request of the forwarder and one of its attempts. The request is nil if the ID is unknown, the
// attempt is nil if the number is unknown or the attempt is not in flight.
func (f *forwarder) attemptInFlight(requestID uint64, number int) (*request, *attempt) {
	req := f.requests[requestID]
	if req == nil || number < 0 || number >= len(req.attempts) || !req.attempts[number].inFlight() {
		return req, nil
	}
	return req, &req.attempts[number]
}

// forwarderTable holds the forwarders and their sessions.
type forwarderTable struct {
	sessions     map[SessionID]*session
	byName       map[string]*forwarder
	connected    []*forwarder // those with a session, sorted by name
	disconnected []*forwarder // sorted by the end of their session; may include forwarders that have reconnected
}

// sessionIDs returns the IDs of all sessions in ascending order, so that no decision depends on the order of a map.
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
