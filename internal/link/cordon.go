package link

import (
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/hotrestart"
	"valvecove/internal/limits"
)

// openCordonStore has cordoned workers kept in stateDir; without one nothing is kept.
func (l *Loop) openCordonStore(stateDir string) {
	if stateDir != "" {
		l.cordonStore = hotrestart.NewCordonStore(hotrestart.CordonStoreConfig{
			Files:        l.files,
			StateDir:     stateDir,
			MaxCallbacks: limits.MaxOperatorConnections,
			Now:          l.Now,
			Post:         l.Post,
			After:        func(delay time.Duration, act func()) { l.After(delay, act) },
			Changed:      l.logCordonStore,
		})
	}
}

// logCordonStore tells that the cordoned workers can't be stored, or that they are stored again.
func (l *Loop) logCordonStore(err error) {
	if err != nil { // what was changed holds all the same, for as long as this process or a successor lives
		l.log.Error("cordoned workers are not stored", "error", err)
		return
	}
	l.log.Info("cordoned workers are stored again")
}

// ownCordonFile makes this process the one that writes the file of cordoned workers.
func (l *Loop) ownCordonFile() {
	if l.cordonStore != nil {
		l.cordonStore.RemoveStrayFiles()
	}
}

// fenceCordonStore leaves the file of cordoned workers to a successor. It returns false if a write has to be waited for.
func (l *Loop) fenceCordonStore() bool { return l.cordonStore == nil || l.cordonStore.Fence() }

// unfenceCordonStore takes the file back from a successor that did not take over.
func (l *Loop) unfenceCordonStore() {
	if l.cordonStore != nil {
		l.cordonStore.Unfence()
	}
}

// unstoredCordonCount is 1 if the last change of the cordoned workers is held in memory only, and else 0.
func (l *Loop) unstoredCordonCount() int {
	if l.cordonStore == nil || l.hasRelinquished() || l.cordonStore.State().Stored {
		return 0
	}
	return 1
}

// cordonReport is the body of the operators' call for the cordoned workers.
type cordonReport struct {
	WorkerIDs  []string `json:"out"`
	Stored     bool     `json:"kept"`
	UnstoredMs int64    `json:"not_kept_ms,omitempty"`
	LastError  string   `json:"error,omitempty"`
}

// cordonReport returns which workers are cordoned, and whether that is stored, as a line of JSON.
func (l *Loop) cordonReport() []byte {
	report := cordonReport{WorkerIDs: l.Requests.Cordoned()}
	if report.WorkerIDs == nil {
		report.WorkerIDs = []string{}
	}
	if l.cordonStore == nil {
		report.LastError = "no directory to keep them in"
	} else if state := l.cordonStore.State(); state.Stored {
		report.Stored = true
	} else {
		report.UnstoredMs = (l.Now() - state.UnsavedFrom).Milliseconds()
		if state.LastError != nil {
			report.LastError = state.LastError.Error()
		}
	}
	text, _ := jsoniter.ConfigDefault.Marshal(report) // of strings and numbers: it can't fail
	return append(text, '\n')
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
	l.log.Info("worker cordon changed", "worker", workerID, "state", state)
	l.notifyCordoned()
	if l.cordonStore == nil {
		// Whoever has the answer is shown the change by the next call, which may be accepted in this iteration.
		l.AfterStep(func() { respond(200, state) })
		return
	}
	l.cordonStore.Save(l.Requests.Cordoned(), func(err error) {
		if err != nil { // the change holds, and is stored as soon as that is possible
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
