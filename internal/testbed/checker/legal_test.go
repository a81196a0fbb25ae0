package checker

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// history draws the events of one job at a scheduler that keeps the rules, with random results of its attempts.
type history struct {
	t      *rapid.T
	spec   *scenario.Scenario
	events []trace.Event // drawn so far
	job    uint64
	at     time.Duration
	free   map[int]time.Duration // by worker: until when it has an attempt of the job
}

func (h *history) draw(n int) int { return rapid.IntRange(0, n-1).Draw(h.t, "n") }

// wait advances the time by a random span, at least 1 ns.
func (h *history) wait(most time.Duration) {
	h.at += time.Duration(1 + h.draw(int(most)))
}

func (h *history) add(event trace.Event) {
	event.At = h.at
	h.events = append(h.events, event)
}

// run draws the whole job: one request after the other as long as its client may retry.
func (h *history) run() {
	class := h.draw(len(h.spec.Classes))
	c := &h.spec.Classes[class]
	h.wait(3 * time.Second)
	h.add(trace.Event{
		Kind: trace.JobDue, JobID: h.job, Class: class, Work: c.Work.Std().Seconds(), Slots: 1,
		LatencyObjective: c.LatencyObjective.Std() + time.Duration(c.ObjectiveStretch*float64(c.Work)), Deadline: c.Deadline.Std(),
	})
	for n := range 3 {
		requestID := fmt.Sprintf("%d-%d", h.job, n)
		h.add(trace.Event{
			Kind: trace.RequestSent, RequestID: requestID, JobID: h.job, Number: n, Conn: h.job<<8 | uint64(n), IdempotencyKey: "k" + requestID,
			Budget: c.Deadline.Std(),
		})
		if !h.request(c, requestID, h.at) {
			break
		}
		h.wait(time.Second)
	}
	h.add(trace.Event{Kind: trace.JobSettled, JobID: h.job})
}

// request draws one request, and reports whether its client may retry.
func (h *history) request(class *scenario.Class, requestID string, sentAt time.Duration) (mayRetry bool) {
	h.free = map[int]time.Duration{}
	executedAt, cell := time.Duration(0), -1 // when an attempt was first possibly executed, and in which cell
	respond := func(status int, text string) bool {
		h.wait(200 * time.Microsecond)
		h.add(trace.Event{Kind: trace.ResponseReceived, RequestID: requestID, Status: status, Text: text})
		return status != 200 && (isRejection(status) || class.Idempotency == "safe")
	}
	reject := func(status int) bool {
		if executedAt == 0 || class.Idempotency == "safe" {
			return respond(status, "")
		}
		return respond(500, "")
	}
	for sent := 0; ; sent++ {
		switch h.draw(6) {
		case 0: // its client leaves
			h.wait(100 * time.Millisecond)
			h.add(trace.Event{Kind: trace.ClientLeft, RequestID: requestID})
			return false
		case 1:
			return reject(503)
		}
		if sent >= h.spec.Schedulers.AttemptLimit || h.at >= sentAt+class.Deadline.Std()/2 || !h.mayRepeat(class, executedAt) {
			return reject(429)
		}
		worker := h.drawWorker(class, executedAt, cell)
		result, ran := h.attempt(class, requestID, worker)
		if result != "" {
			return respond(200, result)
		}
		if ran && executedAt == 0 {
			executedAt = h.at
			cell = worker / h.spec.Fleet.CellSize
		}
	}
}

// mayRepeat reports whether another attempt is allowed after one that was possibly executed at an instant; 0: none was.
func (h *history) mayRepeat(class *scenario.Class, executedAt time.Duration) bool {
	return executedAt == 0 || class.Idempotency == "safe" ||
		class.Idempotency == "keyed" && h.at < executedAt+class.DeduplicationWindow.Std()-time.Second
}

// drawWorker draws the worker of an attempt. For a keyed class with a possibly executed attempt, it is one of the same cell,
// which knows the key.
func (h *history) drawWorker(class *scenario.Class, executedAt time.Duration, cell int) int {
	worker := h.draw(h.spec.Fleet.Workers)
	if executedAt > 0 && class.Idempotency == "keyed" {
		worker = cell*h.spec.Fleet.CellSize + h.draw(h.spec.Fleet.CellSize)
		worker = min(worker, h.spec.Fleet.Workers-1)
	}
	return worker
}

// attempt draws one attempt at a worker, to its end. ran reports whether it was possibly executed.
func (h *history) attempt(c *scenario.Class, requestID string, worker int) (result string, ran bool) {
	h.wait(time.Millisecond)
	first := h.at
	h.wait(time.Millisecond)
	h.add(trace.Event{Kind: trace.AttemptReceived, RequestID: requestID, Worker: worker, FirstByteAt: first, IdempotencyKey: "k" + requestID})
	end := func(event trace.Event, callback string) {
		event.RequestID = requestID
		event.Worker = worker
		h.add(event)
		h.wait(time.Millisecond)
		if callback != "" {
			h.add(trace.Event{Kind: trace.CallbackAnswered, RequestID: requestID, Worker: worker, Text: callback, Status: 204})
		}
	}
	switch h.draw(5) {
	case 0:
		end(trace.Event{Kind: trace.AttemptRejected, Status: 503}, "")
		return "", false
	case 1:
		h.add(trace.Event{Kind: trace.AttemptAccepted, RequestID: requestID, Worker: worker})
		h.wait(50 * time.Millisecond)
		end(trace.Event{Kind: trace.AttemptReturned}, "returned")
		return "", false
	case 2:
		h.add(trace.Event{Kind: trace.AttemptCancelled, RequestID: requestID, Worker: worker}) // before the 202
		return "", true
	}
	h.add(trace.Event{Kind: trace.AttemptAccepted, RequestID: requestID, Worker: worker})
	h.wait(10 * time.Millisecond)
	h.add(trace.Event{Kind: trace.AttemptStarted, RequestID: requestID, Worker: worker})
	h.wait(c.Work.Std() / 4)
	switch h.draw(3) {
	case 0:
		end(trace.Event{Kind: trace.AttemptDied, Text: "crash"}, "lost")
		return "", true
	case 1:
		end(trace.Event{Kind: trace.AttemptFinished, Status: 500}, "failed")
		return "", true
	}
	result = requestID + "@" + strconv.Itoa(worker)
	end(trace.Event{Kind: trace.AttemptFinished, Status: 200, Text: result}, "done")
	return result, true
}

// TestLegalHistories checks that a history within the rules has no violation, and that with one event changed the rule that
// forbids the change is violated.
func TestLegalHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := scenario.Default()
		spec.Schedulers.Hedging = rapid.Bool().Draw(t, "hedging")
		spec.Schedulers.AttemptLimit = rapid.IntRange(1, 4).Draw(t, "attempt limit")
		spec.Classes[3].DeduplicationScope = rapid.SampledFrom([]string{"cell", "all"}).Draw(t, "scope")
		events := drawHistories(t, spec)
		for _, violation := range verdictOf(spec, events).Violations {
			t.Errorf("violation in a history that keeps the rules: %s", violation)
		}
		// The same history with one response duplicated, or one result changed.
		responses := []int{}
		for i := range events {
			if events[i].Kind == trace.ResponseReceived {
				responses = append(responses, i)
			}
		}
		if len(responses) == 0 {
			return
		}
		i := rapid.SampledFrom(responses).Draw(t, "response")
		rule := "made-by-node"
		if events[i].Status == 200 {
			events[i].Text += "!"
		} else {
			rule = "one-answer"
			events = slices.Insert(events, i, events[i])
		}
		if verdict := verdictOf(spec, events); len(verdict.Violations) != 1 || verdict.Violations[0].Rule != rule {
			t.Errorf("after the change of one event: want one violation of %s, found %v", rule, verdict.Violations)
		}
	})
}

// drawHistories draws the histories of some jobs that keep all rules, as one trace.
func drawHistories(t *rapid.T, spec *scenario.Scenario) []trace.Event {
	var all []trace.Event
	for n := range rapid.IntRange(1, 8).Draw(t, "jobs") {
		h := &history{t: t, spec: spec, job: uint64(n + 1)}
		h.run()
		all = append(all, h.events...)
	}
	slices.SortStableFunc(all, func(a, b trace.Event) int { return int(a.At - b.At) })
	return all
}

// verdictOf has a new checker observe a trace.
func verdictOf(spec *scenario.Scenario, events []trace.Event) Verdict {
	checker := New(spec, Options{})
	for i := range events {
		checker.Observe(&events[i])
	}
	return checker.Verdict()
}

// TestSettledJobsAreEvicted checks that settled jobs are evicted when there are too many or their retention has expired, and
// that the log of a job is bounded.
func TestSettledJobsAreEvicted(t *testing.T) {
	spec := scenario.Default()
	checker := New(spec, Options{})
	observeJob := func(at time.Duration, n uint64) {
		requestID := strconv.FormatUint(n, 16)
		for _, event := range []trace.Event{
			{Kind: trace.JobDue, JobID: n, Class: 2},
			{
				Kind: trace.RequestSent, JobID: n, RequestID: requestID,
				Conn: n % 50, Budget: time.Second,
			},
			{Kind: trace.AttemptReceived, RequestID: requestID, FirstByteAt: at},
			{Kind: trace.ResponseReceived, RequestID: requestID, Status: 503},
			{Kind: trace.JobSettled, JobID: n},
		} {
			event.At = at
			checker.Observe(&event)
		}
	}
	for n := range uint64(maxSettled + 500) {
		observeJob(time.Duration(n)*time.Microsecond, n+1)
	}
	if checker.counts.Evicted == 0 || len(checker.jobs) > maxSettled+1 || len(checker.jobsByRequest) != len(checker.jobs) {
		t.Errorf("%d jobs and %d requests are retained, %d were evicted early", len(checker.jobs), len(checker.jobsByRequest),
			checker.counts.Evicted)
	}
	early := checker.counts.Evicted
	observeJob(time.Hour, 1<<40)
	if len(checker.jobs) != 1 || len(checker.jobsByRequest) != 1 || checker.counts.Evicted != early {
		t.Errorf("an hour later %d jobs and %d requests are retained", len(checker.jobs), len(checker.jobsByRequest))
	}
	for n := range uint64(100) {
		checker.Observe(&trace.Event{At: time.Hour, Kind: trace.CallbackAnswered, RequestID: "10000000000", Worker: int(n)})
	}
	if job := checker.jobs[1<<40]; len(job.log) != maxJobLog || job.omitted != 5+100-maxJobLog {
		t.Errorf("of 105 events %d are logged, %d omitted", len(job.log), job.omitted)
	}
}
