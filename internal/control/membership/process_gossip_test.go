package membership

import "time"

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
