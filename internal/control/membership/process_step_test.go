package membership

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
