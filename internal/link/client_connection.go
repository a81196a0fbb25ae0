package link

import (
	"bytes"
	"container/list"
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
)

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
