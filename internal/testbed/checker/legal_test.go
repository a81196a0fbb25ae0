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

// history draws what a scheduler that keeps the rules may do with one job, whatever becomes of its attempts.
type history struct {
	t    *rapid.T
	spec *scenario.Scenario
	s    []trace.Event
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

// run draws the job from its start; tries follow each other as long as its client may go on.
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

// try draws one request; again: its client may ask anew.
func (h *history) try(c *scenario.Class, call string, sentAt time.Duration) (again bool) {
	h.free = map[int]time.Duration{}
	risk, cell := time.Duration(0), -1
	answer := func(status int, text string) bool {
		h.wait(200 * time.Microsecond)
		h.see(trace.Event{Kind: trace.ResponseReceived, RequestID: call, Status: status, Text: text})
		return status != 200 && (isRejection(status) || c.Idempotency == "safe")
	}
	for sent := 0; ; sent++ {
		switch h.draw(6) {
		case 0: // its client has had enough
			h.wait(100 * time.Millisecond)
			h.see(trace.Event{Kind: trace.ClientLeft, RequestID: call})
			return false
		case 1:
			if risk == 0 || c.Idempotency == "safe" {
				return answer(503, "")
			}
			return answer(500, "")
		}
		may := sent < h.spec.Schedulers.AttemptLimit && h.at < sentAt+c.Deadline.Std()/2
		if risk > 0 {
			may = may && (c.Idempotency == "safe" || c.Idempotency == "keyed" && h.at < risk+c.DeduplicationWindow.Std()-time.Second)
		}
		if !may {
			if risk == 0 || c.Idempotency == "safe" {
				return answer(429, "")
			}
			return answer(500, "")
		}
		node := h.draw(h.spec.Fleet.Workers)
		if risk > 0 && c.Idempotency == "keyed" {
			node = cell*h.spec.Fleet.CellSize + h.draw(h.spec.Fleet.CellSize)
			node = min(node, h.spec.Fleet.Workers-1)
		}
		result, ran := h.attempt(c, call, node)
		if result != "" {
			return answer(200, result)
		}
		if ran && risk == 0 {
			risk, cell = h.at, node/h.spec.Fleet.CellSize
		}
	}
}

// attempt draws one sending of a request, to its end.
func (h *history) attempt(c *scenario.Class, call string, node int) (result string, ran bool) {
	h.wait(time.Millisecond)
	first := h.at
	h.wait(time.Millisecond)
	h.see(trace.Event{Kind: trace.AttemptReceived, RequestID: call, Worker: node, FirstByteAt: first, IdempotencyKey: "k" + call})
	end := func(s trace.Event, callback string) {
		s.RequestID, s.Worker = call, node
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

// Whoever keeps the rules is never blamed; and where one word of it is changed, the rule that forbids it is named.
func TestLegalHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := scenario.Default()
		spec.Schedulers.Hedging = rapid.Bool().Draw(t, "copies")
		spec.Schedulers.AttemptLimit = rapid.IntRange(1, 4).Draw(t, "tries")
		spec.Classes[3].DeduplicationScope = rapid.SampledFrom([]string{"cell", "all"}).Draw(t, "group")
		var all []trace.Event
		for n := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			h := &history{t: t, spec: spec, job: uint64(n + 1)}
			h.run()
			all = append(all, h.s...)
		}
		slices.SortStableFunc(all, func(a, b trace.Event) int { return int(a.At - b.At) })
		j := New(spec, Options{})
		for i := range all {
			j.Observe(&all[i])
		}
		for _, b := range j.Verdict().Violations {
			t.Errorf("blamed: %s", b)
		}
		// The same with one answer doubled, or one result swapped.
		served := []int{}
		for i := range all {
			if all[i].Kind == trace.ResponseReceived {
				served = append(served, i)
			}
		}
		if len(served) == 0 {
			return
		}
		i := rapid.SampledFrom(served).Draw(t, "i")
		rule := "made-by-node"
		if all[i].Status == 200 {
			all[i].Text += "!"
		} else {
			rule = "one-answer"
			all = slices.Insert(all, i, all[i])
		}
		j = New(spec, Options{})
		for i := range all {
			j.Observe(&all[i])
		}
		if v := j.Verdict(); len(v.Violations) != 1 || v.Violations[0].Rule != rule {
			t.Errorf("want %s, found %v", rule, v.Violations)
		}
	})
}

// What is settled is forgotten, and the room for it used again.
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
		t.Errorf("%d jobs and %d queries are remembered, %d were forgotten early", len(j.jobs), len(j.jobsByRequest),
			j.counts.Evicted)
	}
	early := j.counts.Evicted
	watch(time.Hour, 1<<40)
	if len(j.jobs) != 1 || len(j.jobsByRequest) != 1 || j.counts.Evicted != early {
		t.Errorf("an hour later %d jobs and %d queries are remembered", len(j.jobs), len(j.jobsByRequest))
	}
	for n := range uint64(100) {
		j.Observe(&trace.Event{At: time.Hour, Kind: trace.CallbackAnswered, RequestID: "10000000000", Worker: int(n)})
	}
	if b := j.jobs[1<<40]; len(b.log) != maxJobLog || b.omitted != 5+100-maxJobLog {
		t.Errorf("of 105 sights %d are logged, %d missing", len(b.log), b.omitted)
	}
}
