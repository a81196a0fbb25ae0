package world

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"valvecove/internal/lab/seen"
)

// attempt is one sending of a query, at the worker node that it was sent to.
type attempt struct {
	n      *node
	call   string
	key    string
	sched  int
	budget time.Duration
	first  time.Duration // when its first byte was written
	told   bool          // its scheduler knew then of the worker node's start
	boot   int           // of the process that took it

	class   int
	link    *nodeLink // that its 202 is owed on; nil: answered, or given up before
	open    bool      // its 202 is due or past: notes may be told
	early   bool      // notes may be told before
	expires time.Duration
	slots   float64
	work    float64 // of this run, for each slot, in seconds at speed 1
	fails   bool    // this run ends with an error
	atDoor  bool    // before its 202

	state  attemptState
	seq    uint64
	spot   int     // in node.all
	heap   int     // in node.running
	begun  float64 // n.v then
	end    float64 // n.v when it is done
	tells  time.Duration
	memory *keyed
	notes  []*note // that wait for its 202
	result string
}

type attemptState uint8

const (
	attWaits attemptState = iota // in the waiting room
	attRuns
	attRepeats // its key is known: it waits for the run of another
	attEnded
)

// A worker node's readings of the protocol:
//   - An id that no client sent, or a keyed query under another key than its client's, is answered 400; no id, 404.
//   - One whose id is in hand already, given up or not, is turned away like what there is no room for: 503, X-Rejected.
//     So is what its kind may not run, what takes more slots than there are, and anything new while it drains.
//   - A job of k slots does k times its run time of work. While more slots are in use than there are cores, all jobs
//     share these evenly.
//   - Of attempts that end with an error, a quarter do so at the door: 500 in place of 202. The others are told as
//     failed after a part of their work, drawn evenly from a tenth to all of it.

// doorErrors is the share of errors that come before a 202.
const doorErrors = 0.25

// reached takes an attempt whose last byte has been read.
func (n *node) reached(l *nodeLink, a *attempt) {
	f := n.fleet
	if l.sent == a {
		l.sent = nil
	}
	n.w.tell(seen.Sight{
		What: seen.Reached, Call: a.call, Node: n.n, Boot: n.boot, Sched: a.sched,
		Conn: uint64(l.c.id), Key: a.key, Budget: a.budget, First: a.first,
	})
	t := f.find(a.call)
	switch {
	case a.call == "":
		n.reject(l, a, 404)
		return
	case t == nil || f.classes[t.class].keyed && a.key != t.key:
		n.reject(l, a, 400)
		return
	}
	rules := &f.classes[t.class]
	a.class, a.slots, a.boot = t.class, t.slots, n.boot
	if n.pressed(a, t.work*t.slots) {
		return
	}
	k := f.recall(n, a)
	switch {
	case n.draining || n.shut || n.hand[a.call] != nil || a.slots > float64(n.kind.Slots),
		rules.kind >= 0 && rules.kind != n.which,
		k == nil && !n.room(a.slots) && !n.sweep(a.slots):
		n.reject(l, a, 503)
		return
	}
	n.draw(a, t.work, rules.noise)
	if a.atDoor && k == nil {
		n.w.tell(seen.Sight{What: seen.Began, Call: a.call, Node: n.n, Boot: n.boot})
		n.w.tell(seen.Sight{What: seen.Finished, Call: a.call, Node: n.n, Status: 500})
		n.answer(l, 500, false)
		return
	}
	n.seq++
	a.seq, a.link, l.waits = n.seq, l, a
	if a.budget > 0 {
		a.expires = n.w.now + a.budget
	}
	a.spot = len(n.all)
	n.all = append(n.all, a)
	n.hand[a.call] = a
	if k != nil {
		k.repeated(a)
	} else {
		f.remember(n, a)
		n.enter(a)
	}
	if accept := n.kind.Accept.D(); accept > 0 {
		n.w.after(accept, func() {
			if n.boot == a.boot && n.state == nodeUp {
				if n.stalled() {
					n.inbox = append(n.inbox, func() { n.accept(a) })
				} else {
					n.accept(a)
				}
			}
		})
		return
	}
	n.accept(a)
}

func (n *node) reject(l *nodeLink, a *attempt, status int) {
	n.w.tell(seen.Sight{What: seen.Rejected, Call: a.call, Node: n.n, Status: status})
	n.answer(l, status, status == 503)
}

// draw draws what becomes of a run. It follows from the query and the worker node alone.
func (n *node) draw(a *attempt, work, noise float64) {
	r := n.fleet.dice.roll(xxhash.Sum64String(a.call), uint64(n.n))
	z, fails, part, kind, early := r.NormFloat64(), r.Float64(), r.Float64(), r.Float64(), r.Float64()
	if a.work = work; noise > 0 {
		a.work *= math.Exp(noise * (z - noise/2))
	}
	rate := n.kind.ErrorRate
	if n.errors >= 0 {
		rate = n.errors
	}
	a.early = early < n.kind.NoteEarly
	a.fails, a.atDoor = fails < rate, fails < rate && kind < doorErrors
	if a.fails {
		a.work *= 0.1 + 0.9*part
	}
}

// accept answers an attempt with 202, unless its link is gone, and lets its notes go.
func (n *node) accept(a *attempt) {
	if l := a.link; l != nil {
		a.link = nil
		if l.waits == a {
			l.waits = nil
		}
		l.unread = a
		n.w.tell(seen.Sight{What: seen.Accepted, Call: a.call, Node: n.n})
		n.answer(l, 202, false)
		if n.dies {
			a.open = true
			n.crash(n.diesBack)
			return
		}
	}
	if a.open {
		return
	}
	a.open = true
	held := a.notes
	a.notes = nil
	for _, t := range held {
		n.call(t)
	}
}

// withdraw is the word that an attempt is given up. Most kinds run on regardless.
func (n *node) withdraw(a *attempt, why string) {
	n.w.tell(seen.Sight{What: seen.Withdrawn, Call: a.call, Node: n.n, Text: why})
	if a.state == attEnded || !n.kind.CancelStops {
		return
	}
	n.settle()
	n.drop(a)
	n.w.tell(seen.Sight{What: seen.Died, Call: a.call, Node: n.n, Text: "cancelled"})
	n.fleet.release(a)
	n.run()
}

// ---- Its waiting room ----

// room tells whether there is room for a job of so many slots, running or waiting.
func (n *node) room(slots float64) bool {
	free := float64(n.kind.Slots) - n.used
	if n.hung { // what it would have begun waits as well
		return float64(len(n.wait)) < float64(n.kind.Queue)+free
	}
	return len(n.wait) < n.kind.Queue || slots <= free && (len(n.wait) == 0 || n.kind.Order == "backfill")
}

// sweep makes room by dropping waiting attempts whose time is up, where the kind drops those.
func (n *node) sweep(slots float64) bool {
	if n.kind.Expired != "drop" || n.hung {
		return false
	}
	swept := false
	for i := 0; i < len(n.wait); {
		if a := n.wait[i]; a.expires > 0 && a.expires <= n.w.now {
			n.expire(a)
			swept = true
		} else {
			i++
		}
	}
	return swept && n.room(slots)
}

func (n *node) expire(a *attempt) {
	n.drop(a)
	n.w.tell(seen.Sight{What: seen.Died, Call: a.call, Node: n.n, Text: "expired"})
	n.fleet.release(a)
}

// enter begins an attempt, or has it wait.
func (n *node) enter(a *attempt) {
	a.state = attWaits
	n.waiting += a.work * a.slots
	n.wait = append(n.wait, a)
	if len(n.wait) == 1 || n.kind.Order == "backfill" {
		n.run()
	}
}

// returnAll hands back what waits.
func (n *node) returnAll() {
	for len(n.wait) > 0 {
		a := n.wait[0]
		n.drop(a)
		n.giveBack(a)
	}
	n.rested()
}

// giveBack returns an attempt that has been dropped: by its answer, if that is owed yet.
func (n *node) giveBack(a *attempt) {
	if l := a.link; l != nil {
		a.link, a.open = nil, true
		if l.waits == a {
			l.waits = nil
		}
		n.reject(l, a, 503)
	} else {
		n.w.tell(seen.Sight{What: seen.Returned, Call: a.call, Node: n.n})
		n.notes(a, "returned", 0)
	}
	n.fleet.release(a)
}

// drop takes an attempt out of all tables, whatever its state; the work done is settled by then.
func (n *node) drop(a *attempt) {
	switch a.state {
	case attWaits:
		if i := slices.Index(n.wait, a); i >= 0 {
			n.wait = slices.Delete(n.wait, i, i+1)
		}
		if n.waiting -= a.work * a.slots; len(n.wait) == 0 {
			n.waiting = 0
		}
	case attRuns:
		n.running.remove(a.heap)
		n.used -= a.slots
		if n.ends -= a.slots * a.end; len(n.running) == 0 {
			n.used, n.ends = 0, 0
		}
	case attRepeats:
		a.memory.waiters = slices.DeleteFunc(a.memory.waiters, func(o *attempt) bool { return o == a })
	case attEnded:
		return
	}
	a.state = attEnded
	last := len(n.all) - 1
	n.all[a.spot] = n.all[last]
	n.all[a.spot].spot = a.spot
	n.all[last] = nil
	n.all = n.all[:last]
	delete(n.hand, a.call)
}

// ---- Its cores ----

// settle brings the work done up to now.
func (n *node) settle() {
	if d := n.w.now - n.settled; d > 0 {
		done := n.rate * d.Seconds()
		n.v += done
		n.cold.done += done * n.used
		n.settled = n.w.now
	}
}

// toll is work beside all slots, of a handshake or probe. A free core does it at no cost to anybody; else what runs
// loses so much.
func (n *node) toll(work time.Duration) {
	if n.used+1 <= n.kind.Cores || len(n.running) == 0 || work <= 0 {
		return
	}
	n.settle()
	n.v -= work.Seconds() / n.used // its pending entry comes too early by that, and sees so
}

// run ends what is done, begins what fits, and plans what is next.
func (n *node) run() {
	if n.state != nodeUp || n.stalled() {
		return
	}
	n.settle()
	for len(n.running) > 0 && n.running[0].end <= n.v+workEps {
		a := n.running[0]
		n.drop(a)
		n.finished(a)
	}
	if !n.hung {
		n.fill()
	}
	n.plan()
	n.rested()
}

// workEps is far less than a job's work, and more than what rounding to nanoseconds and in sums comes to.
const workEps = 1e-8

// fill begins what fits. In a fifo the head waits until it fits, and all others behind it.
func (n *node) fill() {
	for i := 0; i < len(n.wait); {
		a := n.wait[i]
		switch {
		case n.kind.Expired == "drop" && a.expires > 0 && a.expires <= n.w.now:
			n.expire(a)
		case a.slots <= float64(n.kind.Slots)-n.used:
			n.launch(a, i)
		case n.kind.Order == "backfill":
			i++
		default:
			return
		}
	}
}

// launch begins the i-th of what waits.
func (n *node) launch(a *attempt, i int) {
	n.wait = slices.Delete(n.wait, i, i+1)
	if n.waiting -= a.work * a.slots; len(n.wait) == 0 {
		n.waiting = 0
	}
	a.state, a.begun, a.end = attRuns, n.v, n.v+a.work
	n.used += a.slots
	n.ends += a.slots * a.end
	n.running.add(a)
	n.w.tell(seen.Sight{What: seen.Began, Call: a.call, Node: n.n, Boot: n.boot})
	if !n.kind.StartMute {
		n.notes(a, "started", 0)
		n.planProgress(a)
	}
}

// plan has run called when the next is done, by what runs now. There is one entry on the agenda that counts: one that
// turns out to come too early plans anew, and later ones of the past mean nothing.
func (n *node) plan() {
	n.rate = 0
	if n.state != nodeUp || n.hung || n.stalled() {
		return
	}
	n.rate = n.pace / n.drag * n.share() * min(1, n.kind.Cores/max(n.used, 1e-9))
	if len(n.running) == 0 {
		return
	}
	at := n.w.now + max(1, seconds((n.running[0].end-n.v)/n.rate))
	if step, ok := n.nextStep(); ok {
		at = min(at, step)
	}
	if n.pending <= n.w.now || at < n.pending {
		n.pending = at
		n.w.at(at, n.tick)
	}
}

// seconds is a span, rounded up.
func seconds(s float64) time.Duration { return time.Duration(min(math.Ceil(s*1e9), 1<<60)) }

func (n *node) due() {
	if n.w.now == n.pending {
		n.pending = 0
		n.run()
	}
}

// finished is the end of a run.
func (n *node) finished(a *attempt) {
	status, state := 200, "done"
	if a.fails {
		status, state = 500, "failed"
	} else {
		n.runs++
		a.result = n.result(a)
	}
	n.w.tell(seen.Sight{What: seen.Finished, Call: a.call, Node: n.n, Text: a.result, Status: status})
	n.notes(a, state, 0)
	if a.fails {
		n.fleet.release(a)
	} else {
		n.fleet.settled(a)
	}
}

// result is what a run has made; no two are the same.
func (n *node) result(a *attempt) string {
	b := make([]byte, 0, 64)
	b = append(append(append(append(b, a.call...), ' '), n.id...), '/')
	b = append(strconv.AppendInt(b, int64(n.boot), 10), '#')
	return string(strconv.AppendUint(b, n.runs, 10))
}

// ---- Progress ----

// planProgress has notes of progress told of what has begun. One entry on the agenda serves all that runs.
func (n *node) planProgress(a *attempt) {
	if n.kind.Progress <= 0 {
		return
	}
	if a.tells = n.w.now + n.kind.Progress.D(); !n.ticking {
		n.ticking = true
		n.awaitProgress(a.tells)
	}
}

func (n *node) awaitProgress(at time.Duration) {
	boot := n.boot
	n.w.at(at, func() {
		if n.boot == boot && n.state == nodeUp {
			n.when(n.progress)
		}
	})
}

// progress tells of all whose time it is. While it hangs there is no progress to tell.
func (n *node) progress() {
	n.run()
	next := time.Duration(math.MaxInt64)
	for _, a := range n.running {
		if a.tells <= n.w.now {
			if !n.hung {
				n.notes(a, "running", min(1, max(0, (n.v-a.begun)/a.work)))
			}
			a.tells = n.w.now + n.kind.Progress.D()
		}
		next = min(next, a.tells)
	}
	if n.ticking = len(n.running) > 0; n.ticking {
		n.awaitProgress(next)
	}
}

// runHeap is what runs, what ends first at its head.
type runHeap []*attempt

func (h runHeap) less(i, j int) bool {
	return h[i].end < h[j].end || h[i].end == h[j].end && h[i].seq < h[j].seq
}

func (h runHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heap, h[j].heap = i, j
}

func (h *runHeap) add(a *attempt) {
	a.heap = len(*h)
	*h = append(*h, a)
	h.up(a.heap)
}

func (h *runHeap) remove(i int) {
	last := len(*h) - 1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h runHeap) up(i int) {
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h runHeap) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h); c++ {
			if h.less(c, least) {
				least = c
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
