package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"valvecove/internal/testbed/trace"
)

// logEntry is a trace event as it is kept for explanations. Most of the checker's memory is entries: they are small, and no pointers.
type logEntry struct {
	at        time.Duration
	duration  time.Duration // budget, first byte or advice; of a start of a process, its number
	worker    int32
	scheduler int16
	status    int16
	text      uint16 // in the checker's words; results stand with their attempts and tries
	request   uint8  // which of its job's; 255: none
	sendings  uint8  // of a callback
	kind      trace.Kind
}

// textTable are the few texts that trace events have, results apart.
type textTable struct {
	texts []string // the first is empty
	index map[string]uint16
}

const maxTexts = 4096

func (w *textTable) intern(text string) uint16 {
	if text == "" {
		return 0
	}
	n, known := w.index[text]
	if !known && len(w.texts) < maxTexts {
		n = uint16(len(w.texts))
		w.texts = append(w.texts, text)
		w.index[text] = n
	}
	return n
}

func (w *textTable) newEntry(event *trace.Event) logEntry {
	logEntry := logEntry{at: event.At, worker: int32(event.Worker), scheduler: int16(event.Scheduler), status: int16(event.Status), kind: event.Kind}
	switch event.Kind {
	case trace.AttemptFinished:
	case trace.RequestSent:
		logEntry.duration = event.Budget
	case trace.AttemptReceived, trace.AttemptUnread:
		logEntry.duration = event.FirstByteAt
	case trace.ResponseReceived:
		logEntry.duration = event.RetryAfter
	case trace.WorkerStarted, trace.StartNotified:
		logEntry.duration = time.Duration(event.Incarnation)
	case trace.ResourceUsage:
		logEntry.text = w.intern(fmt.Sprintf("%.1f MB, %d descriptors", float64(event.Memory)/(1<<20), event.OpenFiles))
	case trace.CallbackAnswered:
		logEntry.sendings = uint8(event.Number)
		fallthrough
	default:
		logEntry.text = w.intern(event.Text)
	}
	return logEntry
}

// recordJobEvent logs a trace event with its job. Where there is no room the middle of the log goes: how it began and how it ended
// say most.
func (j *Checker) recordJobEvent(b *job, s *trace.Event, try int) {
	if len(b.log) == maxJobLog {
		b.log = slices.Delete(b.log, maxJobLog/2, maxJobLog/2+1)
		b.omitted++
	}
	e := j.texts.newEntry(s)
	e.request = uint8(try)
	b.log = append(b.log, e)
}

// eventRing is the last trace events of the fleet.
type eventRing struct {
	entries []logEntry
	next    int
}

func (r *eventRing) add(e logEntry) {
	if len(r.entries) < maxFleetLog {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.next] = e
	r.next = (r.next + 1) % maxFleetLog
}

// recordFleetEvent keeps a trace event of the fleet, or of a request that nobody knows.
func (j *Checker) recordFleetEvent(s *trace.Event) {
	e := j.texts.newEntry(s)
	if s.Kind < trace.WorkerStarted {
		e.text = j.texts.intern(s.RequestID)
	}
	j.fleetLog.add(e)
}

// eachSince goes through what was seen at an instant and after, in order.
func (r *eventRing) eachSince(at time.Duration, do func(e *logEntry)) {
	for i := range r.entries {
		if e := &r.entries[(r.next+i)%len(r.entries)]; e.at >= at {
			do(e)
		}
	}
}

// attachExplanation puts a job's explanation to its violations, as it is about to be forgotten.
func (j *Checker) attachExplanation(b *job) {
	if len(b.violations) == 0 {
		return
	}
	story := j.explainJob(b)
	for _, i := range b.violations {
		j.violations[i].Explanation = story
	}
	b.violations = nil
}

// explainJob is what was seen of a job, and meanwhile of the schedulers and workers that it met.
func (j *Checker) explainJob(b *job) []string {
	around := j.fleetEntriesOf(b)
	lines := make([]string, 0, len(b.log)+len(around)+1)
	for i := range b.log {
		if i == maxJobLog/2 && b.omitted > 0 {
			lines = append(lines, fmt.Sprintf("%14s  (%d more)", "", b.omitted))
		}
		for len(around) > 0 && around[0].at < b.log[i].at {
			lines = append(lines, formatLine(&around[0], j.describe(&around[0], nil)))
			around = around[1:]
		}
		lines = append(lines, formatLine(&b.log[i], j.describe(&b.log[i], b)))
	}
	for i := range around {
		lines = append(lines, formatLine(&around[i], j.describe(&around[i], nil)))
	}
	return lines
}

// fleetEntriesOf returns the log entries of the schedulers and workers that a job met, from when it was due to its last entry.
func (j *Checker) fleetEntriesOf(b *job) []logEntry {
	workers, schedulers := map[int32]bool{}, map[int16]bool{}
	for i := range b.attempts {
		workers[int32(b.attempts[i].worker)] = true
	}
	for i := range b.requests {
		schedulers[int16(b.requests[i].scheduler)] = true
	}
	last := b.dueAt
	for i := range b.log {
		last = max(last, b.log[i].at)
	}
	var around []logEntry
	j.fleetLog.eachSince(b.dueAt, func(logEntry *logEntry) {
		if logEntry.at <= last && concerns(logEntry, workers, schedulers) {
			around = append(around, *logEntry)
		}
	})
	return around
}

// concerns reports whether an entry of the fleet is about one of these workers and schedulers, or about all.
func concerns(entry *logEntry, workers map[int32]bool, schedulers map[int16]bool) bool {
	switch kind := entry.kind; {
	case kind == trace.DrainNotified || kind == trace.StartNotified:
		return workers[entry.worker] && schedulers[entry.scheduler]
	case kind >= trace.WorkerStarted && kind <= trace.WorkerRecovered || kind == trace.WorkerOverloaded:
		return workers[entry.worker]
	case kind >= trace.SchedulerStarted && kind <= trace.SchedulerExited:
		return schedulers[entry.scheduler]
	}
	return entry.kind == trace.FaultStarted || entry.kind == trace.FaultEnded
}

// explainFleet is what was seen of the fleet from an instant on.
func (j *Checker) explainFleet(from time.Duration) []string {
	lines := []string{}
	j.fleetLog.eachSince(from, func(e *logEntry) { lines = append(lines, formatLine(e, j.describe(e, nil))) })
	return lines[max(0, len(lines)-maxJobLog):]
}

// explainColdWork is what came to a cold worker.
func (j *Checker) explainColdWork(node int) []string {
	lines := []string{}
	for _, p := range j.coldWork[node] {
		e := logEntry{at: p.receivedAt}
		lines = append(lines, formatLine(&e, fmt.Sprintf("scheduler %d sends %.3f s of work to w-%d, which can do %.2f s a second",
			p.scheduler, p.work, node, p.capacity)))
	}
	j.fleetLog.eachSince(0, func(e *logEntry) {
		if int(e.worker) == node && (e.kind >= trace.WorkerStarted && e.kind <= trace.StartNotified || e.kind == trace.WorkerOverloaded) {
			lines = append(lines, formatLine(e, j.describe(e, nil)))
		}
	})
	slices.Sort(lines) // they begin with the time
	return lines
}

func formatLine(e *logEntry, words string) string {
	return fmt.Sprintf("%12.6f s  %s", e.at.Seconds(), words)
}

// describe says what an entry means; b is the job that it is about, if any.
func (j *Checker) describe(logEntry *logEntry, b *job) string {
	node, which, text := fmt.Sprintf("w-%d", logEntry.worker), "", j.texts.texts[logEntry.text]
	if b != nil && len(b.requests) > 1 && int(logEntry.request) < len(b.requests) {
		which = fmt.Sprintf(" (request %d)", logEntry.request+1)
	}
	switch logEntry.kind {
	case trace.JobDue:
		return j.describeDue(b)
	case trace.RequestSent:
		return describeSent(logEntry, b) + which
	case trace.ResponseReceived:
		return describeResponse(logEntry, b, text) + which
	case trace.ConnectionLost:
		return "its connection ended without an answer" + which
	case trace.ClientLeft:
		return "its client went away" + which
	case trace.ClientTimedOut:
		return "its client timed out" + which
	case trace.SchedulerUnreachable:
		return "no connection came up for it" + which
	case trace.JobSettled:
		return fmt.Sprintf("settled, the last answer being %d", logEntry.status)
	}
	if logEntry.kind < trace.WorkerStarted && logEntry.kind != trace.WorkerOverloaded {
		return describeAttempt(logEntry, b, node, which, text)
	}
	return j.describeFleet(logEntry, node, text)
}

// describeAttempt describes an event of an attempt at a worker; which names the request, where its job has several.
func describeAttempt(logEntry *logEntry, b *job, node, which, text string) string {
	switch logEntry.kind {
	case trace.AttemptReceived:
		if text != "" {
			text = " by request " + text
		}
		return fmt.Sprintf("reached %s%s from scheduler %d, its first byte written at %.6f s%s", node, text, logEntry.scheduler,
			logEntry.duration.Seconds(), which)
	case trace.AttemptUnread:
		return fmt.Sprintf("what was written to %s at %.6f s was not read there before its connection ended%s", node,
			logEntry.duration.Seconds(), which)
	case trace.AttemptRejected:
		return fmt.Sprintf("rejected by %s with %d%s", node, logEntry.status, which)
	case trace.AttemptAccepted:
		return "accepted by " + node + which
	case trace.AttemptStarted:
		if text != "" {
			return fmt.Sprintf("begins at %s: %s%s", node, text, which)
		}
		return "begins at " + node + which
	case trace.AttemptFinished:
		return describeFinished(logEntry, b, node) + which
	case trace.AttemptReturned:
		return "returned unstarted by " + node + which
	case trace.AttemptDied:
		return fmt.Sprintf("died at %s: %s%s", node, text, which)
	case trace.AttemptCancelled:
		if text != "" {
			node += ", its connection being " + text + " on the way"
		}
		return "cancelled at " + node + which
	case trace.CallbackAnswered:
		return fmt.Sprintf("callback %q of %s answered with %d by scheduler %d, sending %d%s", text, node, logEntry.status, logEntry.scheduler,
			logEntry.sendings, which)
	case trace.CallbackLost:
		return fmt.Sprintf("callback %q of %s abandoned%s", text, node, which)
	}
	return fmt.Sprintf("trace event %d", logEntry.kind)
}

// describeDue describes a job that falls due.
func (j *Checker) describeDue(b *job) string {
	tenant := ""
	if b.tenant >= 0 && b.tenant < len(j.spec.Tenants) {
		tenant = " of " + j.spec.Tenants[b.tenant].Name
	}
	return fmt.Sprintf("due: %s%s, %v of work on %g slots, deadline %v", b.class.name, tenant, b.work,
		b.slots, b.deadline)
}

// describeSent describes a request that is sent.
func describeSent(e *logEntry, b *job) string {
	t := &b.requests[e.request]
	key := ""
	if t.key != "" {
		key = ", key " + t.key
	}
	return fmt.Sprintf("sent to scheduler %d as %s, budget %v%s", e.scheduler, t.id, e.duration, key)
}

// describeResponse describes a response; text is the request's ID where its job is not known.
func describeResponse(e *logEntry, b *job, text string) string {
	after := ""
	if e.duration > 0 {
		after = fmt.Sprintf(", to come back after %v", e.duration)
	}
	if b != nil && e.status == 200 && int(e.request) < len(b.requests) {
		after += fmt.Sprintf(", %q", truncate(b.requests[e.request].responseBody))
	} else if b == nil {
		after += " to request " + text
	}
	return fmt.Sprintf("answered with %d%s", e.status, after)
}

// describeFinished describes a run that has ended, and its result.
func describeFinished(e *logEntry, b *job, node string) string {
	result := ""
	for i := range b.attempts {
		if a := &b.attempts[i]; e.status == 200 && a.worker == int(e.worker) && a.request == int(e.request) {
			result = fmt.Sprintf(", %q", truncate(a.result))
		}
	}
	return fmt.Sprintf("has run at %s: %d%s", node, e.status, result)
}

// describeFleet describes an entry of the fleet, of a process or of a fault.
func (j *Checker) describeFleet(logEntry *logEntry, node, text string) string {
	switch logEntry.kind {
	case trace.WorkerOverloaded:
		return node + " is overloaded"
	case trace.WorkerStarted:
		return fmt.Sprintf("%s starts (process %d)", node, logEntry.duration)
	case trace.WorkerStopped:
		return node + "'s process ends"
	case trace.WorkerDraining:
		return node + " begins to drain"
	case trace.WorkerHung:
		return node + " hangs"
	case trace.WorkerRecovered:
		return node + " is well again"
	case trace.DrainNotified:
		return fmt.Sprintf("scheduler %d is notified that %s drains or is gone", logEntry.scheduler, node)
	case trace.StartNotified:
		return fmt.Sprintf("scheduler %d is notified of the start of %s (process %d)", logEntry.scheduler, node, logEntry.duration)
	case trace.SchedulerExited:
		return fmt.Sprintf("scheduler %d ends by itself with %d", logEntry.scheduler, logEntry.status)
	case trace.SchedulerStarted, trace.SchedulerReady, trace.SchedulerTerminated, trace.SchedulerKilled, trace.SchedulerFrozen, trace.SchedulerResumed, trace.SchedulerReloaded,
		trace.SchedulerReplaced:
		return fmt.Sprintf("scheduler %d %s", logEntry.scheduler, [...]string{
			"starts", "is ready", "gets SIGTERM", "gets SIGKILL",
			"is frozen", "goes on", "gets SIGHUP",
		}[logEntry.kind-trace.SchedulerStarted])
	case trace.FaultStarted:
		return "fault: " + text
	case trace.FaultEnded:
		return "over: " + text
	case trace.ResourceUsage:
		return fmt.Sprintf("scheduler %d holds %s", logEntry.scheduler, text)
	}
	return fmt.Sprintf("trace event %d", logEntry.kind)
}

// truncate cuts what may be long.
func truncate(s string) string {
	const most = 60
	if len(s) > most {
		return s[:most] + "..."
	}
	return s
}

// String returns the violation with its explanation, several lines as people read them.
func (b Violation) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s at %.6f s", b.Rule, b.At.Seconds())
	if b.JobID != 0 {
		fmt.Fprintf(&text, ", job %d", b.JobID)
	}
	if b.RequestID != "" {
		fmt.Fprintf(&text, ", request %s", b.RequestID)
	}
	fmt.Fprintf(&text, ": %s\n", b.Text)
	for _, l := range b.Explanation {
		fmt.Fprintf(&text, "  %s\n", l)
	}
	return text.String()
}
