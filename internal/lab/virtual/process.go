package virtual

import (
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/deadline"
	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/world"
	"valvecove/internal/requests"
)

// The figures of internal/server's stop, and of internal/link's descriptors, memory and patience with discovery.
const (
	killAfter = 3 * time.Second
	killSpare = 700 * time.Millisecond
	lastTaken = 900 * time.Millisecond
	lastWords = 300 * time.Millisecond
	lastOfAll = 150 * time.Millisecond

	ownDescriptors = 24
	fullFor        = time.Second // when to come back to a scheduler that holds all the queries it can
	upWithin       = 500 * time.Millisecond
	firstLine      = 4 * time.Second // a call to discovery may wait its turn for a while
	nextLine       = 3 * time.Second // discovery writes one every 2 s
)

// process is one process of a scheduler, from its start to its end. Its clock is Unix time, as a real one's is.
type process struct {
	s        *Scheduler
	now      time.Duration
	ledger   *requests.Table
	servers  *serverLinks
	timers   deadline.Queue[*timer]
	clients  map[edge.Conn]*clientLink
	idle     clientLink // of the ring of client links without a query, the one idle longest first
	most     int        // client links held at once
	queries  int        // and queries, which is fewer
	budget   int        // bytes of queries' bodies
	disco    int
	watching bool
	silence  timer
	ready    bool // /up answers 200
	told     bool // the host group may have changed
	draining bool
	closing  bool              // takes no query any more
	over     bool              // there is nothing more to stay for
	up       *forwarderProcess // nil: there are no planners
	taken    []string          // the calls of the queries taken since the last step, by their numbers from first on
	first    uint64
}

func newProcess(s *Scheduler, boot *edge.Boot) *process {
	p := &process{s: s, now: s.epoch + s.now, clients: map[edge.Conn]*clientLink{}, disco: boot.Disco, told: true}
	p.idle.prev, p.idle.next = &p.idle, &p.idle
	p.silence.act = p.lost
	sch := &s.spec.Schedulers
	most := sch.Sockets - ownDescriptors
	servers := max(8, most/6)
	p.most, p.budget = most-servers, sch.MemoryMB<<20/6
	p.queries = p.most - max(8, p.most/10)
	p.servers = newServerLinks(p, servers, s.set.ConnectTimeout, s.set.ConnIdleTimeout)
	seed := boot.Seed
	module := func() requests.Policy {
		if p.up != nil {
			return p.up.module()
		}
		seed++
		if s.model.Module == nil {
			return dispatch.New(s.set.Settings, seed)
		}
		return s.model.Module(s.set.Settings, seed, p)
	}
	if s.tiers != nil {
		p.up = newForwarder(p, boot.Name, seed)
	}
	p.ledger = requests.New(s.set.AttemptLimit, s.set.Names, module, boot.Known, p.servers, s.model.log(s.n))
	if p.up != nil {
		p.up.join()
	}
	return p
}

// take is one thing that has come in.
func (p *process) take(in *edge.In) {
	switch in.Kind {
	case edge.Asked:
		p.ask(in)
	case edge.Left:
		if k := p.clients[in.Conn]; k != nil {
			k.left()
		}
	case edge.LinkUp:
		if k := p.servers.links[in.Conn]; k != nil {
			k.up()
		}
	case edge.LinkDown:
		if k := p.servers.links[in.Conn]; k != nil {
			k.down(in.Reset)
		}
	case edge.Answered:
		if k := p.servers.links[in.Conn]; k != nil {
			k.answered(in)
		}
	case edge.Told:
		status := 204
		if _, err := p.ledger.HandleCallback(*in.Note); err != nil {
			status = 400
		}
		p.emit(edge.Out{Kind: edge.Acked, Node: in.Node, NoteID: in.NoteID, Status: status})
	case edge.Listed:
		if p.watching {
			p.expect(nextLine)
			p.ledger.UpdateEndpoints(*in.List)
			p.told = true
		}
	case edge.Quiet:
		if p.watching {
			p.expect(nextLine)
		}
	case edge.WatchUp:
		if p.watching {
			p.expect(firstLine)
		}
	case edge.Unlisted:
		p.lost()
	case edge.Reload:
		if in.Disco != p.disco {
			p.disco = in.Disco
			p.ledger.ResetRevision()
			p.watch(0)
		}
	case edge.Terminate:
		if !p.draining { // once: a second SIGTERM must not begin the drain anew
			p.drain()
		}
	}
}

// turn is what ends each turn of the loop: timers, one step of the ledger, and whether there is more to stay for.
func (p *process) turn() (exited bool) {
	if p.up != nil {
		p.up.before(p.s.news)
		clear(p.s.news)
		p.s.news = p.s.news[:0]
	}
	for p.timers.Len() > 0 && p.timers.First().At <= p.now {
		t := p.timers.First()
		p.timers.Remove(t)
		t.act()
	}
	if at, ok := p.ledger.NextStep(); ok && at <= p.now {
		p.ledger.Step(p.now)
		p.taken = p.taken[:0]
	}
	if p.up != nil {
		p.up.after()
	}
	if p.told {
		p.told = false
		p.tellReady()
	}
	if p.over && p.ledger.OpenCount() == 0 {
		if p.up != nil {
			p.s.tiers.gossip.leave(p.s.n)
		}
		p.emit(edge.Out{Kind: edge.Exited})
		return true
	}
	return false
}

// next is when a turn is due at the latest.
func (p *process) next() (at time.Duration, ok bool) {
	at, ok = p.ledger.NextStep()
	if p.timers.Len() > 0 && (!ok || p.timers.First().At < at) {
		at, ok = p.timers.First().At, true
	}
	if p.up != nil {
		if t := p.up.members.Next(); t > 0 && (!ok || t < at) {
			at, ok = t, true
		}
	}
	return at, ok
}

func (p *process) tellReady() {
	if ready := !p.draining && p.ledger.HasReadyWorker(); ready != p.ready {
		p.ready = ready
		kind := edge.Unready
		if ready {
			kind = edge.Ready
		}
		p.emit(edge.Out{Kind: kind})
	}
}

func (p *process) emit(o edge.Out) {
	o.Sched = p.s.n
	p.s.out = append(p.s.out, o)
}

func (p *process) newConn() edge.Conn {
	p.s.links++
	return edge.LinkConn(p.s.n, p.s.links)
}

// ---- Timers ----

func (p *process) start(t *timer, span time.Duration) {
	t.At = p.now + span
	p.timers.Add(t)
}

func (p *process) stop(t *timer) { p.timers.Remove(t) }

func (p *process) after(span time.Duration, act func()) { p.start(&timer{act: act}, span) }

// ---- Discovery ----

// watch asks for the watch, and leaves the one before.
func (p *process) watch(after int64) {
	p.watching = true
	p.expect(upWithin)
	p.emit(edge.Out{Kind: edge.Watch, After: time.Duration(after)})
}

// expect gives up the watch if nothing is heard of it for so long.
func (p *process) expect(within time.Duration) {
	p.stop(&p.silence)
	p.start(&p.silence, within)
}

func (p *process) lost() {
	if p.watching {
		p.watching = false
		p.stop(&p.silence)
		p.ledger.DiscoveryFailed()
	}
}

// ---- Stopping ----

// drain serves on for as long as there is time to, and sees to it that nothing is left unanswered.
func (p *process) drain() {
	p.draining, p.told = true, true
	killed := killSpare
	for _, c := range p.s.set.Classes {
		killed = max(killed, killSpare+min(c.ClientTimeout, killAfter))
	}
	p.after(max(killed-lastTaken, killed/2), p.close)
	p.after(killed-lastWords, func() {
		p.ledger.CloseSince(p.now - (killed - lastWords - killSpare))
		p.ledger.RejectQueued()
	})
	p.after(killed-lastOfAll, func() { p.ledger.CloseSince(0) })
	p.after(killed, func() { p.over = true })
}

// close takes no query any more, and ends the client links between queries.
func (p *process) close() {
	p.closing = true
	for p.idle.next != &p.idle {
		p.idle.next.cut()
	}
}

// ---- Clients ----

// clientLink is a client's connection: the Asker of the query that is in hand on it.
type clientLink struct {
	p          *process
	conn       edge.Conn
	query      *requests.Request // in hand
	call       string
	prev, next *clientLink // among the idle
}

func (p *process) ask(in *edge.In) {
	k := p.clients[in.Conn]
	switch {
	case k == nil:
		// Queries are fewer than links, so where links run out there is an idle one to make room.
		if len(p.clients) >= p.most && p.idle.next != &p.idle {
			p.idle.next.cut()
		}
		k = &clientLink{p: p, conn: in.Conn}
		p.clients[in.Conn] = k
	case k.prev == nil:
		panic("virtual: connection " + strconv.FormatUint(uint64(in.Conn), 16) + " asks again before its answer")
	default:
		k.unlink()
	}
	a := in.Ask
	k.call = a.Call
	switch {
	case p.closing:
		k.answer(503, 0, "")
		return
	case p.ledger.OpenCount() >= p.queries || p.ledger.PayloadBytes()+a.Body > p.budget:
		k.answer(503, min(fullFor, p.s.set.MaxRetryAfter), "")
		return
	}
	q, err := p.ledger.Admit(p.now, requests.Arrival{
		CallID: a.Call, Responder: k,
		Job: dispatch.Job{
			Class: a.Class, Tenant: a.Tenant, Remaining: a.Budget.Truncate(time.Millisecond),
			Hint: a.Hint.Truncate(time.Microsecond), Slots: max(1, a.Slots), Retry: a.Again,
		},
		Payload: requests.Payload{Method: "POST", IdempotencyKey: a.Key, Body: zeros[:min(a.Body, len(zeros))]},
	})
	if err != nil {
		k.answer(409, 0, "")
		return
	}
	k.query = q
	if len(p.taken) == 0 {
		p.first = q.ID
	}
	p.taken = append(p.taken, a.Call)
}

// zeros is every body: the ledger counts its bytes, and nobody reads it.
var zeros [64 << 10]byte

// RespondResult hands on what a worker node made.
func (k *clientLink) RespondResult(result []byte) { k.answer(200, 0, string(result)) }

// RespondRejected refuses; the client may come back.
func (k *clientLink) RespondRejected(after time.Duration) {
	k.answer(503, after.Round(time.Millisecond), "")
}

// RespondFailed promises nothing.
func (k *clientLink) RespondFailed() { k.answer(500, 0, "") }

func (k *clientLink) answer(status int, after time.Duration, result string) {
	k.p.emit(edge.Out{Kind: edge.Replied, Conn: k.conn, Call: k.call, Status: status, After: after, Result: result})
	k.query = nil
	if k.p.closing {
		k.cut()
		return
	}
	last := k.p.idle.prev
	k.prev, k.next = last, &k.p.idle
	last.next, k.p.idle.prev = k, k
}

func (k *clientLink) unlink() {
	if k.prev != nil {
		k.prev.next, k.next.prev = k.next, k.prev
		k.prev, k.next = nil, nil
	}
}

func (k *clientLink) cut() {
	k.unlink()
	delete(k.p.clients, k.conn)
	k.p.emit(edge.Out{Kind: edge.Cut, Conn: k.conn})
}

func (k *clientLink) left() {
	k.unlink()
	delete(k.p.clients, k.conn)
	if q := k.query; q != nil {
		k.query = nil
		k.p.ledger.ClientDisconnected(q)
	}
}

// ---- What a yardstick may see: process is its Oracle ----

// Node is the world's number of a worker's machine.
func (p *process) Node(worker uint64) (node int, ok bool) {
	node, machine := NodeOf(p.ledger.Endpoint(worker).ID)
	all := p.s.spec.Fleet.Nodes
	return node + machine*all, node >= 0 && node < all && p.s.model.see != nil
}

// View shows the true state of a machine.
func (p *process) View(node int) world.View { return p.s.model.see.View(p.s.n, node) }

// Work tells the true work of a query that came in since the last step.
func (p *process) Work(job uint64) (work, slots float64, ok bool) {
	if p.s.model.see == nil || job < p.first || job-p.first >= uint64(len(p.taken)) {
		return 0, 0, false
	}
	return p.s.model.see.Work(p.taken[job-p.first])
}
