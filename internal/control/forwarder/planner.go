package forwarder

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// plannerLink is one to whom there is a connection.
type plannerLink struct {
	name            string
	epoch           message.Epoch // of the session; 0: there is none
	accepted        bool          // it has taken us in
	leaving         bool          // it has said that it stops
	suspected       bool          // it has not answered for some time
	overrun         bool          // it has said more than can be taken in
	credit          int
	requests        []*request // that are with it
	heartbeatSeq    uint64     // of the last question whether it is there
	acknowledgedSeq uint64     // the last one that it answered: it has read all that was told before
	heartbeatAt     time.Duration
	lastHeartbeatAt time.Duration
	ignoreLatency   bool          // we were late ourselves since we asked
	needsHeartbeat  bool          // it was offered queries since we asked
	latency         time.Duration // to answer, of late
	minLatency      time.Duration // and the least in this session; 0: it has not answered
	poisonSuspect   *request      // of which it has perhaps not read yet
	rejected        [message.ReasonCount]int
	rejectedTotal   int // of these, since they were last told
}

// noEpoch is the epoch of no session.
const noEpoch = message.Epoch(math.MaxUint64)

// acceptsRequests tells whether new queries may go to a planner.
func (p *plannerLink) acceptsRequests() bool { return p.accepted && !p.leaving }

func (f *Forwarder) findPlanner(name string) *plannerLink {
	if i, ok := f.searchPlanner(name); ok {
		return f.planners[i]
	}
	return nil
}

func (f *Forwarder) searchPlanner(name string) (int, bool) {
	return slices.BinarySearchFunc(f.planners, name, func(p *plannerLink, name string) int {
		return cmp.Compare(p.name,
			name)
	})
}

func (f *Forwarder) plannerByEpoch(e message.Epoch) *plannerLink {
	for _, p := range f.planners {
		if p.accepted && p.epoch == e {
			return p
		}
	}
	return nil
}

// addPlanner takes in that there is a connection to a planner; nil: to too many.
func (f *Forwarder) addPlanner(name string) *plannerLink {
	i, ok := f.searchPlanner(name)
	if !ok {
		if len(f.planners) >= maxPlanners {
			return nil
		}
		f.planners = slices.Insert(f.planners, i, &plannerLink{name: name})
		f.orderStale = true
	}
	return f.planners[i]
}

// removePlanner takes in that there is none any more.
func (f *Forwarder) removePlanner(p *plannerLink) {
	if i, ok := f.searchPlanner(p.name); ok {
		f.planners = slices.Delete(f.planners, i, i+1)
		f.orderStale = true
	}
}

func (f *Forwarder) updatePlanners(in *input) {
	f.knownPlanners = len(in.names)
	f.selector.PlannersKnown(f.now, in.names)
	f.orderStale = true
}

// refreshOrder finds the order of planners anew, if it may have changed.
func (f *Forwarder) refreshOrder() {
	if at := f.selector.Next(); !f.orderStale && (at == 0 || at > f.now) {
		return
	}
	f.orderStale = false
	f.orderNames = f.selector.AppendOrder(f.now, f.orderNames[:0])
	f.preferred = f.preferred[:0]
	for _, name := range f.orderNames {
		if p := f.findPlanner(name); p != nil && !slices.Contains(f.preferred, p) {
			f.preferred = append(f.preferred, p)
		}
	}
	for _, p := range f.planners {
		if !slices.Contains(f.preferred, p) {
			f.preferred = append(f.preferred, p)
		}
	}
}

// ---- Sessions ----

// startSession begins a session on a connection that is there.
func (f *Forwarder) startSession(p *plannerLink) {
	if p == nil {
		return
	}
	f.loseSession(p)
	f.lastEpoch++
	p.epoch, p.leaving, p.overrun, p.suspected, p.ignoreLatency = f.lastEpoch, false, false, false, false
	p.heartbeatSeq, p.acknowledgedSeq, p.heartbeatAt, p.lastHeartbeatAt, p.needsHeartbeat, p.minLatency = 0, 0, 0, f.now, false, 0
	f.post(p, &message.Handshake{Name: f.config.Name, Incarnation: f.config.Incarnation, Version: f.config.Version})
}

func (f *Forwarder) acceptSession(p *plannerLink, m *message.HandshakeAccept) {
	if p.accepted {
		return
	}
	if m.Version>>8 != f.config.Version>>8 {
		f.log("planner of another protocol version is not used", "planner", p.name,
			"planner_version", fmt.Sprintf("%d.%d", m.Version>>8, m.Version&0xff),
			"own_version", fmt.Sprintf("%d.%d", f.config.Version>>8, f.config.Version&0xff))
		return
	}
	p.accepted, p.credit = true, max(0, m.Credit)
	f.validator.OpenSession(p.epoch)
	f.hadPlanner, f.orderStale = true, true
	f.selector.SessionChanged(f.now, p.name, true)
	f.sendUnavailable(p)
	f.log("planner accepts requests", "planner", p.name, "session", p.epoch, "credit", p.credit)
}

// loseSession ends a session. All that it had is offered elsewhere in this step. What it had not read of when it ended may
// have been what ended it.
func (f *Forwarder) loseSession(p *plannerLink) {
	f.endSession(p, !p.leaving)
}

func (f *Forwarder) endSession(p *plannerLink, suddenly bool) {
	if p.epoch == 0 {
		return
	}
	f.validator.CloseSession(p.epoch)
	out := 0
	open, had := p.accepted, len(p.requests)
	for len(p.requests) > 0 {
		q := p.requests[len(p.requests)-1]
		if f.validator.InFlight(q.job.ID) > 0 {
			out++
		}
		// What came of it can't be here sooner than any answer.
		may := q.offeredSeq > p.acknowledgedSeq && !q.commanded && f.now-q.awaitingSince >= p.minLatency/2
		if f.unassign(q); suddenly && may {
			f.recordFailure(q, p)
		} else {
			f.enqueue(q)
		}
	}
	p.epoch, p.accepted, p.poisonSuspect, f.orderStale = 0, false, nil, true
	if open {
		if !p.leaving {
			f.selector.SessionChanged(f.now, p.name, false)
		}
		f.log("planner session lost", "planner", p.name, "requests", had, "with_attempts", out)
	}
}

// recordFailure takes in that a planner's session has ended on a query, or that it has given it back as one that makes its
// module panic. A query that has done so twice is offered to nobody any more.
func (f *Forwarder) recordFailure(q *request, p *plannerLink) {
	if q.failures++; q.failures < maxSessionFailures {
		q.transferredBy = p
		f.enqueue(q)
		return
	}
	f.stats.Poison++
	f.log("request given up as sessions or policies fail on it", "request", q.job.ID, "class", q.job.Class,
		"failures", q.failures)
	f.giveUp(q)
}

// resetSession gives a planner up that does not answer, or can't be followed, though its connection is there. It may have a
// new session at once: it takes that up when it has read of it, and all that it says before is void.
func (f *Forwarder) resetSession(p *plannerLink) {
	f.stats.Unresponsive++
	f.endSession(p, false)
	f.startSession(p)
}

// plannerLeaving takes in that a planner stops. It decides nothing any more, and what it has ordered stands.
func (f *Forwarder) plannerLeaving(p *plannerLink) {
	if p.leaving {
		return
	}
	p.leaving, f.orderStale = true, true
	f.selector.SessionChanged(f.now, p.name, false)
	f.log("planner shuts down", "planner", p.name, "requests", len(p.requests))
	for len(p.requests) > 0 {
		q := p.requests[len(p.requests)-1]
		f.unassign(q)
		f.enqueue(q)
	}
}

// DrainingPlanners names the planners that stop and have nothing of this forwarder's. Their connections are to be closed.
func (f *Forwarder) DrainingPlanners() (names []string) {
	for _, p := range f.planners {
		if p.leaving {
			names = append(names, p.name)
		}
	}
	return names
}

// checkSessions looks after sessions, and finds out whether there is a planner at all.
func (f *Forwarder) checkSessions() {
	for _, p := range f.planners {
		if p.overrun {
			f.resetSession(p)
		}
		if !p.accepted || p.heartbeatAt == 0 {
			continue
		}
		switch since := f.now - p.heartbeatAt; {
		case since >= f.unresponsiveAfter(p):
			f.resetSession(p)
		case since >= f.suspectAfter(p) && !p.suspected:
			p.suspected = true
			for _, q := range p.requests {
				if !q.commanded && f.validator.InFlight(q.job.ID) == 0 {
					q.silentAt = f.objectiveAtRisk(q)
					f.scheduleCheck(q)
				}
			}
		}
	}
	f.plannerPresent = slices.ContainsFunc(f.planners, (*plannerLink).acceptsRequests)
	f.updateMode()
}

func (f *Forwarder) suspectAfter(p *plannerLink) time.Duration {
	return max(f.config.SuspectAfter, 4*p.latency)
}
func (f *Forwarder) unresponsiveAfter(p *plannerLink) time.Duration {
	return max(f.config.UnresponsiveAfter, 8*p.latency)
}

// nextHeartbeat is when a planner is to be asked next.
func (f *Forwarder) nextHeartbeat(p *plannerLink) time.Duration {
	switch {
	case p.poisonSuspect != nil && p.poisonSuspect.offeredSeq > p.heartbeatSeq:
		return f.now
	case p.needsHeartbeat:
		return p.lastHeartbeatAt + min(confirmHeartbeatDelay, f.config.HeartbeatInterval)
	}
	return p.lastHeartbeatAt + f.config.HeartbeatInterval
}

// sendHeartbeats asks planners whether they are there, and by that whether they have read what was told.
func (f *Forwarder) sendHeartbeats() {
	for _, p := range f.planners {
		if p.accepted && p.heartbeatAt == 0 && f.now >= f.nextHeartbeat(p) {
			p.heartbeatSeq++
			p.heartbeatAt, p.lastHeartbeatAt, p.needsHeartbeat, p.ignoreLatency = max(f.now, 1), f.now, false, false
			f.send(p, &message.Heartbeat{Sequence: p.heartbeatSeq})
		}
	}
}

// nextPlannerDeadline is when something is due by a planner; 0: nothing.
func (f *Forwarder) nextPlannerDeadline(p *plannerLink) time.Duration {
	switch {
	case !p.accepted:
		return 0
	case p.heartbeatAt == 0:
		return max(f.nextHeartbeat(p), 1)
	case p.suspected:
		return p.heartbeatAt + f.unresponsiveAfter(p)
	}
	return p.heartbeatAt + f.suspectAfter(p)
}

// heartbeatReply takes in a reply that was received at an instant.
func (f *Forwarder) heartbeatReply(p *plannerLink, at time.Duration, m *message.HeartbeatReply) {
	if p.heartbeatAt == 0 || m.Sequence != p.heartbeatSeq {
		return
	}
	p.acknowledgedSeq, p.suspected = p.heartbeatSeq, false
	if took := max(0, at-p.heartbeatAt); !p.ignoreLatency {
		p.latency += (took - p.latency) / 4
		if p.minLatency == 0 || took < p.minLatency {
			p.minLatency = took
		}
		f.selector.ReplyReceived(f.now, p.name, took, max(0, m.TimerLag))
		f.orderStale = true
	}
	if p.heartbeatAt = 0; p.poisonSuspect != nil && p.poisonSuspect.offeredSeq <= p.acknowledgedSeq {
		p.poisonSuspect = nil
	}
}

// ---- What planners say ----

// receive takes in a message. What belongs to no session, or comes before the session is accepted, is void.
func (f *Forwarder) receive(in *input) {
	p := f.findPlanner(in.planner)
	epoch := in.envelope.Epoch
	_, isAccept := in.envelope.Message.(*message.HandshakeAccept)
	if p == nil || p.epoch == 0 || epoch != p.epoch || !p.accepted && !isAccept {
		f.receiveStray(in.envelope.Message)
		return
	}
	if p.overrun { // what comes after a gap may mean something else
		return
	}
	switch m := in.envelope.Message.(type) {
	case *message.HandshakeAccept:
		f.acceptSession(p, m)
	case *message.CreditUpdate:
		p.credit = max(0, m.Credit)
	case *message.HeartbeatReply:
		f.heartbeatReply(p, in.at, m)
	case *message.Goodbye:
		f.plannerLeaving(p)
	case *message.WorkerStatus:
		f.workerStatus(p, *m)
	case message.Command:
		f.execute(p, m)
	default:
		f.stats.StrayMessages++
	}
}

// receiveStray counts a message that belongs to no session.
func (f *Forwarder) receiveStray(m message.Message) {
	if command, ok := m.(message.Command); ok {
		f.validator.Validate(f.now, noEpoch, command) // which counts it
	} else {
		f.stats.StrayMessages++
	}
}

// post has a message sent in a planner's session, accepted or not.
func (f *Forwarder) post(p *plannerLink, m message.Message) {
	f.outbox = append(f.outbox, Outgoing{p.name, message.Envelope{Epoch: p.epoch, Message: m}})
}

// send has a message sent to a planner that has a session.
func (f *Forwarder) send(p *plannerLink, m message.Message) {
	if p.accepted {
		f.post(p, m)
	}
}

// sendAbout sends a message about a request to the planner that has it, or had it last, while that session lives.
func (f *Forwarder) sendAbout(q *request, m message.Message) {
	if q.session == q.planner.epoch {
		f.send(q.planner, m)
	}
}

// execute executes a planner's command, if it is valid.
func (f *Forwarder) execute(p *plannerLink, command message.Command) {
	f.stats.Commands++
	if reason := f.validator.Validate(f.now, p.epoch, command); reason != message.ReasonNone {
		f.rejectCommand(p, command, reason)
		return
	}
	switch m := command.(type) {
	case *message.HealthCheckCommand:
		if !f.healthCheck(m.WorkerID, p.epoch) {
			f.send(p, &message.HealthCheckResult{WorkerID: m.WorkerID, Result: dispatch.NotSent})
		}
	case *message.CloseIdleCommand:
		f.emit(dispatch.CloseIdleConnections{Worker: m.WorkerID})
	case *message.SendCommand:
		f.sendAttempt(f.commandedRequest(m.RequestID), m.WorkerID, m.Timeout)
	case *message.RejectCommand:
		q := f.commandedRequest(m.RequestID)
		f.respond(dispatch.Reject{Job: m.RequestID, RetryAfter: min(max(0, m.RetryAfter), f.settings.MaxRetryAfter)})
		f.closeRequest(q, false)
	case *message.FailCommand:
		q := f.commandedRequest(m.RequestID)
		f.respond(dispatch.Fail{Job: m.RequestID})
		f.closeRequest(q, false)
	case *message.CancelCommand:
		f.commandedRequest(m.RequestID)
		if index, ok := f.validator.AttemptIndex(m.RequestID, m.Attempt); ok {
			f.emit(dispatch.Cancel{Job: m.RequestID, Attempt: index})
		}
	case *message.TransferCommand:
		f.transfer(f.commandedRequest(m.RequestID), p, m.Planner)
	}
}

// commandedRequest returns the request of a valid command, and notes that its planner has decided on it.
func (f *Forwarder) commandedRequest(id uint64) *request {
	q := f.requests[id]
	q.commanded = true
	q.silentAt = 0
	return q
}

// sendAttempt has the ledger send a query. An order to wait for a time that is over, or over the deadline, is one to wait
// until that: what is sent may run, and whether it does is worth knowing.
func (f *Forwarder) sendAttempt(q *request, worker uint64, patience time.Duration) {
	if patience < 0 || patience >= q.deadline-f.now {
		patience = 0
	}
	f.respond(dispatch.Send{Job: q.job.ID, Worker: worker, AttemptTimeout: patience})
	f.stats.Sent++
	f.scheduleCheck(q)
}

// transfer hands a query on. One that is handed on and on waits in between: planners do not agree on whose it is.
func (f *Forwarder) transfer(q *request, p *plannerLink, to string) {
	f.unassign(q)
	f.stats.Transfers++
	if to == "" {
		f.recordFailure(q, p)
		return
	}
	q.transfers++
	q.transferredBy, q.transferTarget = p, to
	if extra := q.transfers - maxImmediateTransfers; extra > 0 {
		q.notBefore = f.now + transferBackoff<<min(extra-1, 6)
	}
	f.enqueue(q)
}

// rejectCommand tells a planner that its command was not executed.
func (f *Forwarder) rejectCommand(p *plannerLink, command message.Command, reason message.RejectReason) {
	p.rejected[reason]++
	p.rejectedTotal++
	switch m := command.(type) {
	case *message.SendCommand:
		if reason != message.ReasonDuplicateCommand { // that number has its end, or will have
			f.rejectSend(p, m, reason)
		}
	case *message.RejectCommand:
		if reason == message.ReasonUnsafeRejection {
			// To the planner the request is closed. A failure promises nothing, and is always safe.
			f.send(p, &message.AttemptEnded{RequestID: m.RequestID, Attempt: -1, Result: dispatch.NotSent, Reason: reason})
			f.respond(dispatch.Fail{Job: m.RequestID})
			f.closeRequest(f.requests[m.RequestID], false)
		}
	case *message.HealthCheckCommand:
		f.send(p, &message.HealthCheckResult{WorkerID: m.WorkerID, Result: dispatch.NotSent})
	}
}

func (f *Forwarder) rejectSend(p *plannerLink, m *message.SendCommand, reason message.RejectReason) {
	if status, ok := f.validator.BlockingStatus(m.WorkerID); ok && reason == message.ReasonWorkerDraining {
		f.send(p, &status)
	}
	f.send(p, &message.AttemptEnded{RequestID: m.RequestID, Attempt: m.Attempt, Result: dispatch.NotSent, Reason: reason})
	q := f.requests[m.RequestID]
	if q != nil && q.state == stateOffered && q.planner == p && f.validator.InFlight(m.RequestID) == 0 {
		f.awaitCommand(q)
	}
}
