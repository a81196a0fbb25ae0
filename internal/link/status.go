package link

import (
	"bytes"
	"errors"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/http1"
	"valvecove/internal/status"
)

const (
	statusMost  = 8 // status links at once
	statusQuiet = 10 * time.Second
)

// statusLinks answer the status call at the side port.
type statusLinks struct {
	sideLinks // the longest quiet first
	table     *status.Table
}

// statusLink is one of them. Each request is answered as it is read.
type statusLink struct {
	sideLink
	home *statusLinks
}

// serveStatus answers the status call at a side port.
func (l *Loop) serveStatus(at netip.AddrPort, table *status.Table) (err error) {
	s := &statusLinks{sideLinks: sideLinks{loop: l}, table: table}
	if s.fd, err = l.Listen(at, s); err == nil {
		l.status = s
		s.sweep()
	}
	return err
}

func (s *statusLinks) HandleEvents(uint32) { s.accept(statusMost, s.loop.admits, s.adopt) }

// adopt makes a link of a connection. Where there are too many, the one that has been quiet longest makes room.
func (s *statusLinks) adopt(fd int) {
	if s.links.Len() >= statusMost {
		s.links.Front().Value.(*statusLink).end()
	}
	k := &statusLink{home: s}
	s.enter(fd, &k.sideLink, k)
}

// sweep ends links on which a request is not whole in time, an answer is not read, or nothing comes.
func (s *statusLinks) sweep() {
	s.loop.StartTimer(sweepEvery, s, s.sweep)
	for e := s.links.Front(); e != nil; {
		k := e.Value.(*statusLink)
		e = e.Next()
		age := s.loop.Now() - k.since
		if age >= statusQuiet || age >= wholeWithin && (len(k.Input()) > 0 || len(k.Output()) > 0 || k.last) {
			k.end()
		}
	}
}

func (k *statusLink) HandleEvents(events uint32) {
	if events&^unix.EPOLLOUT != 0 && len(k.Input()) == 0 {
		k.touch()
	}
	ended, ok := k.exchange(events)
	if !ok {
		return
	}
	for !k.last && len(k.Input()) > 0 && len(k.Output()) == 0 {
		m := &k.home.loop.request
		n, err := m.Parse(k.Input())
		var bad *http1.ParseError
		if errors.As(err, &bad) {
			k.answer(bad.StatusCode, "", []byte(bad.Reason+"\n"), false)
			break
		}
		if err != nil {
			break
		}
		k.request(m)
		if !k.IsOpen() {
			return
		}
		k.Consume(n)
	}
	if ended && len(k.Output()) == 0 {
		k.end()
	}
}

// touch starts the link's time anew.
func (k *statusLink) touch() {
	k.since = k.home.loop.Now()
	k.home.links.MoveToBack(k.place)
}

func (k *statusLink) request(m *http1.Request) {
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
	k.reply(code, fields, body, keep)
}
