package judge

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
)

// history draws what a scheduler that keeps the rules may do with one job, whatever becomes of its attempts.
type history struct {
	t    *rapid.T
	spec *scenario.Scenario
	s    []seen.Sight
	job  uint64
	at   time.Duration
	free map[int]time.Duration // until when worker nodes have an attempt of the job
}

func (h *history) draw(n int) int { return rapid.IntRange(0, n-1).Draw(h.t, "n") }

func (h *history) wait(most time.Duration) {
	h.at += time.Duration(1 + h.draw(int(most)))
}

func (h *history) see(s seen.Sight) {
	s.At = h.at
	h.s = append(h.s, s)
}

// run draws the job from its start; tries follow each other as long as its client may go on.
func (h *history) run() {
	class := h.draw(len(h.spec.Classes))
	c := &h.spec.Classes[class]
	h.wait(3 * time.Second)
	h.see(seen.Sight{
		What: seen.Due, Job: h.job, Class: class, Work: c.Work.D().Seconds(), Slots: 1,
		Aim: c.Aim.D() + time.Duration(c.Stretch*float64(c.Work)), Deadline: c.Deadline.D(),
	})
	for n := range 3 {
		call := fmt.Sprintf("%d-%d", h.job, n)
		h.see(seen.Sight{
			What: seen.Asked, Call: call, Job: h.job, Try: n, Conn: h.job<<8 | uint64(n), Key: "k" + call,
			Budget: c.Deadline.D(),
		})
		if !h.try(c, call, h.at) {
			break
		}
		h.wait(time.Second)
	}
	h.see(seen.Sight{What: seen.Settled, Job: h.job})
}

// try draws one query; again: its client may ask anew.
func (h *history) try(c *scenario.Class, call string, asked time.Duration) (again bool) {
	h.free = map[int]time.Duration{}
	risk, cell := time.Duration(0), -1
	answer := func(status int, text string) bool {
		h.wait(200 * time.Microsecond)
		h.see(seen.Sight{What: seen.Answered, Call: call, Status: status, Text: text})
		return status != 200 && (refusal(status) || c.Effect == "safe")
	}
	for sent := 0; ; sent++ {
		switch h.draw(6) {
		case 0: // its client has had enough
			h.wait(100 * time.Millisecond)
			h.see(seen.Sight{What: seen.Left, Call: call})
			return false
		case 1:
			if risk == 0 || c.Effect == "safe" {
				return answer(503, "")
			}
			return answer(500, "")
		}
		may := sent < h.spec.Schedulers.TryLimit && h.at < asked+c.Deadline.D()/2
		if risk > 0 {
			may = may && (c.Effect == "safe" || c.Effect == "keyed" && h.at < risk+c.Window.D()-time.Second)
		}
		if !may {
			if risk == 0 || c.Effect == "safe" {
				return answer(429, "")
			}
			return answer(500, "")
		}
		node := h.draw(h.spec.Fleet.Nodes)
		if risk > 0 && c.Effect == "keyed" {
			node = cell*h.spec.Fleet.CellSize + h.draw(h.spec.Fleet.CellSize)
			node = min(node, h.spec.Fleet.Nodes-1)
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

// attempt draws one sending of a query, to its end.
func (h *history) attempt(c *scenario.Class, call string, node int) (result string, ran bool) {
	h.wait(time.Millisecond)
	first := h.at
	h.wait(time.Millisecond)
	h.see(seen.Sight{What: seen.Reached, Call: call, Node: node, First: first, Key: "k" + call})
	end := func(s seen.Sight, note string) {
		s.Call, s.Node = call, node
		h.see(s)
		h.wait(time.Millisecond)
		if note != "" {
			h.see(seen.Sight{What: seen.Noted, Call: call, Node: node, Text: note, Status: 204})
		}
	}
	switch h.draw(5) {
	case 0:
		end(seen.Sight{What: seen.Rejected, Status: 503}, "")
		return "", false
	case 1:
		h.see(seen.Sight{What: seen.Accepted, Call: call, Node: node})
		h.wait(50 * time.Millisecond)
		end(seen.Sight{What: seen.Returned}, "returned")
		return "", false
	case 2:
		h.see(seen.Sight{What: seen.Withdrawn, Call: call, Node: node}) // before its 202
		return "", true
	}
	h.see(seen.Sight{What: seen.Accepted, Call: call, Node: node})
	h.wait(10 * time.Millisecond)
	h.see(seen.Sight{What: seen.Began, Call: call, Node: node})
	h.wait(c.Work.D() / 4)
	switch h.draw(3) {
	case 0:
		end(seen.Sight{What: seen.Died, Text: "crash"}, "lost")
		return "", true
	case 1:
		end(seen.Sight{What: seen.Finished, Status: 500}, "failed")
		return "", true
	}
	result = call + "@" + strconv.Itoa(node)
	end(seen.Sight{What: seen.Finished, Status: 200, Text: result}, "done")
	return result, true
}

// Whoever keeps the rules is never blamed; and where one word of it is changed, the rule that forbids it is named.
func TestLegalHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := scenario.Default()
		spec.Schedulers.SecondCopies = rapid.Bool().Draw(t, "copies")
		spec.Schedulers.TryLimit = rapid.IntRange(1, 4).Draw(t, "tries")
		spec.Classes[3].Group = rapid.SampledFrom([]string{"cell", "all"}).Draw(t, "group")
		var all []seen.Sight
		for n := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			h := &history{t: t, spec: spec, job: uint64(n + 1)}
			h.run()
			all = append(all, h.s...)
		}
		slices.SortStableFunc(all, func(a, b seen.Sight) int { return int(a.At - b.At) })
		j := New(spec, Options{})
		for i := range all {
			j.Watch(&all[i])
		}
		for _, b := range j.Verdict().Broken {
			t.Errorf("blamed: %s", b)
		}
		// The same with one answer doubled, or one result swapped.
		served := []int{}
		for i := range all {
			if all[i].What == seen.Answered {
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
			j.Watch(&all[i])
		}
		if v := j.Verdict(); len(v.Broken) != 1 || v.Broken[0].Rule != rule {
			t.Errorf("want %s, found %v", rule, v.Broken)
		}
	})
}

// What is settled is forgotten, and the room for it used again.
func TestMemory(t *testing.T) {
	spec := scenario.Default()
	j := New(spec, Options{})
	watch := func(at time.Duration, n uint64) {
		call := strconv.FormatUint(n, 16)
		for _, s := range []seen.Sight{
			{What: seen.Due, Job: n, Class: 2},
			{
				What: seen.Asked, Job: n, Call: call,
				Conn: n % 50, Budget: time.Second,
			},
			{What: seen.Reached, Call: call, First: at},
			{What: seen.Answered, Call: call, Status: 503},
			{What: seen.Settled, Job: n},
		} {
			s.At = at
			j.Watch(&s)
		}
	}
	for n := range uint64(mostSettled + 500) {
		watch(time.Duration(n)*time.Microsecond, n+1)
	}
	if j.counts.Crowded == 0 || len(j.jobs) > mostSettled+1 || len(j.calls) != len(j.jobs) {
		t.Errorf("%d jobs and %d queries are remembered, %d were forgotten early", len(j.jobs), len(j.calls),
			j.counts.Crowded)
	}
	early := j.counts.Crowded
	watch(time.Hour, 1<<40)
	if len(j.jobs) != 1 || len(j.calls) != 1 || j.counts.Crowded != early {
		t.Errorf("an hour later %d jobs and %d queries are remembered", len(j.jobs), len(j.calls))
	}
	for n := range uint64(100) {
		j.Watch(&seen.Sight{At: time.Hour, What: seen.Noted, Call: "10000000000", Node: int(n)})
	}
	if b := j.jobs[1<<40]; len(b.log) != mostLog || b.missing != 5+100-mostLog {
		t.Errorf("of 105 sights %d are logged, %d missing", len(b.log), b.missing)
	}
}
