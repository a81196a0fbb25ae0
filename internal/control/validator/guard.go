// Package guard holds every order of a planner against the rules, by the forwarder's own book, before a byte leaves. A
// planner may be slow, wrong, stale, or one of two that disagree: that may cost time, and breaks no rule.
//
// The book follows from what passes between the forwarder's ledger and whoever decides for it: events by Heard, what
// is done by Did. It shares no code with the rules of package logic, which decide elsewhere what is worth doing; this
// says only what may be done. Everything takes constant time but a whole list of worker nodes, and what is held is
// bounded by what the ledger holds, the list, and mostStrangers words.
//
// A word about a worker node can forbid, never allow: a node that the forwarder's own list has as draining, or not at
// all, gets nothing whatever others say, and one that it has as up gets nothing if the newest word of anybody is that
// it drains or is gone. So a wrong word shuts a node at worst.
package validator

import (
	"math"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// LocalEpoch is the epoch that the forwarder's own module orders by. No session has it.
const LocalEpoch message.Epoch = 0

const (
	maxUnlisted         = 4096        // words kept of worker nodes that are not on the own list
	maxClockSkew        = time.Minute // a start later than this from now is no start
	windowMarginDivisor = 20          // of a window, which is not used: clocks and ways take some
)

// Validator is one forwarder's. It is used by one goroutine.
type Validator struct {
	settings     dispatch.Settings
	now          time.Duration
	requests     map[uint64]*request
	freeRequests []*request
	openSessions map[message.Epoch]bool
	workers      map[uint64]listedWorker
	statuses     statusTable
	rejected     [message.ReasonCount]int
}

// request is one that is owed an answer, or has attempts out.
type request struct {
	class            dispatch.Class
	deadline         time.Duration
	owner            message.Epoch
	owned            bool
	closed           bool // it has its answer, or its client has left
	streaming        bool
	nextCommand      int // the number of its owner's next order
	validatedCommand int // the number of the one that was checked last
	inFlight         int
	attempts         []attempt
}

// attempt is one sending, by its place in the query the ledger's number of it.
type attempt struct {
	workerID      uint64
	cell, zone    int
	commandNumber int // by its owner's count, that of the time; else where it stands in the head
	sentAt        time.Duration
	startedAt     time.Duration // 0: nothing was heard of a start
	ended         bool
	result        dispatch.Result
}

// listedWorker is an entry of the own list.
type listedWorker struct {
	kind, cell, zone int
	status           message.WorkerStatus
}

// New returns a guard that knows nothing but the platform's settings.
func New(set dispatch.Settings) *Validator {
	return &Validator{settings: set, requests: map[uint64]*request{}, openSessions: map[message.Epoch]bool{}, workers: map[uint64]listedWorker{},
		statuses: statusTable{latest: map[uint64]message.WorkerStatus{}}}
}

// ---- What has happened ----

// Observe takes in what the ledger tells. If it is the end of an attempt, number is that attempt's by the count of the
// query's owner. The ledger itself may not number it, where the query ended between two sendings of one step.
func (g *Validator) Observe(now time.Duration, e dispatch.Event) (number int, ended bool) {
	g.advance(now)
	switch e := e.(type) {
	case dispatch.Job:
		g.admit(e)
	case dispatch.Outcome:
		return g.attemptEnded(e)
	case dispatch.Started:
		g.attemptStarted(e.Job, e.Attempt, e.Worker)
	case dispatch.Progressed:
		g.attemptStarted(e.Job, e.Attempt, e.Worker)
	case dispatch.ResponseStarted:
		g.attemptStarted(e.Job, e.Attempt, e.Worker)
		if q := g.requests[e.Job]; q != nil {
			q.streaming = true
		}
	case dispatch.ClientDisconnected:
		g.closeRequest(e.Job)
	case dispatch.WorkerList:
		g.updateList(e)
	}
	return 0, false
}

func (g *Validator) advance(now time.Duration) { g.now = max(g.now, now) }

func (g *Validator) admit(e dispatch.Job) {
	if g.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(g.settings.Classes) {
		return
	}
	q := &request{}
	if last := len(g.freeRequests) - 1; last >= 0 {
		q, g.freeRequests = g.freeRequests[last], g.freeRequests[:last]
	}
	*q = request{class: g.settings.Classes[e.Class], deadline: g.now + max(e.Remaining, 0), validatedCommand: -1, attempts: q.attempts[:0]}
	g.requests[e.ID] = q
}

func (g *Validator) openAttempt(id uint64, number int, worker uint64) *attempt {
	if q := g.requests[id]; q != nil && number >= 0 && number < len(q.attempts) {
		if a := &q.attempts[number]; !a.ended && a.workerID == worker {
			return a
		}
	}
	return nil
}

func (g *Validator) attemptStarted(id uint64, number int, worker uint64) {
	if a := g.openAttempt(id, number, worker); a != nil && a.startedAt == 0 {
		a.startedAt = max(g.now, 1)
	}
}

func (g *Validator) attemptEnded(e dispatch.Outcome) (number int, ended bool) {
	q := g.requests[e.Job]
	if q == nil {
		return 0, false
	}
	a := g.openAttempt(e.Job, e.Attempt, e.Worker)
	if a == nil && e.Closed && e.Result == dispatch.NotSent {
		// The ledger had let go of the query by then, and numbers no attempt of it.
		if i := slices.IndexFunc(q.attempts, func(a attempt) bool { return !a.ended && a.workerID == e.Worker }); i >= 0 {
			a = &q.attempts[i]
		}
	}
	if a != nil {
		a.ended, a.result = true, e.Result
		number, ended = a.commandNumber, true
		q.inFlight--
	}
	if e.Closed || e.Result == dispatch.OK || q.streaming {
		q.closed = true
	}
	g.release(e.Job, q)
	return number, ended
}

func (g *Validator) closeRequest(id uint64) {
	if q := g.requests[id]; q != nil {
		q.closed = true
		g.release(id, q)
	}
}

// release forgets a query that is over. Its memory is used again.
func (g *Validator) release(id uint64, q *request) {
	if q.closed && q.inFlight == 0 {
		delete(g.requests, id)
		g.freeRequests = append(g.freeRequests, q)
	}
}

// Apply takes in what is done for a query: a Send that Check has allowed, or a final answer, whoever's. All else is of no
// matter here.
func (g *Validator) Apply(now time.Duration, action dispatch.Action) {
	g.advance(now)
	switch a := action.(type) {
	case dispatch.Send:
		q := g.requests[a.Job]
		if q == nil {
			return
		}
		n := g.workers[a.Worker]
		q.attempts = append(q.attempts, attempt{workerID: a.Worker, cell: n.cell, zone: n.zone, commandNumber: q.validatedCommand,
			sentAt: g.now})
		q.inFlight++
	case dispatch.Reject:
		g.closeRequest(a.Job)
	case dispatch.Fail:
		g.closeRequest(a.Job)
	}
}

// updateList takes in a list.
func (g *Validator) updateList(e dispatch.WorkerList) {
	if e.Kind == dispatch.ListUnavailable {
		return
	}
	if e.Kind != dispatch.ListDelta {
		clear(g.workers)
	}
	for _, w := range e.Workers {
		if w.Removed {
			delete(g.workers, w.ID)
			g.statuses.markUnlisted(w.ID)
			continue
		}
		n := listedWorker{w.Kind, w.Cell, w.Zone, message.WorkerStatus{WorkerID: w.ID, StartedMs: w.BootAt.Milliseconds(),
			Revision: e.Revision}}
		if !w.Ready {
			n.status.State = message.WorkerDraining
		}
		g.workers[w.ID] = n
		g.statuses.markListed(w.ID)
	}
	if e.Kind != dispatch.ListDelta {
		g.statuses.resync(func(worker uint64) bool {
			_, listed := g.workers[worker]
			return listed
		})
	}
}

// ---- Whose a query is ----

// OpenSession tells that a session has begun.
func (g *Validator) OpenSession(epoch message.Epoch) { g.openSessions[epoch] = true }

// CloseSession tells that it is over: what comes of it is void.
func (g *Validator) CloseSession(epoch message.Epoch) { delete(g.openSessions, epoch) }

// Assign says who may order for a query from now on. Its orders are numbered after the attempts that there have been.
func (g *Validator) Assign(id uint64, epoch message.Epoch) {
	if q := g.requests[id]; q != nil {
		q.owner, q.owned = epoch, true
		q.nextCommand = len(q.attempts)
		for i := range q.attempts {
			q.attempts[i].commandNumber = i
		}
	}
}

// Unassign says that nobody may.
func (g *Validator) Unassign(id uint64) {
	if q := g.requests[id]; q != nil {
		q.owned = false
	}
}

// CommandNumber is how the owner of a query counts an attempt.
func (g *Validator) CommandNumber(id uint64, attempt int) (number int, ok bool) {
	if q := g.requests[id]; q != nil && attempt >= 0 && attempt < len(q.attempts) {
		return q.attempts[attempt].commandNumber, true
	}
	return 0, false
}

// NextCommandNumber is the number that the next order of a query's owner has at least.
func (g *Validator) NextCommandNumber(id uint64) int {
	if q := g.requests[id]; q != nil {
		return q.nextCommand
	}
	return 0
}

// AttemptIndex is the ledger's number of what its owner counts as number; not ok: it was never sent.
func (g *Validator) AttemptIndex(id uint64, number int) (attempt int, ok bool) {
	q := g.requests[id]
	if q == nil {
		return 0, false
	}
	for i := range q.attempts {
		if q.attempts[i].commandNumber == number {
			return i, true
		}
	}
	return 0, false
}

// ---- What may be done ----

// Validate reports why a command that came by a session, or from the local policy, may not be executed, and counts it.
// Each SendCommand uses up its number, if the request is its sender's. What is allowed is to be executed at once, and
// reported by Apply.
func (g *Validator) Validate(now time.Duration, epoch message.Epoch, m message.Message) message.RejectReason {
	g.advance(now)
	reason := g.validate(epoch, m)
	if reason != message.ReasonNone {
		g.rejected[reason]++
	}
	return reason
}

// RejectedCount counts the commands that were rejected for a reason.
func (g *Validator) RejectedCount(reason message.RejectReason) int {
	if reason < message.ReasonCount {
		return g.rejected[reason]
	}
	return 0
}

func (g *Validator) validate(epoch message.Epoch, m message.Message) message.RejectReason {
	if epoch != LocalEpoch && !g.openSessions[epoch] {
		return message.ReasonStaleEpoch
	}
	switch m := m.(type) {
	case *message.HealthCheckCommand:
		return g.validateHealthCheck(m)
	case *message.CloseIdleCommand:
		return g.validateListed(m.WorkerID)
	case *message.SendCommand:
		return g.validateSend(epoch, m)
	case *message.RejectCommand:
		return g.validateReject(epoch, m)
	case *message.FailCommand:
		_, reason := g.ownedRequest(epoch, m.RequestID)
		return reason
	case *message.CancelCommand:
		return g.validateCancel(epoch, m)
	case *message.TransferCommand:
		_, reason := g.ownedRequest(epoch, m.RequestID)
		return reason
	}
	return message.ReasonNotPermitted
}

// ownedRequest returns an open request that is assigned to a session, or the reason why there is none.
func (g *Validator) ownedRequest(epoch message.Epoch, id uint64) (*request, message.RejectReason) {
	r := g.requests[id]
	switch {
	case r == nil || r.closed || r.streaming:
		return nil, message.ReasonUnknownRequest
	case !r.owned || r.owner != epoch:
		return nil, message.ReasonNotOwner
	}
	return r, message.ReasonNone
}

func (g *Validator) validateSend(epoch message.Epoch, m *message.SendCommand) message.RejectReason {
	r, reason := g.ownedRequest(epoch, m.RequestID)
	if reason != message.ReasonNone {
		return reason
	}
	if m.Attempt < r.nextCommand || m.Attempt >= math.MaxInt32 {
		return message.ReasonDuplicateCommand
	}
	r.nextCommand = m.Attempt + 1
	r.validatedCommand = m.Attempt
	return g.validateAttempt(r, m.WorkerID)
}

func (g *Validator) validateReject(epoch message.Epoch, m *message.RejectCommand) message.RejectReason {
	r, reason := g.ownedRequest(epoch, m.RequestID)
	if reason != message.ReasonNone {
		return reason
	}
	if !r.canReject() {
		return message.ReasonUnsafeRejection
	}
	return message.ReasonNone
}

func (g *Validator) validateCancel(epoch message.Epoch, m *message.CancelCommand) message.RejectReason {
	r, reason := g.ownedRequest(epoch, m.RequestID)
	if reason != message.ReasonNone {
		return reason
	}
	if !g.settings.Cancellation {
		return message.ReasonNotPermitted
	}
	index, ok := g.AttemptIndex(m.RequestID, m.Attempt)
	if !ok || r.attempts[index].ended {
		return message.ReasonUnknownRequest
	}
	return message.ReasonNone
}

func (g *Validator) validateHealthCheck(m *message.HealthCheckCommand) message.RejectReason {
	if reason := g.validateListed(m.WorkerID); reason != message.ReasonNone {
		return reason
	}
	if !g.settings.HealthChecks {
		return message.ReasonNotPermitted
	}
	return message.ReasonNone
}

func (g *Validator) validateListed(workerID uint64) message.RejectReason {
	if _, listed := g.workers[workerID]; !listed {
		return message.ReasonUnknownWorker
	}
	return message.ReasonNone
}

// validateAttempt holds a further attempt against all rules.
func (g *Validator) validateAttempt(q *request, worker uint64) message.RejectReason {
	switch n, listed := g.workers[worker]; {
	case g.now >= q.deadline:
		return message.ReasonDeadlineExceeded
	case len(q.attempts) >= max(1, g.settings.AttemptLimit):
		return message.ReasonAttemptLimit
	case !listed:
		return message.ReasonUnknownWorker
	case !classAllows(q.class.Kinds, n.kind) || !classAllows(q.class.Zones, n.zone):
		return message.ReasonClassMismatch
	case n.status.State != message.WorkerUp || g.statuses.blocks(n.status):
		return message.ReasonWorkerDraining
	default:
		for i := range q.attempts {
			if why := g.validateBeside(q, &q.attempts[i], worker, n); why != message.ReasonNone {
				return why
			}
		}
	}
	return message.ReasonNone
}

// validateBeside holds an attempt against one that there has been.
func (g *Validator) validateBeside(q *request, a *attempt, worker uint64, n listedWorker) message.RejectReason {
	if a.possiblyExecuted() {
		switch c := &q.class; {
		case c.Idempotency == dispatch.Idempotent:
		case c.Idempotency != dispatch.IdempotentWithKey:
			return message.ReasonPossiblyExecuted
		case c.DeduplicationScope == dispatch.ScopeCell && n.cell != a.cell, c.DeduplicationScope == dispatch.ScopeZone && n.zone != a.zone:
			return message.ReasonOutsideScope
		case g.now-a.sentAt >= c.DeduplicationWindow-c.DeduplicationWindow/windowMarginDivisor:
			return message.ReasonWindowExpired
		}
	}
	switch {
	case a.ended:
	case a.workerID == worker:
		return message.ReasonDuplicateAtWorker
	case !g.settings.Hedging:
		return message.ReasonHedgingDisabled
	}
	return message.ReasonNone
}

// possiblyExecuted tells whether a worker node may have begun it, or may yet. Only three ends prove that it has not; one that
// this build doesn't know proves nothing.
func (a *attempt) possiblyExecuted() bool {
	if !a.ended {
		return true
	}
	switch a.result {
	case dispatch.WorkerFull, dispatch.ConnectFailed, dispatch.NotSent:
		return false
	}
	return true
}

// canReject tells whether the client may be told to come back.
func (q *request) canReject() bool {
	switch c := &q.class; {
	case c.Idempotency == dispatch.Idempotent, c.Idempotency == dispatch.IdempotentWithKey && c.DeduplicationScope == dispatch.ScopeAll:
		return true
	}
	for i := range q.attempts {
		if q.attempts[i].possiblyExecuted() {
			return false
		}
	}
	return true
}

// classAllows tells whether a class may go to a kind or a zone; nil: to any.
func classAllows(names []int, name int) bool { return names == nil || slices.Contains(names, name) }

// ---- What others want to know ----

// CanReject tells whether a refusal of a query is: whoever gives it up refuses it then, and else fails it.
func (g *Validator) CanReject(id uint64) bool {
	q := g.requests[id]
	return q != nil && q.canReject()
}

// InFlight counts the attempts of a query that are out.
func (g *Validator) InFlight(id uint64) int {
	if q := g.requests[id]; q != nil {
		return q.inFlight
	}
	return 0
}

// AttemptCount counts the attempts that there have been.
func (g *Validator) AttemptCount(id uint64) int {
	if q := g.requests[id]; q != nil {
		return len(q.attempts)
	}
	return 0
}

// Exhausted tells that no attempt of a query may be sent any more, to no worker node: its tries or its time are used up, or
// it has run, for all that is known, and may not run again.
func (g *Validator) Exhausted(now time.Duration, id uint64) bool {
	g.advance(now)
	q := g.requests[id]
	if q == nil || q.closed || q.streaming || g.now >= q.deadline || len(q.attempts) >= max(1, g.settings.AttemptLimit) {
		return true
	}
	for i := range q.attempts {
		c := &q.class
		if a := &q.attempts[i]; a.possiblyExecuted() && c.Idempotency != dispatch.Idempotent &&
			(c.Idempotency != dispatch.IdempotentWithKey || g.now-a.sentAt >= c.DeduplicationWindow-c.DeduplicationWindow/windowMarginDivisor) {
			return true
		}
	}
	return false
}

// AppendAttempts appends what became of each attempt of a query, as a head tells it.
func (g *Validator) AppendAttempts(now time.Duration, id uint64, dst []message.PastAttempt) []message.PastAttempt {
	g.advance(now)
	q := g.requests[id]
	if q == nil {
		return dst
	}
	for i := range q.attempts {
		a := &q.attempts[i]
		p := message.PastAttempt{WorkerID: a.workerID, SentAgo: g.now - a.sentAt, Ended: a.ended, Result: a.result, PossiblyExecuted: a.possiblyExecuted()}
		if a.startedAt > 0 {
			p.StartedAgo = max(g.now-a.startedAt, 1)
		}
		dst = append(dst, p)
	}
	return dst
}

// ObserveStatus takes in what somebody says of a worker node. news: it is newer than all that was known of it.
func (g *Validator) ObserveStatus(now time.Duration, w message.WorkerStatus) (news bool) {
	g.advance(now)
	if time.Duration(w.StartedMs) > (g.now+maxClockSkew)/time.Millisecond || w.StartedMs < 0 {
		return false
	}
	n, listed := g.workers[w.WorkerID]
	return g.statuses.update(w, listed) && (!listed || w.Supersedes(n.status))
}

// BlockingStatus is the newest word by which a worker node gets nothing.
func (g *Validator) BlockingStatus(worker uint64) (w message.WorkerStatus, ok bool) {
	switch n, listed := g.workers[worker]; {
	case !listed:
		return w, false
	case g.statuses.blocks(n.status):
		return g.statuses.latest[worker], true
	default:
		return n.status, n.status.State != message.WorkerUp
	}
}

// Blocked tells whether a worker node that the own list has as up gets nothing all the same, by the word of others.
func (g *Validator) Blocked(worker uint64) bool {
	n, listed := g.workers[worker]
	return listed && n.status.State == message.WorkerUp && g.statuses.blocks(n.status)
}

// RequestCount counts those that are known, closed ones with attempts out too.
func (g *Validator) RequestCount() int { return len(g.requests) }
