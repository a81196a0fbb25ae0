package link

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"
	"golang.org/x/sys/unix"

	"valvecove/internal/ledger"
)

// Discovery writes a line every 2 s at least. A machine that is cut off says nothing and its connections stay
// open, so silence is the only sign of it. What it would have told counts as told within seconds all the same:
// a connection that does not come up must not use up the time in which another could.
const (
	upWithin  = 500 * time.Millisecond
	firstLine = 4 * time.Second // the call may wait its turn for a while
	nextLine  = 3 * time.Second
	maxLine   = 4 << 20
)

// watch follows the host group.
type watch struct {
	stream
	to        netip.AddrPort
	after     int64
	on        bool
	asked     bool
	spoke     bool
	streaming bool
	body      chunks
	line      []byte
	silence   *timer
}

// Watch starts anew from a generation on. A call that fails or a watch that ends is told as a lost list, and it
// is the module that asks again.
func (s *serverLinks) Watch(after int64) {
	s.loop.guard(s.loop.watch, func() { s.loop.watch.start(after) })
}

func (w *watch) start(after int64) {
	w.stop()
	l := w.loop
	*w = watch{stream: stream{loop: l}, to: w.to, after: after, on: true}
	fd, err := l.dial(w.to)
	if err == nil {
		if w.stream, err = l.stream(fd, streamEvents|unix.EPOLLOUT, w); err != nil {
			_ = unix.Close(fd)
		}
	}
	if err != nil {
		w.stream = stream{loop: l, closed: true}
		w.lost(err)
		return
	}
	w.expect(upWithin)
}

// move follows another discovery from now on. The one before it is left at once, so that its end, or whatever
// it still says, is not taken for the new one's. Its generations need not mean anything to the new one: from 0
// on, all is told that the new one knows.
func (w *watch) move(to netip.AddrPort) {
	w.to = to
	w.loop.Ledger.NewSource()
	w.loop.guard(w, func() { w.start(0) })
}

func (w *watch) stop() {
	if w.on {
		w.on = false
		w.loop.stop(w.silence)
		w.close()
	}
}

func (w *watch) expect(within time.Duration) {
	w.loop.stop(w.silence)
	w.silence = w.loop.after(within, w, func() { w.lost(errors.New("silent")) })
}

func (w *watch) lost(why error) {
	if w.on {
		w.stop()
		w.loop.log.Warn("watch lost", "discovery", w.to.String(), "why", why)
		w.loop.Ledger.HostsLost()
	}
}

func (w *watch) broken() { w.lost(errors.New("panic")) }

func (w *watch) ready(events uint32) {
	if err := w.proceed(events); err != nil {
		w.lost(err)
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
		w.expect(firstLine)
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
		end := bytes.IndexByte(piece, '\n')
		if end < 0 {
			if w.line = append(w.line, piece...); len(w.line) > maxLine {
				return errors.New("line too long")
			}
			return nil
		}
		w.line = append(w.line, piece[:end]...)
		piece = piece[end+1:]
		w.expect(nextLine)
		if len(bytes.TrimSpace(w.line)) > 0 {
			var g ledger.HostGroup
			if err := jsoniter.ConfigDefault.Unmarshal(w.line, &g); err != nil {
				return fmt.Errorf("host group: %w", err)
			}
			if !w.spoke {
				w.spoke = true
				w.loop.log.Info("watch began", "discovery", w.to.String(), "after", w.after, "generation", g.Generation,
					"whole", g.Reset, "entries", len(g.Hosts))
			}
			w.loop.Ledger.Hosts(g)
		}
		w.line = w.line[:0]
	}
	return nil
}
