package fleet

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"valvecove/internal/http1"
)

// worker is a simulated worker. Its jobs wait in one first-in, first-out queue, and each occupies a slot for the same time.
// A job that the scheduler cancels runs to its end, as on a real worker.
type worker struct {
	engine     *engine
	rig        *Rig
	number     int
	id         string
	address    netip.AddrPort
	listener   *listener // nil while its process is down
	conns      map[*workerConn]struct{}
	callbacks  callbackSender
	freeSlots  int
	queue      fifo[*job]
	running    []*job
	silent     bool
	heldJobs   []*job // ended while the worker was silent
	started    int    // jobs, in the measurement window
	finished   int    // jobs, in the measurement window
	unexpected int    // malformed requests, and requests without an identifier
	accepted   int    // connections, in the whole run
}

// job is a job of a worker. Jobs are reused through engine.freeJobs.
type job struct {
	timer     // the end of its work
	worker    *worker
	requestID []byte
	conn      *workerConn // on which the result is sent; nil if callbacks report it
	abandoned bool        // the worker's process was stopped
}

func newWorker(rig *Rig, engine *engine, number int) (*worker, error) {
	created := &worker{
		engine:    engine,
		rig:       rig,
		number:    number,
		id:        "w-" + strconv.Itoa(number),
		address:   rig.addresses.worker(number),
		conns:     map[*workerConn]struct{}{},
		freeSlots: rig.spec.Slots,
	}
	created.callbacks.worker = created
	return created, created.open()
}

// open starts to listen.
func (w *worker) open() (err error) {
	w.listener, err = w.engine.listenAt(w.address, w.accept)
	return err
}

func (w *worker) accept(fd int) {
	accepted := &workerConn{worker: w}
	if err := w.engine.adopt(&accepted.conn, fd, accepted); err != nil {
		w.engine.fail(err)
		return
	}
	w.conns[accepted] = struct{}{}
	w.accepted++
	accepted.setPaused(w.silent)
}

// isFull reports whether the queue is at its limit.
func (w *worker) isFull() bool { return w.queue.len() >= w.rig.spec.QueueLimit }

// enqueue queues a job. conn is the connection for the result, or nil if callbacks report it.
func (w *worker) enqueue(requestID []byte, conn *workerConn) {
	accepted := w.engine.newJob(w)
	accepted.requestID = append(accepted.requestID[:0], requestID...)
	accepted.conn = conn
	w.queue.push(accepted)
	w.startJobs()
}

// newJob returns an unused job.
func (e *engine) newJob(worker *worker) *job {
	unused := &job{}
	if last := len(e.freeJobs) - 1; last >= 0 {
		unused = e.freeJobs[last]
		e.freeJobs = e.freeJobs[:last]
	}
	unused.worker = worker
	unused.conn = nil
	unused.abandoned = false
	return unused
}

// startJobs starts queued jobs while there are free slots.
func (w *worker) startJobs() {
	for w.freeSlots > 0 && w.queue.len() > 0 {
		started := w.queue.pop()
		w.freeSlots--
		w.running = append(w.running, started)
		if w.engine.measuring {
			w.started++
		}
		if started.conn == nil && w.rig.spec.StartNotifications {
			w.callbacks.notify(started.requestID, stateStarted)
		}
		if work := w.rig.spec.workTime(); work > 0 {
			w.engine.setTimer(&started.timer, w.engine.clock()+work, started)
		} else {
			w.endJob(started)
		}
	}
}

// timerExpired ends the job, or holds it until the worker is no longer silent.
func (j *job) timerExpired() {
	worker := j.worker
	if worker.silent && !j.abandoned {
		worker.heldJobs = append(worker.heldJobs, j)
		return
	}
	worker.endJob(j)
	worker.startJobs()
}

// endJob frees the slot, sends the result, and releases the job for reuse.
func (w *worker) endJob(ended *job) {
	if !ended.abandoned {
		w.freeSlots++
		w.running = slices.DeleteFunc(w.running, func(other *job) bool { return other == ended })
		if w.engine.measuring {
			w.finished++
		}
		w.sendResult(ended)
	}
	w.engine.freeJobs = append(w.engine.freeJobs, ended)
}

func (w *worker) sendResult(ended *job) {
	conn := ended.conn
	if conn == nil {
		w.callbacks.notify(ended.requestID, stateDone)
		return
	}
	conn.awaitingResponse = false
	if conn.closed {
		return
	}
	result := fmt.Appendf(nil, "%s ran on %s", ended.requestID, w.id)
	w.engine.writeBuffer = http1.AppendResponse(w.engine.writeBuffer[:0], http1.StatusOK, "", result, true)
	conn.write(w.engine.writeBuffer)
}

// stop ends the worker's process: its connections are reset, new ones are refused, and its machine sends a callback for
// each job that was lost.
func (w *worker) stop() {
	if w.listener == nil {
		return
	}
	w.listener.close()
	w.listener = nil
	for conn := range w.conns {
		conn.reset()
	}
	clear(w.conns)
	for w.queue.len() > 0 {
		w.running = append(w.running, w.queue.pop())
	}
	for _, lost := range append(w.running, w.heldJobs...) {
		if lost.conn == nil {
			w.callbacks.notify(lost.requestID, stateLost)
		}
		lost.abandoned = true // a job that ran is reused once its timer has expired
	}
	w.running, w.heldJobs = nil, nil
	w.freeSlots = w.rig.spec.Slots
}

// restart starts the worker's process again, after stop.
func (w *worker) restart() {
	if err := w.open(); err != nil {
		w.engine.fail(err)
		return
	}
	if w.silent {
		w.listener.setPaused(true)
	}
	now, discovery := time.Now(), w.rig.discovery
	discovery.engine.post(func() { discovery.restarted(w.number, now) })
}

// setSilent stops the worker's machine from sending and receiving, or resumes both.
func (w *worker) setSilent(silent bool) {
	if w.silent == silent {
		return
	}
	w.silent = silent
	if w.listener != nil {
		w.listener.setPaused(silent)
	}
	for conn := range w.conns {
		conn.setPaused(silent)
	}
	w.callbacks.setPaused(silent)
	if silent {
		return
	}
	held := w.heldJobs
	w.heldJobs = nil
	for _, ended := range held {
		w.endJob(ended)
	}
	w.startJobs()
}

// close closes the worker's sockets. The engine must have ended.
func (w *worker) close() {
	for conn := range w.conns {
		conn.reset()
	}
	for conn := range w.callbacks.open {
		conn.reset()
	}
	if w.listener != nil {
		w.listener.close()
	}
}

// workerConn is a connection to a worker.
type workerConn struct {
	conn
	worker           *worker
	awaitingResponse bool // the result of a job is still to be sent on it
}

func (c *workerConn) connClosed(error) { delete(c.worker.conns, c) }

func (c *workerConn) dataReceived(b []byte) (taken int) {
	var request message
	for !c.awaitingResponse && !c.closed && taken < len(b) {
		size, err := c.engine.reader.read(b[taken:], &request)
		if err == nil && size == 0 {
			break
		}
		taken += size
		if err != nil || request.status != 0 {
			c.worker.unexpected++
			c.respond(http1.StatusBadRequest, "", false)
			c.drop()
			break
		}
		c.handleRequest(&request)
		if request.lastOnConn && !c.awaitingResponse {
			c.drop()
		}
	}
	return taken
}

// drop closes the connection from the worker's side.
func (c *workerConn) drop() {
	c.close()
	delete(c.worker.conns, c)
}

func (c *workerConn) respond(status int, fields string, keepAlive bool) {
	engine := c.engine
	engine.writeBuffer = http1.AppendResponse(engine.writeBuffer[:0], status, fields, nil, keepAlive)
	c.write(engine.writeBuffer)
}

func (c *workerConn) handleRequest(request *message) {
	worker := c.worker
	switch method, target := string(request.method), string(request.target); {
	case method == http.MethodGet && target == "/alive":
		c.respond(http1.StatusOK, "", true)
	case method == http.MethodDelete && bytes.HasPrefix(request.target, []byte("/jobs/")):
		c.respond(http1.StatusNoContent, "", true)
	case method != http.MethodPost:
		c.respond(http1.StatusNotFound, "", true)
	case len(request.requestID) == 0:
		worker.unexpected++
		c.respond(http1.StatusNotFound, "", true)
	case worker.isFull():
		c.respond(http1.StatusServiceUnavailable, "X-Rejected: 1\r\n", true)
	case worker.rig.spec.Responds:
		c.awaitingResponse = true
		worker.enqueue(request.requestID, c)
	default:
		c.respond(http1.StatusAccepted, "", true)
		worker.enqueue(request.requestID, nil)
	}
}
