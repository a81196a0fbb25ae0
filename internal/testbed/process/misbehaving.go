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
func (o *misbehavingClient) connect(b []byte) *misbehavingConn {
	conn := &misbehavingConn{client: o}
	d := o.driver
	from := d.addresses.client(uint64(o.id) + uint64(len(o.conns)))
	if err := d.dial(&conn.socketConn, from, d.addresses.scheduler(o.scheduler), conn); err != nil {
		d.failIfLocal(err)
		conn.closed = true
		return conn
	}
	o.conns = append(o.conns, conn)
	o.open++
	if len(b) > 0 {
		conn.write(b)
	}
	return conn
}

// close ends the client and resets its connections, without a report to the environment.
func (o *misbehavingClient) close() {
	if o.ended {
		return
	}
	o.ended = true
	o.driver.stop(o.timer)
	delete(o.driver.misbehaving, o.id)
	for _, k := range o.conns {
		o.driver.stop(k.slowTimer)
		k.reset()
	}
}

// end reports that the connections have closed, if nothing was reported before, and ends the client.
func (o *misbehavingClient) end() {
	if !o.reported && !o.ended {
		o.reported = true
		o.driver.addOutput(o.scheduler, simapi.ClientConnClosed{Conn: o.id})
	}
	o.close()
}

func (k *misbehavingConn) dataReceived(int) {
	owner := k.client
	for len(k.received) > 0 && !k.closed {
		a, _, n, err := owner.driver.reader.response(k.received, false)
		if err != nil {
			k.reset()
			k.connClosed(err)
			return
		}
		if n == 0 {
			return
		}
		k.consume(n)
		owner.responseReceived(k, a.StatusCode)
	}
}

func (o *misbehavingClient) responseReceived(k *misbehavingConn, status int) {
	if !o.reported || status/100 == 2 {
		o.reported = true
		o.driver.addOutput(o.scheduler, simapi.ResponseWritten{Conn: o.id, Status: status})
	}
	switch {
	case o.kind == "flood" || o.kind == "slow_reader": // further responses follow
	case o.kind == "insist" && status/100 != 2 && o.repeats < maxRepeats && o.driver.now < o.repeatUntil:
		o.repeats++
		k.write(o.repeatedRequest)
	default:
		o.close()
	}
}

func (k *misbehavingConn) connClosed(error) {
	owner := k.client
	owner.open--
	owner.driver.stop(k.slowTimer)
	switch {
	case owner.ended:
	case owner.kind == "insist" && k.connected && owner.repeats < maxRepeats && owner.driver.now < owner.repeatUntil:
		owner.repeats++
		owner.connect(owner.repeatedRequest)
		fallthrough
	default:
		if owner.open == 0 {
			owner.end()
		}
	}
}

func (k *misbehavingConn) flushed() {
	if k.closeWhenFlushed {
		k.close()
		k.connClosed(nil)
		return
	}
	for range maxFeedsAtOnce {
		if k.feed == nil || k.closed || len(k.unsent) > 0 {
			return
		}
		if b := k.feed(); b != nil {
			k.write(b)
		} else {
			k.feed = nil
		}
	}
	k.setEvents(k.events | unix.EPOLLOUT) // goes on after the other sockets
}

// repeatSlowly calls do at intervals of slowByteInterval until the connection is closed.
func (k *misbehavingConn) repeatSlowly(do func()) {
	if !k.closed {
		k.slowTimer = k.client.driver.after(slowByteInterval, func() {
			do()
			k.repeatSlowly(do)
		})
	}
}
