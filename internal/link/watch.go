package link

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	jsoniter "github.com/json-iterator/go"
	"golang.org/x/sys/unix"

	"valvecove/internal/freshness"
	"valvecove/internal/ledger"
)

// maxGroup bounds what is kept of one piece of news.
const maxGroup = 4 << 20

// watch follows the host group. When it calls, and how long it waits, is for its freshness to say.
type watch struct {
	stream
	to        netip.AddrPort
	fresh     *freshness.State
	after     int64
	on        bool // a call or a watch is open
	asked     bool
	spoke     bool
	streaming bool
	body      chunks
	news      newsReader
	due       *timer
}

func (l *Loop) newWatch(to netip.AddrPort, rules freshness.Rules, draw func(n int64) int64) *watch {
	return &watch{stream: stream{loop: l, closed: true}, to: to, fresh: freshness.New(rules, draw, l.now)}
}

// Watch has the host group followed from now on. Whatever is planned or open already goes on.
func (s *serverLinks) Watch(int64) {
	w := s.loop.watch
	s.loop.guard(w, func() {
		w.fresh.Follow(s.loop.now)
		w.tick()
	})
}

// begin plans the first call of the process.
func (w *watch) begin(listed bool) {
	w.fresh.Begin(w.loop.now, listed)
	w.arm()
}

// arm sets the timer for when something is to be done next.
func (w *watch) arm() {
	w.loop.stop(w.due)
	if at, ok := w.fresh.Next(); ok {
		w.due = w.loop.after(at-w.loop.now, w, w.tick)
	}
}

// tick does what is due.
func (w *watch) tick() {
	switch w.fresh.Due(w.loop.now) {
	case freshness.Call:
		w.call()
	case freshness.GiveUp:
		w.over(errSilent)
	default:
		w.arm()
	}
}

// call opens the watch anew, from the list at hand on.
func (w *watch) call() {
	l := w.loop
	w.leave()
	w.fresh.Called(l.now)
	w.arm()
	w.after, w.on, w.asked, w.spoke, w.streaming = l.Ledger.Generation(), true, false, false, false
	w.body, w.news = chunks{}, newsReader{}
	fd, err := l.dial(w.to)
	if err == nil {
		if w.stream, err = l.stream(fd, streamEvents|unix.EPOLLOUT, w); err != nil {
			_ = unix.Close(fd)
		}
	}
	if err != nil {
		w.stream = stream{loop: l, closed: true}
		w.over(err)
	}
}

// move follows another discovery from now on. The one before it is left at once, so that its end, or whatever
// it still says, is not taken for the new one's. Its generations need not mean anything to the new one: from 0
// on, all is told that the new one knows.
func (w *watch) move(to netip.AddrPort) {
	w.to = to
	w.loop.Ledger.NewSource()
	w.loop.guard(w, func() {
		w.leave()
		w.fresh.Move(w.loop.now)
		w.tick()
	})
}

// stop follows the host group no longer.
func (w *watch) stop() {
	w.leave()
	w.fresh.Stop()
	w.arm()
}

func (w *watch) leave() {
	if w.on {
		w.on = false
		w.close()
	}
}

var errSilent = errors.New("silent")

// over ends the call or the watch, and plans the next one.
func (w *watch) over(why error) {
	if !w.on {
		return
	}
	l := w.loop
	w.leave()
	told := w.fresh.ToldBy()
	w.fresh.Over(l.now, errors.Is(why, errSilent))
	w.arm()
	again, _ := w.fresh.Next()
	l.log.Warn("watch lost", "discovery", w.to.String(), "why", why, "told_in", told-l.now, "again_in", again-l.now)
	l.Ledger.HostsLost()
}

func (w *watch) broken() {
	w.over(errors.New("panic"))
	w.arm()
}

func (w *watch) ready(events uint32) {
	if err := w.proceed(events); err != nil {
		w.over(err)
	}
}

func (w *watch) proceed(events uint32) error {
	if !w.asked {
		if err := w.connected(); err != nil {
			return err
		}
		if events&unix.EPOLLOUT == 0 {
			return nil
		}
		w.asked = true
		w.fresh.Connected(w.loop.now)
		w.arm()
		target := "/discovery/hosts?stream=1&index=" + strconv.FormatInt(w.after, 10)
		return w.send(append(appendCall(nil, "GET", target, w.to.String()), "\r\n"...))
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
	if err := w.read(); err != nil {
		return err
	}
	if ended {
		return errors.New("ended by discovery")
	}
	return nil
}

// read takes the answer's head, and then its body piece by piece.
func (w *watch) read() error {
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
		if err := w.text(piece); err != nil {
			return err
		}
	}
	w.took(at)
	if w.body.done {
		return errors.New("ended by discovery")
	}
	return nil
}

// text takes a piece of the body, which may hold any part of any number of lines.
func (w *watch) text(piece []byte) error {
	for len(piece) > 0 {
		group, line, n, err := w.news.next(piece)
		if err != nil {
			return err
		}
		piece = piece[n:]
		if line || group != nil {
			w.fresh.Heard(w.loop.now)
			w.arm()
		}
		if group == nil {
			continue
		}
		var g ledger.HostGroup
		if err := jsoniter.ConfigDefault.Unmarshal(group, &g); err != nil {
			return fmt.Errorf("host group: %w", err)
		}
		if !w.spoke {
			w.spoke = true
			w.loop.log.Info("watch began", "discovery", w.to.String(), "after", w.after, "generation", g.Generation,
				"whole", g.Reset, "entries", len(g.Hosts))
		}
		w.loop.Ledger.Hosts(g)
	}
	return nil
}

// newsReader finds the objects in what discovery writes. Each is whole with its last brace, be it indented over many
// lines or on one; what stands between them is space, and a line end there is a line by itself.
type newsReader struct {
	object  []byte
	depth   int
	quoted  bool
	escaped bool
}

// next takes up to the next object's end or line end, and tells how many bytes that took.
func (r *newsReader) next(b []byte) (object []byte, line bool, n int, err error) {
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
	if r.object = append(r.object, b...); len(r.object) > maxGroup {
		return nil, false, 0, errors.New("host group: too long")
	}
	return nil, false, len(b), nil
}
