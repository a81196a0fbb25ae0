package mutation

import (
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// faultInjector passes messages between the environment and a scheduler. Its hooks may change or drop them, and send others.
type faultInjector struct {
	spec  *scenario.Scenario
	inner simapi.Scheduler
	hooks hooks

	now          time.Duration
	scheduler    int
	running      bool
	inputs       []simapi.Input // for the inner scheduler: those of the environment and injected ones
	outputs      []simapi.Output
	innerOutputs []simapi.Output
	requests     map[string]*trackedRequest
	injected     map[simapi.Conn]*injectedAttempt // by the injector's own connections to workers
	connCount    uint64
	delayed      []delayedAction // in order of time
	count        int             // calls of every; the hook of cold-flooded keeps a worker's number in it
	lastResult   string          // the last result, for hooks that need it
	triggered    bool            // set by hooks that act once, or from some event on
}

// trackedRequest is a request that a client has sent.
type trackedRequest struct {
	simapi.ClientRequest
	receivedAt time.Duration
	conn       simapi.Conn
	attempts   int  // by the inner scheduler
	answered   bool // the inner scheduler or the injector has responded
}

// injectedAttempt is an attempt that the injector sends.
type injectedAttempt struct {
	worker  int
	request *trackedRequest
}

// delayedAction is an action that runs at an instant.
type delayedAction struct {
	at  time.Duration
	run func()
}

// hooks are a mutant's handlers of messages. Each may change the message, and returns whether to pass it on. A nil hook passes
// all messages on.
type hooks struct {
	input    func(f *faultInjector, message simapi.InputMessage) (pass bool)
	response func(f *faultInjector, response *simapi.ResponseWritten) (pass bool)
	attempt  func(f *faultInjector, attempt *simapi.AttemptWritten) (pass bool)
}

// wrap returns a Mutant.Wrap that makes a new injector with these hooks for each scheduler.
func wrap(hooks hooks) func(*scenario.Scenario, simapi.Scheduler) simapi.Scheduler {
	return func(spec *scenario.Scenario, inner simapi.Scheduler) simapi.Scheduler {
		return &faultInjector{
			spec: spec, inner: inner, hooks: hooks, requests: map[string]*trackedRequest{}, injected: map[simapi.Conn]*injectedAttempt{},
		}
	}
}

// Step passes the inputs to the inner scheduler and its outputs to the environment, by way of the hooks.
func (f *faultInjector) Step(now time.Duration, ins []simapi.Input, dst []simapi.Output) []simapi.Output {
	f.now, f.outputs = now, dst
	for i := range ins {
		f.handleInput(&ins[i])
	}
	for len(f.delayed) > 0 && f.delayed[0].at <= now {
		run := f.delayed[0].run
		f.delayed = f.delayed[1:]
		run()
	}
	for again := true; again; again = len(f.inputs) > 0 {
		inputs := f.inputs
		f.inputs = nil
		f.innerOutputs = f.inner.Step(now, inputs, f.innerOutputs[:0])
		for i := range f.innerOutputs {
			f.handleOutput(&f.innerOutputs[i])
		}
	}
	dst, f.outputs = f.outputs, nil
	return dst
}

// Next returns when the inner scheduler or a delayed action is due.
func (f *faultInjector) Next() (time.Duration, bool) {
	at, ok := f.inner.Next()
	if len(f.delayed) > 0 && (!ok || f.delayed[0].at < at) {
		at, ok = f.delayed[0].at, true
	}
	return at, ok
}

// handleInput handles an input of the environment.
func (f *faultInjector) handleInput(input *simapi.Input) {
	f.scheduler = input.Scheduler
	switch message := input.Message.(type) {
	case simapi.Start:
		f.reset()
		f.running = true
	case simapi.Kill:
		f.reset()
	case simapi.RequestReceived:
		f.requests[message.Request.RequestID] = &trackedRequest{ClientRequest: *message.Request, receivedAt: f.now, conn: message.Conn}
	}
	if f.handleInjected(input.Message) {
		return
	}
	if f.hooks.input == nil || f.hooks.input(f, input.Message) {
		f.inputs = append(f.inputs, *input)
	}
}

// handleInjected handles an input if it belongs to a connection of the injector, and reports whether it does.
func (f *faultInjector) handleInjected(input simapi.InputMessage) bool {
	switch message := input.(type) {
	case simapi.WorkerConnected:
		if attempt := f.injected[message.Conn]; attempt != nil {
			f.writeInjected(message.Conn, attempt)
			return true
		}
	case simapi.WorkerDisconnected:
		if f.injected[message.Conn] != nil {
			delete(f.injected, message.Conn)
			return true
		}
	case simapi.ResponseReceived:
		if attempt := f.injected[message.Conn]; attempt != nil {
			f.addOutput(simapi.WorkerConnClosed{Conn: message.Conn, Worker: attempt.worker})
			delete(f.injected, message.Conn)
			return true
		}
	}
	return false
}

// writeInjected writes an injected attempt to its connection.
func (f *faultInjector) writeInjected(conn simapi.Conn, attempt *injectedAttempt) {
	remaining := max(time.Millisecond, attempt.request.receivedAt+attempt.request.Budget-f.now).Truncate(time.Millisecond)
	f.addOutput(simapi.AttemptWritten{
		Conn: conn, Worker: attempt.worker, RequestID: attempt.request.RequestID, IdempotencyKey: attempt.request.IdempotencyKey,
		Budget: remaining, FirstByteAt: f.now,
	})
}

// reset discards the state of a process that has ended.
func (f *faultInjector) reset() {
	clear(f.requests)
	clear(f.injected)
	f.delayed, f.running = nil, false
}

// handleOutput handles an output of the inner scheduler.
func (f *faultInjector) handleOutput(output *simapi.Output) {
	_, exited := output.Message.(simapi.Exited)
	if !f.running && !exited {
		return
	}
	switch message := output.Message.(type) {
	case simapi.Exited:
		f.reset()
		f.outputs = append(f.outputs, *output)
	case simapi.AttemptWritten:
		if tracked := f.requests[message.RequestID]; tracked != nil {
			tracked.attempts++
		}
		if f.hooks.attempt == nil || f.hooks.attempt(f, &message) {
			f.addOutput(message)
		}
	case simapi.ResponseWritten:
		tracked := f.requests[message.RequestID]
		if f.hooks.response == nil || f.hooks.response(f, &message) {
			f.addOutput(message)
		}
		if tracked != nil {
			tracked.answered = true
		}
	default:
		f.outputs = append(f.outputs, *output)
	}
}

// addOutput sends a message to the environment as an output of the scheduler.
func (f *faultInjector) addOutput(message simapi.OutputMessage) {
	f.outputs = append(f.outputs, simapi.Output{Scheduler: f.scheduler, Message: message})
}

// schedule runs an action at an instant, unless the process has ended by then.
func (f *faultInjector) schedule(at time.Duration, run func()) {
	at = max(at, f.now+1)
	i := len(f.delayed)
	for i > 0 && f.delayed[i-1].at > at {
		i--
	}
	f.delayed = append(f.delayed, delayedAction{})
	copy(f.delayed[i+1:], f.delayed[i:])
	f.delayed[i] = delayedAction{at, run}
}

// every reports true for each n-th call.
func (f *faultInjector) every(n int) bool {
	f.count++
	return f.count%n == 0
}

// feedInput injects an input for the inner scheduler.
func (f *faultInjector) feedInput(message simapi.InputMessage) {
	f.inputs = append(f.inputs, simapi.Input{Scheduler: f.scheduler, Message: message})
}

// respond responds to a request in place of the inner scheduler, for which its client disconnects.
func (f *faultInjector) respond(tracked *trackedRequest, status int) {
	tracked.answered = true
	f.addOutput(simapi.ResponseWritten{Conn: tracked.conn, RequestID: tracked.RequestID, Status: status})
	f.feedInput(simapi.ClientClosed{Conn: tracked.conn})
}

// sendAttempt sends an attempt to a worker, over a new connection of the injector.
func (f *faultInjector) sendAttempt(tracked *trackedRequest, worker int) {
	f.connCount++
	conn := simapi.WorkerConn(f.scheduler, 1<<39|f.connCount)
	f.injected[conn] = &injectedAttempt{worker, tracked}
	f.addOutput(simapi.WorkerDialed{Conn: conn, Worker: worker})
}

// idempotencyOf returns the idempotency of a request's class, as the scenario names it.
func (f *faultInjector) idempotencyOf(tracked *trackedRequest) string {
	return f.spec.Classes[tracked.Class].Idempotency
}

// otherWorker returns the worker whose number is higher by an offset, modulo the number of workers.
func (f *faultInjector) otherWorker(worker, offset int) int {
	return (worker + offset) % max(1, f.spec.Fleet.Workers)
}
