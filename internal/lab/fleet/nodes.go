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

// node is a stand-in worker node: it has slots, a waiting room that is served in order, and jobs that each take a slot
// for the same time. What is withdrawn runs on, as it does at the co-operative's.
type node struct {
	e      *engine
	rig    *Rig
	number int
	id     string
	at     netip.AddrPort
	door   *listener // nil: its process is down
	links  map[*nodeLink]struct{}
	calls  caller
	free   int // slots
	wait   fifo[*job]
	hand   []*job // that run
	silent bool
	stuck  []*job // ended while it was silent
	begun  int    // jobs in the window
	done   int    // and those that ended
	odd    int    // requests that it could not use
}

// job is one that a worker node has. It is used again.
type job struct {
	alarm
	node *node
	call []byte
	link *nodeLink // that waits for the result; nil: notes tell it
	lost bool      // with its process
}

// nodeLink is a connection to a worker node.
type nodeLink struct {
	conn
	node  *node
	asked bool // the request's answer is the job's result, and is still to come
}

func newNode(r *Rig, e *engine, number int) (*node, error) {
	n := &node{
		e: e, rig: r, number: number, id: "w-" + strconv.Itoa(number), at: r.places.node(number),
		links: map[*nodeLink]struct{}{}, free: r.spec.Slots,
	}
	n.calls.node = n
	return n, n.up()
}

func (n *node) up() (err error) {
	n.door, err = n.e.listenAt(n.at, n.accept)
	return err
}

func (n *node) accept(fd int) {
	k := &nodeLink{node: n}
	if err := n.e.adopt(&k.conn, fd, k); err != nil {
		n.e.fail(err)
		return
	}
	n.links[k] = struct{}{}
	k.hush(n.silent)
}

func (k *nodeLink) ended(error) { delete(k.node.links, k) }

func (k *nodeLink) came(b []byte) (taken int) {
	var m message
	for !k.asked && !k.closed && taken < len(b) {
		size, err := k.node.e.reader.read(b[taken:], &m)
		if err == nil && size == 0 {
			break
		}
		taken += size
		if err != nil || m.status != 0 {
			k.node.odd++
			k.answer(http1.StatusBadRequest, "", false)
			k.drop()
			break
		}
		k.request(&m)
		if m.last && !k.asked {
			k.drop()
		}
	}
	return taken
}

func (k *nodeLink) drop() {
	k.close()
	delete(k.node.links, k)
}

func (k *nodeLink) answer(status int, fields string, keepAlive bool) {
	e := k.node.e
	e.out = http1.AppendResponse(e.out[:0], status, fields, nil, keepAlive)
	k.write(e.out)
}

func (k *nodeLink) request(m *message) {
	n := k.node
	switch method, target := string(m.method), string(m.target); {
	case method == "GET" && target == "/alive":
		k.answer(http1.StatusOK, "", true)
	case method == "DELETE" && bytes.HasPrefix(m.target, []byte("/jobs/")):
		k.answer(http1.StatusNoContent, "", true)
	case method != "POST" || len(m.call) == 0:
		if method == "POST" {
			n.odd++
		}
		k.answer(http1.StatusNotFound, "", true)
	case n.wait.len() >= n.rig.spec.Room:
		k.answer(http1.StatusServiceUnavailable, "X-Rejected: 1\r\n", true)
	default:
		j := n.e.job(n)
		j.call = append(j.call[:0], m.call...)
		if n.rig.spec.Answers {
			j.link, k.asked = k, true
		} else {
			k.answer(http1.StatusAccepted, "", true)
		}
		n.wait.put(j)
		n.serve()
	}
}

// job is an unused job.
func (e *engine) job(n *node) *job {
	j := &job{}
	if last := len(e.free) - 1; last >= 0 {
		j, e.free = e.free[last], e.free[:last]
	}
	j.node, j.link, j.lost = n, nil, false
	return j
}

// serve begins what there is a slot for.
func (n *node) serve() {
	for n.free > 0 && n.wait.len() > 0 {
		j := n.wait.take()
		n.free--
		n.hand = append(n.hand, j)
		if n.e.counts {
			n.begun++
		}
		if j.link == nil && n.rig.spec.Notices {
			n.calls.tell(j.call, "started")
		}
		if work := n.rig.spec.work(); work > 0 {
			n.e.set(&j.alarm, n.e.clock()+work, j)
		} else {
			n.end(j)
		}
	}
}

// ring is the end of the job's run.
func (j *job) ring() {
	switch n := j.node; {
	case n.silent && !j.lost:
		n.stuck = append(n.stuck, j)
	default:
		n.end(j)
		n.serve()
	}
}

func (n *node) end(j *job) {
	if !j.lost {
		n.free++
		n.hand = slices.DeleteFunc(n.hand, func(o *job) bool { return o == j })
		if n.e.counts {
			n.done++
		}
		if k := j.link; k == nil {
			n.calls.tell(j.call, "done")
		} else if k.asked = false; !k.closed {
			n.e.out = http1.AppendResponse(n.e.out[:0], http1.StatusOK, "", fmt.Appendf(nil, "%s ran on %s", j.call, n.id), true)
			k.write(n.e.out)
		}
	}
	n.e.free = append(n.e.free, j)
}

// die ends its process: connections are reset, new ones refused, and the machine's agent tells what was lost.
func (n *node) die() {
	if n.door == nil {
		return
	}
	n.door.close()
	n.door = nil
	for k := range n.links {
		k.reset()
	}
	clear(n.links)
	for n.wait.len() > 0 {
		n.hand = append(n.hand, n.wait.take())
	}
	for _, j := range append(n.hand, n.stuck...) {
		if j.link == nil {
			n.calls.tell(j.call, "lost")
		}
		j.lost = true // those that ran are used again once their alarm has rung
	}
	n.hand, n.stuck, n.free = nil, nil, n.rig.spec.Slots
}

// hush has its machine say and hear nothing, or ends that.
func (n *node) hush(on bool) {
	if n.silent == on {
		return
	}
	n.silent = on
	if n.door != nil {
		n.door.hush(on)
	}
	for k := range n.links {
		k.hush(on)
	}
	n.calls.hush(on)
	if !on {
		stuck := n.stuck
		n.stuck = nil
		for _, j := range stuck {
			n.end(j)
		}
		n.serve()
	}
}

// ---- Notes ----

const (
	mostNoteTries = 10
	noteWithin    = time.Second // a call without an answer by then has failed
	noteAgain     = 100 * time.Millisecond
)

// caller is a worker node's connections to the scheduler, by which it calls it with its notes.
type caller struct {
	node    *node
	idle    []*noteLink // the last one used last
	open    map[*noteLink]struct{}
	waiting fifo[*note]
}

// note is one call.
type note struct {
	alarm // the end of its time, or its next try
	by    *caller
	text  []byte
	tries int
	link  *noteLink // that carries it; nil: it waits
}

type noteLink struct {
	conn
	by   *caller
	note *note // nil: it is idle
}

// tell calls the scheduler with a note on a job.
func (c *caller) tell(call []byte, state string) {
	b := make([]byte, 0, 128)
	b = append(append(b, `{"id":"`...), call...)
	b = append(append(b, `","from":"`...), c.node.id...)
	b = append(append(b, `","state":"`...), state...)
	if state == "done" {
		b = append(append(b, `","result":"`...), call...)
		b = append(append(b, " ran on "...), c.node.id...)
	}
	c.waiting.put(&note{by: c, text: append(b, `"}`...)})
	c.proceed()
}

// proceed sends what waits. A worker node may always have one connection; further ones come out of what the machine
// allows all of them together.
func (c *caller) proceed() {
	n := c.node
	for c.waiting.len() > 0 && !n.silent {
		var k *noteLink
		if last := len(c.idle) - 1; last >= 0 {
			k, c.idle = c.idle[last], c.idle[:last]
		} else if len(c.open) == 0 || len(c.open) < n.rig.noteLinks {
			k = &noteLink{by: c}
			if n.e.dial(&k.conn, netip.AddrPortFrom(n.at.Addr(), 0), n.rig.places.scheduler(), k) != nil {
				c.later(c.waiting.take())
				continue
			}
			if c.open == nil {
				c.open = map[*noteLink]struct{}{}
			}
			c.open[k] = struct{}{}
		} else {
			return
		}
		k.carry(c.waiting.take())
	}
}

func (k *noteLink) carry(x *note) {
	n := k.by.node
	x.tries++
	x.link, k.note = k, x
	b := n.e.out[:0]
	b = append(b, "POST /v1/job-events HTTP/1.1\r\nHost: "...)
	b = append(b, n.rig.host...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(x.text)), 10)
	b = append(b, "\r\n\r\n"...)
	b = append(b, x.text...)
	n.e.out = b
	k.write(n.e.out)
	n.e.set(&x.alarm, n.e.now+noteWithin, x)
}

// ring is the end of a call's time, or its next try.
func (x *note) ring() {
	switch k := x.link; {
	case k == nil:
		x.by.waiting.put(x)
		x.by.proceed()
	case x.by.node.silent: // its clock goes on once it is back
		x.by.node.e.set(&x.alarm, x.by.node.e.now+noteWithin, x)
	default:
		k.reset()
		k.ended(nil)
	}
}

// later has a call tried again, unless it has been often enough.
func (c *caller) later(x *note) {
	e := c.node.e
	e.alarms.Remove(&x.alarm)
	if x.link = nil; x.tries < mostNoteTries {
		e.set(&x.alarm, e.now+noteAgain, x)
	} else {
		c.node.rig.notesLost.Add(1)
	}
}

func (k *noteLink) came(b []byte) int {
	var m message
	size, err := k.by.node.e.reader.read(b, &m)
	x := k.note
	switch {
	case err == nil && size == 0:
		return 0
	case err != nil || x == nil || m.status == 0:
		k.reset()
		k.ended(err)
		return size
	}
	e := k.by.node.e
	e.alarms.Remove(&x.alarm)
	x.link, k.note = nil, nil
	if m.last {
		k.close()
		delete(k.by.open, k)
	} else {
		k.by.idle = append(k.by.idle, k)
	}
	if m.status != 200 && m.status != 204 {
		k.by.later(x)
	}
	k.by.proceed()
	return size
}

func (k *noteLink) ended(error) {
	c, x := k.by, k.note
	delete(c.open, k)
	if k.note = nil; x != nil {
		c.later(x)
	} else {
		c.idle = slices.DeleteFunc(c.idle, func(o *noteLink) bool { return o == k })
	}
	c.proceed()
}

func (c *caller) hush(on bool) {
	for k := range c.open {
		k.hush(on)
	}
	c.proceed()
}
