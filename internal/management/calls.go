package management

import (
	"net/url"
	"strings"

	"valvecove/internal/http1"
)

// Paths of the operators' calls.
const (
	pathReady   = "/v1/readyz"
	pathMetrics = "/v1/metrics"
	pathCordons = "/v1/worker-nodes"
	pathWorkers = "/v1/worker-nodes/" // followed by a worker's ID and an action
)

// Actions on a worker.
const (
	actionCordon   = "suspend"
	actionUncordon = "resume"
)

// Header lines of responses.
const (
	plainText = "Content-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\n"
	jsonText  = "Content-Type: application/json\r\nCache-Control: no-store\r\n"
)

// handleCall carries out a call.
func (o *operatorConnection) handleCall(method, target string) {
	o.state = callPending
	o.DropInput()
	o.lastActivity = o.operators.loop.Now()
	path, _, _ := strings.Cut(target, "?")
	workerID, action, isWorkerCall := parseWorkerPath(path)
	switch {
	case path == pathReady:
		if o.checkMethod(method, "GET") {
			o.respondReady()
		}
	case path == pathMetrics:
		if o.checkMethod(method, "GET") {
			o.respondMetrics()
		}
	case path == pathCordons:
		if o.checkMethod(method, "GET") {
			o.respondCordons()
		}
	case isWorkerCall:
		if o.checkMethod(method, "PUT") {
			o.setCordoned(workerID, action == actionCordon)
		}
	default:
		o.respond(http1.StatusNotFound, "", []byte("no such path\n"))
	}
}

// parseWorkerPath returns the worker ID and the action of a path; ok is false for a path of another form.
func parseWorkerPath(path string) (workerID, action string, ok bool) {
	suffix, isWorkerPath := strings.CutPrefix(path, pathWorkers)
	escapedID, action, _ := strings.Cut(suffix, "/")
	workerID, err := url.PathUnescape(escapedID)
	if !isWorkerPath || err != nil || workerID == "" || action != actionCordon && action != actionUncordon {
		return "", "", false
	}
	return workerID, action, true
}

// checkMethod reports whether a call has the allowed method. If not, it responds to the call.
func (o *operatorConnection) checkMethod(method, allowed string) bool {
	if method != allowed {
		o.respond(http1.StatusMethodNotAllowed, "Allow: "+allowed+"\r\n", []byte(allowed+" only\n"))
	}
	return method == allowed
}

func (o *operatorConnection) respondReady() {
	if reason := o.operators.config.Scheduler.NotReadyReason(); reason != "" {
		o.respond(http1.StatusServiceUnavailable, "", []byte(reason+"\n"))
		return
	}
	o.respond(http1.StatusOK, "", []byte("ready\n"))
}

func (o *operatorConnection) respondMetrics() {
	operators := o.operators
	operators.metricsText = operators.config.Counters.AppendText(operators.metricsText[:0], operators.config.Scheduler.Gauges())
	o.respond(http1.StatusOK, plainText, operators.metricsText)
}

// respondCordons responds with the cordoned workers, and whether they are stored. Only the process that owns the requests has
// this information.
func (o *operatorConnection) respondCordons() {
	cordons := o.operators.config.Cordons
	switch {
	case cordons.config.Role.HasRelinquished():
		o.respond(http1.StatusServiceUnavailable, "", []byte("this process has been replaced\n"))
	case cordons.config.Role.IsStandby():
		o.respond(http1.StatusServiceUnavailable, "", []byte("this process stands by\n"))
	default:
		o.respond(http1.StatusOK, jsonText, cordons.report())
	}
}

// setCordoned cordons or uncordons a worker, and responds once the change is in effect and stored.
func (o *operatorConnection) setCordoned(workerID string, cordoned bool) {
	o.operators.config.Cordons.Set(workerID, cordoned, func(statusCode int, message string) {
		o.respond(statusCode, "", []byte(message+"\n"))
	})
}
