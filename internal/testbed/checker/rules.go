package checker

import (
	"fmt"
	"net/http"
	"time"

	"valvecove/internal/testbed/trace"
)

// rule is a rule's number; its name is what a verdict says.
type rule uint8

const (
	ruleOneAnswer rule = iota
	rulePayoutOnce
	ruleKeyScope
	ruleRefusalHarmless
	ruleDrain
	ruleCold
	ruleOnePerWorker
	ruleAttempts
	ruleMadeByWorker
	rulePromptRefusal
	ruleIDUnknown
	ruleBadClients
	ruleLimits
	ruleCrash
	ruleCount
)

// RuleNames are the names of the rules.
var RuleNames = [ruleCount]string{
	"one-answer", "payout-once", "key-scope", "refusal-harmless", "drain", "cold",
	"one-attempt-per-node", "attempts", "made-by-node", "prompt-refusal", "id-unknown", "bad-clients", "limits", "crash",
}

func (r rule) String() string { return RuleNames[r] }

// report notes a broken rule. A job breaks each rule once.
func (j *Checker) report(r rule, b *job, call, format string, args ...any) {
	if b != nil {
		if b.brokenRules&(1<<r) != 0 {
			return
		}
		b.brokenRules |= 1 << r
	}
	if j.violationCounts[r]++; j.violationCounts[r] > maxExplained {
		return
	}
	f := Violation{Rule: r.String(), At: j.now, RequestID: call, Text: fmt.Sprintf(format, args...)}
	if b != nil {
		f.JobID = b.id
		b.violations = append(b.violations, len(j.violations))
	} else {
		f.Explanation = j.explainFleet(j.now - 10*time.Second)
	}
	j.violations = append(j.violations, f)
}

func isRejection(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// ---- One answer ----

func (j *Checker) responseReceived(b *job, t *request, event *trace.Event) {
	t.responseBody = event.Text
	switch t.responses++; {
	case t.responses > 1:
		j.report(ruleOneAnswer, b, t.id, "its client had a second answer to one query")
		return
	case t.state != requestOpen: // its client had gone, and heard it all the same
		return
	}
	t.state, t.endedAt, t.status = requestAnswered, event.At, event.Status
	if late := event.At - t.deadline; late > j.slack+2*j.clientDelay+j.observationLateness() && !j.isExcused(t, event.At) {
		j.report(ruleOneAnswer, b, t.id, "its answer came %v after its budget was over", late)
	}
	switch {
	case event.Status == http.StatusOK:
		j.counts.Served++
		j.checkResult(b, t, event)
		return
	case isRejection(event.Status):
		j.counts.Rejected++
		j.checkRejection(b, t, event.At)
	default:
		j.counts.Failed++
	}
	j.checkPromptness(b, t, event.At)
}

// requestEnded takes the end of a try without an answer.
func (j *Checker) requestEnded(b *job, t *request, how requestState, at time.Duration) {
	if t.state != requestOpen {
		return
	}
	if t.state, t.endedAt = how, at; how == requestClientLeft || how == requestTimedOut && at < t.deadline+2*(j.clientDelay+j.observationLateness()) {
		j.counts.Excused++
		return
	}
	j.checkUnanswered(b, t, at, how == requestConnLost, &j.counts)
}

// checkUnanswered says whether an answer was owed. cut: the connection has ended; else its time is up.
func (j *Checker) checkUnanswered(b *job, t *request, at time.Duration, cut bool, counts *Counts) {
	exit := j.scheduler(t.scheduler).exits[t.incarnation]
	idle := t.attemptCount == 0 && (t.firstOnConn || cut && at-t.sentAt <= 2*j.clientDelay)
	fault := ""
	switch {
	case exit.exitedAt > 0:
		fault = j.unansweredAtExit(t, exit, idle)
	case cut && idle, j.isExcused(t, at):
	case cut:
		fault = "its connection ended without an answer"
	default:
		fault = "no answer by the end of its budget"
	}
	if fault == "" {
		counts.Excused++
		return
	}
	j.report(ruleOneAnswer, b, t.id, "%s", fault)
}

// unansweredAtExit returns what is wrong with a request that its scheduler's exit left unanswered, or nothing if it is
// excused. idle: the scheduler had sent nothing for it, and may not have read it.
func (j *Checker) unansweredAtExit(t *request, exit processExit, idle bool) string {
	switch {
	case t.sentAt+j.clientDelay >= exit.exitedAt: // not admitted by then
	case exit.terminatedAt == 0: // killed, or a crash
	case exit.killed:
		if !j.isExcusedByKill(t, exit) {
			return fmt.Sprintf("SIGKILL found it unanswered, though it came %v after SIGTERM", t.sentAt-exit.terminatedAt)
		}
	case idle && t.firstOnConn, anyOverlaps(j.clientsCut, t.sentAt, exit.exitedAt):
	default:
		return "its scheduler ended after SIGTERM without having answered it"
	}
	return ""
}

// isExcusedByKill reports whether a request may go unanswered as SIGKILL followed a SIGTERM.
func (j *Checker) isExcusedByKill(t *request, exit processExit) bool {
	return t.sentAt <= exit.terminatedAt+termGrace+j.clientDelay || t.sentAt+j.clientDelay+j.slack >= exit.exitedAt ||
		exit.exitedAt < exit.terminatedAt+j.killDelay ||
		j.scheduler(t.scheduler).frozenDuring(exit.terminatedAt, exit.exitedAt) ||
		anyOverlaps(j.clientsCut, t.sentAt, exit.exitedAt)
}

// isExcused tells whether a try that ended at an instant had met a freeze or a cut that excuses a missing answer.
func (j *Checker) isExcused(t *request, at time.Duration) bool {
	for _, f := range j.scheduler(t.scheduler).freezes {
		// Its scheduler may have read it only when it woke, and counts from there; or woke when time was up.
		if f.start <= at && t.sentAt-j.clientDelay <= f.end && (f.start <= t.sentAt+j.clientDelay || f.end >= t.deadline-j.slack) {
			return true
		}
	}
	return anyOverlaps(j.clientsCut, t.sentAt, at)
}

// ---- What workers see ----

func (j *Checker) attemptReceived(b *job, t *request, n int, event *trace.Event) {
	j.counts.Attempts++
	j.checkCounts[ruleDrain]++
	j.checkDrain(b, t, event)
	t.attemptCount++
	j.checkCounts[ruleAttempts]++
	if t.attemptCount > j.attemptLimit {
		j.report(ruleAttempts, b, t.id, "sent %d times, of %d allowed", t.attemptCount, j.attemptLimit)
	}
	j.checkSending(b, t, event)
	at := len(b.attempts)
	b.attempts = append(b.attempts, attempt{firstByteAt: min(event.FirstByteAt, event.At), request: n, worker: event.Worker})
	for i := range at {
		early, late := i, at
		if b.attempts[at].firstByteAt < b.attempts[i].firstByteAt {
			early, late = at, i
		}
		j.checkPair(b, t, early, late, event.Scheduler)
	}
}

// checkDrain checks that the scheduler did not send to a worker that it had to know to drain.
func (j *Checker) checkDrain(b *job, t *request, s *trace.Event) {
	if c := j.scheduler(s.Scheduler); len(c.drainNotifiedAt) > 0 {
		if notified, ok := c.drainNotifiedAt[s.Worker]; ok && s.FirstByteAt > j.noticedAt(c, notified)+j.drainGrace+j.observationLateness() {
			j.report(ruleDrain, b, t.id, "sent to w-%d %v after scheduler %d was told that it drains or is gone",
				s.Worker, s.FirstByteAt-notified, s.Scheduler)
		}
	}
}

// checkSending checks the key of an attempt, and that its request was still open.
func (j *Checker) checkSending(b *job, t *request, s *trace.Event) {
	if b.class.idempotentWithKey && s.IdempotencyKey != t.key {
		j.report(ruleKeyScope, b, t.id, "came to w-%d with key %q, its client's is %q", s.Worker, s.IdempotencyKey, t.key)
	}
	if t.state != requestOpen && s.FirstByteAt > t.endedAt+j.dialDelay && !j.scheduler(t.scheduler).frozenDuring(t.endedAt, s.FirstByteAt) &&
		!anyOverlaps(j.clientsCut, t.endedAt, s.FirstByteAt) {
		j.report(ruleOneAnswer, b, t.id, "sent to w-%d %v after it was over", s.Worker, s.FirstByteAt-t.endedAt)
	}
	if t.state == requestAnswered && isRejection(t.status) && !b.class.isRepeatable() {
		j.report(ruleRefusalHarmless, b, t.id, "came to w-%d after it had been refused", s.Worker)
	}
}

// noticedAt is when a scheduler can have heard what was written to it: one that is frozen reads nothing, and what it had
// begun before goes on when it wakes.
func (j *Checker) noticedAt(c *scheduler, notified time.Duration) time.Duration {
	for _, f := range c.freezes {
		if notified+j.drainGrace >= f.start && notified < f.end && f.end < forever {
			notified = f.end
		}
	}
	return notified
}

// isRepeatable tells whether trying again is harmless whatever has run.
func (c *class) isRepeatable() bool { return c.idempotent || c.idempotentWithKey && c.scope == "all" }

// checkPair holds two attempts of a job against each other.
func (j *Checker) checkPair(b *job, t *request, early, late, scheduler int) {
	first, second := &b.attempts[early], &b.attempts[late]
	if first.request != second.request {
		j.checkRetryAfterRejection(b, t, first, second)
		return
	}
	if first.possiblyExecuted(second.firstByteAt) {
		j.checkRepeat(b, t, first, second)
	}
	if b.class.nonIdempotent {
		j.checkCounts[rulePayoutOnce]++
	} else if b.class.idempotentWithKey {
		j.checkCounts[ruleKeyScope]++
	}
	if (first.worker == second.worker || !j.hedging) && first.inFlight(second.firstByteAt) &&
		!anyOverlaps(j.workersImpaired, second.firstByteAt, second.firstByteAt) && len(j.overlaps) < maxOverlaps {
		r := ruleAttempts
		if first.worker == second.worker {
			r = ruleOnePerWorker
		}
		j.checkCounts[r]++
		j.counts.Overlaps++
		j.overlaps = append(j.overlaps, overlap{job: b, rule: r, early: early, late: late, scheduler: scheduler, worker: first.worker})
	}
}

// checkRetryAfterRejection checks an attempt at a non-idempotent job whose earlier request was rejected.
func (j *Checker) checkRetryAfterRejection(b *job, t *request, first, second *attempt) {
	earlier := &b.requests[min(first.request, second.request)]
	if !b.class.nonIdempotent || earlier.state != requestAnswered || !isRejection(earlier.status) {
		return
	}
	j.checkCounts[rulePayoutOnce]++
	if first.possiblyExecuted(second.firstByteAt) {
		j.report(rulePayoutOnce, b, t.id,
			"tried again after a refusal and sent to w-%d, though it may have run at w-%d", second.worker, first.worker)
	}
}

// checkRepeat checks the second of two attempts at one request, of which the first was possibly executed.
func (j *Checker) checkRepeat(b *job, t *request, first, second *attempt) {
	switch c := b.class; {
	case c.nonIdempotent:
		j.report(rulePayoutOnce, b, t.id, "sent to w-%d, though it may have run at w-%d", second.worker, first.worker)
	case c.idempotentWithKey && !j.shareScope(c.scope, first.worker, second.worker):
		j.report(ruleKeyScope, b, t.id, "sent to w-%d, which is not of the %s of w-%d, where it may have run",
			second.worker, c.scope, first.worker)
	case c.idempotentWithKey && second.firstByteAt-first.firstByteAt >= c.window:
		j.report(ruleKeyScope, b, t.id, "sent again %v after it may have run, in a window of %v",
			second.firstByteAt-first.firstByteAt, c.window)
	}
}

// shareScope tells whether two workers drop each other's repeats.
func (j *Checker) shareScope(group string, x, y int) bool {
	switch group {
	case "cell":
		return elementAt(j.cells, x) == elementAt(j.cells, y)
	case "zone":
		return elementAt(j.zones, x) == elementAt(j.zones, y)
	}
	return true
}

func elementAt(list []int, i int) int {
	if i < 0 || i >= len(list) {
		return -1
	}
	return list[i]
}

// attemptEvent takes what became of an attempt.
func (j *Checker) attemptEvent(b *job, t *request, attempt *attempt, event *trace.Event) {
	switch event.Kind {
	case trace.AttemptRejected:
		j.attemptRejected(b, event)
		attempt.notExecuted = true
		attempt.markEnded(event.At)
		attempt.markEndKnown(j.responseSeenBy(event.At))
		j.updateExhausted(b, t)
	case trace.AttemptStarted:
		if event.Text == "repeat" {
			j.counts.Duplicates++
			return
		}
		j.counts.Started++
		j.attemptStarted(b, t, attempt)
	case trace.AttemptAccepted:
		attempt.accepted = true
	case trace.AttemptFinished:
		j.attemptFinished(b, t, attempt, event)
	case trace.AttemptReturned:
		attempt.notExecuted = true
		attempt.markEnded(event.At)
	case trace.AttemptDied:
		attempt.markEnded(event.At)
	case trace.AttemptCancelled:
		if attempt.markEnded(event.At); event.Text == "" {
			attempt.markEndKnown(event.At)
		}
	case trace.CallbackAnswered:
		j.callbackAnswered(b, t, attempt, event)
	}
}

// attemptFinished handles the end of an attempt that ran, or an error in place of the 202.
func (j *Checker) attemptFinished(b *job, t *request, a *attempt, s *trace.Event) {
	a.markEnded(s.At)
	a.result, a.succeeded = s.Text, s.Status == http.StatusOK
	if !a.succeeded && !a.accepted { // an error in place of the 202
		a.markEndKnown(j.responseSeenBy(s.At))
		if b.class.nonIdempotent && t.exhaustedAt == 0 {
			t.exhaustedAt = a.endKnownAt
		}
		j.updateExhausted(b, t)
	}
}

// callbackAnswered handles a callback that its scheduler has answered, which knows the state from then on.
func (j *Checker) callbackAnswered(b *job, t *request, attempt *attempt, event *trace.Event) {
	if event.Status/100 != 2 || event.Scheduler != t.scheduler || t.incarnation != j.scheduler(event.Scheduler).incarnation {
		return
	}
	switch event.Text {
	case "failed", "lost":
		attempt.markEndKnown(event.At)
		if b.class.nonIdempotent && t.exhaustedAt == 0 {
			t.exhaustedAt = event.At
		}
	case "returned":
		attempt.markEndKnown(event.At)
	}
	j.updateExhausted(b, t)
}

// responseSeenBy is when a scheduler has heard what a worker has answered at an instant.
func (j *Checker) responseSeenBy(at time.Duration) time.Duration {
	for _, s := range j.workersCut {
		if s.start <= at+j.workerDelay && at < s.end {
			at = s.end
		}
	}
	return min(at, forever-j.workerDelay) + j.workerDelay
}

// attemptStarted takes the begin of a run.
func (j *Checker) attemptStarted(b *job, t *request, attempt *attempt) {
	if attempt.started {
		return
	}
	if attempt.started = true; !b.class.nonIdempotent {
		return
	}
	j.checkCounts[rulePayoutOnce]++
	for i := range b.attempts {
		x := &b.attempts[i]
		if x == attempt || !x.started {
			continue
		}
		if first := &b.requests[min(x.request, attempt.request)]; x.request == attempt.request || first.state == requestAnswered && isRejection(first.status) {
			j.report(rulePayoutOnce, b, t.id, "begins at w-%d, and had begun at w-%d", attempt.worker, x.worker)
		}
	}
}

// attemptRejected looks at why a worker turned a request away.
func (j *Checker) attemptRejected(b *job, s *trace.Event) {
	switch s.Status {
	case http.StatusBadRequest:
		j.report(ruleIDUnknown, b, s.RequestID, "w-%d got query %q, which no client sent in this form", s.Worker, s.RequestID)
	case http.StatusNotFound:
		j.report(ruleIDUnknown, b, s.RequestID, "w-%d got a query without an id", s.Worker)
	}
}

// ---- Refusals and results ----

func (j *Checker) checkRejection(b *job, t *request, at time.Duration) {
	j.checkCounts[ruleRefusalHarmless]++
	if b.class.isRepeatable() {
		return
	}
	n := t.indexIn(b)
	for i := range b.attempts {
		if a := &b.attempts[i]; a.request == n && a.possiblyExecuted(at) {
			j.report(ruleRefusalHarmless, b, t.id, "refused with %d, though it may have run at w-%d", t.status, a.worker)
			return
		}
	}
}

func (t *request) indexIn(b *job) int {
	_, n := b.findRequest(t.id)
	return n
}

func (j *Checker) checkResult(b *job, t *request, s *trace.Event) {
	j.checkCounts[ruleMadeByWorker]++
	n := t.indexIn(b)
	for i := range b.attempts {
		if a := &b.attempts[i]; a.request == n && a.succeeded && a.result == s.Text {
			return
		}
	}
	j.report(ruleMadeByWorker, b, t.id, "served with %q, which no worker node made for it", truncate(s.Text))
}

// updateExhausted notes when a scheduler knows that no attempt is left to it.
func (j *Checker) updateExhausted(b *job, t *request) {
	if t.attemptCount < j.attemptLimit || t.exhaustedAt > 0 || t.state != requestOpen {
		return
	}
	n, last := t.indexIn(b), time.Duration(0)
	for i := range b.attempts {
		if a := &b.attempts[i]; a.request == n {
			if a.endKnownAt == 0 {
				return
			}
			last = max(last, a.endKnownAt)
		}
	}
	t.exhaustedAt = last
}

// checkPromptness is the rule that what was given up is answered at once; see the package's doc.
func (j *Checker) checkPromptness(b *job, t *request, answeredAt time.Duration) {
	if j.scheduler(t.scheduler).frozenDuring(t.sentAt, answeredAt) || anyOverlaps(j.clientsCut, t.sentAt, answeredAt) {
		return
	}
	j.checkCounts[rulePromptRefusal]++
	if t.exhaustedAt > 0 && answeredAt > t.exhaustedAt+j.rejectionDeadline+j.clientDelay+j.observationLateness() {
		j.report(rulePromptRefusal, b, t.id, "answered with %d %v after its scheduler knew that no attempt was left to it",
			t.status, answeredAt-t.exhaustedAt)
		return
	}
	if !isRejection(t.status) {
		return
	}
	n, last := t.indexIn(b), max(t.sentAt, t.unreadUntil)
	for i := range b.attempts {
		switch a := &b.attempts[i]; {
		case a.request != n:
		case a.endKnownAt == 0: // its scheduler may have waited for it
			return
		default:
			last = max(last, a.endKnownAt)
		}
	}
	within := j.rejectionDeadline + j.clientDelay + j.observationLateness()
	if anyOverlaps(j.connectsImpaired, answeredAt-j.dialDelay, answeredAt) { // it may have waited for a connection
		within += j.dialDelay
	}
	hope := t.sentAt + j.objectiveHorizon(b, t)
	if answeredAt > max(hope, last)+within {
		j.report(rulePromptRefusal, b, t.id,
			"refused %v after it was asked, when nothing had been out of it for %v, and nothing to hope for after %v",
			answeredAt-t.sentAt, answeredAt-last, hope-t.sentAt)
	}
}

// objectiveHorizon is how long after it was asked a scheduler may have hoped to bring a request in by its objective, however wrong its
// idea of the work. Of one held for heavy it knows that even the fastest worker needs a good part of the work.
func (j *Checker) objectiveHorizon(b *job, t *request) time.Duration {
	c, budget := b.class, t.deadline-t.sentAt
	work := float64(max(b.work, c.meanWork)) * j.estimateFactor
	objective := float64(c.objective) + c.objectiveStretch*work
	if c.objectiveStretch > 0 {
		objective = min(objective, float64(budget)-float64(budget-c.objective)/(j.heavyFactor*j.maxSpeed*c.objectiveStretch))
	}
	return min(time.Duration(objective), budget)
}

// ---- Overlaps ----

// resolveOverlaps looks at suspicions again, as a trace event comes in that may settle some.
func (j *Checker) resolveOverlaps(event *trace.Event) {
	kept := j.overlaps[:0]
	for _, overlap := range j.overlaps {
		x, y := &overlap.job.attempts[overlap.early], &overlap.job.attempts[overlap.late]
		switch {
		case overlap.provedOpenAt > 0 && event.At > overlap.provedOpenAt+j.workerDelay && x.inFlight(overlap.provedOpenAt+j.workerDelay):
			j.reportOverlap(overlap)
			continue
		case x.endedAt > 0:
			continue
		case overlap.provedOpenAt == 0 && event.Kind == trace.AttemptReceived && event.Worker == overlap.worker && event.Scheduler == overlap.scheduler && event.FirstByteAt > y.firstByteAt+j.dialDelay:
			overlap.provedOpenAt = event.At
		}
		kept = append(kept, overlap)
	}
	clear(j.overlaps[len(kept):])
	j.overlaps = kept
}

func (j *Checker) reportOverlap(o overlap) {
	x, y := &o.job.attempts[o.early], &o.job.attempts[o.late]
	j.report(o.rule, o.job, o.job.requests[x.request].id, "sent to w-%d while an attempt at w-%d was out", y.worker, x.worker)
}

// dropOverlaps forgets suspicions of a job.
func (j *Checker) dropOverlaps(b *job) {
	kept := j.overlaps[:0]
	for _, o := range j.overlaps {
		if o.job != b {
			kept = append(kept, o)
		}
	}
	clear(j.overlaps[len(kept):])
	j.overlaps = kept
}

// ---- Cold workers ----

// coldArrival is work that came to a cold worker.
type coldArrival struct {
	receivedAt time.Duration
	scheduler  int
	work       float64
	capacity   float64
}

func (j *Checker) coldWorkReceived(s *trace.Event) {
	list := j.coldWork[s.Worker]
	if len(list) == maxColdWork {
		list = append(list[:0], list[1:]...)
	}
	j.coldWork[s.Worker] = append(list, coldArrival{s.At, s.Scheduler, s.Slots * s.Work, s.Share})
	j.checkCounts[ruleCold]++
}

func (j *Checker) workerOverloaded(s *trace.Event) {
	j.recordFleetEvent(s)
	if s.Share < 2.0/3 {
		return
	}
	before := len(j.violations)
	j.report(ruleCold, nil, "", "w-%d was pushed over while cold, %.0f %% of the work from schedulers told of its start",
		s.Worker, 100*s.Share)
	if len(j.violations) > before {
		j.violations[before].Explanation = j.explainColdWork(s.Worker)
	}
}

// ---- Misbehaving clients, limits ----

// misbehaviorDeadline is the time within which a misbehaving client of a kind has its error or its close.
func (j *Checker) misbehaviorDeadline(kind string) time.Duration {
	d := j.spec.Rules.MisbehaviorDeadline.Std()
	if kind == "huge_body" {
		d *= 2
	}
	return d + j.slack
}

func (j *Checker) misbehavingClientAnswered(event *trace.Event) {
	b, known := j.misbehaving[event.Conn]
	if !known {
		j.counts.Unknown++
		return
	}
	again := b.answered
	b.answered = true
	j.misbehaving[event.Conn] = b
	j.checkCounts[ruleBadClients]++
	switch took := event.At - b.connectedAt; {
	case event.Status == http.StatusOK:
		j.report(ruleBadClients, nil, "", "a bad client (%s) was served as if its request had run", b.kind)
	case !again && took > j.misbehaviorDeadline(b.kind)+j.observationLateness():
		j.report(ruleBadClients, nil, "", "a bad client (%s) waited %v for an error or a close", b.kind, took)
	}
}

func (j *Checker) reportUnansweredClient(b misbehavingClient) {
	j.checkCounts[ruleBadClients]++
	j.report(ruleBadClients, nil, "", "a bad client (%s) of %v has neither an error nor a close", b.kind, b.connectedAt)
}

func (j *Checker) checkUsage(event *trace.Event) {
	j.checkCounts[ruleLimits]++
	scheduler, own := j.scheduler(event.Scheduler), &j.spec.Schedulers
	text := ""
	switch {
	case own.MemoryMB > 0 && event.Memory > int64(own.MemoryMB)<<20:
		text = fmt.Sprintf("scheduler %d holds %.1f MB, of %d allowed", event.Scheduler, float64(event.Memory)/(1<<20), own.MemoryMB)
	case own.Sockets > 0 && event.OpenFiles > own.Sockets:
		text = fmt.Sprintf("scheduler %d holds %d descriptors, of %d allowed", event.Scheduler, event.OpenFiles, own.Sockets)
	}
	if text == "" || scheduler.overLimits {
		return
	}
	scheduler.overLimits = true
	j.recordFleetEvent(event)
	j.report(ruleLimits, nil, "", "%s", text)
}
