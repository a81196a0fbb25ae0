package membership

// step runs a step of the process and executes its actions.
func (p *process) step(events ...Event) {
	for _, action := range p.membership.Step(p.cluster.now, events, nil) {
		switch action := action.(type) {
		case SetPlanners:
			p.wantedSessions = action.Names
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
	at := p.membership.Next()
	if at == 0 || at == p.timerAt {
		return
	}
	p.timerAt = at
	current := p.membership
	p.cluster.after(at-p.cluster.now, func() {
		if p.running && p.membership == current && p.timerAt == at {
			p.timerAt = 0
			p.step()
		}
	})
}
