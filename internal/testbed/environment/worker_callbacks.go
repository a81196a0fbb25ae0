package environment

import (
	"slices"
	"time"

	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// callbackQueue is the callbacks that a worker owes schedulers. Each is sent by calls of its own until one is answered, by
// 200 or 204, to whichever process of the scheduler runs by then.
type callbackQueue struct {
	firstID       uint64         // id, without the worker's part, of the first of callbacks
	callbacks     []*callback    // in the order in which they were made; nil: answered or given up
	outstanding   int            // that are neither, and the process's own
	held          []*callback    // while it hangs
	pendingCalls  []callbackCall // in the order in which their time is up
	expiryPlanned bool           // an entry for that is on the event queue
}

// callback is something that is to be told of an attempt.
type callback struct {
	id        uint64
	scheduler int
	sendings  int
	byAgent   bool // told by the machine's agent: no matter what becomes of the process
	awaiting  bool // for the answer to a call
	closed    bool // answered or given up
	body      requests.Callback
	result    string
}

// callbackCall is one sending of a callback.
type callbackCall struct {
	callback *callback
	sending  int
	deadline time.Duration
}

const (
	callbackAttempts    = 10
	callbackTimeout     = 2 * time.Second        // for the answer to a call
	callbackBackoff     = 100 * time.Millisecond // before the second, doubling
	callbackMaxBackoff  = 2 * time.Second
	callbackRepeatDelay = 20 * time.Millisecond // until one is sent again though answered
)

// notify tells something of an attempt: at once, or with its 202 if that is still to come.
func (w *worker) notify(a *attempt, state string, share float64) {
	t := w.newCallback(a, state)
	t.body.Progress = share
	w.callbacks.outstanding++
	switch {
	case w.process.silencesCallbacks:
		w.loseCallback(t)
	case a.mayNotify || a.notifiesEarly:
		w.sendCallback(t)
	default:
		a.pendingCallbacks = append(a.pendingCallbacks, t)
	}
}

// notifyLost has the machine's agent tell that an attempt was lost.
func (w *worker) notifyLost(a *attempt) {
	t := w.newCallback(a, "lost")
	t.byAgent = true
	w.sendCallback(t)
}

func (w *worker) newCallback(a *attempt, state string) *callback {
	p := &w.callbacks
	t := &callback{
		id: uint64(w.number)<<32 | (p.firstID + uint64(len(p.callbacks))), scheduler: a.scheduler,
		body: requests.Callback{CallID: a.requestID, EndpointID: w.id, State: state},
	}
	if state == "done" {
		t.result = a.result
		t.body.Result = &t.result
	}
	p.callbacks = append(p.callbacks, t)
	return t
}

// find finds a callback that is neither answered nor given up.
func (c *callbackQueue) find(id uint64) *callback {
	if i := id&(1<<32-1) - c.firstID; i < uint64(len(c.callbacks)) {
		return c.callbacks[i]
	}
	return nil
}

// sendCallback sends a callback once.
func (w *worker) sendCallback(t *callback) {
	callbackQueue := &w.callbacks
	if t.closed {
		return
	}
	if !t.byAgent {
		if w.process.silencesCallbacks {
			w.loseCallback(t)
			return
		}
		if w.process.hanging {
			callbackQueue.held = append(callbackQueue.held, t)
			return
		}
	}
	t.sendings++
	t.awaiting = true
	w.deliverCallback(t)
	callbackQueue.pendingCalls = append(callbackQueue.pendingCalls, callbackCall{t, t.sendings, w.env.now + callbackTimeout})
	if !callbackQueue.expiryPlanned {
		callbackQueue.expiryPlanned = true
		w.env.after(callbackTimeout, w.expireCalls)
	}
}

// deliverCallback brings one sending of a callback to its scheduler, unless it gets lost.
func (w *worker) deliverCallback(t *callback) {
	late := time.Duration(0)
	if w.kind.CallbackLossShare > 0 || w.kind.CallbackDelay > 0 {
		r := w.shared.dice.stream(t.id, uint64(t.sendings))
		if r.Float64() < w.kind.CallbackLossShare {
			return
		}
		late = time.Duration(r.ExpFloat64() * float64(w.kind.CallbackDelay))
	}
	if arrive, ok := w.env.network.arrival(w.endpoint(), endpoint{schedulerEndpoint, t.scheduler}); ok {
		w.env.schedule(arrive+late, func() {
			w.env.deliver(simapi.Input{Scheduler: t.scheduler, Message: simapi.CallbackReceived{Worker: w.number, CallbackID: t.id, Callback: &t.body}})
		})
	}
}

// applyAck is a scheduler's answer to a callback; status 0: the call has failed.
func (w *worker) applyAck(scheduler int, message *simapi.CallbackAnswered) {
	id, status := message.CallbackID, message.Status
	if arrive, ok := w.env.network.arrival(endpoint{schedulerEndpoint, scheduler}, w.endpoint()); ok {
		w.env.schedule(arrive, func() { w.callbackAnswered(id, status) })
	}
}

func (w *worker) callbackAnswered(id uint64, status int) {
	t := w.callbacks.find(id)
	switch {
	case t == nil: // of a process that is gone, or answered before
	case w.isPaused() && !t.byAgent:
		w.process.inbox = append(w.process.inbox, func() { w.callbackAnswered(id, status) })
	case status == 200 || status == 204:
		w.closeCallback(t)
		w.env.record(trace.Event{
			Kind: trace.CallbackAnswered, RequestID: t.body.CallID, Worker: w.number, Scheduler: t.scheduler, Text: t.body.State,
			Status: status, Number: t.sendings,
		})
		if twice := w.kind.CallbackTwiceShare; twice > 0 && w.shared.dice.stream(id, 0).Float64() < twice {
			w.env.after(callbackRepeatDelay, func() { w.deliverCallback(t) })
		}
		w.maybeExit()
	case t.awaiting:
		w.retryCallback(t)
	}
}

// expireCalls gives up calls that have waited for too long.
func (w *worker) expireCalls() {
	callbackQueue := &w.callbacks
	i := 0
	for ; i < len(callbackQueue.pendingCalls); i++ {
		c := &callbackQueue.pendingCalls[i]
		if c.callback.closed || !c.callback.awaiting || c.callback.sendings != c.sending {
			continue
		}
		if c.deadline > w.env.now {
			break
		}
		w.retryCallback(c.callback)
	}
	callbackQueue.pendingCalls = slices.Delete(callbackQueue.pendingCalls, 0, i)
	if callbackQueue.expiryPlanned = len(callbackQueue.pendingCalls) > 0; callbackQueue.expiryPlanned {
		w.env.schedule(callbackQueue.pendingCalls[0].deadline, w.expireCalls)
	}
}

// retryCallback plans the next call of a callback, unless there were enough.
func (w *worker) retryCallback(t *callback) {
	t.awaiting = false
	if t.sendings >= callbackAttempts {
		w.loseCallback(t)
		return
	}
	w.env.after(min(callbackBackoff<<(t.sendings-1), callbackMaxBackoff), func() {
		switch {
		case t.closed:
		case t.byAgent:
			w.sendCallback(t)
		default: // it has not been forgotten, so its process is there
			w.whenRunning(func() { w.sendCallback(t) })
		}
	})
}

// sendHeld sends what was held up by a hang.
func (w *worker) sendHeld() {
	held := w.callbacks.held
	w.callbacks.held = nil
	for _, t := range held {
		w.whenRunning(func() { w.sendCallback(t) })
	}
}

// loseCallback gives up a callback.
func (w *worker) loseCallback(t *callback) {
	w.closeCallback(t)
	w.env.record(trace.Event{Kind: trace.CallbackLost, RequestID: t.body.CallID, Worker: w.number, Text: t.body.State})
	w.maybeExit()
}

func (w *worker) closeCallback(t *callback) {
	t.closed, t.awaiting = true, false
	p := &w.callbacks
	p.callbacks[t.id&(1<<32-1)-p.firstID] = nil
	done := 0
	for done < len(p.callbacks) && p.callbacks[done] == nil {
		done++
	}
	p.callbacks, p.firstID = slices.Delete(p.callbacks, 0, done), p.firstID+uint64(done)
	if !t.byAgent {
		p.outstanding--
	}
}

// loseCallbacks loses the callbacks of a process that has ended; those of the agent too when the machine has fallen silent.
func (w *worker) loseCallbacks(agent bool) {
	for _, t := range slices.Clone(w.callbacks.callbacks) {
		if t != nil && (agent || !t.byAgent) {
			w.loseCallback(t)
		}
	}
	w.callbacks.held = nil
}
