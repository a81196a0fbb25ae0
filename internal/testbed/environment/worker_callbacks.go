package environment

import (
	"net/http"
	"slices"
	"time"

	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// callbackQueue holds the callbacks of a worker that are neither answered nor given up. Each is sent by calls with a timeout
// until a call is answered 200 or 204, or callbackAttempts calls have failed. A call goes to whichever process of the scheduler
// runs then.
type callbackQueue struct {
	firstID       uint64         // ID, without the worker's part, of the first of callbacks
	callbacks     []*callback    // in order of creation; nil: answered or given up
	outstanding   int            // number of callbacks of the process, without those of the machine's agent
	held          []*callback    // held up while the process hangs
	pendingCalls  []callbackCall // in order of deadline
	expiryPlanned bool           // an entry for the first deadline is on the event queue
}

// callback is a notification of the state of an attempt.
type callback struct {
	id        uint64 // the worker's number in the upper half
	scheduler int
	sendings  int
	byAgent   bool // sent by the machine's agent, whatever becomes of the process
	awaiting  bool // it awaits the answer to a call
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

// isAwaited reports whether the call still waits for its answer.
func (c *callbackCall) isAwaited() bool {
	return !c.callback.closed && c.callback.awaiting && c.callback.sendings == c.sending
}

const (
	callbackAttempts    = 10
	callbackTimeout     = 2 * time.Second        // for the answer to a call
	callbackBackoff     = 100 * time.Millisecond // before the second call, doubling
	callbackMaxBackoff  = 2 * time.Second
	callbackRepeatDelay = 20 * time.Millisecond // before an answered callback is sent again
)

// callbackIDBits is the size of the part of a callback's ID that counts a worker's callbacks.
const callbackIDBits = 32

// callbackIndexMask selects that part.
const callbackIndexMask = 1<<callbackIDBits - 1

// add adds a callback of a worker and sets its ID.
func (c *callbackQueue) add(workerNumber int, callback *callback) {
	callback.id = uint64(workerNumber)<<callbackIDBits | (c.firstID + uint64(len(c.callbacks)))
	c.callbacks = append(c.callbacks, callback)
}

// find returns a callback that is neither answered nor given up; nil: there is none with that ID.
func (c *callbackQueue) find(id uint64) *callback {
	index := id&callbackIndexMask - c.firstID
	if index < uint64(len(c.callbacks)) {
		return c.callbacks[index]
	}
	return nil
}

// close removes a callback that is answered or given up.
func (c *callbackQueue) close(callback *callback) {
	callback.closed = true
	callback.awaiting = false
	c.callbacks[callback.id&callbackIndexMask-c.firstID] = nil
	done := 0
	for done < len(c.callbacks) && c.callbacks[done] == nil {
		done++
	}
	c.callbacks = slices.Delete(c.callbacks, 0, done)
	c.firstID += uint64(done)
	if !callback.byAgent {
		c.outstanding--
	}
}

// takeHeld removes the callbacks that a hang holds up and returns them.
func (c *callbackQueue) takeHeld() []*callback {
	held := c.held
	c.held = nil
	return held
}

// notify makes a callback of an attempt's state, and sends it now, or after the 202 if that is still to be sent. progress
// is the share of the work that is done.
func (w *worker) notify(attempt *attempt, state string, progress float64) {
	callback := w.newCallback(attempt, state)
	callback.body.Progress = progress
	w.callbacks.outstanding++
	switch {
	case w.process.dropsCallbacks:
		w.loseCallback(callback)
	case attempt.mayNotify || attempt.notifiesEarly:
		w.sendCallback(callback)
	default:
		attempt.pendingCallbacks = append(attempt.pendingCallbacks, callback)
	}
}

// notifyLost makes the machine's agent send a callback that an attempt was lost.
func (w *worker) notifyLost(attempt *attempt) {
	callback := w.newCallback(attempt, "lost")
	callback.byAgent = true
	w.sendCallback(callback)
}

func (w *worker) newCallback(attempt *attempt, state string) *callback {
	created := &callback{
		scheduler: attempt.scheduler,
		body:      requests.Callback{CallID: attempt.requestID, EndpointID: w.id, State: state},
	}
	if state == "done" {
		created.result = attempt.result
		created.body.Result = &created.result
	}
	w.callbacks.add(w.number, created)
	return created
}

// sendCallback sends a callback once. If the process drops its callbacks it is lost, and if it hangs it is held.
func (w *worker) sendCallback(callback *callback) {
	queue := &w.callbacks
	if callback.closed {
		return
	}
	if !callback.byAgent {
		if w.process.dropsCallbacks {
			w.loseCallback(callback)
			return
		}
		if w.process.hanging {
			queue.held = append(queue.held, callback)
			return
		}
	}
	callback.sendings++
	callback.awaiting = true
	w.deliverCallback(callback)
	queue.pendingCalls = append(queue.pendingCalls, callbackCall{callback, callback.sendings, w.env.now + callbackTimeout})
	if !queue.expiryPlanned {
		queue.expiryPlanned = true
		w.env.after(callbackTimeout, w.expireCalls)
	}
}

// deliverCallback delivers one sending of a callback to its scheduler, unless it gets lost.
func (w *worker) deliverCallback(callback *callback) {
	delay := time.Duration(0)
	if w.kind.CallbackLossShare > 0 || w.kind.CallbackDelay > 0 {
		rng := w.shared.keyedRand.stream(callback.id, uint64(callback.sendings))
		if rng.Float64() < w.kind.CallbackLossShare {
			return
		}
		delay = time.Duration(rng.ExpFloat64() * float64(w.kind.CallbackDelay))
	}
	arrival, ok := w.env.network.arrival(w.endpoint(), endpoint{schedulerEndpoint, callback.scheduler})
	if !ok {
		return
	}
	w.env.schedule(arrival+delay, func() {
		w.env.deliver(simapi.Input{Scheduler: callback.scheduler, Message: simapi.CallbackReceived{
			Worker: w.number, CallbackID: callback.id, Callback: &callback.body,
		}})
	})
}

// sendCallbackAnswer sends a scheduler's answer to a callback over the network; status 0: the call has failed.
func (w *worker) sendCallbackAnswer(scheduler int, message *simapi.CallbackAnswered) {
	arrival, ok := w.env.network.arrival(endpoint{schedulerEndpoint, scheduler}, w.endpoint())
	if !ok {
		return
	}
	id := message.CallbackID
	status := message.Status
	w.env.schedule(arrival, func() { w.callbackAnswered(id, status) })
}

// callbackAnswered handles the answer to a call. Any but 200 and 204 leads to another call.
func (w *worker) callbackAnswered(id uint64, status int) {
	callback := w.callbacks.find(id)
	switch {
	case callback == nil: // of an earlier process, or already answered
	case w.isPaused() && !callback.byAgent:
		w.process.inbox = append(w.process.inbox, func() { w.callbackAnswered(id, status) })
	case status == http.StatusOK || status == http.StatusNoContent:
		w.callbacks.close(callback)
		w.env.record(trace.Event{
			Kind: trace.CallbackAnswered, RequestID: callback.body.CallID, Worker: w.number, Scheduler: callback.scheduler,
			Text: callback.body.State, Status: status, Number: callback.sendings,
		})
		if w.sendsTwice(id) {
			w.env.after(callbackRepeatDelay, func() { w.deliverCallback(callback) })
		}
		w.maybeExit()
	case callback.awaiting:
		w.retryCallback(callback)
	}
}

// sendsTwice draws whether a callback is sent again although it has been answered.
func (w *worker) sendsTwice(id uint64) bool {
	share := w.kind.CallbackTwiceShare
	return share > 0 && w.shared.keyedRand.stream(id, 0).Float64() < share
}

// expireCalls handles the calls whose deadline is over, and plans the next expiry.
func (w *worker) expireCalls() {
	queue := &w.callbacks
	expired := 0
	for ; expired < len(queue.pendingCalls); expired++ {
		call := &queue.pendingCalls[expired]
		if !call.isAwaited() {
			continue
		}
		if call.deadline > w.env.now {
			break
		}
		w.retryCallback(call.callback)
	}
	queue.pendingCalls = slices.Delete(queue.pendingCalls, 0, expired)
	queue.expiryPlanned = len(queue.pendingCalls) > 0
	if queue.expiryPlanned {
		w.env.schedule(queue.pendingCalls[0].deadline, w.expireCalls)
	}
}

// retryCallback plans the next call of a callback, or gives it up after callbackAttempts.
func (w *worker) retryCallback(callback *callback) {
	callback.awaiting = false
	if callback.sendings >= callbackAttempts {
		w.loseCallback(callback)
		return
	}
	w.env.after(min(callbackBackoff<<(callback.sendings-1), callbackMaxBackoff), func() {
		switch {
		case callback.closed:
		case callback.byAgent:
			w.sendCallback(callback)
		default: // its process still runs, or it would be closed
			w.whenRunning(func() { w.sendCallback(callback) })
		}
	})
}

// sendHeld sends the callbacks that a hang has held up.
func (w *worker) sendHeld() {
	for _, callback := range w.callbacks.takeHeld() {
		w.whenRunning(func() { w.sendCallback(callback) })
	}
}

// loseCallback gives up a callback.
func (w *worker) loseCallback(callback *callback) {
	w.callbacks.close(callback)
	w.env.record(trace.Event{Kind: trace.CallbackLost, RequestID: callback.body.CallID, Worker: w.number, Text: callback.body.State})
	w.maybeExit()
}

// loseCallbacks gives up the callbacks of a process that has ended, and those of the machine's agent if agentToo.
func (w *worker) loseCallbacks(agentToo bool) {
	for _, callback := range slices.Clone(w.callbacks.callbacks) {
		if callback != nil && (agentToo || !callback.byAgent) {
			w.loseCallback(callback)
		}
	}
	w.callbacks.held = nil
}
