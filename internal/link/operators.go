package link

import (
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
	case l.restart.NotReadyReason() != "":
		return l.restart.NotReadyReason()
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
