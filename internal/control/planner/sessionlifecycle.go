package planner

import "time"

const handshakeTimeout = 5 * time.Second

// forwarderRetention is how long a forwarder without a session is remembered, for its epochs and its attempts in flight.
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

// open enters a session, or closes it where there is no place for it.
func (s *sessionLifecycle) open(id SessionID) {
	if len(s.forwarders.sessions) >= s.config.MaxSessions || !s.phase.decides() || s.policy.isBackingOff(s.step.now()) {
		s.stats.ConnectionsRejected++
		s.step.emit(CloseSession{Session: id})
		return
	}
	if s.forwarders.sessions[id] == nil {
		s.forwarders.sessions[id] = &session{id: id, openedAt: s.step.now()}
	}
}

// processClosed takes in that a session has ended.
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

// close ends a session.
func (s *sessionLifecycle) close(session *session) {
	delete(s.forwarders.sessions, session.id)
	s.step.emit(CloseSession{Session: session.id})
	if session.forwarder != nil {
		s.disconnect(session.forwarder)
	}
	session.transition(sessionClosed, nil)
}

// disconnect takes in that a forwarder's session has ended. The connection may go on, for another session.
func (s *sessionLifecycle) disconnect(f *forwarder) {
	s.requests.closeAllOf(f)
	f.session.transition(sessionAwaitingHandshake, nil)
	f.credit = credit{previousUntil: f.credit.previousUntil}
	f.disconnectedAt = s.step.now()
	s.forwarders.disconnect(f)
	s.healthChecks.cancel(func(check healthCheck) bool { return check.forwarder == f })
}

// expireHandshakes closes the sessions in which no valid handshake has come in time.
func (s *sessionLifecycle) expireHandshakes() {
	for _, id := range s.forwarders.sessionIDs() {
		session := s.forwarders.sessions[id]
		if session.state == sessionAwaitingHandshake && s.step.now()-session.openedAt >= handshakeTimeout {
			s.stats.InvalidMessages++
			s.close(session)
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

func (s *sessionLifecycle) logForwarder(text string, f *forwarder) {
	s.step.log(text, "forwarder", f.name, "epoch", f.epoch, "open_requests", f.openCount, "attempts_in_flight", f.inFlight())
}
