package process

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"valvecove/internal/testbed/simapi"
)

// The ids and paths of misbehaving clients' requests have a prefix, by which a worker recognises and rejects them. A
// request hidden in the body of another has its own prefix in its id: to a worker it is a request that no client has sent.
const (
	misbehavingPrefix = "odd-"
	hiddenPrefix      = "hidden-"
	unknownClass      = "no-such-class"
)

func isMisbehavingPath(path string) bool {
	return strings.HasPrefix(path[strings.LastIndexByte(path, '/')+1:], misbehavingPrefix)
}

func isHiddenRequest(call string) bool { return strings.HasPrefix(call, hiddenPrefix) }

const (
	misbehavingTimeout = 20 * time.Second       // until a client ends; every reaction of a scheduler is due earlier
	hugeBody           = 60 << 20               // bytes
	maxRepeats         = 300                    // repetitions of a request by a client of kind insist
	maxRepeatTime      = 3 * time.Second        // for which it repeats
	slowByteInterval   = 100 * time.Millisecond // between two steps of a slow writer or reader
	slowReadBytes      = 16                     // bytes that a slow reader reads in a step
	maxFeedsAtOnce     = 16                     // writes of an endless sender before other sockets get their turn
)

// misbehavingClient is a client that misbehaves in the way of its kind. It reports to the environment the first response,
// any further response with a status of success, and, if there was no response, that its connections have closed.
type misbehavingClient struct {
	driver          *driver
	id              simapi.Conn
	scheduler       int
	kind            string
	rng             *rand.Rand
	conns           []*misbehavingConn
	open            int    // connections that are not closed
	reported        bool   // something was reported to the environment
	ended           bool   // it takes no further action
	timer           *timer // misbehavingTimeout
	repeatedRequest []byte // the request that a client of kind insist repeats
	repeats         int
	repeatUntil     time.Duration
}

// misbehavingConn is a connection of a misbehaving client.
type misbehavingConn struct {
	socketConn
	client           *misbehavingClient
	feed             func() []byte // returns the next bytes once all earlier ones are written, nil at the end; nil: no more
	closeWhenFlushed bool          // it closes once everything is written
	slowTimer        *timer        // of a slow writer or reader
}

// startMisbehaving starts a misbehaving client.
func (d *driver) startMisbehaving(sched int, message *simapi.ClientMisbehaves) {
	o := &misbehavingClient{
		driver: d, id: message.Conn, scheduler: sched, kind: message.Kind,
		rng: rand.New(rand.NewPCG(message.Number, xxhash.Sum64String(message.Kind))), repeatUntil: d.now + maxRepeatTime,
	}
	d.misbehaving[o.id] = o
	o.timer = d.after(misbehavingTimeout, o.close)
	o.start(message)
	if o.open == 0 && !o.ended { // no connection could be opened
		o.end()
	}
}

// connect opens a further connection and writes b to it.
func (m *misbehavingClient) connect(b []byte) *misbehavingConn {
	conn := &misbehavingConn{client: m}
	d := m.driver
	from := d.addresses.client(uint64(m.id) + uint64(len(m.conns)))
	if err := d.dial(&conn.socketConn, from, d.addresses.scheduler(m.scheduler), conn); err != nil {
		d.failIfLocal(err)
		conn.closed = true
		return conn
	}
	m.conns = append(m.conns, conn)
	m.open++
	if len(b) > 0 {
		conn.write(b)
	}
	return conn
}

// close ends the client and resets its connections, without a report to the environment.
func (m *misbehavingClient) close() {
	if m.ended {
		return
	}
	m.ended = true
	m.driver.stop(m.timer)
	delete(m.driver.misbehaving, m.id)
	for _, k := range m.conns {
		m.driver.stop(k.slowTimer)
		k.reset()
	}
}

// end reports that the connections have closed, if nothing was reported before, and ends the client.
func (m *misbehavingClient) end() {
	if !m.reported && !m.ended {
		m.reported = true
		m.driver.addOutput(m.scheduler, simapi.ClientConnClosed{Conn: m.id})
	}
	m.close()
}

func (c *misbehavingConn) dataReceived(int) {
	owner := c.client
	for len(c.received) > 0 && !c.closed {
		a, _, n, err := owner.driver.reader.response(c.received, false)
		if err != nil {
			c.reset()
			c.connClosed(err)
			return
		}
		if n == 0 {
			return
		}
		c.consume(n)
		owner.responseReceived(c, a.StatusCode)
	}
}

func (m *misbehavingClient) responseReceived(k *misbehavingConn, status int) {
	if !m.reported || status/100 == 2 {
		m.reported = true
		m.driver.addOutput(m.scheduler, simapi.ResponseWritten{Conn: m.id, Status: status})
	}
	switch {
	case m.kind == "flood" || m.kind == "slow_reader": // further responses follow
	case m.kind == "insist" && status/100 != 2 && m.repeats < maxRepeats && m.driver.now < m.repeatUntil:
		m.repeats++
		k.write(m.repeatedRequest)
	default:
		m.close()
	}
}

func (c *misbehavingConn) connClosed(error) {
	owner := c.client
	owner.open--
	owner.driver.stop(c.slowTimer)
	switch {
	case owner.ended:
	case owner.kind == "insist" && c.connected && owner.repeats < maxRepeats && owner.driver.now < owner.repeatUntil:
		owner.repeats++
		owner.connect(owner.repeatedRequest)
		fallthrough
	default:
		if owner.open == 0 {
			owner.end()
		}
	}
}

func (c *misbehavingConn) flushed() {
	if c.closeWhenFlushed {
		c.close()
		c.connClosed(nil)
		return
	}
	for range maxFeedsAtOnce {
		if c.feed == nil || c.closed || len(c.unsent) > 0 {
			return
		}
		if b := c.feed(); b != nil {
			c.write(b)
		} else {
			c.feed = nil
		}
	}
	c.setEvents(c.events | unix.EPOLLOUT) // goes on after the other sockets
}

// repeatSlowly calls do at intervals of slowByteInterval until the connection is closed.
func (c *misbehavingConn) repeatSlowly(do func()) {
	if !c.closed {
		c.slowTimer = c.client.driver.after(slowByteInterval, func() {
			do()
			c.repeatSlowly(do)
		})
	}
}
