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

// history draws the events of one job at a scheduler that follows the rules, whatever the results of its attempts.
type history struct {
	t    *rapid.T
	spec *scenario.Scenario
	s    []trace.Event // drawn so far
	job  uint64
	at   time.Duration
	free map[int]time.Duration // until when workers have an attempt of the job
}

func (h *history) draw(n int) int { return rapid.IntRange(0, n-1).Draw(h.t, "n") }

func (h *history) wait(most time.Duration) {
	h.at += time.Duration(1 + h.draw(int(most)))
}

func (h *history) see(s trace.Event) {
	s.At = h.at
	h.s = append(h.s, s)
}

// run draws the job from its start, with a request after the other as long as its client may retry.
func (h *history) run() {
	class := h.draw(len(h.spec.Classes))
	c := &h.spec.Classes[class]
	h.wait(3 * time.Second)
	h.see(trace.Event{
		Kind: trace.JobDue, JobID: h.job, Class: class, Work: c.Work.Std().Seconds(), Slots: 1,
		LatencyObjective: c.LatencyObjective.Std() + time.Duration(c.ObjectiveStretch*float64(c.Work)), Deadline: c.Deadline.Std(),
	})
	for n := range 3 {
		call := fmt.Sprintf("%d-%d", h.job, n)
		h.see(trace.Event{
			Kind: trace.RequestSent, RequestID: call, JobID: h.job, Number: n, Conn: h.job<<8 | uint64(n), IdempotencyKey: "k" + call,
			Budget: c.Deadline.Std(),
		})
		if !h.try(c, call, h.at) {
			break
		}
		h.wait(time.Second)
	}
	h.see(trace.Event{Kind: trace.JobSettled, JobID: h.job})
}

// try draws one request, and reports whether its client may retry.
func (h *history) try(class *scenario.Class, call string, sentAt time.Duration) (again bool) {
	h.free = map[int]time.Duration{}
	risk, cell := time.Duration(0), -1 // when an attempt was first possibly executed, and in which cell
	respond := func(status int, text string) bool {
		h.wait(200 * time.Microsecond)
		h.see(trace.Event{Kind: trace.ResponseReceived, RequestID: call, Status: status, Text: text})
		return status != 200 && (isRejection(status) || class.Idempotency == "safe")
	}
	reject := func(status int) bool {
		if risk == 0 || class.Idempotency == "safe" {
			return respond(status, "")
		}
		return respond(500, "")
	}
	for sent := 0; ; sent++ {
		switch h.draw(6) {
		case 0: // its client leaves
			h.wait(100 * time.Millisecond)
			h.see(trace.Event{Kind: trace.ClientLeft, RequestID: call})
			return false
		case 1:
			return reject(503)
		}
		if sent >= h.spec.Schedulers.AttemptLimit || h.at >= sentAt+class.Deadline.Std()/2 || !h.mayRepeat(class, risk) {
			return reject(429)
		}
		worker := h.drawWorker(class, risk, cell)
		result, ran := h.attempt(class, call, worker)
		if result != "" {
			return respond(200, result)
		}
		if ran && risk == 0 {
			risk = h.at
			cell = worker / h.spec.Fleet.CellSize
		}
	}
}

// mayRepeat reports whether another attempt is allowed after one that was possibly executed at risk; 0: none was.
func (h *history) mayRepeat(class *scenario.Class, risk time.Duration) bool {
	return risk == 0 || class.Idempotency == "safe" ||
		class.Idempotency == "keyed" && h.at < risk+class.DeduplicationWindow.Std()-time.Second
}

// drawWorker draws the worker of an attempt: of the same cell, where the key of a possibly executed one is known.
func (h *history) drawWorker(class *scenario.Class, risk time.Duration, cell int) int {
	worker := h.draw(h.spec.Fleet.Workers)
	if risk > 0 && class.Idempotency == "keyed" {
		worker = cell*h.spec.Fleet.CellSize + h.draw(h.spec.Fleet.CellSize)
		worker = min(worker, h.spec.Fleet.Workers-1)
	}
	return worker
}

// attempt draws one sending of a request, to its end.
func (h *history) attempt(c *scenario.Class, call string, node int) (result string, ran bool) {
	h.wait(time.Millisecond)
	first := h.at
	h.wait(time.Millisecond)
	h.see(trace.Event{Kind: trace.AttemptReceived, RequestID: call, Worker: node, FirstByteAt: first, IdempotencyKey: "k" + call})
	end := func(s trace.Event, callback string) {
		s.RequestID = call
		s.Worker = node
		h.see(s)
		h.wait(time.Millisecond)
		if callback != "" {
			h.see(trace.Event{Kind: trace.CallbackAnswered, RequestID: call, Worker: node, Text: callback, Status: 204})
		}
	}
	switch h.draw(5) {
	case 0:
		end(trace.Event{Kind: trace.AttemptRejected, Status: 503}, "")
		return "", false
	case 1:
		h.see(trace.Event{Kind: trace.AttemptAccepted, RequestID: call, Worker: node})
		h.wait(50 * time.Millisecond)
		end(trace.Event{Kind: trace.AttemptReturned}, "returned")
		return "", false
	case 2:
		h.see(trace.Event{Kind: trace.AttemptCancelled, RequestID: call, Worker: node}) // before its 202
		return "", true
	}
	h.see(trace.Event{Kind: trace.AttemptAccepted, RequestID: call, Worker: node})
	h.wait(10 * time.Millisecond)
	h.see(trace.Event{Kind: trace.AttemptStarted, RequestID: call, Worker: node})
	h.wait(c.Work.Std() / 4)
	switch h.draw(3) {
	case 0:
		end(trace.Event{Kind: trace.AttemptDied, Text: "crash"}, "lost")
		return "", true
	case 1:
		end(trace.Event{Kind: trace.AttemptFinished, Status: 500}, "failed")
		return "", true
	}
	result = call + "@" + strconv.Itoa(node)
	end(trace.Event{Kind: trace.AttemptFinished, Status: 200, Text: result}, "done")
	return result, true
}

// A history within the rules has no violation; with one event changed, the rule that forbids it is violated.
func TestLegalHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := scenario.Default()
		spec.Schedulers.Hedging = rapid.Bool().Draw(t, "copies")
		spec.Schedulers.AttemptLimit = rapid.IntRange(1, 4).Draw(t, "tries")
		spec.Classes[3].DeduplicationScope = rapid.SampledFrom([]string{"cell", "all"}).Draw(t, "group")
		events := drawHistories(t, spec)
		for _, violation := range verdictOf(spec, events).Violations {
			t.Errorf("blamed: %s", violation)
		}
		// The same with one response doubled, or one result changed.
		responses := []int{}
		for i := range events {
			if events[i].Kind == trace.ResponseReceived {
				responses = append(responses, i)
			}
		}
		if len(responses) == 0 {
			return
		}
		i := rapid.SampledFrom(responses).Draw(t, "i")
		rule := "made-by-node"
		if events[i].Status == 200 {
			events[i].Text += "!"
		} else {
			rule = "one-answer"
			events = slices.Insert(events, i, events[i])
		}
		if verdict := verdictOf(spec, events); len(verdict.Violations) != 1 || verdict.Violations[0].Rule != rule {
			t.Errorf("want %s, found %v", rule, verdict.Violations)
		}
	})
}

// drawHistories draws the histories of some jobs that keep all rules, as one trace.
func drawHistories(t *rapid.T, spec *scenario.Scenario) []trace.Event {
	var all []trace.Event
	for n := range rapid.IntRange(1, 8).Draw(t, "jobs") {
		h := &history{t: t, spec: spec, job: uint64(n + 1)}
		h.run()
		all = append(all, h.s...)
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

// Settled jobs are evicted, and their memory is reused.
func TestMemory(t *testing.T) {
	spec := scenario.Default()
	j := New(spec, Options{})
	watch := func(at time.Duration, n uint64) {
		call := strconv.FormatUint(n, 16)
		for _, s := range []trace.Event{
			{Kind: trace.JobDue, JobID: n, Class: 2},
			{
				Kind: trace.RequestSent, JobID: n, RequestID: call,
				Conn: n % 50, Budget: time.Second,
			},
			{Kind: trace.AttemptReceived, RequestID: call, FirstByteAt: at},
			{Kind: trace.ResponseReceived, RequestID: call, Status: 503},
			{Kind: trace.JobSettled, JobID: n},
		} {
			s.At = at
			j.Observe(&s)
		}
	}
	for n := range uint64(maxSettled + 500) {
		watch(time.Duration(n)*time.Microsecond, n+1)
	}
	if j.counts.Evicted == 0 || len(j.jobs) > maxSettled+1 || len(j.jobsByRequest) != len(j.jobs) {
		t.Errorf("%d jobs and %d requests are remembered, %d were forgotten early", len(j.jobs), len(j.jobsByRequest),
			j.counts.Evicted)
	}
	early := j.counts.Evicted
	watch(time.Hour, 1<<40)
	if len(j.jobs) != 1 || len(j.jobsByRequest) != 1 || j.counts.Evicted != early {
		t.Errorf("an hour later %d jobs and %d requests are remembered", len(j.jobs), len(j.jobsByRequest))
	}
	for n := range uint64(100) {
		j.Observe(&trace.Event{At: time.Hour, Kind: trace.CallbackAnswered, RequestID: "10000000000", Worker: int(n)})
	}
	if b := j.jobs[1<<40]; len(b.log) != maxJobLog || b.omitted != 5+100-maxJobLog {
		t.Errorf("of 105 sights %d are logged, %d missing", len(b.log), b.omitted)
	}
}
