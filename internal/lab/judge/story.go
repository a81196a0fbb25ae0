package judge

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"valvecove/internal/lab/seen"
)

// entry is a sight as it is kept for stories. Most of the judge's memory is entries: they are small, and no pointers.
type entry struct {
	at     time.Duration
	span   time.Duration // budget, first byte or advice; of a start of a process, its number
	node   int32
	sched  int16
	status int16
	word   uint16 // in the judge's words; results stand with their attempts and tries
	try    uint8  // which of its job's; 255: none
	calls  uint8  // of a note
	what   seen.What
}

// words are the few texts that sights have, results apart.
type words struct {
	list  []string // the first is empty
	index map[string]uint16
}

const mostWords = 4096

func (w *words) of(text string) uint16 {
	if text == "" {
		return 0
	}
	n, known := w.index[text]
	if !known && len(w.list) < mostWords {
		n = uint16(len(w.list))
		w.list = append(w.list, text)
		w.index[text] = n
	}
	return n
}

func (w *words) keep(s *seen.Sight) entry {
	e := entry{at: s.At, node: int32(s.Node), sched: int16(s.Sched), status: int16(s.Status), what: s.What}
	switch s.What {
	case seen.Finished:
	case seen.Asked:
		e.span = s.Budget
	case seen.Reached, seen.Unread:
		e.span = s.First
	case seen.Answered:
		e.span = s.After
	case seen.NodeUp, seen.Started:
		e.span = time.Duration(s.Boot)
	case seen.Usage:
		e.word = w.of(fmt.Sprintf("%.1f MB, %d descriptors", float64(s.Memory)/(1<<20), s.Files))
	case seen.Noted:
		e.calls = uint8(s.Try)
		fallthrough
	default:
		e.word = w.of(s.Text)
	}
	return e
}

// record logs a sight with its job. Where there is no room the middle of the log goes: how it began and how it ended
// say most.
func (j *Judge) record(b *job, s *seen.Sight, try int) {
	if len(b.log) == mostLog {
		b.log = slices.Delete(b.log, mostLog/2, mostLog/2+1)
		b.missing++
	}
	e := j.words.keep(s)
	e.try = uint8(try)
	b.log = append(b.log, e)
}

// ring is the last sights of the fleet.
type ring struct {
	list []entry
	next int
}

func (r *ring) add(e entry) {
	if len(r.list) < mostFleet {
		r.list = append(r.list, e)
		return
	}
	r.list[r.next] = e
	r.next = (r.next + 1) % mostFleet
}

// remark keeps a sight of the fleet, or of a query that nobody knows.
func (j *Judge) remark(s *seen.Sight) {
	e := j.words.keep(s)
	if s.What < seen.NodeUp {
		e.word = j.words.of(s.Call)
	}
	j.fleet.add(e)
}

// from goes through what was seen at an instant and after, in order.
func (r *ring) from(at time.Duration, do func(e *entry)) {
	for i := range r.list {
		if e := &r.list[(r.next+i)%len(r.list)]; e.at >= at {
			do(e)
		}
	}
}

// tell puts a job's story to its breaches, as it is about to be forgotten.
func (j *Judge) tell(b *job) {
	if len(b.breaches) == 0 {
		return
	}
	story := j.story(b)
	for _, i := range b.breaches {
		j.found[i].Story = story
	}
	b.breaches = nil
}

// story is what was seen of a job, and meanwhile of the schedulers and worker nodes that it met.
func (j *Judge) story(b *job) []string {
	nodes, scheds := map[int32]bool{}, map[int16]bool{}
	for i := range b.attempts {
		nodes[int32(b.attempts[i].node)] = true
	}
	for i := range b.tries {
		scheds[int16(b.tries[i].sched)] = true
	}
	last := b.at
	for i := range b.log {
		last = max(last, b.log[i].at)
	}
	var around []entry
	j.fleet.from(b.at, func(e *entry) {
		met := false
		switch {
		case e.at > last:
		case e.what == seen.Drained || e.what == seen.Started:
			met = nodes[e.node] && scheds[e.sched]
		case e.what >= seen.NodeUp && e.what <= seen.NodeWell || e.what == seen.Fell:
			met = nodes[e.node]
		case e.what >= seen.SchedUp && e.what <= seen.SchedExit:
			met = scheds[e.sched]
		case e.what == seen.FaultOn || e.what == seen.FaultOff:
			met = true
		}
		if met {
			around = append(around, *e)
		}
	})
	lines := make([]string, 0, len(b.log)+len(around)+1)
	for i := range b.log {
		if i == mostLog/2 && b.missing > 0 {
			lines = append(lines, fmt.Sprintf("%14s  (%d more)", "", b.missing))
		}
		for len(around) > 0 && around[0].at < b.log[i].at {
			lines = append(lines, line(&around[0], j.say(&around[0], nil)))
			around = around[1:]
		}
		lines = append(lines, line(&b.log[i], j.say(&b.log[i], b)))
	}
	for i := range around {
		lines = append(lines, line(&around[i], j.say(&around[i], nil)))
	}
	return lines
}

// fleetStory is what was seen of the fleet from an instant on.
func (j *Judge) fleetStory(from time.Duration) []string {
	lines := []string{}
	j.fleet.from(from, func(e *entry) { lines = append(lines, line(e, j.say(e, nil))) })
	return lines[max(0, len(lines)-mostLog):]
}

// pushStory is what came to a cold worker node.
func (j *Judge) pushStory(node int) []string {
	lines := []string{}
	for _, p := range j.pushes[node] {
		e := entry{at: p.at}
		lines = append(lines, line(&e, fmt.Sprintf("scheduler %d sends %.3f s of work to w-%d, which can do %.2f s a second",
			p.sched, p.work, node, p.capacity)))
	}
	j.fleet.from(0, func(e *entry) {
		if int(e.node) == node && (e.what >= seen.NodeUp && e.what <= seen.Started || e.what == seen.Fell) {
			lines = append(lines, line(e, j.say(e, nil)))
		}
	})
	slices.Sort(lines) // they begin with the time
	return lines
}

func line(e *entry, words string) string { return fmt.Sprintf("%12.6f s  %s", e.at.Seconds(), words) }

// say says what an entry means; b is the job that it is about, if any.
func (j *Judge) say(e *entry, b *job) string {
	node, which, text := fmt.Sprintf("w-%d", e.node), "", j.words.list[e.word]
	if b != nil && len(b.tries) > 1 && int(e.try) < len(b.tries) {
		which = fmt.Sprintf(" (try %d)", e.try+1)
	}
	switch e.what {
	case seen.Due:
		tenant := ""
		if b.tenant >= 0 && b.tenant < len(j.spec.Tenants) {
			tenant = " of " + j.spec.Tenants[b.tenant].Name
		}
		return fmt.Sprintf("due: %s%s, %v of work on %g slots, given up after %v", b.class.name, tenant, b.work,
			b.slots, b.deadline)
	case seen.Asked:
		t := &b.tries[e.try]
		key := ""
		if t.key != "" {
			key = ", key " + t.key
		}
		return fmt.Sprintf("asked of scheduler %d as %s, budget %v%s%s", e.sched, t.call, e.span, key, which)
	case seen.Answered:
		after := ""
		if e.span > 0 {
			after = fmt.Sprintf(", to come back after %v", e.span)
		}
		if b != nil && e.status == 200 && int(e.try) < len(b.tries) {
			after += fmt.Sprintf(", %q", short(b.tries[e.try].text))
		} else if b == nil {
			after += " to query " + text
		}
		return fmt.Sprintf("answered with %d%s%s", e.status, after, which)
	case seen.Lost:
		return "its connection ended without an answer" + which
	case seen.Left:
		return "its client went away" + which
	case seen.GaveUp:
		return "its client gave up" + which
	case seen.Unreached:
		return "no connection came up for it" + which
	case seen.Settled:
		return fmt.Sprintf("settled, the last answer being %d", e.status)
	case seen.Reached:
		if text != "" {
			text = " by query " + text
		}
		return fmt.Sprintf("reached %s%s from scheduler %d, its first byte written at %.6f s%s", node, text, e.sched,
			e.span.Seconds(), which)
	case seen.Unread:
		return fmt.Sprintf("what was written to %s at %.6f s was not read there before its connection ended%s", node,
			e.span.Seconds(), which)
	case seen.Rejected:
		return fmt.Sprintf("turned away by %s with %d%s", node, e.status, which)
	case seen.Accepted:
		return "accepted by " + node + which
	case seen.Began:
		if text != "" {
			return fmt.Sprintf("begins at %s: %s%s", node, text, which)
		}
		return "begins at " + node + which
	case seen.Finished:
		made := ""
		for i := range b.attempts {
			if a := &b.attempts[i]; e.status == 200 && a.node == int(e.node) && a.try == int(e.try) {
				made = fmt.Sprintf(", %q", short(a.result))
			}
		}
		return fmt.Sprintf("has run at %s: %d%s%s", node, e.status, made, which)
	case seen.Returned:
		return "handed back unstarted by " + node + which
	case seen.Died:
		return fmt.Sprintf("died at %s: %s%s", node, text, which)
	case seen.Withdrawn:
		if text != "" {
			node += ", its connection being " + text + " on the way"
		}
		return "withdrawn at " + node + which
	case seen.Noted:
		return fmt.Sprintf("note %q of %s answered with %d by scheduler %d, sending %d%s", text, node, e.status, e.sched,
			e.calls, which)
	case seen.NoteLost:
		return fmt.Sprintf("note %q of %s given up%s", text, node, which)
	case seen.Fell:
		return node + " is pushed over"
	case seen.NodeUp:
		return fmt.Sprintf("%s starts (process %d)", node, e.span)
	case seen.NodeDown:
		return node + "'s process ends"
	case seen.NodeDrain:
		return node + " begins to drain"
	case seen.NodeHang:
		return node + " hangs"
	case seen.NodeWell:
		return node + " is well again"
	case seen.Drained:
		return fmt.Sprintf("scheduler %d is told that %s drains or is gone", e.sched, node)
	case seen.Started:
		return fmt.Sprintf("scheduler %d is told of the start of %s (process %d)", e.sched, node, e.span)
	case seen.SchedExit:
		return fmt.Sprintf("scheduler %d ends by itself with %d", e.sched, e.status)
	case seen.SchedUp, seen.SchedReady, seen.SchedTerm, seen.SchedKill, seen.SchedFroze, seen.SchedWoke, seen.SchedHup,
		seen.SchedReplace:
		return fmt.Sprintf("scheduler %d %s", e.sched, [...]string{
			"starts", "is ready", "gets SIGTERM", "gets SIGKILL",
			"is frozen", "goes on", "gets SIGHUP",
		}[e.what-seen.SchedUp])
	case seen.FaultOn:
		return "fault: " + text
	case seen.FaultOff:
		return "over: " + text
	case seen.Usage:
		return fmt.Sprintf("scheduler %d holds %s", e.sched, text)
	}
	return fmt.Sprintf("sight %d", e.what)
}

// short cuts what may be long.
func short(s string) string {
	const most = 60
	if len(s) > most {
		return s[:most] + "..."
	}
	return s
}

// String is a breach with its story, as people read it.
func (b Breach) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%s at %.6f s", b.Rule, b.At.Seconds())
	if b.Job != 0 {
		fmt.Fprintf(&s, ", job %d", b.Job)
	}
	if b.Call != "" {
		fmt.Fprintf(&s, ", query %s", b.Call)
	}
	fmt.Fprintf(&s, ": %s\n", b.Text)
	for _, l := range b.Story {
		fmt.Fprintf(&s, "  %s\n", l)
	}
	return s.String()
}
