package world

import (
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/seen"
)

// front spreads clients' connections over the schedulers that it takes to be there: in turn over those of the
// client's zone, or over all where it has none. It admits a scheduler as soon as that is ready, drops one that says
// it is not within half of its notice, as it asks so often, and one that is dead or frozen after the whole. Until
// then connections are led there.
type front struct {
	w        *World
	admitted []bool
	drops    []time.Duration // when a scheduler will be dropped; -1: it is well
	load     []int           // clients' connections, those not up yet included
	most     int             // of these
	turn     []int           // by zone
}

// A third of a scheduler's descriptors is the most that clients' connections take up. Queries that find all of them
// busy wait for one.
const clientPart = 3

// connectPatience is how long a client waits for a connection to come up. What comes up later is not used.
const connectPatience = time.Second

func newFront(w *World) *front {
	n := len(w.scheds)
	f := &front{
		w: w, admitted: make([]bool, n), drops: make([]time.Duration, n), load: make([]int, n),
		turn: make([]int, max(1, len(w.Spec.Fleet.Zones))),
	}
	for i := range f.drops {
		f.drops[i] = -1
	}
	if f.most = int(^uint(0) >> 1); w.Spec.Schedulers.Sockets > 0 {
		f.most = max(1, w.Spec.Schedulers.Sockets/clientPart)
	}
	return f
}

// changed is told that a scheduler became ready, unready, died, ended, froze or woke.
func (f *front) changed(s *sched) {
	if f.look(s) || !f.admitted[s.n] {
		return
	}
	wait := f.w.Spec.Front.Notice.D()
	if s.alive && !s.frozen {
		wait /= 2
	}
	at := f.w.now + wait
	if f.drops[s.n] >= 0 && f.drops[s.n] <= at {
		return
	}
	f.drops[s.n] = at
	f.w.at(at, func() {
		if f.drops[s.n] == at {
			f.drop(s)
		}
	})
}

// look admits a scheduler if it is well.
func (f *front) look(s *sched) bool {
	if !s.alive || !s.ready || s.draining || s.frozen {
		return false
	}
	f.admitted[s.n], f.drops[s.n] = true, -1
	f.room()
	return true
}

func (f *front) drop(s *sched) {
	f.admitted[s.n], f.drops[s.n] = false, -1
	f.room()
	f.await(s)
}

// await looks again at one that was dropped while frozen: nobody else may tell when it wakes.
func (f *front) await(s *sched) {
	if s.alive && s.frozen {
		f.w.after(max(f.w.Spec.Front.Notice.D()/2, 100*time.Millisecond), func() {
			if !f.admitted[s.n] && !f.look(s) {
				f.await(s)
			}
		})
	}
}

// pick is the next scheduler in turn with fewer connections than most, or -1; exists tells whether there is one at all.
func (f *front) pick(zone, most int) (sched int, exists bool) {
	for _, own := range [...]bool{true, false} {
		for i := range f.admitted {
			s := (f.turn[zone] + i) % len(f.admitted)
			if !f.admitted[s] || own && f.w.Spec.ZoneOf(s) != zone {
				continue
			}
			exists = true
			if f.load[s] < most {
				f.turn[zone] = s + 1
				return s, true
			}
		}
		if exists {
			break
		}
	}
	return -1, exists
}

// room is told that there may be room for connections that wait for it, or none any more.
func (f *front) room() {
	if f.w.clients == nil {
		return
	}
	for _, p := range f.w.clients.pools {
		for p.parked.len() > 0 {
			t := *p.parked.first()
			if t.stage != trySeeks {
				p.parked.drop()
				continue
			}
			sched, exists := f.pick(p.zone, f.most)
			if exists && sched < 0 {
				break
			}
			p.parked.drop()
			p.dial(t, sched)
		}
	}
}

// pool is the connections that the clients of a zone keep. Which idle one a query takes is drawn, as they belong to
// many clients; when all are busy another is opened, and whichever is free first carries the query.
type pool struct {
	c       *clients
	zone    int
	idle    []*line
	waiting queue[*try] // for a connection; some may have got theirs
	parked  queue[*try] // those of them for which none is being opened
}

// line is a client's connection to a scheduler, at its end.
type line struct {
	pool  *pool
	conn  *conn
	maker *try // for which it is being opened; nil: it is up
	try   *try // whose query it carries
	place int  // among the idle ones; -1: it is none

	// What is on its way, of which there is hardly ever more than one: these save a closure each time.
	asking    *edge.Ask
	arrive    func()
	answer    answer
	answering bool
	come      func()
}

// seek finds a connection for a try.
func (p *pool) seek(t *try) {
	t.stage = trySeeks
	if n := len(p.idle); n > 0 {
		l := p.idle[p.c.draw(t.job, t.n, drawLine)%uint64(n)]
		l.unidle()
		if !p.c.put(t, l) {
			l.idleNow()
			p.c.miss(t, -1)
		}
		return
	}
	p.waiting.push(t)
	sched, exists := p.c.w.front.pick(p.zone, p.c.w.front.most)
	if exists && sched < 0 {
		p.parked.push(t)
		return
	}
	p.dial(t, sched)
}

// dial opens a connection to a scheduler, for a try; -1: the front has none, and refuses it.
func (p *pool) dial(t *try, sched int) {
	w, f := p.c.w, p.c.w.front
	if sched < 0 {
		w.after(2*w.Spec.Net.Client.D(), func() { p.fail(t, sched) })
		return
	}
	f.load[sched]++
	way, back, ok := w.net.reach(party{aClient, p.zone}, party{aSched, sched})
	if !ok || way+back+w.Spec.Net.Handshake.D() > connectPatience {
		w.after(connectPatience, func() { p.miss(t, sched) })
		return
	}
	w.after(way, func() {
		if !w.scheds[sched].alive {
			w.after(back, func() { p.miss(t, sched) })
			return
		}
		l := &line{pool: p, maker: t, place: -1}
		l.arrive = func() { a := l.asking; l.asking = nil; l.read(a) }
		l.come = func() { a := l.answer; l.answer, l.answering = answer{}, false; l.answered(a) }
		l.conn = w.open(&conn{id: p.c.number(), sched: sched, up: true, far: l})
		w.after(back+w.Spec.Net.Handshake.D(), func() {
			if l.maker != nil {
				l.maker = nil
				l.free()
			}
		})
	})
}

// miss ends the opening of a connection.
func (p *pool) miss(t *try, sched int) {
	p.c.w.front.load[sched]--
	p.fail(t, sched)
	p.c.w.front.room()
}

// fail ends a try for which no connection came up, unless it has one by now.
func (p *pool) fail(t *try, sched int) {
	if t.stage == trySeeks {
		p.c.miss(t, sched)
	}
}

func (l *line) party() party { return party{aClient, l.pool.zone} }

// send brings a query to the scheduler, and read is its arrival.
func (l *line) send(a *edge.Ask) {
	if l.asking != nil {
		l.pool.c.w.toSched(l.conn, func() { l.read(a) })
		return
	}
	l.asking = a
	l.pool.c.w.toSched(l.conn, l.arrive)
}

func (l *line) read(a *edge.Ask) {
	if l.try != nil && l.try.call == a.Call {
		l.try.read = true
	}
	l.pool.c.w.in(edge.In{Kind: edge.Asked, Sched: l.conn.sched, Conn: l.conn.id, Ask: a})
}

// bring brings an answer to the client.
func (l *line) bring(a answer) {
	if l.answering {
		l.pool.c.w.toFar(l.conn, func() { l.answered(a) })
		return
	}
	l.answer, l.answering = a, true
	l.pool.c.w.toFar(l.conn, l.come)
}

// free gives a connection to whoever has waited longest for one, or keeps it. One that the scheduler has closed
// behind its last answer is not used again, as that answer said so.
func (l *line) free() {
	if l.conn.over[schedSide] {
		l.close()
		return
	}
	p := l.pool
	for p.waiting.len() > 0 {
		t := *p.waiting.first()
		p.waiting.drop()
		if t.stage != trySeeks {
			continue
		}
		if p.c.put(t, l) {
			return
		}
		p.c.miss(t, -1)
	}
	l.idleNow()
}

func (l *line) idleNow() {
	l.place = len(l.pool.idle)
	l.pool.idle = append(l.pool.idle, l)
}

func (l *line) unidle() {
	if l.place < 0 {
		return
	}
	p := l.pool
	last := p.idle[len(p.idle)-1]
	p.idle[l.place], last.place = last, l.place
	p.idle[len(p.idle)-1] = nil
	p.idle = p.idle[:len(p.idle)-1]
	l.place = -1
}

// close is the client's closing of it.
func (l *line) close() {
	l.pool.c.w.shut(l.conn, farSide)
	l.lost()
}

func (l *line) lost() {
	l.unidle()
	f := l.pool.c.w.front
	f.load[l.conn.sched]--
	f.room()
}

// ended is the scheduler's closing of it. A query that crossed the close, so that nobody has read it, is sent once
// more over a new connection, as it is.
func (l *line) ended(*conn) {
	c, p, t, maker := l.pool.c, l.pool, l.try, l.maker
	l.try, l.maker = nil, nil
	l.lost()
	switch {
	case maker != nil:
		p.fail(maker, l.conn.sched)
	case t != nil && !t.read && !t.again:
		c.asking--
		t.again, t.line = true, nil
		p.seek(t)
	case t != nil:
		c.w.tell(c.about(t, seen.Sight{What: seen.Lost, Sched: l.conn.sched, Conn: uint64(l.conn.id)}))
		c.end(t, failed, 0)
	}
}
