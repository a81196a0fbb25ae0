package link

import (
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"
	"golang.org/x/sys/unix"

	"valvecove/internal/ledger"
	"valvecove/logic"
)

// Paths that are no query's.
const (
	pathUp    = "/up"
	pathNotes = "/v1/job-events"
)

const (
	lingerFor   = time.Second      // for a peer to read the last answer before its link is cut
	stalledFor  = 20 * time.Second // in the midst of a request, or of an answer that nobody reads
	sweepEvery  = time.Second
	acceptAgain = 100 * time.Millisecond // after the machine had no descriptor left
	maxID       = 128
)

// clientLinks accepts connections. Clients come in here, and so do worker nodes with their notes.
type clientLinks struct {
	loop     *Loop
	fd       int
	most     int // links held at once
	queries  int // and queries, which is fewer: what ends them, worker nodes' notes, needs links too
	links    map[*clientLink]struct{}
	idle     list.List // of those between queries, longest first
	paused   bool
	draining bool
	closing  bool // takes no query any more
	set      *logic.Settings
	classes  map[string]int
	tenants  map[string]int
}

func (l *Loop) accept(most int, set *logic.Settings, names ledger.Names) {
	l.clients = &clientLinks{loop: l, fd: -1, links: map[*clientLink]struct{}{}, set: set,
		classes: index(names.Classes), tenants: index(names.Tenants)}
	l.clients.limit(most)
	l.clients.sweep()
}

// limit sets how many links are held. Where there are more, idle ones make room.
func (c *clientLinks) limit(most int) {
	c.most, c.queries = most, most-max(8, most/10)
	for len(c.links) > c.most && c.evict() {
	}
	c.resume()
}

func (l *Loop) listen(at netip.AddrPort) error {
	fd, sa, err := socket(at)
	if err != nil {
		return err
	}
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err := unix.Bind(fd, sa); err != nil {
		return fmt.Errorf("listening at %v: %w", at, err)
	}
	if err := unix.Listen(fd, 4096); err != nil {
		return fmt.Errorf("listening at %v: %w", at, err)
	}
	l.clients.fd = fd
	return l.add(fd, unix.EPOLLIN, l.clients)
}

func index(names []string) map[string]int {
	m := map[string]int{}
	for i, name := range names {
		m[name] = i
	}
	return m
}

// ready accepts what waits. Where descriptors run out, the link that has been idle longest makes room; where
// none is idle, new connections wait in the backlog: turned away there, their queries would be lost.
func (c *clientLinks) ready(uint32) {
	for {
		if len(c.links) >= c.most && !c.evict() {
			c.pause()
			return
		}
		fd, _, err := unix.Accept4(c.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED):
			continue
		case errors.Is(err, unix.EAGAIN):
			return
		case err != nil: // EMFILE, ENFILE, ENOMEM
			c.loop.Logf("accepting: %v", err)
			c.evict()
			c.pause()
			c.loop.after(acceptAgain, c, c.resume)
			return
		}
		c.adopt(fd)
	}
}

// adopt makes a link of a connection.
func (c *clientLinks) adopt(fd int) {
	k := &clientLink{home: c}
	var err error
	if k.stream, err = c.loop.stream(fd, streamEvents, k); err != nil {
		c.loop.Logf("accepting: %v", err)
		_ = unix.Close(fd)
		return
	}
	c.links[k] = struct{}{}
	k.rest()
}

// sweep ends links that have been in the midst of a message for too long: each holds a descriptor.
func (c *clientLinks) sweep() {
	c.loop.after(sweepEvery, c, c.sweep)
	for k := range c.links {
		switch {
		case len(k.turns) > 0 && len(k.out) == 0 || k.idle != nil || c.loop.now-k.since < stalledFor:
		case len(k.out) == 0 && !k.last:
			k.add(false).settle(408, []byte("request not whole\n"), 0)
		default:
			k.end()
		}
	}
}

func (c *clientLinks) broken() {}

// evict closes the link that has been idle longest, and tells whether there was one. What had just come in on
// an idle link is taken first: closed over unread bytes, a link is reset and its client has to ask again.
func (c *clientLinks) evict() bool {
	for {
		e := c.idle.Front()
		if e == nil {
			return false
		}
		k := e.Value.(*clientLink)
		if c.loop.guard(k, func() { k.ready(unix.EPOLLIN) }); k.idle != nil {
			k.end()
		}
		if k.closed {
			return true
		}
	}
}

func (c *clientLinks) pause() {
	if !c.paused {
		c.paused = true
		c.listen(0)
	}
}

func (c *clientLinks) resume() {
	if c.paused && len(c.links) < c.most {
		c.paused = false
		c.listen(unix.EPOLLIN)
	}
}

func (c *clientLinks) listen(events uint32) {
	_ = unix.EpollCtl(c.loop.epoll, unix.EPOLL_CTL_MOD, c.fd, &unix.EpollEvent{Events: events, Fd: int32(c.fd)})
}

// drain closes links between queries from now on; those that come all the same are served.
func (c *clientLinks) drain() {
	c.draining = true
	for c.evict() {
	}
}

// quiet tells whether all that was answered has left.
func (c *clientLinks) quiet() bool {
	for k := range c.links {
		if len(k.out) > 0 {
			return false
		}
	}
	return true
}

// clientLink is one accepted connection. What comes in on it is answered in turn.
type clientLink struct {
	stream
	home      *clientLinks
	turns     []*turn // taken in and not answered yet, in order
	last      bool    // nothing more is read: the link ends with its last turn
	ended     bool    // nothing more will come in
	half      bool    // the client has ended its side while queries are served
	lingering bool
	continued bool
	since     time.Duration // when the link last turned busy, or gave an answer
	idle      *list.Element
}

// turn is one request's place in the order of answers. It is the Asker of a query.
type turn struct {
	link   *clientLink
	query  *ledger.Query // while it is served
	keep   bool          // the request lets the link live on
	done   bool
	status int
	body   []byte
	retry  time.Duration
}

// rest marks the link as being between queries.
func (k *clientLink) rest() {
	if k.idle == nil && !k.closed {
		k.idle = k.home.idle.PushBack(k)
	}
}

func (k *clientLink) busy() {
	if k.idle != nil {
		k.home.idle.Remove(k.idle)
		k.idle, k.since = nil, k.loop.now
	}
}

// end closes the link; the queries that it carries have lost their client.
func (k *clientLink) end() {
	if k.closed {
		return
	}
	k.busy()
	k.close()
	delete(k.home.links, k)
	for _, t := range k.turns {
		if q := t.query; q != nil {
			t.query = nil
			k.loop.Ledger.Gone(q)
		}
	}
	k.turns = nil
}

func (k *clientLink) broken() { k.end() }

func (k *clientLink) ready(events uint32) {
	if events&unix.EPOLLOUT != 0 && k.flush() != nil {
		k.end()
		return
	}
	if events&^unix.EPOLLOUT != 0 {
		if events&(unix.EPOLLHUP|unix.EPOLLERR) != 0 && len(k.turns) > 0 {
			k.end()
			return
		}
		if len(k.turns) > 0 && len(k.in) > mostAhead && events&unix.EPOLLRDHUP != 0 {
			k.halfClosed() // with more than is read at a time
			return
		}
		ended, err := k.fill()
		if err != nil {
			k.end()
			return
		}
		k.ended = k.ended || ended
	}
	k.proceed()
}

// halfClosed asks a client that has ended its side whether it still listens. One that has closed its
// connection has gone away, one that has only finished writing still waits, and both look alike until something
// is written: a closed connection answers an interim response with a reset, and any client must skip one.
func (k *clientLink) halfClosed() {
	if k.half {
		return
	}
	k.half, k.last = true, true
	k.listen(k.events &^ streamEvents) // else the ended side would wake the loop for ever; a reset still does
	if k.send([]byte(interim)) != nil {
		k.end()
	}
}

const interim = "HTTP/1.1 100 Continue\r\n\r\n"

// mostTurns is how many requests of a link are taken in at once. A client sends one at a time; one that does
// not wait for its answers is served in turn, and its time counts from when each request came.
const mostTurns = 16

// mostAhead is how much is read while answers are due: a whole message and the start of another.
const mostAhead = maxHead + maxBody

// proceed takes in what can be taken.
func (k *clientLink) proceed() {
	for !k.last && !k.closed && len(k.turns) < mostTurns && len(k.in) > 0 {
		k.busy()
		m := &k.loop.message
		n, err := m.ParseRequest(k.in)
		var bad *BadMessage
		if errors.As(err, &bad) {
			k.add(false).settle(bad.Status, []byte(bad.What+"\n"), 0)
			break
		}
		if err != nil {
			if m.Expect && !k.continued && len(k.turns) == 0 {
				k.continued = true
				_ = k.send([]byte(interim))
			}
			break
		}
		k.continued = false
		k.request(m, k.add(m.KeepAlive))
		if !k.closed {
			k.took(n)
		}
	}
	switch {
	case k.closed:
	case len(k.turns) > 0 && k.ended:
		k.halfClosed()
	case len(k.turns) > 0:
		// What a client sends beyond its turns is not hoarded.
		k.read(len(k.in) <= mostAhead)
	case k.ended && len(k.out) == 0:
		k.end()
	case k.last || k.ended:
		k.in = nil
		if len(k.out) == 0 && !k.lingering {
			// Cut at once, a link with bytes unread would be reset, and the peer might lose the answer.
			k.lingering = true
			_ = unix.Shutdown(k.fd, unix.SHUT_WR)
			k.loop.after(lingerFor, k, k.end)
		}
	case len(k.in) == 0 && len(k.out) == 0:
		k.rest()
		if k.home.draining {
			k.end()
		}
	}
}

// read turns reading on or off.
func (k *clientLink) read(on bool) {
	switch {
	case k.half:
	case on:
		k.listen(k.events | unix.EPOLLIN)
	default:
		k.listen(k.events &^ unix.EPOLLIN)
	}
}

// add gives a request its turn; one that does not let the link live on is the last.
func (k *clientLink) add(keep bool) *turn {
	t := &turn{link: k, keep: keep}
	k.turns = append(k.turns, t)
	k.last = k.last || !keep
	return t
}

// settle answers a turn. Answers leave in the order in which the requests came.
func (t *turn) settle(status int, body []byte, retry time.Duration) {
	k := t.link
	if t.query = nil; t.done || k.closed {
		return
	}
	t.done, t.status, t.body, t.retry = true, status, body, retry
	k.loop.guard(k, k.deliver)
}

func (k *clientLink) deliver() {
	for !k.closed && len(k.turns) > 0 && k.turns[0].done {
		t := k.turns[0]
		if k.turns = k.turns[1:]; len(k.turns) == 0 {
			k.turns = nil
		}
		k.since = k.loop.now
		// A link that ends says so with its last answer.
		k.last = k.last || k.home.draining && len(k.turns) == 0
		b := appendAnswer(k.loop.writing[:0], t.status, t.body, t.retry, !k.last || len(k.turns) > 0)
		if k.loop.writing = b[:0]; cap(b) > 4*maxBody {
			k.loop.writing = nil
		}
		if err := k.send(b); err != nil {
			k.end()
			return
		}
	}
	if !k.closed && len(k.turns) == 0 {
		k.read(true)
		k.loop.after(0, k, k.proceed) // what came in meanwhile has its turn, though not in the midst of a step
	}
}

// reply answers at once.
func (t *turn) reply(status int, body string) { t.settle(status, []byte(body), 0) }

func (k *clientLink) request(m *Message, t *turn) {
	path, _, _ := bytes.Cut(m.Target, []byte("?"))
	switch string(path) {
	case pathUp:
		switch {
		case string(m.Method) != "GET":
			t.reply(405, "GET only\n")
		case k.home.draining || !k.loop.Ledger.CanServe():
			t.reply(503, "not ready\n")
		default:
			t.reply(200, "ready\n")
		}
	case pathNotes:
		if string(m.Method) != "POST" {
			t.reply(405, "POST only\n")
			return
		}
		k.note(m.Body, t)
	default:
		k.ask(m, path, t)
	}
}

func (k *clientLink) note(body []byte, t *turn) {
	var n ledger.Note
	err := jsoniter.ConfigDefault.Unmarshal(body, &n)
	if err == nil {
		err = k.loop.Ledger.Tell(n)
	}
	if err != nil {
		t.reply(400, "bad note\n")
		return
	}
	t.reply(204, "")
}

// ask takes in a query.
func (k *clientLink) ask(m *Message, path []byte, t *turn) {
	first, rest, _ := bytes.Cut(bytes.TrimPrefix(path, []byte("/")), []byte("/"))
	name := m.Get("X-Call-Class")
	class, known := k.home.classes[string(name)]
	_, named := k.home.classes[string(first)]
	switch {
	case name == nil && !named:
		t.reply(404, "no such path\n")
	case string(m.Method) != "POST":
		t.reply(405, "POST only\n")
	case !known:
		t.reply(400, "X-Call-Class: not a class\n")
	case !bytes.Equal(name, first):
		t.reply(400, "X-Call-Class: not the class in the path\n")
	default:
		in, fault := k.home.read(m, class, rest)
		if fault != "" {
			t.reply(400, fault+"\n")
			return
		}
		if k.home.closing || k.loop.Ledger.Open() >= k.home.queries {
			t.Throttle(0) // it was sent nowhere, so another try is harmless
			return
		}
		in.Asker = t
		q, err := k.loop.Ledger.Take(k.loop.now, in)
		if err != nil {
			t.reply(409, "X-Call-Id: "+err.Error()+"\n")
			return
		}
		t.query = q
	}
}

// read makes a query of a request. fault names what is wrong with it.
func (c *clientLinks) read(m *Message, class int, rest []byte) (in ledger.Arrival, fault string) {
	id := m.Get("X-Call-Id")
	if !isToken(id) || len(id) > maxID {
		return in, "X-Call-Id: missing or malformed"
	}
	tenant, known := c.tenants[string(m.Get("X-Caller"))]
	if !known && len(c.tenants) > 0 {
		return in, "X-Caller: not a tenant"
	}
	left := c.set.Classes[class].GiveUp
	if text := m.Get("X-Budget-Ms"); text != nil {
		n, ok := decimal(text)
		if !ok {
			return in, "X-Budget-Ms: expected whole milliseconds"
		}
		left = time.Duration(n) * time.Millisecond
	}
	in = ledger.Arrival{Call: string(id), Job: logic.Job{Class: class, Tenant: tenant, Left: left, Slots: 1,
		Hint: time.Duration(figure(m.Get("X-Call-Cost")) * float64(time.Microsecond)), Retry: string(m.Get("X-Again")) == "1"},
		Parcel: ledger.Parcel{Verb: string(m.Method), Path: string(m.Target), Key: string(m.Get("Idempotency-Key")),
			Body: bytes.Clone(m.Body)}}
	if at := bytes.LastIndexByte(rest, '/'); len(rest) > 0 {
		h := fnv.New64a()
		h.Write(rest[at+1:])
		in.Job.Key = h.Sum64() | 1 // 0 stands for none
	}
	for info := m.Get("X-Call-Info"); len(info) > 0; {
		var pair []byte
		pair, info, _ = bytes.Cut(info, []byte(","))
		key, value, _ := bytes.Cut(pair, []byte("="))
		switch string(bytes.TrimSpace(key)) {
		case "slots":
			in.Job.Slots = max(1, figure(value))
		case "mem", "memory":
			in.Job.Memory = figure(value)
		}
	}
	return in, ""
}

// figure reads a number of a request; one that makes no sense is as good as absent.
func figure(text []byte) float64 {
	x, err := strconv.ParseFloat(string(bytes.TrimSpace(text)), 64)
	if err != nil || !(x > 0 && x < 1e9) {
		return 0
	}
	return x
}

// ---- The three final answers ----

// Serve hands on what a worker node made.
func (t *turn) Serve(result []byte) { t.settle(200, result, 0) }

// Throttle refuses; the client may come back.
func (t *turn) Throttle(after time.Duration) { t.settle(503, nil, after) }

// Fail promises nothing.
func (t *turn) Fail() { t.settle(500, nil, 0) }
