package simulation

// drain begins a shutdown: the process serves until shortly before it would be killed, and then answers every open request.
func (p *process) drain() {
	p.draining, p.listChanged = true, true
	killAfter := stopMargin
	for _, c := range p.scheduler.settings.Classes {
		killAfter = max(killAfter, stopMargin+min(c.ClientTimeout, stopTimeout))
	}
	p.after(max(killAfter-stopAdmittingBefore, killAfter/2), p.close)
	p.after(killAfter-flushTime, func() {
		p.requests.CloseSince(p.now - (killAfter - flushTime - stopMargin))
		p.requests.RejectQueued()
	})
	p.after(killAfter-finalFlushTime, func() { p.requests.CloseSince(0) })
	p.after(killAfter, func() { p.finished = true })
}

// close rejects new requests, and closes idle client connections.
func (p *process) close() {
	p.rejectsRequests = true
	for p.idleClients.next != &p.idleClients {
		p.idleClients.next.close()
	}
}
