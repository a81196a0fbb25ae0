package link

import (
	"container/list"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
)

// auxiliaryListener accept connections at an address beside the clients': few, and each of them timed.
type auxiliaryListener struct {
	loop        *Loop
	fd          int
	connections list.List // their handlers, in the order in which they make room
}

// auxiliaryConnection is what such links have in common.
type auxiliaryConnection struct {
	eventloop.Stream
	owner        *auxiliaryListener
	element      *list.Element
	lastActivity time.Duration // when something last began on it
	lastResponse bool          // nothing more is read: it ends with what is being written
	inputEnded   bool          // the peer sends no more
}

func (s *auxiliaryListener) HandlePanic() {}

// accept takes in connections, so many at a time at most.
func (s *auxiliaryListener) accept(most int, admits func(fd int, from netip.AddrPort) bool, adopt func(fd int)) {
	for range most {
		fd, sa, err := unix.Accept4(s.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil { // none waits, or no descriptor is left: it is told again
			return
		}
		if admits(fd, eventloop.AddrPort(sa)) {
			adopt(fd)
		}
	}
}

// open makes a link of a connection; handler is what it is part of.
func (s *auxiliaryListener) open(fd int, k *auxiliaryConnection, handler eventloop.Handler) bool {
	k.owner, k.lastActivity = s, s.loop.Now()
	var err error
	if k.Stream, err = s.loop.OpenStream(fd, eventloop.StreamEvents, handler); err != nil {
		_ = unix.Close(fd)
		return false
	}
	k.element = s.connections.PushBack(handler)
	return true
}

func (k *auxiliaryConnection) HandlePanic() { k.terminate() }

func (k *auxiliaryConnection) terminate() {
	if k.IsOpen() {
		k.owner.connections.Remove(k.element)
		k.Close()
	}
}

// transfer writes what waits and reads what has come. ended tells that the peer sends no more, and goes on telling so,
// while epoll is not asked for it again; not ok: the link has ended.
func (k *auxiliaryConnection) transfer(events uint32) (ended, ok bool) {
	var err error
	if events&unix.EPOLLOUT != 0 {
		err = k.Flush()
		k.closeWriteOnceSent()
	}
	switch {
	case err != nil || events&^unix.EPOLLOUT == 0:
	case k.lastResponse:
		_, ended, err = k.Discard() // closed over unread bytes, a link is reset and may take the answer along
	default:
		ended, err = k.Fill()
	}
	if err != nil {
		k.terminate()
	}
	if k.inputEnded = k.inputEnded || ended; k.inputEnded {
		k.SetEvents(k.Events() &^ eventloop.StreamEvents)
	}
	return k.inputEnded, err == nil
}

// respond answers a request; keep lets the link live on.
func (k *auxiliaryConnection) respond(code int, fields string, body []byte, keep bool) {
	k.lastResponse = !keep
	if k.Send(http1.AppendResponse(nil, code, fields, body, keep)) != nil {
		k.terminate()
		return
	}
	if k.lastResponse {
		k.DropInput()
	}
	k.closeWriteOnceSent()
}

// closeWriteOnceSent ends our side once the last answer has left.
func (k *auxiliaryConnection) closeWriteOnceSent() {
	if k.lastResponse && len(k.Output()) == 0 && k.IsOpen() {
		k.CloseWrite()
	}
}
