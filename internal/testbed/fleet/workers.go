package fleet

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"valvecove/internal/http1"
)

// worker is a stand-in worker: it has slots, a waiting room that is served in order, and jobs that each take a slot
// for the same time. What is withdrawn runs on, as it does at the co-operative's.
type worker struct {
	engine     *engine
	rig        *Rig
	number     int
	id         string
	address    netip.AddrPort
	listener   *listener // nil: its process is down
	links      map[*workerConn]struct{}
	callbacks  callbackSender
	freeSlots  int // slots
	queue      fifo[*job]
	running    []*job // that run
	silent     bool
	heldJobs   []*job // ended while it was silent
	started    int    // jobs in the window
	finished   int    // and those that ended
	unexpected int    // requests that it could not use
}

// job is one that a worker has. It is used again.
type job struct {
	timer
	worker    *worker
	requestID []byte
	conn      *workerConn // that waits for the result; nil: notes tell it
	abandoned bool        // with its process
}

// workerConn is a connection to a worker.
type workerConn struct {
	conn
	worker           *worker
	awaitingResponse bool // the request's answer is the job's result, and is still to come
}

func newWorker(r *Rig, e *engine, number int) (*worker, error) {
	n := &worker{
		engine: e, rig: r, number: number, id: "w-" + strconv.Itoa(number), address: r.addresses.worker(number),
		links: map[*workerConn]struct{}{}, freeSlots: r.spec.Slots,
	}
	n.callbacks.worker = n
	return n, n.open()
}

func (n *worker) open() (err error) {
	n.listener, err = n.engine.listenAt(n.address, n.accept)
	return err
}

func (n *worker) accept(fd int) {
	k := &workerConn{worker: n}
	if err := n.engine.adopt(&k.conn, fd, k); err != nil {
		n.engine.fail(err)
		return
	}
	n.links[k] = struct{}{}
	k.setPaused(n.silent)
}

func (k *workerConn) connClosed(error) { delete(k.worker.links, k) }

func (k *workerConn) dataReceived(b []byte) (taken int) {
	var message message
	for !k.awaitingResponse && !k.closed && taken < len(b) {
		size, err := k.worker.engine.reader.read(b[taken:], &message)
		if err == nil && size == 0 {
			break
		}
		taken += size
		if err != nil || message.status != 0 {
			k.worker.unexpected++
			k.respond(http1.StatusBadRequest, "", false)
			k.drop()
			break
		}
		k.handleRequest(&message)
		if message.lastOnConn && !k.awaitingResponse {
			k.drop()
		}
	}
	return taken
}

func (k *workerConn) drop() {
	k.close()
	delete(k.worker.links, k)
}

func (k *workerConn) respond(status int, fields string, keepAlive bool) {
	e := k.worker.engine
	e.writeBuffer = http1.AppendResponse(e.writeBuffer[:0], status, fields, nil, keepAlive)
	k.write(e.writeBuffer)
}

func (k *workerConn) handleRequest(message *message) {
	n := k.worker
	switch method, target := string(message.method), string(message.target); {
	case method == "GET" && target == "/alive":
		k.respond(http1.StatusOK, "", true)
	case method == "DELETE" && bytes.HasPrefix(message.target, []byte("/jobs/")):
		k.respond(http1.StatusNoContent, "", true)
	case method != "POST" || len(message.requestID) == 0:
		if method == "POST" {
			n.unexpected++
		}
		k.respond(http1.StatusNotFound, "", true)
	case n.queue.len() >= n.rig.spec.QueueLimit:
		k.respond(http1.StatusServiceUnavailable, "X-Rejected: 1\r\n", true)
	default:
		j := n.engine.job(n)
		j.requestID = append(j.requestID[:0], message.requestID...)
		if n.rig.spec.Responds {
			j.conn, k.awaitingResponse = k, true
		} else {
			k.respond(http1.StatusAccepted, "", true)
		}
		n.queue.push(j)
		n.serve()
	}
}

// job is an unused job.
func (e *engine) job(n *worker) *job {
	j := &job{}
	if last := len(e.free) - 1; last >= 0 {
		j, e.free = e.free[last], e.free[:last]
	}
	j.worker, j.conn, j.abandoned = n, nil, false
	return j
}

// serve begins what there is a slot for.
func (n *worker) serve() {
	for n.freeSlots > 0 && n.queue.len() > 0 {
		job := n.queue.pop()
		n.freeSlots--
		n.running = append(n.running, job)
		if n.engine.measuring {
			n.started++
		}
		if job.conn == nil && n.rig.spec.StartNotifications {
			n.callbacks.notify(job.requestID, "started")
		}
		if work := n.rig.spec.drawWork(); work > 0 {
			n.engine.setTimer(&job.timer, n.engine.clock()+work, job)
		} else {
			n.endJob(job)
		}
	}
}

// timerExpired is the end of the job's run.
func (j *job) timerExpired() {
	switch n := j.worker; {
	case n.silent && !j.abandoned:
		n.heldJobs = append(n.heldJobs, j)
	default:
		n.endJob(j)
		n.serve()
	}
}

func (n *worker) endJob(j *job) {
	if !j.abandoned {
		n.freeSlots++
		n.running = slices.DeleteFunc(n.running, func(o *job) bool { return o == j })
		if n.engine.measuring {
			n.finished++
		}
		if k := j.conn; k == nil {
			n.callbacks.notify(j.requestID, "done")
		} else if k.awaitingResponse = false; !k.closed {
			n.engine.writeBuffer = http1.AppendResponse(n.engine.writeBuffer[:0], http1.StatusOK, "", fmt.Appendf(nil, "%s ran on %s", j.requestID, n.id), true)
			k.write(n.engine.writeBuffer)
		}
	}
	n.engine.free = append(n.engine.free, j)
}

// stop ends its process: connections are reset, new ones refused, and the machine's agent tells what was lost.
func (n *worker) stop() {
	if n.listener == nil {
		return
	}
	n.listener.close()
	n.listener = nil
	for k := range n.links {
		k.reset()
	}
	clear(n.links)
	for n.queue.len() > 0 {
		n.running = append(n.running, n.queue.pop())
	}
	for _, j := range append(n.running, n.heldJobs...) {
		if j.conn == nil {
			n.callbacks.notify(j.requestID, "lost")
		}
		j.abandoned = true // those that ran are used again once their alarm has rung
	}
	n.running, n.heldJobs, n.freeSlots = nil, nil, n.rig.spec.Slots
}

// setSilent has its machine say and hear nothing, or ends that.
func (n *worker) setSilent(silent bool) {
	if n.silent == silent {
		return
	}
	n.silent = silent
	if n.listener != nil {
		n.listener.setPaused(silent)
	}
	for k := range n.links {
		k.setPaused(silent)
	}
	n.callbacks.setPaused(silent)
	if !silent {
		stuck := n.heldJobs
		n.heldJobs = nil
		for _, j := range stuck {
			n.endJob(j)
		}
		n.serve()
	}
}

// ---- Notes ----

const (
	maxCallbackAttempts = 10
	callbackTimeout     = time.Second // a call without an answer by then has failed
	callbackRetryDelay  = 100 * time.Millisecond
)

// callbackSender is a worker's connections to the scheduler, by which it calls it with its notes.
type callbackSender struct {
	worker  *worker
	idle    []*callbackConn // the last one used last
	open    map[*callbackConn]struct{}
	waiting fifo[*callback]
}

// callback is one call.
type callback struct {
	timer    // the end of its time, or its next try
	sender   *callbackSender
	request  []byte
	attempts int
	conn     *callbackConn // that carries it; nil: it waits
}

type callbackConn struct {
	conn
	sender   *callbackSender
	callback *callback // nil: it is idle
}

// notify calls the scheduler with a callback on a job.
func (c *callbackSender) notify(call []byte, state string) {
	b := make([]byte, 0, 128)
	b = append(append(b, `{"id":"`...), call...)
	b = append(append(b, `","from":"`...), c.worker.id...)
	b = append(append(b, `","state":"`...), state...)
	if state == "done" {
		b = append(append(b, `","result":"`...), call...)
		b = append(append(b, " ran on "...), c.worker.id...)
	}
	c.waiting.push(&callback{sender: c, request: append(b, `"}`...)})
	c.proceed()
}

// proceed sends what waits. A worker may always have one connection; further ones come out of what the machine
// allows all of them together.
func (c *callbackSender) proceed() {
	n := c.worker
	for c.waiting.len() > 0 && !n.silent {
		var k *callbackConn
		if last := len(c.idle) - 1; last >= 0 {
			k, c.idle = c.idle[last], c.idle[:last]
		} else if len(c.open) == 0 || len(c.open) < n.rig.callbackConns {
			k = &callbackConn{sender: c}
			if n.engine.dial(&k.conn, netip.AddrPortFrom(n.address.Addr(), 0), n.rig.addresses.scheduler(), k) != nil {
				c.retryLater(c.waiting.pop())
				continue
			}
			if c.open == nil {
				c.open = map[*callbackConn]struct{}{}
			}
			c.open[k] = struct{}{}
		} else {
			return
		}
		k.send(c.waiting.pop())
	}
}

func (k *callbackConn) send(callback *callback) {
	n := k.sender.worker
	callback.attempts++
	callback.conn, k.callback = k, callback
	b := n.engine.writeBuffer[:0]
	b = append(b, "POST /v1/job-events HTTP/1.1\r\nHost: "...)
	b = append(b, n.rig.schedulerAddress...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(callback.request)), 10)
	b = append(b, "\r\n\r\n"...)
	b = append(b, callback.request...)
	n.engine.writeBuffer = b
	k.write(n.engine.writeBuffer)
	n.engine.setTimer(&callback.timer, n.engine.now+callbackTimeout, callback)
}

// timerExpired is the end of a call's time, or its next try.
func (x *callback) timerExpired() {
	switch k := x.conn; {
	case k == nil:
		x.sender.waiting.push(x)
		x.sender.proceed()
	case x.sender.worker.silent: // its clock goes on once it is back
		x.sender.worker.engine.setTimer(&x.timer, x.sender.worker.engine.now+callbackTimeout, x)
	default:
		k.reset()
		k.connClosed(nil)
	}
}

// retryLater has a call tried again, unless it has been often enough.
func (c *callbackSender) retryLater(x *callback) {
	e := c.worker.engine
	e.timers.Remove(&x.timer)
	if x.conn = nil; x.attempts < maxCallbackAttempts {
		e.setTimer(&x.timer, e.now+callbackRetryDelay, x)
	} else {
		c.worker.rig.callbacksLost.Add(1)
	}
}

func (k *callbackConn) dataReceived(b []byte) int {
	var message message
	size, err := k.sender.worker.engine.reader.read(b, &message)
	callback := k.callback
	switch {
	case err == nil && size == 0:
		return 0
	case err != nil || callback == nil || message.status == 0:
		k.reset()
		k.connClosed(err)
		return size
	}
	e := k.sender.worker.engine
	e.timers.Remove(&callback.timer)
	callback.conn, k.callback = nil, nil
	if message.lastOnConn {
		k.close()
		delete(k.sender.open, k)
	} else {
		k.sender.idle = append(k.sender.idle, k)
	}
	if message.status != 200 && message.status != 204 {
		k.sender.retryLater(callback)
	}
	k.sender.proceed()
	return size
}

func (k *callbackConn) connClosed(error) {
	c, x := k.sender, k.callback
	delete(c.open, k)
	if k.callback = nil; x != nil {
		c.retryLater(x)
	} else {
		c.idle = slices.DeleteFunc(c.idle, func(o *callbackConn) bool { return o == k })
	}
	c.proceed()
}

func (c *callbackSender) setPaused(on bool) {
	for k := range c.open {
		k.setPaused(on)
	}
	c.proceed()
}
