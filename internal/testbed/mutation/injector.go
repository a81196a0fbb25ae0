package mutation

import (
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// faultInjector stands between the environment and a scheduler, and lets pass what its two hooks say.
type faultInjector struct {
	spec  *scenario.Scenario
	inner simapi.Scheduler
	hooks hooks

	now          time.Duration
	scheduler    int
	running      bool
	inputs       []simapi.Input // for the inner one, and some that the environment knows nothing of
	outputs      []simapi.Output
	innerOutputs []simapi.Output
	requests     map[string]*trackedRequest
	injected     map[simapi.Conn]*injectedAttempt // connections of ours to workers
	connCount    uint64
	delayed      []delayedAction // what is to be done, in order of time
	count        int             // for hooks that strike every so often
	lastRequest  string          // for hooks that remember a result
	notified     bool            // for hooks that strike once, or from a moment on
}

// trackedRequest is what a client has asked.
type trackedRequest struct {
	simapi.ClientRequest
	receivedAt time.Duration
	conn       simapi.Conn
	attempts   int  // attempts of the inner scheduler
	answered   bool // it had its answer, from whomever
}

// injectedAttempt is an attempt of ours.
type injectedAttempt struct {
	worker  int
	request *trackedRequest
}

type delayedAction struct {
	at  time.Duration
	run func()
}

// hooks are what a mutant does with what passes. Each may change it, and says whether it is to pass; nil: all passes.
type hooks struct {
	input    func(b *faultInjector, message simapi.InputMessage) (pass bool)
	response func(b *faultInjector, response *simapi.ResponseWritten) (pass bool)
	attempt  func(b *faultInjector, attempt *simapi.AttemptWritten) (pass bool)
}

// wrap makes a Wrap of hooks. A new injector is made for each scheduler.
func wrap(hooks hooks) func(*scenario.Scenario, simapi.Scheduler) simapi.Scheduler {
	return func(spec *scenario.Scenario, inner simapi.Scheduler) simapi.Scheduler {
		return &faultInjector{
			spec: spec, inner: inner, hooks: hooks, requests: map[string]*trackedRequest{}, injected: map[simapi.Conn]*injectedAttempt{},
		}
	}
}

// Step lets both sides through.
func (b *faultInjector) Step(now time.Duration, ins []simapi.Input, dst []simapi.Output) []simapi.Output {
	b.now, b.outputs = now, dst
	for i := range ins {
		b.handleInput(&ins[i])
	}
	for len(b.delayed) > 0 && b.delayed[0].at <= now {
		do := b.delayed[0].run
		b.delayed = b.delayed[1:]
		do()
	}
	for again := true; again; again = len(b.inputs) > 0 {
		fed := b.inputs
		b.inputs = nil
		b.innerOutputs = b.inner.Step(now, fed, b.innerOutputs[:0])
		for i := range b.innerOutputs {
			b.handleOutput(&b.innerOutputs[i])
		}
	}
	dst, b.outputs = b.outputs, nil
	return dst
}

// Next tells when either wants to run.
func (b *faultInjector) Next() (time.Duration, bool) {
	at, ok := b.inner.Next()
	if len(b.delayed) > 0 && (!ok || b.delayed[0].at < at) {
		at, ok = b.delayed[0].at, true
	}
	return at, ok
}

// handleInput is what comes from the environment.
func (b *faultInjector) handleInput(input *simapi.Input) {
	b.scheduler = input.Scheduler
	switch message := input.Message.(type) {
	case simapi.Start:
		b.reset()
		b.running = true
	case simapi.Kill:
		b.reset()
	case simapi.RequestReceived:
		b.requests[message.Request.RequestID] = &trackedRequest{ClientRequest: *message.Request, receivedAt: b.now, conn: message.Conn}
	}
	if b.handleInjected(input.Message) {
		return
	}
	if b.hooks.input == nil || b.hooks.input(b, input.Message) {
		b.inputs = append(b.inputs, *input)
	}
}

// handleInjected takes what comes over a connection of ours, and reports whether it did.
func (b *faultInjector) handleInjected(input simapi.InputMessage) bool {
	switch message := input.(type) {
	case simapi.WorkerConnected:
		if e := b.injected[message.Conn]; e != nil {
			b.writeInjected(message.Conn, e)
			return true
		}
	case simapi.WorkerDisconnected:
		if b.injected[message.Conn] != nil {
			delete(b.injected, message.Conn)
			return true
		}
	case simapi.ResponseReceived:
		if e := b.injected[message.Conn]; e != nil {
			b.addOutput(simapi.WorkerConnClosed{Conn: message.Conn, Worker: e.worker})
			delete(b.injected, message.Conn)
			return true
		}
	}
	return false
}

// writeInjected writes an attempt of ours to its connection.
func (b *faultInjector) writeInjected(conn simapi.Conn, e *injectedAttempt) {
	remaining := max(time.Millisecond, e.request.receivedAt+e.request.Budget-b.now).Truncate(time.Millisecond)
	b.addOutput(simapi.AttemptWritten{
		Conn: conn, Worker: e.worker, RequestID: e.request.RequestID, IdempotencyKey: e.request.IdempotencyKey, Budget: remaining,
		FirstByteAt: b.now,
	})
}

// reset is the end of a process.
func (b *faultInjector) reset() {
	clear(b.requests)
	clear(b.injected)
	b.delayed, b.running = nil, false
}

// handleOutput is what comes from the inner scheduler.
func (b *faultInjector) handleOutput(output *simapi.Output) {
	_, exited := output.Message.(simapi.Exited)
	if !b.running && !exited {
		return
	}
	switch message := output.Message.(type) {
	case simapi.Exited:
		b.reset()
		b.outputs = append(b.outputs, *output)
	case simapi.AttemptWritten:
		if tracked := b.requests[message.RequestID]; tracked != nil {
			tracked.attempts++
		}
		if b.hooks.attempt == nil || b.hooks.attempt(b, &message) {
			b.addOutput(message)
		}
	case simapi.ResponseWritten:
		tracked := b.requests[message.RequestID]
		if b.hooks.response == nil || b.hooks.response(b, &message) {
			b.addOutput(message)
		}
		if tracked != nil {
			tracked.answered = true
		}
	default:
		b.outputs = append(b.outputs, *output)
	}
}

// addOutput brings something to the environment as if it came from the scheduler.
func (b *faultInjector) addOutput(message simapi.OutputMessage) {
	b.outputs = append(b.outputs, simapi.Output{Scheduler: b.scheduler, Message: message})
}

// schedule has something done at an instant, unless the process has ended by then.
func (b *faultInjector) schedule(t time.Duration, do func()) {
	t = max(t, b.now+1)
	i := len(b.delayed)
	for i > 0 && b.delayed[i-1].at > t {
		i--
	}
	b.delayed = append(b.delayed, delayedAction{})
	copy(b.delayed[i+1:], b.delayed[i:])
	b.delayed[i] = delayedAction{t, do}
}

// every says yes to each n-th of what it is asked about.
func (b *faultInjector) every(n int) bool {
	b.count++
	return b.count%n == 0
}

// feedInput brings something to the inner scheduler that the environment knows nothing of.
func (b *faultInjector) feedInput(message simapi.InputMessage) {
	b.inputs = append(b.inputs, simapi.Input{Scheduler: b.scheduler, Message: message})
}

// respond answers a request in the inner scheduler's place, which takes its client for gone.
func (b *faultInjector) respond(q *trackedRequest, status int) {
	q.answered = true
	b.addOutput(simapi.ResponseWritten{Conn: q.conn, RequestID: q.RequestID, Status: status})
	b.feedInput(simapi.ClientClosed{Conn: q.conn})
}

// sendAttempt sends a request to a worker, over a connection of its own.
func (b *faultInjector) sendAttempt(q *trackedRequest, node int) {
	b.connCount++
	conn := simapi.WorkerConn(b.scheduler, 1<<39|b.connCount)
	b.injected[conn] = &injectedAttempt{node, q}
	b.addOutput(simapi.WorkerDialed{Conn: conn, Worker: node})
}

// idempotencyOf is what running a request twice does, in the scenario's word.
func (b *faultInjector) idempotencyOf(q *trackedRequest) string {
	return b.spec.Classes[q.Class].Idempotency
}

// otherWorker is a worker other than the one given.
func (b *faultInjector) otherWorker(node, by int) int {
	return (node + by) % max(1, b.spec.Fleet.Workers)
}
