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
	pathUp        = "/up"
	pathCallbacks = "/v1/job-events"
)

const (
	requestReadTimeout    = 2 * time.Second // a request must be whole: counted from its first byte, the first one's from connecting
	responseUnreadTimeout = 5 * time.Second // a peer must take in some of an answer
	lingerIdleTimeout     = time.Second     // after the last answer of a link: for the peer to close, or to send on
	maxLingerTime         = 5 * time.Second
	expiryInterval        = 250 * time.Millisecond
	acceptRetryDelay      = 50 * time.Millisecond  // after no descriptor was left
	evictionGrace         = 250 * time.Millisecond // a link is not closed to make room sooner than this after its start
	maxAcceptsPerEvent    = 128                    // in a flood of connections, the links that are there have their turns too
	maxCallIDSize         = 128
	maxIdempotencyKeySize = 256
)

// clientListener accepts connections. Clients come in here, and so do worker nodes with their notes.
type clientListener struct {
	loop           *Loop
	fd             int
	maxConnections int // links held at once, but for those in parting
	maxRequests    int // and queries, which is fewer: what ends them, worker nodes' notes, needs links too
	connections    map[*clientConnection]struct{}
	// Links without a request in hand, longest first, in the order in which they make room: those that have only
	// had errors for an answer, those that have had their last, those that have not asked yet, and the useful ones.
	rejectedOnly, finished, silent, idle list.List
	evicted                              list.List // those that have made room, while they are shut but not closed yet
	maxEvicted                           int       // and how many there may be, besides most
	bufferedBytes                        int       // bytes in the links' buffers
	maxBufferedBytes                     int       // and how many there may be; as much again may wait in queries
	acceptPaused                         bool
	resumeTimer                          *eventloop.Timer
	draining                             bool
	closing                              bool // takes no query any more
	settings                             *dispatch.Settings
	classes                              map[string]int
	tenants                              map[string]int
}

func (l *Loop) openClientListener(most, budget int, set *dispatch.Settings, names requests.NameTable) {
	l.clients = &clientListener{
		loop: l, fd: -1, connections: map[*clientConnection]struct{}{}, settings: set,
		classes: index(names.Classes), tenants: index(names.Tenants),
	}
	l.clients.setLimits(most, budget)
	l.clients.closeExpired()
}

// setLimits sets how many links are held, and how many bytes. Where there are more links, idle ones make room.
func (c *clientListener) setLimits(links, budget int) {
	c.maxEvicted = links / 32 // out of those that queries leave
	c.maxConnections = links - c.maxEvicted
	c.maxRequests, c.maxBufferedBytes = maxRequestsFor(links), budget
	for c.activeCount() > c.maxConnections && c.evict() {
	}
	c.closeExcessEvicted()
	c.resumeIfRoom()
}

// activeCount counts the links but for those that have made room.
func (c *clientListener) activeCount() int { return len(c.connections) - c.evicted.Len() }

// maxRequestsFor leaves links for what ends queries.
func maxRequestsFor(links int) int { return links - max(8, links/10) }

func index(names []string) map[string]int {
	m := map[string]int{}
	for i, name := range names {
		m[name] = i
	}
	return m
}

// HandleEvents accepts what waits. Where descriptors run out, the link that has been idle longest makes room; where
// none is idle, new connections wait in the backlog: turned away there, their queries would be lost.
func (c *clientListener) HandleEvents(uint32) {
	for range maxAcceptsPerEvent {
		if c.activeCount() >= c.maxConnections && !c.evict() {
			c.pauseAccepting()
			return
		}
		if len(c.connections)+c.loop.ClosingCount() >= c.maxConnections+c.maxEvicted {
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
			c.pauseAccepting()
			return
		}
		if from := eventloop.AddrPort(sa); c.loop.isAddressAdmitted(fd, from) {
			c.addConnection(fd, from)
		}
	}
}

// addConnection makes a link of a connection.
func (c *clientListener) addConnection(fd int, from netip.AddrPort) {
	k := &clientConnection{listener: c, lastActivity: c.loop.Now(), clientAddress: from, proxyHeaderDone: c.loop.addressLists == nil}
	var err error
	if k.Stream, err = c.loop.OpenStream(fd, eventloop.StreamEvents, k); err != nil {
		c.loop.log.Error("accepting failed", "error", err)
		_ = unix.Close(fd)
		return
	}
	c.connections[k] = struct{}{}
	k.becomeIdle()
}

// closeExpired ends links on which nothing goes on that should: each holds a descriptor, and some hold a buffer. One that
// awaits an answer of ours, or has had one and is idle, is let be.
func (c *clientListener) closeExpired() {
	c.loop.StartTimer(expiryInterval, c, c.closeExpired)
	for k := range c.connections {
		age := c.loop.Now() - k.lastActivity
		switch {
		case k.lingering:
			if age >= lingerIdleTimeout || c.loop.Now()-k.lingerStart >= maxLingerTime {
				k.terminate()
			}
		case len(k.Output()) > 0:
			if age >= responseUnreadTimeout {
				k.terminate()
			}
		case len(k.slots) > 0 || k.usefulRequestSeen && len(k.Input()) == 0 || age < requestReadTimeout:
		case len(k.Input()) > 0 && k.proxyHeaderDone && !k.lastRequestRead:
			k.rejectInput(408, "request not whole\n")
		case !k.proxyHeaderDone && len(k.Input()) > 0: // it may be the start of a PROXY header, so nothing is written
			k.linger(&c.finished)
		case !k.requestSeen: // has connected and says nothing
			k.dismiss(&c.finished)
		}
	}
}

func (c *clientListener) HandlePanic() {}

// evict has the link that is missed least make room, and tells whether there was one. What had just come in on it is
// taken first; what comes from then on its client asks again elsewhere. A link that has just connected, or just had its
// last answer, is let be: it may be a usual client's or a worker node's, whose request is on its way.
func (c *clientListener) evict() bool {
	for _, from := range []*list.List{&c.rejectedOnly, &c.finished, &c.silent, &c.idle} {
		for e := from.Front(); e != nil; e = from.Front() {
			k := e.Value.(*clientConnection)
			if from != &c.idle && from != &c.rejectedOnly && c.loop.Now()-k.lastActivity < evictionGrace {
				break
			}
			if k.dismiss(&c.evicted) {
				c.closeExcessEvicted()
				return true
			}
		}
	}
	return false
}

// closeExcessEvicted closes links that have made room where there are too many of those, the first ones first.
func (c *clientListener) closeExcessEvicted() {
	for c.evicted.Len() > c.maxEvicted {
		c.evicted.Front().Value.(*clientConnection).terminate()
	}
}

func (c *clientListener) pauseAccepting() {
	if !c.acceptPaused {
		c.acceptPaused = true
		c.setListenerEvents(0)
		c.loop.StopTimer(c.resumeTimer)
		c.resumeTimer = c.loop.StartTimer(acceptRetryDelay, c, c.resumeAccepting) // some link may make room by then
	}
}

func (c *clientListener) resumeAccepting() {
	if c.acceptPaused {
		c.acceptPaused = false
		c.setListenerEvents(unix.EPOLLIN)
	}
}

func (c *clientListener) resumeIfRoom() {
	if c.activeCount() < c.maxConnections {
		c.resumeAccepting()
	}
}

func (c *clientListener) setListenerEvents(events uint32) {
	c.loop.Modify(c.fd, events)
}

// close closes links between queries from now on; queries that come all the same are refused. Links that worker nodes have
// stay open, as do those that they open: each note is an answer that some client waits for.
func (c *clientListener) close() {
	c.closing = true
	var resting []*clientConnection // one that is shut may bring about that others move
	for _, among := range []*list.List{&c.rejectedOnly, &c.silent, &c.idle} {
		for e := among.Front(); e != nil; e = e.Next() {
			resting = append(resting, e.Value.(*clientConnection))
		}
	}
	for _, k := range resting {
		if k.waitingElement != nil && !k.sendsCallbacks {
			k.dismiss(&c.finished)
		}
	}
}

// closesAfterResponse tells whether the link ends with what is answered on it now.
func (k *clientConnection) closesAfterResponse() bool { return k.listener.closing && !k.sendsCallbacks }

// hasSentAll tells whether all that was answered has left.
func (c *clientListener) hasSentAll() bool {
	for k := range c.connections {
		if len(k.Output()) > 0 {
			return false
		}
	}
	return true
}

// clientConnection is one accepted connection. What comes in on it is answered in turn.
type clientConnection struct {
	eventloop.Stream
	listener          *clientListener
	slots             []*responseSlot // taken in and not answered yet, in order
	lastRequestRead   bool            // no further request is taken: the link ends with its last turn
	halfClosed        bool            // the client has ended its side
	inputEnded        bool            // and all that it has sent is read
	inputOverrun      bool            // it has sent too much ahead of its answers: what still comes is not kept
	halfCloseProbed   bool            // it has been asked whether it still listens, see sound
	lingering         bool            // all is answered, and the peer may still send
	continueSent      bool
	requestSeen       bool // a whole request has come
	usefulRequestSeen bool // and one that was of use: a query, or news of one; anybody can ask whether we are up
	// sendsCallbacks is set on a worker node's link: what it brought last was news of a query.
	sendsCallbacks     bool
	lastActivity       time.Duration  // when something last began or went on, see sweep
	lingerStart        time.Duration  // when it began to
	currentRequestSize int            // bytes at the start of in that are the request which is being taken
	arrivals           []arrival      // of what is in
	currentArrival     time.Duration  // when the request that is being taken did
	countedBytes       int            // bytes that home.held has for it
	clientAddress      netip.AddrPort // whom it speaks for
	proxyAddress       netip.AddrPort // and by which front; not valid: by none
	// proxyHeaderDone is set once it is known whether a PROXY header comes first.
	proxyHeaderDone bool
	waitingList     *list.List    // the links without a request in hand, if it is one of those
	waitingElement  *list.Element // and where it is there
}

// responseSlot is one request's place in the order of answers. It is the Asker of a query.
type responseSlot struct {
	connection *clientConnection
	request    *requests.Request // while it is served
	keepAlive  bool              // the request lets the link live on
	isComplete bool
	statusCode int
	body       []byte
	retryAfter time.Duration
}

// enterWaitingList puts the link among those without a request in hand.
func (k *clientConnection) enterWaitingList(among *list.List) {
	if !k.IsOpen() || k.waitingList == among {
		return
	}
	k.leaveWaitingList()
	k.waitingList, k.waitingElement = among, among.PushBack(k)
}

// becomeIdle marks the link as being between requests.
func (k *clientConnection) becomeIdle() {
	switch {
	case k.usefulRequestSeen:
		k.enterWaitingList(&k.listener.idle)
	case k.requestSeen:
		k.enterWaitingList(&k.listener.rejectedOnly)
	default:
		k.enterWaitingList(&k.listener.silent)
	}
}

// leaveWaitingList takes the link from among those without a request in hand.
func (k *clientConnection) leaveWaitingList() {
	if k.waitingElement != nil {
		k.waitingList.Remove(k.waitingElement)
		k.waitingList, k.waitingElement = nil, nil
	}
}

// dismiss shuts a link without a request in hand, unless one has just come in. It tells whether the link makes room.
func (k *clientConnection) dismiss(among *list.List) bool {
	place := k.waitingElement
	if k.listener.loop.Protect(k, func() { k.HandleEvents(unix.EPOLLIN) }); k.IsOpen() && place != nil && k.waitingElement == place {
		k.linger(among)
	}
	return !k.IsOpen() || k.waitingList == among
}

// linger ends what we write. What the peer still sends is taken in unread up to its own end, for a while: closed over
// unread bytes, a link is reset, and that takes along what the peer has not had of the answers before.
func (k *clientConnection) linger(among *list.List) {
	if !k.lingering {
		k.lastRequestRead = true
		k.DropInput()
		k.lingering, k.lingerStart, k.lastActivity = true, k.listener.loop.Now(), k.listener.loop.Now()
		k.CloseWrite()
	}
	k.enterWaitingList(among)
	k.updateInputEvents()
	k.updateBufferedBytes()
}

// updateBufferedBytes keeps home.held right.
func (k *clientConnection) updateBufferedBytes() {
	now := k.BufferSize()
	k.listener.bufferedBytes += now - k.countedBytes
	k.countedBytes = now
}

// terminate closes the link; the queries that it carries have lost their client.
func (k *clientConnection) terminate() {
	if !k.IsOpen() {
		return
	}
	k.leaveWaitingList()
	k.Close()
	k.updateBufferedBytes()
	delete(k.listener.connections, k)
	for _, t := range k.slots {
		if q := t.request; q != nil {
			if k.isLogEnabled(slog.LevelInfo) {
				k.logEvent(slog.LevelInfo, "query left by its client", slog.String("query", q.CallID))
			}
			t.request = nil
			k.listener.loop.Requests.ClientDisconnected(q)
		}
	}
	k.slots = nil
}

func (k *clientConnection) HandlePanic() { k.terminate() }

// Priority puts the events of clients before those of worker nodes. A client that has left is known before a connection that
// has just come up is written to, and what a worker node has told of an attempt before the end of the link that carried it.
func (k *clientConnection) Priority() eventloop.Priority { return eventloop.PriorityHigh }

func (k *clientConnection) HandleEvents(events uint32) {
	if events&(unix.EPOLLHUP|unix.EPOLLERR) != 0 && !k.lingering {
		k.handleReset()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		before := len(k.Output())
		if k.Flush() != nil {
			k.terminate()
			return
		}
		if len(k.Output()) < before {
			k.lastActivity = k.listener.loop.Now()
		}
	}
	// Its end is told however much it has sent before that.
	k.halfClosed = k.halfClosed || events&unix.EPOLLRDHUP != 0
	if events&^unix.EPOLLOUT != 0 && !k.inputEnded {
		take := k.Fill
		if k.lastRequestRead || k.inputOverrun {
			take = k.discardInput
		} else if k.requestSeen && len(k.Input()) == 0 { // another request begins, however long the link was idle
			k.lastActivity = k.listener.loop.Now()
		}
		ended, err := take()
		if err != nil {
			k.terminate()
			return
		}
		k.inputEnded = k.inputEnded || ended
	}
	k.readRequests()
}

// handleReset ends a link whose connection is gone both ways. Nobody waits for an answer, so no query is taken from what came
// before that; news is news all the same.
func (k *clientConnection) handleReset() {
	for !k.lastRequestRead && len(k.slots) == 0 && len(k.Input()) <= maxReadAhead {
		before := len(k.Input())
		if _, err := k.Fill(); err != nil || len(k.Input()) == before {
			break
		}
	}
	for !k.lastRequestRead && len(k.slots) == 0 && len(k.Input()) > 0 && k.readProxyHeader() {
		m := &k.listener.loop.request
		n, err := m.Parse(k.Input())
		if err != nil {
			break
		}
		if path, _, _ := bytes.Cut(m.Target, []byte("?")); string(path) == pathCallbacks && string(m.Method) == "POST" {
			_ = k.applyCallback(m.Body)
		}
		k.Consume(n)
	}
	k.terminate()
}

// discardInput takes in what nobody will read, so that closing the link does not reset it and take the answer along.
func (k *clientConnection) discardInput() (ended bool, err error) {
	n, ended, err := k.Stream.Discard()
	if n > 0 {
		k.lastActivity = k.listener.loop.Now()
	}
	return ended, err
}

// probeHalfClosed asks a client that has ended its side whether it still listens. One that has closed its connection has gone
// away, one that has only finished writing still waits, and both look alike until something is written: a closed
// connection answers an interim response with a reset, and any client must skip one. Where the reset is there at once,
// the link ends at once, before anything is sent on.
func (k *clientConnection) probeHalfClosed() {
	if k.halfCloseProbed {
		return
	}
	k.halfCloseProbed = true
	if k.Send([]byte(http1.ContinueResponse)) != nil || k.ConnectError() != nil {
		k.terminate()
	}
}

// maxResponseSlots is how many requests of a link are taken in at once. A client sends one at a time; one that does
// not wait for its answers is served in turn, and its time counts from when each request came.
const maxResponseSlots = 16

// maxReadAhead is how much is read and kept while answers are due: a whole message and the start of another. Where there
// is memory it may be mostHoarded. What comes beyond that is taken in unread, so that the client's end is noticed all the
// same: the requests that are kept are answered, one more is refused, and the link ends.
const (
	maxReadAhead           = http1.MaxHeaderSize + http1.MaxBodySize
	maxReadAheadWithMemory = 8 * maxReadAhead
)

// readRequests takes in what can be taken.
func (k *clientConnection) readRequests() {
	for !k.lastRequestRead && k.IsOpen() && len(k.slots) < maxResponseSlots && len(k.Output()) <= maxUnreadOutput && len(k.Input()) > 0 && k.readProxyHeader() {
		m := &k.listener.loop.request
		n, err := m.Parse(k.Input())
		var bad *http1.ParseError
		if errors.As(err, &bad) {
			k.rejectInput(bad.StatusCode, bad.Reason+"\n")
			break
		}
		if err != nil {
			if k.usefulRequestSeen {
				k.leaveWaitingList()
			}
			if k.inputOverrun {
				k.rejectOverrun()
			} else if k.listener.bufferedBytes > k.listener.maxBufferedBytes && len(k.Input()) > eventloop.MaxIdleBuffer {
				k.rejectInput(503, "no memory for a large request now\n")
			} else if m.ExpectContinue && !k.continueSent && len(k.slots) == 0 {
				k.continueSent = true
				_ = k.Send([]byte(http1.ContinueResponse))
			}
			break
		}
		k.leaveWaitingList()
		if !k.requestSeen && k.isLogEnabled(slog.LevelInfo) {
			k.logEvent(slog.LevelInfo, "client link open")
		}
		k.continueSent, k.requestSeen, k.lastActivity = false, true, k.listener.loop.Now()
		k.currentRequestSize, k.currentArrival = n, k.arrivalTime(n)
		k.handleRequest(m, k.reserveSlot(m.KeepAlive))
		if k.currentRequestSize = 0; k.IsOpen() {
			k.Consume(n)
		}
	}
	if k.inputOverrun && !k.lastRequestRead && len(k.Input()) == 0 && len(k.slots) < maxResponseSlots {
		k.rejectOverrun()
	}
	if !k.IsOpen() {
		return
	}
	if k.lastRequestRead {
		k.DropInput()
		k.arrivals = nil
	}
	k.recordArrival()
	k.inputOverrun = k.inputOverrun || k.exceedsReadAhead()
	if k.halfClosed && len(k.slots) > 0 {
		if k.probeHalfClosed(); !k.IsOpen() {
			return
		}
	}
	k.updateInputEvents()
	switch {
	case len(k.slots) > 0 || len(k.Output()) > 0:
	case k.inputEnded:
		k.terminate()
		return
	case k.lastRequestRead && !k.lingering:
		k.linger(&k.listener.finished)
	case len(k.Input()) == 0 && !k.lastRequestRead:
		if k.becomeIdle(); k.closesAfterResponse() && k.requestSeen {
			k.linger(&k.listener.finished)
		}
	}
	k.updateBufferedBytes()
}

// rejectRequest answers a request that is no query, or may not be one.
func (k *clientConnection) rejectRequest(t *responseSlot, in *requests.Arrival, status int, what string) {
	k.listener.loop.Requests.ReportRejection(in, status)
	t.respond(status, what+"\n")
}

// rejectInput answers what can't be read any further; the link ends with that.
func (k *clientConnection) rejectInput(status int, what string) {
	k.leaveWaitingList()
	k.listener.loop.Requests.ReportRejection(nil, status)
	k.reserveSlot(false).respond(status, what)
}

// arrival is when some bytes came that wait to be looked at.
type arrival struct {
	bytes int
	at    time.Duration
}

const arrivalResolution = 100 * time.Millisecond // a client may send a byte at a time

// recordArrival remembers when what waits came; what came shortly after other bytes counts as come with them.
func (k *clientConnection) recordArrival() {
	fresh := len(k.Input())
	for _, a := range k.arrivals {
		fresh -= a.bytes
	}
	if last := len(k.arrivals) - 1; fresh > 0 && last >= 0 && k.listener.loop.Now()-k.arrivals[last].at < arrivalResolution {
		k.arrivals[last].bytes += fresh
	} else if fresh > 0 {
		k.arrivals = append(k.arrivals, arrival{fresh, k.listener.loop.Now()})
	}
}

// arrivalTime tells when the last of the first n bytes that wait came.
func (k *clientConnection) arrivalTime(n int) time.Duration {
	for _, a := range k.arrivals {
		if n -= a.bytes; n <= 0 {
			return a.at
		}
	}
	return k.listener.loop.Now()
}

// Consume drops the first n bytes of what has come in.
func (k *clientConnection) Consume(n int) {
	k.Stream.Consume(n)
	for len(k.arrivals) > 0 && k.arrivals[0].bytes <= n {
		n -= k.arrivals[0].bytes
		k.arrivals = k.arrivals[1:]
	}
	if len(k.arrivals) == 0 {
		k.arrivals = nil
	} else {
		k.arrivals[0].bytes -= n
	}
}

func (k *clientConnection) rejectOverrun() { k.rejectInput(503, "too much sent ahead of answers\n") }

// maxUnreadOutput is how much of a link's answers may wait to be read before no more is taken in.
const maxUnreadOutput = http1.MaxBodySize

// updateInputEvents asks epoll for what matters now. A client is always read from, as its end lies behind all that it has sent; that
// end is told for as long as it is asked for, and a reset always.
func (k *clientConnection) updateInputEvents() {
	events := k.Events() &^ eventloop.StreamEvents
	if !k.halfClosed {
		events |= unix.EPOLLRDHUP
	}
	if !k.inputEnded {
		events |= unix.EPOLLIN
	}
	k.SetEvents(events)
}

// exceedsReadAhead tells whether more has been read ahead of answers than is kept.
func (k *clientConnection) exceedsReadAhead() bool {
	n, held := len(k.Input()), k.listener.bufferedBytes
	return n > maxReadAheadWithMemory || n > maxReadAhead && held > k.listener.maxBufferedBytes/2 || n > eventloop.MaxIdleBuffer && held > k.listener.maxBufferedBytes && len(k.slots) > 0
}

// reserveSlot gives a request its turn; one that does not let the link live on is the last.
func (k *clientConnection) reserveSlot(keep bool) *responseSlot {
	t := &responseSlot{connection: k, keepAlive: keep}
	k.slots = append(k.slots, t)
	k.lastRequestRead = k.lastRequestRead || !keep
	return t
}

// complete answers a turn. Answers leave in the order in which the requests came.
func (t *responseSlot) complete(status int, body []byte, retry time.Duration) {
	k := t.connection
	if t.request != nil && k.isLogEnabled(slog.LevelInfo) {
		k.logEvent(slog.LevelInfo, "query answered", slog.String("query", t.request.CallID), slog.Int("status", status))
	}
	if t.request = nil; t.isComplete || !k.IsOpen() {
		return
	}
	t.isComplete, t.statusCode, t.body, t.retryAfter = true, status, body, retry
	k.listener.loop.Protect(k, k.sendResponses)
}

func (k *clientConnection) sendResponses() {
	for k.IsOpen() && len(k.slots) > 0 && k.slots[0].isComplete {
		t := k.slots[0]
		if k.slots = k.slots[1:]; len(k.slots) == 0 {
			k.slots = nil
		}
		k.lastActivity = k.listener.loop.Now()
		// A link that ends says so with its last answer.
		k.lastRequestRead = k.lastRequestRead || k.closesAfterResponse() && len(k.slots) == 0 && len(k.Input()) == k.currentRequestSize
		fields := ""
		if t.retryAfter > 0 {
			fields = "Retry-After: " + strconv.FormatFloat(t.retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
		}
		b := http1.AppendResponse(k.listener.loop.writeBuffer[:0], t.statusCode, fields, t.body, !k.lastRequestRead || len(k.slots) > 0)
		if k.listener.loop.writeBuffer = b[:0]; cap(b) > 4*http1.MaxBodySize {
			k.listener.loop.writeBuffer = nil
		}
		if err := k.Send(b); err != nil {
			k.terminate()
			return
		}
	}
	if k.updateBufferedBytes(); k.IsOpen() && (len(k.slots) == 0 || len(k.Input()) > 0) {
		k.listener.loop.StartTimer(0, k, k.readRequests) // what came in meanwhile has its turn, though not in the midst of a step
	}
}

// respond answers at once.
func (t *responseSlot) respond(status int, body string) { t.complete(status, []byte(body), 0) }

func (k *clientConnection) handleRequest(m *http1.Request, t *responseSlot) {
	path, _, _ := bytes.Cut(m.Target, []byte("?"))
	switch string(path) {
	case pathUp:
		switch {
		case string(m.Method) != "GET":
			t.respond(405, "GET only\n")
		case k.listener.draining || !k.listener.loop.Requests.Ready():
			t.respond(503, "not ready\n")
		default:
			t.respond(200, "ready\n")
		}
	case pathCallbacks:
		if string(m.Method) != "POST" {
			t.respond(405, "POST only\n")
			return
		}
		k.handleCallback(m.Body, t)
	default:
		k.admitRequest(m, path, t)
	}
}

func (k *clientConnection) handleCallback(body []byte, t *responseSlot) {
	if err := k.applyCallback(body); err != nil {
		t.respond(400, "bad note\n")
		return
	}
	t.respond(204, "")
}

// applyCallback hands a note on.
func (k *clientConnection) applyCallback(body []byte) error {
	var n requests.Callback
	if err := jsoniter.ConfigDefault.Unmarshal(body, &n); err != nil {
		return err
	}
	known, err := k.listener.loop.Requests.HandleCallback(n)
	k.usefulRequestSeen, k.sendsCallbacks = k.usefulRequestSeen || known, k.sendsCallbacks || known
	return err
}

// admitRequest takes in a query.
func (k *clientConnection) admitRequest(m *http1.Request, path []byte, t *responseSlot) {
	first, rest, _ := bytes.Cut(bytes.TrimPrefix(path, []byte("/")), []byte("/"))
	name := m.Get("X-Call-Class")
	class, known := k.listener.classes[string(name)]
	_, named := k.listener.classes[string(first)]
	switch {
	case name == nil && !named:
		k.rejectRequest(t, nil, 404, "no such path")
	case string(m.Method) != "POST":
		k.rejectRequest(t, nil, 405, "POST only")
	case !known:
		k.rejectRequest(t, nil, 400, "X-Call-Class: not a class")
	case !bytes.Equal(name, first):
		k.rejectRequest(t, nil, 400, "X-Call-Class: not the class in the path")
	default:
		in, fault := k.listener.parseArrival(m, class, rest)
		if fault != "" {
			k.rejectRequest(t, nil, 400, fault)
			return
		}
		// It was sent nowhere, so another try is harmless; after a flood has passed, or elsewhere if this one stops.
		switch c := k.listener; {
		case c.closing:
			k.listener.loop.Requests.ReportRejection(&in, 503)
			t.RespondRejected(0)
			return
		case k.listener.loop.Requests.OpenCount() >= c.maxRequests || k.listener.loop.Requests.PayloadBytes()+len(m.Body) > c.maxBufferedBytes:
			k.listener.loop.Requests.ReportRejection(&in, 503)
			t.RespondRejected(min(overloadRetryAfter, c.settings.MaxRetryAfter))
			return
		}
		if waited := k.listener.loop.Now() - k.currentArrival; waited > 0 { // its client counts from when it sent it
			in.Job.Remaining = max(in.Job.Remaining-waited, time.Millisecond)
		}
		in.Responder = t
		q, err := k.listener.loop.Requests.Admit(k.listener.loop.Now(), in)
		if err != nil {
			k.rejectRequest(t, &in, 409, "X-Call-Id: "+err.Error())
			return
		}
		t.request, k.usefulRequestSeen, k.sendsCallbacks = q, true, false
	}
}

// overloadRetryAfter is when to come back to a scheduler that holds all the queries it can.
const overloadRetryAfter = time.Second

// uniqueFields are the fields that count in a request. Where one comes twice, what we check and what a worker node goes
// by could be two things.
var uniqueFields = []string{
	"X-Call-Id", "X-Call-Class", "X-Caller", "X-Budget-Ms", "Idempotency-Key", "X-Call-Cost",
	"X-Call-Info", "X-Again", "Host",
}

// parseArrival makes a query of a request. fault names what is wrong with it.
func (c *clientListener) parseArrival(m *http1.Request, class int, rest []byte) (in requests.Arrival, fault string) {
	for _, name := range uniqueFields {
		if m.Count(name) > 1 {
			return in, name + ": given more than once"
		}
	}
	id, idem := m.Get("X-Call-Id"), m.Get("Idempotency-Key")
	if !http1.IsToken(id) || len(id) > maxCallIDSize {
		return in, "X-Call-Id: missing or malformed"
	}
	if len(idem) > maxIdempotencyKeySize || !http1.IsVisible(idem) || idem == nil && c.settings.Classes[class].Idempotency == dispatch.IdempotentWithKey {
		return in, "Idempotency-Key: missing or malformed" // without one, repeats would not be dropped
	}
	tenant, known := c.tenants[string(m.Get("X-Caller"))]
	if !known && len(c.tenants) > 0 {
		return in, "X-Caller: not a tenant"
	}
	left := c.settings.Classes[class].ClientTimeout
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
			Hint: time.Duration(parsePositive(m.Get("X-Call-Cost")) * float64(time.Microsecond)), Retry: string(m.Get("X-Again")) == "1",
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
			in.Job.Slots = max(1, parsePositive(value))
		case "mem", "memory":
			in.Job.Memory = parsePositive(value)
		}
	}
	return in, ""
}

// parsePositive reads a number of a request; one that makes no sense is as good as absent.
func parsePositive(text []byte) float64 {
	x, err := strconv.ParseFloat(string(bytes.TrimSpace(text)), 64)
	if err != nil || !(x > 0 && x < 1e9) {
		return 0
	}
	return x
}

// ---- The three final answers ----

// RespondResult hands on what a worker node made.
func (t *responseSlot) RespondResult(result []byte) { t.complete(200, result, 0) }

// RespondRejected refuses; the client may come back.
func (t *responseSlot) RespondRejected(after time.Duration) { t.complete(503, nil, after) }

// RespondFailed promises nothing.
func (t *responseSlot) RespondFailed() { t.complete(500, nil, 0) }
