package membership

import "time"

func (p *process) broadcast(delay time.Duration, event Event) {
	for _, other := range p.cluster.processes {
		if other != p {
			other.deliver(p, delay, event)
		}
	}
}

// deliver delivers a gossip report about another process after a random time plus delay. Reports about one process arrive in
// order, except after reports with a delay.
func (p *process) deliver(about *process, delay time.Duration, event Event) {
	incarnation := p.announced.Incarnation
	at := max(p.cluster.now+delay+p.cluster.randomDelay(5, 300), p.deliverAt[about.announced.Name])
	p.cluster.after(at-p.cluster.now, func() {
		if p.running && p.announced.Incarnation == incarnation {
			p.step(event)
		}
	})
	if delay == 0 { // a late report of a crash may arrive after the announcement of the restarted process
		p.deliverAt[about.announced.Name] = at
	}
}
