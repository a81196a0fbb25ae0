package simulation

import (
	"context"
	"log/slog"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/aperture"
	"valvecove/internal/control/codec"
	"valvecove/internal/control/forwarder"
	"valvecove/internal/control/membership"
	"valvecove/internal/requests"
)

// forwarderProcess is the part of a scheduler's process that exists only if the scenario has planners: the forwarder, which is
// the request table's policy, its connections to planners, and its membership.
type forwarderProcess struct {
	process        *process
	network        *controlNetwork
	nodeIndex      int
	name           string
	forwarder      *forwarder.Forwarder
	members        *membership.ForwarderMembership
	plannerConns   []*plannerConn // by planner
	wantedPlanners []string       // names of the planners to be connected to
	events         []membership.Event
	actions        []membership.Action
	seed           uint64
}

// plannerConn is the connection to one planner.
type plannerConn struct {
	nodeIndex    int
	name         string
	wanted       bool
	stream       *stream // nil: not connected
	connected    bool
	backoff      time.Duration
	retry        timer
	retryPlanned bool // the retry timer is running
	writer       codec.Writer
	reader       *codec.Reader
}

const (
	minRedialDelay = 20 * time.Millisecond
	maxRedialDelay = time.Second
)

// standaloneAperture limits a forwarder without planners to a small part of the fleet. The other forwarders have lost their
// planners too, and workers that all of them used would be overloaded.
var standaloneAperture = aperture.Config{MinWorkers: 8, Coverage: 2, MinFleet: 2, MaxWidening: 8, WidenThreshold: 0.1, Retention: 30 * time.Second}

func newForwarder(p *process, name string, seed uint64) *forwarderProcess {
	s := p.scheduler
	f := &forwarderProcess{process: p, network: s.network, nodeIndex: s.number, name: name, seed: seed}
	f.members = membership.NewForwarderMembership(f.member(), membership.Config{})
	for n := range s.spec.Planners.Count {
		conn := &plannerConn{nodeIndex: s.spec.Schedulers.Count + n, name: plannerName(n)}
		conn.retry.act = func() {
			conn.retryPlanned = false
			f.connect(conn)
		}
		f.plannerConns = append(f.plannerConns, conn)
	}
	return f
}

func (f *forwarderProcess) member() membership.Member {
	return membership.Member{Name: f.name, Incarnation: uint64(f.process.scheduler.epoch + f.process.scheduler.now)}
}

// join makes the process a member of the gossip group.
func (f *forwarderProcess) join() { f.network.gossip.join(f.nodeIndex, f.member()) }

// newPolicy returns a new forwarder as the request table's policy. It is called at the start and after a policy has panicked.
func (f *forwarderProcess) newPolicy() requests.Policy {
	set := f.process.scheduler.settings.Settings
	f.seed++
	conf := forwarder.Config{Name: f.name, Incarnation: uint64(f.process.now), Version: codec.Version, Seed: f.seed}
	if f.forwarder != nil {
		f.process.scheduler.counts.addForwarder(f)
		conf.LastEpoch = f.forwarder.LastEpoch()
	}
	f.forwarder = forwarder.New(set, conf, f.members, func() forwarder.Policy {
		f.seed++
		return aperture.New(dispatch.New(set, f.seed), set, standaloneAperture)
	})
	f.forwarder.SetPlanners(f.wantedPlanners)
	for _, conn := range f.plannerConns {
		if conn.connected {
			f.forwarder.ConnectionChanged(conn.name, true)
		}
	}
	return f
}

// Step steps the forwarder, and encodes its messages to planners.
func (f *forwarderProcess) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	dst = f.forwarder.Step(now, events, dst)
	for _, e := range f.forwarder.Outbox() {
		for _, conn := range f.plannerConns {
			if conn.name == e.Planner && conn.connected {
				f.process.scheduler.send(&conn.writer, e.Envelope)
			}
		}
	}
	return dst
}

// beforeStep begins an iteration: it processes the messages of planners and gossip.
func (f *forwarderProcess) beforeStep(updates []controlMessage) {
	for i := range updates {
		f.handleMessage(&updates[i])
	}
	if at := f.members.Next(); len(f.events) > 0 || at > 0 && at <= f.process.now {
		f.updateMembers()
	}
	if f.forwarder.HasPending() {
		f.process.requests.Wake()
	}
}

// afterStep ends an iteration: it sends the encoded messages, and closes connections to draining planners.
func (f *forwarderProcess) afterStep() {
	f.carryOut(f.members.Step(f.process.now, nil, f.actions[:0]))
	for _, conn := range f.plannerConns {
		if conn.connected && conn.writer.Len() > 0 {
			f.network.send(conn.stream, 0, conn.writer.Take(f.network.buffer()))
		}
	}
	for _, name := range f.forwarder.DrainingPlanners() {
		for _, conn := range f.plannerConns {
			if conn.name == name && conn.connected {
				f.network.closeStream(conn.stream, 0)
				f.connLost(conn)
			}
		}
	}
	if f.forwarder.HasPending() {
		f.process.requests.Wake()
	}
}

func (f *forwarderProcess) handleMessage(n *controlMessage) {
	if n.kind == memberEvent {
		f.events = append(f.events, n.event)
		return
	}
	var conn *plannerConn
	for _, candidate := range f.plannerConns {
		if candidate.stream == n.stream {
			conn = candidate
		}
	}
	if conn == nil {
		return // it belongs to a connection that was given up
	}
	switch n.kind {
	case streamConnected:
		conn.connected, conn.backoff = true, 0
		conn.reader, conn.writer = codec.NewReader(0), codec.Writer{}
		f.forwarder.ConnectionChanged(conn.name, true)
	case streamRefused, streamLost:
		f.connLost(conn)
	case streamData:
		conn.reader.Feed(n.bytes)
		f.network.recycle(n.bytes)
		for {
			envelope, ok, err := conn.reader.Next()
			if err != nil {
				f.network.closeStream(conn.stream, 0)
				f.connLost(conn)
			}
			if err != nil || !ok {
				return
			}
			f.forwarder.Receive(f.process.now, conn.name, envelope)
		}
	}
}

// connLost records that a connection or a dial has ended. It schedules the next dial if the planner is still wanted.
func (f *forwarderProcess) connLost(conn *plannerConn) {
	wasConnected := conn.connected
	conn.stream, conn.connected = nil, false
	if wasConnected {
		f.forwarder.ConnectionChanged(conn.name, false)
	}
	if conn.wanted && !conn.retryPlanned {
		conn.backoff = min(max(2*conn.backoff, minRedialDelay), maxRedialDelay)
		conn.retryPlanned = true
		f.process.start(&conn.retry, conn.backoff/2+time.Duration(f.network.rngs[f.nodeIndex].Int64N(int64(conn.backoff))))
	}
}

// connect dials a planner if a connection is wanted and there is none.
func (f *forwarderProcess) connect(conn *plannerConn) {
	if conn.wanted && conn.stream == nil {
		conn.stream = f.network.dial(f.nodeIndex, conn.nodeIndex)
	}
}

// updateMembers processes the events of gossip.
func (f *forwarderProcess) updateMembers() {
	f.carryOut(f.members.Step(f.process.now, f.events, f.actions[:0]))
	clear(f.events)
	f.events = f.events[:0]
	f.forwarder.SetPlanners(f.wantedPlanners) // their order may have changed
}

func (f *forwarderProcess) carryOut(actions []membership.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case membership.SetPlanners:
			f.wantedPlanners = action.Names
			f.forwarder.SetPlanners(action.Names)
			for _, conn := range f.plannerConns {
				f.updateWanted(conn, action.Names)
			}
		case membership.SetForwarderIndex:
			f.forwarder.SetForwarderIndex(action.Index, action.Count)
		case membership.Announce:
			f.network.gossip.announce(f.nodeIndex, action.Member)
		case membership.LogLine:
			f.process.scheduler.model.logger(f.nodeIndex).LogAttrs(context.Background(), slog.LevelInfo, action.Message, action.Attributes...)
		}
	}
	clear(actions)
	f.actions = actions[:0]
}

// updateWanted records whether a planner is among those to be connected to, and dials it if it has become one.
func (f *forwarderProcess) updateWanted(conn *plannerConn, names []string) {
	wasWanted := conn.wanted
	conn.wanted = false
	for _, name := range names {
		conn.wanted = conn.wanted || name == conn.name
	}
	if conn.wanted && !wasWanted {
		if conn.retryPlanned {
			conn.retryPlanned = false
			f.process.stop(&conn.retry)
		}
		conn.backoff = 0
		f.connect(conn)
	}
}
