package simulation

// drain begins a shutdown: the process serves until shortly before it would be killed, and then answers every open request.
func (p *process) drain() {
	p.draining, p.listChanged = true, true
	killed := stopMargin
	for _, c := range p.scheduler.settings.Classes {
		killed = max(killed, stopMargin+min(c.ClientTimeout, stopTimeout))
	}
	p.after(max(killed-stopAdmittingBefore, killed/2), p.close)
	p.after(killed-flushTime, func() {
		p.requests.CloseSince(p.now - (killed - flushTime - stopMargin))
		p.requests.RejectQueued()
	})
	p.after(killed-finalFlushTime, func() { p.requests.CloseSince(0) })
	p.after(killed, func() { p.finished = true })
}

// close rejects new requests, and closes idle client connections.
func (p *process) close() {
	p.rejectsRequests = true
	for p.idleClients.next != &p.idleClients {
		p.idleClients.next.close()
	}
}
