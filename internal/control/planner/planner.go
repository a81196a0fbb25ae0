package planner

import (
	"time"

	"valvecove/internal/control/message"
)

const (
	tickInterval     = 50 * time.Millisecond // of everything that is due by time
	creditTicks      = 2                     // ticks between two assignments of credit
	maintenanceTicks = 20                    // ticks between two searches for sessions and health checks that have timed out
	timerLagDecay    = 8                     // a tick takes this part of the lag away: half of it in a quarter of a second
)

// Planner makes the decisions for the forwarders that are connected to it. It is not safe for concurrent use.
type Planner struct {
	config  Config
	now     time.Duration
	actions []Action // of the step under way

	phase        phase
	stopDeadline time.Duration // when a planner that is stopping does so whoever is connected

	timerAt    time.Duration // 0: no timer is set
	timerLag   time.Duration // by how much timers have fired late of late
	nextTickAt time.Duration
	ticks      int

	policy       policyRunner
	requests     requestTable
	workers      workerTable
	locations    locationIndex
	forwarders   forwarderTable
	healthChecks healthChecker
	snapshots    snapshotSchedule
	peers        peerTable
	heartbeats   []receivedHeartbeat // to be answered once the policy has taken in what came before them
	stats        Stats
	summary      summaryLog
}

// receivedHeartbeat is a heartbeat of a forwarder.
type receivedHeartbeat struct {
	session  SessionID
	epoch    message.Epoch
	sequence uint64
}

// New returns a planner that knows no forwarder, worker or peer.
func New(config Config) *Planner {
	config = config.withDefaults()
	return &Planner{
		config:       config,
		policy:       policyRunner{policy: config.NewPolicy()},
		requests:     newRequestTable(config.MaxOpenRequests),
		workers:      workerTable{byID: map[uint64]*worker{}},
		locations:    newLocationIndex(config.Name, config.Settings.Classes),
		forwarders:   forwarderTable{sessions: map[SessionID]*session{}, byName: map[string]*forwarder{}},
		healthChecks: healthChecker{pending: map[uint64]healthCheck{}},
		peers:        peerTable{epoch: message.Epoch(config.Incarnation)},
	}
}

// Step takes in what has happened by now, in order, and appends what is to be done to dst. Time never runs backwards: a now
// before that of an earlier step counts as that one.
func (p *Planner) Step(now time.Duration, events []Event, dst []Action) []Action {
	p.now = max(now, p.now)
	p.actions = dst
	p.enter(phaseRunning)
	p.measureTimerLag()
	for _, event := range events {
		p.handle(event)
	}
	p.tick()
	p.runPolicy()
	p.answerHeartbeats()
	p.setTimer()
	dst, p.actions = p.actions, nil
	return dst
}

func (p *Planner) handle(event Event) {
	if p.phase == phaseStopped {
		return
	}
	switch event := event.(type) {
	case SessionOpened:
		p.sessionOpened(event.Session)
	case SessionClosed:
		p.sessionClosed(event.Session)
	case ForwarderMessage:
		p.receive(event.Session, event.Envelope)
	case PeerConnected:
		p.peerConnected(event.Peer)
	case PeerDisconnected:
		p.peerDisconnected(event.Peer)
	case PeerMessage:
		p.receiveFromPeer(event.Peer, event.Envelope)
	case PeersChanged:
		p.peersChanged(event.Names)
	case EndpointsChanged:
		p.endpointsChanged(event.Endpoints)
	case EndpointSourceChanged:
		p.endpointSourceChanged()
	case PartitionChanged:
		p.partitionChanged(event.Owner)
	case StopRequested:
		p.stop()
	}
}

// tick does what is due by time.
func (p *Planner) tick() {
	if p.now < p.nextTickAt || p.phase == phaseStopped {
		return
	}
	p.nextTickAt = p.now + tickInterval
	p.ticks++
	if p.phase == phaseStopping {
		p.finishStop()
		return
	}
	if p.ticks%maintenanceTicks == 0 {
		p.expireHandshakes()
		p.expireHealthChecks()
	}
	p.forgetDisconnected()
	p.expireTakeovers()
	p.expireTombstones()
	p.expireAttempts()
	if p.ticks%creditTicks == 0 {
		p.decayPeaks()
		p.assignCredit(false)
	}
	p.sendSnapshots()
	p.sendLoadReports()
	p.transferQueued()
	p.logSummary()
	p.timerLag -= p.timerLag / timerLagDecay
}

// measureTimerLag takes in by how much this step comes later than the timer that was set.
func (p *Planner) measureTimerLag() {
	if p.timerAt > 0 && p.now >= p.timerAt {
		p.timerLag = max(p.timerLag, p.now-p.timerAt)
		p.timerAt = 0
	}
}

// setTimer asks for a timer at the next time at which something is due.
func (p *Planner) setTimer() {
	if p.phase == phaseStopped {
		return
	}
	next := p.nextTickAt
	if p.policy.timerAt > 0 {
		next = min(next, p.policy.timerAt)
	}
	if len(p.policy.pending) > 0 {
		next = p.policy.backoffUntil
	}
	next = max(next, p.now+1)
	if p.timerAt == 0 || next < p.timerAt {
		p.timerAt = next
		p.emit(SetTimer{After: next - p.now})
	}
}

// answerHeartbeats replies to the heartbeats of this step, in the sessions that are still there.
func (p *Planner) answerHeartbeats() {
	for _, heartbeat := range p.heartbeats {
		session := p.forwarders.sessions[heartbeat.session]
		if session == nil || session.forwarder == nil || session.forwarder.epoch != heartbeat.epoch {
			continue
		}
		p.send(session.forwarder, &message.HeartbeatReply{Sequence: heartbeat.sequence, TimerLag: p.timerLag})
	}
	p.heartbeats = p.heartbeats[:0]
}

func (p *Planner) emit(action Action) { p.actions = append(p.actions, action) }

func (p *Planner) log(text string, attributes ...any) {
	p.emit(LogLine{Message: text, Attributes: attributes})
}

// send sends a message to a forwarder, if it has a session.
func (p *Planner) send(f *forwarder, m message.Message) {
	if f.session != nil {
		p.sendInSession(f.session.id, f.epoch, m)
	}
}

func (p *Planner) sendInSession(id SessionID, epoch message.Epoch, m message.Message) {
	p.emit(SendToForwarder{Session: id, Envelope: message.Envelope{Epoch: epoch, Message: m}})
}
