package link

import "valvecove/internal/hotrestart"

// openCordonStore has cordoned workers kept in stateDir; without one nothing is kept.
func (l *Loop) openCordonStore(stateDir string) {
	if stateDir != "" {
		l.cordonStore = hotrestart.NewCordonStore(stateDir, operatorsMost, l.post)
	}
}

// forwardCordonToOwner forwards an operator's call to the process that owns the requests. It returns false if that is this
// one.
func (l *Loop) forwardCordonToOwner(workerID string, cordoned bool, respond func(statusCode int, message string)) bool {
	switch {
	case l.hasRelinquished() && l.predecessorRole.successor == nil:
		respond(503, "this process has been replaced")
	case l.hasRelinquished():
		l.predecessorRole.successor.forwardCordonToSuccessor(workerID, cordoned, respond)
	case l.successorRole != nil && !l.successorRole.isServing():
		l.successorRole.forwardCordonToPredecessor(workerID, cordoned, respond)
	default:
		return false
	}
	return true
}

// applyForwardedCordon does what an operator asked of the other process. send is called with the result.
func (l *Loop) applyForwardedCordon(call hotrestart.SetCordon, send func(hotrestart.CordonResult)) {
	l.setCordoned(call.WorkerID, call.Cordoned, func(statusCode int, message string) {
		send(hotrestart.CordonResult{Sequence: call.Sequence, StatusCode: statusCode, Message: message})
	})
}
