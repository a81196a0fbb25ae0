package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// modelForwarder is a forwarder that offers random requests and executes commands with random results.
type modelForwarder struct {
	run         *randomRun
	name        string
	incarnation uint64
	epoch       message.Epoch
	connection  *modelConnection
	established bool
	leaving     bool // it has received a Goodbye
	credit      int
	lastID      uint64
	requests    map[uint64]*modelRequest
	schedule    []scheduledResult // by time
}

// modelRequest is a request of a model forwarder.
type modelRequest struct {
	id            uint64
	summary       message.RequestSummary // without durations and attempts
	arrivedAt     time.Duration
	deadline      time.Duration
	offeredIn     message.Epoch // epoch of the session in which it is offered; 0 if none
	nextAttempt   int           // expected attempt number of the next send command
	closed        bool
	closedIn      message.Epoch // epoch of the session in which a command closed it
	transferredIn message.Epoch // epoch of the session in which it was transferred
	attempts      []modelAttempt
}

type modelAttempt struct {
	worker    uint64
	sentAt    time.Duration
	startedAt time.Duration
	ended     bool
	result    dispatch.Result
	number    int // attempt number in the latest offer's numbering
}

// scheduledResult is the start or the end of an attempt.
type scheduledResult struct {
	at          time.Duration
	incarnation uint64
	request     uint64
	attempt     int
	starts      bool
	result      dispatch.Result
}

func newModelForwarder(run *randomRun, name string) *modelForwarder {
	return &modelForwarder{run: run, name: name, incarnation: 1, requests: map[uint64]*modelRequest{}}
}

// hasSession reports whether the planner's current session of this forwarder has the given ID and epoch.
func (f *modelForwarder) hasSession(id SessionID, epoch message.Epoch) bool {
	known := f.run.planner.forwarders.byName[f.name]
	return known != nil && known.session != nil && known.session.id == id && known.epoch == epoch
}

// connect opens a session on the existing connection if onSame is set, otherwise on a new one.
func (f *modelForwarder) connect(onSame bool) {
	r := f.run
	if !onSame || f.connection == nil {
		r.lastSession++
		connection := &modelConnection{id: r.lastSession, dialedBy: f, forwarder: f}
		r.connections[connection.id] = connection
		r.events = append(r.events, SessionOpened{Session: connection.id})
		if f.connection != nil { // the planner doesn't know yet that the old one has ended
			f.connection.forwarder = nil
		}
		f.connection = connection
	}
	f.endSession()
	f.epoch++
	f.send(&message.Handshake{Name: f.name, Incarnation: f.incarnation, Version: ownVersion + 1})
}

// restart replaces the process by one with the same name and a later incarnation.
func (f *modelForwarder) restart() {
	if f.connection != nil {
		f.run.closeConnection(f.connection, true)
	}
	f.incarnation++
	f.epoch += 1000
	clear(f.requests)
	f.schedule = nil
}

func (f *modelForwarder) endSession() {
	f.established, f.leaving = false, false
	f.credit = 0
	for _, req := range f.requests {
		req.offeredIn = 0
	}
}

// send sends a message to the planner.
func (f *modelForwarder) send(m message.Message) {
	_, isHandshake := m.(*message.Handshake)
	if f.connection == nil || !f.established && !isHandshake {
		return
	}
	at := f.run.arrivalTime(f.connection.toPlanner)
	f.connection.toPlanner = append(f.connection.toPlanner, delivery{at, message.Envelope{Epoch: f.epoch, Message: m}})
}

// receive processes a message from the planner.
func (f *modelForwarder) receive(connection *modelConnection, envelope message.Envelope) {
	if connection != f.connection || envelope.Epoch != f.epoch {
		return
	}
	switch m := envelope.Message.(type) {
	case *message.HandshakeAccept:
		f.established, f.credit = true, m.Credit
	case *message.CreditUpdate:
		f.credit = m.Credit
	case *message.Goodbye:
		f.withdrawRequests()
	case *message.SendCommand:
		f.sendAttempt(f.requests[m.RequestID], m)
	case *message.RejectCommand:
		f.respond(f.requests[m.RequestID], m)
	case *message.FailCommand:
		f.respond(f.requests[m.RequestID], m)
	case *message.TransferCommand:
		f.transfer(f.requests[m.RequestID], m)
	case *message.CancelCommand:
		f.cancel(f.requests[m.RequestID], m.Attempt)
	case *message.HealthCheckCommand:
		f.send(&message.HealthCheckResult{WorkerID: m.WorkerID, Result: dispatch.Result(f.run.pick(9))})
	}
}

// withdrawRequests withdraws all requests from a planner that is stopping.
func (f *modelForwarder) withdrawRequests() {
	f.leaving = true
	for _, req := range f.sortedRequests() {
		if req.offeredIn == f.epoch {
			f.send(&message.RequestClosed{RequestID: req.id})
			req.offeredIn = 0
		}
	}
}

func (f *modelForwarder) cancel(req *modelRequest, number int) {
	if req == nil {
		return
	}
	for i := range req.attempts {
		if attempt := &req.attempts[i]; attempt.number == number && !attempt.ended && req.offeredIn == f.epoch {
			f.end(req, i, dispatch.Cancelled)
		}
	}
}

// mayDecide reports whether a final command for a request is to be executed. Commands that crossed with a message that
// ended the request are ignored. A command for a request that is not offered to the planner fails the test.
func (f *modelForwarder) mayDecide(req *modelRequest, command message.Command) bool {
	if req == nil || req.closed && req.closedIn != f.epoch || req.transferredIn == f.epoch || f.leaving {
		return false
	}
	if req.offeredIn != f.epoch {
		f.run.t.Fatalf("%v of request %d, which is not offered to the planner", command.Kind(), req.id)
	}
	return true
}

// respond rejects or fails a request.
func (f *modelForwarder) respond(req *modelRequest, command message.Command) {
	if f.mayDecide(req, command) {
		req.closedIn = f.epoch
		req.closed = true
	}
}

// transfer takes a request back from the planner. Another planner, which is not simulated, serves it or not.
func (f *modelForwarder) transfer(req *modelRequest, command *message.TransferCommand) {
	if !f.mayDecide(req, command) {
		return
	}
	req.offeredIn, req.transferredIn = 0, f.epoch
	if command.Planner != "" && req.summary.Transfers >= maxTransfers {
		f.run.t.Fatalf("request %d transferred again after %d transfers", req.id, req.summary.Transfers)
	}
	req.summary.Transfers++
	if command.Planner == "" || f.run.oneIn(2) {
		req.closed = true
	}
}

// sendAttempt executes a send command, or rejects it as a forwarder's validator may.
func (f *modelForwarder) sendAttempt(req *modelRequest, command *message.SendCommand) {
	r := f.run
	switch {
	case req == nil || req.closed:
		f.rejectSend(command, message.ReasonUnknownRequest)
		return
	case req.offeredIn != f.epoch:
		f.rejectSend(command, message.ReasonNotOwner)
		return
	case command.Attempt != req.nextAttempt:
		r.t.Fatalf("request %d: send command for attempt %d, expected %d", req.id, command.Attempt, req.nextAttempt)
	}
	req.nextAttempt++
	f.checkRepeat(req, command.WorkerID)
	if r.oneIn(12) {
		reasons := []message.RejectReason{
			message.ReasonWorkerDraining, message.ReasonUnknownWorker, message.ReasonDeadlineExceeded,
		}
		f.rejectSend(command, reasons[r.pick(3)])
		return
	}
	req.attempts = append(req.attempts, modelAttempt{worker: command.WorkerID, sentAt: r.now, number: command.Attempt})
	f.scheduleResult(req, len(req.attempts)-1)
}

func (f *modelForwarder) rejectSend(command *message.SendCommand, reason message.RejectReason) {
	f.send(&message.AttemptEnded{
		RequestID: command.RequestID, Attempt: command.Attempt, Result: dispatch.NotSent, Reason: reason,
	})
}

// checkRepeat checks that the previous attempts of a request permit sending it to a worker.
func (f *modelForwarder) checkRepeat(req *modelRequest, worker uint64) {
	class := &f.run.planner.config.Settings.Classes[req.summary.Class]
	for _, attempt := range req.attempts {
		if !attempt.ended && attempt.worker == worker {
			f.run.t.Fatalf("request %d is sent to worker %d while an attempt is in flight there", req.id, worker)
		}
		if class.Idempotency == dispatch.NonIdempotent && (!attempt.ended || !provesNotExecuted(attempt.result)) {
			f.run.t.Fatalf("non-idempotent request %d is sent again although it was possibly executed", req.id)
		}
	}
}

// scheduleResult chooses the result of an attempt at random and schedules its start and end.
func (f *modelForwarder) scheduleResult(req *modelRequest, attempt int) {
	r := f.run
	at := r.now + r.randomDuration(40*ms)
	if r.oneIn(8) { // the worker never responds
		f.scheduleAt(req.deadline, req, attempt, false, dispatch.TimedOut)
		return
	}
	result := dispatch.OK
	if r.oneIn(4) {
		result = dispatch.Result(1 + r.pick(6))
	}
	if result == dispatch.OK || result == dispatch.Failed || r.oneIn(2) {
		f.scheduleAt(at, req, attempt, true, 0)
		at += r.randomDuration(300 * ms)
	}
	f.scheduleAt(min(at, req.deadline), req, attempt, false, result)
}

func (f *modelForwarder) scheduleAt(at time.Duration, req *modelRequest, attempt int, starts bool, result dispatch.Result) {
	f.schedule = append(f.schedule, scheduledResult{max(at, f.run.now+1), f.incarnation, req.id, attempt, starts, result})
	slices.SortStableFunc(f.schedule, func(a, b scheduledResult) int { return cmp.Compare(a.at, b.at) })
}

// end ends an attempt, and reports it if the request is offered in the current session.
func (f *modelForwarder) end(req *modelRequest, i int, result dispatch.Result) {
	attempt := &req.attempts[i]
	if attempt.ended {
		return
	}
	attempt.ended, attempt.result = true, result
	if req.offeredIn == f.epoch {
		f.send(&message.AttemptEnded{RequestID: req.id, Attempt: attempt.number, Result: result})
	}
	if result == dispatch.OK {
		req.closed = true
	}
}

func (f *modelForwarder) sortedRequests() []*modelRequest {
	return slices.SortedFunc(maps.Values(f.requests), func(a, b *modelRequest) int { return cmp.Compare(a.id, b.id) })
}

// runLocalEvents reports results, closes requests and offers requests, up to the current time.
func (f *modelForwarder) runLocalEvents() {
	f.reportResults()
	open := f.closeRequests()
	if !f.established || f.leaving {
		return
	}
	r := f.run
	for _, req := range f.sortedRequests() {
		if open < f.credit && !req.closed && req.offeredIn != f.epoch && req.transferredIn != f.epoch && !r.oneIn(4) {
			f.offer(req)
			open++
		}
	}
	for !r.noNewRequests && open < f.credit && r.oneIn(2) {
		f.offer(f.newRequest())
		open++
	}
}

// reportResults reports the starts and ends that are due.
func (f *modelForwarder) reportResults() {
	for len(f.schedule) > 0 && f.schedule[0].at <= f.run.now {
		result := f.schedule[0]
		f.schedule = f.schedule[1:]
		req := f.requests[result.request]
		if result.incarnation != f.incarnation || req == nil || req.attempts[result.attempt].ended {
			continue
		}
		if !result.starts {
			f.end(req, result.attempt, result.result)
			continue
		}
		attempt := &req.attempts[result.attempt]
		attempt.startedAt = f.run.now
		if req.offeredIn == f.epoch {
			f.send(&message.AttemptStarted{RequestID: req.id, Attempt: attempt.number})
		}
	}
}

// closeRequests closes the requests whose deadline has passed or whose client disconnects, and removes closed requests with
// nothing left to report. It returns the number of requests that are open at the planner.
func (f *modelForwarder) closeRequests() (open int) {
	r := f.run
	for _, req := range f.sortedRequests() {
		inFlight := slices.ContainsFunc(req.attempts, func(a modelAttempt) bool { return !a.ended })
		if !req.closed && (r.now >= req.deadline || r.oneIn(400)) {
			if req.offeredIn == f.epoch {
				f.send(&message.RequestClosed{RequestID: req.id})
			}
			req.closed = true
		}
		if req.closed && !inFlight && req.offeredIn != f.epoch || req.closed && r.now > req.deadline+time.Second {
			delete(f.requests, req.id)
		}
		if !req.closed && req.offeredIn == f.epoch && f.established {
			open++
		}
	}
	return open
}

func (f *modelForwarder) newRequest() *modelRequest {
	r := f.run
	f.lastID++
	req := &modelRequest{id: f.lastID, arrivedAt: r.now, deadline: r.now + 3*time.Second}
	req.summary = message.RequestSummary{
		Class: r.pick(len(r.planner.config.Settings.Classes)), Tenant: r.pick(3), Hint: time.Duration(r.pick(4)) * 50 * ms,
		Slots: float64(r.pick(4)), Key: uint64(r.pick(5)),
	}
	if r.oneIn(60) {
		req.summary.Tenant = poisonTenant
	}
	f.requests[req.id] = req
	return req
}

// offer offers a request with its previous attempts, which are renumbered from 0.
func (f *modelForwarder) offer(req *modelRequest) {
	now := f.run.now
	summary := req.summary
	summary.Remaining = req.deadline - now
	summary.Waited = now - req.arrivedAt
	for i := range req.attempts {
		attempt := &req.attempts[i]
		attempt.number = i
		past := message.PastAttempt{
			WorkerID: attempt.worker, SentAgo: now - attempt.sentAt, Ended: attempt.ended, Result: attempt.result,
			PossiblyExecuted: !attempt.ended || !provesNotExecuted(attempt.result),
		}
		if attempt.startedAt > 0 {
			past.StartedAgo = now - attempt.startedAt + 1
		}
		summary.Attempts = append(summary.Attempts, past)
	}
	req.nextAttempt = len(req.attempts)
	req.offeredIn = f.epoch
	f.send(&message.RequestOffer{RequestID: req.id, Summary: summary})
}
