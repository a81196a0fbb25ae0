// Package planner is a planner's book: who follows it, which queries they have open with it, what was sent where, and
// what of all that is certain. One decision module plans for all forwarders at once, so that rooms, cold budgets and
// quotas are counted once. The book is free of I/O and clocks: events in, messages out, and the same events give the
// same messages.
//
// # What may be relied on
//
//   - A head that is open here is with one session of one forwarder. When that ends it is closed, and what its attempts
//     may still be doing at worker nodes is counted until they must be over, or until the forwarder says what became of
//     them. The forwarder's word wins wherever the two differ.
//   - Orders of a query are numbered on from the attempts that its head told. No number is given twice in a session.
//   - A query is ordered to be moved only until two such orders were followed in its life, and for want of room once.
//   - All that forwarders may have open here, by the credits told, is at most Config.Heads. A session that ends gives
//     its part back at once.
//   - What others say is checked and bounded: what makes no sense is counted and has no effect, or ends its session.
//   - A panic of the module costs no session. Heads that bring it about are given back.
//
// # How it is driven
//
// Step takes what has happened and appends what is to be done to dst. Nothing is kept of what In points to, but all
// of it is to hold until Step returns. Messages of one session are to be carried in their order, and a connection is
// closed after what was said on it before.
package planner

import (
	"cmp"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// Policy makes the decisions. One that has Lesson, Room or Overlong as logic.Dispatcher has them is asked for these.
type Policy interface {
	Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action
}

type (
	snapshotter interface {
		ModelSnapshot(most int, b []byte) []byte
	}
	capacityReporter interface{ AvailableSlots() float64 }
	runtimeEstimator interface {
		TimeUntilOverdue(job uint64, attempt int) (left time.Duration, ok bool)
	}
)

// Config is how a planner works. Zero counts and spans stand for those of Defaults.
type Config struct {
	Name        string
	Incarnation uint64 // when this process started, Unix time in ns
	Version     int    // told in Welcome and Greet; whose version differs by more than its last eight bits is turned away
	Settings    dispatch.Settings
	NewPolicy   func() Policy // makes a module that knows nothing, for one dispatcher alone

	MaxOpenRequests      int           // that may be open in all
	MinCredit, MaxCredit int           // of these, what each forwarder may have at least, while there is enough, and at most
	MaxSessions          int           // of forwarders
	LoadReportInterval   time.Duration // peers are told how this planner stands
	SnapshotInterval     time.Duration // and forwarders what its module has learnt
	MaxSnapshotBytes     int           // that this may come to
	StopTimeout          time.Duration // a planner that stops waits so long for forwarders to leave
}

// Defaults are what holds where nothing else is said.
func Defaults() Config {
	return Config{MaxOpenRequests: 20_000, MinCredit: 32, MaxCredit: 4096, MaxSessions: 1024, LoadReportInterval: 250 * time.Millisecond,
		SnapshotInterval: 5 * time.Second, MaxSnapshotBytes: 48 << 10, StopTimeout: 2 * time.Second}
}

const (
	tickInterval             = 50 * time.Millisecond
	creditTicks              = 2  // ticks
	maintenanceTicks         = 20 // ticks
	handshakeTimeout         = 5 * time.Second
	healthCheckTimeout       = 5 * time.Second
	forwarderRetention       = 10 * time.Second // a forwarder without a session, for its epochs
	tombstoneRetention       = time.Minute      // a worker node that is gone, for its last word
	maxTombstones            = 4096
	maxPeers                 = 64
	maxAttempts              = 64 // of a query
	maxNameLength            = 255
	maxReportedSpan          = time.Hour // of any span that a forwarder tells
	minExpiryGrace           = time.Second
	reportGrace              = 5 * time.Second // an end that is due by a deadline is awaited for so long beyond it
	resumedThreshold         = 10 * time.Millisecond
	maxTransfers             = 2
	transferObjectiveDivisor = 4 // a head is held for this part of its aim before it goes to where there is room
	minTransferWait          = 50 * time.Millisecond
	transferSlotMargin       = 1.0 // slots that must be free there beyond what it needs
	transferScanLimit        = 64  // heads looked at in a tick
	loadReportValidity       = time.Second
	logInterval              = time.Second
	maxPolicyIterations      = 8 // of the module in a step
	maxFailures              = 2
	maxSuspects              = 8
	maxPoisonRequests        = 8
	maxPanics                = 5 // within panicSpan: then all heads are let go
	panicWindow              = 10 * time.Second
	panicBackoff             = time.Second
	maxClockSkew             = time.Minute // a start later than this from now is no start
)

// SessionID is a connection of a forwarder, by a number of the driver's that is never used twice.
type SessionID uint64

// EventKind is the kind of what has happened.
type EventKind uint8

// Kinds.
const (
	SessionOpened         EventKind = iota + 1 // a forwarder has connected: Session
	SessionClosed                              // its connection has ended, whoever ended it: Session
	ForwarderMessage                           // Session, Envelope
	PeerConnected                              // there is a connection to another planner: Peer
	PeerDisconnected                           // there is none any more: Peer
	PeerMessage                                // Peer, Envelope
	EndpointsChanged                           // news of the host group: List, with its generation
	EndpointSourceChanged                      // it comes from elsewhere from now on, and generations count anew
	PartitionChanged                           // which worker nodes are whose: Owner. Until that is told, all are this planner's
	PeersChanged                               // the other planners that are alive: Names
	TimerFired                                 // the time that was asked for is there
	StopRequested                              // the planner is to stop
)

// Event is one thing that has happened. Fields that its kind does not name are of no matter.
type Event struct {
	Kind      EventKind
	Session   SessionID
	Peer      string
	Envelope  message.Envelope
	Endpoints dispatch.WorkerList
	Owner     func(w *dispatch.Worker) string // a planner's name; nil: all are this one's. It may change with another Part only
	Names     []string
}

// ActionKind is the kind of what is to be done.
type ActionKind uint8

// Kinds.
const (
	SendToForwarder ActionKind = iota + 1 // to a forwarder: Session, Envelope
	SendToPeer                            // to another planner: Peer, Envelope; of no matter where there is no connection
	CloseSession                          // the connection of Session, after what was said there
	SetTimer                              // Timer is wanted after After at the latest; an earlier one that was asked for holds
	WatchEndpoints                        // follow the host group from Generation on
	LogLine                               // a line for the operators: Text
	Stopped                               // the planner has stopped; nothing follows
)

// Action is one thing to be done. The messages may be shared by several actions, and are not to be changed.
type Action struct {
	Kind     ActionKind
	Session  SessionID
	Peer     string
	Envelope message.Envelope
	After    time.Duration
	Revision int64
	Text     string
}

// Planner is one planner's. It is used by one goroutine.
type Planner struct {
	config Config
	policy Policy

	now, timerAt time.Duration
	output       []Action
	started      bool
	stopDeadline time.Duration // when it waits no longer; 0: it has not been told to stop
	stopped      bool
	timerLag     time.Duration // for its own timers, of late
	nextTickAt   time.Duration
	ticks        int

	pendingEvents   []dispatch.Event // that the module has not heard of
	deliveredEvents []dispatch.Event
	actions         []dispatch.Action
	policyTimerAt   time.Duration // the module's timer; 0: none
	heartbeats      []heartbeat   // to be answered once the module has taken in what came before

	requestTable
	workerTable
	forwarderTable
	peerTable
	panicState
	statistics
}

type heartbeat struct {
	session  SessionID
	epoch    message.Epoch
	sequence uint64
}

// New returns a planner's book that knows nobody.
func New(conf Config) *Planner {
	d := Defaults()
	conf.MaxOpenRequests, conf.MaxSessions = cmp.Or(conf.MaxOpenRequests, d.MaxOpenRequests), cmp.Or(conf.MaxSessions, d.MaxSessions)
	conf.MinCredit, conf.MaxCredit = cmp.Or(conf.MinCredit, d.MinCredit), cmp.Or(conf.MaxCredit, d.MaxCredit)
	conf.LoadReportInterval, conf.SnapshotInterval = cmp.Or(conf.LoadReportInterval, d.LoadReportInterval), cmp.Or(conf.SnapshotInterval, d.SnapshotInterval)
	conf.MaxSnapshotBytes, conf.StopTimeout = cmp.Or(conf.MaxSnapshotBytes, d.MaxSnapshotBytes), cmp.Or(conf.StopTimeout, d.StopTimeout)
	b := &Planner{config: conf, policy: conf.NewPolicy()}
	b.requestTable = requestTable{requests: map[uint64]*request{}}
	b.workerTable = workerTable{workers: map[uint64]*worker{}, locationByKey: map[locationKey]*location{},
		placements: make([]placement, len(conf.Settings.Classes))}
	b.forwarderTable = forwarderTable{sessions: map[SessionID]*session{}, forwarders: map[string]*forwarder{}, healthChecks: map[uint64]healthCheck{}}
	b.peerEpoch = message.Epoch(conf.Incarnation)
	return b
}

// Step takes in what has happened by now, in order, and appends what is to be done.
func (b *Planner) Step(now time.Duration, ins []Event, dst []Action) []Action {
	b.now, b.output = max(now, b.now), dst
	if !b.started {
		b.started, b.nextTickAt = true, b.now
	}
	b.measureLag()
	for i := range ins {
		b.handle(&ins[i])
	}
	b.tick()
	b.runPolicy()
	for _, q := range b.heartbeats {
		if s := b.sessions[q.session]; s != nil && s.forwarder != nil && s.forwarder.epoch == q.epoch {
			b.sendTo(s.forwarder, &message.HeartbeatReply{Sequence: q.sequence, TimerLag: b.timerLag})
		}
	}
	b.heartbeats = b.heartbeats[:0]
	b.setTimer()
	dst, b.output = b.output, nil
	return dst
}

// measureLag measures how late this planner is for its own timer.
func (b *Planner) measureLag() {
	if b.timerAt > 0 && b.now >= b.timerAt {
		b.timerLag = max(b.timerLag, b.now-b.timerAt)
		b.timerAt = 0
	}
}

func (b *Planner) handle(in *Event) {
	if b.stopped {
		return
	}
	switch in.Kind {
	case SessionOpened:
		b.sessionOpened(in.Session)
	case SessionClosed:
		b.sessionClosed(in.Session)
	case ForwarderMessage:
		if in.Envelope.Message != nil {
			b.receive(in.Session, in.Envelope)
		}
	case PeerConnected:
		b.peerConnected(in.Peer)
	case PeerDisconnected:
		b.peerDisconnected(in.Peer)
	case PeerMessage:
		if in.Envelope.Message != nil {
			b.receiveFromPeer(in.Peer, in.Envelope)
		}
	case EndpointsChanged:
		b.endpointsChanged(in.Endpoints)
	case EndpointSourceChanged:
		b.endpointSourceChanged()
	case PartitionChanged:
		b.partitionChanged(in.Owner)
	case PeersChanged:
		b.peersChanged(in.Names)
	case StopRequested:
		b.stop()
	}
}

// runPolicy has the module decide, and gives its orders. What these bring about at once it hears of in another round.
func (b *Planner) runPolicy() {
	for n := 0; n < maxPolicyIterations && b.stopDeadline == 0 && b.now >= b.backoffUntil; n++ {
		b.flushWorkerUpdates()
		if b.policyTimerAt > 0 && b.policyTimerAt <= b.now {
			b.policyTimerAt = 0
			b.notifyPolicy(dispatch.TimerFired{})
		}
		if len(b.pendingEvents) == 0 {
			return
		}
		b.pendingEvents, b.deliveredEvents = b.deliveredEvents[:0], b.pendingEvents
		if actions, ok := b.moduleStep(b.deliveredEvents); ok {
			b.execute(actions)
		} else {
			b.restartPolicy()
		}
		clear(b.deliveredEvents)
		b.deliveredEvents = b.deliveredEvents[:0]
	}
}

// notifyPolicy is for the module to hear, unless it decides nothing any more.
func (b *Planner) notifyPolicy(e dispatch.Event) {
	if b.stopDeadline == 0 {
		b.pendingEvents = append(b.pendingEvents, e)
	}
}

// setTimer asks for a timer at the next thing that is due.
func (b *Planner) setTimer() {
	if b.stopped {
		return
	}
	next := b.nextTickAt
	if b.policyTimerAt > 0 {
		next = min(next, b.policyTimerAt)
	}
	if len(b.pendingEvents) > 0 {
		next = b.backoffUntil
	}
	if next = max(next, b.now+1); b.timerAt == 0 || next < b.timerAt {
		b.timerAt = next
		b.output = append(b.output, Action{Kind: SetTimer, After: next - b.now})
	}
}

// tick does what is due by time, every so often.
func (b *Planner) tick() {
	if b.now < b.nextTickAt || b.stopped {
		return
	}
	b.nextTickAt = b.now + tickInterval
	b.ticks++
	if b.stopDeadline > 0 {
		b.stopTick()
		return
	}
	b.maintain()
	b.expireTakeovers()
	b.expireAttempts()
	if b.ticks%creditTicks == 0 {
		b.decayPeaks()
		b.assignCredit(false)
	}
	b.sendSnapshots()
	b.sendLoadReports()
	b.transferQueued()
	b.logSummary()
	b.timerLag -= b.timerLag / 8 // half of it lasts for a quarter of a second
}

// stop has every forwarder leave. What was ordered stands; what they ask for from here on is not looked at.
func (b *Planner) stop() {
	if b.stopDeadline > 0 {
		return
	}
	b.stopDeadline = b.now + b.config.StopTimeout
	b.log("stopping: %d forwarders are told to offer their %d queries elsewhere", len(b.connected), b.openCount)
	for _, f := range b.connected {
		b.sendTo(f, &message.Goodbye{})
	}
	for _, f := range b.connected {
		b.closeRequestsOf(f)
	}
	b.pendingEvents, b.policyTimerAt = b.pendingEvents[:0], 0
	b.stopTick()
}

func (b *Planner) stopTick() {
	if len(b.sessions) == 0 || b.now >= b.stopDeadline {
		for _, id := range b.sessionIDs() {
			b.output = append(b.output, Action{Kind: CloseSession, Session: id})
		}
		b.stopped = true
		b.log("stopped, with %d sessions left", len(b.sessions))
		b.output = append(b.output, Action{Kind: Stopped})
	}
}

// send has a message sent in a session of an epoch.
func (b *Planner) send(s SessionID, epoch message.Epoch, m message.Message) {
	b.output = append(b.output, Action{Kind: SendToForwarder, Session: s, Envelope: message.Envelope{Epoch: epoch, Message: m}})
}

// sendTo has a message sent to a forwarder, if that has a session.
func (b *Planner) sendTo(f *forwarder, m message.Message) {
	if f.session != nil {
		b.send(f.session.id, f.epoch, m)
	}
}
