// Package ledger is what a scheduler keeps in memory: queries, their attempts and deadlines, and the tables of
// ids. It feeds the decision module and hands on what the module wants done. It knows neither sockets nor any
// protocol: whatever speaks to clients enters queries by Take and is answered through Asker, and whatever
// speaks to worker nodes stands behind Carrier. A second protocol gets the same decisions and rules that way.
package requests

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"runtime/debug"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/due"
)

// Responder is the side that a query came from. Of the three answers it gets exactly one, unless it is gone.
type Responder interface {
	RespondResult(result []byte)
	RespondRejected(after time.Duration) // refused: trying again is harmless
	RespondFailed()
}

// Transport is the side that reaches the worker nodes.
type Transport interface {
	Start(a *Attempt)   // starts it; its end is told by End or by a Note
	Abandon(a *Attempt) // it has ended here, and the worker node should know
	Cancel(a *Attempt)  // it was accepted, and ends once its worker node is told; Withdrawn says so
	CheckHealth(worker uint64)
	CloseIdleConnections(worker uint64)
	Watch(after int64) // follow the host group from this generation on
}

// Policy makes the decisions; *logic.Dispatcher is the one that there is.
type Policy interface {
	Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action
}

// Payload is what the worker node is handed for a query, as it came.
type Payload struct {
	Method         string `json:"Verb"`
	Path           string `json:"Path"`
	IdempotencyKey string `json:"Key"`
	Body           []byte `json:"Body"`
}

// Arrival is a query as it comes in.
type Arrival struct {
	CallID    string // the client's id for it
	Job       dispatch.Job
	Payload   Payload
	Responder Responder
}

// Request is owed exactly one final answer, or has attempts that are still out.
type Request struct {
	ID              uint64
	CallID          string
	Payload         Payload
	Job             dispatch.Job
	Deadline        time.Duration
	ArrivedAt       time.Duration
	FirstSentAt     time.Duration // first; 0: not yet
	responder       Responder
	attempts        []*Attempt
	inFlight        int
	endedByCallback []string // hosts whose note ended an attempt of it
	closed          bool
	clientLeft      bool     // closed by its client
	reported        bool     // and the observers have been told
	response        Response // which of the three it got
	outcome         Outcome  // what its attempts have come to so far
}

// Attempt is one sending of a query.
type Attempt struct {
	due.Item   // it is waited for until then
	Request    *Request
	Number     int
	Worker     uint64
	Stage      Stage  // kept by the carrier
	EndpointID string // the host's own id
	started    bool   // the carrier has it, or had it
	ended      bool
	result     dispatch.Result // once it has
	// cancelling is set from the withdrawal of an accepted attempt until its worker node is told: it may run until then.
	cancelling         bool
	cancelReason       Reason // of that
	ambiguousCallbacks bool   // an attempt before it at the same host may still tell notes, and these name no attempt
}

// HasEnded tells whether it has its outcome. A note may bring that about before a carrier has written all of it: one that
// is told late, of an attempt before at the same host. A carrier then writes no more, as the query may be over, or out
// at another host by now.
func (a *Attempt) HasEnded() bool { return a.ended }

// EndedByWorker tells whether its own worker node has said how it ended: nothing is left there that could be withdrawn.
func (a *Attempt) EndedByWorker() bool {
	return a.ended && a.result != dispatch.TimedOut && a.result != dispatch.Cancelled
}

// mayStillCallBack holds of an attempt that has ended here without a word of its worker node, and may run there.
func (a *Attempt) mayStillCallBack() bool {
	return a.ended && a.Stage >= StageWritten &&
		(a.result == dispatch.ConnectionReset || a.result == dispatch.TimedOut || a.result == dispatch.Cancelled)
}

// IsClosed tells whether a query has its answer, or has lost its client.
func (q *Request) IsClosed() bool { return q.closed }

type attemptKey struct{ callID, endpointID string }

// Table is one scheduler's memory. It is used by one goroutine.
type Table struct {
	maxAttempts int // at most so many attempts a query
	names       NameTable
	newPolicy   func() Policy
	policy      Policy
	transport   Transport
	logger      *slog.Logger
	changes     endpointChanges

	observers []Observer

	pendingEvents []dispatch.Event // not told yet
	spareEvents   []dispatch.Event
	actionBuffer  []dispatch.Action
	policyTimer   time.Duration // the module's; 0: none

	lastID       uint64
	payloadBytes int // of the bodies of queries
	requests     map[uint64]*Request
	openByCallID map[string]*Request // the open ones
	inFlight     map[attemptKey]*Attempt
	timeouts     due.Queue[*Attempt]
	endpoints    endpointTable
	revision     int64
	awaitUntil   time.Duration              // queries wait for news of the host group until then; 0: they don't
	listed       map[uint64]dispatch.Worker // the list as the module holds it
	cordoned     map[uint64]bool            // hosts taken out by hand
}

// New returns a ledger that knows the host group as it was once seen. start makes a module that knows nothing. What
// the module says, and what becomes of the host group, goes to the log.
func New(tries int, names NameTable, start func() Policy, known EndpointList, carrier Transport, log *slog.Logger) *Table {
	l := &Table{maxAttempts: tries, names: names, newPolicy: start, policy: start(), transport: carrier, logger: log,
		requests: map[uint64]*Request{}, openByCallID: map[string]*Request{}, inFlight: map[attemptKey]*Attempt{},
		endpoints: endpointTable{map[string]uint64{}, map[uint64]Endpoint{}}, listed: map[uint64]dispatch.Worker{}, cordoned: map[uint64]bool{}}
	known.Reset = true
	l.applyEndpoints(known, dispatch.ListCached)
	return l
}

// AwaitEndpoints has queries wait for the first news of the host group, until then at most, or until it can't be had: what has
// changed since it was last known counts as told, also for a process that has not asked yet. 0 ends that.
func (l *Table) AwaitEndpoints(until time.Duration) { l.awaitUntil = until }

// responseMargin is what a query that waits must be left with to be answered in time.
const responseMargin = 100 * time.Millisecond

// ---- What comes in ----

// ErrDuplicateCallID refuses a query whose id belongs to one that is still open.
var ErrDuplicateCallID = errors.New("the id belongs to a query that is still open")

// Admit enters a query. Arrival.Job.Left counts from now.
func (l *Table) Admit(now time.Duration, in Arrival) (*Request, error) {
	if l.openByCallID[in.CallID] != nil {
		return nil, ErrDuplicateCallID
	}
	l.lastID++
	q := &Request{ID: l.lastID, CallID: in.CallID, Payload: in.Payload, Deadline: now + in.Job.Remaining, ArrivedAt: now, responder: in.Responder}
	in.Job.ID = q.ID
	q.Job = in.Job
	l.requests[q.ID], l.openByCallID[q.CallID] = q, q
	l.payloadBytes += len(q.Payload.Body)
	l.pendingEvents = append(l.pendingEvents, in.Job)
	if l.awaitUntil > 0 {
		l.awaitUntil = max(1, min(l.awaitUntil, q.Deadline-responseMargin))
	}
	l.notify(Notification{Kind: RequestAdmitted, Request: q})
	return q, nil
}

// ClientDisconnected closes a query whose client has left.
func (l *Table) ClientDisconnected(q *Request) {
	if q.closed {
		return
	}
	l.pendingEvents = append(l.pendingEvents, dispatch.ClientDisconnected{Job: q.ID})
	q.clientLeft = true
	l.closeRequest(q)
}

// respond closes a query that gets this answer now.
func (l *Table) respond(q *Request, a Response) {
	q.response = a
	l.closeRequest(q)
}

// closeRequest is the end of what is owed. The query itself stays for as long as attempts are out.
func (l *Table) closeRequest(q *Request) {
	if q.closed = true; l.openByCallID[q.CallID] == q {
		delete(l.openByCallID, q.CallID)
	}
	l.abandonUnwritten(q)
	if !q.clientLeft {
		l.reportEnded(q)
	}
	l.forgetIfDone(q)
}

// abandonUnwritten ends the attempts of a closed query that are not wholly written: nothing is sent on for which nobody waits, and
// what is on its way would be, once a connection that comes up late is there or takes in more.
func (l *Table) abandonUnwritten(q *Request) {
	for _, a := range q.attempts {
		if !a.ended && a.Stage < StageWritten {
			l.abandon(a, ReasonNotSent)
		}
	}
}

func (l *Table) forgetIfDone(q *Request) {
	if q.closed && q.inFlight == 0 && l.requests[q.ID] == q {
		delete(l.requests, q.ID)
		l.payloadBytes -= len(q.Payload.Body)
		l.reportEnded(q)
		l.notify(Notification{Kind: RequestForgotten, Request: q})
	}
}

// EndAttempt ends an attempt: fault nil means served, and the first such result answers the client. Each attempt ends
// once, and whatever comes later is void.
func (l *Table) EndAttempt(a *Attempt, got []byte, fault *AttemptError) {
	if a.ended {
		return
	}
	q := a.Request
	a.ended, a.result, a.cancelling = true, resultOf(fault), false
	q.inFlight--
	l.timeouts.Remove(a)
	if k := (attemptKey{q.CallID, a.EndpointID}); l.inFlight[k] == a {
		delete(l.inFlight, k)
	}
	if a.started {
		q.mergeOutcome(fault.Outcome())
		l.notify(Notification{Kind: AttemptEnded, Request: q, Attempt: a, Err: fault})
	}
	if fault == nil && !q.closed {
		l.respond(q, ResponseResult)
		q.responder.RespondResult(got)
	}
	// What one worker node can't use none can: sent on, it would cost each of them, and each would look as if it
	// failed. The query ends here, and the module hears of an attempt that says nothing of the worker node.
	if fault != nil && fault.Reason == ReasonInvalidRequest && !q.closed && q.inFlight == 0 {
		l.respond(q, ResponseFailed)
		q.responder.RespondFailed()
	}
	l.pendingEvents = append(l.pendingEvents, dispatch.Outcome{Job: q.ID, Attempt: a.Number, Worker: a.Worker,
		Result: a.result, Closed: q.closed})
	l.forgetIfDone(q)
}

// Callback is what a worker node tells of an attempt of its own accord.
type Callback struct {
	CallID     string  `json:"id"`
	EndpointID string  `json:"from"`
	State      string  `json:"state"`
	Progress   float64 `json:"share"`
	Result     *string `json:"result"`
}

// States of a note.
var callbackStates = map[string]bool{"started": true, "running": true, "done": true, "failed": true,
	"returned": true, "lost": true}

// ErrInvalidCallback is a note that makes no sense.
var ErrInvalidCallback = errors.New("a note needs id, from, a known state and, once done, a result")

// HandleCallback takes a note. One about an attempt that is unknown or has ended is right and means nothing any more: it
// came twice, or belongs to a process that ran here before; known is false then. Notes may overtake the word that a job was accepted.
func (l *Table) HandleCallback(n Callback) (known bool, err error) {
	// What is served must be a worker node's own word, so one that is done without a result says nothing.
	if n.CallID == "" || n.EndpointID == "" || !callbackStates[n.State] || n.State == "done" && n.Result == nil {
		return false, ErrInvalidCallback
	}
	a := l.inFlight[attemptKey{n.CallID, n.EndpointID}]
	l.notify(Notification{Kind: CallbackReceived, Attempt: a, Callback: &n})
	if a == nil {
		return false, nil
	}
	if a.ambiguousCallbacks && (n.State == "failed" || n.State == "returned" || n.State == "lost") {
		// It may be told of the attempt before it at this host: taken for this one's, that would send another copy while
		// this one runs. What is done is done, whichever it is.
		return true, nil
	}
	switch n.State {
	case "started":
		l.pendingEvents = append(l.pendingEvents, dispatch.Started{Job: a.Request.ID, Attempt: a.Number, Worker: a.Worker})
	case "running":
		l.pendingEvents = append(l.pendingEvents, dispatch.Progressed{Job: a.Request.ID, Attempt: a.Number, Worker: a.Worker, Share: n.Progress})
	case "done":
		l.EndAttempt(a, []byte(*n.Result), nil)
	case "failed", "returned", "lost":
		a.Request.endedByCallback = append(a.Request.endedByCallback, a.EndpointID)
	}
	switch n.State {
	case "failed":
		l.EndAttempt(a, nil, &AttemptError{Stage: StageAccepted, Reason: ReasonWorkerError})
	case "returned":
		l.EndAttempt(a, nil, &AttemptError{Stage: StageAccepted, Reason: ReasonRejected})
	case "lost":
		l.EndAttempt(a, nil, &AttemptError{Stage: StageAccepted, Reason: ReasonConnectionLost})
	}
	return true, nil
}

// UpdateEndpoints takes news of the host group.
func (l *Table) UpdateEndpoints(g EndpointList) {
	l.awaitUntil = 0
	kind := dispatch.ListDelta
	if g.Reset {
		kind = dispatch.ListFull
	}
	l.applyEndpoints(g, kind)
}

func (l *Table) applyEndpoints(g EndpointList, kind dispatch.ListKind) {
	l.revision = g.Revision
	list := l.endpoints.apply(g, l.names)
	l.countChanges(list, kind != dispatch.ListDelta)
	if kind != dispatch.ListDelta {
		clear(l.listed)
	}
	for _, w := range list {
		if delete(l.listed, w.ID); !w.Removed {
			l.listed[w.ID] = w
		}
	}
	l.pendingEvents = append(l.pendingEvents, dispatch.WorkerList{Kind: kind, Workers: list, Revision: g.Revision})
	l.endpoints.prune(l.listed, func(n uint64) bool {
		if l.cordoned[n] {
			return true
		}
		for k := range l.inFlight {
			if k.endpointID == l.endpoints.byNumber[n].ID {
				return true
			}
		}
		return false
	})
}

// ResetRevision tells that the host group comes from elsewhere from now on. The list at hand holds until that speaks,
// but its generation is of no use there.
func (l *Table) ResetRevision() { l.revision = 0 }

// WatchEndpoints has the host group followed from the list at hand on, whatever the module has asked for.
func (l *Table) WatchEndpoints() { l.transport.Watch(l.revision) }

// Revision is the version of the list at hand; 0: none that discovery could tell the changes since.
func (l *Table) Revision() int64 { return l.revision }

// DiscoveryFailed tells that a call to discovery failed or the watch ended.
func (l *Table) DiscoveryFailed() {
	l.awaitUntil = 0
	l.pendingEvents = append(l.pendingEvents, dispatch.WorkerList{Kind: dispatch.ListUnavailable})
}

// Endpoint gives a worker's entry in the host group as it was last seen.
func (l *Table) Endpoint(worker uint64) Endpoint { return l.endpoints.byNumber[worker] }

// HealthChecked ends a probe.
func (l *Table) HealthChecked(worker uint64, fault *AttemptError) {
	l.pendingEvents = append(l.pendingEvents, dispatch.HealthChecked{Worker: worker, Result: resultOf(fault)})
}

// AwaitsEndpoints tells whether requests wait for the first update of the endpoints.
func (l *Table) AwaitsEndpoints() bool { return l.awaitUntil > 0 }

// Ready tells whether a request that came now could be sent at once.
func (l *Table) Ready() bool { return !l.AwaitsEndpoints() && l.HasReadyWorker() }

// HasReadyWorker tells whether any listed worker node may be sent requests.
func (l *Table) HasReadyWorker() bool {
	for _, w := range l.listed {
		if w.Ready && !l.cordoned[w.ID] {
			return true
		}
	}
	return false
}

// ListedCount counts the worker nodes in the list.
func (l *Table) ListedCount() int { return len(l.listed) }

// PayloadBytes counts what the bodies of queries take up, of those too that are answered and have attempts out.
func (l *Table) PayloadBytes() int { return l.payloadBytes }

// OpenCount counts the queries that are owed an answer.
func (l *Table) OpenCount() int { return len(l.openByCallID) }

// ---- What goes out ----

// NextStep tells when Step wants to run at the latest; not ok: only when something has come in.
func (l *Table) NextStep() (at time.Duration, ok bool) {
	if l.awaitUntil > 0 {
		return l.awaitUntil, true
	}
	if len(l.pendingEvents) > 0 {
		return 0, true
	}
	at = l.policyTimer
	if l.timeouts.Len() > 0 && (at == 0 || l.timeouts.First().At < at) {
		at = l.timeouts.First().At
	}
	return at, at > 0
}

// Wake has the next Step run the module though nothing has come in: it was told something by another way.
func (l *Table) Wake() { l.pendingEvents = append(l.pendingEvents, dispatch.TimerFired{}) }

// Step hands the module all that was gathered and carries out what it wants, in order. What the actions bring
// about at once (a refused connection, say) waits for the next Step.
func (l *Table) Step(now time.Duration) {
	if l.awaitUntil > now {
		return
	}
	if l.awaitUntil = 0; len(l.pendingEvents) > 0 {
		l.deductWaitTime(now)
	}
	if l.changes.any() {
		l.logChanges(now)
	}
	for l.timeouts.Len() > 0 && l.timeouts.First().At <= now {
		a := l.timeouts.First()
		if now >= a.Request.Deadline {
			l.abandon(a, ReasonTimeout)
			continue
		}
		l.timeouts.Remove(a) // the patience is over, and the query is not: another copy may be sent
		a.At = a.Request.Deadline
		l.timeouts.Add(a)
		l.cancel(a, ReasonTimeout)
	}
	if l.policyTimer > 0 && l.policyTimer <= now {
		l.policyTimer = 0
		l.pendingEvents = append(l.pendingEvents, dispatch.TimerFired{})
	}
	if len(l.pendingEvents) == 0 {
		return
	}
	events := l.pendingEvents
	l.pendingEvents = l.spareEvents[:0]
	actions, ok := l.runPolicy(now, events)
	clear(events)
	l.spareEvents = events[:0]
	if !ok {
		return
	}
	for _, a := range actions {
		l.execute(now, a)
	}
	clear(actions)
	l.actionBuffer = actions[:0]
}

// deductWaitTime takes off the time that queries have waited for this step.
func (l *Table) deductWaitTime(now time.Duration) {
	for i, e := range l.pendingEvents {
		if j, ok := e.(dispatch.Job); ok {
			if q := l.requests[j.ID]; q != nil && q.ArrivedAt < now {
				j.Remaining = q.Deadline - now
				l.pendingEvents[i] = j
			}
		}
	}
}

// runPolicy runs the module. Should it panic, what it knew can't be trusted any more: each open query gets its
// final answer here, each attempt is given up, and a new module starts from the host group held.
func (l *Table) runPolicy(now time.Duration, events []dispatch.Event) (actions []dispatch.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			l.logger.Error("module panic: it is started anew", "panic", fmt.Sprint(p), "failed", len(l.openByCallID),
				"stack", string(debug.Stack()))
			l.restartPolicy()
		}
	}()
	return l.policy.Step(now, events, l.actionBuffer[:0]), true
}

// CloseSince gives each query that came since then and is still open its final answer now: time is up for this process.
func (l *Table) CloseSince(since time.Duration) {
	l.closeMatching(func(q *Request) bool { return q.ArrivedAt >= since })
}

// RejectQueued refuses each open query of which nothing was ever sent: it would not run in the time that this process has.
func (l *Table) RejectQueued() {
	l.closeMatching(func(q *Request) bool { return len(q.attempts) == 0 })
}

func (l *Table) closeMatching(is func(*Request) bool) {
	for _, q := range l.inAdmissionOrder() {
		if !q.closed && is(q) {
			l.pendingEvents = append(l.pendingEvents, dispatch.ClientDisconnected{Job: q.ID}) // as far as the module is concerned
			l.closeWithoutPolicy(q)
		}
	}
}

// closeWithoutPolicy answers an open query without the module.
func (l *Table) closeWithoutPolicy(q *Request) {
	switch {
	case q.closed:
		return
	case len(q.attempts) == 0:
		l.respond(q, ResponseRejected)
		q.responder.RespondRejected(0) // nothing was sent, so trying again is harmless
	default:
		l.respond(q, ResponseFailed)
		q.responder.RespondFailed()
	}
}

// inAdmissionOrder is all queries as they came: map order decides nothing.
func (l *Table) inAdmissionOrder() []*Request {
	return slices.SortedFunc(maps.Values(l.requests), func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
}

func (l *Table) restartPolicy() {
	for _, q := range l.inAdmissionOrder() {
		for _, a := range q.attempts {
			if !a.ended {
				l.abandon(a, ReasonCancelled)
			}
		}
		l.closeWithoutPolicy(q)
	}
	l.policy, l.policyTimer, l.pendingEvents, l.actionBuffer = l.newPolicy(), 0, l.pendingEvents[:0], nil
	l.pendingEvents = append(l.pendingEvents, l.knownState()...)
}

func (l *Table) execute(now time.Duration, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Send:
		l.startAttempt(now, a)
	case dispatch.Reject:
		if q := l.requests[a.Job]; q != nil && !q.closed {
			l.respond(q, ResponseRejected)
			q.responder.RespondRejected(a.RetryAfter)
		}
	case dispatch.Fail:
		if q := l.requests[a.Job]; q != nil && !q.closed {
			l.respond(q, ResponseFailed)
			q.responder.RespondFailed()
		}
	case dispatch.Cancel:
		if q := l.requests[a.Job]; q != nil && a.Attempt >= 0 && a.Attempt < len(q.attempts) {
			if t := q.attempts[a.Attempt]; !t.ended {
				l.cancel(t, ReasonCancelled)
			}
		}
	case dispatch.HealthCheck:
		l.transport.CheckHealth(a.Worker)
	case dispatch.CloseIdleConnections:
		l.transport.CloseIdleConnections(a.Worker)
	case dispatch.SetTimer:
		if at := now + max(a.After, 1); l.policyTimer == 0 || at < l.policyTimer {
			l.policyTimer = at
		}
	case dispatch.Subscribe:
		l.transport.Watch(l.revision)
	case dispatch.Log:
		l.logPolicyMessage(a.Text)
	}
}

func (l *Table) startAttempt(now time.Duration, s dispatch.Send) {
	q := l.requests[s.Job]
	if q == nil { // it has ended with nothing out; still, each Send gets its outcome
		l.pendingEvents = append(l.pendingEvents, dispatch.Outcome{Job: s.Job, Worker: s.Worker, Result: dispatch.NotSent, Closed: true})
		return
	}
	a := &Attempt{Request: q, Number: len(q.attempts), Worker: s.Worker, EndpointID: l.endpoints.byNumber[s.Worker].ID}
	q.attempts = append(q.attempts, a)
	q.inFlight++
	// Patience is trimmed to the deadline.
	if a.At = q.Deadline; s.AttemptTimeout > 0 {
		a.At = min(a.At, now+s.AttemptTimeout)
	}
	key := attemptKey{q.CallID, a.EndpointID}
	switch {
	case q.closed || now >= q.Deadline || a.Number >= l.maxAttempts || l.inFlight[key] != nil || l.cordoned[s.Worker] ||
		slices.Contains(q.endedByCallback, a.EndpointID):
		// Over, out of time or of tries; or the worker node has one of this query, and gets no second. Nor does one
		// whose note ended an earlier one: notes are told until they are answered and name no attempt, so that note
		// told again would end this one, and what never ran by it would be sent elsewhere while it runs.
		l.EndAttempt(a, nil, &AttemptError{Reason: ReasonNotSent})
	case s.AttemptTimeout < 0:
		l.EndAttempt(a, nil, &AttemptError{Reason: ReasonTimeout})
	default:
		l.inFlight[key] = a
		l.timeouts.Add(a)
		if q.FirstSentAt == 0 {
			q.FirstSentAt = now
		}
		a.started = true
		a.ambiguousCallbacks = q.hasAmbiguousCallbacks(a)
		l.notify(Notification{Kind: AttemptStarted, Request: q, Attempt: a})
		l.transport.Start(a)
	}
}

// abandon ends an attempt from this side and lets the worker node know.
func (l *Table) abandon(a *Attempt, why Reason) {
	l.EndAttempt(a, nil, &AttemptError{Stage: a.Stage, Reason: why})
	l.transport.Abandon(a)
}

// cancel ends an attempt from this side of a query that may be sent on. An accepted one ends only once its worker node is
// told: a copy sent before would be a second one. It stays out until then, and its notes count.
func (l *Table) cancel(a *Attempt, why Reason) {
	switch {
	case a.cancelling:
	case a.Stage < StageAccepted || a.Request.closed:
		l.abandon(a, why)
	default:
		a.cancelling, a.cancelReason = true, why
		l.transport.Cancel(a)
	}
}

// CancelCompleted tells what came of a withdrawal. With told, the attempt has been given up. Without, its worker node could not
// be reached: it is out as before, to its query's deadline at most, and may be withdrawn again.
func (l *Table) CancelCompleted(a *Attempt, told bool) {
	if !a.cancelling {
		return
	}
	if a.cancelling = false; told {
		l.EndAttempt(a, nil, &AttemptError{Stage: a.Stage, Reason: a.cancelReason})
	}
}

// hasAmbiguousCallbacks tells whether what its host tells of an attempt may be meant for one before it.
func (q *Request) hasAmbiguousCallbacks(a *Attempt) bool {
	return slices.ContainsFunc(q.attempts[:a.Number], func(o *Attempt) bool { return o.EndpointID == a.EndpointID && o.mayStillCallBack() })
}
