package checker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"valvecove/internal/testbed/trace"
)

// logEntry is a trace event as it is retained for explanations. It is small and has no pointers, as log entries make up most
// of the checker's memory.
type logEntry struct {
	at        time.Duration
	duration  time.Duration // by kind: budget, time of the first byte, or Retry-After; a started worker's incarnation
	worker    int32
	scheduler int16
	status    int16
	text      uint16 // index in Checker.texts; results are stored with their attempts and requests
	request   uint8  // index in its job; noRequest: none
	sendings  uint8  // of a callback, so far
	kind      trace.Kind
}

// textTable interns the texts of trace events, except results.
type textTable struct {
	texts []string // the first is empty
	index map[string]uint16
}

// maxTexts bounds the texts of a table; later ones are dropped.
const maxTexts = 4096

// intern returns the index of a text, or 0 if it is empty or the table is full.
func (t *textTable) intern(text string) uint16 {
	if text == "" {
		return 0
	}
	index, known := t.index[text]
	if !known && len(t.texts) < maxTexts {
		index = uint16(len(t.texts))
		t.texts = append(t.texts, text)
		t.index[text] = index
	}
	return index
}

// newEntry returns the log entry of a trace event.
func (t *textTable) newEntry(event *trace.Event) logEntry {
	entry := logEntry{
		at:        event.At,
		worker:    int32(event.Worker),
		scheduler: int16(event.Scheduler),
		status:    int16(event.Status),
		kind:      event.Kind,
	}
	switch event.Kind {
	case trace.AttemptFinished:
	case trace.RequestSent:
		entry.duration = event.Budget
	case trace.AttemptReceived, trace.AttemptUnread:
		entry.duration = event.FirstByteAt
	case trace.ResponseReceived:
		entry.duration = event.RetryAfter
	case trace.WorkerStarted, trace.StartNotified:
		entry.duration = time.Duration(event.Incarnation)
	case trace.ResourceUsage:
		entry.text = t.intern(fmt.Sprintf("%.1f MB, %d descriptors", float64(event.Memory)/(1<<20), event.OpenFiles))
	case trace.CallbackAnswered:
		entry.sendings = uint8(event.Number)
		fallthrough
	default:
		entry.text = t.intern(event.Text)
	}
	return entry
}

// recordJobEvent adds a trace event to the log of its job. A full log drops an entry from its middle, as the first and the last
// ones explain most.
func (c *Checker) recordJobEvent(job *job, event *trace.Event, requestIndex int) {
	if len(job.log) == maxJobLog {
		job.log = slices.Delete(job.log, maxJobLog/2, maxJobLog/2+1)
		job.omitted++
	}
	entry := c.texts.newEntry(event)
	entry.request = uint8(requestIndex)
	job.log = append(job.log, entry)
}

// eventRing is a ring buffer of the last trace events of the fleet.
type eventRing struct {
	entries []logEntry
	next    int
}

// add appends an entry, in place of the oldest one if the ring is full.
func (r *eventRing) add(entry logEntry) {
	if len(r.entries) < maxFleetLog {
		r.entries = append(r.entries, entry)
		return
	}
	r.entries[r.next] = entry
	r.next = (r.next + 1) % maxFleetLog
}

// recordFleetEvent adds a trace event of the fleet, or of an unknown request, to the log of the fleet.
func (c *Checker) recordFleetEvent(event *trace.Event) {
	entry := c.texts.newEntry(event)
	if event.Kind < trace.WorkerStarted {
		entry.text = c.texts.intern(event.RequestID)
	}
	c.fleetLog.add(entry)
}

// eachSince calls a function with each entry at or after an instant, in order of time.
func (r *eventRing) eachSince(at time.Duration, do func(entry *logEntry)) {
	for i := range r.entries {
		if entry := &r.entries[(r.next+i)%len(r.entries)]; entry.at >= at {
			do(entry)
		}
	}
}

// attachExplanation adds a job's explanation to its violations. It is called before the job is released.
func (c *Checker) attachExplanation(job *job) {
	if len(job.violations) == 0 {
		return
	}
	explanation := c.explainJob(job)
	for _, i := range job.violations {
		c.violations[i].Explanation = explanation
	}
	job.violations = nil
}

// explainJob returns a line for each event of a job, and for each event of its schedulers and workers in the meantime.
func (c *Checker) explainJob(job *job) []string {
	around := c.fleetEntriesOf(job)
	lines := make([]string, 0, len(job.log)+len(around)+1)
	for i := range job.log {
		if i == maxJobLog/2 && job.omitted > 0 {
			lines = append(lines, fmt.Sprintf("%14s  (%d more)", "", job.omitted))
		}
		for len(around) > 0 && around[0].at < job.log[i].at {
			lines = append(lines, formatLine(&around[0], c.describe(&around[0], nil)))
			around = around[1:]
		}
		lines = append(lines, formatLine(&job.log[i], c.describe(&job.log[i], job)))
	}
	for i := range around {
		lines = append(lines, formatLine(&around[i], c.describe(&around[i], nil)))
	}
	return lines
}

// fleetEntriesOf returns the log entries of the schedulers and workers of a job's requests, from when it was due to its last
// entry.
func (c *Checker) fleetEntriesOf(job *job) []logEntry {
	workers := map[int32]bool{}
	schedulers := map[int16]bool{}
	for i := range job.attempts {
		workers[int32(job.attempts[i].worker)] = true
	}
	for i := range job.requests {
		schedulers[int16(job.requests[i].scheduler)] = true
	}
	last := job.dueAt
	for i := range job.log {
		last = max(last, job.log[i].at)
	}
	var around []logEntry
	c.fleetLog.eachSince(job.dueAt, func(entry *logEntry) {
		if entry.at <= last && concerns(entry, workers, schedulers) {
			around = append(around, *entry)
		}
	})
	return around
}

// concerns reports whether an entry of the fleet is about one of the workers and schedulers, or is a fault.
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

// explainFleet returns a line for each of the last events of the fleet since an instant.
func (c *Checker) explainFleet(since time.Duration) []string {
	lines := []string{}
	c.fleetLog.eachSince(since, func(entry *logEntry) { lines = append(lines, formatLine(entry, c.describe(entry, nil))) })
	return lines[max(0, len(lines)-maxJobLog):]
}

// explainColdWork returns a line for each piece of work that a worker received while it was warming up, and for each event of
// the worker.
func (c *Checker) explainColdWork(worker int) []string {
	lines := []string{}
	for _, arrival := range c.coldWork[worker] {
		entry := logEntry{at: arrival.receivedAt}
		lines = append(lines, formatLine(&entry, fmt.Sprintf("scheduler %d sends %.3f s of work to w-%d, which can do %.2f s a second",
			arrival.scheduler, arrival.work, worker, arrival.capacity)))
	}
	c.fleetLog.eachSince(0, func(entry *logEntry) {
		isOwn := entry.kind >= trace.WorkerStarted && entry.kind <= trace.StartNotified || entry.kind == trace.WorkerOverloaded
		if int(entry.worker) == worker && isOwn {
			lines = append(lines, formatLine(entry, c.describe(entry, nil)))
		}
	})
	slices.Sort(lines) // lines begin with the time
	return lines
}

// formatLine returns a line of an explanation.
func formatLine(entry *logEntry, words string) string {
	return fmt.Sprintf("%12.6f s  %s", entry.at.Seconds(), words)
}

// describe returns the description of an entry. The job is nil if the entry is not about one.
func (c *Checker) describe(entry *logEntry, job *job) string {
	worker := fmt.Sprintf("w-%d", entry.worker)
	which := ""
	text := c.texts.texts[entry.text]
	if job != nil && len(job.requests) > 1 && int(entry.request) < len(job.requests) {
		which = fmt.Sprintf(" (request %d)", entry.request+1)
	}
	switch entry.kind {
	case trace.JobDue:
		return c.describeDue(job)
	case trace.RequestSent:
		return describeSent(entry, job) + which
	case trace.ResponseReceived:
		return describeResponse(entry, job, text) + which
	case trace.ConnectionLost:
		return "its connection ended without an answer" + which
	case trace.ClientLeft:
		return "its client left" + which
	case trace.ClientTimedOut:
		return "its client timed out" + which
	case trace.SchedulerUnreachable:
		return "no connection to a scheduler was established for it" + which
	case trace.JobSettled:
		return fmt.Sprintf("settled, the last answer being %d", entry.status)
	}
	if entry.kind < trace.WorkerStarted && entry.kind != trace.WorkerOverloaded {
		return describeAttempt(entry, job, worker, which, text)
	}
	return c.describeFleet(entry, worker, text)
}

// describeAttempt describes an event of an attempt at a worker. which names the request if its job has several.
func describeAttempt(entry *logEntry, job *job, worker, which, text string) string {
	switch entry.kind {
	case trace.AttemptReceived:
		if text != "" {
			text = " by request " + text
		}
		return fmt.Sprintf("reached %s%s from scheduler %d, its first byte written at %.6f s%s", worker, text, entry.scheduler,
			entry.duration.Seconds(), which)
	case trace.AttemptUnread:
		return fmt.Sprintf("what was written to %s at %.6f s was not read there before its connection ended%s", worker,
			entry.duration.Seconds(), which)
	case trace.AttemptRejected:
		return fmt.Sprintf("rejected by %s with %d%s", worker, entry.status, which)
	case trace.AttemptAccepted:
		return "accepted by " + worker + which
	case trace.AttemptStarted:
		if text != "" {
			return fmt.Sprintf("begins at %s: %s%s", worker, text, which)
		}
		return "begins at " + worker + which
	case trace.AttemptFinished:
		return describeFinished(entry, job, worker) + which
	case trace.AttemptReturned:
		return "returned unstarted by " + worker + which
	case trace.AttemptDied:
		return fmt.Sprintf("died at %s: %s%s", worker, text, which)
	case trace.AttemptCancelled:
		if text != "" {
			worker += ", as the network dropped its connection (" + text + ")"
		}
		return "cancelled at " + worker + which
	case trace.CallbackAnswered:
		return fmt.Sprintf("callback %q of %s answered with %d by scheduler %d, sending %d%s",
			text, worker, entry.status, entry.scheduler, entry.sendings, which)
	case trace.CallbackLost:
		return fmt.Sprintf("callback %q of %s abandoned%s", text, worker, which)
	}
	return fmt.Sprintf("trace event %d", entry.kind)
}

// describeDue describes a job that falls due.
func (c *Checker) describeDue(job *job) string {
	tenant := ""
	if job.tenant >= 0 && job.tenant < len(c.spec.Tenants) {
		tenant = " of " + c.spec.Tenants[job.tenant].Name
	}
	return fmt.Sprintf("due: %s%s, %v of work on %g slots, deadline %v", job.class.name, tenant, job.work,
		job.slots, job.deadline)
}

// describeSent describes a request that is sent.
func describeSent(entry *logEntry, job *job) string {
	request := &job.requests[entry.request]
	key := ""
	if request.key != "" {
		key = ", key " + request.key
	}
	return fmt.Sprintf("sent to scheduler %d as %s, budget %v%s", entry.scheduler, request.id, entry.duration, key)
}

// describeResponse describes a response. text is the request's ID if its job is unknown.
func describeResponse(entry *logEntry, job *job, text string) string {
	after := ""
	if entry.duration > 0 {
		after = fmt.Sprintf(", to come back after %v", entry.duration)
	}
	if job != nil && entry.status == http.StatusOK && int(entry.request) < len(job.requests) {
		after += fmt.Sprintf(", %q", truncate(job.requests[entry.request].responseBody))
	} else if job == nil {
		after += " to request " + text
	}
	return fmt.Sprintf("answered with %d%s", entry.status, after)
}

// describeFinished describes an execution that has ended, and its result.
func describeFinished(entry *logEntry, job *job, worker string) string {
	result := ""
	for i := range job.attempts {
		attempt := &job.attempts[i]
		isSame := attempt.worker == int(entry.worker) && attempt.request == int(entry.request)
		if entry.status == http.StatusOK && isSame {
			result = fmt.Sprintf(", %q", truncate(attempt.result))
		}
	}
	return fmt.Sprintf("has run at %s: %d%s", worker, entry.status, result)
}

// schedulerEvents describes the events of a scheduler's process that have no details.
var schedulerEvents = map[trace.Kind]string{
	trace.SchedulerStarted:    "starts",
	trace.SchedulerReady:      "is ready",
	trace.SchedulerTerminated: "gets SIGTERM",
	trace.SchedulerKilled:     "gets SIGKILL",
	trace.SchedulerFrozen:     "is frozen",
	trace.SchedulerResumed:    "goes on",
	trace.SchedulerReloaded:   "gets SIGHUP",
	trace.SchedulerReplaced:   "is to be replaced by a second process",
}

// describeFleet describes an entry of the fleet, of a process or of a fault.
func (c *Checker) describeFleet(entry *logEntry, worker, text string) string {
	switch entry.kind {
	case trace.WorkerOverloaded:
		return worker + " is overloaded"
	case trace.WorkerStarted:
		return fmt.Sprintf("%s starts (process %d)", worker, entry.duration)
	case trace.WorkerStopped:
		return worker + "'s process ends"
	case trace.WorkerDraining:
		return worker + " begins to drain"
	case trace.WorkerHung:
		return worker + " hangs"
	case trace.WorkerRecovered:
		return worker + " has recovered"
	case trace.DrainNotified:
		return fmt.Sprintf("scheduler %d is notified that %s drains or is gone", entry.scheduler, worker)
	case trace.StartNotified:
		return fmt.Sprintf("scheduler %d is notified of the start of %s (process %d)", entry.scheduler, worker, entry.duration)
	case trace.SchedulerExited:
		return fmt.Sprintf("scheduler %d ends by itself with %d", entry.scheduler, entry.status)
	case trace.FaultStarted:
		return "fault: " + text
	case trace.FaultEnded:
		return "fault ended: " + text
	case trace.ResourceUsage:
		return fmt.Sprintf("scheduler %d holds %s", entry.scheduler, text)
	}
	if event, ok := schedulerEvents[entry.kind]; ok {
		return fmt.Sprintf("scheduler %d %s", entry.scheduler, event)
	}
	return fmt.Sprintf("trace event %d", entry.kind)
}

// truncate shortens a text that may be long.
func truncate(s string) string {
	const maxLength = 60
	if len(s) > maxLength {
		return s[:maxLength] + "..."
	}
	return s
}

// String returns the violation with its explanation, in several lines.
func (v Violation) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s at %.6f s", v.Rule, v.At.Seconds())
	if v.JobID != 0 {
		fmt.Fprintf(&text, ", job %d", v.JobID)
	}
	if v.RequestID != "" {
		fmt.Fprintf(&text, ", request %s", v.RequestID)
	}
	fmt.Fprintf(&text, ": %s\n", v.Text)
	for _, l := range v.Explanation {
		fmt.Fprintf(&text, "  %s\n", l)
	}
	return text.String()
}
