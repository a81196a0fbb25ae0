package management

import (
	"net/url"
	"strings"
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
func (c *operatorConnection) handleCall(method, target string) {
	c.state = callPending
	c.DropInput()
	c.lastActivity = c.operators.loop.Now()
	path, _, _ := strings.Cut(target, "?")
	workerID, action, isWorkerCall := parseWorkerPath(path)
	switch {
	case path == pathReady:
		if c.checkMethod(method, "GET") {
			c.respondReady()
		}
	case path == pathMetrics:
		if c.checkMethod(method, "GET") {
			c.respondMetrics()
		}
	case path == pathCordons:
		if c.checkMethod(method, "GET") {
			c.respondCordons()
		}
	case isWorkerCall:
		if c.checkMethod(method, "PUT") {
			c.setCordoned(workerID, action == actionCordon)
		}
	default:
		c.respond(404, "", []byte("no such path\n"))
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

// checkMethod reports whether a call has the allowed method. If not, the call is answered.
func (c *operatorConnection) checkMethod(method, allowed string) bool {
	if method != allowed {
		c.respond(405, "Allow: "+allowed+"\r\n", []byte(allowed+" only\n"))
	}
	return method == allowed
}

func (c *operatorConnection) respondReady() {
	if reason := c.operators.config.Scheduler.NotReadyReason(); reason != "" {
		c.respond(503, "", []byte(reason+"\n"))
		return
	}
	c.respond(200, "", []byte("ready\n"))
}

func (c *operatorConnection) respondMetrics() {
	operators := c.operators
	operators.metricsText = operators.config.Counters.AppendText(operators.metricsText[:0], operators.config.Scheduler.Gauges())
	c.respond(200, plainText, operators.metricsText)
}

// respondCordons responds with the cordoned workers, and whether they are stored. Only the process that owns the requests knows.
func (c *operatorConnection) respondCordons() {
	cordons := c.operators.config.Cordons
	switch {
	case cordons.config.Role.HasRelinquished():
		c.respond(503, "", []byte("this process has been replaced\n"))
	case cordons.config.Role.IsStandby():
		c.respond(503, "", []byte("this process stands by\n"))
	default:
		c.respond(200, jsonText, cordons.report())
	}
}

// setCordoned cordons or uncordons a worker, and responds once the change is in effect and stored.
func (c *operatorConnection) setCordoned(workerID string, cordoned bool) {
	c.operators.config.Cordons.Set(workerID, cordoned, func(statusCode int, message string) {
		c.respond(statusCode, "", []byte(message+"\n"))
	})
}
