package simulation

import (
	"log/slog"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/codec"
	"valvecove/internal/control/membership"
	"valvecove/internal/control/planner"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
)

// This file holds one process of a planner: its event loop, and its watch of the endpoint list, which a request table without
// requests reads.

// plannerProcess is one process of a planner. Its clock is Unix time.
type plannerProcess struct {
	node          *plannerNode
	now           time.Duration
	planner       *planner.Planner
	members       *membership.PlannerMembership
	listTable     *requests.Table // holds no requests: it only reads the endpoint list
	listUpdates   []dispatch.WorkerList
	watchWanted   bool // the planner wants to watch the endpoint list
	timer         time.Duration
	discovery     int
	watching      bool
	watchDeadline time.Duration // when the watch counts as lost; 0: never
	sessions      map[planner.SessionID]*plannerPeerConn
	conns         []*plannerPeerConn // the sessions in order of registration; a map's order is random
	wantedPeers   []string           // peers to be connected to
	redialAt      []time.Duration
	backoff       []time.Duration
	inputs        []planner.Event
	outputs       []planner.Action
	events        []membership.Event
	actions       []membership.Action
	exited        bool
}

func newPlannerProcess(node *plannerNode, start *simapi.Start) *plannerProcess {
	proc := &plannerProcess{
		node: node, now: node.epoch + node.now, discovery: start.Discovery, sessions: map[planner.SessionID]*plannerPeerConn{},
		redialAt: make([]time.Duration, node.spec.Planners.Count), backoff: make([]time.Duration, node.spec.Planners.Count),
	}
	member := membership.Member{Name: node.name, Role: membership.RolePlanner, Incarnation: uint64(proc.now), Addr: node.name}
	proc.members = membership.NewPlannerMembership(member, membership.Config{})
	proc.listTable = requests.New(1, node.settings.Names, func() requests.Policy { return proc }, start.KnownEndpoints, proc, slog.New(slog.DiscardHandler))
	seed := start.Seed
	proc.planner = planner.New(planner.Config{
		Name: node.name, Incarnation: uint64(proc.now), Version: codec.Version,
		Settings: node.settings.Settings, NewPolicy: func() planner.Policy {
			seed++
			var policy planner.Policy = dispatch.New(node.settings.Settings, seed)
			if node.options.WrapPlanner != nil {
				policy = node.options.WrapPlanner(node.number-node.spec.Schedulers.Count, policy)
			}
			return policy
		},
	})
	node.network.gossip.join(node.number, member)
	proc.timer = proc.now
	return proc
}

// runIteration processes pending inputs and due timers, steps the planner, and writes its messages.
func (p *plannerProcess) runIteration() (exited bool) {
	p.now = p.node.epoch + p.node.now
	p.takePending()
	if p.watchDeadline > 0 && p.watchDeadline <= p.now {
		p.watchLost()
	}
	p.applyLists()
	if at := p.members.Next(); len(p.events) > 0 || at > 0 && at+p.node.delay <= p.now {
		p.updateMembers()
	}
	p.redialDue()
	p.queueListUpdates()
	p.stepPlanner()
	p.flushWriters()
	p.applyLists()
	return p.exited
}

// takePending processes pending inputs. If several are pending, as after a freeze, it processes a random number of them, so
// that the planner decides before the rest is read.
func (p *plannerProcess) takePending() {
	node := p.node
	taken, limit := 0, len(node.pending)
	if limit > 1 {
		limit = 1 + node.network.rngs[node.number].IntN(maxMessagesPerIteration)
	}
	for ; taken < min(limit, len(node.pending)) && node.pending[taken].takenAt <= node.now; taken++ {
		p.handleInput(&node.pending[taken])
	}
	remaining := copy(node.pending, node.pending[taken:])
	clear(node.pending[remaining:])
	node.pending = node.pending[:remaining]
}

// redialDue connects to the peers whose redial time has come.
func (p *plannerProcess) redialDue() {
	for i := range p.redialAt {
		if p.redialAt[i] > 0 && p.redialAt[i] <= p.now {
			p.redialAt[i] = 0
			p.connect(i)
		}
	}
}

// queueListUpdates passes new endpoint lists to the planner.
func (p *plannerProcess) queueListUpdates() {
	for i := range p.listUpdates {
		p.inputs = append(p.inputs, planner.EndpointsChanged{Endpoints: p.listUpdates[i]})
	}
	clear(p.listUpdates)
	p.listUpdates = p.listUpdates[:0]
}

// stepPlanner steps the planner if it has inputs or its timer is due, and carries out its actions.
func (p *plannerProcess) stepPlanner() {
	timerDue := p.timer > 0 && p.timer+p.node.delay <= p.now
	if !timerDue && len(p.inputs) == 0 {
		return
	}
	if timerDue {
		p.timer = 0
	}
	outputs := p.planner.Step(p.now, p.inputs, p.outputs[:0])
	if alter := p.node.options.AlterPlanner; alter != nil {
		outputs = alter(p.node.number-p.node.spec.Schedulers.Count, outputs)
	}
	clear(p.inputs)
	p.inputs = p.inputs[:0]
	for i := range outputs {
		p.carryOut(outputs[i])
	}
	clear(outputs)
	p.outputs = outputs[:0]
}

// nextAt returns the time of the next iteration, not counting pending inputs.
func (p *plannerProcess) nextAt() time.Duration {
	next := never
	consider := func(t time.Duration) {
		if t > 0 {
			next = min(next, t)
		}
	}
	if p.timer > 0 {
		consider(p.timer + p.node.delay)
	}
	if t := p.members.Next(); t > 0 {
		consider(t + p.node.delay)
	}
	consider(p.watchDeadline)
	for _, t := range p.redialAt {
		consider(t)
	}
	if len(p.listUpdates)+len(p.inputs)+len(p.events) > 0 {
		consider(p.now)
	}
	return next
}

func (p *plannerProcess) handleInput(n *plannerInput) {
	if n.input != nil {
		p.handleEnvironment(n.input)
		return
	}
	switch n.kind {
	case memberEvent:
		p.events = append(p.events, n.event)
	case streamAccepted:
		p.accept(n.stream)
	case streamConnected:
		if conn := p.session(n.stream); conn != nil {
			conn.connected = true
			p.backoff[conn.nodeIndex-p.node.spec.Schedulers.Count] = 0
			p.connUp(conn)
		}
	case streamRefused, streamLost:
		if conn := p.session(n.stream); conn != nil {
			p.unregister(conn, n.timedOut)
		}
	case streamData:
		if conn := p.session(n.stream); conn != nil && conn.connected {
			p.dataReceived(conn, n.bytes)
		}
	}
}

// handleEnvironment processes an input of the environment.
func (p *plannerProcess) handleEnvironment(input simapi.InputMessage) {
	switch message := input.(type) {
	case simapi.ListReceived:
		if p.watching {
			p.watchDeadline = p.now + nextLineTimeout
			p.listTable.UpdateEndpoints(*message.List)
		}
	case simapi.WatchHeartbeat:
		if p.watching {
			p.watchDeadline = p.now + nextLineTimeout
		}
	case simapi.WatchConnected:
		if p.watching {
			p.watchDeadline = p.now + firstLineTimeout
		}
	case simapi.WatchEnded:
		p.watchLost()
	case simapi.Reload:
		if message.Discovery != p.discovery {
			p.discovery = message.Discovery
			p.listTable.ResetRevision()
			p.inputs = append(p.inputs, planner.EndpointSourceChanged{})
			p.Watch(0)
		}
	case simapi.Terminate:
		p.inputs = append(p.inputs, planner.StopRequested{})
		p.node.network.gossip.leave(p.node.number)
	}
}

// Step implements the policy of the request table, which only collects the endpoint lists.
func (p *plannerProcess) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, e := range events {
		if l, ok := e.(dispatch.WorkerList); ok {
			p.listUpdates = append(p.listUpdates, l)
			p.events = append(p.events, membership.EndpointsChanged{List: l})
		}
	}
	if p.watchWanted {
		p.watchWanted = false
		dst = append(dst, dispatch.Subscribe{})
	}
	return dst
}

func (p *plannerProcess) applyLists() {
	if at, ok := p.listTable.NextStep(); ok && at <= p.now {
		p.listTable.Step(p.now)
	}
}

func (p *plannerProcess) watchLost() {
	if p.watching {
		p.watching, p.watchDeadline = false, 0
		p.listTable.DiscoveryFailed()
	}
}

// Watch subscribes to the changes of the endpoint list after a revision; 0: beginning with a snapshot.
func (p *plannerProcess) Watch(after int64) {
	p.watching, p.watchDeadline = true, p.now+readyCheckTimeout
	p.node.emit(simapi.WatchRequested{Revision: after})
}

// Start and the methods below implement the table's connections. They do nothing, as the table has no requests.
func (p *plannerProcess) Start(*requests.Attempt)     {}
func (p *plannerProcess) Abandon(*requests.Attempt)   {}
func (p *plannerProcess) Cancel(*requests.Attempt)    {}
func (p *plannerProcess) CheckHealth(uint64)          {}
func (p *plannerProcess) CloseIdleConnections(uint64) {}
