// Package follow decides for a forwarder: with which planner each query is, what of a planner's orders is carried out,
// and what is done when no planner is there. It stands where the decision module stands in a scheduler that is alone
// (ledger.Module): events in, actions out, no I/O, no clock, its chance from one seed.
//
// # What may be relied on
//
//   - An order is carried out if package guard allows it, and only then. What is refused is told to the planner.
//   - A query is with one planner at a time, or with the forwarder's own module, or waits here. Who has it answers for
//     it; the forwarder itself does so at the query's deadline, and before that where nobody could take it in time.
//   - A query that is taken from a planner while their session lives is not offered in that session again: what the
//     planner ordered before it read that is void, and stays so.
//   - Each attempt that a planner has ordered ends in one Ended, in the session in which it was ordered, while the
//     query is that planner's.
//   - All tables are bounded by what the ledger holds, the host group, and Config.
//
// # How it is driven
//
// Hear, Session, Planners and Members only take note. The next Step takes in the ledger's events, then what was noted,
// in order; Pending tells that there is something to step for. Out has what is to be told to planners after a Step.
package forwarder

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/control/validator"
	"valvecove/internal/due"
)

// Policy makes the decisions while no planner is there.
type Policy interface {
	Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action
}

// PlannerSelector says which planners are the better ones. It hears what the forwarder sees of them. *membership.Follower is
// one.
type PlannerSelector interface {
	// PlannersKnown tells of all planners that the forwarder knows, in order.
	PlannersKnown(now time.Duration, planners []string)
	// SessionChanged tells that a planner has taken the forwarder in, or is lost to it: gone, frozen or about to stop.
	SessionChanged(now time.Duration, planner string, up bool)
	// ReplyReceived tells how long a planner took to answer, and how late it says that it is itself.
	ReplyReceived(now time.Duration, planner string, took, late time.Duration)
	// AppendOrder appends planners to dst, the best one first: new queries go there.
	AppendOrder(now time.Duration, dst []string) []string
	// Next is when Order may change by itself; 0: it does not.
	Next() time.Duration
}

// Config is how a forwarder works. Zero spans and counts stand for those of Defaults.
type Config struct {
	Name        string
	Incarnation uint64 // when this process started, Unix time in ns
	Version     int    // told in Hello; a planner whose version differs by more than its last eight bits is not used
	Seed        uint64
	LastEpoch   message.Epoch // sessions are numbered on from here, and from Process; see Last

	StandaloneAfter   time.Duration // without a planner for so long, it decides by itself
	SettleTime        time.Duration // and with one for so long, no more
	HeartbeatInterval time.Duration // planners are asked whether they are there
	SuspectAfter      time.Duration // one that has not answered for so long gets no new queries while there are others
	UnresponsiveAfter time.Duration // and after so long all that it has is taken from it
	CommandTimeout    time.Duration // without a word about a query for so long, a planner may have lost it
	MaxWaiting        int           // queries for which no planner has credit
	MaxSnapshotBytes  int           // bytes
}

// Defaults are what holds where nothing else is said.
func Defaults() Config {
	return Config{StandaloneAfter: time.Second, SettleTime: 250 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
		SuspectAfter: 150 * time.Millisecond, UnresponsiveAfter: 500 * time.Millisecond, CommandTimeout: time.Second, MaxWaiting: 1024,
		MaxSnapshotBytes: 1 << 20}
}

const (
	maxOwnTimerLag          = 20 * time.Millisecond // so late for its own timer a forwarder says nothing of planners
	confirmHeartbeatDelay   = 10 * time.Millisecond // after heads that no planner has confirmed
	transferBackoff         = 20 * time.Millisecond // a query that is handed on and on waits so long, and longer each time
	maxImmediateTransfers   = 2                     // that need no such wait
	returnInterval          = 5 * time.Millisecond  // between two lots that go back to planners
	returnBatch             = 32
	maxDeferred             = 12 // waiting queries that find nobody which are looked past
	maxSessionFailures      = 2  // planners that a query may bring down
	reofferTokensPerRequest = 0.05
	maxReofferTokens        = 10.0
	maxRevokedSessions      = 4
	maxPlanners             = 64
	maxInputs               = 1 << 16
	maxHealthChecks         = 4096
	maxInitialStatuses      = 1024 // told at the beginning of a session
	maxPolicyIterations     = 4    // of one step
	logInterval             = time.Second
)

// Outgoing is a message to a planner.
type Outgoing struct {
	Planner string // its name
	message.Envelope
}

// Forwarder is one forwarder's. It is used by one goroutine.
type Forwarder struct {
	config    Config
	settings  dispatch.Settings
	selector  PlannerSelector
	validator *validator.Validator
	rng       *rand.Rand

	now        time.Duration
	started    bool
	actions    []dispatch.Action
	timerAt    time.Duration // when the ledger's timer is due; 0: it is not set
	lastLateAt time.Duration // when this forwarder was last late itself

	inputs         []input
	sessionsChange bool // among them are some by which planners come and go
	outbox         []Outgoing
	offers         offerPool
	pastAttempts   []message.PastAttempt

	planners      []*plannerLink // by name
	preferred     []*plannerLink // those that have a session, the best one first
	orderNames    []string
	orderStale    bool // order is to be found anew
	lastEpoch     message.Epoch
	knownPlanners int  // planners that the forwarder was told of
	hadPlanner    bool // there has been one

	requests         map[uint64]*request
	freeRequests     []*request
	deadlines        due.Queue[*request]
	waiting          due.Queue[*queueEntry] // for credit, or for a planner at all
	poisonSuspects   due.Queue[*queueEntry] // the same, of those that may have brought a planner down
	returning        due.Queue[*queueEntry] // to go back from the own module to planners
	deferred         []*request
	retryPlacementAt time.Duration // when those are looked at again for reasons of their own; 0: not
	reofferTokens    float64       // queries that may be taken from planners that answer

	healthChecks    map[uint64][]message.Epoch // by worker: who has asked for those that are out
	healthChecksOut int

	subscription
	standalone
	endpointList
	logLimiter
	stats Stats
}

// input is what was noted for the next step.
type input struct {
	kind      inputKind
	at        time.Duration
	planner   string
	connected bool
	envelope  message.Envelope
	names     []string
}

type inputKind uint8

const (
	messageInput inputKind = iota
	sessionInput
	plannersInput
)

// New returns a forwarder that knows nobody. own makes a module that knows nothing, for when no planner is there.
func New(set dispatch.Settings, conf Config, choose PlannerSelector, own func() Policy) *Forwarder {
	d := Defaults()
	conf.StandaloneAfter, conf.SettleTime = cmp.Or(conf.StandaloneAfter, d.StandaloneAfter), cmp.Or(conf.SettleTime, d.SettleTime)
	conf.HeartbeatInterval, conf.SuspectAfter = cmp.Or(conf.HeartbeatInterval, d.HeartbeatInterval), cmp.Or(conf.SuspectAfter, d.SuspectAfter)
	conf.UnresponsiveAfter, conf.CommandTimeout = cmp.Or(conf.UnresponsiveAfter, d.UnresponsiveAfter), cmp.Or(conf.CommandTimeout, d.CommandTimeout)
	conf.MaxWaiting, conf.MaxSnapshotBytes = cmp.Or(conf.MaxWaiting, d.MaxWaiting), cmp.Or(conf.MaxSnapshotBytes,
		d.MaxSnapshotBytes)
	f := &Forwarder{config: conf, settings: set, selector: choose, validator: validator.New(set),
		rng: rand.New(rand.NewPCG(conf.Seed, 0)),
		lastEpoch: max(message.Epoch(conf.Incarnation),
			conf.LastEpoch), requests: map[uint64]*request{}, healthChecks: map[uint64][]message.Epoch{}, reofferTokens: maxReofferTokens}
	f.standalone.newPolicy, f.endpointList.workers = own, map[uint64]dispatch.Worker{}
	return f
}

// LastEpoch is the epoch of the newest session. A follower that takes the place of one that has panicked goes on from there,
// and is told of all connections anew.
func (f *Forwarder) LastEpoch() message.Epoch { return f.lastEpoch }

// ---- What is noted ----

// Receive takes in a message of a planner, and keeps nothing that it points to.
func (f *Forwarder) Receive(now time.Duration, planner string, envelope message.Envelope) {
	if len(f.inputs) >= maxInputs {
		// Nobody sends so much between two steps. The session has missed a message now, and can't be relied on.
		f.stats.Overruns++
		if p := f.findPlanner(planner); p != nil {
			p.overrun = true
		}
		return
	}
	switch m := envelope.Message.(type) {
	case *message.ModelSnapshot:
		f.keepSnapshot(now, planner, envelope.Epoch, m)
		return
	case *message.Goodbye:
		f.sessionsChange = true
	}
	f.inputs = append(f.inputs, input{kind: messageInput, at: now, planner: planner, envelope: envelope.Clone()})
}

// SessionChanged tells that a connection to a planner is there, or was lost.
func (f *Forwarder) SessionChanged(now time.Duration, planner string, up bool) {
	f.inputs = append(f.inputs, input{kind: sessionInput, at: now, planner: planner, connected: up})
	f.sessionsChange = true
}

// SetPlanners tells who is a planner, as far as the forwarder knows. It is to have a connection to each of them.
func (f *Forwarder) SetPlanners(now time.Duration, names []string) {
	names = slices.Clone(names[:min(len(names), maxPlanners)])
	slices.Sort(names)
	f.inputs = append(f.inputs, input{kind: plannersInput, at: now, names: slices.Compact(names)})
}

// HasPending tells that the next Step has something to take in, whatever the ledger has.
func (f *Forwarder) HasPending() bool { return len(f.inputs) > 0 }

// Outbox is what the last Step wants told, in order. It holds until the next one.
func (f *Forwarder) Outbox() []Outgoing { return f.outbox }

// ---- A step ----

// Step takes in what has happened, and returns dst with the actions that it calls for appended.
func (f *Forwarder) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	f.now, f.actions = max(now, f.now), dst
	clear(f.outbox)
	f.outbox = f.outbox[:0]
	f.offers.reset()
	if !f.started {
		f.started, f.plannersLostAt = true, f.now
	}
	f.detectOwnLag()
	for _, e := range events {
		f.observe(e)
	}
	f.processInputs()
	f.checkSessions()
	f.placeWaiting() // before those are given up that nobody takes in time
	for f.deadlines.Len() > 0 && f.deadlines.First().At <= f.now {
		f.checkRequest(f.deadlines.First())
	}
	f.subscribeIfNeeded()
	f.placeWaiting()
	f.runLocalPolicy()
	f.sendHeartbeats()
	f.logRejections()
	f.setTimer()
	dst, f.actions = f.actions, nil
	return dst
}

func (f *Forwarder) emit(a dispatch.Action) { f.actions = append(f.actions, a) }

// detectOwnLag finds out whether this forwarder was late itself. What planners have said meanwhile is yet to be read: they
// have their time from now on.
func (f *Forwarder) detectOwnLag() {
	if f.timerAt == 0 || f.now < f.timerAt {
		return
	}
	if f.now-f.timerAt > maxOwnTimerLag {
		f.lastLateAt = f.now
		for _, p := range f.planners {
			if p.heartbeatAt > 0 {
				p.heartbeatAt, p.ignoreLatency = f.now, true
			}
		}
	}
	f.timerAt = 0
}

// setTimer asks for a timer for what is due next.
func (f *Forwarder) setTimer() {
	next := time.Duration(1<<63 - 1)
	at := func(t time.Duration) {
		if t > 0 && t < next {
			next = t
		}
	}
	if f.deadlines.Len() > 0 {
		at(f.deadlines.First().At)
	}
	for _, p := range f.planners {
		at(f.nextPlannerDeadline(p))
	}
	at(f.retryPlacementAt)
	if t := f.selector.Next(); t > f.now {
		at(t)
	}
	at(f.nextModeChange())
	at(f.nextSubscribe())
	if next = max(next, f.now+1); next < 1<<63-1 && (f.timerAt == 0 || next < f.timerAt) {
		f.timerAt = next
		f.emit(dispatch.SetTimer{After: next - f.now})
	}
}

// processInputs goes through what was noted.
func (f *Forwarder) processInputs() {
	for i := range f.inputs {
		in := &f.inputs[i]
		switch in.kind {
		case messageInput:
			f.receive(in)
		case sessionInput:
			if in.connected {
				f.startSession(f.addPlanner(in.planner))
			} else if p := f.findPlanner(in.planner); p != nil {
				f.loseSession(p)
				f.removePlanner(p)
			}
		case plannersInput:
			f.updatePlanners(in)
		}
	}
	clear(f.inputs)
	f.inputs, f.sessionsChange = f.inputs[:0], false
}
