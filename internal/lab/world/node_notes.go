package world

import (
	"slices"
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/seen"
	"valvecove/internal/requests"
)

// post is the notes that a worker node owes schedulers. Each is told by calls of its own until one is answered, by
// 200 or 204, to whichever process of the scheduler runs by then.
type post struct {
	first   uint64     // id, without the worker node's part, of the first of notes
	notes   []*note    // in the order in which they were made; nil: answered or given up
	owed    int        // that are neither, and the process's own
	held    []*note    // while it hangs
	calls   []noteCall // in the order in which their time is up
	waiting bool       // an entry for that is on the agenda
}

// note is something that is to be told of an attempt.
type note struct {
	id     uint64
	sched  int
	tries  int
	agent  bool // told by the machine's agent: no matter what becomes of the process
	waits  bool // for the answer to a call
	over   bool // answered or given up
	body   requests.Callback
	result string
}

// noteCall is one sending of a note.
type noteCall struct {
	t   *note
	try int
	due time.Duration
}

const (
	noteTries   = 10
	noteWait    = 2 * time.Second        // for the answer to a call
	noteBackoff = 100 * time.Millisecond // before the second, doubling
	noteBackMax = 2 * time.Second
	noteAgain   = 20 * time.Millisecond // until one is sent again though answered
)

// notes tells something of an attempt: at once, or with its 202 if that is still to come.
func (n *node) notes(a *attempt, state string, share float64) {
	t := n.newNote(a, state)
	t.body.Progress = share
	n.post.owed++
	switch {
	case n.muted:
		n.lose(t)
	case a.open || a.early:
		n.call(t)
	default:
		a.notes = append(a.notes, t)
	}
}

// agentTells has the machine's agent tell that an attempt was lost.
func (n *node) agentTells(a *attempt) {
	t := n.newNote(a, "lost")
	t.agent = true
	n.call(t)
}

func (n *node) newNote(a *attempt, state string) *note {
	p := &n.post
	t := &note{
		id: uint64(n.n)<<32 | (p.first + uint64(len(p.notes))), sched: a.sched,
		body: requests.Callback{CallID: a.call, EndpointID: n.id, State: state},
	}
	if state == "done" {
		t.result = a.result
		t.body.Result = &t.result
	}
	p.notes = append(p.notes, t)
	return t
}

// find finds a note that is neither answered nor given up.
func (p *post) find(id uint64) *note {
	if i := id&(1<<32-1) - p.first; i < uint64(len(p.notes)) {
		return p.notes[i]
	}
	return nil
}

// call sends a note once.
func (n *node) call(t *note) {
	p := &n.post
	if t.over {
		return
	}
	if !t.agent {
		if n.muted {
			n.lose(t)
			return
		}
		if n.hung {
			p.held = append(p.held, t)
			return
		}
	}
	t.tries++
	t.waits = true
	n.bear(t)
	p.calls = append(p.calls, noteCall{t, t.tries, n.w.now + noteWait})
	if !p.waiting {
		p.waiting = true
		n.w.after(noteWait, n.overdue)
	}
}

// bear brings one sending of a note to its scheduler, unless it gets lost.
func (n *node) bear(t *note) {
	late := time.Duration(0)
	if n.kind.NoteLost > 0 || n.kind.NoteLate > 0 {
		r := n.fleet.dice.roll(t.id, uint64(t.tries))
		if r.Float64() < n.kind.NoteLost {
			return
		}
		late = time.Duration(r.ExpFloat64() * float64(n.kind.NoteLate))
	}
	if arrive, ok := n.w.net.arrival(n.party(), party{aSched, t.sched}); ok {
		n.w.at(arrive+late, func() {
			n.w.in(edge.In{Kind: edge.Told, Sched: t.sched, Node: n.n, NoteID: t.id, Note: &t.body})
		})
	}
}

// acknowledged is a scheduler's answer to a note; status 0: the call has failed.
func (n *node) acknowledged(o *edge.Out) {
	id, status := o.NoteID, o.Status
	if arrive, ok := n.w.net.arrival(party{aSched, o.Sched}, n.party()); ok {
		n.w.at(arrive, func() { n.answered(id, status) })
	}
}

func (n *node) answered(id uint64, status int) {
	t := n.post.find(id)
	switch {
	case t == nil: // of a process that is gone, or answered before
	case n.stalled() && !t.agent:
		n.inbox = append(n.inbox, func() { n.answered(id, status) })
	case status == 200 || status == 204:
		n.close(t)
		n.w.tell(seen.Sight{
			What: seen.Noted, Call: t.body.CallID, Node: n.n, Sched: t.sched, Text: t.body.State,
			Status: status, Try: t.tries,
		})
		if twice := n.kind.NoteTwice; twice > 0 && n.fleet.dice.roll(id, 0).Float64() < twice {
			n.w.after(noteAgain, func() { n.bear(t) })
		}
		n.rested()
	case t.waits:
		n.retry(t)
	}
}

// overdue gives up calls that have waited for too long.
func (n *node) overdue() {
	p := &n.post
	i := 0
	for ; i < len(p.calls); i++ {
		c := &p.calls[i]
		if c.t.over || !c.t.waits || c.t.tries != c.try {
			continue
		}
		if c.due > n.w.now {
			break
		}
		n.retry(c.t)
	}
	p.calls = slices.Delete(p.calls, 0, i)
	if p.waiting = len(p.calls) > 0; p.waiting {
		n.w.at(p.calls[0].due, n.overdue)
	}
}

// retry plans the next call of a note, unless there were enough.
func (n *node) retry(t *note) {
	t.waits = false
	if t.tries >= noteTries {
		n.lose(t)
		return
	}
	n.w.after(min(noteBackoff<<(t.tries-1), noteBackMax), func() {
		switch {
		case t.over:
		case t.agent:
			n.call(t)
		default: // it has not been forgotten, so its process is there
			n.when(func() { n.call(t) })
		}
	})
}

// tellHeld sends what was held up by a hang.
func (n *node) tellHeld() {
	held := n.post.held
	n.post.held = nil
	for _, t := range held {
		n.when(func() { n.call(t) })
	}
}

// lose gives up a note.
func (n *node) lose(t *note) {
	n.close(t)
	n.w.tell(seen.Sight{What: seen.NoteLost, Call: t.body.CallID, Node: n.n, Text: t.body.State})
	n.rested()
}

func (n *node) close(t *note) {
	t.over, t.waits = true, false
	p := &n.post
	p.notes[t.id&(1<<32-1)-p.first] = nil
	done := 0
	for done < len(p.notes) && p.notes[done] == nil {
		done++
	}
	p.notes, p.first = slices.Delete(p.notes, 0, done), p.first+uint64(done)
	if !t.agent {
		p.owed--
	}
}

// forgetNotes loses the notes of a process that has ended; those of the agent too when the machine has fallen silent.
func (n *node) forgetNotes(agent bool) {
	for _, t := range slices.Clone(n.post.notes) {
		if t != nil && (agent || !t.agent) {
			n.lose(t)
		}
	}
	n.post.held = nil
}
