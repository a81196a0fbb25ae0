package membership

import (
	"slices"
	"time"
)

// connect opens sessions with the planners in wantedSessions, and closes all others.
func (p *process) connect() {
	for name := range p.connected {
		if !slices.Contains(p.wantedSessions, name) {
			p.cluster.after(0, func() { p.disconnect(name, false) })
		}
	}
	for _, name := range p.wantedSessions {
		if p.connected[name] || p.connecting[name] {
			continue
		}
		p.connecting[name] = true
		current := p.membership
		p.cluster.after(p.cluster.randomDelay(1, 60), func() {
			if p.membership == current {
				p.finishConnecting(name)
			}
		})
	}
}

func (p *process) finishConnecting(name string) {
	p.connecting[name] = false
	canReach := p.cluster.find(name).running && !p.unreachable[name]
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

// sendHeartbeat makes a forwarder receive a planner's heartbeat reply every 100 ms.
func (p *process) sendHeartbeat(name string) {
	if p.announced.Role == RolePlanner {
		return
	}
	current := p.membership
	p.cluster.after(p.cluster.randomDelay(95, 105), func() {
		if !p.running || p.membership != current || !p.connected[name] {
			return
		}
		p.step(ReplyReceived{Name: name, Latency: p.cluster.replyLatency(name)})
		p.sendHeartbeat(name)
	})
}
