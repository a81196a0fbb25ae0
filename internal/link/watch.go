package link

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	jsoniter "github.com/json-iterator/go"
	"golang.org/x/sys/unix"

	"valvecove/internal/discovery"
	"valvecove/internal/requests"
)

// maxEventSize bounds what is kept of one piece of news.
const maxEventSize = 4 << 20

// watchConnection follows the host group. When it calls, and how long it waits, is for its freshness to say.
type watchConnection struct {
	stream
	server        netip.AddrPort
	machine       *discovery.Watch
	revision      int64
	open          bool // a call or a watch is open
	requested     bool
	receivedEvent bool
	streaming     bool
	body          chunks
	scanner       eventScanner
	timer         *timer
}

func (l *Loop) newWatchConnection(to netip.AddrPort, rules discovery.Config, draw func(n int64) int64) *watchConnection {
	return &watchConnection{stream: stream{loop: l, closed: true}, server: to, machine: discovery.New(rules, draw, l.now)}
}

// Watch has the host group followed from now on. Whatever is planned or open already goes on.
func (s *serverLinks) Watch(int64) {
	w := s.loop.watch
	s.loop.guard(w, func() {
		w.machine.Ensure(s.loop.now)
		w.runAction()
	})
}

// start plans the first call of the process.
func (w *watchConnection) start(listed bool) {
	w.machine.Start(w.loop.now, listed)
	w.resetTimer()
}

// resetTimer sets the timer for when something is to be done next.
func (w *watchConnection) resetTimer() {
	w.loop.stop(w.timer)
	if at, ok := w.machine.NextDeadline(); ok {
		w.timer = w.loop.after(at-w.loop.now, w, w.runAction)
	}
}

// runAction does what is due.
func (w *watchConnection) runAction() {
	switch w.machine.NextAction(w.loop.now) {
	case discovery.ActionConnect:
		w.connect()
	case discovery.ActionAbort:
		w.end(errWatchSilent)
	default:
		w.resetTimer()
	}
}

// connect opens the watch anew, from the list at hand on.
func (w *watchConnection) connect() {
	l := w.loop
	w.disconnect()
	w.machine.Connecting(l.now)
	w.resetTimer()
	w.revision, w.open, w.requested, w.receivedEvent, w.streaming = l.Ledger.Revision(), true, false, false, false
	w.body, w.scanner = chunks{}, eventScanner{}
	fd, err := l.dial(w.server)
	if err == nil {
		if w.stream, err = l.stream(fd, streamEvents|unix.EPOLLOUT, w); err != nil {
			_ = unix.Close(fd)
		}
	}
	if err != nil {
		w.stream = stream{loop: l, closed: true}
		w.end(err)
	}
}

// changeServer follows another discovery from now on. The one before it is left at once, so that its end, or whatever
// it still says, is not taken for the new one's. Its generations need not mean anything to the new one: from 0
// on, all is told that the new one knows.
func (w *watchConnection) changeServer(to netip.AddrPort) {
	w.server = to
	w.loop.Ledger.ResetRevision()
	w.loop.guard(w, func() {
		w.disconnect()
		w.machine.ServerChanged(w.loop.now)
		w.runAction()
	})
}

// stop follows the host group no longer.
func (w *watchConnection) stop() {
	w.disconnect()
	w.machine.Stop()
	w.resetTimer()
}

func (w *watchConnection) disconnect() {
	if w.open {
		w.open = false
		w.close()
	}
}

var errWatchSilent = errors.New("silent")

// end ends the call or the watch, and plans the next one.
func (w *watchConnection) end(why error) {
	if !w.open {
		return
	}
	l := w.loop
	w.disconnect()
	told := w.machine.StalenessDeadline()
	w.machine.Ended(l.now, errors.Is(why, errWatchSilent))
	w.resetTimer()
	again, _ := w.machine.NextDeadline()
	l.log.Warn("watch lost", "discovery", w.server.String(), "why", why, "told_in", told-l.now, "again_in", again-l.now)
	l.Ledger.DiscoveryFailed()
}

func (w *watchConnection) broken() {
	w.end(errors.New("panic"))
	w.resetTimer()
}

func (w *watchConnection) ready(events uint32) {
	if err := w.handleEvents(events); err != nil {
		w.end(err)
	}
}

func (w *watchConnection) handleEvents(events uint32) error {
	if !w.requested {
		if err := w.connected(); err != nil {
			return err
		}
		if events&unix.EPOLLOUT == 0 {
			return nil
		}
		w.requested = true
		w.machine.Connected(w.loop.now)
		w.resetTimer()
		target := "/discovery/hosts?stream=1&index=" + strconv.FormatInt(w.revision, 10)
		return w.send(append(appendCall(nil, "GET", target, w.server.String()), "\r\n"...))
	}
	if events&unix.EPOLLOUT != 0 {
		if err := w.flush(); err != nil {
			return err
		}
	}
	ended, err := w.fill()
	if err != nil {
		return err
	}
	if err := w.readResponse(); err != nil {
		return err
	}
	if ended {
		return errors.New("ended by discovery")
	}
	return nil
}

// readResponse takes the answer's head, and then its body piece by piece.
func (w *watchConnection) readResponse() error {
	at := 0
	for !w.streaming {
		m := &w.loop.message
		n, err := m.parseStatus(w.in)
		if errors.Is(err, errShort) {
			return nil
		}
		if err != nil {
			return err
		}
		if w.took(n); m.Status < 200 {
			continue
		}
		if m.Status != 200 || !m.Chunked {
			return fmt.Errorf("status %d", m.Status)
		}
		w.streaming = true
	}
	for {
		piece, n, err := w.body.next(w.in[at:])
		if err != nil {
			return err
		}
		if at += n; n == 0 {
			break
		}
		if err := w.readEvents(piece); err != nil {
			return err
		}
	}
	w.took(at)
	if w.body.done {
		return errors.New("ended by discovery")
	}
	return nil
}

// readEvents takes a piece of the body, which may hold any part of any number of lines.
func (w *watchConnection) readEvents(piece []byte) error {
	for len(piece) > 0 {
		group, line, n, err := w.scanner.scan(piece)
		if err != nil {
			return err
		}
		piece = piece[n:]
		if line || group != nil {
			w.machine.Received(w.loop.now)
			w.resetTimer()
		}
		if group == nil {
			continue
		}
		var g requests.EndpointList
		if err := jsoniter.ConfigDefault.Unmarshal(group, &g); err != nil {
			return fmt.Errorf("host group: %w", err)
		}
		if !w.receivedEvent {
			w.receivedEvent = true
			w.loop.log.Info("watch began", "discovery", w.server.String(), "after", w.revision, "generation", g.Revision,
				"whole", g.Reset, "entries", len(g.Endpoints))
		}
		w.loop.Ledger.UpdateEndpoints(g)
	}
	return nil
}

// eventScanner finds the objects in what discovery writes. Each is whole with its last brace, be it indented over many
// lines or on one; what stands between them is space, and a line end there is a line by itself.
type eventScanner struct {
	object  []byte
	depth   int
	quoted  bool
	escaped bool
}

// scan takes up to the next object's end or line end, and tells how many bytes that took.
func (r *eventScanner) scan(b []byte) (object []byte, line bool, n int, err error) {
	if r.depth == 0 {
		r.object = r.object[:0]
	}
	for i, c := range b {
		switch {
		case r.escaped:
			r.escaped = false
		case r.quoted:
			r.escaped, r.quoted = c == '\\', c != '"'
		case r.depth == 0 && c == '\n':
			return nil, true, i + 1, nil
		case r.depth == 0 && (c == ' ' || c == '\t' || c == '\r'):
		case r.depth == 0 && c != '{':
			return nil, false, i, errors.New("host group: not an object")
		case c == '"':
			r.quoted = true
		case c == '{' || c == '[':
			r.depth++
		case c == '}' || c == ']':
			if r.depth--; r.depth == 0 {
				r.object = append(r.object, b[:i+1]...)
				return r.object, false, i + 1, nil
			}
		}
	}
	if r.object = append(r.object, b...); len(r.object) > maxEventSize {
		return nil, false, 0, errors.New("host group: too long")
	}
	return nil, false, len(b), nil
}
