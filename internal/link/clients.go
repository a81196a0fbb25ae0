package link

import (
	"bytes"
	"container/list"
	"errors"
	"hash/fnv"
	"log/slog"
	"net/netip"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"
	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

// Paths that are no query's.
const (
	pathUp    = "/up"
	pathNotes = "/v1/job-events"
)

const (
	wholeWithin  = 2 * time.Second // a request must be whole: counted from its first byte, the first one's from connecting
	readWithin   = 5 * time.Second // a peer must take in some of an answer
	lingerQuiet  = time.Second     // after the last answer of a link: for the peer to close, or to send on
	lingerMost   = 5 * time.Second
	sweepEvery   = 250 * time.Millisecond
	acceptAgain  = 50 * time.Millisecond  // after no descriptor was left
	graceAtFirst = 250 * time.Millisecond // a link is not closed to make room sooner than this after its start
	acceptAtOnce = 128                    // in a flood of connections, the links that are there have their turns too
	maxID        = 128
	maxKey       = 256
)

// clientLinks accepts connections. Clients come in here, and so do worker nodes with their notes.
type clientLinks struct {
	loop    *Loop
	fd      int
	most    int // links held at once, but for those in parting
	queries int // and queries, which is fewer: what ends them, worker nodes' notes, needs links too
	links   map[*clientLink]struct{}
	// Links without a request in hand, longest first, in the order in which they make room: those that have only
	// had errors for an answer, those that have had their last, those that have not asked yet, and the useful ones.
	useless, leaving, mute, idle list.List
	parting                      list.List // those that have made room, while they are shut but not closed yet
	partings                     int       // and how many there may be, besides most
	held                         int       // bytes in the links' buffers
	budget                       int       // and how many there may be; as much again may wait in queries
	paused                       bool
	again                        *eventloop.Timer
	draining                     bool
	closing                      bool // takes no query any more
	set                          *dispatch.Settings
	classes                      map[string]int
	tenants                      map[string]int
}

func (l *Loop) accept(most, budget int, set *dispatch.Settings, names requests.NameTable) {
	l.clients = &clientLinks{
		loop: l, fd: -1, links: map[*clientLink]struct{}{}, set: set,
		classes: index(names.Classes), tenants: index(names.Tenants),
	}
	l.clients.limit(most, budget)
	l.clients.sweep()
}

// limit sets how many links are held, and how many bytes. Where there are more links, idle ones make room.
func (c *clientLinks) limit(links, budget int) {
	c.partings = links / 32 // out of those that queries leave
	c.most = links - c.partings
	c.queries, c.budget = mostQueries(links), budget
	for c.inUse() > c.most && c.evict() {
	}
	c.part()
	c.resume()
}

// inUse counts the links but for those that have made room.
func (c *clientLinks) inUse() int { return len(c.links) - c.parting.Len() }

// mostQueries leaves links for what ends queries.
func mostQueries(links int) int { return links - max(8, links/10) }

func index(names []string) map[string]int {
	m := map[string]int{}
	for i, name := range names {
		m[name] = i
	}
	return m
}

// HandleEvents accepts what waits. Where descriptors run out, the link that has been idle longest makes room; where
// none is idle, new connections wait in the backlog: turned away there, their queries would be lost.
func (c *clientLinks) HandleEvents(uint32) {
	for range acceptAtOnce {
		if c.inUse() >= c.most && !c.evict() {
			c.pause()
			return
		}
		if len(c.links)+c.loop.ClosingCount() >= c.most+c.partings {
			return // told again, once descriptors given up in this turn are closed
		}
		fd, sa, err := unix.Accept4(c.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED):
			continue
		case errors.Is(err, unix.EAGAIN):
			return
		case err != nil: // EMFILE, ENFILE, ENOMEM
			c.loop.log.Error("accepting failed", "error", err)
			c.evict()
			c.pause()
			return
		}
		if from := eventloop.AddrPort(sa); c.loop.admits(fd, from) {
			c.adopt(fd, from)
		}
	}
}

// adopt makes a link of a connection.
func (c *clientLinks) adopt(fd int, from netip.AddrPort) {
	k := &clientLink{home: c, since: c.loop.Now(), client: from, introduced: c.loop.lists == nil}
	var err error
	if k.Stream, err = c.loop.OpenStream(fd, eventloop.StreamEvents, k); err != nil {
		c.loop.log.Error("accepting failed", "error", err)
		_ = unix.Close(fd)
		return
	}
	c.links[k] = struct{}{}
	k.rest()
}

// sweep ends links on which nothing goes on that should: each holds a descriptor, and some hold a buffer. One that
// awaits an answer of ours, or has had one and is idle, is let be.
func (c *clientLinks) sweep() {
	c.loop.StartTimer(sweepEvery, c, c.sweep)
	for k := range c.links {
		age := c.loop.Now() - k.since
		switch {
		case k.lingering:
			if age >= lingerQuiet || c.loop.Now()-k.lingers >= lingerMost {
				k.end()
			}
		case len(k.Output()) > 0:
			if age >= readWithin {
				k.end()
			}
		case len(k.turns) > 0 || k.useful && len(k.Input()) == 0 || age < wholeWithin:
		case len(k.Input()) > 0 && k.introduced && !k.last:
			k.refuse(408, "request not whole\n")
		case !k.introduced && len(k.Input()) > 0: // it may be the start of a PROXY header, so nothing is written
			k.shut(&c.leaving)
		case !k.spoke: // has connected and says nothing
			k.dismiss(&c.leaving)
		}
	}
}

func (c *clientLinks) HandlePanic() {}

// evict has the link that is missed least make room, and tells whether there was one. What had just come in on it is
// taken first; what comes from then on its client asks again elsewhere. A link that has just connected, or just had its
// last answer, is let be: it may be a usual client's or a worker node's, whose request is on its way.
func (c *clientLinks) evict() bool {
	for _, from := range []*list.List{&c.useless, &c.leaving, &c.mute, &c.idle} {
		for e := from.Front(); e != nil; e = from.Front() {
			k := e.Value.(*clientLink)
			if from != &c.idle && from != &c.useless && c.loop.Now()-k.since < graceAtFirst {
				break
			}
			if k.dismiss(&c.parting) {
				c.part()
				return true
			}
		}
	}
	return false
}

// part closes links that have made room where there are too many of those, the first ones first.
func (c *clientLinks) part() {
	for c.parting.Len() > c.partings {
		c.parting.Front().Value.(*clientLink).end()
	}
}

func (c *clientLinks) pause() {
	if !c.paused {
		c.paused = true
		c.listen(0)
		c.loop.StopTimer(c.again)
		c.again = c.loop.StartTimer(acceptAgain, c, c.reopen) // some link may make room by then
	}
}

func (c *clientLinks) reopen() {
	if c.paused {
		c.paused = false
		c.listen(unix.EPOLLIN)
	}
}

func (c *clientLinks) resume() {
	if c.inUse() < c.most {
		c.reopen()
	}
}

func (c *clientLinks) listen(events uint32) {
	c.loop.Modify(c.fd, events)
}

// close closes links between queries from now on; queries that come all the same are refused. Links that worker nodes have
// stay open, as do those that they open: each note is an answer that some client waits for.
func (c *clientLinks) close() {
	c.closing = true
	var resting []*clientLink // one that is shut may bring about that others move
	for _, among := range []*list.List{&c.useless, &c.mute, &c.idle} {
		for e := among.Front(); e != nil; e = e.Next() {
			resting = append(resting, e.Value.(*clientLink))
		}
	}
	for _, k := range resting {
		if k.place != nil && !k.tellsNotes {
			k.dismiss(&c.leaving)
		}
	}
}

// closes tells whether the link ends with what is answered on it now.
func (k *clientLink) closes() bool { return k.home.closing && !k.tellsNotes }

// quiet tells whether all that was answered has left.
func (c *clientLinks) quiet() bool {
	for k := range c.links {
		if len(k.Output()) > 0 {
			return false
		}
	}
	return true
}

// clientLink is one accepted connection. What comes in on it is answered in turn.
type clientLink struct {
	eventloop.Stream
	home      *clientLinks
	turns     []*turn // taken in and not answered yet, in order
	last      bool    // no further request is taken: the link ends with its last turn
	half      bool    // the client has ended its side
	ended     bool    // and all that it has sent is read
	overrun   bool    // it has sent too much ahead of its answers: what still comes is not kept
	sounded   bool    // it has been asked whether it still listens, see sound
	lingering bool    // all is answered, and the peer may still send
	continued bool
	spoke     bool // a whole request has come
	useful    bool // and one that was of use: a query, or news of one; anybody can ask whether we are up
	// tellsNotes is set on a worker node's link: what it brought last was news of a query.
	tellsNotes bool
	since      time.Duration  // when something last began or went on, see sweep
	lingers    time.Duration  // when it began to
	taking     int            // bytes at the start of in that are the request which is being taken
	waiting    []arrival      // of what is in
	came       time.Duration  // when the request that is being taken did
	counted    int            // bytes that home.held has for it
	client     netip.AddrPort // whom it speaks for
	via        netip.AddrPort // and by which front; not valid: by none
	// introduced is set once it is known whether a PROXY header comes first.
	introduced bool
	among      *list.List    // the links without a request in hand, if it is one of those
	place      *list.Element // and where it is there
}

// turn is one request's place in the order of answers. It is the Asker of a query.
type turn struct {
	link   *clientLink
	query  *requests.Request // while it is served
	keep   bool              // the request lets the link live on
	done   bool
	status int
	body   []byte
	retry  time.Duration
}

// wait puts the link among those without a request in hand.
func (k *clientLink) wait(among *list.List) {
	if !k.IsOpen() || k.among == among {
		return
	}
	k.busy()
	k.among, k.place = among, among.PushBack(k)
}

// rest marks the link as being between requests.
func (k *clientLink) rest() {
	switch {
	case k.useful:
		k.wait(&k.home.idle)
	case k.spoke:
		k.wait(&k.home.useless)
	default:
		k.wait(&k.home.mute)
	}
}

// busy takes the link from among those without a request in hand.
func (k *clientLink) busy() {
	if k.place != nil {
		k.among.Remove(k.place)
		k.among, k.place = nil, nil
	}
}

// dismiss shuts a link without a request in hand, unless one has just come in. It tells whether the link makes room.
func (k *clientLink) dismiss(among *list.List) bool {
	place := k.place
	if k.home.loop.Protect(k, func() { k.HandleEvents(unix.EPOLLIN) }); k.IsOpen() && place != nil && k.place == place {
		k.shut(among)
	}
	return !k.IsOpen() || k.among == among
}

// shut ends what we write. What the peer still sends is taken in unread up to its own end, for a while: closed over
// unread bytes, a link is reset, and that takes along what the peer has not had of the answers before.
func (k *clientLink) shut(among *list.List) {
	if !k.lingering {
		k.last = true
		k.DropInput()
		k.lingering, k.lingers, k.since = true, k.home.loop.Now(), k.home.loop.Now()
		k.CloseWrite()
	}
	k.wait(among)
	k.attend()
	k.count()
}

// count keeps home.held right.
func (k *clientLink) count() {
	now := k.BufferSize()
	k.home.held += now - k.counted
	k.counted = now
}

// end closes the link; the queries that it carries have lost their client.
func (k *clientLink) end() {
	if !k.IsOpen() {
		return
	}
	k.busy()
	k.Close()
	k.count()
	delete(k.home.links, k)
	for _, t := range k.turns {
		if q := t.query; q != nil {
			if k.tells(slog.LevelInfo) {
				k.tell(slog.LevelInfo, "query left by its client", slog.String("query", q.CallID))
			}
			t.query = nil
			k.home.loop.Ledger.ClientDisconnected(q)
		}
	}
	k.turns = nil
}

func (k *clientLink) HandlePanic() { k.end() }

// Priority puts the events of clients before those of worker nodes. A client that has left is known before a connection that
// has just come up is written to, and what a worker node has told of an attempt before the end of the link that carried it.
func (k *clientLink) Priority() eventloop.Priority { return eventloop.PriorityHigh }

func (k *clientLink) HandleEvents(events uint32) {
	if events&(unix.EPOLLHUP|unix.EPOLLERR) != 0 && !k.lingering {
		k.cut()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		before := len(k.Output())
		if k.Flush() != nil {
			k.end()
			return
		}
		if len(k.Output()) < before {
			k.since = k.home.loop.Now()
		}
	}
	// Its end is told however much it has sent before that.
	k.half = k.half || events&unix.EPOLLRDHUP != 0
	if events&^unix.EPOLLOUT != 0 && !k.ended {
		take := k.Fill
		if k.last || k.overrun {
			take = k.discardInput
		} else if k.spoke && len(k.Input()) == 0 { // another request begins, however long the link was idle
			k.since = k.home.loop.Now()
		}
		ended, err := take()
		if err != nil {
			k.end()
			return
		}
		k.ended = k.ended || ended
	}
	k.proceed()
}

// cut ends a link whose connection is gone both ways. Nobody waits for an answer, so no query is taken from what came
// before that; news is news all the same.
func (k *clientLink) cut() {
	for !k.last && len(k.turns) == 0 && len(k.Input()) <= mostAhead {
		before := len(k.Input())
		if _, err := k.Fill(); err != nil || len(k.Input()) == before {
			break
		}
	}
	for !k.last && len(k.turns) == 0 && len(k.Input()) > 0 && k.introduce() {
		m := &k.home.loop.request
		n, err := m.Parse(k.Input())
		if err != nil {
			break
		}
		if path, _, _ := bytes.Cut(m.Target, []byte("?")); string(path) == pathNotes && string(m.Method) == "POST" {
			_ = k.tellNote(m.Body)
		}
		k.Consume(n)
	}
	k.end()
}

// discardInput takes in what nobody will read, so that closing the link does not reset it and take the answer along.
func (k *clientLink) discardInput() (ended bool, err error) {
	n, ended, err := k.Stream.Discard()
	if n > 0 {
		k.since = k.home.loop.Now()
	}
	return ended, err
}

// sound asks a client that has ended its side whether it still listens. One that has closed its connection has gone
// away, one that has only finished writing still waits, and both look alike until something is written: a closed
// connection answers an interim response with a reset, and any client must skip one. Where the reset is there at once,
// the link ends at once, before anything is sent on.
func (k *clientLink) sound() {
	if k.sounded {
		return
	}
	k.sounded = true
	if k.Send([]byte(http1.ContinueResponse)) != nil || k.ConnectError() != nil {
		k.end()
	}
}

// mostTurns is how many requests of a link are taken in at once. A client sends one at a time; one that does
// not wait for its answers is served in turn, and its time counts from when each request came.
const mostTurns = 16

// mostAhead is how much is read and kept while answers are due: a whole message and the start of another. Where there
// is memory it may be mostHoarded. What comes beyond that is taken in unread, so that the client's end is noticed all the
// same: the requests that are kept are answered, one more is refused, and the link ends.
const (
	mostAhead   = http1.MaxHeaderSize + http1.MaxBodySize
	mostHoarded = 8 * mostAhead
)

// proceed takes in what can be taken.
func (k *clientLink) proceed() {
	for !k.last && k.IsOpen() && len(k.turns) < mostTurns && len(k.Output()) <= maxUnread && len(k.Input()) > 0 && k.introduce() {
		m := &k.home.loop.request
		n, err := m.Parse(k.Input())
		var bad *http1.ParseError
		if errors.As(err, &bad) {
			k.refuse(bad.StatusCode, bad.Reason+"\n")
			break
		}
		if err != nil {
			if k.useful {
				k.busy()
			}
			if k.overrun {
				k.tooMuch()
			} else if k.home.held > k.home.budget && len(k.Input()) > eventloop.MaxIdleBuffer {
				k.refuse(503, "no memory for a large request now\n")
			} else if m.ExpectContinue && !k.continued && len(k.turns) == 0 {
				k.continued = true
				_ = k.Send([]byte(http1.ContinueResponse))
			}
			break
		}
		k.busy()
		if !k.spoke && k.tells(slog.LevelInfo) {
			k.tell(slog.LevelInfo, "client link open")
		}
		k.continued, k.spoke, k.since = false, true, k.home.loop.Now()
		k.taking, k.came = n, k.arrived(n)
		k.request(m, k.add(m.KeepAlive))
		if k.taking = 0; k.IsOpen() {
			k.Consume(n)
		}
	}
	if k.overrun && !k.last && len(k.Input()) == 0 && len(k.turns) < mostTurns {
		k.tooMuch()
	}
	if !k.IsOpen() {
		return
	}
	if k.last {
		k.DropInput()
		k.waiting = nil
	}
	k.stamp()
	k.overrun = k.overrun || k.hoards()
	if k.half && len(k.turns) > 0 {
		if k.sound(); !k.IsOpen() {
			return
		}
	}
	k.attend()
	switch {
	case len(k.turns) > 0 || len(k.Output()) > 0:
	case k.ended:
		k.end()
		return
	case k.last && !k.lingering:
		k.shut(&k.home.leaving)
	case len(k.Input()) == 0 && !k.last:
		if k.rest(); k.closes() && k.spoke {
			k.shut(&k.home.leaving)
		}
	}
	k.count()
}

// turnAway answers a request that is no query, or may not be one.
func (k *clientLink) turnAway(t *turn, in *requests.Arrival, status int, what string) {
	k.home.loop.Ledger.ReportRejection(in, status)
	t.reply(status, what+"\n")
}

// refuse answers what can't be read any further; the link ends with that.
func (k *clientLink) refuse(status int, what string) {
	k.busy()
	k.home.loop.Ledger.ReportRejection(nil, status)
	k.add(false).reply(status, what)
}

// arrival is when some bytes came that wait to be looked at.
type arrival struct {
	bytes int
	at    time.Duration
}

const arrivalsApart = 100 * time.Millisecond // a client may send a byte at a time

// stamp remembers when what waits came; what came shortly after other bytes counts as come with them.
func (k *clientLink) stamp() {
	fresh := len(k.Input())
	for _, a := range k.waiting {
		fresh -= a.bytes
	}
	if last := len(k.waiting) - 1; fresh > 0 && last >= 0 && k.home.loop.Now()-k.waiting[last].at < arrivalsApart {
		k.waiting[last].bytes += fresh
	} else if fresh > 0 {
		k.waiting = append(k.waiting, arrival{fresh, k.home.loop.Now()})
	}
}

// arrived tells when the last of the first n bytes that wait came.
func (k *clientLink) arrived(n int) time.Duration {
	for _, a := range k.waiting {
		if n -= a.bytes; n <= 0 {
			return a.at
		}
	}
	return k.home.loop.Now()
}

// Consume drops the first n bytes of what has come in.
func (k *clientLink) Consume(n int) {
	k.Stream.Consume(n)
	for len(k.waiting) > 0 && k.waiting[0].bytes <= n {
		n -= k.waiting[0].bytes
		k.waiting = k.waiting[1:]
	}
	if len(k.waiting) == 0 {
		k.waiting = nil
	} else {
		k.waiting[0].bytes -= n
	}
}

func (k *clientLink) tooMuch() { k.refuse(503, "too much sent ahead of answers\n") }

// maxUnread is how much of a link's answers may wait to be read before no more is taken in.
const maxUnread = http1.MaxBodySize

// attend asks epoll for what matters now. A client is always read from, as its end lies behind all that it has sent; that
// end is told for as long as it is asked for, and a reset always.
func (k *clientLink) attend() {
	events := k.Events() &^ eventloop.StreamEvents
	if !k.half {
		events |= unix.EPOLLRDHUP
	}
	if !k.ended {
		events |= unix.EPOLLIN
	}
	k.SetEvents(events)
}

// hoards tells whether more has been read ahead of answers than is kept.
func (k *clientLink) hoards() bool {
	n, held := len(k.Input()), k.home.held
	return n > mostHoarded || n > mostAhead && held > k.home.budget/2 || n > eventloop.MaxIdleBuffer && held > k.home.budget && len(k.turns) > 0
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
	if t.query != nil && k.tells(slog.LevelInfo) {
		k.tell(slog.LevelInfo, "query answered", slog.String("query", t.query.CallID), slog.Int("status", status))
	}
	if t.query = nil; t.done || !k.IsOpen() {
		return
	}
	t.done, t.status, t.body, t.retry = true, status, body, retry
	k.home.loop.Protect(k, k.deliver)
}

func (k *clientLink) deliver() {
	for k.IsOpen() && len(k.turns) > 0 && k.turns[0].done {
		t := k.turns[0]
		if k.turns = k.turns[1:]; len(k.turns) == 0 {
			k.turns = nil
		}
		k.since = k.home.loop.Now()
		// A link that ends says so with its last answer.
		k.last = k.last || k.closes() && len(k.turns) == 0 && len(k.Input()) == k.taking
		fields := ""
		if t.retry > 0 {
			fields = "Retry-After: " + strconv.FormatFloat(t.retry.Seconds(), 'f', 3, 64) + "\r\n"
		}
		b := http1.AppendResponse(k.home.loop.writing[:0], t.status, fields, t.body, !k.last || len(k.turns) > 0)
		if k.home.loop.writing = b[:0]; cap(b) > 4*http1.MaxBodySize {
			k.home.loop.writing = nil
		}
		if err := k.Send(b); err != nil {
			k.end()
			return
		}
	}
	if k.count(); k.IsOpen() && (len(k.turns) == 0 || len(k.Input()) > 0) {
		k.home.loop.StartTimer(0, k, k.proceed) // what came in meanwhile has its turn, though not in the midst of a step
	}
}

// reply answers at once.
func (t *turn) reply(status int, body string) { t.settle(status, []byte(body), 0) }

func (k *clientLink) request(m *http1.Request, t *turn) {
	path, _, _ := bytes.Cut(m.Target, []byte("?"))
	switch string(path) {
	case pathUp:
		switch {
		case string(m.Method) != "GET":
			t.reply(405, "GET only\n")
		case k.home.draining || !k.home.loop.Ledger.Ready():
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
	if err := k.tellNote(body); err != nil {
		t.reply(400, "bad note\n")
		return
	}
	t.reply(204, "")
}

// tellNote hands a note on.
func (k *clientLink) tellNote(body []byte) error {
	var n requests.Callback
	if err := jsoniter.ConfigDefault.Unmarshal(body, &n); err != nil {
		return err
	}
	known, err := k.home.loop.Ledger.HandleCallback(n)
	k.useful, k.tellsNotes = k.useful || known, k.tellsNotes || known
	return err
}

// ask takes in a query.
func (k *clientLink) ask(m *http1.Request, path []byte, t *turn) {
	first, rest, _ := bytes.Cut(bytes.TrimPrefix(path, []byte("/")), []byte("/"))
	name := m.Get("X-Call-Class")
	class, known := k.home.classes[string(name)]
	_, named := k.home.classes[string(first)]
	switch {
	case name == nil && !named:
		k.turnAway(t, nil, 404, "no such path")
	case string(m.Method) != "POST":
		k.turnAway(t, nil, 405, "POST only")
	case !known:
		k.turnAway(t, nil, 400, "X-Call-Class: not a class")
	case !bytes.Equal(name, first):
		k.turnAway(t, nil, 400, "X-Call-Class: not the class in the path")
	default:
		in, fault := k.home.read(m, class, rest)
		if fault != "" {
			k.turnAway(t, nil, 400, fault)
			return
		}
		// It was sent nowhere, so another try is harmless; after a flood has passed, or elsewhere if this one stops.
		switch c := k.home; {
		case c.closing:
			k.home.loop.Ledger.ReportRejection(&in, 503)
			t.RespondRejected(0)
			return
		case k.home.loop.Ledger.OpenCount() >= c.queries || k.home.loop.Ledger.PayloadBytes()+len(m.Body) > c.budget:
			k.home.loop.Ledger.ReportRejection(&in, 503)
			t.RespondRejected(min(fullFor, c.set.MaxRetryAfter))
			return
		}
		if waited := k.home.loop.Now() - k.came; waited > 0 { // its client counts from when it sent it
			in.Job.Remaining = max(in.Job.Remaining-waited, time.Millisecond)
		}
		in.Responder = t
		q, err := k.home.loop.Ledger.Admit(k.home.loop.Now(), in)
		if err != nil {
			k.turnAway(t, &in, 409, "X-Call-Id: "+err.Error())
			return
		}
		t.query, k.useful, k.tellsNotes = q, true, false
	}
}

// fullFor is when to come back to a scheduler that holds all the queries it can.
const fullFor = time.Second

// once are the fields that count in a request. Where one comes twice, what we check and what a worker node goes
// by could be two things.
var once = []string{
	"X-Call-Id", "X-Call-Class", "X-Caller", "X-Budget-Ms", "Idempotency-Key", "X-Call-Cost",
	"X-Call-Info", "X-Again", "Host",
}

// read makes a query of a request. fault names what is wrong with it.
func (c *clientLinks) read(m *http1.Request, class int, rest []byte) (in requests.Arrival, fault string) {
	for _, name := range once {
		if m.Count(name) > 1 {
			return in, name + ": given more than once"
		}
	}
	id, idem := m.Get("X-Call-Id"), m.Get("Idempotency-Key")
	if !http1.IsToken(id) || len(id) > maxID {
		return in, "X-Call-Id: missing or malformed"
	}
	if len(idem) > maxKey || !http1.IsVisible(idem) || idem == nil && c.set.Classes[class].Idempotency == dispatch.IdempotentWithKey {
		return in, "Idempotency-Key: missing or malformed" // without one, repeats would not be dropped
	}
	tenant, known := c.tenants[string(m.Get("X-Caller"))]
	if !known && len(c.tenants) > 0 {
		return in, "X-Caller: not a tenant"
	}
	left := c.set.Classes[class].ClientTimeout
	if text := m.Get("X-Budget-Ms"); text != nil {
		n, ok := http1.ParseDecimal(text)
		if !ok {
			return in, "X-Budget-Ms: expected whole milliseconds"
		}
		left = time.Duration(n) * time.Millisecond
	}
	in = requests.Arrival{
		CallID: string(id), Job: dispatch.Job{
			Class: class, Tenant: tenant, Remaining: left, Slots: 1,
			Hint: time.Duration(figure(m.Get("X-Call-Cost")) * float64(time.Microsecond)), Retry: string(m.Get("X-Again")) == "1",
		},
		Payload: requests.Payload{
			Method: string(m.Method), Path: string(m.Target), IdempotencyKey: string(idem),
			Body: bytes.Clone(m.Body),
		},
	}
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

// RespondResult hands on what a worker node made.
func (t *turn) RespondResult(result []byte) { t.settle(200, result, 0) }

// RespondRejected refuses; the client may come back.
func (t *turn) RespondRejected(after time.Duration) { t.settle(503, nil, after) }

// RespondFailed promises nothing.
func (t *turn) RespondFailed() { t.settle(500, nil, 0) }
