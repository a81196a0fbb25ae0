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

// worker is the stand-in for a worker, and for the machines that take its place. What it does is the environment's to
// say; it speaks HTTP.
type worker struct {
	driver   *driver
	number   int
	id       string // as discovery told it last
	machines []*machine
}

// machine has a listener for each scheduler.
type machine struct {
	mode      int
	listeners []*listener
}

// newWorker opens a worker. On a fault the node holds what there is to close.
func newWorker(d *driver, n int) (*worker, error) {
	k := &worker{driver: d, number: n}
	return k, k.setMode(0, simapi.AcceptAll)
}

// setMode has one of its machines accept by a mode. Those before it stay as they were told to be last.
func (n *worker) setMode(which, mode int) error {
	if which >= len(n.machines) {
		if err := n.driver.addresses.hasAddresses((which+1)*n.driver.spec.Fleet.Workers, 1); err != nil {
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

// openMachine gives a machine its addresses. It refuses until it is told how it accepts.
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

// addr is where a scheduler reaches one of its machines.
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

// workerOf finds the worker that an entry of the list stands for, and which of its machines; nil: there is none.
func (d *driver) workerOf(h *requests.Endpoint) (n *worker, which int) {
	i, which := simulation.NodeOf(h.ID)
	if i < 0 || i >= len(d.workers) {
		return nil, 0
	}
	return d.workers[i], which
}

// workerConn is a connection from a scheduler to a worker. The kernel accepts it at once, the environment when it does:
// until then what comes waits.
type workerConn struct {
	socketConn
	worker           *worker
	machine          int
	scheduler        int
	id               simapi.Conn
	open             bool
	awaitingResponse bool // what was sent last awaits its answer
	resetAfter       int  // it is reset once so many bytes have been read; 0: it isn't
	bytesRead        int  // bytes read so far
	firstByteAt      time.Duration
	requestBegun     bool // the first byte of a request has come, at first
	closing          bool // it is closed once all is written
	resetting        bool // by a reset
}

// maxReadAhead is how much a scheduler may send ahead of an answer.
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

// firstByteTime is when the first byte of the request came, in the environment's time.
func (k *workerConn) firstByteTime() time.Duration {
	return k.worker.driver.environmentTime(k.firstByteAt)
}

// accepted is the environment's accepting of it. most > 0: the far end resets it after having read so many bytes.
func (k *workerConn) accepted(most int) {
	k.open, k.resetAfter = true, most
	k.proceed()
}

// closeByWorker closes it from the worker's side.
func (k *workerConn) closeByWorker(reset bool) {
	delete(k.worker.driver.workerConns, k.id)
	if reset {
		k.reset()
	} else {
		k.close()
	}
}

// reportClosed tells the environment that it is over, by the scheduler's doing or by what the environment wanted done at some byte.
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
	k.proceed()
}

// proceed takes the next request, if it is whole and there is room for it.
func (k *workerConn) proceed() {
	if k.closed || !k.open {
		return
	}
	ended := k.resetAfter > 0 && k.bytesRead >= k.resetAfter
	if ended {
		k.received = k.received[:max(0, len(k.received)-(k.bytesRead-k.resetAfter))] // the rest was never read
		k.bytesRead = k.resetAfter
	}
	for !k.awaitingResponse && !k.closing && len(k.received) > 0 {
		q, body, n, err := k.worker.driver.reader.request(k.received)
		if err != nil {
			k.writeResponse(400, "") // what it can't read, it closes on
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

// handleRequest tells the environment of a request, or answers it where the protocol leaves nothing to say.
func (k *workerConn) handleRequest(request *http.Request, body []byte) {
	path, _, _ := strings.Cut(request.RequestURI, "?")
	switch withdrawn, isJob := strings.CutPrefix(path, "/jobs/"); {
	case request.Method == http.MethodGet && path == "/alive":
		k.awaitingResponse = true
		k.addOutput(simapi.HealthCheckWritten{Worker: k.worker.number, Conn: k.id, FirstByteAt: k.firstByteTime()})
	case request.Method == http.MethodGet && path == "/metrics/load":
		k.awaitingResponse = true
		k.addOutput(simapi.HealthCheckWritten{Worker: k.worker.number, Conn: k.id, FirstByteAt: k.firstByteTime(), WantsLoadReport: true})
	case request.Method == http.MethodDelete && isJob && withdrawn != "":
		k.awaitingResponse = true
		k.addOutput(simapi.CancellationWritten{Worker: k.worker.number, Conn: k.id, RequestID: withdrawn, FirstByteAt: k.firstByteTime()})
	case request.Method == http.MethodPost:
		k.handleAttempt(request, path, body)
	default:
		k.writeResponse(404, "")
	}
	if k.closing = k.closing || request.Close; request.Close && !k.awaitingResponse {
		k.closeWhenFlushed(false)
	}
}

// handleAttempt takes an attempt that has been read whole.
func (k *workerConn) handleAttempt(request *http.Request, path string, body []byte) {
	driver := k.worker.driver
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
	case isMisbehavingPath(path): // a misbehaving client's: a worker can't use it
		if k.worker.machines[k.machine].mode != simapi.AcceptSilently {
			k.writeResponse(400, "")
		}
		return
	}
	form := driver.requestForms.find(requestID)
	if form == nil && driver.options.Guests && !isHiddenRequest(requestID) {
		k.runGuest(requestID)
		return
	}
	if form != nil {
		// Nobody has sent the request in this form; under its own id it would pass for one that somebody has.
		if what := driver.describeAlteration(form, request, key, body); what != "" {
			if len(driver.alteredRequests) < maxAltered {
				driver.alteredRequests = append(driver.alteredRequests, fmt.Sprintf("request %s reached w-%d from scheduler %d with another %s",
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

// maxAltered is how many requests that came otherwise than a client sent them are named.
const maxAltered = 100

// respond is the worker's, by the environment.
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
	k.proceed()
}

func (k *workerConn) writeResponse(status int, fields string) {
	d := k.worker.driver
	d.writeBuffer = http1.AppendResponse(d.writeBuffer[:0], status, fields, nil, true)
	k.write(d.writeBuffer)
}

// closeWhenFlushed closes it once all that was written has left.
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
