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
func (w *worker) setMode(which, mode int) error {
	if which >= len(w.machines) {
		if err := w.driver.addresses.checkCapacity((which+1)*w.driver.spec.Fleet.Workers, 1); err != nil {
			return localError{err}
		}
	}
	for which >= len(w.machines) {
		if err := w.openMachine(len(w.machines)); err != nil {
			return localError{err}
		}
	}
	m := w.machines[which]
	m.mode = mode
	for _, l := range m.listeners {
		if err := l.setMode(mode); err != nil {
			return err
		}
	}
	return nil
}

// openMachine opens a machine's listeners. They refuse connections until a mode is set.
func (w *worker) openMachine(which int) error {
	m := &machine{mode: simapi.AcceptNone}
	w.machines = append(w.machines, m)
	for sched := range w.driver.schedulers {
		l, err := w.driver.listenAt(w.addr(which, sched), func(fd int) { w.accept(which, sched, fd) }, w.driver.fail)
		if err != nil {
			return err
		}
		m.listeners = append(m.listeners, l)
	}
	return nil
}

// addr is the address at which a scheduler reaches one of the machines.
func (w *worker) addr(which, sched int) netip.AddrPort {
	return w.driver.addresses.worker(w.number+which*w.driver.spec.Fleet.Workers, sched)
}

func (w *worker) close() {
	for _, m := range w.machines {
		for _, l := range m.listeners {
			l.close()
		}
	}
}

// workerOf returns the worker of an entry of the endpoint list, and the index of its machine; nil if there is no such worker.
func (d *driver) workerOf(h *requests.Endpoint) (n *worker, which int) {
	i, which := simulation.ParseWorkerID(h.ID)
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

func (w *worker) accept(which, sched, fd int) {
	s := w.driver.schedulers[sched]
	s.connCount++
	k := &workerConn{worker: w, machine: which, scheduler: sched, id: simapi.WorkerConn(sched, s.connCount)}
	if err := w.driver.adopt(&k.socketConn, fd, k); err != nil {
		w.driver.fail(err)
		return
	}
	w.driver.workerConns[k.id] = k
	k.addOutput(simapi.WorkerDialed{Worker: w.number, Machine: which, Conn: k.id})
}

func (c *workerConn) addOutput(message simapi.OutputMessage) {
	c.worker.driver.addOutput(c.scheduler, message)
}

// firstByteTime is when the first byte of the current request came, in the environment's time.
func (c *workerConn) firstByteTime() time.Duration {
	return c.worker.driver.environmentTime(c.firstByteAt)
}

// accepted handles the environment's acceptance of the connection. If resetAfter is above 0, the worker resets the
// connection after so many bytes.
func (c *workerConn) accepted(resetAfter int) {
	c.open, c.resetAfter = true, resetAfter
	c.handleReceived()
}

// closeByWorker closes the connection from the worker's side, without a report to the environment.
func (c *workerConn) closeByWorker(reset bool) {
	delete(c.worker.driver.workerConns, c.id)
	if reset {
		c.reset()
	} else {
		c.close()
	}
}

// reportClosed reports to the environment that the connection has closed: by the scheduler, or by a reset after the number
// of bytes that the environment set.
func (c *workerConn) reportClosed() {
	delete(c.worker.driver.workerConns, c.id)
	c.addOutput(simapi.WorkerConnClosed{Worker: c.worker.number, Conn: c.id})
}

func (c *workerConn) connClosed(error) { c.reportClosed() }

func (c *workerConn) dataReceived(fresh int) {
	if !c.requestBegun {
		c.requestBegun, c.firstByteAt = true, c.poller.now
	}
	c.bytesRead += fresh
	c.handleReceived()
}

// handleReceived handles the received requests that are complete, up to the first that the environment has to respond to. It
// resets the connection once it has received resetAfter bytes, or more than maxReadAhead unhandled ones.
func (c *workerConn) handleReceived() {
	if c.closed || !c.open {
		return
	}
	ended := c.resetAfter > 0 && c.bytesRead >= c.resetAfter
	if ended {
		c.received = c.received[:max(0, len(c.received)-(c.bytesRead-c.resetAfter))] // the worker does not read the rest
		c.bytesRead = c.resetAfter
	}
	for !c.awaitingResponse && !c.closing && len(c.received) > 0 {
		q, body, n, err := c.worker.driver.reader.request(c.received)
		if err != nil {
			c.writeResponse(400, "") // a malformed request; the connection can't be used any more
			c.closeWhenFlushed(false)
			break
		}
		if n == 0 {
			break
		}
		c.handleRequest(q, body)
		c.consume(n)
		c.requestBegun, c.firstByteAt = len(c.received) > 0, c.poller.now
	}
	if !c.closed && (ended || len(c.received) > maxReadAhead) {
		c.reset()
		c.reportClosed()
	}
}

// handleRequest passes a request on to the environment, or responds to it where the protocol alone determines the response.
func (c *workerConn) handleRequest(request *http.Request, body []byte) {
	path, _, _ := strings.Cut(request.RequestURI, "?")
	switch cancelledID, isJob := strings.CutPrefix(path, "/jobs/"); {
	case request.Method == http.MethodGet && path == "/alive":
		c.awaitingResponse = true
		c.addOutput(simapi.HealthCheckWritten{Worker: c.worker.number, Conn: c.id, FirstByteAt: c.firstByteTime()})
	case request.Method == http.MethodGet && path == "/metrics/load":
		c.awaitingResponse = true
		c.addOutput(simapi.HealthCheckWritten{Worker: c.worker.number, Conn: c.id, FirstByteAt: c.firstByteTime(), WantsLoadReport: true})
	case request.Method == http.MethodDelete && isJob && cancelledID != "":
		c.awaitingResponse = true
		c.addOutput(simapi.CancellationWritten{Worker: c.worker.number, Conn: c.id, RequestID: cancelledID, FirstByteAt: c.firstByteTime()})
	case request.Method == http.MethodPost:
		c.handleAttempt(request, path, body)
	default:
		c.writeResponse(404, "")
	}
	if c.closing = c.closing || request.Close; request.Close && !c.awaitingResponse {
		c.closeWhenFlushed(false)
	}
}

// handleAttempt checks an attempt and passes it on to the environment.
func (c *workerConn) handleAttempt(request *http.Request, path string, body []byte) {
	loop := c.worker.driver
	requestID, ok := singleValue(request.Header, "X-Call-Id")
	key, ok2 := singleValue(request.Header, "Idempotency-Key")
	budget, ok3 := singleValue(request.Header, "X-Budget-Ms")
	budgetMs, err := strconv.ParseUint(budget, 10, 40)
	switch {
	case requestID == "":
		c.writeResponse(404, "")
		return
	case !ok || !ok2 || !ok3 || budget != "" && err != nil:
		c.writeResponse(400, "")
		return
	case isMisbehavingPath(path): // a misbehaving client's request; a machine that is cut off does not respond
		if c.worker.machines[c.machine].mode != simapi.AcceptSilently {
			c.writeResponse(400, "")
		}
		return
	}
	form := loop.requestForms.find(requestID)
	if form == nil && loop.options.Guests && !isHiddenRequest(requestID) {
		c.runGuest(requestID)
		return
	}
	if form != nil {
		// The request was altered on the way. It gets another id, as the environment would take it for the client's
		// request otherwise.
		if what := loop.describeAlteration(form, request, key, body); what != "" {
			if len(loop.alteredRequests) < maxAltered {
				loop.alteredRequests = append(loop.alteredRequests, fmt.Sprintf("request %s reached w-%d from scheduler %d with another %s",
					requestID, c.worker.number, c.scheduler, what))
			}
			requestID += "!" + what
		}
	}
	c.awaitingResponse = true
	c.addOutput(simapi.AttemptWritten{
		Worker: c.worker.number, Conn: c.id, RequestID: requestID, IdempotencyKey: key,
		Budget: time.Duration(budgetMs) * time.Millisecond, FirstByteAt: c.firstByteTime(),
	})
}

const maxAltered = 100 // altered requests that Outcome.AlteredRequests lists

// respond sends the environment's response to the last request. If only some bytes of it are to be sent, the connection is
// reset after them.
func (c *workerConn) respond(response *simapi.ResponseReceived) {
	fields := ""
	if response.Rejected {
		fields = "X-Rejected: 1\r\n"
	}
	if response.Bytes > 0 {
		b := http1.AppendResponse(nil, response.Status, fields, nil, true)
		c.awaitingResponse = false
		c.write(b[:min(response.Bytes, len(b))])
		c.closeWhenFlushed(true)
		return
	}
	c.writeResponse(response.Status, fields)
	c.awaitingResponse = false
	if c.closing {
		c.closeWhenFlushed(false)
		return
	}
	c.handleReceived()
}

func (c *workerConn) writeResponse(status int, fields string) {
	d := c.worker.driver
	d.writeBuffer = http1.AppendResponse(d.writeBuffer[:0], status, fields, nil, true)
	c.write(d.writeBuffer)
}

// closeWhenFlushed closes the connection, by a reset if so wanted, once everything is written.
func (c *workerConn) closeWhenFlushed(reset bool) {
	c.closing, c.resetting = true, reset
	if len(c.unsent) == 0 {
		c.flushed()
	}
}

func (c *workerConn) flushed() {
	if c.closing && !c.awaitingResponse && !c.closed {
		c.closeByWorker(c.resetting)
		c.addOutput(simapi.WorkerConnClosed{Worker: c.worker.number, Conn: c.id})
	}
}
