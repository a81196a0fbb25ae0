package simulation

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/control/codec"
	"valvecove/internal/control/membership"
	"valvecove/internal/control/message"
	"valvecove/internal/control/planner"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/platform"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

func plannerName(n int) string { return "p" + strconv.Itoa(n+1) }

// maxMessagesPerIteration bounds the inputs that a planner processes in one iteration.
const maxMessagesPerIteration = 16

// plannerNode is one planner over all of its processes. To the environment it is a simapi.Scheduler that no client and no
// worker connects to.
type plannerNode struct {
	number      int // as the environment counts it
	name        string
	spec        *scenario.Scenario
	settings    config.Settings
	epoch       time.Duration
	model       Model
	options     *Options
	levels      *levelNetwork
	now         time.Duration
	incarnation int
	process     *plannerProcess // nil: none runs
	frozen      bool
	delay       time.Duration // added to the time of everything that it does
	pending     []plannerInput
	lastTakenAt time.Duration // of the last pending input
	outputs     []simapi.Output
	counts      *LevelCounts
}

// plannerInput is an input of the environment, or a message of the network.
type plannerInput struct {
	levelMessage
	input           simapi.Input
	fromEnvironment bool // input is set, not levelMessage
}

func newPlannerNode(spec *scenario.Scenario, n int, opt *Options, t *levelNetwork, f *LevelCounts) (*plannerNode, error) {
	set, err := platform.Settings(spec, 0)
	set.Replicas, set.ReplicaIndex, set.Zone = 1, 0, spec.ZoneOf(n)
	return &plannerNode{
		number: n, name: plannerName(n - spec.Schedulers.Count), spec: spec, settings: set, epoch: StartTime,
		model: opt.Model, options: opt, levels: t, counts: f,
	}, err
}

func (s *plannerNode) status() (incarnation int, runs, frozen bool) {
	return s.incarnation, s.process != nil, s.frozen
}

func (s *plannerNode) deliver(n levelMessage) {
	if s.process != nil {
		s.enqueue(plannerInput{levelMessage: n}, s.levels.now)
	}
}

func (s *plannerNode) enqueue(n plannerInput, now time.Duration) {
	s.lastTakenAt = max(s.lastTakenAt, now+s.delay)
	n.takenAt = s.lastTakenAt
	s.pending = append(s.pending, n)
}

// Step runs one iteration of the process at the time now, since the start of the run. It appends the outputs to dst.
func (s *plannerNode) Step(now time.Duration, ins []simapi.Input, dst []simapi.Output) []simapi.Output {
	s.now, s.outputs = max(now, s.now), dst
	for i := range ins {
		s.handleInput(&ins[i])
	}
	if s.process != nil && !s.frozen && s.process.runIteration() {
		s.emit(simapi.Output{Kind: simapi.Exited})
		s.endProcess()
	}
	dst, s.outputs = s.outputs, nil
	return dst
}

// Next returns the latest time of the next iteration; ok is false if no process runs or it is frozen.
func (s *plannerNode) Next() (at time.Duration, ok bool) {
	if s.process == nil || s.frozen {
		return 0, false
	}
	at = s.process.nextAt() - s.epoch
	if len(s.pending) > 0 {
		at = min(at, s.pending[0].takenAt)
	}
	return max(at, s.now), true
}

func (s *plannerNode) emit(o simapi.Output) {
	o.Scheduler = s.number
	s.outputs = append(s.outputs, o)
}

func (s *plannerNode) handleInput(input *simapi.Input) {
	switch input.Kind {
	case simapi.Start:
		s.incarnation++
		s.frozen, s.lastTakenAt = false, s.now
		s.pending = s.pending[:0]
		s.process = newPlannerProcess(s, input.Start)
	case simapi.Kill:
		s.endProcess()
	case simapi.Freeze:
		s.frozen = s.process != nil
	case simapi.Resume:
		s.frozen = false
	case simapi.SlowDown:
		s.delay = input.Delay
	case simapi.BreakConnections:
		s.levels.breakStreams(s.number)
	default:
		if s.process != nil {
			s.enqueue(plannerInput{input: *input, fromEnvironment: true}, s.now)
		}
	}
}

func (s *plannerNode) endProcess() {
	if s.process != nil {
		s.counts.addPlanner(s.process.planner)
		s.process, s.frozen = nil, false
		s.levels.processEnded(s.number)
	}
}

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
	conns         []*plannerPeerConn // the sessions in order, as a map has none
	wantedPeers   []string           // peers to be connected to
	redialAt      []time.Duration
	backoff       []time.Duration
	inputs        []planner.Event
	outputs       []planner.Action
	events        []membership.Event
	actions       []membership.Action
	exited        bool
}

// plannerPeerConn is a connection with a forwarder or another planner.
type plannerPeerConn struct {
	stream    *stream
	end       int
	seat      int
	peer      string // name of the other planner; empty: a forwarder
	connected bool
	writer    codec.Writer
	reader    *codec.Reader
}

func newPlannerProcess(node *plannerNode, boot *simapi.StartOptions) *plannerProcess {
	proc := &plannerProcess{
		node: node, now: node.epoch + node.now, discovery: boot.Discovery, sessions: map[planner.SessionID]*plannerPeerConn{},
		redialAt: make([]time.Duration, node.spec.Planners.Count), backoff: make([]time.Duration, node.spec.Planners.Count),
	}
	member := membership.Member{Name: node.name, Role: membership.RolePlanner, Incarnation: uint64(proc.now), Addr: node.name}
	proc.members = membership.NewPlannerMembership(member, membership.Config{})
	proc.listTable = requests.New(1, node.settings.Names, func() requests.Policy { return proc }, boot.KnownEndpoints, proc, slog.New(slog.DiscardHandler))
	seed := boot.Seed
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
	node.levels.gossip.join(node.number, member)
	proc.timer = proc.now
	return proc
}

// runIteration processes what has arrived and is due, steps the planner, and writes its messages.
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

// takePending processes the pending inputs. Of many that wait, as after a freeze, it takes a random number only, so that
// the planner decides before the rest is read.
func (p *plannerProcess) takePending() {
	node := p.node
	taken, limit := 0, len(node.pending)
	if limit > 1 {
		limit = 1 + node.levels.rngs[node.number].IntN(maxMessagesPerIteration)
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

// flushWriters sends what was written to the connections.
func (p *plannerProcess) flushWriters() {
	for _, conn := range p.conns {
		if conn.connected && conn.writer.Len() > 0 {
			p.flush(conn)
		}
	}
}

func (p *plannerProcess) flush(conn *plannerPeerConn) {
	p.node.levels.send(conn.stream, conn.end, conn.writer.Take(p.node.levels.buffer()))
}

// nextAt returns the time of the next iteration, pending inputs apart.
func (p *plannerProcess) nextAt() time.Duration {
	next := never
	soon := func(t time.Duration) {
		if t > 0 {
			next = min(next, t)
		}
	}
	if p.timer > 0 {
		soon(p.timer + p.node.delay)
	}
	if t := p.members.Next(); t > 0 {
		soon(t + p.node.delay)
	}
	soon(p.watchDeadline)
	for _, t := range p.redialAt {
		soon(t)
	}
	if len(p.listUpdates)+len(p.inputs)+len(p.events) > 0 {
		soon(p.now)
	}
	return next
}

// ---- Inputs ----

func (p *plannerProcess) handleInput(n *plannerInput) {
	if n.fromEnvironment {
		p.handleEnvironment(&n.input)
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
			p.backoff[conn.seat-p.node.spec.Schedulers.Count] = 0
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

// session returns the connection of a stream, or nil.
func (p *plannerProcess) session(stream *stream) *plannerPeerConn {
	return p.sessions[planner.SessionID(stream.id)]
}

// accept registers a connection that a forwarder or another planner has dialed.
func (p *plannerProcess) accept(stream *stream) {
	seat, end := stream.peerOf(p.node.number)
	conn := &plannerPeerConn{stream: stream, end: end, seat: seat, connected: true, reader: codec.NewReader(0)}
	if p.node.levels.isPlanner(seat) {
		conn.peer = plannerName(seat - p.node.spec.Schedulers.Count)
	}
	p.register(conn)
}

// dataReceived passes the messages of a connection to the planner. A frame that cannot be read ends the connection.
func (p *plannerProcess) dataReceived(conn *plannerPeerConn, data []byte) {
	conn.reader.Feed(data)
	p.node.levels.recycle(data)
	for {
		envelope, ok, err := conn.reader.Next()
		if err != nil {
			p.node.levels.closeStream(conn.stream, conn.end)
			p.unregister(conn, false)
		}
		if err != nil || !ok {
			return
		}
		envelope = envelope.Clone() // it outlives the reader's next one
		if conn.peer == "" {
			session := planner.SessionID(conn.stream.id)
			p.inputs = append(p.inputs, planner.ForwarderMessage{Session: session, Envelope: envelope})
		} else {
			p.inputs = append(p.inputs, planner.PeerMessage{Peer: conn.peer, Envelope: envelope})
		}
	}
}

// register adds a connection.
func (p *plannerProcess) register(k *plannerPeerConn) {
	p.sessions[planner.SessionID(k.stream.id)] = k
	p.conns = append(p.conns, k)
	if k.connected {
		p.connUp(k)
	}
}

// connUp notifies the planner of a new connection. It closes an older one with the same peer.
func (p *plannerProcess) connUp(conn *plannerPeerConn) {
	if conn.peer == "" {
		p.inputs = append(p.inputs, planner.SessionOpened{Session: planner.SessionID(conn.stream.id)})
		return
	}
	for _, o := range append([]*plannerPeerConn(nil), p.conns...) {
		if o != conn && o.peer == conn.peer && o.connected {
			p.node.levels.closeStream(o.stream, o.end)
			p.unregister(o, false)
		}
	}
	p.inputs = append(p.inputs, planner.PeerConnected{Peer: conn.peer})
	p.events = append(p.events, membership.PlannerConnected{Name: conn.peer})
}

// unregister removes a connection, notifies the planner, and plans to redial a peer that this planner dials.
func (p *plannerProcess) unregister(conn *plannerPeerConn, silent bool) {
	delete(p.sessions, planner.SessionID(conn.stream.id))
	for i, o := range p.conns {
		if o == conn {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			break
		}
	}
	switch {
	case conn.peer == "":
		p.inputs = append(p.inputs, planner.SessionClosed{Session: planner.SessionID(conn.stream.id)})
	case conn.connected:
		p.inputs = append(p.inputs, planner.PeerDisconnected{Peer: conn.peer})
		p.events = append(p.events, membership.PlannerDisconnected{Name: conn.peer, Silent: silent})
	}
	conn.connected = false
	if i := conn.seat - p.node.spec.Schedulers.Count; conn.peer != "" && conn.seat > p.node.number {
		p.backoff[i] = min(max(2*p.backoff[i], minRedialDelay), maxRedialDelay)
		p.redialAt[i] = p.now + p.backoff[i]/2 + time.Duration(p.node.levels.rngs[p.node.number].Int64N(int64(p.backoff[i])))
	}
}

// connect dials another planner if it is wanted. Of two planners the one with the lower number dials.
func (p *plannerProcess) connect(i int) {
	seat := p.node.spec.Schedulers.Count + i
	name := plannerName(i)
	wanted := false
	for _, w := range p.wantedPeers {
		wanted = wanted || w == name
	}
	for _, k := range p.conns {
		wanted = wanted && k.peer != name
	}
	if wanted && seat > p.node.number {
		p.register(&plannerPeerConn{stream: p.node.levels.dial(p.node.number, seat), seat: seat, peer: name, reader: codec.NewReader(0)})
	}
}

// handleEnvironment processes an input of the environment.
func (p *plannerProcess) handleEnvironment(input *simapi.Input) {
	switch input.Kind {
	case simapi.ListReceived:
		if p.watching {
			p.watchDeadline = p.now + nextLineTimeout
			p.listTable.UpdateEndpoints(*input.List)
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
		if input.Discovery != p.discovery {
			p.discovery = input.Discovery
			p.listTable.ResetRevision()
			p.inputs = append(p.inputs, planner.EndpointSourceChanged{})
			p.Watch(0)
		}
	case simapi.Terminate:
		p.inputs = append(p.inputs, planner.StopRequested{})
		p.node.levels.gossip.leave(p.node.number)
	}
}

// ---- The endpoint list: a request table without requests reads it ----

// Step implements the policy of the request table: it collects the endpoint lists.
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
	p.node.emit(simapi.Output{Kind: simapi.WatchRequested, RetryAfter: time.Duration(after)})
}

// Start and the methods below do nothing, as the table has no requests.
func (p *plannerProcess) Start(*requests.Attempt)     {}
func (p *plannerProcess) Abandon(*requests.Attempt)   {}
func (p *plannerProcess) Cancel(*requests.Attempt)    {}
func (p *plannerProcess) CheckHealth(uint64)          {}
func (p *plannerProcess) CloseIdleConnections(uint64) {}

// ---- Actions ----

// updateMembers steps the membership with its events, and carries out its actions.
func (p *plannerProcess) updateMembers() {
	actions := p.members.Step(p.now, p.events, p.actions[:0])
	clear(p.events)
	p.events = p.events[:0]
	for _, action := range actions {
		switch action := action.(type) {
		case membership.SetPlanners:
			p.wantedPeers = action.Names
			for i := range p.redialAt {
				if p.redialAt[i] == 0 {
					p.connect(i)
				}
			}
		case membership.SetPeers:
			p.inputs = append(p.inputs, planner.PeersChanged{Names: action.Names})
		case membership.SetPartition:
			p.inputs = append(p.inputs, planner.PartitionChanged{Owner: action.Owner})
		case membership.Announce:
			p.node.levels.gossip.announce(p.node.number, action.Member)
		case membership.LogLine:
			p.node.model.logger(p.node.number).LogAttrs(context.Background(), slog.LevelInfo, action.Message, action.Attributes...)
		}
	}
	clear(actions)
	p.actions = actions[:0]
}

// carryOut performs an action of the planner.
func (p *plannerProcess) carryOut(action planner.Action) {
	switch action := action.(type) {
	case planner.SendToForwarder:
		if conn := p.sessions[action.Session]; conn != nil && conn.connected {
			p.node.send(&conn.writer, action.Envelope)
		}
	case planner.SendToPeer:
		p.sendToPeer(action)
	case planner.CloseSession:
		p.closeSession(action.Session)
	case planner.SetTimer:
		if at := p.now + action.After; p.timer == 0 || at < p.timer {
			p.timer = at
		}
	case planner.WatchEndpoints:
		p.watchWanted = true
		p.listTable.Wake()
	case planner.LogLine:
		p.node.model.logger(p.node.number).Info(action.Message, action.Attributes...)
	case planner.Stopped:
		p.exited = true
	}
}

func (p *plannerProcess) sendToPeer(action planner.SendToPeer) {
	for _, conn := range p.conns {
		if conn.peer == action.Peer && conn.connected {
			p.node.send(&conn.writer, action.Envelope)
		}
	}
}

// closeSession sends what is written to a forwarder's connection, and closes it.
func (p *plannerProcess) closeSession(id planner.SessionID) {
	conn := p.sessions[id]
	if conn == nil || conn.peer != "" {
		return
	}
	if conn.writer.Len() > 0 {
		p.flush(conn)
	}
	p.node.levels.closeStream(conn.stream, conn.end)
	p.unregister(conn, false)
}

// send encodes a message. One that cannot be encoded is counted and dropped, as in a real process.
func (s *plannerNode) send(w *codec.Writer, envelope message.Envelope) {
	if w.Add(envelope) != nil {
		s.counts.Unwritten++
	}
}
