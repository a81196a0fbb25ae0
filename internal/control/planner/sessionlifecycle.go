package planner

import "time"

// handshakeTimeout is the maximum time from the opening of a connection to a valid handshake.
const handshakeTimeout = 5 * time.Second

// forwarderRetention is how long a disconnected forwarder is kept, with its epoch and its attempts in flight.
const forwarderRetention = 10 * time.Second

const maxNameLength = 255 // bytes of a forwarder's or planner's name

// Dependencies of sessionLifecycle on other parts of the planner, besides requestCloser and healthCheckCanceller.
type (
	creditAssigner    interface{ assign(includeSmall bool) }
	snapshotScheduler interface{ schedule(f *forwarder) }
	statusSender      interface{ sendUnavailable(f *forwarder) }
)

// backoffReporter reports whether the policy is suspended after repeated panics.
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

// open adds a session, or rejects its connection if there are too many sessions or the planner doesn't run its policy.
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

// disconnect ends a forwarder's session. Its connection may stay open for a new session.
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

// removeDisconnected removes the forwarders that have been disconnected for forwarderRetention. If more than
// Config.MaxSessions are disconnected, it also removes those that disconnected first.
func (s *sessionLifecycle) removeDisconnected() {
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

// logForwarder logs a message about a forwarder, with its open requests and attempts in flight.
func (s *sessionLifecycle) logForwarder(text string, f *forwarder) {
	s.step.log(text, "forwarder", f.name, "epoch", f.epoch, "open_requests", f.openCount, "attempts_in_flight", f.inFlight())
}
