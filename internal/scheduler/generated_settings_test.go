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

// deployment is a harness round a loop with the policy that decides in service, both by settings that a seed draws:
// clients, workers and discovery are peers, and what they see is judged by the settings alone.
type deployment struct {
	*harness
	rng           *rand.Rand
	conf          config.Config
	nodes         []*workerNode
	callers       []*caller
	requests      map[string]*issuedRequest
	running       []*attempt // for which workers have callbacks to send
	callbackPeers []*peer    // connections by which workers send callbacks
	discovery     []*peer    // watches
	revision      int        // of discovery's list: its generation
	dials         int        // of discovery
	late          bool       // some connections come up late, and some are closed by workers after an answer
	decide        func(p *peer, f *farEnd, t *attempt)
	budget        time.Duration // of each request; 0: drawn
	dialDiscovery func() error  // what a call of discovery meets; nil: it is answered
	neverUp       bool          // the next connections to discovery never come up
	dialCount     int           // of workers and discovery
	lastLine      time.Duration // of discovery's empty lines
	faults        *systemFaults // of system calls; nil: none
	known         map[*peer]*farEnd
}

// workerNode is one worker of the generated worker group.
type workerNode struct {
	requests.Endpoint
	at            netip.AddrPort
	zone, kind    int
	drainingSince time.Duration // as the list says; 0: it does not drain
	down          time.Duration // its process has died, and comes back then
}

// farEnd is the test's state of the remote end of a connection.
type farEnd struct {
	node   *workerNode // nil: discovery
	filler int         // bytes that hold the connection up, not taken out yet
	silent bool        // discovery, on a watch that has broken unseen
	up     time.Duration
	try    *attempt // the one that it has not answered
	answer *attempt // the one that it has answered last
	served bool     // of discovery: the list
}

// caller is a client with one connection, on which it asks for one thing at a time.
type caller struct {
	peer    *peer
	request *issuedRequest
}

// issuedRequest is a request as its client and the workers know it.
type issuedRequest struct {
	id         string
	class      int
	key        string
	deadline   time.Duration
	answers    int
	status     int // of the last answer
	clientLeft bool
	leftAt     time.Duration
	results    []string
	tries      []*attempt
}

// attempt is an attempt whose last byte has come to a worker.
type attempt struct {
	of       *issuedRequest
	node     *workerNode
	at       time.Duration
	accepted bool
	ended    bool // the scheduler was notified of it
	never    bool // and that it never ran
	givenUp  bool
	ends     time.Duration // when the worker notifies of its end; 0: never
	state    string        // that it notifies of then
	start    time.Duration // when the worker notifies of its start; 0: never
}

// loud fails a test on a log line about an internal fault.
type loud struct{ *testing.T }

func (l loud) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelError }
func (l loud) WithAttrs([]slog.Attr) slog.Handler               { return l }
func (l loud) WithGroup(string) slog.Handler                    { return l }
func (l loud) Handle(_ context.Context, r slog.Record) error {
	l.Errorf("logged: %s", r.Message)
	r.Attrs(func(a slog.Attr) bool { l.Errorf("  %s", a); return true })
	return nil
}

// names draws so many different words, some of them awkward: those that paths of the protocol begin with.
func names(rng *rand.Rand, n int) (all []string) {
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

// never is an instant that does not come.
const never = time.Duration(math.MaxInt64)

// generated draws a whole configuration in the form of the platform. set may then change some of the settings.
func generated(rng *rand.Rand, nodes []*workerNode, zones, kinds []string, set func(settings object)) []byte {
	flip := func() bool { return rng.IntN(2) == 0 }
	us := func(least, most time.Duration) int64 {
		return (least + time.Duration(rng.Int64N(int64(most-least)))).Microseconds()
	}
	some := func(n int) []int {
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
	for i, name := range names(rng, 1+rng.IntN(6)) {
		effect := []string{"pure", "token", "side_effect"}[(i+rng.IntN(2))%3]
		class := object{
			"name": name, "idempotency": effect, "promise": us(5*time.Millisecond, 2*time.Second),
			"give_up": us(100*time.Millisecond, 9*time.Second), "gain": 5 * rng.Float64(), "late_share": rng.Float64() / 2,
		}
		if effect == "token" {
			class["dedup_scope"] = []string{"cell", "zone", "all"}[rng.IntN(3)]
			class["window"] = us(50*time.Millisecond, 6*time.Second)
		}
		if rng.IntN(4) == 0 {
			class["allowed_in"] = some(len(zones))
		}
		if rng.IntN(4) == 0 {
			class["bound_to"] = some(len(kinds))
		}
		classes, stretch = append(classes, class), append(stretch, 1+3*rng.Float64())
	}
	for _, name := range names(rng, rng.IntN(4)) {
		tenants = append(tenants, object{"name": name, "quota_per_s": float64(rng.IntN(3)) * 40 * rng.Float64()})
	}
	var endpoints []requests.Endpoint
	for _, n := range nodes {
		endpoints = append(endpoints, n.Endpoint)
	}
	of := 1 + rng.IntN(5)
	settings := object{
		"replicas_of_me": of, "me": rng.IntN(of), "zone": rng.IntN(len(zones)), "zones": zones, "kinds": kinds,
		"discovery": []string{"subscribe", "automatic"}[rng.IntN(2)], "classes": classes, "tenants": tenants,
		"bounds": object{
			"try_limit": 1 + rng.IntN(6), "second_copies": flip(), "cancelling": flip(), "probes": flip(),
			"retry_after": flip(), "max_retry_after": us(time.Millisecond, 3*time.Second),
			"connect_timeout": us(60*time.Millisecond, 400*time.Millisecond), "conn_idle": us(time.Second, time.Minute),
		},
		"domain": object{"class_stretch": stretch, "tells_start": flip(), "progress": rng.IntN(2) * 500_000},
		"prices": object{"probe": rng.Float64() / 100, "cross_zone": rng.Float64() / 10, "handshake": rng.Float64() / 10},
		"rules": object{
			"ask_every": us(500*time.Millisecond, 12*time.Second), "cold": us(time.Second, 20*time.Second),
			"cold_from": 0.1 + 0.8*rng.Float64(), "overload_factor": 1 + 3*rng.Float64(), "fall": us(500*time.Millisecond, 3*time.Second),
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

// newDeployment draws a deployment, but for what set sets, and starts a scheduler in it as its configuration says. late has
// connections to workers come up late, and others close after an answer.
func newDeployment(t *testing.T, seed uint64, late bool, set func(settings object)) *deployment {
	t.Helper()
	d := drawDeployment(t, seed, late, set)
	d.open()
	return d
}

// drawDeployment draws a deployment, in which nothing runs yet.
func drawDeployment(t *testing.T, seed uint64, late bool, set func(settings object)) *deployment {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 21))
	h := &harness{Steps: &modeltest.Steps{T: t}, now: 1000 * time.Hour}
	d := &deployment{harness: h, rng: rng, requests: map[string]*issuedRequest{}, known: map[*peer]*farEnd{}, revision: 1, late: late}
	zones, kinds := names(rng, 1+rng.IntN(5)), names(rng, 1+rng.IntN(3))
	for i := range 2 + rng.IntN(7) {
		n := &workerNode{zone: rng.IntN(len(zones)), kind: rng.IntN(len(kinds))}
		n.at = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i), byte(1 + rng.IntN(250))}), uint16(1000+rng.IntN(60000)))
		n.Endpoint = requests.Endpoint{
			ID: fmt.Sprintf("s-%08x", rng.Uint32()), Addr: n.at.String(), Zone: zones[n.zone], MachineType: kinds[n.kind],
			Cell: rng.IntN(3), Lifecycle: "up", Weight: float64(rng.IntN(3)),
		}
		if rng.IntN(3) == 0 {
			n.StartedAtMs = (h.now - time.Duration(rng.IntN(int(20*time.Second)))).Milliseconds()
		}
		d.nodes = append(d.nodes, n)
	}
	text := generated(rng, d.nodes, zones, kinds, set)
	var err error
	if d.conf, err = config.Decode(text, func(string) string { return "" }); err != nil {
		t.Fatalf("%v in %s", err, text)
	}
	t.Logf("%s", text)
	return d
}

// open is Open, but that the loop is on the test's clock and its connections lead to the test.
func (d *deployment) open() {
	log := slog.New(loud{d.T})
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

// connect is a connection that the loop has accepted.
func (d *deployment) connect() *peer {
	if d.faults != nil {
		return d.faults.connectClient()
	}
	p, fd := d.socketPair()
	d.scheduler.clients.AddConnection(fd, netip.AddrPort{})
	return p
}

// dial takes a connection of the loop's: to a worker, which may come up late, or to discovery.
func (d *deployment) dial(at netip.AddrPort) (int, error) {
	f := &farEnd{}
	for _, n := range d.nodes {
		if n.at == at {
			f.node = n
		}
	}
	d.dialCount++
	if f.node == nil && d.dialDiscovery != nil {
		if err := d.dialDiscovery(); err != nil {
			return -1, err
		}
	}
	if f.node != nil && f.node.down > d.now {
		return -1, unix.ECONNREFUSED
	}
	p, fd, err := d.openDialed(f)
	if err != nil {
		return -1, err
	}
	p.dialedAddress = at
	if f.node == nil {
		d.discovery = append(d.discovery, p)
		d.dials++
		if d.neverUp {
			f.filler, f.up = eventlooptest.FillSocket(fd), never
		}
	} else if d.late && d.rng.IntN(3) == 0 { // what fills it up is no byte of the loop's
		for zeros := make([]byte, 64<<10); ; {
			n, err := unix.Write(fd, zeros)
			if err != nil {
				break
			}
			f.filler += n
		}
		f.up = d.now + time.Duration(d.rng.IntN(600))*time.Millisecond
	}
	d.known[p] = f
	d.dialed = append(d.dialed, p)
	return fd, nil
}

// openDialed opens a connection to a worker, or to discovery.
func (d *deployment) openDialed(f *farEnd) (p *peer, fd int, err error) {
	if d.faults != nil {
		return d.faults.dial(f)
	}
	p, fd = d.socketPair()
	return p, fd, nil
}

// runUntilSettled runs the loop until nothing is left to do now, and has clients and workers read what they have received. Of
// messages that arrive together, cancellations are handled before new attempts.
func (d *deployment) runUntilSettled() {
	for more := true; more; {
		d.runIterations()
		more = false
		for _, p := range d.dialed {
			more = d.readFarEnd(p) || more
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
				delete(d.known, p)
			}
			return p.Closed
		})
	}
}

// readCallbackResponses drops what workers are answered. A connection that was silent for long is followed by another.
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

// readFarEnd reads what has come on a connection, and reports whether anything has.
func (d *deployment) readFarEnd(p *peer) (more bool) {
	before, f := len(p.Received), d.known[p]
	if f.filler == 0 || f.up <= d.now || p.Ended {
		p.Read(16 << 10)
		take := min(f.filler, len(p.Received))
		p.Received, f.filler = p.Received[take:], f.filler-take
		more = take > 0
	}
	more = more || len(p.Received) > before
	if t := f.try; p.Ended && t != nil {
		f.try = nil
		t.givenUp = t.givenUp || !t.accepted
	}
	return more
}

// handleRequest takes one whole request, if there is one, either of a job or any other.
func (d *deployment) handleRequest(p *peer, begins bool) bool {
	f := d.known[p]
	var m http1.Request
	n, err := m.Parse(p.Received)
	if err != nil || f.filler > 0 || (string(m.Method) == "POST") != begins {
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
		f.served = true
		d.sendSnapshot(p)
		d.faults.listSent()
	case string(m.Method) == "DELETE":
		for _, t := range d.requests[strings.TrimPrefix(target, "/jobs/")].tries {
			if t.node == f.node {
				t.givenUp = true
				if d.rng.IntN(2) == 0 {
					t.ends = 0 // some go on with what is given up
				}
			}
		}
		p.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	case string(m.Method) == "GET":
		d.Check(d.conf.Settings.HealthChecks, "a probe, and the settings allow none")
		if d.rng.IntN(4) > 0 {
			p.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	default:
		d.Check(len(p.Received) == 0 && f.try == nil, "a second request on a connection before the first was answered")
		d.beginAttempt(p, f, &m)
	}
	return true
}

// beginAttempt judges an attempt whose last byte has come, and settles what becomes of it.
func (d *deployment) beginAttempt(p *peer, f *farEnd, m *http1.Request) {
	q := d.requests[string(m.Get("X-Call-Id"))]
	if q == nil {
		d.T.Fatalf("an attempt of a request that nobody sent: %q", m.Get("X-Call-Id"))
	}
	set, n := &d.conf.Settings, f.node
	class := set.Classes[q.class]
	d.Check(q.answers == 0 && (!q.clientLeft || d.faults != nil && d.now-q.leftAt <= maxAttemptAfterClose), "%s was sent on after it was over", q.id)
	d.Check(string(m.Get("Idempotency-Key")) == q.key, "%s went on with another key", q.id)
	remaining, _ := http1.ParseDecimal(m.Get("X-Budget-Ms"))
	d.Check(time.Duration(remaining)*time.Millisecond <= max(q.deadline-d.now, time.Millisecond)+d.stalls(), "%s has %v left, and tells %d ms", q.id, q.deadline-d.now, remaining)
	d.Check(n.drainingSince == 0 || d.now-n.drainingSince <= 550*time.Millisecond+d.stalls(), "%s went to %s, which drains since %v", q.id, n.ID, d.now-n.drainingSince)
	d.Check(class.Zones == nil || slices.Contains(class.Zones, n.zone), "%s went to a zone where its class may not go", q.id)
	d.Check(class.Kinds == nil || slices.Contains(class.Kinds, n.kind), "%s went to a kind where its class may not go", q.id)
	for i, earlier := range q.tries {
		d.checkFurtherAttempt(q, i, earlier, n)
	}
	t := &attempt{of: q, node: n, at: d.now}
	q.tries, d.running = append(q.tries, t), append(d.running, t)
	d.Check(len(q.tries) <= set.AttemptLimit, "%s has %d attempts", q.id, len(q.tries))
	if p.Ended { // given up as soon as it was written
		t.givenUp = true
		return
	}
	f.try = t
	if d.decide != nil {
		d.decide(p, f, t)
		return
	}
	d.decideAttempt(p, f, t)
}

// checkFurtherAttempt checks that a request may be sent to a worker after its i-th attempt.
func (d *deployment) checkFurtherAttempt(q *issuedRequest, i int, earlier *attempt, n *workerNode) {
	set := &d.conf.Settings
	class := set.Classes[q.class]
	active := !earlier.ended && !earlier.givenUp
	d.Check(!active || earlier.node != n, "%s went twice to %s", q.id, n.ID)
	d.Check(!active || set.Hedging, "%s: a second copy after attempt %d", q.id, i)
	if earlier.never || class.Idempotency == dispatch.Idempotent {
		return
	}
	d.Check(class.Idempotency == dispatch.IdempotentWithKey, "%s may run twice: attempt %d, ended %v, given up %v", q.id, i, earlier.ended, earlier.givenUp)
	same := class.DeduplicationScope == dispatch.ScopeAll || class.DeduplicationScope == dispatch.ScopeZone && earlier.node.zone == n.zone ||
		class.DeduplicationScope == dispatch.ScopeCell && earlier.node.Cell == n.Cell
	d.Check(same, "%s went to another group after attempt %d", q.id, i)
	d.Check(d.now-earlier.at <= class.DeduplicationWindow+50*time.Millisecond+d.stalls(), "%s went again %v after attempt %d, window %v", q.id, d.now-earlier.at, i, class.DeduplicationWindow)
}

// decideAttempt draws what becomes of an attempt.
func (d *deployment) decideAttempt(p *peer, f *farEnd, t *attempt) {
	set := &d.conf.Settings
	class := set.Classes[t.of.class]
	work := time.Duration(1+d.rng.IntN(int(class.ClientTimeout.Milliseconds()))) * time.Millisecond / time.Duration(1+d.rng.IntN(40))
	switch d.rng.IntN(18) {
	case 0:
		d.respond(p, f, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
		t.ended, t.never = true, true
	case 1:
		d.respond(p, f, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
		t.ended = true
	case 2:
		f.try, t.ended = nil, true
		p.Close()
	case 3: // silent
	case 5: // of no use to any worker
		d.respond(p, f, "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n")
		t.ended, t.never = true, true
	case 4: // told before it is accepted, or without that
		t.ends, t.state = d.now, "done"
	default:
		d.respond(p, f, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
		t.accepted = true
		t.ends = d.now + work
		t.state = []string{"done", "done", "done", "done", "done", "failed", "returned", "lost"}[d.rng.IntN(8)]
		if set.StartNotifications && t.state != "returned" {
			t.start = d.now + work/3
		}
		if d.rng.IntN(10) == 0 {
			t.start, t.ends = 0, 0 // it hangs
		}
	}
}

func (d *deployment) respond(p *peer, f *farEnd, text string) {
	f.try, f.answer = nil, f.try
	if d.late && d.rng.IntN(2) == 0 {
		p.Write([]byte(strings.Replace(text, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)))
		p.Close()
		return
	}
	p.Write([]byte(text))
}

// crash has a worker's process die: its connections are reset, and what it had is over. Of some of that its machine
// tells. For a while new connections are refused.
func (d *deployment) crash(n *workerNode) {
	d.runUntilSettled()
	n.down = d.now + time.Duration(d.rng.IntN(800))*time.Millisecond
	if n.Lifecycle == "up" {
		n.StartedAtMs = n.down.Milliseconds()
	}
	for _, p := range d.dialed {
		if f := d.known[p]; f.node == n {
			f.try, f.filler = nil, 0
			p.Close()
		}
	}
	for _, q := range d.requests {
		for _, t := range q.tries {
			if t.node == n && !t.ended {
				t.ended, t.start = true, 0
				if t.ends > 0 {
					t.state = "lost"
				}
			}
		}
	}
}

// sendCallbacks has workers send the callbacks that are due.
func (d *deployment) sendCallbacks() {
	for _, t := range d.running {
		if t.start > 0 && t.start <= d.now && t.start < t.ends {
			t.start = 0
			d.sendCallback(t, "started", "")
		}
		if t.ends == 0 || t.ends > d.now {
			continue
		}
		t.ends = 0
		t.ended, t.never = true, t.state == "returned"
		result := ""
		if t.state == "done" {
			result = fmt.Sprintf("%s by %s, %d", t.of.id, t.node.ID, len(t.of.results))
			t.of.results = append(t.of.results, result)
		}
		for range 1 + d.rng.IntN(8)/7 { // some are sent twice
			d.sendCallback(t, t.state, result)
		}
	}
	d.running = slices.DeleteFunc(d.running, func(t *attempt) bool { return t.ends == 0 })
}

func (d *deployment) sendCallback(t *attempt, state, result string) {
	body, err := json.Marshal(map[string]string{"id": t.of.id, "from": t.node.ID, "state": state, "result": result})
	if err != nil {
		d.T.Fatal(err)
	}
	d.callbackPeers[d.rng.IntN(len(d.callbackPeers))].Write(fmt.Appendf(nil, "POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// sendSnapshot sends the whole list on a watch.
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

// sendRequest has a client ask for something, with all the headers that the protocol has.
func (d *deployment) sendRequest(c *caller) {
	set := &d.conf.Settings
	q := &issuedRequest{id: fmt.Sprintf("%016x", d.rng.Uint64()), class: d.rng.IntN(len(set.Classes))}
	class, name := set.Classes[q.class], set.Names.Classes[q.class]
	budget := class.ClientTimeout / time.Duration(1+d.rng.IntN(3))
	budget = max(budget.Truncate(time.Millisecond), time.Millisecond)
	if d.budget > 0 {
		budget = d.budget
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
			d.Check(c.request != nil, "an answer that nobody waits for: %d", m.StatusCode)
			q := c.request
			q.answers++
			q.status = m.StatusCode
			c.request = nil
			d.Check(d.now <= q.deadline+d.answerSlack(), "%s was answered %v late", q.id, d.now-q.deadline)
			d.Check(m.StatusCode == 200 || m.StatusCode == 500 || m.StatusCode == 503, "%s was answered %d", q.id, m.StatusCode)
			d.Check(m.StatusCode != 200 || slices.Contains(q.results, string(m.Body)), "%s was served with %q, of %q", q.id, m.Body, q.results)
		}
		p.Received = bytes.Clone(p.Received[n:])
	}
	if p.Ended || p.Closed { // idle for long, or after an answer that said so
		d.Check(c.request == nil || p.Closed, "%s lost its connection", "a request")
		p.Close()
		c.peer, c.request = d.connect(), nil
	}
}

// run plays so many steps, and then lets all come to its end.
func (d *deployment) run(steps int) {
	for range steps {
		d.now += time.Duration(1+d.rng.IntN(25)) * time.Millisecond
		for _, c := range d.callers {
			switch {
			case c.request == nil && d.rng.IntN(4) == 0:
				d.sendRequest(c)
			case c.request != nil && d.rng.IntN(150) == 0:
				c.request.clientLeft, c.request.leftAt = true, d.now
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
			d.faults.checkRest()
		}
	}
	d.runToTheEnd()
	served, again := 0, 0
	for _, q := range d.requests {
		d.Check(q.answers == 1 || q.clientLeft && q.answers == 0, "%s has %d answers, left %v", q.id, q.answers, q.clientLeft)
		if len(q.results) > 0 {
			served++
		}
		if len(q.tries) > 1 {
			again++
		}
	}
	d.Check(d.scheduler.Requests.OpenCount() == 0 && d.scheduler.Requests.PayloadBytes() == 0, "%d requests open, with %d bytes", d.scheduler.Requests.OpenCount(), d.scheduler.Requests.PayloadBytes())
	d.T.Logf("%d requests, %d with a result, %d with further attempts", len(d.requests), served, again)
}

// runToTheEnd lets all requests end, and all attempts.
func (d *deployment) runToTheEnd() {
	for d.scheduler.Requests.OpenCount() > 0 {
		d.now += 25 * time.Millisecond
		d.sendCallbacks()
		d.runUntilSettled()
	}
	if d.faults != nil {
		d.faults.sendWhatWaits()
	}
	d.now += 20 * time.Second // past what any attempt is waited for
	d.runUntilSettled()
}

// changeEndpoints has discovery speak, and now and then drain a worker, start one anew, or fall silent.
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
		case d.known[p] == nil || !d.known[p].served:
		case d.rng.IntN(300) == 0:
			p.Close()
		case changed:
			d.sendSnapshot(p)
		case d.rng.IntN(20) == 0:
			p.Write([]byte("1\r\n\n\r\n"))
		}
	}
	for _, n := range d.nodes { // told only where a watch is open
		switch {
		case n.Lifecycle == "up":
			n.drainingSince = 0
		case n.drainingSince == 0 && changed && d.hasOneWatch():
			n.drainingSince = d.now
		}
	}
}

// hasOneWatch reports whether the list is being sent on one connection, which is up.
func (d *deployment) hasOneWatch() bool {
	return len(d.discovery) == 1 && !d.discovery[0].Closed && d.known[d.discovery[0]].served
}

func asDrawn(object) {}

// By whatever settings it runs, a scheduler gives each request one answer, in time, breaks no class's effect, and does
// nothing that the settings don't allow.
func TestGeneratedSettings(t *testing.T) {
	for seed := range uint64(80) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { newDeployment(t, seed, false, asDrawn).run(200) })
	}
}

// The same where connections to workers are established late, also those for cancellations: until an attempt has ended, or its worker
// was notified of its cancellation, there is no other one if hedging is not allowed, and never another one at that worker; and a
// request with an idempotency key is retried within its window only, however late the connection is.
func TestGeneratedSettingsWithLateConnections(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			newDeployment(t, 1000+seed, true, func(settings object) {
				if settings["bounds"].(object)["second_copies"] = seed%2 == 0; seed%2 > 0 {
					return
				}
				for _, c := range settings["classes"].([]object) { // so short that a connection may outlast it
					if c["idempotency"] == "token" {
						c["window"], c["dedup_scope"] = c["window"].(int64)/12, "all"
					}
				}
			}).run(200)
		})
	}
}

// Whatever the settings say about discovery, a process receives changes only by a watch: it opens one within a second of its start,
// and another one when that has ended.
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
				d.Check(d.dials == dials+1 && len(d.discovery) > 0, "discovery was called %d times, expected %d", d.dials, dials+1)
				d.discovery[len(d.discovery)-1].Close()
			}
		})
	}
}
