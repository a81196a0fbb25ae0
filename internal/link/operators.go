package link

import (
	"errors"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/tally"
)

const (
	maxOperatorConnections    = 16                     // operator links at once
	operatorCallTimeout       = 2 * time.Second        // a caller waits 1 s; one that has not sent its call by then never will
	operatorResultTimeout     = 600 * time.Millisecond // and is told so when what it asks for takes longer
	operatorConnectionTimeout = 3 * time.Second        // and for the answer to leave
)

// Paths of the operators' calls.
const (
	pathReady   = "/v1/readyz"
	pathMetrics = "/v1/metrics"
	pathWorkers = "/v1/worker-nodes/"
)

// operatorListener answer operators at the management address. In each turn of the loop they come first: an operator is
// answered however busy the scheduler is.
type operatorListener struct {
	auxiliaryListener // the oldest first
	count             *tally.Tally
	metricsText       []byte
}

// operatorConnection is one of them. It carries one call.
type operatorConnection struct {
	auxiliaryConnection
	listener     *operatorListener
	callRead     bool // its call is whole
	continueSent bool // it was told to send on
}

// Priority puts operators first.
func (o *operatorListener) Priority() eventloop.Priority { return eventloop.PriorityUrgent }

// Priority puts operators first.
func (k *operatorConnection) Priority() eventloop.Priority { return eventloop.PriorityUrgent }

// serveOperators answers the operators' calls at their own address.
func (l *Loop) serveOperators(at netip.AddrPort, count *tally.Tally) (err error) {
	o := &operatorListener{auxiliaryListener: auxiliaryListener{loop: l}, count: count}
	if o.fd, err = l.Listen(at, o); err == nil {
		l.operators = o
		o.closeExpired()
	}
	return err
}

// HandleEvents accepts whoever connects: the address is the operators' alone.
func (o *operatorListener) HandleEvents(uint32) {
	o.accept(maxOperatorConnections, func(int, netip.AddrPort) bool { return true }, o.addConnection)
}

// addConnection makes a link of a connection. Where there are too many, the oldest goes that does not wait for its answer: one
// that stalls never keeps out a good one.
func (o *operatorListener) addConnection(fd int) {
	if o.connections.Len() >= maxOperatorConnections {
		oldest := o.connections.Front().Value.(*operatorConnection)
		for e := o.connections.Front(); e != nil; e = e.Next() {
			if k := e.Value.(*operatorConnection); !k.callRead || k.lastResponse {
				oldest = k
				break
			}
		}
		oldest.terminate()
	}
	k := &operatorConnection{listener: o}
	if o.open(fd, &k.auxiliaryConnection, k) {
		// What it calls for has most likely come with it, and another turn may be long.
		o.loop.Protect(k, func() { k.HandleEvents(unix.EPOLLIN) })
	}
}

// closeExpired ends links whose call does not come, or whose answer is not taken.
func (o *operatorListener) closeExpired() {
	o.loop.StartTimer(expiryInterval, o, o.closeExpired)
	for e := o.connections.Front(); e != nil; {
		k := e.Value.(*operatorConnection)
		e = e.Next()
		switch age := o.loop.Now() - k.lastActivity; {
		case !k.callRead && age >= operatorCallTimeout:
			k.respondOnce(408, "", []byte("call not whole\n"))
		case k.callRead && !k.lastResponse && age >= operatorResultTimeout: // for a directory, or another process
			k.respondOnce(503, "", []byte("not done in time\n"))
		case age >= operatorConnectionTimeout:
			k.terminate()
		}
	}
}

func (k *operatorConnection) HandleEvents(events uint32) {
	ended, ok := k.transfer(events)
	if !ok {
		return
	}
	if !k.callRead && len(k.Input()) > 0 {
		m := &k.listener.loop.request
		_, err := m.Parse(k.Input())
		var bad *http1.ParseError
		switch {
		case errors.As(err, &bad):
			k.respondOnce(bad.StatusCode, "", []byte(bad.Reason+"\n"))
		case err == nil:
			k.handleCall(string(m.Method), string(m.Target))
		case m.ExpectContinue && !ended && !k.continueSent:
			k.continueSent = true
			_ = k.Send([]byte(http1.ContinueResponse))
		}
	} else if k.callRead {
		k.DropInput() // what comes behind a call is nothing to us
	}
	switch {
	case !k.IsOpen() || !ended:
	case len(k.Output()) == 0 && (k.lastResponse || !k.callRead):
		k.terminate()
	default: // its end is told for as long as it is asked for
		k.SetEvents(k.Events() &^ eventloop.StreamEvents)
	}
}

// handleCall does what an operator asks for.
func (k *operatorConnection) handleCall(method, target string) {
	k.callRead = true
	k.DropInput()
	k.lastActivity = k.listener.loop.Now()
	path, _, _ := strings.Cut(target, "?")
	want := "GET"
	node, what, _ := strings.Cut(strings.TrimPrefix(path, pathWorkers), "/")
	id, err := url.PathUnescape(node)
	switch {
	case path == pathReady || path == pathMetrics:
	case strings.HasPrefix(path, pathWorkers) && (what == "suspend" || what == "resume") && err == nil && id != "":
		want = "PUT"
	default:
		k.respondOnce(404, "", []byte("no such path\n"))
		return
	}
	if method != want {
		k.respondOnce(405, "Allow: "+want+"\r\n", []byte(want+" only\n"))
		return
	}
	switch path {
	case pathReady:
		if why := k.listener.loop.notReadyReason(); why != "" {
			k.respondOnce(503, "", []byte(why+"\n"))
		} else {
			k.respondOnce(200, "", []byte("ready\n"))
		}
	case pathMetrics:
		o := k.listener
		o.metricsText = o.count.Append(o.metricsText[:0], tally.Now{
			Inflight: k.listener.loop.inFlightCount(), Listed: k.listener.loop.Requests.ListedCount(),
			Down: k.listener.loop.avoidedCount(),
		})
		k.respondOnce(200, "Content-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\n", o.metricsText)
	default:
		k.setCordoned(id, what == "suspend")
	}
}

// setCordoned cordons or uncordons a worker, and answers once that holds and is stored.
func (k *operatorConnection) setCordoned(workerID string, cordoned bool) {
	k.listener.loop.setCordoned(workerID, cordoned, func(statusCode int, message string) {
		k.respondOnce(statusCode, "", []byte(message+"\n"))
	})
}

// respondOnce ends the call.
func (k *operatorConnection) respondOnce(code int, fields string, body []byte) {
	if k.IsOpen() && !k.lastResponse {
		k.callRead = true
		k.respond(code, fields, body, false)
	}
}

// notReadyReason tells why this process is not ready to serve; nothing if it is.
func (l *Loop) notReadyReason() string {
	switch {
	case l.hasRelinquished():
		return "replaced"
	case l.clients.draining:
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

// avoidedCount counts the listed worker nodes that the module avoids.
func (l *Loop) avoidedCount() int {
	if l.dispatcher == nil {
		return 0
	}
	return l.dispatcher.AvoidedWorkers()
}

// inFlightCount counts the jobs that this process has taken and that have not ended.
func (l *Loop) inFlightCount() int {
	if l.hasRelinquished() {
		return 0
	}
	return l.Requests.OpenCount()
}
