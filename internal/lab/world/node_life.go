package world

import (
	"slices"
	"strconv"
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/seen"
)

// ---- Its life ----

// start begins a process, cold.
func (n *node) start() {
	n.turn++
	n.state, n.boot, n.started, n.sinceOld = nodeUp, n.boot+1, n.w.now, false
	n.draining, n.leaving, n.hung, n.shut, n.muted, n.dies, n.paused = false, false, false, false, false, false, 0
	n.ticking = false
	n.v, n.settled = 0, n.w.now
	n.warmUp()
	// The machine knows nothing of what was open before it fell silent, and says so to whoever has sent something.
	for _, l := range slices.Clone(n.ghosts) {
		if l.spoken {
			n.unlink(l)
			n.w.shut(l.c, farSide)
		}
	}
	n.hear()
	n.w.tell(seen.Sight{What: seen.NodeUp, Node: n.n, Boot: n.boot, Slots: float64(n.kind.Slots), Text: n.kind.Name})
	n.fleet.saw(n, lifeUp)
}

// end ends its process. Should there be none, that changes what state the machine is in, and when the next starts.
func (n *node) end(state nodeState, why string, back time.Duration) {
	if n.fallen || n.gone && n.state != nodeUp {
		return
	}
	n.turn++
	if n.state == nodeUp {
		n.perish(state, why)
		n.w.tell(seen.Sight{What: seen.NodeDown, Node: n.n})
	}
	if was := n.state; was != nodeSilent && was != state {
		n.state = state
		n.hear()
		if state == nodeSilent {
			n.fleet.saw(n, lifeSilent)
		} else {
			n.fleet.saw(n, lifeDown)
		}
	}
	if n.leaving, n.draining = false, false; back > 0 && !n.gone {
		n.planned(back, n.start)
	}
}

// planned does something after a while, unless its life takes another turn before.
func (n *node) planned(after time.Duration, do func()) {
	turn := n.turn
	n.w.after(after, func() {
		if n.turn == turn {
			do()
		}
	})
}

// perish is the end of all that its process knew.
func (n *node) perish(state nodeState, why string) {
	n.settle()
	n.inbox = nil
	links := n.links
	n.links = nil
	for _, l := range links {
		if l.closed = true; state == nodeSilent {
			l.ghost, l.place = true, len(n.ghosts)
			n.ghosts = append(n.ghosts, l)
		} else {
			l.place = -1
			n.w.shut(l.c, farSide)
		}
	}
	lost := n.all
	slices.SortFunc(lost, func(a, b *attempt) int { return int(a.seq) - int(b.seq) })
	n.all, n.wait, n.running = nil, nil, nil
	clear(n.hand)
	n.used, n.waiting, n.ends, n.rate = 0, 0, 0, 0
	for _, a := range lost {
		a.state = attEnded
	}
	// The machine's agent sees a process die, and tells, in half of all cases; in the others the end of connections is
	// the only word.
	agent := n.rng.Float64() < 0.5 && state == nodeDead
	n.forgetNotes(state == nodeSilent)
	for _, a := range lost {
		n.w.tell(seen.Sight{What: seen.Died, Call: a.call, Node: n.n, Text: why})
		if agent && a.open {
			n.agentTells(a)
		}
	}
	for _, a := range lost {
		n.fleet.release(a)
	}
}

// later does something in its process after a while.
func (n *node) later(after time.Duration, do func()) {
	boot := n.boot
	n.w.after(after, func() {
		if n.boot == boot && n.state == nodeUp {
			n.when(do)
		}
	})
}

// when does something in its process now, or once a pause is over.
func (n *node) when(do func()) {
	if n.stalled() {
		n.inbox = append(n.inbox, do)
		return
	}
	do()
}

// stalled tells whether it is paused.
func (n *node) stalled() bool { return n.paused > n.w.now }

// stall pauses it; pauses that overlap end with the last.
func (n *node) stall(d time.Duration) {
	if d <= 0 {
		return
	}
	n.settle()
	n.paused = max(n.paused, n.w.now+d)
	n.plan()
	boot := n.boot
	n.w.after(d, func() {
		if n.boot != boot || n.state != nodeUp || n.stalled() {
			return
		}
		n.settle()
		n.plan()
		for len(n.inbox) > 0 {
			do := n.inbox[0]
			n.inbox = n.inbox[1:]
			do()
		}
		if n.inbox = nil; n.state == nodeUp {
			n.run()
		}
	})
}

// rested is called whenever it may have nothing left, which ends a process that waits for that.
func (n *node) rested() {
	if n.leaving && len(n.all) == 0 && n.post.owed == 0 {
		n.planned(0, func() {
			if n.leaving && len(n.all) == 0 && n.post.owed == 0 && !n.stalled() {
				n.end(nodeDead, "restart", n.back)
			}
		})
	}
}

// leave drains it, and ends its process once it has nothing left.
func (n *node) leave(back time.Duration) {
	n.drain()
	n.turn++
	n.leaving, n.back = true, back
	n.planned(drainFor, func() { n.end(nodeDead, "restart", back) })
	n.rested()
}

// drainFor is the longest that a process which is to end finishes what it has.
const drainFor = 30 * time.Second

// mode is how the machine takes connections.
func (n *node) mode() int {
	switch {
	case n.state == nodeSilent:
		return edge.NeverUp
	case n.state == nodeDead:
		return edge.Refuse
	case n.never:
		return edge.NeverUp
	case n.refusing:
		return edge.Refuse
	}
	return edge.Open
}

// hear lets a live driver know of a change in how connections are taken; it is for no scheduler in particular.
func (n *node) hear() {
	if m := n.mode(); m != n.heard {
		n.heard = m
		n.w.ins = append(n.w.ins, edge.In{Kind: edge.Hear, Node: n.n, Machine: n.machine, Mode: m})
	}
}

// ---- What may be done to a worker node ----
//
// back is when after this its process starts again, cold; 0: never. What is done to one whose process has ended
// already only says anew when the next one starts; one that fell over, or is off the list, stays down. A hang, pause,
// full, mute or dieAtAccept ends with its process. What slows it, its errors and how it takes and reads connections
// are the machine's, and stay.

// crash: its process dies, connections are reset and new ones refused. Of what it had in hand, half the crashes are
// told of by the machine's agent, as lost, for each job that was answered 202; the others are not told at all.
func (n *node) crash(back time.Duration) { n.end(nodeDead, "crash", back) }

// vanish: the machine says nothing more. What is open stays open and silent, no connection comes up. Once it is back,
// a connection over which something was sent meanwhile is reset, any other when something is.
func (n *node) vanish(back time.Duration) { n.end(nodeSilent, "vanish", back) }

// hang: its process takes connections and work, answers that with 202 while there is room (free slots count as room),
// answers probes, and takes note of what is withdrawn. It begins nothing, what runs stands still, and nothing is told.
func (n *node) hang(on bool) {
	if n.state != nodeUp || n.hung == on {
		return
	}
	n.settle()
	if n.hung = on; on {
		n.w.tell(seen.Sight{What: seen.NodeHang, Node: n.n})
		n.plan()
		return
	}
	n.well()
	n.plan()
	n.tellHeld()
	n.when(n.run)
}

// pause: nothing in it moves for so long. Its kernel still takes connections and what is written to them.
func (n *node) pause(d time.Duration) {
	if n.state != nodeUp || d <= 0 {
		return
	}
	n.stall(d)
	boot := n.boot
	n.w.after(d, func() {
		if n.boot == boot && n.state == nodeUp && !n.stalled() {
			n.well()
		}
	})
}

// slow: its speed is divided by this; 1: as ever.
func (n *node) slow(factor float64) {
	n.settle()
	was := n.drag
	if n.drag = max(factor, 1e-3); n.drag <= 1 && was > 1 {
		n.well()
	}
	n.plan()
}

func (n *node) well() { n.w.tell(seen.Sight{What: seen.NodeWell, Node: n.n}) }

// failing: a share of the attempts that it takes end with an error; < 0: its kind's own.
func (n *node) failing(rate float64) { n.errors = rate }

// full: it turns away all work, with 503, and says so to probes.
func (n *node) full(on bool) { n.shut = on && n.state == nodeUp }

// drain: it finishes what it has, hands back what waits if it is of such a kind, and turns away anything new, until
// its process ends.
func (n *node) drain() {
	if n.state != nodeUp || n.draining {
		return
	}
	n.draining = true
	n.w.tell(seen.Sight{What: seen.NodeDrain, Node: n.n})
	n.fleet.saw(n, lifeDrain)
	if n.kind.HandsBack {
		n.handBack()
	}
}

// handBack: what waits is returned.
func (n *node) handBack() {
	if n.state == nodeUp {
		n.when(n.returnAll)
	}
}

// restart: it drains; its process ends once it has nothing left, neither work nor notes that are not answered, and
// after 30 s at the latest. back counts from that end.
func (n *node) restart(back time.Duration) {
	if n.state == nodeUp {
		n.leave(back)
	} else {
		n.end(n.state, "", back)
	}
}

// remove: it is off the list for good, at once. It drains, and its process ends as at a restart.
func (n *node) remove() {
	if n.gone {
		return
	}
	if n.gone = true; n.state == nodeUp {
		n.leave(0)
	} else {
		n.turn++ // nothing brings it back
	}
	n.fleet.saw(n, lifeGone)
}

// replace: the machine vanishes for good. After back another, of the same kind, takes its place in the same cell, cold,
// with an id and an address of its own, and the old id goes off the list. What is sent to the old one, over connections
// that were open or by trying anew, meets with silence.
func (n *node) replace(back time.Duration) {
	if n.gone {
		return
	}
	n.fallen = false
	n.end(nodeSilent, "replace", 0)
	if back <= 0 {
		return
	}
	n.planned(back, func() {
		n.fleet.saw(n, lifeGone)
		n.machine++
		n.id = "w-" + strconv.Itoa(n.n) + "." + strconv.Itoa(n.machine)
		n.pace, n.drag, n.errors = n.drawPace(), 1, -1
		n.refusing, n.never, n.slowly, n.resets = false, false, false, 0
		for _, l := range n.ghosts {
			l.place = -1
		}
		n.ghosts = nil
		n.start()
	})
}

// mute: no notes are told; what was not told stays untold.
func (n *node) mute(on bool) { n.muted = on && n.state == nodeUp }

// dieAtAccept: it answers 202 to the next job and dies at that instant.
func (n *node) dieAtAccept(back time.Duration) {
	if n.state == nodeUp {
		n.dies, n.diesBack = true, back
	}
}

// refuse: connections are refused, those there go on.
func (n *node) refuse(on bool) { n.refusing = on; n.hear() }

// neverUp: connections never come up, those there go on.
func (n *node) neverUp(on bool) { n.never = on; n.hear() }

// resetAt: each new connection is reset after it has read so many bytes, which is the driver's to play, as it knows how
// long requests are: only those that were read to their end come here, and the end comes as Hangup. < 0: after so many
// bytes of its first answer are written. 0: as ever.
func (n *node) resetAt(bytes int) { n.resets = bytes }

// slowRead: requests are read so slowly that their last byte comes 1 s late.
func (n *node) slowRead(on bool) { n.slowly = on }
