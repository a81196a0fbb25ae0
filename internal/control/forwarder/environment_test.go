package forwarder

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/requests"
)

// settlingTime is the time after the last event of a run in which all requests must end.
const settlingTime = 4 * time.Second

// environment is a forwarder with planners, workers and clients that behave at random. It checks the forwarder's rules from the
// outside: by the messages and attempts sent, the reported ends of attempts, and the responses to clients.
type environment struct {
	*harness
	rng      *rand.Rand
	settings dispatch.Settings
	stopped  bool // no more events are scheduled

	workers   []requests.Endpoint
	revision  int64                           // of the endpoint list
	listed    map[uint64]requests.Endpoint    // the endpoint list as sent to the forwarder
	statuses  map[uint64]message.WorkerStatus // by worker: the newest status that planners sent
	statusAt  map[uint64]time.Duration        // by worker: when that status was received
	faultless bool                            // workers do not fail, clients do not disconnect, the list does not change

	requestsByCall  map[string]*checkedRequest
	requestsByID    map[uint64]*checkedRequest
	lastID          uint64
	arrivalInterval time.Duration // maximum time between two arrivals
	minRemaining    time.Duration // minimum time from a request's arrival to its deadline

	connections     []*connection
	onWorkerChanged func(endpoint requests.Endpoint)

	offers     []Outgoing // offers of the current step
	sent       int        // number of attempts sent
	stats      map[string]int
	violations []string // descriptions of broken rules
}

// newEnvironment returns an environment with workers and clients, without planners.
func newEnvironment(t *testing.T, seed uint64, selector PlannerSelector) *environment {
	t.Helper()
	env := &environment{
		rng:             rand.New(rand.NewPCG(seed, 21)),
		listed:          map[uint64]requests.Endpoint{},
		statuses:        map[uint64]message.WorkerStatus{},
		statusAt:        map[uint64]time.Duration{},
		requestsByCall:  map[string]*checkedRequest{},
		requestsByID:    map[uint64]*checkedRequest{},
		arrivalInterval: 25 * millisecond,
		stats:           map[string]int{},
	}
	env.settings = env.randomSettings()
	config := Config{
		Seed:            seed,
		MaxWaiting:      4 + env.rng.IntN(40),
		StandaloneAfter: env.randomDuration(50, 800),
	}
	newPolicy := func() Policy { return dispatch.New(env.settings, seed) }
	env.harness = newHarness(env.settings, config, selector, newPolicy)
	for n := range 4 + env.rng.IntN(5) {
		env.workers = append(env.workers, requests.Endpoint{
			ID:          "w" + strconv.Itoa(n),
			Addr:        "a",
			Lifecycle:   "up",
			Cell:        n % 2,
			Zone:        "z" + strconv.Itoa(n%3),
			MachineType: "k" + strconv.Itoa(n%3),
			StartedAtMs: (startTime - time.Hour).Milliseconds(),
		})
	}
	env.onStart = env.attemptStarted
	env.onAbandon = env.attemptAbandoned
	env.onResponse = env.checkResponse
	env.onMessage = env.messageSent
	env.onCheckHealth = env.answerHealthCheck
	env.onCloseIdle = func(uint64) {}
	env.onStep = env.checkOffers
	env.onWatch = env.answerWatch
	return env
}

// randomSettings draws the settings of the platform.
func (e *environment) randomSettings() dispatch.Settings {
	settings := dispatch.Settings{
		Replicas:           1,
		AttemptLimit:       1 + e.rng.IntN(4),
		Hedging:            e.rng.IntN(2) == 0,
		Cancellation:       e.rng.IntN(2) == 0,
		HealthChecks:       e.rng.IntN(2) == 0,
		StartNotifications: true,
		MaxRetryAfter:      time.Second,
		ConnectTimeout:     50 * millisecond,
		PollInterval:       4 * time.Second,
		MustSubscribe:      e.rng.IntN(2) == 0,
	}
	for range 1 + e.rng.IntN(4) {
		class := dispatch.Class{
			LatencyObjective:    e.randomDuration(50, 500),
			ObjectiveStretch:    1,
			ClientTimeout:       2 * time.Second,
			PriorityWeight:      1,
			Idempotency:         dispatch.Idempotency(e.rng.IntN(3)),
			DeduplicationScope:  dispatch.DeduplicationScope(e.rng.IntN(3)),
			DeduplicationWindow: e.randomDuration(100, 1000),
		}
		if e.rng.IntN(4) == 0 {
			class.Kinds = []int{e.rng.IntN(3)}
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings
}

// randomDuration draws a duration between from and to, in ms.
func (e *environment) randomDuration(from, to int) time.Duration {
	return time.Duration(from)*millisecond + time.Duration(e.rng.Int64N(int64(to-from)*int64(millisecond)))
}

// begin starts the forwarder with all workers listed and all planners known.
func (e *environment) begin() {
	e.start(requests.EndpointList{})
	e.sendFullList()
	names := []string{}
	for _, conn := range e.connections {
		names = append(names, conn.name)
	}
	e.forwarder.SetPlanners(names)
	e.scheduleArrival()
	if !e.faultless {
		e.scheduleListChange()
	}
}

// run advances the time in small steps, then waits until all requests have ended, and checks that no state of them is left.
func (e *environment) run(duration time.Duration) {
	end := e.now + duration
	for e.now < end && len(e.violations) == 0 {
		e.runUntil(e.now + millisecond)
	}
	e.stopped = true
	const interval = 100 * millisecond
	for range settlingTime / interval {
		e.runUntil(e.now + interval)
	}
	for _, id := range slices.Sorted(maps.Keys(e.requestsByID)) {
		request := e.requestsByID[id]
		if len(request.responses) == 0 && !request.disconnected {
			e.violation("%s has no response", request.name)
		}
	}
	e.checkNothingLeft()
	e.addStats()
}

// checkNothingLeft checks that the forwarder keeps no state of any request.
func (e *environment) checkNothingLeft() {
	forwarder := e.forwarder
	stats := forwarder.Stats()
	open := e.table.OpenCount()
	validated := forwarder.validator.RequestCount()
	if open != 0 || stats.Open+stats.Waiting+stats.Local != 0 || validated != 0 ||
		forwarder.checks.queue.Len()+forwarder.queues.returning.Len() != 0 {
		e.violation("requests are left at the end: %+v, %d in the request table, %d in the validator", stats, open, validated)
	}
	for _, session := range forwarder.planners.all() {
		if len(session.requests) > 0 || session.poisonCandidate != nil {
			e.violation("%s still has %d requests", session.planner, len(session.requests))
		}
	}
	if forwarder.local.policy != nil && forwarder.mode.mode != modeStandalone {
		e.violation("the local policy still runs outside standalone mode without requests")
	}
}

// addStats adds the forwarder's counters to the statistics of the run.
func (e *environment) addStats() {
	stats := e.forwarder.Stats()
	for reason := range message.ReasonCount {
		e.stats["commands rejected as "+reason.String()] += e.forwarder.validator.RejectedCount(reason)
	}
	e.stats["standalone"] += stats.Standalone
	e.stats["poison"] += stats.Poison
	e.stats["revoked"] += stats.Revoked
	e.stats["unresponsive"] += stats.Unresponsive
	e.stats["reoffered"] += stats.Reoffered
	e.stats["transfers"] += stats.Transfers
	e.stats["expired"] += stats.Expired
	e.stats["unplaced"] += stats.Unplaced
	e.stats["queue full"] += stats.QueueFull
	e.stats["sent"] += e.sent
}

// violation records that a rule is broken.
func (e *environment) violation(format string, args ...any) {
	e.violations = append(e.violations, fmt.Sprintf("%v: ", e.now-startTime)+fmt.Sprintf(format, args...))
}

// scheduleArrival schedules the next arrival of a request, which in turn schedules the one after it.
func (e *environment) scheduleArrival() {
	e.after(e.randomDuration(1, int(e.arrivalInterval/millisecond)), func() {
		if e.stopped {
			return
		}
		e.arrive()
		e.scheduleArrival()
	})
}

// arrive admits a request. Some clients disconnect before they get a response.
func (e *environment) arrive() {
	e.lastID++
	class := e.rng.IntN(len(e.settings.Classes))
	job := dispatch.Job{
		Class:     class,
		Remaining: e.minRemaining + e.randomDuration(30, 1800),
		Slots:     1,
		Hint:      e.randomDuration(0, 100),
		Key:       e.lastID % 5,
	}
	request := &checkedRequest{class: &e.settings.Classes[class], deadline: e.now + job.Remaining}
	request.client = e.admit("q"+strconv.FormatUint(e.lastID, 10), job)
	e.requestsByCall[request.name] = request
	e.requestsByID[request.request.ID] = request
	if e.rng.IntN(15) == 0 && !e.faultless {
		e.after(e.randomDuration(0, 500), func() {
			if len(request.responses) == 0 {
				request.disconnected = true
			}
			e.table.ClientDisconnected(request.request)
		})
	}
}
