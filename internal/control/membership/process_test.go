package membership

import (
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
