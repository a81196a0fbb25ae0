package mutation

import (
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// faultInjector stands between the environment and a scheduler, and lets pass what its two hooks say.
type faultInjector struct {
	spec     *scenario.Scenario
	inner    simapi.Scheduler
	onInput  func(b *faultInjector, input *simapi.Input) (pass bool)   // nil: all passes
	onOutput func(b *faultInjector, output *simapi.Output) (pass bool) // nil: all passes

	now          time.Duration
	scheduler    int
	running      bool
	inputs       []simapi.Input // for the inner one, besides what came from the environment
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

// wrap makes a Wrap of hooks. New hooks are made for each scheduler.
func wrap(onInput func(b *faultInjector, input *simapi.Input) bool, onOutput func(b *faultInjector, output *simapi.Output) bool,
) func(*scenario.Scenario, simapi.Scheduler) simapi.Scheduler {
	return func(spec *scenario.Scenario, inner simapi.Scheduler) simapi.Scheduler {
		return &faultInjector{
			spec: spec, inner: inner, onInput: onInput, onOutput: onOutput, requests: map[string]*trackedRequest{},
			injected: map[simapi.Conn]*injectedAttempt{},
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
	switch input.Kind {
	case simapi.Start, simapi.Kill:
		b.reset()
		b.running = input.Kind == simapi.Start
	case simapi.RequestReceived:
		b.requests[input.Request.RequestID] = &trackedRequest{ClientRequest: *input.Request, receivedAt: b.now, conn: input.Conn}
	case simapi.WorkerConnected, simapi.WorkerDisconnected, simapi.ResponseReceived:
		if e := b.injected[input.Conn]; e != nil {
			b.injectedResponse(input, e)
			return
		}
	}
	if b.onInput == nil || b.onInput(b, input) {
		b.inputs = append(b.inputs, *input)
	}
}

// reset is the end of a process.
func (b *faultInjector) reset() {
	clear(b.requests)
	clear(b.injected)
	b.delayed, b.running = nil, false
}

// handleOutput is what comes from the inner scheduler.
func (b *faultInjector) handleOutput(output *simapi.Output) {
	if !b.running && output.Kind != simapi.Exited {
		return
	}
	trackedRequest := b.requests[output.RequestID]
	switch output.Kind {
	case simapi.AttemptWritten:
		if trackedRequest != nil {
			trackedRequest.attempts++
		}
	case simapi.Exited:
		b.reset()
	}
	if b.onOutput == nil || b.onOutput(b, output) {
		b.outputs = append(b.outputs, *output)
	}
	if trackedRequest != nil && output.Kind == simapi.ResponseWritten {
		trackedRequest.answered = true
	}
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
func (b *faultInjector) feedInput(in simapi.Input) {
	in.Scheduler = b.scheduler
	b.inputs = append(b.inputs, in)
}

// respond answers a request in the inner scheduler's place, which takes its client for gone.
func (b *faultInjector) respond(q *trackedRequest, status int) {
	q.answered = true
	b.outputs = append(b.outputs, simapi.Output{Kind: simapi.ResponseWritten, Scheduler: b.scheduler, Conn: q.conn, RequestID: q.RequestID, Status: status})
	b.feedInput(simapi.Input{Kind: simapi.ClientClosed, Conn: q.conn})
}

// sendAttempt sends a request to a worker, over a connection of its own.
func (b *faultInjector) sendAttempt(q *trackedRequest, node int) {
	b.connCount++
	conn := simapi.WorkerConn(b.scheduler, 1<<39|b.connCount)
	b.injected[conn] = &injectedAttempt{node, q}
	b.outputs = append(b.outputs, simapi.Output{Kind: simapi.WorkerDialed, Scheduler: b.scheduler, Conn: conn, Worker: node})
}

// injectedResponse is what comes over a connection of ours.
func (b *faultInjector) injectedResponse(input *simapi.Input, e *injectedAttempt) {
	switch input.Kind {
	case simapi.WorkerConnected:
		remaining := max(time.Millisecond, e.request.receivedAt+e.request.Budget-b.now).Truncate(time.Millisecond)
		b.outputs = append(b.outputs, simapi.Output{
			Kind: simapi.AttemptWritten, Scheduler: b.scheduler, Conn: input.Conn, Worker: e.worker, RequestID: e.request.RequestID,
			IdempotencyKey: e.request.IdempotencyKey, Budget: remaining, FirstByteAt: b.now,
		})
	case simapi.ResponseReceived:
		b.outputs = append(b.outputs, simapi.Output{Kind: simapi.WorkerConnClosed, Scheduler: b.scheduler, Conn: input.Conn, Worker: e.worker})
		delete(b.injected, input.Conn)
	default:
		delete(b.injected, input.Conn)
	}
}

// idempotencyOf is what running a request twice does, in the scenario's word.
func (b *faultInjector) idempotencyOf(q *trackedRequest) string {
	return b.spec.Classes[q.Class].Idempotency
}

// otherWorker is a worker other than the one given.
func (b *faultInjector) otherWorker(node, by int) int {
	return (node + by) % max(1, b.spec.Fleet.Workers)
}
