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

// cluster is the planners that there are for a forwarder, with books and modules as they are, and the membership that
// it goes by.
type cluster struct {
	environment     *environment
	planners        []*plannerProcess
	membership      *membership.ForwarderMembership
	lastIncarnation uint64
	seed            uint64
}

// plannerProcess is a planner with its book.
type plannerProcess struct {
	connection
	cluster    *cluster
	planner    *plan.Planner // nil: it is dead
	starts     int           // counts its processes
	sessionID  plan.SessionID
	heldEvents []plan.Event // come while it was frozen
	peers      map[string]bool
}

func newCluster(t *testing.T, seed uint64, planners int) *cluster {
	members := membership.NewForwarderMembership(membership.Member{Name: "f", Incarnation: 1}, membership.Config{})
	c := &cluster{environment: newEnvironment(t, seed, members), membership: members, lastIncarnation: 100, seed: seed}
	for i := range planners {
		p := &plannerProcess{connection: connection{environment: c.environment, name: "p" + strconv.Itoa(i)}, cluster: c, peers: map[string]bool{}}
		p.connection.onMessage = func(e message.Envelope) {
			p.step(plan.Event{Kind: plan.ForwarderMessage, Session: p.sessionID, Envelope: e})
		}
		c.planners = append(c.planners, p)
		c.environment.connections = append(c.environment.connections, &p.connection)
	}
	c.environment.onWorkerChanged = func(h requests.Endpoint) {
		for _, p := range c.planners {
			list := dispatch.WorkerList{Kind: dispatch.ListDelta, Workers: []dispatch.Worker{workerOf(h)}, Revision: c.environment.revision}
			c.environment.after(c.environment.randomDuration(0, 40), func() { p.step(plan.Event{Kind: plan.EndpointsChanged, Endpoints: list}) })
		}
	}
	return c
}

// allowTime leaves the time to serve all.
func (c *cluster) allowTime() {
	c.environment.arrivalInterval, c.environment.minRemaining, c.environment.forwarder.config.MaxWaiting = 30*millisecond, 1500*millisecond, 1000
	for i := range c.environment.settings.Classes {
		x := &c.environment.settings.Classes[i]
		x.LatencyObjective, x.Kinds = time.Second, nil
	}
}

func workerOf(h requests.Endpoint) dispatch.Worker {
	last := func(s string) int { return int(s[len(s)-1] - '0') }
	return dispatch.Worker{ID: workerID(h.ID), Kind: last(h.MachineType), Zone: last(h.Zone), Cell: h.Cell, Ready: h.Lifecycle == "up",
		Removed: h.Lifecycle == "removed", BootAt: time.Duration(h.StartedAtMs) * millisecond}
}

func (c *cluster) begin() {
	for _, p := range c.planners {
		p.start()
	}
	c.environment.begin()
	c.maintain()
}

// stepMembership has membership take in something, and carries out what it wants.
func (c *cluster) stepMembership(events ...membership.Event) {
	for _, a := range c.membership.Step(c.environment.now, events, nil) {
		switch a := a.(type) {
		case membership.SetPlanners:
			c.environment.forwarder.SetPlanners(a.Names)
		case membership.SetForwarderIndex:
			c.environment.forwarder.SetForwarderIndex(a.Index, a.Count)
		}
	}
}

// maintain looks after membership, and closes connections to planners that stop.
func (c *cluster) maintain() {
	c.stepMembership()
	for _, name := range c.environment.forwarder.DrainingPlanners() {
		for _, p := range c.planners {
			if p.name == name {
				p.reconnect()
			}
		}
	}
	c.environment.after(5*millisecond, func() {
		if !c.environment.stopped {
			c.maintain()
		}
	})
}

// announceMembers tells all who is there, and shares the cells out among them.
func (c *cluster) announceMembers() {
	names := []string{}
	for _, p := range c.planners {
		if p.planner != nil {
			names = append(names, p.name)
		}
	}
	if len(names) == 0 {
		return
	}
	owner := func(w *dispatch.Worker) string { return names[w.Cell%len(names)] }
	for _, p := range c.planners {
		if p.planner == nil {
			continue
		}
		for _, o := range c.planners {
			if is := o.planner != nil; o != p && p.peers[o.name] != is {
				kind := plan.PeerDisconnected
				if p.peers[o.name] = is; is {
					kind = plan.PeerConnected
				}
				p.step(plan.Event{Kind: kind, Peer: o.name})
			}
		}
		p.step(plan.Event{Kind: plan.PeersChanged, Names: slices.DeleteFunc(slices.Clone(names), func(n string) bool {
			return n == p.name
		})}, plan.Event{Kind: plan.PartitionChanged, Owner: owner})
	}
}

// start begins a process.
func (p *plannerProcess) start() {
	if p.planner != nil || p.environment.stopped {
		return
	}
	p.cluster.lastIncarnation++
	p.starts++
	p.frozen, p.heldEvents = false, nil
	clear(p.peers)
	p.planner = plan.New(plan.Config{Name: p.name, Incarnation: p.cluster.lastIncarnation, Settings: p.environment.settings, StopTimeout: 300 * millisecond,
		NewPolicy: func() plan.Policy { return dispatch.New(p.environment.settings, p.cluster.seed) }})
	list := dispatch.WorkerList{Kind: dispatch.ListFull, Revision: p.environment.revision}
	for _, h := range p.environment.workers {
		if h.Lifecycle != "removed" {
			list.Workers = append(list.Workers, workerOf(h))
		}
	}
	p.step(plan.Event{Kind: plan.EndpointsChanged, Endpoints: list})
	process := p.cluster.lastIncarnation
	p.environment.after(p.environment.randomDuration(1, 30), func() {
		p.cluster.stepMembership(membership.MemberJoined{Member: membership.Member{Name: p.name, Role: membership.RolePlanner, Incarnation: process}})
		p.cluster.announceMembers()
		p.connect()
	})
}

func (p *plannerProcess) connect() {
	if p.established || p.planner == nil || p.environment.stopped {
		return
	}
	p.sessionID++
	p.connection.connect()
	p.step(plan.Event{Kind: plan.SessionOpened, Session: p.sessionID})
}

// reconnect ends the connection, and soon there is another one.
func (p *plannerProcess) reconnect() {
	if !p.established {
		return
	}
	p.connection.disconnect()
	p.step(plan.Event{Kind: plan.SessionClosed, Session: p.sessionID})
	p.environment.after(p.environment.randomDuration(5, 100), p.connect)
}

// kill ends the process; another one starts.
func (p *plannerProcess) kill() {
	if p.planner == nil {
		return
	}
	p.planner = nil
	p.starts++
	process := p.cluster.lastIncarnation
	p.connection.disconnect()
	p.environment.after(p.environment.randomDuration(20, 400), func() {
		p.cluster.stepMembership(membership.MemberDied{Name: p.name, Incarnation: process})
		p.cluster.announceMembers()
	})
	p.environment.after(p.environment.randomDuration(100, 1500), p.start)
}

func (p *plannerProcess) step(ins ...plan.Event) {
	switch {
	case p.planner == nil:
		return
	case p.frozen:
		p.heldEvents = append(p.heldEvents, ins...)
		return
	}
	for _, o := range p.planner.Step(p.environment.now, ins, nil) {
		p.execute(o)
	}
}

func (p *plannerProcess) execute(o plan.Action) {
	born := p.starts
	switch o.Kind {
	case plan.SendToForwarder:
		if p.established && o.Session == p.sessionID {
			p.connection.send(o.Envelope)
		}
	case plan.SendToPeer:
		for _, q := range p.cluster.planners {
			if q.name == o.Peer {
				p.environment.after(transitTime, func() { q.step(plan.Event{Kind: plan.PeerMessage, Peer: p.name, Envelope: o.Envelope}) })
			}
		}
	case plan.CloseSession:
		if o.Session == p.sessionID {
			conn := p.generation
			p.environment.after(transitTime, func() { // after what was said before
				if p.generation == conn {
					p.connection.disconnect()
					p.environment.after(p.environment.randomDuration(5, 100), p.connect)
				}
			})
		}
	case plan.SetTimer:
		p.environment.after(o.After, func() {
			if p.starts == born {
				p.step(plan.Event{Kind: plan.TimerFired})
			}
		})
	case plan.WatchEndpoints:
		p.environment.after(p.environment.randomDuration(1, 20), func() {
			if p.starts == born {
				p.step(plan.Event{Kind: plan.EndpointsChanged, Endpoints: dispatch.WorkerList{Kind: dispatch.ListDelta, Revision: p.environment.revision}})
			}
		})
	case plan.Stopped:
		p.environment.after(2*transitTime, p.kill)
	}
}

// scheduleFault have planners die, freeze, stop and lose their connections.
func (c *cluster) scheduleFault(every int) {
	c.environment.after(c.environment.randomDuration(every/4, every), func() {
		if c.environment.stopped {
			for _, p := range c.planners {
				p.thaw()
			}
			return
		}
		switch p := c.planners[c.environment.rng.IntN(len(c.planners))]; c.environment.rng.IntN(5) {
		case 0:
			p.kill()
		case 1:
			if p.planner != nil && !p.frozen {
				p.frozen = true
				c.environment.after(c.environment.randomDuration(20, 1200), p.thaw)
			}
		case 2:
			p.step(plan.Event{Kind: plan.StopRequested})
		case 3:
			p.reconnect()
		case 4: // all of them
			for _, p := range c.planners {
				p.kill()
			}
		}
		c.scheduleFault(every)
	})
}

// thaw reads what has come meanwhile. What it had said before it froze has long been heard.
func (p *plannerProcess) thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	held, inbox := p.heldEvents, p.inbox
	p.heldEvents, p.inbox = nil, nil
	p.step(held...)
	for _, m := range inbox {
		p.onMessage(m)
	}
}

// With planners as they are, nothing fails while nothing happens: all is served, and no order is refused.
func TestRealPlanners(t *testing.T) {
	for seed := range uint64(6) {
		c := newCluster(t, seed, 1+int(seed)%3)
		c.environment.faultless = true
		c.allowTime()
		c.begin()
		c.environment.run(3 * time.Second)
		if len(c.environment.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, c.environment.violations[0])
		}
		if n := c.environment.stats["refused"] + c.environment.stats["failed"]; n > 0 || c.environment.stats["served"] < 50 {
			t.Errorf("seed %d: %d served, %d not", seed, c.environment.stats["served"], n)
		}
		for why := range message.ReasonCount {
			if n := c.environment.forwarder.validator.RejectedCount(why); n > 0 {
				t.Errorf("seed %d: %d orders refused as %q", seed, n, why)
			}
		}
	}
}

// And whatever happens to them, the rules hold, and most is served still.
func TestRealPlannersWithFaults(t *testing.T) {
	stats, ample := map[string]int{}, map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+*runs/2; seed++ {
		stats := stats
		if seed%2 == 0 {
			stats = ample
		}
		c := newCluster(t, seed, 1+int(seed)%3)
		if c.environment.faultless = seed%2 == 0; c.environment.faultless {
			c.allowTime()
		}
		c.scheduleFault([]int{300, 1000}[seed%2])
		c.begin()
		c.environment.run(4 * time.Second)
		if len(c.environment.violations) > 0 {
			t.Fatalf("seed %d: %d faults, the first: %s", seed, len(c.environment.violations), c.environment.violations[0])
		}
		for what, n := range c.environment.stats {
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
