package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// forwarderTable is who follows this planner.
type forwarderTable struct {
	sessions          map[SessionID]*session
	forwarders        map[string]*forwarder
	connected         []*forwarder           // that have a session, by name
	disconnected      []*forwarder           // that have lost theirs, in the order in which they did; may hold some that are back
	healthChecks      map[uint64]healthCheck // by worker: the one that is out
	nextHealthChecker int                    // whose is the next probe
	modelSnapshot     []byte                 // what the module had learnt
	snapshotAt        time.Duration
	snapshotPhase     int // sessions so far, to spread lessons over time
}

// healthCheck is one that a forwarder was told to make.
type healthCheck struct {
	forwarder *forwarder
	at        time.Duration
}

// session is a connection.
type session struct {
	id        SessionID
	openedAt  time.Duration
	forwarder *forwarder // nil: it has not said who it is
}

// forwarder is one by name. Its process may change.
type forwarder struct {
	name        string
	incarnation uint64
	epoch       message.Epoch // of its newest session
	session     *session      // nil: that has ended
	requests    map[uint64]*request
	ordered     requestList // these, as they came

	openCount      int  // open heads
	accepted       bool // into its session
	credit         int  // told
	previousCredit int  // the larger one until cutAt, as what was told may not have been read
	previousUntil  time.Duration
	recentPeak     float64 // of live, fading
	snapshotDue    time.Duration
	lostAt         time.Duration
}

func (b *Planner) sessionOpened(id SessionID) {
	if len(b.sessions) >= b.config.MaxSessions || b.stopDeadline > 0 || b.now < b.backoffUntil {
		b.statistics.ConnectionsRejected++
		b.output = append(b.output, Action{Kind: CloseSession, Session: id})
		return
	}
	if b.sessions[id] == nil {
		b.sessions[id] = &session{id: id, openedAt: b.now}
	}
}

func (b *Planner) sessionClosed(id SessionID) {
	if s := b.sessions[id]; s != nil {
		delete(b.sessions, id)
		if s.forwarder != nil {
			b.log("forwarder %s is lost: session %d, %d queries open, %d attempts out", s.forwarder.name, s.forwarder.epoch, s.forwarder.openCount, s.forwarder.inFlight())
			b.forwarderDisconnected(s.forwarder)
		}
	}
}

// closeSession ends a session from here.
func (b *Planner) closeSession(s *session) {
	delete(b.sessions, s.id)
	b.output = append(b.output, Action{Kind: CloseSession, Session: s.id})
	if s.forwarder != nil {
		b.forwarderDisconnected(s.forwarder)
	}
}

func (b *Planner) sessionIDs() []SessionID { return slices.Sorted(maps.Keys(b.sessions)) }

// forwarderDisconnected takes in that a forwarder has no session.
func (b *Planner) forwarderDisconnected(f *forwarder) {
	b.closeRequestsOf(f)
	f.session.forwarder, f.session = nil, nil
	f.accepted, f.credit, f.previousCredit, f.recentPeak, f.lostAt = false, 0, 0, 0, b.now
	if i, ok := slices.BinarySearchFunc(b.connected, f.name, compareForwarder); ok {
		b.connected = slices.Delete(b.connected, i, i+1)
	}
	b.disconnected = append(b.disconnected, f)
	b.cancelHealthChecks(func(p healthCheck) bool { return p.forwarder == f })
}

// cancelHealthChecks ends probes of which nothing will be heard any more.
func (b *Planner) cancelHealthChecks(which func(p healthCheck) bool) {
	for _, worker := range slices.Sorted(maps.Keys(b.healthChecks)) {
		if which(b.healthChecks[worker]) {
			delete(b.healthChecks, worker)
			b.notifyPolicy(dispatch.HealthChecked{Worker: worker, Result: dispatch.NotSent})
		}
	}
}

func compareForwarder(f *forwarder, name string) int { return cmp.Compare(f.name, name) }

// closeRequestsOf closes what a forwarder has open. Who has it next is not known; what is out there may go on.
func (b *Planner) closeRequestsOf(f *forwarder) {
	for h := f.ordered.first; h != nil; {
		next := h.links[forwarderList].next
		if h.open {
			b.notifyPolicy(dispatch.ClientDisconnected{Job: h.id})
			b.closeRequest(h)
		}
		if h.inFlight > 0 {
			b.expireUnobserved(h)
		}
		h = next
	}
}

// inFlight counts a forwarder's attempts that are out.
func (f *forwarder) inFlight() (n int) {
	for h := f.ordered.first; h != nil; h = h.links[forwarderList].next {
		n += h.inFlight
	}
	return n
}

// receive takes in a message of a forwarder.
func (b *Planner) receive(id SessionID, envelope message.Envelope) {
	s := b.sessions[id]
	if s == nil {
		b.statistics.StrayMessages++ // sent before the forwarder read that the session is closed
		return
	}
	if m, ok := envelope.Message.(*message.Handshake); ok {
		b.handshake(s, envelope.Epoch, m)
		return
	}
	f := s.forwarder
	if f == nil || envelope.Epoch != f.epoch {
		b.statistics.StrayMessages++
		return
	}
	switch m := envelope.Message.(type) {
	case *message.RequestOffer:
		b.requestOffered(f, m)
	case *message.AttemptEnded:
		b.attemptEnded(f, m)
	case *message.AttemptStarted:
		b.attemptStarted(f, m)
	case *message.AttemptProgress:
		b.attemptProgressed(f, m)
	case *message.RequestClosed:
		b.requestClosed(f, m)
	case *message.HealthCheckResult:
		b.healthChecked(f, m)
	case *message.Heartbeat:
		b.heartbeats = append(b.heartbeats, heartbeat{s.id, f.epoch, m.Sequence})
	case *message.WorkerStatus:
		b.statusReceived(*m, f, nil)
	default:
		b.statistics.InvalidMessages++
	}
}

// handshake opens a session. A newer one of the same forwarder ends the one before; one that is not newer is of a
// connection that was overtaken on its way, or of another forwarder by the same name, and is turned away.
func (b *Planner) handshake(s *session, epoch message.Epoch, m *message.Handshake) {
	switch {
	case m.Version>>8 != b.config.Version>>8:
		b.log("forwarder %q is turned away: it speaks version %d.%d, this is %d.%d", m.Name, m.Version>>8, m.Version&0xff,
			b.config.Version>>8, b.config.Version&0xff)
		b.send(s.id, epoch, b.handshakeAccept(0))
		b.closeSession(s)
		return
	case m.Name == "" || len(m.Name) > maxNameLength || epoch == 0:
		b.statistics.InvalidMessages++
		b.closeSession(s)
		return
	case b.stopDeadline > 0:
		b.send(s.id, epoch, &message.Goodbye{})
		b.closeSession(s)
		return
	}
	f := b.forwarders[m.Name]
	if f != nil && epoch <= f.epoch || s.forwarder != nil && s.forwarder.name != m.Name {
		b.log("forwarder %q is turned away: session %d is not its newest", m.Name, epoch)
		b.statistics.StaleSessions++
		b.closeSession(s)
		return
	}
	if f == nil {
		f = &forwarder{name: m.Name, incarnation: m.Incarnation, requests: map[uint64]*request{}}
		b.forwarders[m.Name] = f
	}
	if old := f.session; old != nil {
		b.log("forwarder %s has a newer session: %d queries open in the one before, %d attempts out", f.name, f.openCount, f.inFlight())
		b.forwarderDisconnected(f)
		if old != s {
			b.closeSession(old)
		}
	}
	if f.incarnation != m.Incarnation {
		b.detachRequests(f)
		f.incarnation = m.Incarnation
	}
	f.epoch, f.session, s.forwarder = epoch, s, f
	at, _ := slices.BinarySearchFunc(b.connected, f.name, compareForwarder)
	b.connected = slices.Insert(b.connected, at, f)
	b.assignCredit(true)
	f.snapshotDue = b.now + b.config.SnapshotInterval*time.Duration(b.snapshotPhase%16)/16
	b.snapshotPhase++
	b.sendTo(f, b.handshakeAccept(f.credit))
	f.accepted = true
	b.sendUnavailable(f)
	b.log("forwarder %s: session %d, credit %d", f.name, f.epoch, f.credit)
}

func (b *Planner) handshakeAccept(credit int) *message.HandshakeAccept {
	return &message.HandshakeAccept{
		Name: b.config.Name, Incarnation: b.config.Incarnation, Version: b.config.Version, Credit: credit,
	}
}

// detachRequests takes in that a forwarder's process is another one: the queries of the one before have no numbers any more,
// and nobody will say what becomes of their attempts.
func (b *Planner) detachRequests(f *forwarder) {
	for h := f.ordered.first; h != nil; {
		next := h.links[forwarderList].next
		f.ordered.remove(h, forwarderList)
		h.forwarder = nil
		h = next
	}
	clear(f.requests)
}

// maintain forgets sessions that do not say who they are, and forwarders that stay away.
func (b *Planner) maintain() {
	if b.ticks%maintenanceTicks == 0 {
		for _, id := range b.sessionIDs() {
			if s := b.sessions[id]; s.forwarder == nil && b.now-s.openedAt >= handshakeTimeout {
				b.statistics.InvalidMessages++
				b.closeSession(s)
			}
		}
		b.cancelHealthChecks(func(p healthCheck) bool { return b.now-p.at >= healthCheckTimeout })
	}
	d := &b.disconnected
	for len(*d) > 0 && (len(*d) > b.config.MaxSessions || b.now-(*d)[0].lostAt >= forwarderRetention || (*d)[0].session != nil) {
		f := (*d)[0]
		if (*d)[0] = nil; f.session == nil && b.forwarders[f.name] == f && (b.now-f.lostAt >= forwarderRetention || len(*d) > b.config.MaxSessions) {
			b.detachRequests(f)
			delete(b.forwarders, f.name)
		}
		*d = (*d)[1:]
	}
}

// ---- Credit ----

// withinCredit tells whether a forwarder may have one more head open. A credit that was cut holds in full a moment later, as
// heads may have been on their way.
func (b *Planner) withinCredit(f *forwarder) bool {
	if b.now < f.previousUntil {
		return f.openCount < max(f.credit, f.previousCredit)
	}
	return f.openCount < f.credit
}

func (b *Planner) decayPeaks() {
	for _, f := range b.connected {
		f.recentPeak = max(float64(f.openCount), f.recentPeak*0.95)
	}
}

// assignCredit shares the credits by what forwarders have had open of late. All the credits told come to Config.Heads at most:
// what is taken from some is told before it is given to others. Small changes are left alone, unless whole.
func (b *Planner) assignCredit(whole bool) {
	n := len(b.connected)
	if n == 0 {
		return
	}
	all, least := b.config.MaxOpenRequests, min(b.config.MinCredit, b.config.MaxOpenRequests/n)
	want := func(f *forwarder) int {
		return min(max(int(2*f.recentPeak)+b.config.MinCredit, least), max(b.config.MaxCredit, least))
	}
	sum := 0
	for _, f := range b.connected {
		sum += want(f)
	}
	share := func(f *forwarder) int {
		if sum <= all {
			return min(want(f)+(all-sum)/n, max(b.config.MaxCredit, least))
		}
		return least + int(float64(want(f)-least)*float64(all-n*least)/float64(sum-n*least))
	}
	left := all
	for _, f := range b.connected {
		if s := share(f); s < f.credit && (whole || s < f.credit*3/4) {
			if b.now >= f.previousUntil {
				f.previousCredit = 0
			}
			f.previousCredit, f.previousUntil = max(f.previousCredit, f.credit), b.now+time.Second
			b.setCredit(f, s)
		}
		left -= f.credit
	}
	for _, f := range b.connected {
		s := share(f)
		if more := min(s-f.credit, left); more > 0 && (whole || s*4 >= f.credit*5 || f.openCount*4 >= f.credit*3) {
			left -= more
			b.setCredit(f, f.credit+more)
		}
	}
}

// setCredit tells a forwarder's credit, unless its Welcome will.
func (b *Planner) setCredit(f *forwarder, credit int) {
	if f.credit = credit; f.accepted {
		b.sendTo(f, &message.CreditUpdate{Credit: credit})
	}
}

// ---- Lessons ----

// sendSnapshots tells forwarders what the module has learnt, each at its turn.
func (b *Planner) sendSnapshots() {
	m, ok := b.policy.(snapshotter)
	if !ok {
		return
	}
	for _, f := range b.connected {
		if b.now < f.snapshotDue {
			continue
		}
		if b.modelSnapshot == nil || b.now-b.snapshotAt >= b.config.SnapshotInterval/2 {
			b.modelSnapshot, b.snapshotAt = m.ModelSnapshot(b.config.MaxSnapshotBytes, nil), b.now
		}
		f.snapshotDue = b.now + b.config.SnapshotInterval
		b.sendTo(f, &message.ModelSnapshot{Age: b.now - b.snapshotAt, Data: b.modelSnapshot})
	}
}

// ---- Probes ----

// healthChecked takes in the result of a health check, if it is the one that the forwarder was to make.
func (b *Planner) healthChecked(f *forwarder, m *message.HealthCheckResult) {
	if b.healthChecks[m.WorkerID].forwarder == f {
		delete(b.healthChecks, m.WorkerID)
		b.notifyPolicy(dispatch.HealthChecked{Worker: m.WorkerID, Result: knownResult(m.Result)})
	}
}

// startHealthCheck has a forwarder ask a worker node for a sign of life, each in its turn.
func (b *Planner) startHealthCheck(worker uint64) {
	if len(b.connected) == 0 || b.healthChecks[worker].forwarder != nil {
		b.notifyPolicy(dispatch.HealthChecked{Worker: worker, Result: dispatch.NotSent})
		return
	}
	b.nextHealthChecker++
	f := b.connected[b.nextHealthChecker%len(b.connected)]
	b.healthChecks[worker] = healthCheck{f, b.now}
	b.sendTo(f, &message.HealthCheckCommand{WorkerID: worker})
}
