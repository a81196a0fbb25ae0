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
func (n *worker) notify(a *attempt, state string, share float64) {
	t := n.newCallback(a, state)
	t.body.Progress = share
	n.callbacks.outstanding++
	switch {
	case n.silencesCallbacks:
		n.loseCallback(t)
	case a.mayNotify || a.notifiesEarly:
		n.sendCallback(t)
	default:
		a.pendingCallbacks = append(a.pendingCallbacks, t)
	}
}

// notifyLost has the machine's agent tell that an attempt was lost.
func (n *worker) notifyLost(a *attempt) {
	t := n.newCallback(a, "lost")
	t.byAgent = true
	n.sendCallback(t)
}

func (n *worker) newCallback(a *attempt, state string) *callback {
	p := &n.callbacks
	t := &callback{
		id: uint64(n.number)<<32 | (p.firstID + uint64(len(p.callbacks))), scheduler: a.scheduler,
		body: requests.Callback{CallID: a.requestID, EndpointID: n.id, State: state},
	}
	if state == "done" {
		t.result = a.result
		t.body.Result = &t.result
	}
	p.callbacks = append(p.callbacks, t)
	return t
}

// find finds a callback that is neither answered nor given up.
func (p *callbackQueue) find(id uint64) *callback {
	if i := id&(1<<32-1) - p.firstID; i < uint64(len(p.callbacks)) {
		return p.callbacks[i]
	}
	return nil
}

// sendCallback sends a callback once.
func (n *worker) sendCallback(t *callback) {
	callbackQueue := &n.callbacks
	if t.closed {
		return
	}
	if !t.byAgent {
		if n.silencesCallbacks {
			n.loseCallback(t)
			return
		}
		if n.hanging {
			callbackQueue.held = append(callbackQueue.held, t)
			return
		}
	}
	t.sendings++
	t.awaiting = true
	n.deliverCallback(t)
	callbackQueue.pendingCalls = append(callbackQueue.pendingCalls, callbackCall{t, t.sendings, n.env.now + callbackTimeout})
	if !callbackQueue.expiryPlanned {
		callbackQueue.expiryPlanned = true
		n.env.after(callbackTimeout, n.expireCalls)
	}
}

// deliverCallback brings one sending of a callback to its scheduler, unless it gets lost.
func (n *worker) deliverCallback(t *callback) {
	late := time.Duration(0)
	if n.kind.CallbackLossShare > 0 || n.kind.CallbackDelay > 0 {
		r := n.shared.dice.stream(t.id, uint64(t.sendings))
		if r.Float64() < n.kind.CallbackLossShare {
			return
		}
		late = time.Duration(r.ExpFloat64() * float64(n.kind.CallbackDelay))
	}
	if arrive, ok := n.env.network.arrival(n.endpoint(), endpoint{schedulerEndpoint, t.scheduler}); ok {
		n.env.schedule(arrive+late, func() {
			n.env.deliver(simapi.Input{Scheduler: t.scheduler, Message: simapi.CallbackReceived{Worker: n.number, CallbackID: t.id, Callback: &t.body}})
		})
	}
}

// applyAck is a scheduler's answer to a callback; status 0: the call has failed.
func (n *worker) applyAck(scheduler int, message *simapi.CallbackAnswered) {
	id, status := message.CallbackID, message.Status
	if arrive, ok := n.env.network.arrival(endpoint{schedulerEndpoint, scheduler}, n.endpoint()); ok {
		n.env.schedule(arrive, func() { n.callbackAnswered(id, status) })
	}
}

func (n *worker) callbackAnswered(id uint64, status int) {
	t := n.callbacks.find(id)
	switch {
	case t == nil: // of a process that is gone, or answered before
	case n.isPaused() && !t.byAgent:
		n.inbox = append(n.inbox, func() { n.callbackAnswered(id, status) })
	case status == 200 || status == 204:
		n.closeCallback(t)
		n.env.record(trace.Event{
			Kind: trace.CallbackAnswered, RequestID: t.body.CallID, Worker: n.number, Scheduler: t.scheduler, Text: t.body.State,
			Status: status, Number: t.sendings,
		})
		if twice := n.kind.CallbackTwiceShare; twice > 0 && n.shared.dice.stream(id, 0).Float64() < twice {
			n.env.after(callbackRepeatDelay, func() { n.deliverCallback(t) })
		}
		n.maybeExit()
	case t.awaiting:
		n.retryCallback(t)
	}
}

// expireCalls gives up calls that have waited for too long.
func (n *worker) expireCalls() {
	callbackQueue := &n.callbacks
	i := 0
	for ; i < len(callbackQueue.pendingCalls); i++ {
		c := &callbackQueue.pendingCalls[i]
		if c.callback.closed || !c.callback.awaiting || c.callback.sendings != c.sending {
			continue
		}
		if c.deadline > n.env.now {
			break
		}
		n.retryCallback(c.callback)
	}
	callbackQueue.pendingCalls = slices.Delete(callbackQueue.pendingCalls, 0, i)
	if callbackQueue.expiryPlanned = len(callbackQueue.pendingCalls) > 0; callbackQueue.expiryPlanned {
		n.env.schedule(callbackQueue.pendingCalls[0].deadline, n.expireCalls)
	}
}

// retryCallback plans the next call of a callback, unless there were enough.
func (n *worker) retryCallback(t *callback) {
	t.awaiting = false
	if t.sendings >= callbackAttempts {
		n.loseCallback(t)
		return
	}
	n.env.after(min(callbackBackoff<<(t.sendings-1), callbackMaxBackoff), func() {
		switch {
		case t.closed:
		case t.byAgent:
			n.sendCallback(t)
		default: // it has not been forgotten, so its process is there
			n.whenRunning(func() { n.sendCallback(t) })
		}
	})
}

// sendHeld sends what was held up by a hang.
func (n *worker) sendHeld() {
	held := n.callbacks.held
	n.callbacks.held = nil
	for _, t := range held {
		n.whenRunning(func() { n.sendCallback(t) })
	}
}

// loseCallback gives up a callback.
func (n *worker) loseCallback(t *callback) {
	n.closeCallback(t)
	n.env.record(trace.Event{Kind: trace.CallbackLost, RequestID: t.body.CallID, Worker: n.number, Text: t.body.State})
	n.maybeExit()
}

func (n *worker) closeCallback(t *callback) {
	t.closed, t.awaiting = true, false
	p := &n.callbacks
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
func (n *worker) loseCallbacks(agent bool) {
	for _, t := range slices.Clone(n.callbacks.callbacks) {
		if t != nil && (agent || !t.byAgent) {
			n.loseCallback(t)
		}
	}
	n.callbacks.held = nil
}
