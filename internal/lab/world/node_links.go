package world

import (
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/seen"
)

// nodeLink is a connection at a worker node's end.
type nodeLink struct {
	n       *node
	c       *conn
	machine int
	place   int // among links or ghosts; -1: in neither
	fresh   bool
	reading int      // requests that are being read
	closed  bool     // the process deals with it no more
	ghost   bool     // its process ended without a word
	spoken  bool     // and something was sent over it since
	resets  int      // see resetAt
	sent    *attempt // was wholly written to it, and has not been read
	waits   *attempt // its answer is owed
	unread  *attempt // its 202 is on the way
}

const slowReadFor = time.Second

// dialled is a scheduler's attempt to connect.
func (n *node) dialled(o *edge.Out) {
	l := &nodeLink{n: n, machine: n.machine, place: -1, fresh: true}
	l.c = n.w.open(&conn{id: o.Conn, sched: o.Sched, node: n.n, boot: n.boot, far: n, part: l})
	way, back, ok := n.w.net.reach(party{aSched, o.Sched}, n.party())
	if !ok || o.Machine != n.machine {
		l.machine = -1 // to nowhere
		return
	}
	l.c.away[farSide] = n.w.now + way
	n.w.after(way, func() {
		if !l.c.over[farSide] {
			n.knocked(l, back)
		}
	})
}

// knocked is the arrival of an attempt to connect. The kernel takes it, so a pause changes nothing.
func (n *node) knocked(l *nodeLink, back time.Duration) {
	c := l.c
	switch mode := n.mode(); {
	case mode == edge.NeverUp || l.machine != n.machine:
		l.machine = -1
		return
	case mode == edge.Refuse || n.kind.Conns > 0 && len(n.links) >= n.kind.Conns:
		l.closed = true
		n.w.shut(c, farSide)
		return
	}
	c.boot = n.boot
	l.place, l.resets = len(n.links), n.resets
	n.links = append(n.links, l)
	n.w.tell(seen.Sight{What: seen.Linked, Node: n.n, Sched: c.sched, Conn: uint64(c.id)})
	n.toll(n.kind.Handshake.D())
	c.used = n.w.now
	c.away[schedSide] = max(c.away[schedSide], n.w.now+back+n.w.Spec.Net.Handshake.D())
	n.w.at(c.away[schedSide], func() {
		if !c.over[schedSide] {
			c.up = true
			n.w.in(edge.In{Kind: edge.LinkUp, Sched: c.sched, Node: n.n, Conn: c.id, Bytes: max(0, l.resets)})
		}
	})
	if n.kind.Idle > 0 {
		n.watchIdle(l, n.kind.Idle.D())
	}
}

// watchIdle closes a connection once it has been idle for too long.
func (n *node) watchIdle(l *nodeLink, after time.Duration) {
	n.w.after(after, func() {
		if l.closed {
			return
		}
		left := l.c.used + n.kind.Idle.D() - n.w.now
		if l.waits != nil || l.reading > 0 || n.stalled() {
			left = max(left, n.kind.Idle.D()/2)
		}
		if left > 0 {
			n.watchIdle(l, left)
			return
		}
		n.hangUp(l)
	})
}

// hangUp closes a connection.
func (n *node) hangUp(l *nodeLink) {
	l.closed = true
	n.unlink(l)
	n.w.shut(l.c, farSide)
}

func (n *node) unlink(l *nodeLink) {
	in := &n.links
	if l.ghost {
		in = &n.ghosts
	}
	if i := l.place; i >= 0 {
		last := len(*in) - 1
		(*in)[i] = (*in)[last]
		(*in)[i].place = i
		(*in)[last] = nil
		*in = (*in)[:last]
		l.place = -1
	}
}

// came is the arrival of a request. Its process deals with it once its last byte has been read.
func (n *node) came(l *nodeLink, kind edge.OutKind, a *attempt) {
	if l.closed || l.place < 0 {
		n.haunted(l)
		return
	}
	wait := time.Duration(0)
	if l.fresh {
		l.fresh, wait = false, n.kind.Handshake.D()
	}
	if n.slowly {
		wait += slowReadFor
	}
	switch {
	case wait > 0:
		l.reading++
		n.later(wait, func() {
			if l.reading--; !l.closed {
				n.take(l, kind, a)
			}
		})
	case n.stalled():
		n.inbox = append(n.inbox, func() { n.take(l, kind, a) })
	default:
		n.take(l, kind, a)
	}
}

func (n *node) take(l *nodeLink, kind edge.OutKind, a *attempt) {
	switch kind {
	case edge.Sent:
		n.reached(l, a)
	case edge.Probe:
		n.probed(l)
	case edge.Delete:
		n.deleted(l, a.call)
	}
}

// haunted is something sent to a process that ended without a word. A machine that is there answers it by a reset.
func (n *node) haunted(l *nodeLink) {
	if !l.ghost || l.machine != n.machine {
		return
	}
	if l.spoken = true; n.state != nodeSilent {
		n.unlink(l)
		n.w.shut(l.c, farSide)
	}
}

// parted is the end of a connection for its scheduler.
func (l *nodeLink) parted() {
	if a := l.sent; a != nil {
		l.sent = nil
		l.n.w.tell(seen.Sight{What: seen.Unread, Call: a.call, Node: l.n.n, Sched: a.sched, First: a.first})
	}
}

// ended is the close of a connection by its scheduler, or the end of that.
func (n *node) ended(c *conn) {
	l := c.part.(*nodeLink)
	if l.closed || l.place < 0 {
		n.unlink(l)
		l.closed = true
		return
	}
	n.when(func() {
		l.closed = true
		n.unlink(l)
		// What has not been answered yet is given up by that, and so is what was answered when the close came first.
		why := ""
		if c.torn[farSide] {
			why = "forgotten"
		}
		switch a := l.waits; {
		case a != nil:
			l.waits, a.link = nil, nil
			n.withdraw(a, why)
		case l.unread != nil:
			n.withdraw(l.unread, why)
		}
	})
}

// answer writes an answer to what came over a connection.
func (n *node) answer(l *nodeLink, status int, rejected bool) {
	if l.closed {
		return
	}
	c, bytes := l.c, max(0, -l.resets)
	n.w.toSched(c, func() {
		l.unread = nil
		n.w.in(edge.In{
			Kind: edge.Answered, Sched: c.sched, Node: n.n, Conn: c.id, Status: status, Rejected: rejected,
			Bytes: bytes,
		})
	})
	if bytes > 0 {
		n.hangUp(l)
	}
}

// probed is a sign of life that is asked for. Beside the queue, it costs a little work; the answer is 503 while even
// the smallest job would be turned away.
func (n *node) probed(l *nodeLink) {
	n.w.tell(seen.Sight{What: seen.Probed, Node: n.n, Sched: l.c.sched})
	if !n.w.Spec.Schedulers.Probes {
		n.answer(l, 404, false)
		return
	}
	n.toll(n.kind.ProbeWork.D())
	took := time.Duration(float64(n.kind.ProbeWork.D()) / max(1e-3, n.pace/n.drag*n.share()))
	n.later(took, func() {
		if n.draining || n.shut || !n.room(1) {
			n.answer(l, 503, false)
		} else {
			n.answer(l, 200, false)
		}
	})
}

// deleted is the word that an attempt is given up.
func (n *node) deleted(l *nodeLink, call string) {
	a := n.hand[call]
	if a == nil {
		n.w.tell(seen.Sight{What: seen.Withdrawn, Call: call, Node: n.n})
		n.answer(l, 404, false)
		return
	}
	n.withdraw(a, "")
	n.answer(l, 200, false)
}
