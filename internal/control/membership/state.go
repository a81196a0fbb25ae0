package membership

// gossipState is the last state of a member reported by gossip.
type gossipState uint8

const (
	gossipUnknown gossipState = iota // gossip has not reported the member, which is known only by a session
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
	sessionNone sessionState = iota // no session, which implies nothing about the planner
	sessionOpen
	sessionLost // the last session with this incarnation of the planner was lost
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

// sessionEvent is an event that may change a sessionState.
type sessionEvent uint8

const (
	sessionOpened      sessionEvent = iota
	sessionEnded                    // the connection was lost, or the planner announced the end
	sessionWentSilent               // the session timed out without messages
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

// memberState is the state of a member according to gossip and its session.
type memberState uint8

const (
	memberAlive     memberState = iota // a session is open, or gossip reports it as alive
	memberSuspected                    // gossip does not report it as alive; the suspicion timeout is running
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

// assignmentState states whether the assignment is up to date. Greater states are more urgent.
type assignmentState uint8

const (
	assignmentCurrent  assignmentState = iota
	assignmentOutdated                 // must be recomputed once Config.AssignInterval has passed
	assignmentUrgent                   // must be recomputed immediately
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
