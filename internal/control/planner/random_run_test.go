package planner

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// Random runs with lost sessions, restarts, joining and leaving planners and poison requests keep these invariants:
//   - Send commands of a request are numbered without gaps. None goes to a worker that is unavailable according to its newest
//     status or is assigned to another planner.
//   - A request receives a final command only while it is offered to the planner, and is transferred at most maxTransfers
//     times.
//   - The sum of credits never exceeds Config.MaxOpenRequests.
//   - The policy receives no event that violates its contract.
//   - All tables are empty after the run.
//   - Repeating the same steps results in the same actions.
func TestRandomRunsKeepInvariants(t *testing.T) {
	sends, transfers, panics, runs := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r := performRandomRun(t)
		sends += r.sends
		transfers += r.transfers
		panics += r.planner.Stats().Panics
		runs++
	})
	t.Logf("%d runs: %d send commands, %d transfers, %d panics", runs, sends, transfers, panics)
	if sends < 10*runs || transfers < runs || panics < runs/10 {
		t.Error("too few send commands, transfers or panics to be a useful test")
	}
}

// FuzzRandomRuns lets the fuzzer choose the random runs.
func FuzzRandomRuns(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(func(t *rapid.T) { performRandomRun(t) }))
}

// randomRun simulates a planner with random forwarders, peers and workers in virtual time.
type randomRun struct {
	t       *rapid.T
	rng     *rand.Rand // for everything but the sizes; rapid draws only those, as its draws would make most faults coincide
	planner *Planner
	config  Config
	now     time.Duration
	timerAt time.Duration // 0 if not set
	events  []Event       // for the next step
	steps   []recordedStep

	forwarders  []*modelForwarder
	connections map[SessionID]*modelConnection
	lastSession SessionID
	closed      map[SessionID]bool // sessions closed by the planner

	workers  []dispatch.Worker               // actual state, whether the planner knows it or not
	revision int64                           // of the endpoint list
	listed   map[uint64]dispatch.Worker      // according to the lists sent to the planner
	statuses map[uint64]message.WorkerStatus // the newest statuses sent to the planner

	peers map[string]bool
	owner []string // by cell, modulo its length

	stops         bool // whether the planner is stopped at the end of the run
	stopped       bool // whether it has emitted Stopped
	noNewRequests bool // set when the run is finishing
	faultInterval int  // mean number of steps between faults

	sends, transfers int
}

// recordedStep is a step with its events and resulting actions.
type recordedStep struct {
	now     time.Duration
	events  []Event
	actions []Action
}

func (r *randomRun) pick(n int) int { return r.rng.IntN(n) }

func (r *randomRun) oneIn(n int) bool { return r.pick(n) == 0 }

func (r *randomRun) randomDuration(longest time.Duration) time.Duration {
	return time.Duration(r.pick(1000)) * longest / 1000
}

func performRandomRun(t *rapid.T) *randomRun {
	r := newRandomRun(t)
	for range rapid.IntRange(100, 600).Draw(t, "steps") {
		for _, f := range r.forwarders {
			if f.connection == nil && r.oneIn(8) {
				f.connect(false)
			}
		}
		if r.oneIn(r.faultInterval) {
			r.injectFault()
		}
		r.step(30 * ms)
	}
	r.finish()
	r.checkEmpty()
	r.checkDeterminism()
	return r
}

func newRandomRun(t *rapid.T) *randomRun {
	draw := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	r := &randomRun{
		t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: time.Hour,
		connections: map[SessionID]*modelConnection{}, closed: map[SessionID]bool{},
		statuses: map[uint64]message.WorkerStatus{}, listed: map[uint64]dispatch.Worker{},
		peers: map[string]bool{}, owner: []string{ownName},
	}
	r.config = Config{
		MaxOpenRequests: 6 + draw("open requests", 60), MinCredit: 1 + draw("min credit", 4),
		MaxCredit: 4 + draw("max credit", 40), MaxSessions: 8,
	}
	r.faultInterval = draw("fault interval", 30) + 1
	r.planner = newTestPlanner(r.config)
	for n := range 1 + draw("forwarders", 4) {
		r.forwarders = append(r.forwarders, newModelForwarder(r, fmt.Sprintf("fwd-%d", n)))
	}
	for n := range 1 + draw("workers", 8) {
		r.workers = append(r.workers, dispatch.Worker{ID: uint64(n + 1), Kind: n % 2, Zone: n % 2, Cell: n / 2, Ready: true})
	}
	r.revision = 1
	r.sendList(dispatch.ListFull)
	return r
}

// finish stops new requests, stops the planner in some runs, closes all connections, and lets everything expire.
func (r *randomRun) finish() {
	r.noNewRequests = true
	r.stops = r.oneIn(3)
	if r.stops {
		r.events = append(r.events, StopRequested{})
	}
	for range 50 {
		r.step(50 * ms)
	}
	for _, f := range r.forwarders {
		if f.connection != nil {
			r.closeConnection(f.connection, true)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.connections)) {
		r.closeConnection(r.connections[id], true)
	}
	for range 80 {
		r.now += time.Second
		r.timerAt = 0
		r.step(0)
	}
}

// checkEmpty checks that the planner has stopped if that was requested, and otherwise that its tables are empty.
func (r *randomRun) checkEmpty() {
	if r.stops {
		if !r.stopped {
			r.t.Fatalf("stop was requested, but the planner has not stopped")
		}
		return
	}
	p := r.planner
	status := p.Status()
	remaining := len(p.forwarders.byName) + len(p.healthChecks.pending) + len(p.endpoints.takeovers) + len(p.workers.tombstones)
	if status.Open+status.Closing+status.Sessions+status.Credit > 0 || status.Slots != 0 || remaining > 0 {
		r.t.Fatalf("not empty after the run: %+v, %d forwarders, %d health checks", status, len(p.forwarders.byName),
			len(p.healthChecks.pending))
	}
	for _, worker := range p.workers.list {
		if !worker.listed {
			r.t.Fatalf("unlisted worker %d was not removed", worker.ID)
		}
	}
	if policy := p.policy.policy.(*contractPolicy); len(policy.jobs) > 0 {
		r.t.Fatalf("the policy still has %d jobs", len(policy.jobs))
	}
}

// checkDeterminism repeats the recorded steps with a new planner, and checks that they result in the same actions.
func (r *randomRun) checkDeterminism() {
	p := newTestPlanner(r.config)
	for _, step := range r.steps {
		if actions := p.Step(step.now, step.events, nil); !reflect.DeepEqual(actions, step.actions) {
			r.t.Fatalf("%v: repeated step results in %v, not %v", step.now, actions, step.actions)
		}
	}
}

// step advances the time, delivers due messages, and runs a step of the planner.
func (r *randomRun) step(longest time.Duration) {
	next := r.now + r.randomDuration(longest)
	if r.timerAt > 0 && r.timerAt < next {
		next = r.timerAt
	}
	r.now = next
	if r.timerAt > 0 && r.timerAt <= r.now {
		r.timerAt = 0
		r.events = append(r.events, TimerFired{})
	}
	r.deliverToForwarders()
	for _, f := range r.forwarders {
		f.runLocalEvents()
	}
	r.deliverToPlanner()
	events := r.events
	r.events = nil
	actions := r.planner.Step(r.now, events, nil)
	r.steps = append(r.steps, recordedStep{r.now, events, actions})
	if len(r.steps) > 20_000 {
		r.t.Fatalf("%v: more than 20000 steps, the latest resulted in %v", r.now, actions)
	}
	for _, action := range actions {
		r.execute(action)
	}
	if err := checkInvariants(r.planner); err != nil {
		r.t.Fatalf("%v: %v", r.now, err)
	}
}

// execute checks and executes an action of the planner.
func (r *randomRun) execute(action Action) {
	if r.stopped {
		r.t.Fatalf("action %T after Stopped", action)
	}
	switch a := action.(type) {
	case SendToForwarder:
		connection := r.connections[a.Session]
		if connection == nil {
			r.t.Fatalf("%v sent in session %d, which has ended", a.Envelope.Message.Kind(), a.Session)
		}
		r.checkMessage(connection, a.Envelope)
		connection.toForwarder = append(connection.toForwarder, delivery{r.arrivalTime(connection.toForwarder), a.Envelope})
	case SendToPeer:
		if !r.peers[a.Peer] {
			r.t.Fatalf("sent to peer %q, to which there is no connection", a.Peer)
		}
	case CloseSession:
		if r.closed[a.Session] {
			r.t.Fatalf("session %d closed twice", a.Session)
		}
		r.closed[a.Session] = true
		if connection := r.connections[a.Session]; connection != nil { // otherwise the other end has closed it
			r.closeConnection(connection, false)
		}
	case SetTimer:
		if at := r.now + a.After; r.timerAt == 0 || at < r.timerAt {
			r.timerAt = at
		}
	case Stopped:
		r.stopped = true
	}
}

// checkMessage checks a message when the planner sends it.
func (r *randomRun) checkMessage(connection *modelConnection, envelope message.Envelope) {
	switch m := envelope.Message.(type) {
	case *message.HandshakeAccept:
		r.checkCredit(connection, envelope.Epoch, m.Credit)
	case *message.CreditUpdate:
		r.checkCredit(connection, envelope.Epoch, m.Credit)
	case *message.SendCommand:
		r.sends++
		worker, listed := r.listed[m.WorkerID]
		if !listed || r.statuses[m.WorkerID].State != message.WorkerUp {
			r.t.Fatalf("send to worker %d, whose newest status is %+v", m.WorkerID, r.statuses[m.WorkerID])
		}
		if owner := r.owner[worker.Cell%len(r.owner)]; owner != ownName {
			r.t.Fatalf("send to worker %d, which is assigned to %s", m.WorkerID, owner)
		}
	case *message.TransferCommand:
		r.transfers++
		if m.Planner != "" && !r.peers[m.Planner] {
			r.t.Fatalf("transfer to planner %q, which is not alive", m.Planner)
		}
	}
}

func (r *randomRun) checkCredit(connection *modelConnection, epoch message.Epoch, credit int) {
	if epoch == connection.epoch {
		connection.credit = credit
	}
	sum := 0
	for _, c := range r.connections {
		sum += c.credit
	}
	if sum > r.config.MaxOpenRequests {
		r.t.Fatalf("sum of credits is %d, maximum %d", sum, r.config.MaxOpenRequests)
	}
}
