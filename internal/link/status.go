package link

import (
	"bytes"
	"container/list"
	"errors"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/status"
)

const (
	statusMost  = 8 // status links at once
	statusQuiet = 10 * time.Second
)

// statusLinks accept connections at the side port and answer the status call. There are few, and each is timed.
type statusLinks struct {
	loop  *Loop
	fd    int
	table *status.Table
	links list.List // of *statusLink, the longest quiet first
}

// statusLink is one of them. Each request is answered as it is read.
type statusLink struct {
	stream
	home  *statusLinks
	place *list.Element
	since time.Duration // when it was accepted, last answered, or last began a request
	last  bool          // nothing more is read
}

// serveStatus answers the status call at a side port.
func (l *Loop) serveStatus(at netip.AddrPort, table *status.Table) (err error) {
	s := &statusLinks{loop: l, table: table}
	if s.fd, err = l.listen(at, s); err == nil {
		l.status = s
		s.sweep()
	}
	return err
}

func (s *statusLinks) broken() {}

// ready accepts what waits. Where there are too many links, the one that has been quiet longest makes room.
func (s *statusLinks) ready(uint32) {
	for range statusMost {
		fd, sa, err := unix.Accept4(s.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil { // none waits, or no descriptor is left: it is told again
			return
		}
		if s.loop.admits(fd, addrPort(sa)) {
			s.adopt(fd)
		}
	}
}

// adopt makes a link of a connection.
func (s *statusLinks) adopt(fd int) {
	if s.links.Len() >= statusMost {
		s.links.Front().Value.(*statusLink).end()
	}
	k := &statusLink{home: s, since: s.loop.now}
	var err error
	if k.stream, err = s.loop.stream(fd, streamEvents, k); err != nil {
		_ = unix.Close(fd)
		return
	}
	k.place = s.links.PushBack(k)
}

// sweep ends links on which a request is not whole in time, an answer is not read, or nothing comes.
func (s *statusLinks) sweep() {
	s.loop.after(sweepEvery, s, s.sweep)
	for e := s.links.Front(); e != nil; {
		k := e.Value.(*statusLink)
		e = e.Next()
		age := s.loop.now - k.since
		if age >= statusQuiet || age >= wholeWithin && (len(k.in) > 0 || len(k.out) > 0 || k.last) {
			k.end()
		}
	}
}

func (k *statusLink) broken() { k.end() }

func (k *statusLink) end() {
	if !k.closed {
		k.home.links.Remove(k.place)
		k.close()
	}
}

func (k *statusLink) ready(events uint32) {
	if events&unix.EPOLLOUT != 0 && k.flush() != nil {
		k.end()
		return
	}
	ended := false
	if events&^unix.EPOLLOUT != 0 {
		if len(k.in) == 0 {
			k.touch()
		}
		var err error
		if k.last {
			_, ended, err = k.discard() // closed over unread bytes, a link is reset and may take the answer along
		} else {
			ended, err = k.fill()
		}
		if err != nil {
			k.end()
			return
		}
	}
	for !k.last && len(k.in) > 0 && len(k.out) == 0 {
		m := &k.loop.message
		n, err := m.ParseRequest(k.in)
		var bad *BadMessage
		if errors.As(err, &bad) {
			k.answer(bad.Status, "", []byte(bad.What+"\n"), false)
			break
		}
		if err != nil {
			break
		}
		k.request(m)
		if k.closed {
			return
		}
		k.took(n)
	}
	if ended && len(k.out) == 0 {
		k.end()
	}
}

// touch starts the link's time anew.
func (k *statusLink) touch() {
	k.since = k.loop.now
	k.home.links.MoveToBack(k.place)
}

func (k *statusLink) request(m *Message) {
	id, ok := bytes.CutPrefix(m.Target, []byte(status.Path))
	switch {
	case !ok || len(id) == 0:
		k.answer(404, "", []byte("no such path\n"), m.KeepAlive)
	case string(m.Method) != "GET":
		k.answer(405, "Allow: GET\r\n", []byte("GET only\n"), m.KeepAlive)
	default:
		if body, ok := k.home.table.Find(string(id)); ok {
			k.answer(200, "Content-Type: application/json\r\nCache-Control: no-store\r\n", body, m.KeepAlive)
		} else {
			k.answer(404, "", []byte("no such id\n"), m.KeepAlive)
		}
	}
}

func (k *statusLink) answer(code int, fields string, body []byte, keep bool) {
	k.touch()
	k.last = !keep
	if k.send(appendAnswer(nil, code, fields, body, keep)) != nil {
		k.end()
		return
	}
	if k.last {
		k.in = nil
		if len(k.out) == 0 {
			_ = unix.Shutdown(k.fd, unix.SHUT_WR)
		}
	}
}
