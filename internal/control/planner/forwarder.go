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
func (t *forwarderTable) sessionIDs() []SessionID { return slices.Sorted(maps.Keys(t.sessions)) }

func (t *forwarderTable) connect(f *forwarder) {
	at, _ := slices.BinarySearchFunc(t.connected, f.name, compareForwarder)
	t.connected = slices.Insert(t.connected, at, f)
}

func (t *forwarderTable) disconnect(f *forwarder) {
	if at, ok := slices.BinarySearchFunc(t.connected, f.name, compareForwarder); ok {
		t.connected = slices.Delete(t.connected, at, at+1)
	}
	t.disconnected = append(t.disconnected, f)
}

func compareForwarder(f *forwarder, name string) int { return cmp.Compare(f.name, name) }

// disconnect takes in that a forwarder's session has ended. The connection may go on, for another session.
func (p *Planner) disconnect(f *forwarder) {
	p.closeRequestsOf(f)
	f.session.transition(sessionAwaitingHandshake, nil)
	f.credit = credit{previousUntil: f.credit.previousUntil}
	f.disconnectedAt = p.now
	p.forwarders.disconnect(f)
	p.cancelHealthChecks(func(check healthCheck) bool { return check.forwarder == f })
}

// closeRequestsOf closes a forwarder's open requests. Which planner has them next is not known; what is in flight of them
// may go on.
func (p *Planner) closeRequestsOf(f *forwarder) {
	for req := range f.offered.all() {
		if req.state.isOpen() {
			p.notifyPolicy(dispatch.ClientDisconnected{Job: req.id})
			p.closeRequest(req)
		}
		if req.state == requestClosing {
			p.expireUnreported(req)
		}
	}
}

// forgetDisconnected forgets the forwarders that have been without a session for long, and the earliest of too many.
func (p *Planner) forgetDisconnected() {
	table := &p.forwarders
	for len(table.disconnected) > 0 {
		f := table.disconnected[0]
		isDue := len(table.disconnected) > p.config.MaxSessions || p.now-f.disconnectedAt >= forwarderRetention
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

func (p *Planner) logForwarder(text string, f *forwarder) {
	p.log(text, "forwarder", f.name, "epoch", f.epoch, "open_requests", f.openCount, "attempts_in_flight", f.inFlight())
}
