package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// deployment is a harness with the production policy, in a deployment whose settings are drawn from a seed. The test implements
// the clients, the workers and discovery, and checks what these receive against the settings only.
type deployment struct {
	*harness
	rng             *rand.Rand
	conf            config.Config
	nodes           []*workerNode
	callers         []*caller
	requests        map[string]*issuedRequest
	runningAttempts []*attempt // for which workers still have callbacks to send
	callbackPeers   []*peer    // connections on which workers send callbacks
	discovery       []*peer    // connections of watches
	revision        int        // of discovery's list
	discoveryDials  int        // connections that were dialed to discovery
	lateConnections bool       // some connections are established late, and some are closed by workers after a response
	// handleAttempt responds to an attempt; nil: drawOutcome.
	handleAttempt      func(p *peer, f *remoteEnd, t *attempt)
	requestBudget      time.Duration        // X-Budget-Ms of each request; 0: drawn
	discoveryDialError func() error         // returns the error of a dial to discovery; nil: dials succeed
	discoveryDialsHang bool                 // the next connections to discovery are never established
	dialCount          int                  // connections that were dialed to workers and discovery
	lastEmptyLineAt    time.Duration        // when discovery last sent empty lines
	faults             *systemFaults        // of system calls; nil: none
	remoteEndOf        map[*peer]*remoteEnd // of connections that the scheduler has dialed
}

// workerNode is a worker that the test implements.
type workerNode struct {
	requests.Endpoint
	address       netip.AddrPort
	zone, kind    int
	drainingSince time.Duration // when the list that reports it as draining was sent; 0: the list does not
	downUntil     time.Duration // until then, its process has crashed and refuses connections
}

// remoteEnd is the state of the remote end of a connection.
type remoteEnd struct {
	node          *workerNode   // nil: discovery
	fillerBytes   int           // bytes that fill the socket's buffer, so that the connection counts as not established
	silent        bool          // discovery sends nothing on this watch, which it leaves open
	establishedAt time.Duration // when the connection is established
	pending       *attempt      // the attempt that is not answered yet
	lastAnswered  *attempt      // the attempt that was answered last
	listSent      bool          // discovery has sent its list
}

// caller is a client with one connection, on which it sends one request at a time.
type caller struct {
	peer    *peer
	request *issuedRequest
}

// issuedRequest is a request with the state that its client and the workers have.
type issuedRequest struct {
	id           string
	class        int
	key          string
	deadline     time.Duration
	answers      int
	status       int           // of the last response
	clientClosed bool          // the client has closed its connection before a response
	closedAt     time.Duration // when it did
	results      []string      // of workers
	attempts     []*attempt
}

// attempt is an attempt that a worker has received completely.
type attempt struct {
	request    *issuedRequest
	node       *workerNode
	receivedAt time.Duration // when its last byte was received
	accepted   bool
	ended      bool          // the scheduler was notified of its end
	neverRan   bool          // the scheduler was notified that it never ran
	abandoned  bool          // it was cancelled, or its connection was closed
	endsAt     time.Duration // when the worker sends the callback of its end; 0: never
	endState   string        // in that callback
	startsAt   time.Duration // when the worker sends the callback of its start; 0: never
}

// errorLogHandler fails a test on a log line of the level ERROR.
type errorLogHandler struct{ testing.TB }

func (l errorLogHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelError
}
func (l errorLogHandler) WithAttrs([]slog.Attr) slog.Handler { return l }
func (l errorLogHandler) WithGroup(string) slog.Handler      { return l }
func (l errorLogHandler) Handle(_ context.Context, r slog.Record) error {
	l.Errorf("logged: %s", r.Message)
	r.Attrs(func(a slog.Attr) bool { l.Errorf("  %s", a); return true })
	return nil
}

// drawNames draws n different names. Some are equal to the first segment of a path of the protocol.
func drawNames(rng *rand.Rand, n int) (all []string) {
	const letters = "abcdefghijklmnopqrstuvwxyzABCXYZ0123456789-._~"
	for len(all) < n {
		name := []string{"up", "v1", "jobs", "alive", "metrics", "discovery"}[rng.IntN(6)]
		if rng.IntN(5) > 0 {
			b := make([]byte, 1+rng.IntN(24))
			for i := range b {
				b[i] = letters[rng.IntN(len(letters))]
			}
			name = "x" + string(b)
		}
		if !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	return all
}

type object = map[string]any

// never is an instant that is not reached.
const never = time.Duration(math.MaxInt64)

// drawConfig draws a complete configuration file of the platform. set may change the drawn settings.
func drawConfig(rng *rand.Rand, nodes []*workerNode, zones, kinds []string, set func(settings object)) []byte {
	flip := func() bool { return rng.IntN(2) == 0 }
	drawMicros := func(least, most time.Duration) int64 {
		return (least + time.Duration(rng.Int64N(int64(most-least)))).Microseconds()
	}
	drawSubset := func(n int) []int {
		var all []int
		for i := range n {
			if rng.IntN(3) > 0 {
				all = append(all, i)
			}
		}
		return all
	}
	var classes, tenants []object
	var stretch []float64
	for i, name := range drawNames(rng, 1+rng.IntN(6)) {
		idempotency := []string{"pure", "token", "side_effect"}[(i+rng.IntN(2))%3]
		class := object{
			"name": name, "idempotency": idempotency, "promise": drawMicros(5*time.Millisecond, 2*time.Second),
			"give_up": drawMicros(100*time.Millisecond, 9*time.Second), "gain": 5 * rng.Float64(), "late_share": rng.Float64() / 2,
		}
		if idempotency == "token" {
			class["dedup_scope"] = []string{"cell", "zone", "all"}[rng.IntN(3)]
			class["window"] = drawMicros(50*time.Millisecond, 6*time.Second)
		}
		if rng.IntN(4) == 0 {
			class["allowed_in"] = drawSubset(len(zones))
		}
		if rng.IntN(4) == 0 {
			class["bound_to"] = drawSubset(len(kinds))
		}
		classes, stretch = append(classes, class), append(stretch, 1+3*rng.Float64())
	}
	for _, name := range drawNames(rng, rng.IntN(4)) {
		tenants = append(tenants, object{"name": name, "quota_per_s": float64(rng.IntN(3)) * 40 * rng.Float64()})
	}
	var endpoints []requests.Endpoint
	for _, n := range nodes {
		endpoints = append(endpoints, n.Endpoint)
	}
	replicas := 1 + rng.IntN(5)
	settings := object{
		"replicas_of_me": replicas, "me": rng.IntN(replicas), "zone": rng.IntN(len(zones)), "zones": zones, "kinds": kinds,
		"discovery": []string{"subscribe", "automatic"}[rng.IntN(2)], "classes": classes, "tenants": tenants,
		"bounds": object{
			"try_limit": 1 + rng.IntN(6), "second_copies": flip(), "cancelling": flip(), "probes": flip(),
			"retry_after": flip(), "max_retry_after": drawMicros(time.Millisecond, 3*time.Second),
			"connect_timeout": drawMicros(60*time.Millisecond, 400*time.Millisecond), "conn_idle": drawMicros(time.Second, time.Minute),
		},
		"domain": object{"class_stretch": stretch, "tells_start": flip(), "progress": rng.IntN(2) * 500_000},
		"prices": object{"probe": rng.Float64() / 100, "cross_zone": rng.Float64() / 10, "handshake": rng.Float64() / 10},
		"rules": object{
			"ask_every": drawMicros(500*time.Millisecond, 12*time.Second), "cold": drawMicros(time.Second, 20*time.Second),
			"cold_from": 0.1 + 0.8*rng.Float64(), "overload_factor": 1 + 3*rng.Float64(), "fall": drawMicros(500*time.Millisecond, 3*time.Second),
		},
	}
	set(settings)
	text, err := json.Marshal(object{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": "10.9.9.9:8500", "seed": strconv.FormatUint(rng.Uint64(), 16),
		"limits": object{"sockets": 64 + rng.IntN(900), "memory_mb": 16 + rng.IntN(170)},
		"known":  requests.EndpointList{Revision: 1, Reset: true, Endpoints: endpoints}, "settings": settings,
	})
	if err != nil {
		panic(err)
	}
	return text
}

// newDeployment draws a deployment, whose settings set may change, and starts a scheduler with its configuration. If late is set,
// some connections to workers are established late, and workers close some after a response.
func newDeployment(t *testing.T, seed uint64, late bool, set func(settings object)) *deployment {
	t.Helper()
	d := drawDeployment(t, seed, late, set)
	d.open()
	return d
}

// drawDeployment draws a deployment without starting its scheduler.
func drawDeployment(t *testing.T, seed uint64, late bool, set func(settings object)) *deployment {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 21))
	h := &harness{Steps: &modeltest.Steps{T: t}, now: 1000 * time.Hour}
	d := &deployment{harness: h, rng: rng, requests: map[string]*issuedRequest{}, remoteEndOf: map[*peer]*remoteEnd{}, revision: 1, lateConnections: late}
	zones, kinds := drawNames(rng, 1+rng.IntN(5)), drawNames(rng, 1+rng.IntN(3))
	for i := range 2 + rng.IntN(7) {
		n := &workerNode{zone: rng.IntN(len(zones)), kind: rng.IntN(len(kinds))}
		n.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i), byte(1 + rng.IntN(250))}), uint16(1000+rng.IntN(60000)))
		n.Endpoint = requests.Endpoint{
			ID: fmt.Sprintf("s-%08x", rng.Uint32()), Addr: n.address.String(), Zone: zones[n.zone], MachineType: kinds[n.kind],
			Cell: rng.IntN(3), Lifecycle: "up", Weight: float64(rng.IntN(3)),
		}
		if rng.IntN(3) == 0 {
			n.StartedAtMs = (h.now - time.Duration(rng.IntN(int(20*time.Second)))).Milliseconds()
		}
		d.nodes = append(d.nodes, n)
	}
	text := drawConfig(rng, d.nodes, zones, kinds, set)
	var err error
	if d.conf, err = config.Decode(text, func(string) string { return "" }); err != nil {
		t.Fatalf("%v in %s", err, text)
	}
	t.Logf("%s", text)
	return d
}

// open does what Open does, with the test's clock, and with the test as the remote end of connections.
func (d *deployment) open() {
	log := slog.New(errorLogHandler{d.T})
	l, err := newScheduler(log, log, func() time.Duration { return d.now }, 0, eventloop.Syscalls{})
	if err != nil {
		d.T.Fatal(err)
	}
	l.dial = d.dial
	d.scheduler = l
	if d.faults != nil {
		*l.Syscalls() = d.faults.syscalls()
	}
	c := d.conf
	l.openBudget(c.Limits, 0)
	l.onWake = func() {}
	l.openWorkerPool(l.budget.Shares().WorkerConnections, c.Settings.ConnectTimeout, c.Settings.ConnIdleTimeout)
	l.Requests = requests.New(c.Settings.AttemptLimit, c.Settings.Names, func() requests.Policy { return dispatch.New(c.Settings.Settings, c.Seed) },
		c.KnownEndpoints, workerTransport{l.workers, l}, log)
	l.workers.SetTable(l.Requests)
	l.prepareWatch(c, rand.New(rand.NewPCG(c.Seed, watchSeed)).Int64N)
	l.openClientListener(clientLimitsOf(l.budget.Shares()), &c.Settings.Settings, c.Settings.Names)
	l.prepareHotRestart(transferState{l})
	if d.faults != nil {
		d.faults.listenForClients(l)
	}
	l.watch.Start(len(c.KnownEndpoints.Endpoints) > 0)
	d.T.Cleanup(l.CloseDescriptors)
	for range 2 {
		d.callbackPeers = append(d.callbackPeers, d.connect())
	}
	for range 4 + d.rng.IntN(16) {
		d.callers = append(d.callers, &caller{peer: d.connect()})
	}
	d.runUntilSettled()
}

// connect returns the client's end of a new connection to the scheduler.
func (d *deployment) connect() *peer {
	if d.faults != nil {
		return d.faults.connectClient()
	}
	p, fd := d.socketPair()
	d.scheduler.clients.AddConnection(fd, netip.AddrPort{})
	return p
}

// dial accepts a connection from the scheduler, to a worker or to discovery. One to a worker may be established late.
func (d *deployment) dial(at netip.AddrPort) (int, error) {
	f := &remoteEnd{}
	for _, n := range d.nodes {
		if n.address == at {
			f.node = n
		}
	}
	d.dialCount++
	if f.node == nil && d.discoveryDialError != nil {
		if err := d.discoveryDialError(); err != nil {
			return -1, err
		}
	}
	if f.node != nil && f.node.downUntil > d.now {
		return -1, unix.ECONNREFUSED
	}
	p, fd, err := d.openDialed(f)
	if err != nil {
		return -1, err
	}
	p.dialedAddress = at
	if f.node == nil {
		d.discovery = append(d.discovery, p)
		d.discoveryDials++
		if d.discoveryDialsHang {
			f.fillerBytes, f.establishedAt = eventlooptest.FillSocket(fd), never
		}
	} else if d.lateConnections && d.rng.IntN(3) == 0 { // fill the socket's buffer; readRemoteEnd discards the filler
		for zeros := make([]byte, 64<<10); ; {
			n, err := unix.Write(fd, zeros)
			if err != nil {
				break
			}
			f.fillerBytes += n
		}
		f.establishedAt = d.now + time.Duration(d.rng.IntN(600))*time.Millisecond
	}
	d.remoteEndOf[p] = f
	d.dialed = append(d.dialed, p)
	return fd, nil
}

// openDialed opens a connection to a worker, or to discovery.
func (d *deployment) openDialed(f *remoteEnd) (p *peer, fd int, err error) {
	if d.faults != nil {
		return d.faults.dial(f)
	}
	p, fd = d.socketPair()
	return p, fd, nil
}

// runUntilSettled runs the loop, clients and workers until none of them has anything left to do at this instant. Of messages that
// arrive together, workers handle cancellations before new attempts.
func (d *deployment) runUntilSettled() {
	for more := true; more; {
		d.runIterations()
		more = false
		for _, p := range d.dialed {
			more = d.readRemoteEnd(p) || more
		}
		for _, begins := range [...]bool{false, true} {
			for _, p := range d.dialed {
				more = d.handleRequest(p, begins) || more
			}
		}
		for _, c := range d.callers {
			d.readResponses(c)
		}
		d.readCallbackResponses()
		d.dialed = slices.DeleteFunc(d.dialed, func(p *peer) bool {
			if p.Ended || p.Closed {
				p.Close()
				delete(d.remoteEndOf, p)
			}
			return p.Closed
		})
	}
}

// readCallbackResponses discards the responses to callbacks. A connection that the scheduler has closed as idle is replaced.
func (d *deployment) readCallbackResponses() {
	for i, p := range d.callbackPeers {
		p.Read(16 << 10)
		p.Received = p.Received[:0]
		if p.Ended {
			p.Close()
			d.callbackPeers[i] = d.connect()
		}
	}
}

// readRemoteEnd reads from a connection, and reports whether anything was received.
func (d *deployment) readRemoteEnd(p *peer) (more bool) {
	before, f := len(p.Received), d.remoteEndOf[p]
	if f.fillerBytes == 0 || f.establishedAt <= d.now || p.Ended {
		p.Read(16 << 10)
		take := min(f.fillerBytes, len(p.Received))
		p.Received, f.fillerBytes = p.Received[take:], f.fillerBytes-take
		more = take > 0
	}
	more = more || len(p.Received) > before
	if t := f.pending; p.Ended && t != nil {
		f.pending = nil
		t.abandoned = t.abandoned || !t.accepted
	}
	return more
}

// handleRequest handles one complete request, if one was received: an attempt if begins is set, or any other request if not.
func (d *deployment) handleRequest(p *peer, begins bool) bool {
	f := d.remoteEndOf[p]
	var m http1.Request
	n, err := m.Parse(p.Received)
	if err != nil || f.fillerBytes > 0 || (string(m.Method) == "POST") != begins {
		if err != nil && !errors.Is(err, http1.ErrIncomplete) {
			d.T.Fatalf("%v in %.100q", err, p.Received)
		}
		return false
	}
	target := string(m.Target)
	p.Received = bytes.Clone(p.Received[n:])
	switch {
	case f.node == nil:
		d.Check(strings.HasPrefix(target, "/discovery/hosts?stream=1"), "discovery was asked for %s", target)
		p.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
		f.listSent = true
		d.sendSnapshot(p)
		d.faults.recordListSent()
	case string(m.Method) == "DELETE":
		for _, t := range d.requests[strings.TrimPrefix(target, "/jobs/")].attempts {
			if t.node == f.node {
				t.abandoned = true
				if d.rng.IntN(2) == 0 {
					t.endsAt = 0 // some workers stop; the others complete the cancelled attempt
				}
			}
		}
		p.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	case string(m.Method) == "GET":
		d.Check(d.conf.Settings.HealthChecks, "a health check, which the settings don't allow")
		if d.rng.IntN(4) > 0 {
			p.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	default:
		d.Check(len(p.Received) == 0 && f.pending == nil, "a second request on a connection before the first one was answered")
		d.receiveAttempt(p, f, &m)
	}
	return true
}

// receiveAttempt checks an attempt that was received completely, and decides its outcome.
func (d *deployment) receiveAttempt(p *peer, f *remoteEnd, m *http1.Request) {
	q := d.requests[string(m.Get("X-Call-Id"))]
	if q == nil {
		d.T.Fatalf("an attempt of a request that no client has sent: %q", m.Get("X-Call-Id"))
	}
	set, n := &d.conf.Settings, f.node
	class := set.Classes[q.class]
	d.Check(q.answers == 0 && (!q.clientClosed || d.faults != nil && d.now-q.closedAt <= maxAttemptAfterClose), "%s was sent after its response, or after its client's close", q.id)
	d.Check(string(m.Get("Idempotency-Key")) == q.key, "%s was sent with another idempotency key", q.id)
	remaining, _ := http1.ParseDecimal(m.Get("X-Budget-Ms"))
	d.Check(time.Duration(remaining)*time.Millisecond <= max(q.deadline-d.now, time.Millisecond)+d.stallAllowance(), "%s has %v left, and X-Budget-Ms is %d", q.id, q.deadline-d.now, remaining)
	d.Check(n.drainingSince == 0 || d.now-n.drainingSince <= 550*time.Millisecond+d.stallAllowance(), "%s was sent to %s, which has been draining for %v", q.id, n.ID, d.now-n.drainingSince)
	d.Check(class.Zones == nil || slices.Contains(class.Zones, n.zone), "%s was sent to a zone that its class does not allow", q.id)
	d.Check(class.Kinds == nil || slices.Contains(class.Kinds, n.kind), "%s was sent to a machine type that its class does not allow", q.id)
	for i, earlier := range q.attempts {
		d.checkFurtherAttempt(q, i, earlier, n)
	}
	t := &attempt{request: q, node: n, receivedAt: d.now}
	q.attempts, d.runningAttempts = append(q.attempts, t), append(d.runningAttempts, t)
	d.Check(len(q.attempts) <= set.AttemptLimit, "%s has %d attempts", q.id, len(q.attempts))
	if p.Ended { // the connection was closed immediately after the attempt was written
		t.abandoned = true
		return
	}
	f.pending = t
	if d.handleAttempt != nil {
		d.handleAttempt(p, f, t)
		return
	}
	d.drawOutcome(p, f, t)
}

// checkFurtherAttempt checks that a request may be sent to a worker, given its i-th attempt.
func (d *deployment) checkFurtherAttempt(q *issuedRequest, i int, earlier *attempt, n *workerNode) {
	set := &d.conf.Settings
	class := set.Classes[q.class]
	active := !earlier.ended && !earlier.abandoned
	d.Check(!active || earlier.node != n, "%s was sent to %s again while its attempt there was in flight", q.id, n.ID)
	d.Check(!active || set.Hedging, "%s: a hedge while attempt %d was in flight, which the settings don't allow", q.id, i)
	if earlier.neverRan || class.Idempotency == dispatch.Idempotent {
		return
	}
	d.Check(class.Idempotency == dispatch.IdempotentWithKey, "%s may run twice: attempt %d, ended %v, abandoned %v", q.id, i, earlier.ended, earlier.abandoned)
	same := class.DeduplicationScope == dispatch.ScopeAll || class.DeduplicationScope == dispatch.ScopeZone && earlier.node.zone == n.zone ||
		class.DeduplicationScope == dispatch.ScopeCell && earlier.node.Cell == n.Cell
	d.Check(same, "%s was sent outside of the deduplication scope of attempt %d", q.id, i)
	d.Check(d.now-earlier.receivedAt <= class.DeduplicationWindow+50*time.Millisecond+d.stallAllowance(), "%s was sent again %v after attempt %d, window %v", q.id, d.now-earlier.receivedAt, i, class.DeduplicationWindow)
}

// drawOutcome draws the outcome of an attempt.
func (d *deployment) drawOutcome(p *peer, f *remoteEnd, t *attempt) {
	set := &d.conf.Settings
	class := set.Classes[t.request.class]
	work := time.Duration(1+d.rng.IntN(int(class.ClientTimeout.Milliseconds()))) * time.Millisecond / time.Duration(1+d.rng.IntN(40))
	switch d.rng.IntN(18) {
	case 0:
		d.respond(p, f, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
		t.ended, t.neverRan = true, true
	case 1:
		d.respond(p, f, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
		t.ended = true
	case 2:
		f.pending, t.ended = nil, true
		p.Close()
	case 3: // no response and no callback
	case 5: // a response that means that no worker can serve it
		d.respond(p, f, "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n")
		t.ended, t.neverRan = true, true
	case 4: // a callback without a response
		t.endsAt, t.endState = d.now, "done"
	default:
		d.respond(p, f, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
		t.accepted = true
		t.endsAt = d.now + work
		t.endState = []string{"done", "done", "done", "done", "done", "failed", "returned", "lost"}[d.rng.IntN(8)]
		if set.StartNotifications && t.endState != "returned" {
			t.startsAt = d.now + work/3
		}
		if d.rng.IntN(10) == 0 {
			t.startsAt, t.endsAt = 0, 0 // it hangs after it was accepted
		}
	}
}

func (d *deployment) respond(p *peer, f *remoteEnd, text string) {
	f.pending, f.lastAnswered = nil, f.pending
	if d.lateConnections && d.rng.IntN(2) == 0 {
		p.Write([]byte(strings.Replace(text, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)))
		p.Close()
		return
	}
	p.Write([]byte(text))
}

// crash makes a worker's process crash: its connections are closed, and its attempts end. For accepted ones its machine sends a
// callback with the state "lost". New connections are refused for a while.
func (d *deployment) crash(n *workerNode) {
	d.runUntilSettled()
	n.downUntil = d.now + time.Duration(d.rng.IntN(800))*time.Millisecond
	if n.Lifecycle == "up" {
		n.StartedAtMs = n.downUntil.Milliseconds()
	}
	for _, p := range d.dialed {
		if f := d.remoteEndOf[p]; f.node == n {
			f.pending, f.fillerBytes = nil, 0
			p.Close()
		}
	}
	for _, q := range d.requests {
		for _, t := range q.attempts {
			if t.node == n && !t.ended {
				t.ended, t.startsAt = true, 0
				if t.endsAt > 0 {
					t.endState = "lost"
				}
			}
		}
	}
}

// sendCallbacks makes workers send the callbacks that are due.
func (d *deployment) sendCallbacks() {
	for _, t := range d.runningAttempts {
		if t.startsAt > 0 && t.startsAt <= d.now && t.startsAt < t.endsAt {
			t.startsAt = 0
			d.sendCallback(t, "started", "")
		}
		if t.endsAt == 0 || t.endsAt > d.now {
			continue
		}
		t.endsAt = 0
		t.ended, t.neverRan = true, t.endState == "returned"
		result := ""
		if t.endState == "done" {
			result = fmt.Sprintf("%s by %s, %d", t.request.id, t.node.ID, len(t.request.results))
			t.request.results = append(t.request.results, result)
		}
		for range 1 + d.rng.IntN(8)/7 { // some are sent twice
			d.sendCallback(t, t.endState, result)
		}
	}
	d.runningAttempts = slices.DeleteFunc(d.runningAttempts, func(t *attempt) bool { return t.endsAt == 0 })
}

func (d *deployment) sendCallback(t *attempt, state, result string) {
	body, err := json.Marshal(map[string]string{"id": t.request.id, "from": t.node.ID, "state": state, "result": result})
	if err != nil {
		d.T.Fatal(err)
	}
	d.callbackPeers[d.rng.IntN(len(d.callbackPeers))].Write(fmt.Appendf(nil, "POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// sendSnapshot sends the complete list on a watch.
func (d *deployment) sendSnapshot(p *peer) {
	g := requests.EndpointList{Revision: int64(d.revision), Reset: true}
	for _, n := range d.nodes {
		g.Endpoints = append(g.Endpoints, n.Endpoint)
	}
	text, err := json.Marshal(g)
	if err != nil {
		d.T.Fatal(err)
	}
	p.Write(fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(text)+1, text))
}

// sendRequest makes a client send a request. Which of the protocol's optional headers it has is drawn.
func (d *deployment) sendRequest(c *caller) {
	set := &d.conf.Settings
	q := &issuedRequest{id: fmt.Sprintf("%016x", d.rng.Uint64()), class: d.rng.IntN(len(set.Classes))}
	class, name := set.Classes[q.class], set.Names.Classes[q.class]
	budget := class.ClientTimeout / time.Duration(1+d.rng.IntN(3))
	budget = max(budget.Truncate(time.Millisecond), time.Millisecond)
	if d.requestBudget > 0 {
		budget = d.requestBudget
	}
	q.deadline = d.now + budget
	header := fmt.Sprintf("POST /%s/%x HTTP/1.1\r\nHost: h\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: %d\r\n", name, d.rng.IntN(9), q.id, name, budget.Milliseconds())
	if class.Idempotency == dispatch.IdempotentWithKey {
		q.key = fmt.Sprintf("%032x", d.rng.Uint64())
		header += "Idempotency-Key: " + q.key + "\r\n"
	}
	if t := set.Names.Tenants; len(t) > 0 {
		header += "X-Caller: " + t[d.rng.IntN(len(t))] + "\r\n"
	}
	if d.rng.IntN(2) == 0 {
		header += fmt.Sprintf("X-Call-Cost: %d\r\n", d.rng.IntN(2_000_000))
	}
	if d.rng.IntN(4) == 0 {
		header += "X-Again: 1\r\n"
	}
	body := bytes.Repeat([]byte{'b'}, d.rng.IntN(200))
	c.peer.Write(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", header, len(body), body))
	c.request, d.requests[q.id] = q, q
}

// readResponses reads the responses to a client.
func (d *deployment) readResponses(c *caller) {
	p := c.peer
	p.Read(16 << 10)
	for len(p.Received) > 0 {
		var m http1.Response
		n, err := m.Parse(p.Received, p.Ended)
		if err != nil {
			break
		}
		if m.StatusCode >= 200 {
			d.Check(c.request != nil, "a response %d without a request", m.StatusCode)
			q := c.request
			q.answers++
			q.status = m.StatusCode
			c.request = nil
			d.Check(d.now <= q.deadline+d.maxAnswerDelay(), "%s was answered %v late", q.id, d.now-q.deadline)
			d.Check(m.StatusCode == 200 || m.StatusCode == 500 || m.StatusCode == 503, "%s was answered %d", q.id, m.StatusCode)
			d.Check(m.StatusCode != 200 || slices.Contains(q.results, string(m.Body)), "%s was answered with %q, workers sent %q", q.id, m.Body, q.results)
		}
		p.Received = bytes.Clone(p.Received[n:])
	}
	if p.Ended || p.Closed { // closed as idle, by a response with Connection: close, or by the client
		d.Check(c.request == nil || p.Closed, "%s lost its connection", "a request")
		p.Close()
		c.peer, c.request = d.connect(), nil
	}
}

// run runs a number of random steps, and then continues until all requests and attempts have ended.
func (d *deployment) run(steps int) {
	for range steps {
		d.now += time.Duration(1+d.rng.IntN(25)) * time.Millisecond
		for _, c := range d.callers {
			switch {
			case c.request == nil && d.rng.IntN(4) == 0:
				d.sendRequest(c)
			case c.request != nil && d.rng.IntN(150) == 0:
				c.request.clientClosed, c.request.closedAt = true, d.now
				c.peer.Close()
			}
		}
		if d.rng.IntN(50) == 0 {
			d.crash(d.nodes[d.rng.IntN(len(d.nodes))])
		}
		d.sendCallbacks()
		d.changeEndpoints()
		d.runUntilSettled()
		if d.faults != nil {
			d.faults.checkEventsHandled()
		}
	}
	d.runUntilAllEnded()
	served, retried := 0, 0
	for _, q := range d.requests {
		d.Check(q.answers == 1 || q.clientClosed && q.answers == 0, "%s has %d responses, closed by the client %v", q.id, q.answers, q.clientClosed)
		if len(q.results) > 0 {
			served++
		}
		if len(q.attempts) > 1 {
			retried++
		}
	}
	d.Check(d.scheduler.Requests.OpenCount() == 0 && d.scheduler.Requests.PayloadBytes() == 0, "%d requests open, with %d bytes", d.scheduler.Requests.OpenCount(), d.scheduler.Requests.PayloadBytes())
	d.T.Logf("%d requests, %d with a result, %d with further attempts", len(d.requests), served, retried)
}

// runUntilAllEnded runs until all requests and all attempts have ended.
func (d *deployment) runUntilAllEnded() {
	for d.scheduler.Requests.OpenCount() > 0 {
		d.now += 25 * time.Millisecond
		d.sendCallbacks()
		d.runUntilSettled()
	}
	if d.faults != nil {
		d.faults.sendDelayedResponses()
	}
	d.now += 20 * time.Second // longer than the scheduler waits for any attempt
	d.runUntilSettled()
}

// changeEndpoints makes discovery send what it has to send. At random, it drains or restarts a worker, or closes a watch.
func (d *deployment) changeEndpoints() {
	changed := d.rng.IntN(60) == 0
	if n := d.nodes[d.rng.IntN(len(d.nodes))]; changed {
		if d.revision++; n.Lifecycle == "up" {
			n.Lifecycle = "draining"
		} else {
			n.Lifecycle, n.StartedAtMs = "up", d.now.Milliseconds()
		}
	}
	d.discovery = slices.DeleteFunc(d.discovery, func(p *peer) bool { return p.Closed || p.Ended })
	for _, p := range d.discovery {
		switch {
		case d.remoteEndOf[p] == nil || !d.remoteEndOf[p].listSent:
		case d.rng.IntN(300) == 0:
			p.Close()
		case changed:
			d.sendSnapshot(p)
		case d.rng.IntN(20) == 0:
			p.Write([]byte("1\r\n\n\r\n"))
		}
	}
	for _, n := range d.nodes { // the scheduler is notified only on an open watch
		switch {
		case n.Lifecycle == "up":
			n.drainingSince = 0
		case n.drainingSince == 0 && changed && d.hasOneWatch():
			n.drainingSince = d.now
		}
	}
}

// hasOneWatch reports whether there is exactly one watch, which is open and has received the list.
func (d *deployment) hasOneWatch() bool {
	return len(d.discovery) == 1 && !d.discovery[0].Closed && d.remoteEndOf[d.discovery[0]].listSent
}

func keepSettings(object) {}

// With any settings, a scheduler answers each request once and in time, does not repeat a request unless its class allows it, and
// does nothing that the settings don't allow.
func TestGeneratedSettings(t *testing.T) {
	for seed := range uint64(80) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { newDeployment(t, seed, false, keepSettings).run(200) })
	}
}

// The same as TestGeneratedSettings, with connections to workers that are established late, also those for cancellations. Until
// an attempt has ended or its worker was notified of its cancellation, there is no other attempt if hedging is not allowed, and
// never another one at the same worker. A request with an idempotency key is retried only within its window, however late the
// connection is.
func TestGeneratedSettingsWithLateConnections(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			newDeployment(t, 1000+seed, true, func(settings object) {
				if settings["bounds"].(object)["second_copies"] = seed%2 == 0; seed%2 > 0 {
					return
				}
				for _, c := range settings["classes"].([]object) { // a window that may end before the connection is established
					if c["idempotency"] == "token" {
						c["window"], c["dedup_scope"] = c["window"].(int64)/12, "all"
					}
				}
			}).run(200)
		})
	}
}

// With each setting of discovery, a process opens a watch within a second of its start, and another one within a second after
// that has ended: it receives changes only on a watch.
func TestListIsWatched(t *testing.T) {
	for _, how := range []string{"subscribe", "automatic"} {
		t.Run(how, func(t *testing.T) {
			d := newDeployment(t, 1, false, func(settings object) {
				settings["discovery"], settings["replicas_of_me"], settings["me"] = how, 3, 0
			})
			for dials := range 3 {
				for range 100 {
					d.now += 10 * time.Millisecond
					d.runUntilSettled()
				}
				d.Check(d.discoveryDials == dials+1 && len(d.discovery) > 0, "discovery was dialed %d times, expected %d", d.discoveryDials, dials+1)
				d.discovery[len(d.discovery)-1].Close()
			}
		})
	}
}
