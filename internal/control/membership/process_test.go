package membership

import (
	"time"

	"valvecove/dispatch"
)

// process is a forwarder or planner of a cluster.
type process struct {
	cluster    *cluster
	announced  Member
	running    bool
	membership stepper
	deliverAt  map[string]time.Duration // by sender: arrival time of its latest report
	timerAt    time.Duration            // time of the next step without an event; 0 if none
	latency    time.Duration            // additional latency of its replies
	ownerOf    func(w *dispatch.Worker) string

	wantedSessions []string // planners of the latest SetPlanners
	connected      map[string]bool
	connecting     map[string]bool
	unreachable    map[string]bool // names of processes with which no session can open
}

func newProcess(c *cluster, name string, role Role) *process {
	return &process{
		cluster:     c,
		announced:   Member{Name: name, Role: role},
		deliverAt:   map[string]time.Duration{},
		unreachable: map[string]bool{},
	}
}

func (p *process) start() {
	if p.running {
		return
	}
	c := p.cluster
	p.running = true
	p.timerAt = 0
	p.wantedSessions = nil
	p.connected = map[string]bool{}
	p.connecting = map[string]bool{}
	clear(p.deliverAt)
	p.announced.Incarnation = uint64(c.now)
	p.announced.Home = ""
	if p.announced.Role == RolePlanner {
		p.membership = NewPlannerMembership(p.announced, clusterConfig)
		p.step(fullList(c.cells))
	} else {
		p.membership = NewForwarderMembership(p.announced, clusterConfig)
	}
	for _, other := range c.processes {
		if other != p && other.running {
			p.deliver(other, 0, MemberJoined{other.announced})
		}
	}
	p.broadcast(0, MemberJoined{p.announced})
	p.step()
}

// stop ends the process gracefully or by a crash, which gossip detects late.
func (p *process) stop(gracefully bool) {
	if !p.running {
		return
	}
	p.running = false
	if gracefully {
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

// follower returns the membership of the process; ok is false unless it is a running forwarder.
func (p *process) follower() (*ForwarderMembership, bool) {
	forwarder, ok := p.membership.(*ForwarderMembership)
	return forwarder, ok && p.running
}
