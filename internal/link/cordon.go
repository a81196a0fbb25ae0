package link

import "valvecove/internal/hotrestart"

// openCordonStore has cordoned workers kept in stateDir; without one nothing is kept.
func (l *Loop) openCordonStore(stateDir string) {
	if stateDir != "" {
		l.cordonStore = hotrestart.NewCordonStore(stateDir, maxOperatorConnections, l.Post)
	}
}

// setCordoned cordons or uncordons a worker, here or in the process that owns the requests. respond is called with how the
// operator is to be answered, once the change holds and is stored.
func (l *Loop) setCordoned(workerID string, cordoned bool, respond func(statusCode int, message string)) {
	if l.forwardCordonToOwner(workerID, cordoned, respond) {
		return
	}
	var known, full bool
	if cordoned {
		known, full = l.Requests.Cordon(workerID)
	} else {
		known = l.Requests.Uncordon(workerID)
	}
	switch {
	case !known:
		respond(404, "no such worker node")
	case full:
		respond(503, "too many worker nodes are out")
	default:
		l.storeCordoned(workerID, cordoned, respond)
	}
}

// storeCordoned makes known that a worker was cordoned or uncordoned.
func (l *Loop) storeCordoned(workerID string, cordoned bool, respond func(statusCode int, message string)) {
	state := "serving"
	if cordoned {
		state = "out"
	}
	l.log.Info("worker node by hand", "host", workerID, "now", state)
	l.notifyCordoned()
	if l.cordonStore == nil {
		// Whoever has the answer is shown the change by the next call, which may be accepted in this iteration.
		l.AfterStep(func() { respond(200, state) })
		return
	}
	l.cordonStore.Save(l.Requests.Cordoned(), func(err error) {
		if err != nil { // the change holds all the same, for as long as this process lives
			l.log.Error("worker nodes out by hand are not kept", "error", err)
			respond(503, "not kept: "+err.Error())
			return
		}
		respond(200, state)
	})
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
