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

const millisecond = time.Millisecond

// behavior is how a planner of a random play behaves.
type behavior struct {
	errorPercent       int  // of a hundred orders, so many are wrong
	sendsStale         bool // frozen, it says all that it had thought of before it reads on
	sendsFalseStatuses bool // it says things about worker nodes that are not so
	losesOffers        bool // it loses some heads
}

// environment is a forwarder among planners, worker nodes and clients that are drawn at random, with a referee that knows the
// rules from the outside: by what is carried, ended and answered.
type environment struct {
	*harness
	t               *testing.T
	rng             *rand.Rand
	settings        dispatch.Settings
	stopped         bool // no more is to happen
	workers         []requests.Endpoint
	revision        int64
	listed          map[uint64]requests.Endpoint    // as the forwarder was told
	statuses        map[uint64]message.WorkerStatus // the newest that it heard
	statusAt        map[uint64]time.Duration
	byCall          map[string]*checkedRequest
	byID            map[uint64]*checkedRequest
	lastID          uint64
	connections     []*connection
	arrivalInterval time.Duration             // a query comes, at most
	minRemaining    time.Duration             // of a query
	onWorkerChanged func(h requests.Endpoint) // at a worker node
	faultless       bool                      // worker nodes do what they are told, and stay
	offers          []Outgoing                // of this step
	sent            int
	stats           map[string]int
	violations      []string
}

// checkedRequest is a query as the referee knows it.
type checkedRequest struct {
	*client
	class         *dispatch.Class
	deadline      time.Duration
	disconnected  bool
	attempts      []*checkedAttempt
	assignedEpoch message.Epoch // the session that it was offered in last; 0: none
}

type checkedAttempt struct {
	attempt     *requests.Attempt
	worker      uint64
	cell, zone  string
	sentAt      time.Duration
	ended       bool
	notExecuted bool // it is proven that it did not run
	recalled    bool // its query was over before its last byte was written
}

func (w *environment) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now-startTime)+fmt.Sprintf(format, args...))
}

// newEnvironment is one of nodes and clients, without planners.
func newEnvironment(t *testing.T, seed uint64, selector PlannerSelector) *environment {
	rng := rand.New(rand.NewPCG(seed, 21))
	w := &environment{t: t, rng: rng, listed: map[uint64]requests.Endpoint{}, statuses: map[uint64]message.WorkerStatus{},
		statusAt: map[uint64]time.Duration{}, byCall: map[string]*checkedRequest{}, byID: map[uint64]*checkedRequest{},
		stats: map[string]int{}, arrivalInterval: 25 * millisecond}
	w.settings = dispatch.Settings{Replicas: 1, AttemptLimit: 1 + rng.IntN(4), Hedging: rng.IntN(2) == 0,
		Cancellation: rng.IntN(2) == 0, HealthChecks: rng.IntN(2) == 0, StartNotifications: true, MaxRetryAfter: time.Second,
		ConnectTimeout: 50 * millisecond, PollInterval: 4 * time.Second, MustSubscribe: rng.IntN(2) == 0}
	for range 1 + rng.IntN(4) {
		c := dispatch.Class{LatencyObjective: w.randomDuration(50, 500), ObjectiveStretch: 1, ClientTimeout: 2 * time.Second, PriorityWeight: 1,
			Idempotency: dispatch.Idempotency(rng.IntN(3)), DeduplicationScope: dispatch.DeduplicationScope(rng.IntN(3)), DeduplicationWindow: w.randomDuration(100, 1000)}
		if rng.IntN(4) == 0 {
			c.Kinds = []int{rng.IntN(3)}
		}
		w.settings.Classes = append(w.settings.Classes, c)
	}
	config := Config{Seed: seed, MaxWaiting: 4 + rng.IntN(40), StandaloneAfter: w.randomDuration(50, 800)}
	w.harness = newHarness(w.settings, config, selector, func() Policy { return dispatch.New(w.settings, seed) })
	for n := range 4 + rng.IntN(5) {
		w.workers = append(w.workers, requests.Endpoint{ID: "w" + strconv.Itoa(n), Addr: "a", Lifecycle: "up", Cell: n % 2,
			Zone: "z" + strconv.Itoa(n%3), MachineType: "k" + strconv.Itoa(n%3),
			StartedAtMs: startTime.Milliseconds() - 3600000})
	}
	w.onStart, w.onAbandon, w.onResponse, w.onMessage = w.checkSend, w.abandoned, w.checkResponse, w.messageSent
	w.onCheckHealth = func(worker uint64) { w.after(w.randomDuration(0, 20), func() { w.table.HealthChecked(worker, nil) }) }
	w.onCloseIdle, w.onStep = func(uint64) {}, w.checkOffers
	w.onWatch = func(int64) {
		w.after(w.randomDuration(0, 30), func() {
			if w.rng.IntN(4) == 0 && !w.faultless {
				w.table.DiscoveryFailed()
			} else {
				w.updateList(true)
			}
		})
	}
	return w
}

// start begins a play.
func (w *environment) begin() {
	w.harness.start(requests.EndpointList{})
	w.updateList(true)
	names := []string{}
	for _, p := range w.connections {
		names = append(names, p.name)
	}
	w.forwarder.SetPlanners(names)
	w.scheduleArrival()
	if !w.faultless {
		w.scheduleListChange()
	}
}

// connection is a planner as the world sees it: a connection, and what the forwarder was told on it. Who sits there reads.
type connection struct {
	environment *environment
	name        string
	onMessage   func(e message.Envelope)

	generation   int                     // counts connections; what belongs to another one is lost
	established  bool                    // there is one
	openEpoch    message.Epoch           // as the forwarder has it; 0: none, or it stops
	newestEpoch  message.Epoch           // the newest on this connection
	accepted     bool                    // and it was taken in
	maxCredit    int                     // that it was told
	reportedEnds map[uint64]map[int]bool // attempts whose end was told, by query, since its head
	frozen       bool
	inbox        []message.Envelope // not read, being frozen
}

func (p *connection) connect() {
	p.generation++
	p.established, p.reportedEnds, p.inbox = true, map[uint64]map[int]bool{}, nil
	p.environment.forwarder.SessionChanged(p.name, true)
}

func (p *connection) disconnect() {
	if !p.established {
		return
	}
	p.established, p.accepted, p.newestEpoch = false, false, 0
	p.generation++
	p.environment.endAssignments(p)
	p.environment.forwarder.SessionChanged(p.name, false)
}

const transitTime = 500 * time.Microsecond

// deliver is a message that leaves the forwarder for it.
func (p *connection) deliver(e message.Envelope) {
	if _, ok := e.Message.(*message.Handshake); ok {
		p.openEpoch, p.newestEpoch, p.accepted, p.maxCredit = e.Epoch, e.Epoch, false, 0
	}
	conn := p.generation
	p.environment.after(transitTime, func() {
		switch {
		case p.generation != conn:
		case p.frozen:
			p.inbox = append(p.inbox, e)
		default:
			p.onMessage(e)
		}
	})
}

// send is one of its own.
func (p *connection) send(e message.Envelope) {
	conn := p.generation
	p.environment.after(transitTime, func() {
		if p.generation == conn {
			p.environment.messageReceived(p, e)
		}
	})
}

// randomDuration draws a span.
func (w *environment) randomDuration(from, to int) time.Duration {
	return time.Duration(from)*millisecond + time.Duration(w.rng.Int64N(int64(to-from)*int64(millisecond)))
}

// ---- Clients ----

func (w *environment) scheduleArrival() {
	w.after(w.randomDuration(1, int(w.arrivalInterval/millisecond)), func() {
		if w.stopped {
			return
		}
		w.lastID++
		class := w.rng.IntN(len(w.settings.Classes))
		job := dispatch.Job{Class: class, Remaining: w.minRemaining + w.randomDuration(30, 1800), Slots: 1, Hint: w.randomDuration(0, 100), Key: w.lastID % 5}
		a := w.admit("q"+strconv.FormatUint(w.lastID, 10), job)
		j := &checkedRequest{client: a, class: &w.settings.Classes[class], deadline: w.now + job.Remaining}
		w.byCall[a.name], w.byID[a.request.ID] = j, j
		if w.rng.IntN(15) == 0 && !w.faultless {
			w.after(w.randomDuration(0, 500), func() {
				if len(a.responses) == 0 {
					j.disconnected = true
				}
				w.table.ClientDisconnected(a.request)
			})
		}
		w.scheduleArrival()
	})
}

func (w *environment) checkResponse(a *client, what string, _ time.Duration) {
	j := w.byCall[a.name]
	if j == nil { // at once, within take
		w.after(0, func() { w.checkResponse(a, what, 0) })
		return
	}
	w.stats[what]++
	if len(a.responses) > 1 {
		w.violation("%s has a second answer", a.name)
	}
	if j.disconnected {
		w.violation("%s is answered, and its client has gone", a.name)
	}
	if w.now > j.deadline {
		w.violation("%s is answered %v late", a.name, w.now-j.deadline)
	}
	harmless := j.class.Idempotency == dispatch.Idempotent || j.class.Idempotency == dispatch.IdempotentWithKey && j.class.DeduplicationScope == dispatch.ScopeAll
	if what == "refused" && !harmless && slices.ContainsFunc(j.attempts, func(t *checkedAttempt) bool { return !t.notExecuted }) {
		w.violation("%s is refused, though it may have run", a.name)
	}
}

// ---- Worker nodes ----

func (w *environment) checkSend(a *requests.Attempt) {
	j, host := w.byID[a.Request.ID], w.listed[a.Worker]
	w.sent++
	if len(j.responses) > 0 || j.disconnected {
		w.violation("%s is sent after its end", j.name)
	}
	if len(j.attempts) >= w.settings.AttemptLimit {
		w.violation("%s is sent %d times", j.name, len(j.attempts)+1)
	}
	if host.Lifecycle != "up" {
		w.violation("%s is sent to %s, which is %q by the own list", j.name, host.ID, host.Lifecycle)
	}
	if x, ok := w.statuses[a.Worker]; ok && x.State != message.WorkerUp && w.statusAt[a.Worker] < w.now {
		own := message.WorkerStatus{StartedMs: host.StartedAtMs, Revision: w.revisionOf(host)}
		if !own.Supersedes(x) {
			w.violation("%s is sent to %s, which drains by the newest word", j.name, host.ID)
		}
	}
	if j.class.Kinds != nil && host.MachineType != "k"+strconv.Itoa(j.class.Kinds[0]) {
		w.violation("%s is sent to a %s", j.name, host.MachineType)
	}
	zone, cell := host.Zone, strconv.Itoa(host.Cell)
	for _, t := range j.attempts {
		if !t.ended && t.worker == a.Worker {
			w.violation("%s is sent twice to %s", j.name, host.ID)
		}
		if !t.ended && !w.settings.Hedging {
			w.violation("%s has a second copy", j.name)
		}
		if t.notExecuted || j.class.Idempotency == dispatch.Idempotent {
			continue
		}
		if j.class.Idempotency == dispatch.NonIdempotent || j.class.DeduplicationScope == dispatch.ScopeCell && t.cell != cell ||
			j.class.DeduplicationScope == dispatch.ScopeZone && t.zone != zone || w.now-t.sentAt >= j.class.DeduplicationWindow {
			w.violation("%s of %+v is sent to %s, though it may have run at %x, %v ago", j.name, *j.class, host.ID,
				t.worker, w.now-t.sentAt)
		}
	}
	t := &checkedAttempt{attempt: a, worker: a.Worker, cell: cell, zone: zone, sentAt: w.now}
	j.attempts = append(j.attempts, t)
	w.runAttempt(t, host.ID)
}

// runAttempt is what becomes of an attempt at its worker node.
func (w *environment) runAttempt(t *checkedAttempt, host string) {
	a := t.attempt
	note := func(state string) {
		_, err := w.table.HandleCallback(requests.Callback{CallID: a.Request.CallID, EndpointID: host, State: state, Progress: 0.5, Result: new(string)})
		if err != nil {
			panic(err)
		}
	}
	end := func(after time.Duration, never bool, how func()) {
		w.after(after, func() {
			if !t.ended && !a.HasEnded() {
				t.ended, t.notExecuted = true, never
				if how(); !a.HasEnded() { // by a note that may be of an attempt before it there, so it is out as far as anybody knows
					t.ended, t.notExecuted = false, false
				}
			}
		})
	}
	cut := func(stage requests.Stage) func() {
		return func() {
			w.table.EndAttempt(a, nil, &requests.AttemptError{Stage: stage, Reason: requests.ReasonConnectionLost})
		}
	}
	kind := w.rng.IntN(9)
	if w.faultless {
		kind = 8
	}
	if kind > 0 {
		a.Stage = requests.StageWritten
	}
	switch kind {
	case 0:
		end(w.randomDuration(0, 10), true, cut(requests.StageNotConnected))
	case 1:
		end(w.randomDuration(0, 60), false, cut(requests.StageWritten))
	case 2:
		end(w.randomDuration(0, 10), true, func() {
			w.table.EndAttempt(a, nil, &requests.AttemptError{Stage: requests.StageWritten,
				Reason: requests.ReasonRejected})
		})
	case 3: // nothing is heard of it
	case 4:
		if w.rng.IntN(6) == 0 {
			end(w.randomDuration(0, 10), true, func() {
				w.table.EndAttempt(a, nil, &requests.AttemptError{Stage: requests.StageWritten,
					Reason: requests.ReasonInvalidRequest})
			})
			return
		}
		fallthrough
	default:
		a.Stage = requests.StageAccepted
		start, run := w.randomDuration(0, 60), w.randomDuration(1, 250)
		w.after(start, func() { note("started") })
		w.after(start+run/2, func() { note("running") })
		what := w.rng.IntN(6)
		if w.faultless {
			what = 5
		}
		end(start+run, what == 1, func() { note([]string{"failed", "returned", "lost", "done", "done", "done"}[what]) })
	}
}

func (w *environment) abandoned(a *requests.Attempt) {
	for _, t := range w.byID[a.Request.ID].attempts {
		if t.attempt == a {
			t.ended = true // and may be running
			t.recalled = a.Request.IsClosed() && a.Stage < requests.StageWritten
			t.notExecuted = t.notExecuted || t.recalled
		}
	}
}

// ---- Discovery ----

// revisionOf is the generation of the list that told of a host last; it is kept in its weight, which nobody else uses here.
func (w *environment) revisionOf(h requests.Endpoint) int64 { return int64(h.Weight) }

func (w *environment) updateList(whole bool) {
	if w.revision++; whole {
		clear(w.listed)
		g := requests.EndpointList{Reset: true, Revision: w.revision}
		for i := range w.workers {
			w.workers[i].Weight = float64(w.revision)
			if w.workers[i].Lifecycle != "removed" {
				g.Endpoints = append(g.Endpoints, w.workers[i])
				w.listed[workerID(w.workers[i].ID)] = w.workers[i]
			}
		}
		w.table.UpdateEndpoints(g)
		return
	}
	h := &w.workers[w.rng.IntN(len(w.workers))]
	switch w.rng.IntN(4) {
	case 0:
		h.Lifecycle = "draining"
	case 1:
		h.Lifecycle = "removed"
	case 2:
		h.Lifecycle, h.StartedAtMs = "up", w.now.Milliseconds()
	default:
		h.Lifecycle = "up"
	}
	h.Weight = float64(w.revision)
	w.listed[workerID(h.ID)] = *h
	w.table.UpdateEndpoints(requests.EndpointList{Revision: w.revision, Endpoints: []requests.Endpoint{*h}})
	if w.onWorkerChanged != nil {
		w.onWorkerChanged(*h)
	}
}

func (w *environment) scheduleListChange() {
	w.after(w.randomDuration(20, 400), func() {
		if w.stopped {
			return
		}
		switch w.rng.IntN(8) {
		case 0:
			w.table.DiscoveryFailed()
		case 1:
			w.updateList(true)
		default:
			w.updateList(false)
		}
		w.scheduleListChange()
	})
}

// ---- Messages ----

func (w *environment) connectionTo(name string) *connection {
	return w.connections[slices.IndexFunc(w.connections, func(p *connection) bool { return p.name == name })]
}

// messageSent is a message that the forwarder wants carried.
func (w *environment) messageSent(e Outgoing) {
	p := w.connectionTo(e.Planner)
	switch m := e.Message.(type) {
	case *message.RequestOffer:
		j := w.byID[m.RequestID]
		if j.assignedEpoch != 0 {
			w.violation("%s is offered to %s while it is with %d", j.name, e.Planner, j.assignedEpoch)
		}
		j.assignedEpoch = e.Epoch
		delete(p.reportedEnds, m.RequestID)
		if n := w.countAssigned(e.Epoch); n > p.maxCredit {
			w.violation("%s has %d queries, of a credit of %d", e.Planner, n, p.maxCredit)
		}
		w.offers = append(w.offers, e)
	case *message.RequestClosed:
		if j := w.byID[m.RequestID]; j.assignedEpoch == e.Epoch {
			j.assignedEpoch = 0
		}
	case *message.AttemptEnded:
		w.checkAttemptEnded(p, e.Epoch, m)
	case *message.Handshake:
		w.endAssignments(p) // of its session before, if it has one still
	}
	p.deliver(e.Envelope)
}

// checkAttemptEnded is an attempt's end that the forwarder tells a planner of.
func (w *environment) checkAttemptEnded(p *connection, epoch message.Epoch, m *message.AttemptEnded) {
	j := w.byID[m.RequestID]
	stray := m.Reason == message.ReasonUnknownRequest || m.Reason == message.ReasonNotOwner
	if m.Attempt >= 0 && j != nil && !stray {
		if p.reportedEnds[m.RequestID] == nil {
			p.reportedEnds[m.RequestID] = map[int]bool{}
		}
		if p.reportedEnds[m.RequestID][m.Attempt] {
			w.violation("attempt %d of %s ends twice for %s", m.Attempt, j.name, p.name)
		}
		p.reportedEnds[m.RequestID][m.Attempt] = true
	}
	if m.Result == dispatch.OK && j.assignedEpoch == epoch {
		j.assignedEpoch = 0
	}
}

func (w *environment) countAssigned(e message.Epoch) (n int) {
	for _, j := range w.byID {
		if j.assignedEpoch == e {
			n++
		}
	}
	return n
}

// endAssignments has nothing be with a planner any more.
func (w *environment) endAssignments(p *connection) {
	for _, j := range w.byID {
		if j.assignedEpoch == p.openEpoch && p.openEpoch != 0 {
			j.assignedEpoch = 0
		}
	}
	p.openEpoch = 0
}

// messageReceived has a planner's message reach the forwarder.
func (w *environment) messageReceived(p *connection, e message.Envelope) {
	switch m := e.Message.(type) {
	case *message.HandshakeAccept:
		if e.Epoch == p.openEpoch && !p.accepted {
			p.accepted, p.maxCredit = true, m.Credit
		}
	case *message.CreditUpdate:
		if e.Epoch == p.openEpoch {
			p.maxCredit = max(p.maxCredit, m.Credit)
		}
	case *message.WorkerStatus:
		x := *m
		if e.Epoch != p.newestEpoch || !p.accepted || x.StartedMs > (w.now+time.Minute).Milliseconds() || x.StartedMs < 0 {
			break
		}
		if was, ok := w.statuses[x.WorkerID]; !ok || x.Supersedes(was) {
			w.statuses[x.WorkerID], w.statusAt[x.WorkerID] = x, w.now
		}
	case *message.TransferCommand:
		w.released(p, e.Epoch, m.RequestID)
	case *message.RejectCommand:
		w.released(p, e.Epoch, m.RequestID)
	case *message.FailCommand:
		w.released(p, e.Epoch, m.RequestID)
	case *message.Goodbye:
		if e.Epoch == p.openEpoch {
			w.endAssignments(p)
		}
	}
	w.forwarder.Receive(w.now, p.name, e)
}

// released has a query be with a planner no more: it is the planner's wish at least; the forwarder has its own book.
func (w *environment) released(p *connection, epoch message.Epoch, id uint64) {
	if j := w.byID[id]; j != nil && j.assignedEpoch == epoch && epoch == p.openEpoch {
		j.assignedEpoch = 0
	}
}

// checkOffers looks at what was offered in a step, once its actions are carried out.
func (w *environment) checkOffers() {
	for _, e := range w.offers {
		offer := e.Message.(*message.RequestOffer)
		j, h := w.byID[offer.RequestID], &offer.Summary
		// What the ledger did not send, as a note from that host had ended one, or has recalled, counts as an attempt that
		// never ran.
		sent := slices.DeleteFunc(slices.Clone(h.Attempts), func(p message.PastAttempt) bool {
			return p.Ended && p.Result == dispatch.NotSent && !p.PossiblyExecuted
		})
		tries := slices.DeleteFunc(slices.Clone(j.attempts), func(t *checkedAttempt) bool { return t.recalled })
		if len(sent) != len(tries) {
			w.violation("%s is told of %d attempts of %s, of %d", e.Planner, len(sent), j.name, len(tries))
			continue
		}
		for i, p := range sent {
			if t := tries[i]; p.WorkerID != t.worker || p.SentAgo != w.now-t.sentAt || p.PossiblyExecuted == t.notExecuted {
				w.violation("%s is told %+v of %s, which is %+v", e.Planner, p, j.name, t)
			}
		}
	}
	w.offers = w.offers[:0]
}

// run lets time pass, in small steps, and then has all come to its end.
func (w *environment) run(span time.Duration) {
	end := w.now + span
	for w.now < end && len(w.violations) == 0 {
		w.runUntil(w.now + millisecond)
	}
	w.stopped = true
	for range 40 {
		w.runUntil(w.now + 100*millisecond)
	}
	for _, id := range slices.Sorted(maps.Keys(w.byID)) {
		j := w.byID[id]
		if n := len(j.responses); n == 0 && !j.disconnected {
			w.violation("%s has no answer", j.name)
		}
	}
	x := w.forwarder.Stats()
	if w.table.OpenCount() != 0 || x.Open+x.Waiting+x.Local != 0 || w.forwarder.validator.RequestCount() != 0 ||
		w.forwarder.checks.Len()+w.forwarder.returning.Len() != 0 {
		w.violation("something is left: %+v, %d in the ledger, %d with the guard", x, w.table.OpenCount(), w.forwarder.validator.RequestCount())
	}
	for _, p := range w.forwarder.sessions {
		if len(p.requests) > 0 || p.poisonCandidate != nil {
			w.violation("%s has %d queries still", p.planner, len(p.requests))
		}
	}
	if w.forwarder.local.policy != nil && w.forwarder.mode != modeStandalone {
		w.violation("the own module is kept with nothing in hand")
	}
	for why := range message.ReasonCount {
		w.stats["refused as "+why.String()] += w.forwarder.validator.RejectedCount(why)
	}
	w.stats["alone"] += x.Standalone
	w.stats["poisonous"] += x.Poison
	w.stats["unheard"] += x.Revoked
	w.stats["frozen"] += x.Unresponsive
	w.stats["reoffered"] += x.Reoffered
	w.stats["moves"] += x.Transfers
	w.stats["expired"] += x.Expired
	w.stats["unplaced"] += x.Unplaced
	w.stats["crowded"] += x.QueueFull
	w.stats["sent"] += w.sent
}
