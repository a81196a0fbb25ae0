package membership

import (
	"slices"
	"time"

	"valvecove/dispatch"
)

// process is a forwarder or planner of a cluster.
type process struct {
	cluster   *cluster
	announced Member
	running   bool
	self      stepper
	deliverAt map[string]time.Duration // by sender: when its latest announcement arrives
	timerAt   time.Duration            // of its next step without an event; 0: none
	latency   time.Duration            // of its replies
	ownerOf   func(w *dispatch.Worker) string

	wanted     []string // planners to have sessions with
	connected  map[string]bool
	connecting map[string]bool
	cut        map[string]bool // names of processes that it can't reach
}

func newProcess(c *cluster, name string, role Role) *process {
	return &process{
		cluster:   c,
		announced: Member{Name: name, Role: role},
		deliverAt: map[string]time.Duration{},
		cut:       map[string]bool{},
	}
}

func (p *process) start() {
	if p.running {
		return
	}
	c := p.cluster
	p.running = true
	p.timerAt = 0
	p.wanted = nil
	p.connected = map[string]bool{}
	p.connecting = map[string]bool{}
	clear(p.deliverAt)
	p.announced.Incarnation = uint64(c.now)
	p.announced.Home = ""
	if p.announced.Role == RolePlanner {
		p.self = NewPlannerMembership(p.announced, clusterConfig)
		p.step(fullList(c.cells))
	} else {
		p.self = NewForwarderMembership(p.announced, clusterConfig)
	}
	for _, other := range c.processes {
		if other != p && other.running {
			p.deliver(other, 0, MemberJoined{other.announced})
		}
	}
	p.broadcast(0, MemberJoined{p.announced})
	p.step()
}

// stop ends the process in an orderly way, or by a crash, which gossip notices late.
func (p *process) stop(orderly bool) {
	if !p.running {
		return
	}
	p.running = false
	if orderly {
		p.broadcast(0, MemberLeft{p.announced.Name, p.announced.Incarnation})
	} else {
		p.broadcast(p.cluster.randomDelay(1000, 3000), MemberDied{p.announced.Name, p.announced.Incarnation})
	}
	for _, other := range p.cluster.processes {
		if other.running && other.connected[p.announced.Name] {
			other.disconnect(p.announced.Name, false)
		}
	}
}

// follower returns the process as a running forwarder.
func (p *process) follower() (*ForwarderMembership, bool) {
	forwarder, ok := p.self.(*ForwarderMembership)
	return forwarder, ok && p.running
}

// ---- Gossip ----

func (p *process) broadcast(delay time.Duration, event Event) {
	for _, other := range p.cluster.processes {
		if other != p {
			other.deliver(p, delay, event)
		}
	}
}

// deliver has the process step with a report about another after some time. Reports about one process arrive in order, but
// for those with a delay.
func (p *process) deliver(about *process, delay time.Duration, event Event) {
	incarnation := p.announced.Incarnation
	at := max(p.cluster.now+delay+p.cluster.randomDelay(5, 300), p.deliverAt[about.announced.Name])
	p.cluster.after(at-p.cluster.now, func() {
		if p.running && p.announced.Incarnation == incarnation {
			p.step(event)
		}
	})
	if delay == 0 { // a crash that is noticed late may be reported after the next process has come
		p.deliverAt[about.announced.Name] = at
	}
}

// ---- Steps ----

// step runs a step of the process, and carries out its actions.
func (p *process) step(events ...Event) {
	for _, action := range p.self.Step(p.cluster.now, events, nil) {
		switch action := action.(type) {
		case SetPlanners:
			p.wanted = action.Names
		case Announce:
			p.announce(action.Member)
		case SetPartition:
			p.ownerOf = action.Owner
		}
	}
	p.connect()
	p.setTimer()
}

func (p *process) announce(member Member) {
	if member.Home != p.announced.Home && p.announced.Home != "" && member.Home != "" {
		p.cluster.countMove()
	}
	p.announced = member
	p.broadcast(0, MemberJoined{member})
}

func (p *process) setTimer() {
	at := p.self.Next()
	if at == 0 || at == p.timerAt {
		return
	}
	p.timerAt = at
	self := p.self
	p.cluster.after(at-p.cluster.now, func() {
		if p.running && p.self == self && p.timerAt == at {
			p.timerAt = 0
			p.step()
		}
	})
}

// ---- Sessions ----

// connect opens sessions with the planners that are wanted, and ends the others.
func (p *process) connect() {
	for name := range p.connected {
		if !slices.Contains(p.wanted, name) {
			p.cluster.after(0, func() { p.disconnect(name, false) })
		}
	}
	for _, name := range p.wanted {
		if p.connected[name] || p.connecting[name] {
			continue
		}
		p.connecting[name] = true
		self := p.self
		p.cluster.after(p.cluster.randomDelay(1, 60), func() {
			if p.self == self {
				p.finishConnecting(name)
			}
		})
	}
}

func (p *process) finishConnecting(name string) {
	p.connecting[name] = false
	canReach := p.cluster.find(name).running && !p.cut[name]
	switch {
	case !p.running:
	case canReach && !p.connected[name]:
		p.connected[name] = true
		p.step(PlannerConnected{name})
		p.sendHeartbeat(name)
	default:
		p.cluster.after(200*time.Millisecond, func() { p.step() })
	}
}

func (p *process) disconnect(name string, silent bool) {
	if p.running && p.connected[name] {
		delete(p.connected, name)
		p.step(PlannerDisconnected{name, silent})
	}
}

// sendHeartbeat has a forwarder receive a planner's reply every 100 ms.
func (p *process) sendHeartbeat(name string) {
	if p.announced.Role == RolePlanner {
		return
	}
	self := p.self
	p.cluster.after(p.cluster.randomDelay(95, 105), func() {
		if !p.running || p.self != self || !p.connected[name] {
			return
		}
		p.step(ReplyReceived{Name: name, Latency: p.cluster.replyLatency(name)})
		p.sendHeartbeat(name)
	})
}
