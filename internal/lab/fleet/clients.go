package fleet

import (
	"bytes"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	class   = "status-check"
	budget  = 5 * time.Second
	slack   = 50 * time.Millisecond // an answer counts for so long after the budget
	sweep   = 100 * time.Millisecond
	mostWhy = 32 // reasons of failures that are told apart
)

// Second is what clients were answered in one second.
type Second struct {
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

func (s *Second) add(o Second) {
	s.Served += o.Served
	s.Refused += o.Refused
	s.Failed += o.Failed
}

// crowd is the clients of one engine, and what became of their requests.
type crowd struct {
	alarm
	e       *engine
	rig     *Rig
	clients []*client
	asking  bool
	went    time.Duration // when it began
	seconds []Second
	window  Second
	answers *hdrhistogram.Histogram // latency of those that were served in the window
	why     map[string]int          // failures in the whole play
	jobs    int                     // asked for in the whole play
	settled int                     // answered, or given up
	ended   int                     // of those, not refused
}

// client asks and waits for the answer, then asks again. A lone one asks once.
type client struct {
	alarm  // its first request
	crowd  *crowd
	number int
	lone   bool
	to     netip.AddrPort
	conn   *clientConn // nil: it has none
	count  uint64      // of its requests so far
	call   [16]byte
	busy   bool // its request is out
	again  bool // and was sent a second time
	asked  time.Duration
}

type clientConn struct {
	conn
	of      *client
	answers int
}

func newCrowd(r *Rig, e *engine) *crowd {
	return &crowd{e: e, rig: r, answers: newHistogram(), why: map[string]int{}}
}

// add makes a client that asks for the first time at a time after the beginning.
func (c *crowd) add(number int, lone bool, to netip.AddrPort, at time.Duration) {
	k := &client{crowd: c, number: number, lone: lone, to: to}
	c.clients = append(c.clients, k)
	c.e.set(&k.alarm, c.went+at, k)
}

// begin has the crowd's clients ask from now on.
func (c *crowd) begin() {
	c.asking, c.went = true, c.e.clock()
	c.e.set(&c.alarm, c.went+sweep, c)
}

// ring has requests given up that have had no answer for too long.
func (c *crowd) ring() {
	for _, k := range c.clients {
		if k.busy && c.e.now-k.asked > budget+slack {
			k.conn.close()
			k.conn = nil
			k.settle(Second{Failed: 1}, "no answer")
		}
	}
	if c.asking {
		c.e.set(&c.alarm, c.e.now+sweep, c)
	}
}

func (k *client) ring() { k.ask() }

// ask sends the next request.
func (k *client) ask() {
	c := k.crowd
	if !c.asking || k.lone && k.count > 0 || !c.rig.another() {
		return
	}
	k.count++
	c.jobs++
	x := mix(c.rig.spec.Seed, uint64(k.number)<<40|k.count)
	const digits = "0123456789abcdef"
	for i := range k.call {
		k.call[i] = digits[x>>(60-4*i)&15]
	}
	k.busy, k.again, k.asked = true, false, c.e.clock()
	k.send()
}

// mix makes a number that differs for each n, and looks drawn.
func mix(seed, n uint64) uint64 {
	x := n + seed*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// send writes the request, on a new connection where there is none.
func (k *client) send() {
	e, r := k.crowd.e, k.crowd.rig
	if k.conn == nil {
		c := &clientConn{of: k}
		if err := e.dial(&c.conn, netip.AddrPort{}, k.to, c); err != nil {
			k.fail(err)
			return
		}
		k.conn = c
	}
	b := append(append(e.out[:0], "POST /"+class+"/"...), k.call[:]...)
	b = append(append(b, " HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: "...), k.call[:]...)
	b = append(b, "\r\nX-Call-Class: "+class+"\r\nX-Caller: "...)
	b = append(b, tenants[k.number%len(tenants)]...)
	b = append(b, "\r\nX-Budget-Ms: "...)
	b = strconv.AppendInt(b, budget.Milliseconds(), 10)
	if r.spec.Hint > 0 {
		b = append(b, "\r\nX-Call-Cost: "...)
		b = strconv.AppendInt(b, r.spec.Hint.Microseconds(), 10)
	}
	b = append(b, "\r\nX-Call-Info: slots=1\r\nContent-Length: 24\r\n\r\n"...)
	b = append(b, "status of a remittance\r\n"...)
	e.out = b
	k.conn.write(e.out)
}

func (c *clientConn) came(b []byte) int {
	k := c.of
	var m message
	size, err := c.e.reader.read(b, &m)
	switch {
	case err == nil && size == 0:
		return 0
	case err != nil || m.status == 0 || !k.busy:
		c.close()
		k.conn = nil
		if k.busy {
			k.fail(fmt.Errorf("no answer that can be read: %w", err))
		} else {
			k.crowd.reason("more than one answer")
		}
		return size
	}
	c.answers++
	if m.last {
		c.close()
		k.conn = nil
	}
	switch own := bytes.HasPrefix(m.body, k.call[:]); {
	case m.status == 200 && own:
		k.settle(Second{Served: 1}, "")
	case m.status == 429 || m.status == 503:
		k.settle(Second{Refused: 1}, "")
	case m.status == 200:
		k.settle(Second{Failed: 1}, "another request's answer")
	default:
		k.settle(Second{Failed: 1}, "status "+strconv.Itoa(m.status))
	}
	return size
}

// ended takes in that the connection is gone. A request that may have crossed the close between two requests is sent
// once more.
func (c *clientConn) ended(err error) {
	k := c.of
	if k.conn != c {
		return
	}
	k.conn = nil
	switch {
	case !k.busy:
	case c.answers > 0 && !k.again:
		k.again = true
		k.send()
	case err == nil:
		k.settle(Second{Failed: 1}, "closed")
	default:
		k.fail(err)
	}
}

// fail settles a request by what its connection met with.
func (k *client) fail(err error) { k.settle(Second{Failed: 1}, err.Error()) }

// settle takes in the answer, or that there is none, and asks anew. One that failed waits a little: where nobody
// listens, asking at once would be all that the rig does.
func (k *client) settle(as Second, why string) {
	c := k.crowd
	now := c.e.clock()
	k.busy = false
	if c.settled++; as.Refused > 0 {
		c.rig.jobs.Add(-1) // the job is still to be done
	} else {
		c.ended++
	}
	at := int((now - c.went) / time.Second)
	for at >= len(c.seconds) {
		c.seconds = append(c.seconds, Second{})
	}
	c.seconds[at].add(as)
	if c.e.counts {
		c.window.add(as)
		if as.Served > 0 {
			record(c.answers, now-k.asked)
		}
	}
	if why != "" {
		c.reason(why)
		c.e.set(&k.alarm, now+10*time.Millisecond, k)
		return
	}
	k.ask()
}

func (c *crowd) reason(why string) {
	if _, known := c.why[why]; known || len(c.why) < mostWhy {
		c.why[why]++
	}
}

func (c *crowd) close() {
	for _, k := range c.clients {
		if k.conn != nil {
			k.conn.reset()
		}
	}
}
