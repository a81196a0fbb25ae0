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
	jobClass            = "status-check"
	budget              = 5 * time.Second
	slack               = 50 * time.Millisecond // an answer counts for so long after the budget
	timeoutScanInterval = 100 * time.Millisecond
	maxReasons          = 32 // reasons of failures that are told apart
)

// Second is what clients were answered in one second.
type Second struct {
	Served   int `json:"served"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
}

func (s *Second) add(o Second) {
	s.Served += o.Served
	s.Rejected += o.Rejected
	s.Failed += o.Failed
}

// clientGroup is the clients of one engine, and what became of their requests.
type clientGroup struct {
	timer
	engine         *engine
	rig            *Rig
	clients        []*client
	sending        bool
	startedAt      time.Duration // when it began
	seconds        []Second
	window         Second
	answers        *hdrhistogram.Histogram // latency of those that were served in the window
	failureReasons map[string]int          // failures in the whole run
	jobs           int                     // asked for in the whole run
	settled        int                     // answered, or given up
	endedClients   int                     // of those, not refused
}

// client asks and waits for the answer, then asks again. A lone one asks once.
type client struct {
	timer     // its first request
	group     *clientGroup
	number    int
	single    bool
	target    netip.AddrPort
	conn      *clientConn // nil: it has none
	count     uint64      // of its requests so far
	requestID [16]byte
	busy      bool // its request is out
	retry     bool // and was sent a second time
	sentAt    time.Duration
}

type clientConn struct {
	conn
	client    *client
	responses int
}

func newClientGroup(r *Rig, e *engine) *clientGroup {
	return &clientGroup{engine: e, rig: r, answers: newHistogram(), failureReasons: map[string]int{}}
}

// add makes a client that asks for the first time at a time after the beginning.
func (c *clientGroup) add(number int, lone bool, to netip.AddrPort, at time.Duration) {
	k := &client{group: c, number: number, single: lone, target: to}
	c.clients = append(c.clients, k)
	c.engine.setTimer(&k.timer, c.startedAt+at, k)
}

// begin has the crowd's clients ask from now on.
func (c *clientGroup) begin() {
	c.sending, c.startedAt = true, c.engine.clock()
	c.engine.setTimer(&c.timer, c.startedAt+timeoutScanInterval, c)
}

// timerExpired has requests given up that have had no answer for too long.
func (c *clientGroup) timerExpired() {
	for _, k := range c.clients {
		if k.busy && c.engine.now-k.sentAt > budget+slack {
			k.conn.close()
			k.conn = nil
			k.settle(Second{Failed: 1}, "no answer")
		}
	}
	if c.sending {
		c.engine.setTimer(&c.timer, c.engine.now+timeoutScanInterval, c)
	}
}

func (k *client) timerExpired() { k.nextRequest() }

// nextRequest sends the next request.
func (k *client) nextRequest() {
	clientGroup := k.group
	if !clientGroup.sending || k.single && k.count > 0 || !clientGroup.rig.nextJob() {
		return
	}
	k.count++
	clientGroup.jobs++
	x := mixBits(clientGroup.rig.spec.Seed, uint64(k.number)<<40|k.count)
	const digits = "0123456789abcdef"
	for i := range k.requestID {
		k.requestID[i] = digits[x>>(60-4*i)&15]
	}
	k.busy, k.retry, k.sentAt = true, false, clientGroup.engine.clock()
	k.send()
}

// mixBits makes a number that differs for each n, and looks drawn.
func mixBits(seed, n uint64) uint64 {
	x := n + seed*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// send writes the request, on a new connection where there is none.
func (k *client) send() {
	engine, r := k.group.engine, k.group.rig
	if k.conn == nil {
		c := &clientConn{client: k}
		if err := engine.dial(&c.conn, netip.AddrPort{}, k.target, c); err != nil {
			k.fail(err)
			return
		}
		k.conn = c
	}
	b := append(append(engine.writeBuffer[:0], "POST /"+jobClass+"/"...), k.requestID[:]...)
	b = append(append(b, " HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: "...), k.requestID[:]...)
	b = append(b, "\r\nX-Call-Class: "+jobClass+"\r\nX-Caller: "...)
	b = append(b, tenants[k.number%len(tenants)]...)
	b = append(b, "\r\nX-Budget-Ms: "...)
	b = strconv.AppendInt(b, budget.Milliseconds(), 10)
	if r.spec.Hint > 0 {
		b = append(b, "\r\nX-Call-Cost: "...)
		b = strconv.AppendInt(b, r.spec.Hint.Microseconds(), 10)
	}
	b = append(b, "\r\nX-Call-Info: slots=1\r\nContent-Length: 24\r\n\r\n"...)
	b = append(b, "status of a remittance\r\n"...)
	engine.writeBuffer = b
	k.conn.write(engine.writeBuffer)
}

func (c *clientConn) dataReceived(b []byte) int {
	client := c.client
	var message message
	size, err := c.engine.reader.read(b, &message)
	switch {
	case err == nil && size == 0:
		return 0
	case err != nil || message.status == 0 || !client.busy:
		c.close()
		client.conn = nil
		if client.busy {
			client.fail(fmt.Errorf("no answer that can be read: %w", err))
		} else {
			client.group.reason("more than one answer")
		}
		return size
	}
	c.responses++
	if message.lastOnConn {
		c.close()
		client.conn = nil
	}
	switch own := bytes.HasPrefix(message.body, client.requestID[:]); {
	case message.status == 200 && own:
		client.settle(Second{Served: 1}, "")
	case message.status == 429 || message.status == 503:
		client.settle(Second{Rejected: 1}, "")
	case message.status == 200:
		client.settle(Second{Failed: 1}, "another request's answer")
	default:
		client.settle(Second{Failed: 1}, "status "+strconv.Itoa(message.status))
	}
	return size
}

// connClosed takes in that the connection is gone. A request that may have crossed the close between two requests is sent
// once more.
func (c *clientConn) connClosed(err error) {
	client := c.client
	if client.conn != c {
		return
	}
	client.conn = nil
	switch {
	case !client.busy:
	case c.responses > 0 && !client.retry:
		client.retry = true
		client.send()
	case err == nil:
		client.settle(Second{Failed: 1}, "closed")
	default:
		client.fail(err)
	}
}

// fail settles a request by what its connection met with.
func (k *client) fail(err error) { k.settle(Second{Failed: 1}, err.Error()) }

// settle takes in the answer, or that there is none, and asks anew. One that failed waits a little: where nobody
// listens, asking at once would be all that the rig does.
func (k *client) settle(second Second, why string) {
	clientGroup := k.group
	now := clientGroup.engine.clock()
	k.busy = false
	if clientGroup.settled++; second.Rejected > 0 {
		clientGroup.rig.jobs.Add(-1) // the job is still to be done
	} else {
		clientGroup.endedClients++
	}
	at := int((now - clientGroup.startedAt) / time.Second)
	for at >= len(clientGroup.seconds) {
		clientGroup.seconds = append(clientGroup.seconds, Second{})
	}
	clientGroup.seconds[at].add(second)
	if clientGroup.engine.measuring {
		clientGroup.window.add(second)
		if second.Served > 0 {
			record(clientGroup.answers, now-k.sentAt)
		}
	}
	if why != "" {
		clientGroup.reason(why)
		clientGroup.engine.setTimer(&k.timer, now+10*time.Millisecond, k)
		return
	}
	k.nextRequest()
}

func (c *clientGroup) reason(why string) {
	if _, known := c.failureReasons[why]; known || len(c.failureReasons) < maxReasons {
		c.failureReasons[why]++
	}
}

func (c *clientGroup) close() {
	for _, k := range c.clients {
		if k.conn != nil {
			k.conn.reset()
		}
	}
}
