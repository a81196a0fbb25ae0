package forwarder

import (
	"container/heap"
	"hash/fnv"
	"log/slog"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

const (
	startTime     = 1000 * time.Hour // when a test starts; positive, so that workers can have started before
	maxIterations = 10000            // limit of table steps at the same virtual time
	millisecond   = time.Millisecond
)

// harness runs a forwarder as the policy of a request table in virtual time. Its on... functions stand in for clients, workers
// and connections.
type harness struct {
	now          time.Duration
	forwarder    *Forwarder
	attemptLimit int // maximum number of attempts of a request
	table        *requests.Table
	events       eventQueue
	lastSequence uint64

	onStart       func(attempt *requests.Attempt)
	onAbandon     func(attempt *requests.Attempt)
	onCheckHealth func(worker uint64)
	onCloseIdle   func(worker uint64)
	onResponse    func(client *client, response string, retryAfter time.Duration)
	onMessage     func(outgoing Outgoing) // a message from the forwarder
	onAction      func(action dispatch.Action)
	onWatch       func(revision int64)
	onStep        func() // called after each step of the table
}

func newHarness(settings dispatch.Settings, config Config, selector PlannerSelector, newPolicy func() Policy) *harness {
	config.Name = "f"
	config.Incarnation = 1000
	return &harness{
		now:          startTime,
		forwarder:    New(settings, config, selector, newPolicy),
		attemptLimit: settings.AttemptLimit,
	}
}

// start creates the request table. All on... functions must be set before.
func (h *harness) start(known requests.EndpointList) {
	names := requests.NameTable{Zones: []string{"z0", "z1", "z2"}, MachineTypes: []string{"k0", "k1", "k2"}}
	newPolicy := func() requests.Policy { return recordingPolicy{h} }
	attempts := max(1, h.attemptLimit)
	h.table = requests.New(attempts, names, newPolicy, known, h, slog.New(slog.DiscardHandler))
}

// recordingPolicy is the forwarder as the request table's policy. It passes the forwarder's actions and messages to the harness.
type recordingPolicy struct{ harness *harness }

func (r recordingPolicy) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	from := len(dst)
	dst = r.harness.forwarder.Step(now, events, dst)
	if r.harness.onAction != nil {
		for _, action := range dst[from:] {
			r.harness.onAction(action)
		}
	}
	for _, outgoing := range r.harness.forwarder.Outbox() {
		outgoing.Envelope = outgoing.Clone()
		r.harness.onMessage(outgoing)
	}
	return dst
}

// The following methods implement the request table's transport.

func (h *harness) Start(attempt *requests.Attempt)    { h.onStart(attempt) }
func (h *harness) Abandon(attempt *requests.Attempt)  { h.onAbandon(attempt) }
func (h *harness) CheckHealth(worker uint64)          { h.onCheckHealth(worker) }
func (h *harness) CloseIdleConnections(worker uint64) { h.onCloseIdle(worker) }
func (h *harness) Watch(revision int64)               { h.onWatch(revision) }

// Cancel cancels an attempt, which the worker confirms at once.
func (h *harness) Cancel(attempt *requests.Attempt) {
	h.table.CancelCompleted(attempt, true)
	h.onAbandon(attempt)
}

// settle steps the table until nothing is left to do at the current virtual time.
func (h *harness) settle() {
	for range maxIterations {
		if h.forwarder.HasPending() {
			h.table.Wake()
		}
		at, ok := h.table.NextStep()
		if !ok || at > h.now {
			return
		}
		h.table.Step(h.now)
		if h.onStep != nil {
			h.onStep()
		}
	}
	panic("the request table does not come to rest at one virtual time")
}

// runUntil advances the virtual time to end, and executes all events and table steps that are due until then.
func (h *harness) runUntil(end time.Duration) {
	h.settle()
	for {
		next := end
		if at, ok := h.table.NextStep(); ok {
			next = min(next, at)
		}
		if len(h.events) > 0 {
			next = min(next, h.events[0].at)
		}
		h.now = max(h.now, next)
		for len(h.events) > 0 && h.events[0].at <= h.now {
			heap.Pop(&h.events).(scheduledEvent).act()
		}
		h.settle()
		if next >= end {
			return
		}
	}
}

// after schedules a function.
func (h *harness) after(delay time.Duration, act func()) {
	heap.Push(&h.events, scheduledEvent{h.now + delay, h.lastSequence, act})
	h.lastSequence++
}

// scheduledEvent is a function scheduled for a virtual time.
type scheduledEvent struct {
	at       time.Duration
	sequence uint64 // orders events at the same time
	act      func()
}

// eventQueue is a heap of events by time.
type eventQueue []scheduledEvent

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].sequence < e[k].sequence
}

func (e eventQueue) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

func (e *eventQueue) Push(event any) { *e = append(*e, event.(scheduledEvent)) }

func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	event := (*e)[last]
	*e = (*e)[:last]
	return event
}

// Names of responses.
const (
	responseServed   = "served"
	responseRejected = "rejected"
	responseFailed   = "failed"
)

// client receives the response to a request.
type client struct {
	harness   *harness
	request   *requests.Request
	name      string
	responses []string
}

func (c *client) RespondResult([]byte) { c.respond(responseServed, 0) }

func (c *client) RespondRejected(retryAfter time.Duration) { c.respond(responseRejected, retryAfter) }

func (c *client) RespondFailed() { c.respond(responseFailed, 0) }

func (c *client) respond(response string, retryAfter time.Duration) {
	c.responses = append(c.responses, response)
	c.harness.onResponse(c, response, retryAfter)
}

// admit adds a request to the table.
func (h *harness) admit(name string, job dispatch.Job) *client {
	admitted := &client{harness: h, name: name}
	request, err := h.table.Admit(h.now, requests.Arrival{CallID: name, Job: job, Responder: admitted})
	if err != nil {
		panic(err)
	}
	admitted.request = request
	return admitted
}

// workerID returns the ID that the request table derives from the name of a worker.
func workerID(name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()
}
