package planner

import (
	"fmt"

	"valvecove/internal/control/message"
)

const maxNameLength = 255 // bytes, of a forwarder or planner

// handshakeReceived opens a forwarder's session, which ends the one before. One whose epoch is not newer is of a connection
// that was overtaken on its way, or of another forwarder by the same name, and is closed.
func (p *Planner) handshakeReceived(session *session, epoch message.Epoch, handshake *message.Handshake) {
	if !p.checkHandshake(session, epoch, handshake) {
		p.closeSession(session)
		return
	}
	f := p.forwarders.byName[handshake.Name]
	if f == nil {
		f = &forwarder{name: handshake.Name, incarnation: handshake.Incarnation, requests: map[uint64]*request{}}
		p.forwarders.byName[handshake.Name] = f
	}
	p.supersedeSession(f, session)
	if f.incarnation != handshake.Incarnation {
		f.detachRequests()
		f.incarnation = handshake.Incarnation
	}
	f.epoch = epoch
	session.transition(sessionAccepting, f)
	p.forwarders.connect(f)
	p.assignCredit(true)
	f.snapshotDue = p.now + p.snapshots.nextOffset(p.config.SnapshotInterval)
	p.send(f, p.handshakeAccept(f.credit.limit))
	session.transition(sessionEstablished, f)
	p.sendUnavailable(f)
	p.log("forwarder connected", "forwarder", f.name, "epoch", f.epoch, "credit", f.credit.limit)
}

// checkHandshake reports whether a handshake is valid and its session the forwarder's newest. If not, it says why: to the
// forwarder where that helps it, to the log, or by a count.
func (p *Planner) checkHandshake(session *session, epoch message.Epoch, handshake *message.Handshake) bool {
	switch {
	case !p.config.compatible(handshake.Version):
		p.log("forwarder rejected: another major version of the protocol", "forwarder", handshake.Name,
			"version", versionText(handshake.Version), "own_version", versionText(p.config.Version))
		p.sendInSession(session.id, epoch, p.handshakeAccept(0))
		return false
	case handshake.Name == "" || len(handshake.Name) > maxNameLength || epoch == 0:
		p.stats.InvalidMessages++
		return false
	case !p.decides():
		p.sendInSession(session.id, epoch, &message.Goodbye{})
		return false
	}
	f := p.forwarders.byName[handshake.Name]
	if f != nil && epoch <= f.epoch || session.forwarder != nil && session.forwarder.name != handshake.Name {
		p.log("forwarder rejected: not its newest session", "forwarder", handshake.Name, "epoch", epoch)
		p.stats.StaleSessions++
		return false
	}
	return true
}

// supersedeSession ends the session that a forwarder has had so far, if any. It may have been on the same connection.
func (p *Planner) supersedeSession(f *forwarder, newest *session) {
	old := f.session
	if old == nil {
		return
	}
	p.logForwarder("forwarder has a newer session", f)
	p.disconnect(f)
	if old != newest {
		p.closeSession(old)
	}
}

func (p *Planner) handshakeAccept(credit int) *message.HandshakeAccept {
	return &message.HandshakeAccept{
		Name: p.config.Name, Incarnation: p.config.Incarnation, Version: p.config.Version, Credit: credit,
	}
}

func versionText(version int) string { return fmt.Sprintf("%d.%d", major(version), minor(version)) }
