package link

import (
	"net/url"
	"strings"

	"valvecove/internal/metrics"
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

// handleCall does what an operator asks for.
func (c *operatorConnection) handleCall(method, target string) {
	c.state = callPending
	c.DropInput()
	c.lastActivity = c.listener.loop.Now()
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

// parseWorkerPath returns the worker and the action that a path names; ok is false if it names none.
func parseWorkerPath(path string) (workerID, action string, ok bool) {
	suffix, isWorkerPath := strings.CutPrefix(path, pathWorkers)
	escapedID, action, _ := strings.Cut(suffix, "/")
	workerID, err := url.PathUnescape(escapedID)
	if !isWorkerPath || err != nil || workerID == "" || action != actionCordon && action != actionUncordon {
		return "", "", false
	}
	return workerID, action, true
}

// checkMethod responds to a call with another method than the allowed one, and reports whether it has that one.
func (c *operatorConnection) checkMethod(method, allowed string) bool {
	if method != allowed {
		c.respond(405, "Allow: "+allowed+"\r\n", []byte(allowed+" only\n"))
	}
	return method == allowed
}

func (c *operatorConnection) respondReady() {
	if reason := c.listener.loop.notReadyReason(); reason != "" {
		c.respond(503, "", []byte(reason+"\n"))
		return
	}
	c.respond(200, "", []byte("ready\n"))
}

func (c *operatorConnection) respondMetrics() {
	listener, loop := c.listener, c.listener.loop
	listener.metricsText = listener.counters.AppendText(listener.metricsText[:0], metrics.Gauges{
		OpenRequests:    loop.inFlightCount(),
		ListedWorkers:   loop.Requests.ListedCount(),
		AvoidedWorkers:  loop.avoidedCount(),
		UnstoredCordons: loop.unstoredCordonCount(),
		Peers:           loop.peerCounts(listener.counters.AttemptsWritten()),
	})
	c.respond(200, "Content-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\n", listener.metricsText)
}

// respondCordons responds with the cordoned workers, and whether they are stored. Only the process that owns them knows.
func (c *operatorConnection) respondCordons() {
	loop := c.listener.loop
	switch {
	case loop.hasRelinquished():
		c.respond(503, "", []byte("this process has been replaced\n"))
	case loop.successorRole != nil && !loop.successorRole.isServing():
		c.respond(503, "", []byte("this process stands by\n"))
	default:
		c.respond(200, "Content-Type: application/json\r\nCache-Control: no-store\r\n", loop.cordonReport())
	}
}

// setCordoned cordons or uncordons a worker, and responds once that holds and is stored.
func (c *operatorConnection) setCordoned(workerID string, cordoned bool) {
	c.listener.loop.setCordoned(workerID, cordoned, func(statusCode int, message string) {
		c.respond(statusCode, "", []byte(message+"\n"))
	})
}

// notReadyReason returns why this process is not ready to serve; empty: it is.
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

// avoidedCount counts the listed workers that the dispatcher avoids.
func (l *Loop) avoidedCount() int {
	if l.dispatcher == nil {
		return 0
	}
	return l.dispatcher.AvoidedWorkers()
}

// inFlightCount counts the requests that this process has admitted and that are not over.
func (l *Loop) inFlightCount() int {
	if l.hasRelinquished() {
		return 0
	}
	return l.Requests.OpenCount()
}
