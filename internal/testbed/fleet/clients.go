package fleet

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	jobClass            = "status-check"
	requestBody         = "status of a remittance\r\n"
	budget              = 5 * time.Second       // of each request, in its X-Budget-Ms
	budgetGrace         = 50 * time.Millisecond // how long after the budget a response is awaited
	timeoutScanInterval = 100 * time.Millisecond
	failureDelay        = 10 * time.Millisecond // from a failure to the next request
	maxReasons          = 32                    // distinct reasons of failures that are counted
)

// OutcomeCounts counts the outcomes of the clients' requests, in one second or another span of time.
type OutcomeCounts struct {
	Served   int `json:"served"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
}

func (s *OutcomeCounts) add(other OutcomeCounts) {
	s.Served += other.Served
	s.Rejected += other.Rejected
	s.Failed += other.Failed
}

// clientGroup holds the clients of one engine and counts what became of their requests.
type clientGroup struct {
	timer          // the next scan for requests without a response
	engine         *engine
	rig            *Rig
	clients        []*client
	sending        bool
	startedAt      time.Duration
	seconds        []OutcomeCounts         // from startedAt
	window         OutcomeCounts           // in the measurement window
	latency        *hdrhistogram.Histogram // of the requests served in the window
	failureReasons map[string]int          // in the whole run, as are the counts below
	requested      int
	settled        int       // requests whose outcome is known
	completed      int       // settled requests; without arrivals, rejected ones are left out, as they are sent again
	arrivals       *arrivals // nil if each client sends its next request after a response
}

// client sends a request, waits for the response, and sends the next. A single-request client sends only one.
type client struct {
	timer     // the next request, at the start and after a failure
	group     *clientGroup
	number    int
	single    bool
	target    netip.AddrPort
	conn      *clientConn // nil without a connection
	count     uint64      // of its requests so far
	requestID [16]byte
	inFlight  bool
	retried   bool // the request was sent a second time
	sentAt    time.Duration
}

// clientConn is a client's connection to its target.
type clientConn struct {
	conn
	client    *client
	responses int
}

func newClientGroup(rig *Rig, engine *engine) *clientGroup {
	return &clientGroup{engine: engine, rig: rig, latency: newHistogram(), failureReasons: map[string]int{}}
}

// add makes a client that sends its first request some time after the group's start.
func (g *clientGroup) add(number int, single bool, target netip.AddrPort, delay time.Duration) {
	added := &client{group: g, number: number, single: single, target: target}
	g.clients = append(g.clients, added)
	g.engine.setTimer(&added.timer, g.startedAt+delay, added)
}

// start sets the group's time zero. The group's clients may send from then on.
func (g *clientGroup) start() {
	g.sending = true
	g.startedAt = g.engine.clock()
	g.engine.setTimer(&g.timer, g.startedAt+timeoutScanInterval, g)
}

// timerExpired gives up requests that are past their budget.
func (g *clientGroup) timerExpired() {
	for _, client := range g.clients {
		if client.inFlight && g.engine.now-client.sentAt > budget+budgetGrace {
			client.conn.close()
			client.conn = nil
			client.settle(OutcomeCounts{Failed: 1}, "no answer")
		}
	}
	if g.sending {
		g.engine.setTimer(&g.timer, g.engine.now+timeoutScanInterval, g)
	}
}

// countFailure counts a reason of a failure. Beyond maxReasons, new reasons are not counted.
func (g *clientGroup) countFailure(reason string) {
	if _, known := g.failureReasons[reason]; known || len(g.failureReasons) < maxReasons {
		g.failureReasons[reason]++
	}
}

// countOutcome adds an outcome to the counts of the current second.
func (g *clientGroup) countOutcome(outcome OutcomeCounts, now time.Duration) {
	g.settled++
	if outcome.Rejected > 0 && g.arrivals == nil {
		g.rig.returnJob()
	} else {
		g.completed++
	}
	at := int((now - g.startedAt) / time.Second)
	for at >= len(g.seconds) {
		g.seconds = append(g.seconds, OutcomeCounts{})
	}
	g.seconds[at].add(outcome)
}

// close resets the clients' connections. The engine must have ended.
func (g *clientGroup) close() {
	for _, client := range g.clients {
		if client.conn != nil {
			client.conn.reset()
		}
	}
}

func (c *client) timerExpired() { c.nextRequest() }

// nextRequest sends the next request, if there is one.
func (c *client) nextRequest() {
	group := c.group
	if !group.sending || c.single && c.count > 0 || !group.rig.takeJob() {
		return
	}
	c.count++
	group.requested++
	c.setRequestID(mixBits(group.rig.spec.Seed, uint64(c.number)<<40|c.count))
	c.inFlight = true
	c.retried = false
	c.sentAt = group.engine.clock()
	c.send()
}

// setRequestID writes the request's identifier in hexadecimal digits.
func (c *client) setRequestID(number uint64) {
	const digits = "0123456789abcdef"
	for i := range c.requestID {
		c.requestID[i] = digits[number>>(60-4*i)&15]
	}
}

// mixBits is the SplitMix64 finaliser: it maps each number to another that looks random.
func mixBits(seed, number uint64) uint64 {
	mixed := number + seed*0x9e3779b97f4a7c15
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// send writes the request, on a new connection if there is none.
func (c *client) send() {
	engine := c.group.engine
	if c.conn == nil {
		opened := &clientConn{client: c}
		if err := engine.dial(&opened.conn, netip.AddrPort{}, c.target, opened); err != nil {
			c.fail(err)
			return
		}
		c.conn = opened
	}
	engine.writeBuffer = c.appendRequest(engine.writeBuffer[:0])
	c.conn.write(engine.writeBuffer)
}

func (c *client) appendRequest(b []byte) []byte {
	b = append(b, "POST /"+jobClass+"/"...)
	b = append(b, c.requestID[:]...)
	b = append(b, " HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: "...)
	b = append(b, c.requestID[:]...)
	b = append(b, "\r\nX-Call-Class: "+jobClass+"\r\nX-Caller: "...)
	b = append(b, tenants[c.number%len(tenants)]...)
	b = append(b, "\r\nX-Budget-Ms: "...)
	b = strconv.AppendInt(b, budget.Milliseconds(), 10)
	if hint := c.group.rig.spec.Hint; hint > 0 {
		b = append(b, "\r\nX-Call-Cost: "...)
		b = strconv.AppendInt(b, hint.Microseconds(), 10)
	}
	b = append(b, "\r\nX-Call-Info: slots=1\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(requestBody)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, requestBody...)
}

// fail settles the request by the error of its connection.
func (c *client) fail(err error) { c.settle(OutcomeCounts{Failed: 1}, err.Error()) }

// settle counts the outcome of the request, and sends the next one. A failureReason that is not empty delays the next
// request: a client whose target does not listen would otherwise take all of the engine's time.
func (c *client) settle(outcome OutcomeCounts, failureReason string) {
	group := c.group
	now := group.engine.clock()
	c.inFlight = false
	group.countOutcome(outcome, now)
	if group.engine.measuring {
		group.window.add(outcome)
		if outcome.Served > 0 {
			record(group.latency, now-c.sentAt)
		}
	}
	if failureReason != "" {
		group.countFailure(failureReason)
	}
	if group.arrivals != nil {
		group.arrivals.idle = append(group.arrivals.idle, c)
		return
	}
	if failureReason != "" {
		group.engine.setTimer(&c.timer, now+failureDelay, c)
		return
	}
	c.nextRequest()
}

// handleResponse settles the request by its response.
func (c *client) handleResponse(response *message) {
	switch isOwn := bytes.HasPrefix(response.body, c.requestID[:]); {
	case response.status == http.StatusOK && isOwn:
		c.settle(OutcomeCounts{Served: 1}, "")
	case response.status == http.StatusTooManyRequests || response.status == http.StatusServiceUnavailable:
		c.settle(OutcomeCounts{Rejected: 1}, "")
	case response.status == http.StatusOK:
		c.settle(OutcomeCounts{Failed: 1}, "another request's answer")
	default:
		c.settle(OutcomeCounts{Failed: 1}, "status "+strconv.Itoa(response.status))
	}
}

func (c *clientConn) dataReceived(b []byte) int {
	client := c.client
	var response message
	size, err := c.engine.reader.read(b, &response)
	if err == nil && size == 0 {
		return 0
	}
	if err != nil || response.status == 0 || !client.inFlight {
		c.close()
		client.conn = nil
		if client.inFlight {
			client.fail(fmt.Errorf("no answer that can be read: %w", err))
		} else {
			client.group.countFailure("more than one answer")
		}
		return size
	}
	c.responses++
	if response.lastOnConn {
		c.close()
		client.conn = nil
	}
	client.handleResponse(&response)
	return size
}

// connClosed settles the request in flight. If the connection was used before, the target may have closed it as idle
// while the request was on its way; then the request is sent once more.
func (c *clientConn) connClosed(err error) {
	client := c.client
	if client.conn != c {
		return
	}
	client.conn = nil
	switch {
	case !client.inFlight:
	case c.responses > 0 && !client.retried:
		client.retried = true
		client.send()
	case err == nil:
		client.settle(OutcomeCounts{Failed: 1}, "closed")
	default:
		client.fail(err)
	}
}
