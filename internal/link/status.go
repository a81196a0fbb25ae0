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
	maxStatusConnections = 8 // status links at once
	statusIdleTimeout    = 10 * time.Second
)

// statusListener answer the status call at the side port.
type statusListener struct {
	auxiliaryListener // the longest quiet first
	table             *status.Table
}

// statusConnection is one of them. Each request is answered as it is read.
type statusConnection struct {
	auxiliaryConnection
	listener *statusListener
}

// serveStatus answers the status call at a side port.
func (l *Loop) serveStatus(at netip.AddrPort, table *status.Table) (err error) {
	s := &statusListener{auxiliaryListener: auxiliaryListener{loop: l}, table: table}
	if s.fd, err = l.Listen(at, s); err == nil {
		l.status = s
		s.closeExpired()
	}
	return err
}

func (s *statusListener) HandleEvents(uint32) {
	s.accept(maxStatusConnections, s.loop.isAddressAdmitted, s.addConnection)
}

// addConnection makes a link of a connection. Where there are too many, the one that has been quiet longest makes room.
func (s *statusListener) addConnection(fd int) {
	if s.connections.Len() >= maxStatusConnections {
		s.connections.Front().Value.(*statusConnection).terminate()
	}
	k := &statusConnection{listener: s}
	s.open(fd, &k.auxiliaryConnection, k)
}

// closeExpired ends links on which a request is not whole in time, an answer is not read, or nothing comes.
func (s *statusListener) closeExpired() {
	s.loop.StartTimer(expiryInterval, s, s.closeExpired)
	for e := s.connections.Front(); e != nil; {
		k := e.Value.(*statusConnection)
		e = e.Next()
		age := s.loop.Now() - k.lastActivity
		if age >= statusIdleTimeout || age >= requestReadTimeout && (len(k.Input()) > 0 || len(k.Output()) > 0 || k.lastResponse) {
			k.terminate()
		}
	}
}

func (k *statusConnection) HandleEvents(events uint32) {
	if events&^unix.EPOLLOUT != 0 && len(k.Input()) == 0 {
		k.recordActivity()
	}
	ended, ok := k.transfer(events)
	if !ok {
		return
	}
	for !k.lastResponse && len(k.Input()) > 0 && len(k.Output()) == 0 {
		m := &k.listener.loop.request
		n, err := m.Parse(k.Input())
		var bad *http1.ParseError
		if errors.As(err, &bad) {
			k.respondKeeping(bad.StatusCode, "", []byte(bad.Reason+"\n"), false)
			break
		}
		if err != nil {
			break
		}
		k.handleRequest(m)
		if !k.IsOpen() {
			return
		}
		k.Consume(n)
	}
	if ended && len(k.Output()) == 0 {
		k.terminate()
	}
}

// recordActivity starts the link's time anew.
func (k *statusConnection) recordActivity() {
	k.lastActivity = k.listener.loop.Now()
	k.listener.connections.MoveToBack(k.element)
}

func (k *statusConnection) handleRequest(m *http1.Request) {
	id, ok := bytes.CutPrefix(m.Target, []byte(status.Path))
	switch {
	case !ok || len(id) == 0:
		k.respondKeeping(404, "", []byte("no such path\n"), m.KeepAlive)
	case string(m.Method) != "GET":
		k.respondKeeping(405, "Allow: GET\r\n", []byte("GET only\n"), m.KeepAlive)
	default:
		if body, ok := k.listener.table.Find(string(id)); ok {
			k.respondKeeping(200, "Content-Type: application/json\r\nCache-Control: no-store\r\n", body, m.KeepAlive)
		} else {
			k.respondKeeping(404, "", []byte("no such id\n"), m.KeepAlive)
		}
	}
}

func (k *statusConnection) respondKeeping(code int, fields string, body []byte, keep bool) {
	k.recordActivity()
	k.respond(code, fields, body, keep)
}
