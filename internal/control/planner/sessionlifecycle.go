package planner

import "time"

// handshakeTimeout is the maximum time from the start of a session to its handshake.
const handshakeTimeout = 5 * time.Second

// forwarderRetention is how long a forwarder without a session is kept, for its epochs and its attempts in flight.
const forwarderRetention = 10 * time.Second

const maxNameLength = 255 // bytes, of a forwarder or planner

// What sessionLifecycle needs of the planner's other parts, besides requestCloser and healthCheckCanceller.
type (
	creditAssigner    interface{ assign(all bool) }
	snapshotScheduler interface{ schedule(f *forwarder) }
	statusSender      interface{ sendUnavailable(f *forwarder) }
)

// backoffReporter reports whether the policy is not run for now.
type backoffReporter interface{ isBackingOff(now time.Duration) bool }

// sessionLifecycle opens and ends the sessions of the forwarders.
type sessionLifecycle struct {
	config       *Config
	stats        *Stats
	step         *step
	credits      creditAssigner
	forwarders   *forwarderTable
	healthChecks healthCheckCanceller
	requests     requestCloser
	phase        decider
	policy       backoffReporter
	snapshots    snapshotScheduler
	statuses     statusSender
}

// open adds a session, or closes it if there are too many or the planner doesn't run its policy.
func (s *sessionLifecycle) open(id SessionID) {
	isFull := len(s.forwarders.sessions) >= s.config.MaxSessions
	if isFull || !s.phase.decides() || s.policy.isBackingOff(s.step.now()) {
		s.stats.ConnectionsRejected++
		s.step.emit(CloseSession{Session: id})
		return
	}
	if s.forwarders.sessions[id] == nil {
		s.forwarders.sessions[id] = &session{id: id, openedAt: s.step.now()}
	}
}

// processClosed removes a session whose connection has ended.
func (s *sessionLifecycle) processClosed(id SessionID) {
	session := s.forwarders.sessions[id]
	if session == nil {
		return
	}
	delete(s.forwarders.sessions, id)
	if f := session.forwarder; f != nil {
		s.logForwarder("forwarder disconnected", f)
		s.disconnect(f)
	}
	session.transition(sessionClosed, nil)
}

// close closes a session and its connection.
func (s *sessionLifecycle) close(session *session) {
	delete(s.forwarders.sessions, session.id)
	s.step.emit(CloseSession{Session: session.id})
	if session.forwarder != nil {
		s.disconnect(session.forwarder)
	}
	session.transition(sessionClosed, nil)
}

// disconnect ends a forwarder's session. The connection may remain, for another session.
func (s *sessionLifecycle) disconnect(f *forwarder) {
	s.requests.closeAllOf(f)
	f.session.transition(sessionAwaitingHandshake, nil)
	f.credit = credit{previousUntil: f.credit.previousUntil}
	f.disconnectedAt = s.step.now()
	s.forwarders.disconnect(f)
	s.healthChecks.cancel(func(check healthCheck) bool { return check.forwarder == f })
}

// expireHandshakes closes the sessions without a valid handshake after handshakeTimeout.
func (s *sessionLifecycle) expireHandshakes() {
	for _, id := range s.forwarders.sessionIDs() {
		session := s.forwarders.sessions[id]
		if session.state == sessionAwaitingHandshake && s.step.now()-session.openedAt >= handshakeTimeout {
			s.stats.InvalidMessages++
			s.close(session)
		}
	}
}

// forgetDisconnected removes the forwarders without a session for forwarderRetention, and the earliest ones beyond the
// maximum.
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

// logForwarder writes a line about a forwarder, its open requests and its attempts in flight.
func (s *sessionLifecycle) logForwarder(text string, f *forwarder) {
	s.step.log(text, "forwarder", f.name, "epoch", f.epoch, "open_requests", f.openCount, "attempts_in_flight", f.inFlight())
}
