package forwarder

import (
	"math"
	"math/rand/v2"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/control/validator"
	"valvecove/internal/deadline"
)

// maxOwnTimerLag is how late a forwarder may be for its own timer and still judge planners by the time that they take.
const maxOwnTimerLag = 20 * time.Millisecond

// Policy makes the decisions in standalone mode.
type Policy interface {
	// Step takes in what has happened by now, and returns dst with its decisions appended.
	Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action
}

// Outgoing is a message for a planner.
type Outgoing struct {
	Planner string // its name
	message.Envelope
}

// Forwarder is the decision module of one forwarder. It is used by one goroutine.
type Forwarder struct {
	config    Config
	settings  dispatch.Settings
	selector  PlannerSelector
	validator *validator.Validator
	rng       *rand.Rand

	now        time.Duration // of the present step
	started    bool          // there has been a step
	actions    []dispatch.Action
	timerAt    time.Duration // when the request table's timer fires; 0: it is not set
	lastLateAt time.Duration // when this forwarder was last late for its own timer

	inputs []input
	// sessionInputsPending tells that some inputs may begin or end a session.
	sessionInputsPending bool
	outbox               []Outgoing
	offers               offerPool

	sessions      []*plannerSession // by name of the planner
	preferred     []*plannerSession // the same, the best planner first
	orderNames    []string          // of planners, as the selector has them
	orderStale    bool              // preferred is to be computed anew
	lastEpoch     message.Epoch
	knownPlanners int  // planners of the last SetPlanners
	hadPlanner    bool // a planner has accepted a session

	requests         map[uint64]*openRequest // by ID
	freeRequests     []*openRequest
	checks           deadline.Queue[*openRequest] // requests by when checkRequest is due
	waiting          requestQueue                 // requests that wait for credit, or for a planner
	poisonCandidates requestQueue                 // the same, of those that may have ended a planner's session
	returning        requestQueue                 // requests that go back from the local policy to planners
	retryPlacementAt time.Duration                // when waiting requests are looked at again though nothing has happened; 0: not
	reofferTokens    float64                      // requests that may be revoked from planners that reply

	mode             mode
	plannerAvailable bool          // a planner accepts requests
	availableSince   time.Duration // when plannerAvailable last changed
	local            localPolicy
	snapshot         modelSnapshot
	position         position

	endpoints    endpointList
	subscription subscription
	healthChecks pendingHealthChecks

	nextRejectionLogAt time.Duration
	stats              Stats
}

// New returns a forwarder without planners, workers or requests. newPolicy makes a policy for standalone mode, which knows
// nothing yet.
func New(settings dispatch.Settings, config Config, selector PlannerSelector, newPolicy func() Policy) *Forwarder {
	config = config.withDefaults()
	return &Forwarder{
		config:        config,
		settings:      settings,
		selector:      selector,
		validator:     validator.New(settings),
		rng:           rand.New(rand.NewPCG(config.Seed, 0)),
		lastEpoch:     max(message.Epoch(config.Incarnation), config.LastEpoch),
		requests:      map[uint64]*openRequest{},
		reofferTokens: maxReofferTokens,
		local:         localPolicy{newPolicy: newPolicy},
		endpoints:     endpointList{workers: map[uint64]dispatch.Worker{}},
		subscription:  newSubscription(settings),
		healthChecks:  pendingHealthChecks{requesters: map[uint64][]message.Epoch{}},
	}
}

// LastEpoch returns the epoch of the newest session. A forwarder that takes the place of one that has panicked numbers its
// sessions from there (Config.LastEpoch), and is to be told of all connections anew.
func (f *Forwarder) LastEpoch() message.Epoch { return f.lastEpoch }

// Outbox returns the messages of the last Step, in order. They are valid until the next Step.
func (f *Forwarder) Outbox() []Outgoing { return f.outbox }

// Step takes in the events of the request table and the recorded inputs, and returns dst with the actions that they call
// for appended.
func (f *Forwarder) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	f.beginStep(now, dst)
	for _, event := range events {
		f.observe(event)
	}
	f.processInputs()
	f.checkSessions()
	f.updateMode()
	f.placeWaiting() // before checkRequests gives up what nobody takes in time
	f.checkRequests()
	if f.subscription.start(f.now) {
		f.emit(dispatch.Subscribe{})
	}
	f.placeWaiting()
	f.runLocalPolicy()
	f.sendHeartbeats()
	f.logRejections()
	f.setTimer()
	dst, f.actions = f.actions, nil
	return dst
}

func (f *Forwarder) beginStep(now time.Duration, dst []dispatch.Action) {
	f.now = max(now, f.now)
	f.actions = dst
	clear(f.outbox)
	f.outbox = f.outbox[:0]
	f.offers.reset()
	if !f.started {
		f.started = true
		f.availableSince = f.now
	}
	f.detectOwnLag()
}

func (f *Forwarder) emit(action dispatch.Action) { f.actions = append(f.actions, action) }

// detectOwnLag finds out whether this forwarder was late for its own timer. What planners have sent meanwhile is yet to be
// read, so their time to reply begins now.
func (f *Forwarder) detectOwnLag() {
	if f.timerAt == 0 || f.now < f.timerAt {
		return
	}
	if f.now-f.timerAt > maxOwnTimerLag {
		f.lastLateAt = f.now
		for _, session := range f.sessions {
			session.heartbeat.restartWait(f.now)
		}
	}
	f.timerAt = 0
}

// setTimer asks for a timer for whatever is due next.
func (f *Forwarder) setTimer() {
	const never = time.Duration(math.MaxInt64)
	next := never
	consider := func(at time.Duration) {
		if at > 0 {
			next = min(next, at)
		}
	}
	if f.checks.Len() > 0 {
		consider(f.checks.First().At)
	}
	for _, session := range f.sessions {
		consider(f.nextSessionCheck(session))
	}
	consider(f.retryPlacementAt)
	if at := f.selector.Next(); at > f.now {
		consider(at)
	}
	consider(f.nextModeCheck())
	consider(f.subscription.nextStart())
	next = max(next, f.now+1)
	if next < never && (f.timerAt == 0 || next < f.timerAt) {
		f.timerAt = next
		f.emit(dispatch.SetTimer{After: next - f.now})
	}
}
