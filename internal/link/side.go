package link

import (
	"container/list"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
)

// sideLinks accept connections at an address beside the clients': few, and each of them timed.
type sideLinks struct {
	loop  *Loop
	fd    int
	links list.List // their handlers, in the order in which they make room
}

// sideLink is what such links have in common.
type sideLink struct {
	eventloop.Stream
	among *sideLinks
	place *list.Element
	since time.Duration // when something last began on it
	last  bool          // nothing more is read: it ends with what is being written
	ended bool          // the peer sends no more
}

func (s *sideLinks) HandlePanic() {}

// accept takes in connections, so many at a time at most.
func (s *sideLinks) accept(most int, admits func(fd int, from netip.AddrPort) bool, adopt func(fd int)) {
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

// enter makes a link of a connection; handler is what it is part of.
func (s *sideLinks) enter(fd int, k *sideLink, handler eventloop.Handler) bool {
	k.among, k.since = s, s.loop.Now()
	var err error
	if k.Stream, err = s.loop.OpenStream(fd, eventloop.StreamEvents, handler); err != nil {
		_ = unix.Close(fd)
		return false
	}
	k.place = s.links.PushBack(handler)
	return true
}

func (k *sideLink) HandlePanic() { k.end() }

func (k *sideLink) end() {
	if k.IsOpen() {
		k.among.links.Remove(k.place)
		k.Close()
	}
}

// exchange writes what waits and reads what has come. ended tells that the peer sends no more, and goes on telling so,
// while epoll is not asked for it again; not ok: the link has ended.
func (k *sideLink) exchange(events uint32) (ended, ok bool) {
	var err error
	if events&unix.EPOLLOUT != 0 {
		err = k.Flush()
		k.shut()
	}
	switch {
	case err != nil || events&^unix.EPOLLOUT == 0:
	case k.last:
		_, ended, err = k.Discard() // closed over unread bytes, a link is reset and may take the answer along
	default:
		ended, err = k.Fill()
	}
	if err != nil {
		k.end()
	}
	if k.ended = k.ended || ended; k.ended {
		k.SetEvents(k.Events() &^ eventloop.StreamEvents)
	}
	return k.ended, err == nil
}

// reply answers a request; keep lets the link live on.
func (k *sideLink) reply(code int, fields string, body []byte, keep bool) {
	k.last = !keep
	if k.Send(http1.AppendResponse(nil, code, fields, body, keep)) != nil {
		k.end()
		return
	}
	if k.last {
		k.DropInput()
	}
	k.shut()
}

// shut ends our side once the last answer has left.
func (k *sideLink) shut() {
	if k.last && len(k.Output()) == 0 && k.IsOpen() {
		k.CloseWrite()
	}
}
