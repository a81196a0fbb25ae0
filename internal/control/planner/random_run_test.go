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

// Any order of messages, sessions that end and come again, processes that die, planners that come and go, poison
// requests: send commands are numbered without a gap, none goes to a worker that the newest status makes unavailable or
// that is another planner's, a request gets one final command at a time and is transferred twice at most, credits never
// exceed what there is, the policy receives no event that violates its contract, and in the end nothing is left. The
// same run once more has the same results.
func TestRandomRuns(t *testing.T) {
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
		t.Error("the runs see too little")
	}
}

// FuzzRandomRuns has the fuzzer choose the runs.
func FuzzRandomRuns(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(func(t *rapid.T) { performRandomRun(t) }))
}

// randomRun is a planner with forwarders, peers and workers around it, in virtual time. All of it is random.
type randomRun struct {
	t       *rapid.T
	rng     *rand.Rand // for all but how much there is of everything: rapid would have nearly all of it happen at once
	planner *Planner
	config  Config
	now     time.Duration
	timerAt time.Duration // 0: none
	events  []Event       // of the next step
	steps   []recordedStep

	forwarders  []*modelForwarder
	connections map[SessionID]*modelConnection
	lastSession SessionID
	closed      map[SessionID]bool // by the planner

	workers  []dispatch.Worker               // as they are
	revision int64                           // of the endpoint list
	listed   map[uint64]dispatch.Worker      // as the planner was notified
	statuses map[uint64]message.WorkerStatus // the newest of which the planner was notified

	peers map[string]bool
	owner []string // by cell

	stops         bool
	stopped       bool
	quiet         bool // nothing new is begun
	faultInterval int  // steps between two faults, about

	sends, transfers int
}

// recordedStep is a step with its results.
type recordedStep struct {
	now     time.Duration
	events  []Event
	actions []Action
}

func (r *randomRun) pick(n int) int { return r.rng.IntN(n) }

func (r *randomRun) oneIn(n int) bool { return r.pick(n) == 0 }

func (r *randomRun) span(longest time.Duration) time.Duration {
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
			r.fault()
		}
		r.step(30 * ms)
	}
	r.finish()
	r.checkEmpty()
	r.repeat()
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

// finish begins nothing new, stops the planner in some runs, ends all connections, and lets everything expire.
func (r *randomRun) finish() {
	r.quiet = true
	r.stops = r.oneIn(3)
	if r.stops {
		r.events = append(r.events, StopRequested{})
	}
	for range 50 {
		r.step(50 * ms)
	}
	for _, f := range r.forwarders {
		if f.connection != nil {
			r.cut(f.connection, true)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.connections)) {
		r.cut(r.connections[id], true)
	}
	for range 80 {
		r.now += time.Second
		r.timerAt = 0
		r.step(0)
	}
}

// checkEmpty checks that nothing is left.
func (r *randomRun) checkEmpty() {
	if r.stops {
		if !r.stopped {
			r.t.Fatalf("it was told to stop, and has not")
		}
		return
	}
	p := r.planner
	status := p.Status()
	remaining := len(p.forwarders.byName) + len(p.healthChecks.pending) + len(p.endpoints.takeovers) + len(p.workers.tombstones)
	if status.Open+status.Closing+status.Sessions+status.Credit > 0 || status.Slots != 0 || remaining > 0 {
		r.t.Fatalf("left in the end: %+v, %d forwarders, %d health checks", status, len(p.forwarders.byName),
			len(p.healthChecks.pending))
	}
	for _, worker := range p.workers.list {
		if !worker.listed {
			r.t.Fatalf("worker %d is still known", worker.ID)
		}
	}
	if policy := p.policy.policy.(*contractPolicy); len(policy.jobs) > 0 {
		r.t.Fatalf("the policy still has %d jobs", len(policy.jobs))
	}
}

// repeat performs the same steps once more.
func (r *randomRun) repeat() {
	p := newTestPlanner(r.config)
	for _, step := range r.steps {
		if actions := p.Step(step.now, step.events, nil); !reflect.DeepEqual(actions, step.actions) {
			r.t.Fatalf("%v: the same again gives %v, not %v", step.now, actions, step.actions)
		}
	}
}

// step lets time pass, delivers what is due, and has the planner step.
func (r *randomRun) step(longest time.Duration) {
	next := r.now + r.span(longest)
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
		f.work()
	}
	r.deliverToPlanner()
	events := r.events
	r.events = nil
	actions := r.planner.Step(r.now, events, nil)
	r.steps = append(r.steps, recordedStep{r.now, events, actions})
	if len(r.steps) > 20_000 {
		r.t.Fatalf("%v: it steps on and on, and gave %v", r.now, actions)
	}
	for _, action := range actions {
		r.carryOut(action)
	}
	if err := checkInvariants(r.planner); err != nil {
		r.t.Fatalf("%v: %v", r.now, err)
	}
}

// carryOut does what the planner wants done.
func (r *randomRun) carryOut(action Action) {
	if r.stopped {
		r.t.Fatalf("%T after it has stopped", action)
	}
	switch a := action.(type) {
	case SendToForwarder:
		connection := r.connections[a.Session]
		if connection == nil {
			r.t.Fatalf("%v sent in session %d, which has ended", a.Envelope.Message.Kind(), a.Session)
		}
		r.checkMessage(connection, a.Envelope)
		connection.toForwarder = append(connection.toForwarder, delivery{r.later(connection.toForwarder), a.Envelope})
	case SendToPeer:
		if !r.peers[a.Peer] {
			r.t.Fatalf("sent to peer %q, to which there is no connection", a.Peer)
		}
	case CloseSession:
		if r.closed[a.Session] {
			r.t.Fatalf("session %d closed twice", a.Session)
		}
		r.closed[a.Session] = true
		if connection := r.connections[a.Session]; connection != nil { // else it has ended by itself just then
			r.cut(connection, false)
		}
	case SetTimer:
		if at := r.now + a.After; r.timerAt == 0 || at < r.timerAt {
			r.timerAt = at
		}
	case Stopped:
		r.stopped = true
	}
}

// checkMessage checks a message at the moment at which the planner sends it.
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
			r.t.Fatalf("send to worker %d, of which the newest status is %+v", m.WorkerID, r.statuses[m.WorkerID])
		}
		if owner := r.owner[worker.Cell%len(r.owner)]; owner != ownName {
			r.t.Fatalf("send to worker %d, which is %s's", m.WorkerID, owner)
		}
	case *message.TransferCommand:
		r.transfers++
		if m.Planner != "" && !r.peers[m.Planner] {
			r.t.Fatalf("transfer to %q, which is not alive", m.Planner)
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
		r.t.Fatalf("credits come to %d of %d", sum, r.config.MaxOpenRequests)
	}
}
