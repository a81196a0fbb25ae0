package process

import (
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"valvecove/internal/http1"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/simulation"
)

// worker simulates a worker and the machines that replace it, one after another. It handles HTTP; the environment decides
// what it does.
type worker struct {
	driver   *driver
	number   int
	id       string     // the latest one in an endpoint list
	machines []*machine // in the order in which they came into use
}

// machine is a machine of a worker. It has a listener for each scheduler.
type machine struct {
	mode      int // how it accepts connections
	listeners []*listener
}

// newWorker opens a worker with its first machine. If it fails, the returned worker still has to be closed.
func newWorker(d *driver, n int) (*worker, error) {
	k := &worker{driver: d, number: n}
	return k, k.setMode(0, simapi.AcceptAll)
}

// setMode sets how one of the machines accepts connections, and opens the machines up to it that are not open yet. The
// modes of the other machines stay.
func (n *worker) setMode(which, mode int) error {
	if which >= len(n.machines) {
		if err := n.driver.addresses.checkCapacity((which+1)*n.driver.spec.Fleet.Workers, 1); err != nil {
			return localError{err}
		}
	}
	for which >= len(n.machines) {
		if err := n.openMachine(len(n.machines)); err != nil {
			return localError{err}
		}
	}
	m := n.machines[which]
	m.mode = mode
	for _, l := range m.listeners {
		if err := l.setMode(mode); err != nil {
			return err
		}
	}
	return nil
}

// openMachine opens a machine's listeners. They refuse connections until a mode is set.
func (n *worker) openMachine(which int) error {
	m := &machine{mode: simapi.AcceptNone}
	n.machines = append(n.machines, m)
	for sched := range n.driver.schedulers {
		l, err := n.driver.listenAt(n.addr(which, sched), func(fd int) { n.accept(which, sched, fd) }, n.driver.fail)
		if err != nil {
			return err
		}
		m.listeners = append(m.listeners, l)
	}
	return nil
}

// addr is the address at which a scheduler reaches one of the machines.
func (n *worker) addr(which, sched int) netip.AddrPort {
	return n.driver.addresses.worker(n.number+which*n.driver.spec.Fleet.Workers, sched)
}

func (n *worker) close() {
	for _, m := range n.machines {
		for _, l := range m.listeners {
			l.close()
		}
	}
}

// workerOf returns the worker of an entry of the endpoint list, and the index of its machine; nil if there is no such worker.
func (d *driver) workerOf(h *requests.Endpoint) (n *worker, which int) {
	i, which := simulation.NodeOf(h.ID)
	if i < 0 || i >= len(d.workers) {
		return nil, 0
	}
	return d.workers[i], which
}

// workerConn is a connection from a scheduler to a worker. The kernel establishes it at once. Received data waits until
// the environment accepts the connection too.
type workerConn struct {
	socketConn
	worker           *worker
	machine          int
	scheduler        int
	id               simapi.Conn
	open             bool          // the environment has accepted it
	awaitingResponse bool          // the environment still has to respond to the last request
	resetAfter       int           // bytes of data after which the worker resets it; 0: never
	bytesRead        int           // bytes received so far
	firstByteAt      time.Duration // when the first byte of the current request came, on the loop's clock
	requestBegun     bool          // the first byte of a request has come
	closing          bool          // it is closed once everything is written
	resetting        bool          // by a reset
}

// maxReadAhead limits the bytes that a scheduler may send before the response to an earlier request. Beyond it the
// connection is reset.
const maxReadAhead = 256 << 10

func (n *worker) accept(which, sched, fd int) {
	s := n.driver.schedulers[sched]
	s.connCount++
	k := &workerConn{worker: n, machine: which, scheduler: sched, id: simapi.WorkerConn(sched, s.connCount)}
	if err := n.driver.adopt(&k.socketConn, fd, k); err != nil {
		n.driver.fail(err)
		return
	}
	n.driver.workerConns[k.id] = k
	k.addOutput(simapi.WorkerDialed{Worker: n.number, Machine: which, Conn: k.id})
}

func (k *workerConn) addOutput(message simapi.OutputMessage) {
	k.worker.driver.addOutput(k.scheduler, message)
}

// firstByteTime is when the first byte of the current request came, in the environment's time.
func (k *workerConn) firstByteTime() time.Duration {
	return k.worker.driver.environmentTime(k.firstByteAt)
}

// accepted handles the environment's acceptance of the connection. If resetAfter is above 0, the worker resets the
// connection after so many bytes.
func (k *workerConn) accepted(resetAfter int) {
	k.open, k.resetAfter = true, resetAfter
	k.handleReceived()
}

// closeByWorker closes the connection from the worker's side, without a report to the environment.
func (k *workerConn) closeByWorker(reset bool) {
	delete(k.worker.driver.workerConns, k.id)
	if reset {
		k.reset()
	} else {
		k.close()
	}
}

// reportClosed reports to the environment that the connection has closed: by the scheduler, or by a reset after the number
// of bytes that the environment set.
func (k *workerConn) reportClosed() {
	delete(k.worker.driver.workerConns, k.id)
	k.addOutput(simapi.WorkerConnClosed{Worker: k.worker.number, Conn: k.id})
}

func (k *workerConn) connClosed(error) { k.reportClosed() }

func (k *workerConn) dataReceived(fresh int) {
	if !k.requestBegun {
		k.requestBegun, k.firstByteAt = true, k.poller.now
	}
	k.bytesRead += fresh
	k.handleReceived()
}

// handleReceived handles the received requests that are complete, up to the first that the environment has to respond to. It
// resets the connection once it has received resetAfter bytes, or more than maxReadAhead unhandled ones.
func (k *workerConn) handleReceived() {
	if k.closed || !k.open {
		return
	}
	ended := k.resetAfter > 0 && k.bytesRead >= k.resetAfter
	if ended {
		k.received = k.received[:max(0, len(k.received)-(k.bytesRead-k.resetAfter))] // the worker does not read the rest
		k.bytesRead = k.resetAfter
	}
	for !k.awaitingResponse && !k.closing && len(k.received) > 0 {
		q, body, n, err := k.worker.driver.reader.request(k.received)
		if err != nil {
			k.writeResponse(400, "") // a malformed request; the connection can't be used any more
			k.closeWhenFlushed(false)
			break
		}
		if n == 0 {
			break
		}
		k.handleRequest(q, body)
		k.consume(n)
		k.requestBegun, k.firstByteAt = len(k.received) > 0, k.poller.now
	}
	if !k.closed && (ended || len(k.received) > maxReadAhead) {
		k.reset()
		k.reportClosed()
	}
}

// handleRequest passes a request on to the environment, or responds to it where the protocol alone determines the response.
func (k *workerConn) handleRequest(request *http.Request, body []byte) {
	path, _, _ := strings.Cut(request.RequestURI, "?")
	switch cancelledID, isJob := strings.CutPrefix(path, "/jobs/"); {
	case request.Method == http.MethodGet && path == "/alive":
		k.awaitingResponse = true
		k.addOutput(simapi.HealthCheckWritten{Worker: k.worker.number, Conn: k.id, FirstByteAt: k.firstByteTime()})
	case request.Method == http.MethodGet && path == "/metrics/load":
		k.awaitingResponse = true
		k.addOutput(simapi.HealthCheckWritten{Worker: k.worker.number, Conn: k.id, FirstByteAt: k.firstByteTime(), WantsLoadReport: true})
	case request.Method == http.MethodDelete && isJob && cancelledID != "":
		k.awaitingResponse = true
		k.addOutput(simapi.CancellationWritten{Worker: k.worker.number, Conn: k.id, RequestID: cancelledID, FirstByteAt: k.firstByteTime()})
	case request.Method == http.MethodPost:
		k.handleAttempt(request, path, body)
	default:
		k.writeResponse(404, "")
	}
	if k.closing = k.closing || request.Close; request.Close && !k.awaitingResponse {
		k.closeWhenFlushed(false)
	}
}

// handleAttempt checks an attempt and passes it on to the environment.
func (k *workerConn) handleAttempt(request *http.Request, path string, body []byte) {
	loop := k.worker.driver
	requestID, ok := singleValue(request.Header, "X-Call-Id")
	key, ok2 := singleValue(request.Header, "Idempotency-Key")
	budget, ok3 := singleValue(request.Header, "X-Budget-Ms")
	budgetMs, err := strconv.ParseUint(budget, 10, 40)
	switch {
	case requestID == "":
		k.writeResponse(404, "")
		return
	case !ok || !ok2 || !ok3 || budget != "" && err != nil:
		k.writeResponse(400, "")
		return
	case isMisbehavingPath(path): // a misbehaving client's request; a machine that is cut off does not respond
		if k.worker.machines[k.machine].mode != simapi.AcceptSilently {
			k.writeResponse(400, "")
		}
		return
	}
	form := loop.requestForms.find(requestID)
	if form == nil && loop.options.Guests && !isHiddenRequest(requestID) {
		k.runGuest(requestID)
		return
	}
	if form != nil {
		// The request was altered on the way. It gets another id, as the environment would take it for the client's
		// request otherwise.
		if what := loop.describeAlteration(form, request, key, body); what != "" {
			if len(loop.alteredRequests) < maxAltered {
				loop.alteredRequests = append(loop.alteredRequests, fmt.Sprintf("request %s reached w-%d from scheduler %d with another %s",
					requestID, k.worker.number, k.scheduler, what))
			}
			requestID += "!" + what
		}
	}
	k.awaitingResponse = true
	k.addOutput(simapi.AttemptWritten{
		Worker: k.worker.number, Conn: k.id, RequestID: requestID, IdempotencyKey: key,
		Budget: time.Duration(budgetMs) * time.Millisecond, FirstByteAt: k.firstByteTime(),
	})
}

const maxAltered = 100 // altered requests that Outcome.AlteredRequests lists

// respond sends the environment's response to the last request. If only some bytes of it are to be sent, the connection is
// reset after them.
func (k *workerConn) respond(response *simapi.ResponseReceived) {
	fields := ""
	if response.Rejected {
		fields = "X-Rejected: 1\r\n"
	}
	if response.Bytes > 0 {
		b := http1.AppendResponse(nil, response.Status, fields, nil, true)
		k.awaitingResponse = false
		k.write(b[:min(response.Bytes, len(b))])
		k.closeWhenFlushed(true)
		return
	}
	k.writeResponse(response.Status, fields)
	k.awaitingResponse = false
	if k.closing {
		k.closeWhenFlushed(false)
		return
	}
	k.handleReceived()
}

func (k *workerConn) writeResponse(status int, fields string) {
	d := k.worker.driver
	d.writeBuffer = http1.AppendResponse(d.writeBuffer[:0], status, fields, nil, true)
	k.write(d.writeBuffer)
}

// closeWhenFlushed closes the connection, by a reset if so wanted, once everything is written.
func (k *workerConn) closeWhenFlushed(reset bool) {
	k.closing, k.resetting = true, reset
	if len(k.unsent) == 0 {
		k.flushed()
	}
}

func (k *workerConn) flushed() {
	if k.closing && !k.awaitingResponse && !k.closed {
		k.closeByWorker(k.resetting)
		k.addOutput(simapi.WorkerConnClosed{Worker: k.worker.number, Conn: k.id})
	}
}
