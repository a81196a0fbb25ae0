package planner

import (
	"fmt"

	"valvecove/internal/control/message"
)

// receiveHandshake establishes a forwarder's session and ends its previous one. A handshake whose epoch is not newer than the
// forwarder's belongs to an outdated connection or to another forwarder of the same name; its session is closed.
func (s *sessionLifecycle) receiveHandshake(session *session, epoch message.Epoch, handshake *message.Handshake) {
	if !s.checkHandshake(session, epoch, handshake) {
		s.close(session)
		return
	}
	f := s.forwarders.byName[handshake.Name]
	if f == nil {
		f = &forwarder{name: handshake.Name, incarnation: handshake.Incarnation, requests: map[uint64]*request{}}
		s.forwarders.byName[handshake.Name] = f
	}
	s.supersede(f, session)
	if f.incarnation != handshake.Incarnation {
		f.detachRequests()
		f.incarnation = handshake.Incarnation
	}
	f.epoch = epoch
	session.transition(sessionAccepting, f)
	s.forwarders.connect(f)
	s.credits.assign(true)
	s.snapshots.schedule(f)
	s.step.send(f, s.handshakeAccept(f.credit.limit))
	session.transition(sessionEstablished, f)
	s.statuses.sendUnavailable(f)
	s.step.log("forwarder connected", "forwarder", f.name, "epoch", f.epoch, "credit", f.credit.limit)
}

// checkHandshake reports whether a handshake is valid and its session is the forwarder's newest. If not, it replies to the
// forwarder if the forwarder can react, logs the reason, or counts the rejection.
func (s *sessionLifecycle) checkHandshake(session *session, epoch message.Epoch, handshake *message.Handshake) bool {
	switch {
	case !s.config.compatible(handshake.Version):
		s.step.log("forwarder rejected: another major version of the protocol", "forwarder", handshake.Name,
			"version", versionText(handshake.Version), "own_version", versionText(s.config.Version))
		s.step.sendInSession(session.id, epoch, s.handshakeAccept(0))
		return false
	case handshake.Name == "" || len(handshake.Name) > maxNameLength || epoch == 0:
		s.stats.InvalidMessages++
		return false
	case !s.phase.decides():
		s.step.sendInSession(session.id, epoch, &message.Goodbye{})
		return false
	}
	f := s.forwarders.byName[handshake.Name]
	if f != nil && epoch <= f.epoch || session.forwarder != nil && session.forwarder.name != handshake.Name {
		s.step.log("forwarder rejected: not its newest session", "forwarder", handshake.Name, "epoch", epoch)
		s.stats.StaleSessions++
		return false
	}
	return true
}

// supersede ends a forwarder's previous session, if any. The previous session may use the same connection as the newest.
func (s *sessionLifecycle) supersede(f *forwarder, newest *session) {
	old := f.session
	if old == nil {
		return
	}
	s.logForwarder("forwarder has a newer session", f)
	s.disconnect(f)
	if old != newest {
		s.close(old)
	}
}

// handshakeAccept returns the reply to a handshake. A credit of 0 rejects the handshake.
func (s *sessionLifecycle) handshakeAccept(credit int) *message.HandshakeAccept {
	return &message.HandshakeAccept{
		Name: s.config.Name, Incarnation: s.config.Incarnation, Version: s.config.Version, Credit: credit,
	}
}

func versionText(version int) string { return fmt.Sprintf("%d.%d", major(version), minor(version)) }
