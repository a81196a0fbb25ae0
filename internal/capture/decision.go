package capture

import (
	"fmt"
	"strconv"
	"time"

	"valvecove/dispatch"
)

// decision is a decision on a subject, such as a job or a worker, in the words of the replay's output.
type decision struct {
	subject, what string
	line          int // number of the line in the capture; 0 if it is not recorded
}

// Subjects that are not jobs or workers, and texts of decisions.
const (
	subjectDispatcher   = "the module"
	subjectEndpointList = "the host group"

	decidedPanic       = "a panic"
	decidedFailed      = "failed"
	decidedRejected    = "refused"
	decidedHealthCheck = "probed"
	decidedCloseIdle   = "links closed"
	decidedSubscribe   = "watched"
)

// panicDecision is a panic of the dispatcher.
var panicDecision = decision{subject: subjectDispatcher, what: decidedPanic}

// isPanic reports whether the decision is a panic of the dispatcher.
func (d decision) isPanic() bool { return d.what == decidedPanic }

// decisionOfLine returns the decision that a line records.
func (n *names) decisionOfLine(line numberedLine) decision {
	recorded := panicDecision
	if action := line.action(); action != nil {
		recorded, _ = n.decisionOf(action)
	}
	recorded.line = line.number
	return recorded
}

// action returns the action of a line, or nil for a panic. Recorder.actionLine is its inverse.
func (l *Line) action() dispatch.Action {
	delay := time.Duration(l.DelayNanoseconds)
	switch l.Output {
	case outputSend:
		return dispatch.Send{Job: l.Job, Worker: l.WorkerNumber, AttemptTimeout: delay}
	case outputReject:
		return dispatch.Reject{Job: l.Job, RetryAfter: delay}
	case outputFail:
		return dispatch.Fail{Job: l.Job}
	case outputCancel:
		return dispatch.Cancel{Job: l.Job, Attempt: l.Attempt}
	case outputHealthCheck:
		return dispatch.HealthCheck{Worker: l.WorkerNumber}
	case outputCloseIdle:
		return dispatch.CloseIdleConnections{Worker: l.WorkerNumber}
	case outputSubscribe:
		return dispatch.Subscribe{}
	case outputPeerMessage:
		return dispatch.SendPeerMessage{To: l.Peer, Message: l.Message.message()}
	}
	return nil
}

// decisionOf returns the decision of an action. ok is false for an action that is not recorded, such as a timer or a log line.
func (n *names) decisionOf(action dispatch.Action) (taken decision, ok bool) {
	switch action := action.(type) {
	case dispatch.Send:
		return decision{subject: n.job(action.Job), what: n.worker(action.Worker) + suffixFor(action.AttemptTimeout)}, true
	case dispatch.Reject:
		return decision{subject: n.job(action.Job), what: decidedRejected + suffixFor(action.RetryAfter)}, true
	case dispatch.Fail:
		return decision{subject: n.job(action.Job), what: decidedFailed}, true
	case dispatch.Cancel:
		return decision{subject: n.job(action.Job), what: "attempt " + strconv.Itoa(action.Attempt) + " cancelled"}, true
	case dispatch.HealthCheck:
		return decision{subject: n.worker(action.Worker), what: decidedHealthCheck}, true
	case dispatch.CloseIdleConnections:
		return decision{subject: n.worker(action.Worker), what: decidedCloseIdle}, true
	case dispatch.Subscribe:
		return decision{subject: subjectEndpointList, what: decidedSubscribe}, true
	case dispatch.SendPeerMessage:
		return decision{subject: "scheduler " + strconv.Itoa(action.To), what: "told " + describePeerMessage(action.Message)}, true
	}
	return decision{}, false
}

// suffixFor returns the text for a duration of a decision, which is empty for 0.
func suffixFor(duration time.Duration) string {
	if duration == 0 {
		return ""
	}
	return fmt.Sprintf(" for %v", duration)
}
