package forwarder

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/membership"
	"valvecove/internal/control/message"
	plan "valvecove/internal/control/planner"
	"valvecove/internal/requests"
)

// company is the planners that there are for a forwarder, with books and modules as they are, and the membership that
// it goes by.
type company struct {
	w       *world
	all     []*booked
	members *membership.ForwarderMembership
	process uint64
	seed    uint64
}

// booked is a planner with its book.
type booked struct {
	seat
	c       *company
	book    *plan.Planner // nil: it is dead
	born    int           // counts its processes
	session plan.SessionID
	held    []plan.Event // come while it was frozen
	peers   map[string]bool
}

func newCompany(t *testing.T, seed uint64, planners int) *company {
	members := membership.NewForwarderMembership(membership.Member{Name: "f", Incarnation: 1}, membership.Config{})
	c := &company{w: newWorld(t, seed, members), members: members, process: 100, seed: seed}
	for i := range planners {
		p := &booked{seat: seat{w: c.w, name: "p" + strconv.Itoa(i)}, c: c, peers: map[string]bool{}}
		p.seat.read = func(e message.Envelope) {
			p.step(plan.ForwarderMessage{Session: p.session, Envelope: e})
		}
		c.all = append(c.all, p)
		c.w.plans = append(c.w.plans, &p.seat)
	}
	c.w.changed = func(h requests.Endpoint) {
		for _, p := range c.all {
			list := dispatch.WorkerList{Kind: dispatch.ListDelta, Workers: []dispatch.Worker{workerOf(h)}, Revision: c.w.gen}
			c.w.after(c.w.ms(0, 40), func() { p.step(plan.EndpointsChanged{Endpoints: list}) })
		}
	}
	return c
}

// ample leaves the time to serve all.
func (c *company) ample() {
	c.w.every, c.w.leastLeft, c.w.f.config.MaxWaiting = 30*ms, 1500*ms, 1000
	for i := range c.w.set.Classes {
		x := &c.w.set.Classes[i]
		x.LatencyObjective, x.Kinds = time.Second, nil
	}
}

func workerOf(h requests.Endpoint) dispatch.Worker {
	last := func(s string) int { return int(s[len(s)-1] - '0') }
	return dispatch.Worker{ID: number(h.ID), Kind: last(h.MachineType), Zone: last(h.Zone), Cell: h.Cell, Ready: h.Lifecycle == "up",
		Removed: h.Lifecycle == "removed", BootAt: time.Duration(h.StartedAtMs) * ms}
}

func (c *company) open() {
	for _, p := range c.all {
		p.start()
	}
	c.w.open()
	c.turn()
}

// tell has membership take in something, and carries out what it wants.
func (c *company) tell(events ...membership.Event) {
	for _, a := range c.members.Step(c.w.now, events, nil) {
		switch a := a.(type) {
		case membership.SetPlanners:
			c.w.f.SetPlanners(c.w.now, a.Names)
		case membership.SetForwarderIndex:
			c.w.f.SetSchedulers(a.Index, a.Count)
		}
	}
}

// turn looks after membership, and closes connections to planners that stop.
func (c *company) turn() {
	c.tell()
	for _, name := range c.w.f.DrainingPlanners() {
		for _, p := range c.all {
			if p.name == name {
				p.cut()
			}
		}
	}
	c.w.after(5*ms, func() {
		if !c.w.over {
			c.turn()
		}
	})
}

// alive tells all who is there, and shares the cells out among them.
func (c *company) alive() {
	names := []string{}
	for _, p := range c.all {
		if p.book != nil {
			names = append(names, p.name)
		}
	}
	if len(names) == 0 {
		return
	}
	owner := func(w *dispatch.Worker) string { return names[w.Cell%len(names)] }
	for _, p := range c.all {
		if p.book == nil {
			continue
		}
		for _, o := range c.all {
			if is := o.book != nil; o != p && p.peers[o.name] != is {
				event := plan.Event(plan.PeerDisconnected{Peer: o.name})
				if p.peers[o.name] = is; is {
					event = plan.PeerConnected{Peer: o.name}
				}
				p.step(event)
			}
		}
		p.step(plan.PeersChanged{Names: slices.DeleteFunc(slices.Clone(names), func(n string) bool {
			return n == p.name
		})}, plan.PartitionChanged{Owner: owner})
	}
}

// start begins a process.
func (p *booked) start() {
	if p.book != nil || p.w.over {
		return
	}
	p.c.process++
	p.born++
	p.frozen, p.held = false, nil
	clear(p.peers)
	p.book = plan.New(plan.Config{Name: p.name, Incarnation: p.c.process, Settings: p.w.set, StopTimeout: 300 * ms,
		NewPolicy: func() plan.Policy { return dispatch.New(p.w.set, p.c.seed) }})
	list := dispatch.WorkerList{Kind: dispatch.ListFull, Revision: p.w.gen}
	for _, h := range p.w.nodes {
		if h.Lifecycle != "removed" {
			list.Workers = append(list.Workers, workerOf(h))
		}
	}
	p.step(plan.EndpointsChanged{Endpoints: list})
	process := p.c.process
	p.w.after(p.w.ms(1, 30), func() {
		p.c.tell(membership.MemberJoined{Member: membership.Member{Name: p.name, Role: membership.RolePlanner, Incarnation: process}})
		p.c.alive()
		p.connect()
	})
}

func (p *booked) connect() {
	if p.up || p.book == nil || p.w.over {
		return
	}
	p.session++
	p.seat.connect()
	p.step(plan.SessionOpened{Session: p.session})
}

// cut ends the connection, and soon there is another one.
func (p *booked) cut() {
	if !p.up {
		return
	}
	p.seat.down()
	p.step(plan.SessionClosed{Session: p.session})
	p.w.after(p.w.ms(5, 100), p.connect)
}

// kill ends the process; another one starts.
func (p *booked) kill() {
	if p.book == nil {
		return
	}
	p.book = nil
	p.born++
	process := p.c.process
	p.seat.down()
	p.w.after(p.w.ms(20, 400), func() {
		p.c.tell(membership.MemberDied{Name: p.name, Incarnation: process})
		p.c.alive()
	})
	p.w.after(p.w.ms(100, 1500), p.start)
}

func (p *booked) step(ins ...plan.Event) {
	switch {
	case p.book == nil:
		return
	case p.frozen:
		p.held = append(p.held, ins...)
		return
	}
	for _, o := range p.book.Step(p.w.now, ins, nil) {
		p.does(o)
	}
}

func (p *booked) does(o plan.Action) {
	born := p.born
	switch o := o.(type) {
	case plan.SendToForwarder:
		if p.up && o.Session == p.session {
			p.seat.send(o.Envelope)
		}
	case plan.SendToPeer:
		for _, q := range p.c.all {
			if q.name == o.Peer {
				p.w.after(way, func() { q.step(plan.PeerMessage{Peer: p.name, Envelope: o.Envelope}) })
			}
		}
	case plan.CloseSession:
		if o.Session == p.session {
			conn := p.conn
			p.w.after(way, func() { // after what was said before
				if p.conn == conn {
					p.seat.down()
					p.w.after(p.w.ms(5, 100), p.connect)
				}
			})
		}
	case plan.SetTimer:
		p.w.after(o.After, func() {
			if p.born == born {
				p.step(plan.TimerFired{})
			}
		})
	case plan.WatchEndpoints:
		p.w.after(p.w.ms(1, 20), func() {
			if p.born == born {
				p.step(plan.EndpointsChanged{Endpoints: dispatch.WorkerList{Kind: dispatch.ListDelta, Revision: p.w.gen}})
			}
		})
	case plan.Stopped:
		p.w.after(2*way, p.kill)
	}
}

// faults have planners die, freeze, stop and lose their connections.
func (c *company) faults(every int) {
	c.w.after(c.w.ms(every/4, every), func() {
		if c.w.over {
			for _, p := range c.all {
				p.thaw()
			}
			return
		}
		switch p := c.all[c.w.rng.IntN(len(c.all))]; c.w.rng.IntN(5) {
		case 0:
			p.kill()
		case 1:
			if p.book != nil && !p.frozen {
				p.frozen = true
				c.w.after(c.w.ms(20, 1200), p.thaw)
			}
		case 2:
			p.step(plan.StopRequested{})
		case 3:
			p.cut()
		case 4: // all of them
			for _, p := range c.all {
				p.kill()
			}
		}
		c.faults(every)
	})
}

// thaw reads what has come meanwhile. What it had said before it froze has long been heard.
func (p *booked) thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	held, inbox := p.held, p.inbox
	p.held, p.inbox = nil, nil
	p.step(held...)
	for _, m := range inbox {
		p.read(m)
	}
}

// With planners as they are, nothing fails while nothing happens: all is served, and no order is refused.
func TestJoined(t *testing.T) {
	for seed := range uint64(6) {
		c := newCompany(t, seed, 1+int(seed)%3)
		c.w.calm = true
		c.ample()
		c.open()
		c.w.play(3 * time.Second)
		if len(c.w.faults) > 0 {
			t.Fatalf("seed %d: %s", seed, c.w.faults[0])
		}
		if n := c.w.stats["refused"] + c.w.stats["failed"]; n > 0 || c.w.stats["served"] < 50 {
			t.Errorf("seed %d: %d served, %d not", seed, c.w.stats["served"], n)
		}
		for why := range message.ReasonCount {
			if n := c.w.f.validator.RejectedCount(why); n > 0 {
				t.Errorf("seed %d: %d orders refused as %q", seed, n, why)
			}
		}
	}
}

// And whatever happens to them, the rules hold, and most is served still.
func TestJoinedFaults(t *testing.T) {
	stats, ample := map[string]int{}, map[string]int{}
	for seed := *from; seed < *from+*plays/2; seed++ {
		stats := stats
		if seed%2 == 0 {
			stats = ample
		}
		c := newCompany(t, seed, 1+int(seed)%3)
		if c.w.calm = seed%2 == 0; c.w.calm {
			c.ample()
		}
		c.faults([]int{300, 1000}[seed%2])
		c.open()
		c.w.play(4 * time.Second)
		if len(c.w.faults) > 0 {
			t.Fatalf("seed %d: %d faults, the first: %s", seed, len(c.w.faults), c.w.faults[0])
		}
		for what, n := range c.w.stats {
			stats[what] += n
		}
	}
	if lost := ample["refused"] + ample["failed"]; lost*100 > ample["served"] {
		t.Errorf("%d lost, though there was time, and %d served", lost, ample["served"])
	}
	for _, what := range slices.Sorted(maps.Keys(stats)) {
		t.Logf("%s %d, with ample time %d", what, stats[what], ample[what])
	}
}
