package link

import (
	"net/http"

	"valvecove/internal/management"
	"valvecove/internal/metrics"
)

// operatorView is what operators are shown of a scheduler.
type operatorView struct {
	loop     *Loop
	counters *metrics.Counters
}

// NotReadyReason returns why this process is not ready to serve; an empty string if it is.
func (v operatorView) NotReadyReason() string { return v.loop.notReadyReason() }

// Gauges returns the gauges of the metrics call.
func (v operatorView) Gauges() metrics.Gauges {
	return metrics.Gauges{
		OpenRequests:    v.loop.openRequestCount(),
		ListedWorkers:   v.loop.Requests.ListedCount(),
		AvoidedWorkers:  v.loop.avoidedCount(),
		UnstoredCordons: v.loop.cordons.UnstoredCount(),
		Peers:           v.loop.peerCounts(v.counters.AttemptsWritten()),
	}
}

func (l *Loop) notReadyReason() string {
	switch {
	case l.hasRelinquished():
		return "replaced"
	case l.clients.IsDraining():
		return "draining"
	case l.successorRole != nil && l.successorRole.notReadyReason() != "":
		return l.successorRole.notReadyReason()
	case l.Requests.AwaitsEndpoints():
		return "no word from discovery yet"
	case !l.Requests.HasReadyWorker():
		return "no worker node known"
	}
	return ""
}

// avoidedCount returns the number of listed workers that the dispatcher avoids.
func (l *Loop) avoidedCount() int {
	if l.dispatcher == nil {
		return 0
	}
	return l.dispatcher.AvoidedWorkers()
}

// openRequestCount returns the number of requests that this process owns and has not answered.
func (l *Loop) openRequestCount() int {
	if l.hasRelinquished() {
		return 0
	}
	return l.Requests.OpenCount()
}

// cordonRole is the part of a scheduler in a hot restart, as cordons see it.
type cordonRole struct{ loop *Loop }

var _ management.Role = cordonRole{}

// HasRelinquished reports whether a successor owns the requests.
func (r cordonRole) HasRelinquished() bool { return r.loop.hasRelinquished() }

// IsStandby reports whether a predecessor owns the requests.
func (r cordonRole) IsStandby() bool { return r.loop.isStandby() }

// ForwardCordon forwards a call to the process that owns the requests.
func (r cordonRole) ForwardCordon(workerID string, cordoned bool, respond management.RespondFunc) {
	if !r.loop.hasRelinquished() {
		r.loop.successorRole.forwardCordonToPredecessor(workerID, cordoned, respond)
		return
	}
	successor := r.loop.predecessorRole.successor
	if successor == nil {
		respond(http.StatusServiceUnavailable, "this process has been replaced")
		return
	}
	successor.forwardCordonToSuccessor(workerID, cordoned, respond)
}

// CordonsChanged notifies a successor in standby of the cordoned workers.
func (r cordonRole) CordonsChanged() { r.loop.notifyCordoned() }
