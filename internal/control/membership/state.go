package membership

// gossipState is what gossip reported last about a member.
type gossipState uint8

const (
	gossipUnknown gossipState = iota // gossip has never reported it: it is known by a session alone
	gossipAlive
	gossipFailed
	gossipLeft
)

func (g gossipState) String() string {
	switch g {
	case gossipUnknown:
		return "unknown"
	case gossipAlive:
		return "alive"
	case gossipFailed:
		return "failed"
	case gossipLeft:
		return "left"
	}
	return "invalid"
}

// sessionState is the state of the session with a planner.
type sessionState uint8

const (
	sessionNone sessionState = iota // there is none, which says nothing about the planner
	sessionOpen
	sessionLost // the last one with this incarnation of the planner was lost
)

func (s sessionState) String() string {
	switch s {
	case sessionNone:
		return "none"
	case sessionOpen:
		return "open"
	case sessionLost:
		return "lost"
	}
	return "invalid"
}

// sessionEvent is what changes a sessionState.
type sessionEvent uint8

const (
	sessionOpened      sessionEvent = iota
	sessionEnded                    // the connection was lost, or an end was announced
	sessionWentSilent               // nothing more was heard
	incarnationChanged              // gossip has announced a later incarnation of the planner
)

// next returns the state after an event.
func (s sessionState) next(event sessionEvent) sessionState {
	switch {
	case event == sessionOpened:
		return sessionOpen
	case event == sessionEnded && s == sessionOpen:
		return sessionLost
	case event == sessionWentSilent && s == sessionOpen:
		return sessionNone
	case event == incarnationChanged && s == sessionLost:
		return sessionNone
	}
	return s
}

// memberState is what this process concludes about a member from gossip and its sessions.
type memberState uint8

const (
	memberAlive     memberState = iota // a session is open, or gossip has it
	memberSuspected                    // gossip does not have it any more, and the suspicion timeout is running
	memberDead
	memberLeft
)

func (m memberState) String() string {
	switch m {
	case memberAlive:
		return "alive"
	case memberSuspected:
		return "suspect"
	case memberDead:
		return "dead"
	case memberLeft:
		return "left"
	}
	return "invalid"
}

// isAbsent reports whether the member is dead or has left.
func (m memberState) isAbsent() bool { return m == memberDead || m == memberLeft }

// assignmentState is whether the assignment is up to date. A greater state is more urgent.
type assignmentState uint8

const (
	assignmentCurrent  assignmentState = iota
	assignmentOutdated                 // it is to be recomputed once Config.AssignInterval has passed
	assignmentUrgent                   // it is to be recomputed at once
)

func (a assignmentState) String() string {
	switch a {
	case assignmentCurrent:
		return "current"
	case assignmentOutdated:
		return "outdated"
	case assignmentUrgent:
		return "urgent"
	}
	return "invalid"
}
