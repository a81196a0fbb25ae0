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
	"valvecove/internal/control/planner"
	"valvecove/internal/requests"
)

// cluster is a forwarder with real planners and the membership from which it selects one.
type cluster struct {
	*environment
	planners        []*plannerProcess
	membership      *membership.ForwarderMembership
	lastIncarnation uint64
	seed            uint64
}

// plannerProcess is a planner that may die and restart.
type plannerProcess struct {
	connection
	cluster    *cluster
	planner    *planner.Planner // nil while the process is dead
	changes    int              // counts starts and deaths of the process
	sessionID  planner.SessionID
	heldEvents []planner.Event // events received while frozen
	peers      map[string]bool // by name: whether the planner is connected to that peer
}

func newCluster(t *testing.T, seed uint64, planners int) *cluster {
	t.Helper()
	self := membership.Member{Name: "f", Incarnation: 1}
	members := membership.NewForwarderMembership(self, membership.Config{})
	c := &cluster{
		environment:     newEnvironment(t, seed, members),
		membership:      members,
		lastIncarnation: 100,
		seed:            seed,
	}
	for i := range planners {
		c.addPlanner("p" + strconv.Itoa(i))
	}
	c.onWorkerChanged = c.notifyPlanners
	return c
}

func (c *cluster) addPlanner(name string) {
	process := &plannerProcess{
		connection: connection{env: c.environment, name: name},
		cluster:    c,
		peers:      map[string]bool{},
	}
	process.onMessage = func(envelope message.Envelope) {
		process.step(planner.ForwarderMessage{Session: process.sessionID, Envelope: envelope})
	}
	c.planners = append(c.planners, process)
	c.connections = append(c.connections, &process.connection)
}

// notifyPlanners notifies planners of a change of a worker, each after a random delay.
func (c *cluster) notifyPlanners(endpoint requests.Endpoint) {
	for _, process := range c.planners {
		list := dispatch.WorkerList{
			Kind:     dispatch.ListDelta,
			Workers:  []dispatch.Worker{workerOf(endpoint)},
			Revision: c.revision,
		}
		c.after(c.randomDuration(0, 40), func() {
			process.step(planner.EndpointsChanged{Endpoints: list})
		})
	}
}

// setAmpleDeadlines sets deadlines and limits that leave enough time to serve all requests.
func (c *cluster) setAmpleDeadlines() {
	c.arrivalInterval = 30 * millisecond
	c.minRemaining = 1500 * millisecond
	c.forwarder.placer.maxWaiting = 1000
	for i := range c.settings.Classes {
		class := &c.settings.Classes[i]
		class.LatencyObjective = time.Second
		class.Kinds = nil
	}
}

// workerOf converts an endpoint to a worker of a planner's policy. Names of zones and machine types end in their index.
func workerOf(endpoint requests.Endpoint) dispatch.Worker {
	index := func(name string) int { return int(name[len(name)-1] - '0') }
	return dispatch.Worker{
		ID:      workerID(endpoint.ID),
		Kind:    index(endpoint.MachineType),
		Zone:    index(endpoint.Zone),
		Cell:    endpoint.Cell,
		Ready:   endpoint.Lifecycle == "up",
		Removed: endpoint.Lifecycle == "removed",
		BootAt:  time.Duration(endpoint.StartedAtMs) * millisecond,
	}
}

// begin starts the forwarder and all planners.
func (c *cluster) begin() {
	for _, process := range c.planners {
		process.start()
	}
	c.environment.begin()
	c.maintain()
}

// stepMembership steps the forwarder's membership, and executes its actions.
func (c *cluster) stepMembership(events ...membership.Event) {
	for _, action := range c.membership.Step(c.now, events, nil) {
		switch action := action.(type) {
		case membership.SetPlanners:
			c.forwarder.SetPlanners(action.Names)
		case membership.SetForwarderIndex:
			c.forwarder.SetForwarderIndex(action.Index, action.Count)
		}
	}
}

// maintain steps the membership periodically, and reconnects planners that the forwarder reports as draining.
func (c *cluster) maintain() {
	c.stepMembership()
	for _, name := range c.forwarder.DrainingPlanners() {
		for _, process := range c.planners {
			if process.name == name {
				process.reconnect()
			}
		}
	}
	c.after(5*millisecond, func() {
		if !c.stopped {
			c.maintain()
		}
	})
}

// announceMembers notifies all live planners of each other, and divides the cells among them.
func (c *cluster) announceMembers() {
	alive := []string{}
	for _, process := range c.planners {
		if process.planner != nil {
			alive = append(alive, process.name)
		}
	}
	if len(alive) == 0 {
		return
	}
	for _, process := range c.planners {
		if process.planner != nil {
			process.updatePeers(alive)
		}
	}
}

// updatePeers notifies a planner of the planners that are alive.
func (p *plannerProcess) updatePeers(alive []string) {
	for _, other := range p.cluster.planners {
		isAlive := other.planner != nil
		if other == p || p.peers[other.name] == isAlive {
			continue
		}
		p.peers[other.name] = isAlive
		var event planner.Event = planner.PeerDisconnected{Peer: other.name}
		if isAlive {
			event = planner.PeerConnected{Peer: other.name}
		}
		p.step(event)
	}
	peers := slices.DeleteFunc(slices.Clone(alive), func(name string) bool { return name == p.name })
	owner := func(worker *dispatch.Worker) string { return alive[worker.Cell%len(alive)] }
	p.step(planner.PeersChanged{Names: peers}, planner.PartitionChanged{Owner: owner})
}

// start starts the planner process, which joins the membership and connects after a short delay.
func (p *plannerProcess) start() {
	if p.planner != nil || p.env.stopped {
		return
	}
	p.cluster.lastIncarnation++
	incarnation := p.cluster.lastIncarnation
	p.changes++
	p.frozen = false
	p.heldEvents = nil
	clear(p.peers)
	p.planner = planner.New(planner.Config{
		Name:        p.name,
		Incarnation: incarnation,
		Settings:    p.env.settings,
		StopTimeout: 300 * millisecond,
		NewPolicy:   func() planner.Policy { return dispatch.New(p.env.settings, p.cluster.seed) },
	})
	list := dispatch.WorkerList{Kind: dispatch.ListFull, Revision: p.env.revision}
	for _, endpoint := range p.env.workers {
		if endpoint.Lifecycle != "removed" {
			list.Workers = append(list.Workers, workerOf(endpoint))
		}
	}
	p.step(planner.EndpointsChanged{Endpoints: list})
	p.env.after(p.env.randomDuration(1, 30), func() {
		member := membership.Member{Name: p.name, Role: membership.RolePlanner, Incarnation: incarnation}
		p.cluster.stepMembership(membership.MemberJoined{Member: member})
		p.cluster.announceMembers()
		p.connect()
	})
}

func (p *plannerProcess) connect() {
	if p.established || p.planner == nil || p.env.stopped {
		return
	}
	p.sessionID++
	p.connection.connect()
	p.step(planner.SessionOpened{Session: p.sessionID})
}

// reconnect closes the connection and opens another one later.
func (p *plannerProcess) reconnect() {
	if !p.established {
		return
	}
	p.disconnect()
	p.step(planner.SessionClosed{Session: p.sessionID})
	p.env.after(p.env.randomDuration(5, 100), p.connect)
}

// kill ends the process and starts another one later.
func (p *plannerProcess) kill() {
	if p.planner == nil {
		return
	}
	p.planner = nil
	p.changes++
	incarnation := p.cluster.lastIncarnation
	p.disconnect()
	p.env.after(p.env.randomDuration(20, 400), func() {
		p.cluster.stepMembership(membership.MemberDied{Name: p.name, Incarnation: incarnation})
		p.cluster.announceMembers()
	})
	p.env.after(p.env.randomDuration(100, 1500), p.start)
}

func (p *plannerProcess) step(events ...planner.Event) {
	switch {
	case p.planner == nil:
	case p.frozen:
		p.heldEvents = append(p.heldEvents, events...)
	default:
		for _, action := range p.planner.Step(p.env.now, events, nil) {
			p.execute(action)
		}
	}
}

// execute executes an action of the planner.
func (p *plannerProcess) execute(action planner.Action) {
	switch action := action.(type) {
	case planner.SendToForwarder:
		if p.established && action.Session == p.sessionID {
			p.send(action.Envelope)
		}
	case planner.SendToPeer:
		p.sendToPeer(action)
	case planner.CloseSession:
		if action.Session == p.sessionID {
			p.closeSession()
		}
	case planner.SetTimer:
		p.laterInProcess(action.After, planner.TimerFired{})
	case planner.WatchEndpoints:
		delay := p.env.randomDuration(1, 20)
		p.env.after(delay, p.inProcess(func() {
			list := dispatch.WorkerList{Kind: dispatch.ListDelta, Revision: p.env.revision}
			p.step(planner.EndpointsChanged{Endpoints: list})
		}))
	case planner.Stopped:
		p.env.after(2*networkDelay, p.kill)
	}
}

// inProcess returns a function that calls act only if the process has neither died nor restarted since.
func (p *plannerProcess) inProcess(act func()) func() {
	changes := p.changes
	return func() {
		if p.changes == changes {
			act()
		}
	}
}

func (p *plannerProcess) laterInProcess(delay time.Duration, event planner.Event) {
	p.env.after(delay, p.inProcess(func() { p.step(event) }))
}

func (p *plannerProcess) sendToPeer(action planner.SendToPeer) {
	received := planner.PeerMessage{Peer: p.name, Envelope: action.Envelope}
	for _, peer := range p.cluster.planners {
		if peer.name == action.Peer {
			p.env.after(networkDelay, func() { peer.step(received) })
		}
	}
}

// closeSession closes the connection once the messages sent before have arrived.
func (p *plannerProcess) closeSession() {
	generation := p.generation
	p.env.after(networkDelay, func() {
		if p.generation == generation {
			p.disconnect()
			p.env.after(p.env.randomDuration(5, 100), p.connect)
		}
	})
}

// scheduleFault schedules a fault of a random planner, which in turn schedules the next fault.
func (c *cluster) scheduleFault(interval int) {
	c.after(c.randomDuration(interval/4, interval), func() {
		if c.stopped {
			for _, process := range c.planners {
				process.thaw()
			}
			return
		}
		process := c.planners[c.rng.IntN(len(c.planners))]
		process.injectFault()
		c.scheduleFault(interval)
	})
}

// injectFault kills, freezes, shuts down or disconnects the planner, or kills all planners.
func (p *plannerProcess) injectFault() {
	switch p.env.rng.IntN(5) {
	case 0:
		p.kill()
	case 1:
		if p.planner != nil && !p.frozen {
			p.frozen = true
			p.env.after(p.env.randomDuration(20, 1200), p.thaw)
		}
	case 2:
		p.step(planner.StopRequested{})
	case 3:
		p.reconnect()
	case 4:
		for _, other := range p.cluster.planners {
			other.kill()
		}
	}
}

// thaw ends a freeze and processes what the planner received meanwhile.
func (p *plannerProcess) thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	events, inbox := p.heldEvents, p.inbox
	p.heldEvents, p.inbox = nil, nil
	p.step(events...)
	for _, envelope := range inbox {
		p.onMessage(envelope)
	}
}

// With real planners and no faults, all requests are served and no command is rejected.
func TestRealPlanners(t *testing.T) {
	for seed := range uint64(6) {
		c := newCluster(t, seed, 1+int(seed)%3)
		c.faultless = true
		c.setAmpleDeadlines()
		c.begin()
		c.run(3 * time.Second)
		if len(c.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, c.violations[0])
		}
		served, lost := c.stats[responseServed], c.stats[responseRejected]+c.stats[responseFailed]
		if lost > 0 || served < 50 {
			t.Errorf("seed %d: %d requests served, want at least 50; %d lost, want none", seed, served, lost)
		}
		for reason := range message.ReasonCount {
			if count := c.forwarder.validator.RejectedCount(reason); count > 0 {
				t.Errorf("seed %d: %d commands rejected as %q", seed, count, reason)
			}
		}
	}
}

// minFaultRuns is the minimum number of random runs in TestRealPlannersWithFaults. With fewer runs, the fraction of lost requests
// depends on the choice of seeds.
const minFaultRuns = 600

// With real planners and faults, no rule is broken, and at most 1 request is lost per 100 served if deadlines are ample.
func TestRealPlannersWithFaults(t *testing.T) {
	tight, ample := map[string]int{}, map[string]int{}
	losses := lossSummary{}
	for seed := *firstSeed; seed < *firstSeed+max(*runs/2, minFaultRuns); seed++ {
		c := newCluster(t, seed, 1+int(seed)%3)
		stats, faultInterval := tight, 1000
		if seed%2 == 0 {
			c.faultless = true
			c.setAmpleDeadlines()
			stats, faultInterval = ample, 300
			c.traceLosses(losses)
		}
		c.scheduleFault(faultInterval)
		c.begin()
		c.run(4 * time.Second)
		if len(c.violations) > 0 {
			t.Fatalf("seed %d: %d violations, the first: %s", seed, len(c.violations), c.violations[0])
		}
		for name, count := range c.stats {
			stats[name] += count
		}
	}
	if lost := ample[responseRejected] + ample[responseFailed]; lost*100 > ample[responseServed] {
		t.Errorf("%d requests lost and %d served with ample deadlines; lost requests by the place where they spent the most time, with the mean time there:\n%s",
			lost, ample[responseServed], losses)
	}
	for _, name := range slices.Sorted(maps.Keys(tight)) {
		t.Logf("%s %d, with ample deadlines %d", name, tight[name], ample[name])
	}
}
