package planner

import (
	"time"

	"valvecove/internal/control/message"
)

const (
	tickInterval     = 50 * time.Millisecond // interval of the periodic work
	creditTicks      = 2                     // ticks between assignments of credit
	maintenanceTicks = 20                    // ticks between checks for handshakes and health checks that have timed out
)

// Planner makes the decisions for the forwarders that are connected to it. It is not safe for concurrent use.
type Planner struct {
	config     Config
	step       step
	timer      stepTimer
	nextTickAt time.Duration
	ticks      int
	lifecycle  lifecycle
	stats      Stats
	summary    summaryLog

	policy   policyRunner
	recovery recovery

	forwarders forwarderTable
	sessions   sessionLifecycle
	credits    creditAllocator
	heartbeats heartbeats
	snapshots  snapshotSender

	requests         requestTable
	requestLifecycle requestLifecycle
	offers           offerHandler
	reports          reportHandler
	commands         commandExecutor
	placer           placer
	healthChecks     healthChecker

	workers    workerTable
	locations  locationIndex
	policySync policySync
	endpoints  endpointHandler
	statuses   statusHandler

	peers        peerTable
	peerSessions peerSessions
	loads        loadReporter
}

// Step processes the events since the last step, in order, and appends the resulting actions to dst. If now is earlier than
// in the previous step, the time of the previous step is used.
func (p *Planner) Step(now time.Duration, events []Event, dst []Action) []Action {
	p.step.begin(now, dst)
	p.lifecycle.enter(phaseRunning)
	p.timer.begin(p.step.now())
	for _, event := range events {
		p.handle(event)
	}
	p.tick()
	p.runPolicy()
	p.heartbeats.answer()
	p.setTimer()
	return p.step.finish()
}

// handle passes an event to the part that processes it.
func (p *Planner) handle(event Event) {
	if p.lifecycle.phase == phaseStopped {
		return
	}
	switch event := event.(type) {
	case SessionOpened:
		p.sessions.open(event.Session)
	case SessionClosed:
		p.sessions.processClosed(event.Session)
	case ForwarderMessage:
		p.receive(event.Session, event.Envelope)
	case PeerConnected:
		p.peerSessions.connect(event.Peer)
	case PeerDisconnected:
		p.peerSessions.disconnect(event.Peer)
	case PeerMessage:
		p.peerSessions.receive(event.Peer, event.Envelope)
	case PeersChanged:
		p.peerSessions.processMembers(event.Names)
	case EndpointsChanged:
		p.endpoints.processList(event.Endpoints)
	case EndpointSourceChanged:
		p.endpoints.processSourceChange()
	case PartitionChanged:
		p.endpoints.processPartition(event.Owner)
	case StopRequested:
		p.lifecycle.stop()
	}
}

// tick does the periodic work, once per tickInterval.
func (p *Planner) tick() {
	if p.step.now() < p.nextTickAt || p.lifecycle.phase == phaseStopped {
		return
	}
	p.nextTickAt = p.step.now() + tickInterval
	p.ticks++
	if p.lifecycle.phase == phaseStopping {
		p.lifecycle.finishStop()
		return
	}
	if p.ticks%maintenanceTicks == 0 {
		p.sessions.expireHandshakes()
		p.healthChecks.expire()
	}
	p.sessions.removeDisconnected()
	p.endpoints.expireTakeovers()
	p.workers.expireTombstones(p.step.now())
	p.requestLifecycle.expireAttempts()
	if p.ticks%creditTicks == 0 {
		p.credits.decayPeaks()
		p.credits.assign(false)
	}
	p.snapshots.send()
	p.loads.send()
	p.placer.transferQueued()
	p.summary.write()
	p.timer.decayLag()
}

// setTimer requests a timer for the time of the next step that is due without an event.
func (p *Planner) setTimer() {
	if p.lifecycle.phase == phaseStopped {
		return
	}
	next := max(p.policy.nextStepAt(p.nextTickAt), p.step.now()+1)
	if p.timer.set(next) {
		p.step.emit(SetTimer{After: next - p.step.now()})
	}
}

// runPolicy runs the policy and executes its actions until no event is pending, for at most maxPolicyIterations.
func (p *Planner) runPolicy() {
	for range maxPolicyIterations {
		if !p.lifecycle.decides() || p.policy.isBackingOff(p.step.now()) {
			return
		}
		p.policySync.flush()
		p.policy.notifyTimer(p.step.now())
		if len(p.policy.pending) == 0 {
			return
		}
		actions, err := p.policy.step(p.step.now(), p.policy.takePending())
		if err == nil {
			p.commands.execute(actions)
		} else {
			p.recovery.replacePolicy(err)
		}
		p.policy.releaseDelivered()
	}
}

// receive processes a message from a forwarder. All messages but handshakes must have the epoch of its newest session.
func (p *Planner) receive(id SessionID, envelope message.Envelope) {
	if envelope.Message == nil {
		return
	}
	session := p.forwarders.sessions[id]
	if session == nil {
		p.stats.StrayMessages++ // sent before the forwarder noticed that the session was closed
		return
	}
	if handshake, ok := envelope.Message.(*message.Handshake); ok {
		p.sessions.receiveHandshake(session, envelope.Epoch, handshake)
		return
	}
	if session.forwarder == nil || envelope.Epoch != session.forwarder.epoch {
		p.stats.StrayMessages++
		return
	}
	p.receiveInSession(session, envelope.Message)
}

// receiveInSession passes a message of an established session to the part that processes it.
func (p *Planner) receiveInSession(session *session, received message.Message) {
	f := session.forwarder
	switch received := received.(type) {
	case *message.RequestOffer:
		p.offers.handle(f, received)
	case *message.AttemptEnded:
		p.reports.attemptEnded(f, received)
	case *message.AttemptStarted:
		p.reports.attemptStarted(f, received)
	case *message.AttemptProgress:
		p.reports.attemptProgressed(f, received)
	case *message.RequestClosed:
		p.reports.requestClosed(f, received)
	case *message.HealthCheckResult:
		p.healthChecks.finish(f, received)
	case *message.Heartbeat:
		p.heartbeats.add(session.id, f.epoch, received.Sequence)
	case *message.WorkerStatus:
		p.statuses.receive(*received, statusSource{forwarder: f})
	default:
		p.stats.InvalidMessages++
	}
}
