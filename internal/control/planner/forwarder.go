package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// forwarderRetention is how long a forwarder without a session is remembered, for its epochs and its attempts in flight.
const forwarderRetention = 10 * time.Second

// forwarder is a forwarder by its name. Its process may be replaced by another one.
type forwarder struct {
	name           string
	incarnation    uint64
	epoch          message.Epoch // of its newest session
	session        *session      // nil: that has ended
	disconnectedAt time.Duration
	requests       map[uint64]*request // by the forwarder's number
	offered        requestList         // the same in the order of their offers
	openCount      int                 // of these, the open ones
	credit         credit
	snapshotDue    time.Duration
}

// forwarderTable is the forwarders and their sessions.
type forwarderTable struct {
	sessions     map[SessionID]*session
	byName       map[string]*forwarder
	connected    []*forwarder // that have a session, by name
	disconnected []*forwarder // by the time at which they lost theirs; some may have one again
}

// sessionIDs returns the sessions in order: the order of maps must decide nothing.
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

// sessionLifecycle opens and ends the sessions of the forwarders.
type sessionLifecycle struct {
	config           *Config
	stats            *Stats
	step             *step
	credits          *creditAllocator
	forwarders       *forwarderTable
	healthChecks     *healthChecker
	requestLifecycle *requestLifecycle
	phase            *lifecycle
	policy           *policyRunner
	snapshots        *snapshotSender
	statuses         *statusHandler
}

// disconnect takes in that a forwarder's session has ended. The connection may go on, for another session.
func (s *sessionLifecycle) disconnect(f *forwarder) {
	s.requestLifecycle.closeAllOf(f)
	f.session.transition(sessionAwaitingHandshake, nil)
	f.credit = credit{previousUntil: f.credit.previousUntil}
	f.disconnectedAt = s.step.now()
	s.forwarders.disconnect(f)
	s.healthChecks.cancel(func(check healthCheck) bool { return check.forwarder == f })
}

// closeAllOf closes a forwarder's open requests. Which planner has them next is not known; what is in flight of them
// may go on.
func (r *requestLifecycle) closeAllOf(f *forwarder) {
	for req := range f.offered.all() {
		if req.state.isOpen() {
			r.policy.notify(dispatch.ClientDisconnected{Job: req.id})
			r.close(req)
		}
		if req.state == requestClosing {
			r.expireUnreported(req)
		}
	}
}

// forgetDisconnected forgets the forwarders that have been without a session for long, and the earliest of too many.
func (s *sessionLifecycle) forgetDisconnected() {
	table := s.forwarders
	for len(table.disconnected) > 0 {
		f := table.disconnected[0]
		isDue := len(table.disconnected) > s.config.MaxSessions || s.step.now()-f.disconnectedAt >= forwarderRetention
		if !isDue && f.session == nil {
			return
		}
		table.disconnected[0] = nil
		table.disconnected = table.disconnected[1:]
		if isDue && f.session == nil && table.byName[f.name] == f {
			f.detachRequests()
			delete(table.byName, f.name)
		}
	}
}

// detachRequests takes in that the forwarder's process has ended: its requests have no numbers any more, and nobody reports
// what becomes of their attempts.
func (f *forwarder) detachRequests() {
	for req := range f.offered.all() {
		f.offered.remove(req)
		req.forwarder = nil
	}
	clear(f.requests)
}

// inFlight returns how many attempts of the forwarder are in flight.
func (f *forwarder) inFlight() (count int) {
	for req := range f.offered.all() {
		count += req.inFlight
	}
	return count
}

func (s *sessionLifecycle) logForwarder(text string, f *forwarder) {
	s.step.log(text, "forwarder", f.name, "epoch", f.epoch, "open_requests", f.openCount, "attempts_in_flight", f.inFlight())
}
