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

// settlingTime is the time between the last event of a run and its end, in which all requests end.
const settlingTime = 4 * time.Second

// environment is a forwarder among planners, workers and clients that behave at random. It checks the rules from outside: by
// what is sent, what ends, and the responses to clients.
type environment struct {
	*harness
	rng      *rand.Rand
	settings dispatch.Settings
	stopped  bool // no more events are scheduled

	workers   []requests.Endpoint
	revision  int64                           // of the endpoint list
	listed    map[uint64]requests.Endpoint    // the list that the forwarder has
	statuses  map[uint64]message.WorkerStatus // the newest that planners sent
	statusAt  map[uint64]time.Duration        // and when
	faultless bool                            // workers and clients have no faults, and none disconnects

	requestsByCall  map[string]*checkedRequest
	requestsByID    map[uint64]*checkedRequest
	lastID          uint64
	arrivalInterval time.Duration // between two requests, at most
	minRemaining    time.Duration // of a request when it arrives

	connections     []*connection
	onWorkerChanged func(endpoint requests.Endpoint)

	offers     []Outgoing // of this step
	sent       int        // attempts
	stats      map[string]int
	violations []string // of the rules
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
func (env *environment) randomSettings() dispatch.Settings {
	settings := dispatch.Settings{
		Replicas:           1,
		AttemptLimit:       1 + env.rng.IntN(4),
		Hedging:            env.rng.IntN(2) == 0,
		Cancellation:       env.rng.IntN(2) == 0,
		HealthChecks:       env.rng.IntN(2) == 0,
		StartNotifications: true,
		MaxRetryAfter:      time.Second,
		ConnectTimeout:     50 * millisecond,
		PollInterval:       4 * time.Second,
		MustSubscribe:      env.rng.IntN(2) == 0,
	}
	for range 1 + env.rng.IntN(4) {
		class := dispatch.Class{
			LatencyObjective:    env.randomDuration(50, 500),
			ObjectiveStretch:    1,
			ClientTimeout:       2 * time.Second,
			PriorityWeight:      1,
			Idempotency:         dispatch.Idempotency(env.rng.IntN(3)),
			DeduplicationScope:  dispatch.DeduplicationScope(env.rng.IntN(3)),
			DeduplicationWindow: env.randomDuration(100, 1000),
		}
		if env.rng.IntN(4) == 0 {
			class.Kinds = []int{env.rng.IntN(3)}
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings
}

// randomDuration draws a duration, in ms.
func (env *environment) randomDuration(from, to int) time.Duration {
	return time.Duration(from)*millisecond + time.Duration(env.rng.Int64N(int64(to-from)*int64(millisecond)))
}

// begin starts the forwarder, with all planners known.
func (env *environment) begin() {
	env.start(requests.EndpointList{})
	env.sendFullList()
	names := []string{}
	for _, conn := range env.connections {
		names = append(names, conn.name)
	}
	env.forwarder.SetPlanners(names)
	env.scheduleArrival()
	if !env.faultless {
		env.scheduleListChange()
	}
}

// run advances the time in small steps, then has all requests end, and checks that nothing is left of them.
func (env *environment) run(duration time.Duration) {
	end := env.now + duration
	for env.now < end && len(env.violations) == 0 {
		env.runUntil(env.now + millisecond)
	}
	env.stopped = true
	const interval = 100 * millisecond
	for range settlingTime / interval {
		env.runUntil(env.now + interval)
	}
	for _, id := range slices.Sorted(maps.Keys(env.requestsByID)) {
		request := env.requestsByID[id]
		if len(request.responses) == 0 && !request.disconnected {
			env.violation("%s has no response", request.name)
		}
	}
	env.checkNothingLeft()
	env.addStats()
}

// checkNothingLeft checks that the forwarder remembers no request any more.
func (env *environment) checkNothingLeft() {
	forwarder := env.forwarder
	stats := forwarder.Stats()
	open := env.table.OpenCount()
	validated := forwarder.validator.RequestCount()
	if open != 0 || stats.Open+stats.Waiting+stats.Local != 0 || validated != 0 ||
		forwarder.checks.queue.Len()+forwarder.queues.returning.Len() != 0 {
		env.violation("something is left: %+v, %d in the request table, %d in the validator", stats, open, validated)
	}
	for _, session := range forwarder.planners.all() {
		if len(session.requests) > 0 || session.poisonCandidate != nil {
			env.violation("%s still has %d requests", session.planner, len(session.requests))
		}
	}
	if forwarder.local.policy != nil && forwarder.mode.mode != modeStandalone {
		env.violation("the local policy is kept without a request")
	}
}

// addStats adds the counts of the run.
func (env *environment) addStats() {
	stats := env.forwarder.Stats()
	for reason := range message.ReasonCount {
		env.stats["commands rejected as "+reason.String()] += env.forwarder.validator.RejectedCount(reason)
	}
	env.stats["standalone"] += stats.Standalone
	env.stats["poison"] += stats.Poison
	env.stats["revoked"] += stats.Revoked
	env.stats["unresponsive"] += stats.Unresponsive
	env.stats["reoffered"] += stats.Reoffered
	env.stats["transfers"] += stats.Transfers
	env.stats["expired"] += stats.Expired
	env.stats["unplaced"] += stats.Unplaced
	env.stats["queue full"] += stats.QueueFull
	env.stats["sent"] += env.sent
}

// violation records that a rule is broken.
func (env *environment) violation(format string, args ...any) {
	env.violations = append(env.violations, fmt.Sprintf("%v: ", env.now-startTime)+fmt.Sprintf(format, args...))
}

// scheduleArrival has a request arrive later, and then the next one.
func (env *environment) scheduleArrival() {
	env.after(env.randomDuration(1, int(env.arrivalInterval/millisecond)), func() {
		if env.stopped {
			return
		}
		env.arrive()
		env.scheduleArrival()
	})
}

// arrive has a request arrive. Some clients disconnect before they have a response.
func (env *environment) arrive() {
	env.lastID++
	class := env.rng.IntN(len(env.settings.Classes))
	job := dispatch.Job{
		Class:     class,
		Remaining: env.minRemaining + env.randomDuration(30, 1800),
		Slots:     1,
		Hint:      env.randomDuration(0, 100),
		Key:       env.lastID % 5,
	}
	request := &checkedRequest{class: &env.settings.Classes[class], deadline: env.now + job.Remaining}
	request.client = env.admit("q"+strconv.FormatUint(env.lastID, 10), job)
	env.requestsByCall[request.name] = request
	env.requestsByID[request.request.ID] = request
	if env.rng.IntN(15) == 0 && !env.faultless {
		env.after(env.randomDuration(0, 500), func() {
			if len(request.responses) == 0 {
				request.disconnected = true
			}
			env.table.ClientDisconnected(request.request)
		})
	}
}
