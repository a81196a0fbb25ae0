package process

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"valvecove/internal/testbed/simapi"
)

// Misbehaving clients have ids and paths of their own, so that a worker knows theirs: it can use none. A request that
// one has hidden in another's body is no misbehaving client's to a worker, but one that nobody has sent.
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
	misbehavingTimeout = 20 * time.Second // longer than it is ever owed something for
	hugeBody           = 60 << 20
	maxInsists         = 300 // times that the same is sent again
	insistTime         = 3 * time.Second
	slowByteInterval   = 100 * time.Millisecond
	slowReadBytes      = 16 // bytes at a time
	maxFeedsAtOnce     = 16 // writes of one that never stops, before others have their turn
)

// misbehavingClient is a misbehaving client: what it sends, how, and what it does once it is answered. It tells the environment of its first
// answer, of any further one that says its request was served, and else of its end.
type misbehavingClient struct {
	driver        *driver
	id            simapi.Conn
	scheduler     int
	kind          string
	rng           *rand.Rand
	conns         []*misbehavingConn
	open          int
	reported      bool
	ended         bool
	timer         *timer
	insistRequest []byte // insist: what is sent again
	repeats       int
	insistUntil   time.Duration
}

// misbehavingConn is one of its connections.
type misbehavingConn struct {
	socketConn
	client           *misbehavingClient
	feed             func() []byte // gives what is to be written once all before has left; nil: nothing more
	closeWhenFlushed bool          // it closes once all is written
	slowTimer        *timer        // of what it does slowly
}

// startMisbehaving begins a misbehaving client.
func (d *driver) startMisbehaving(sched int, message *simapi.ClientMisbehaves) {
	o := &misbehavingClient{
		driver: d, id: message.Conn, scheduler: sched, kind: message.Kind,
		rng: rand.New(rand.NewPCG(message.Number, xxhash.Sum64String(message.Kind))), insistUntil: d.now + insistTime,
	}
	d.misbehaving[o.id] = o
	o.timer = d.after(misbehavingTimeout, o.close)
	o.start(message)
	if o.open == 0 && !o.ended { // nothing came up
		o.end()
	}
}

// connect opens one of its connections and writes to it.
func (o *misbehavingClient) connect(b []byte) *misbehavingConn {
	misbehavingConn := &misbehavingConn{client: o}
	d := o.driver
	from := d.addresses.client(uint64(o.id) + uint64(len(o.conns)))
	if err := d.dial(&misbehavingConn.socketConn, from, d.addresses.scheduler(o.scheduler), misbehavingConn); err != nil {
		d.failIfLocal(err)
		misbehavingConn.closed = true
		return misbehavingConn
	}
	o.conns = append(o.conns, misbehavingConn)
	o.open++
	if len(b) > 0 {
		misbehavingConn.write(b)
	}
	return misbehavingConn
}

// close is its own going away: nobody is told.
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

// end tells of its end, if nothing better can be told.
func (o *misbehavingClient) end() {
	if !o.reported && !o.ended {
		o.reported = true
		o.driver.addOutput(o.scheduler, simapi.ClientConnClosed{Conn: o.id})
	}
	o.close()
}

func (k *misbehavingConn) dataReceived(int) {
	misbehavingClient := k.client
	for len(k.received) > 0 && !k.closed {
		a, _, n, err := misbehavingClient.driver.reader.response(k.received, false)
		if err != nil {
			k.reset()
			k.connClosed(err)
			return
		}
		if n == 0 {
			return
		}
		k.consume(n)
		misbehavingClient.responseReceived(k, a.StatusCode)
	}
}

func (o *misbehavingClient) responseReceived(k *misbehavingConn, status int) {
	if !o.reported || status/100 == 2 {
		o.reported = true
		o.driver.addOutput(o.scheduler, simapi.ResponseWritten{Conn: o.id, Status: status})
	}
	switch {
	case o.kind == "flood" || o.kind == "slow_reader": // there is more to come
	case o.kind == "insist" && status/100 != 2 && o.repeats < maxInsists && o.driver.now < o.insistUntil:
		o.repeats++
		k.write(o.insistRequest)
	default:
		o.close()
	}
}

func (k *misbehavingConn) connClosed(error) {
	misbehavingClient := k.client
	misbehavingClient.open--
	misbehavingClient.driver.stop(k.slowTimer)
	switch {
	case misbehavingClient.ended:
	case misbehavingClient.kind == "insist" && k.connected && misbehavingClient.repeats < maxInsists && misbehavingClient.driver.now < misbehavingClient.insistUntil:
		misbehavingClient.repeats++
		misbehavingClient.connect(misbehavingClient.insistRequest)
		fallthrough
	default:
		if misbehavingClient.open == 0 {
			misbehavingClient.end()
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
	k.setEvents(k.events | unix.EPOLLOUT) // others have their turn
}

// repeatSlowly does something again and again.
func (k *misbehavingConn) repeatSlowly(do func()) {
	if !k.closed {
		k.slowTimer = k.client.driver.after(slowByteInterval, func() {
			do()
			k.repeatSlowly(do)
		})
	}
}
