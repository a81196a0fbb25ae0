// Package link is what a scheduler speaks on the wire: one epoll loop over client links, server links and the
// watch on discovery, all HTTP/1.1 by parsers of its own. Each turn of the loop gathers what is ready into the
// ledger, has it step once, and then the ledger's actions write to the links.
package link

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/address"
	"valvecove/internal/capture"
	"valvecove/internal/config"
	"valvecove/internal/due"
	"valvecove/internal/figures"
	"valvecove/internal/hotrestart"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

// handler is one descriptor's side of the loop.
type handler interface {
	ready(events uint32)
	// broken ends the handler after a panic: its descriptor is closed, and the ledger told what that ends.
	broken()
}

// Loop is the one loop. Everything in this package runs on the goroutine that calls Run, but for Wake.
type Loop struct {
	epoll           int
	wakeFD          int
	now             time.Duration // of the present turn
	clock           func() time.Duration
	dial            func(to netip.AddrPort) (fd int, err error)
	handlers        []handler         // by descriptor
	events          []unix.EpollEvent // as many as there may be descriptors: a turn gathers all that is ready
	gathering       bool              // the turn's events are being handed out
	dying           []int             // closed once they are, so that no event of this turn meets a reused descriptor
	timers          due.Queue[*timer]
	scratch         []byte
	writing         []byte
	request         http1.Request
	response        http1.Response
	Ledger          *requests.Table
	log             *slog.Logger
	linkLog         *slog.Logger // on client links, whose lines must not crowd out the others
	onWake          func()
	clients         *clientLinks
	servers         *serverLinks
	watch           *watchConnection
	status          *statusLinks                               // nil: off
	operators       *operatorLinks                             // nil: off
	decides         *dispatch.Dispatcher                       // the module that runs, under whatever wraps it
	side            int                                        // descriptors for features
	Capture         *capture.Recorder                          // nil: off
	figures         *figures.Figures                           // nil: off
	lists           *address.AccessLists                       // nil: off
	wrap            func(*dispatch.Dispatcher) requests.Policy // what stands round a module that goes on from another process; nil: none can
	predecessorRole *predecessorRole                           // nil: no successor can come
	successorRole   *successorRole                             // nil: nothing is to be taken over
	limits          config.Limits
	halved          bool                    // another process runs beside this one, and has half of them
	onDivide        func(half bool)         // does the same for memory
	onSuccessor     func()                  // told whenever one stands by to replace this process
	onFail          func(error)             // ends the process
	cordonStore     *hotrestart.CordonStore // nil: nothing outlives this process
	posted          []func()                // by other goroutines, for the loop to call
	posting         sync.Mutex
}

// newLoop returns a loop that counts time from the Unix epoch, so that any start time that discovery tells is
// positive; from here on it follows the monotonic clock.
func newLoop(log, linkLog *slog.Logger) (*Loop, error) {
	origin := time.Now()
	l := &Loop{scratch: make([]byte, 64<<10), events: make([]unix.EpollEvent, 1024), log: log, linkLog: linkLog, dial: connect,
		clock: func() time.Duration { return time.Duration(origin.UnixNano()) + time.Since(origin) }}
	l.now = l.clock()
	var err error
	if l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if l.wakeFD, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	return l, l.add(l.wakeFD, unix.EPOLLIN, (*waker)(l))
}

// post has the loop call act soon. It may be called from any goroutine.
func (l *Loop) post(act func()) {
	l.posting.Lock()
	l.posted = append(l.posted, act)
	l.posting.Unlock()
	l.Wake()
}

// Wake has the loop call onWake soon. It may be called from any goroutine.
func (l *Loop) Wake() { _, _ = unix.Write(l.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0}) }

type waker Loop

func (w *waker) ready(uint32) {
	var b [8]byte
	_, _ = unix.Read(w.wakeFD, b[:])
	w.posting.Lock()
	acts := w.posted
	w.posted = nil
	w.posting.Unlock()
	for _, act := range acts {
		act()
	}
	w.onWake()
}

func (w *waker) broken() {}

// Run turns the loop until done says so at the end of a turn.
func (l *Loop) Run(done func() bool) error {
	for {
		if err := l.turn(l.patience()); err != nil || done() {
			return err
		}
	}
}

// turn waits for so many milliseconds at most, gathers what is ready and what is due, and steps.
func (l *Loop) turn(wait int) error {
	n, err := unix.EpollWait(l.epoll, l.events[:], wait)
	if err != nil && !errors.Is(err, unix.EINTR) {
		return fmt.Errorf("epoll wait: %w", err)
	}
	l.now = l.clock()
	l.gathering = true
	for now := range orders {
		for i := range max(n, 0) {
			if h := l.handlers[l.events[i].Fd]; h != nil && orderOf(h) == now {
				l.guard(h, func() { h.ready(l.events[i].Events) })
			}
		}
	}
	l.gathering = false
	l.bury()
	for l.timers.Len() > 0 && l.timers.First().At <= l.now {
		t := l.timers.First()
		l.timers.Remove(t)
		l.guard(t.of, t.act)
	}
	if at, ok := l.Ledger.NextStep(); ok && at <= l.now && !l.hasRelinquished() {
		l.Ledger.Step(l.now)
	}
	return nil
}

const orders = 3

// orderOf says when in a turn a handler has its events: operators' links first, and clients' links before those to worker
// nodes. A client that has left is known before a connection that has just come up is written to, and what a worker node
// has told of an attempt before the end of the link that carried it.
func orderOf(h handler) int {
	switch h.(type) {
	case urgent:
		return 0
	case *clientLink:
		return 1
	}
	return 2
}

// bury closes the descriptors that were given up while events were handed out: what is opened from here on, for the
// module's sends above all, finds them free.
func (l *Loop) bury() {
	for _, fd := range l.dying {
		_ = unix.Close(fd)
	}
	if len(l.dying) > 0 {
		l.dying = l.dying[:0]
		l.clients.resume()
	}
}

// patience is how long the loop may sleep, in milliseconds. It rounds up: what is due is not due earlier.
func (l *Loop) patience() int {
	next, ok := l.Ledger.NextStep()
	if l.hasRelinquished() {
		next, ok = 0, false
	}
	if l.timers.Len() > 0 && (!ok || l.timers.First().At < next) {
		next, ok = l.timers.First().At, true
	}
	if !ok {
		return -1
	}
	wait := next - l.clock()
	return int(min(max(0, (wait+time.Millisecond-1)/time.Millisecond), 60_000))
}

// guard stops a panic at the connection it happened on.
func (l *Loop) guard(h handler, act func()) {
	defer func() {
		if p := recover(); p != nil {
			attrs := []slog.Attr{slog.String("panic", fmt.Sprint(p)), slog.String("stack", string(debug.Stack()))}
			if k, ok := h.(*clientLink); ok {
				attrs = append(attrs, k.whose()...)
			}
			l.log.LogAttrs(context.Background(), slog.LevelError, "panic on a link, which ends", attrs...)
			h.broken()
		}
	}()
	act()
}

func (l *Loop) add(fd int, events uint32, h handler) error {
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)}); err != nil {
		return fmt.Errorf("epoll add: %w", err)
	}
	for len(l.handlers) <= fd {
		l.handlers = append(l.handlers, nil)
	}
	l.handlers[fd] = h
	return nil
}

func (l *Loop) remove(fd int) {
	if l.handlers[fd] == nil {
		return
	}
	l.handlers[fd] = nil
	_ = unix.EpollCtl(l.epoll, unix.EPOLL_CTL_DEL, fd, nil)
	if l.gathering {
		l.dying = append(l.dying, fd)
		return
	}
	_ = unix.Close(fd)
	if l.clients != nil {
		l.clients.resume()
	}
}

// ---- Timers ----

type timer struct {
	due.Item
	of  handler
	act func()
}

// after calls act in the turn in which the span has passed.
func (l *Loop) after(span time.Duration, of handler, act func()) *timer {
	t := &timer{Item: due.Item{At: l.now + span}, of: of, act: act}
	l.timers.Add(t)
	return t
}

func (l *Loop) stop(t *timer) {
	if t != nil {
		l.timers.Remove(t)
	}
}

// ---- Streams ----

// stream is a non-blocking socket with what has come in and not been read, and what has not gone out yet.
type stream struct {
	loop   *Loop
	fd     int
	in     []byte
	out    []byte
	events uint32 // asked of epoll
	closed bool
}

const streamEvents = unix.EPOLLIN | unix.EPOLLRDHUP

// kept is how large a buffer an idle stream may keep.
const kept = 4 << 10

func (l *Loop) stream(fd int, events uint32, owner handler) (stream, error) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	return stream{loop: l, fd: fd, events: events}, l.add(fd, events, owner)
}

func sockaddr(a netip.AddrPort) (family int, sa unix.Sockaddr) {
	if ip := a.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(a.Port()), Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

func socket(a netip.AddrPort) (fd int, sa unix.Sockaddr, err error) {
	family, sa := sockaddr(a)
	fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, nil, fmt.Errorf("socket: %w", err)
	}
	return fd, sa, nil
}

// connect starts a connection.
func connect(to netip.AddrPort) (int, error) {
	fd, sa, err := socket(to)
	if err != nil {
		return -1, err
	}
	if err := unix.Connect(fd, sa); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		_ = unix.Close(fd)
		return -1, fmt.Errorf("connect: %w", err)
	}
	return fd, nil
}

// connected tells how a connection that was started came out, once it can be written to.
func (s *stream) connected() error {
	code, err := unix.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	return err
}

// fill reads what has come, at most one scratch buffer of it. ended tells that no more will come.
func (s *stream) fill() (ended bool, err error) {
	for {
		n, err := unix.Read(s.fd, s.loop.scratch)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return false, nil
		case err != nil:
			return true, err
		case n == 0:
			return true, nil
		default:
			s.in = append(s.in, s.loop.scratch[:n]...)
			return false, nil // level-triggered: the rest is told again
		}
	}
}

// discard takes in what has come without keeping it, so much at most that other links have their turn. For TCP
// the kernel does not even copy it.
func (s *stream) discard() (n int, ended bool, err error) {
	for range 16 {
		got, _, err := unix.Recvfrom(s.fd, s.loop.scratch, unix.MSG_TRUNC|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return n, false, nil
		case err != nil:
			return n, true, err
		case got == 0:
			return n, true, nil
		}
		n += max(got, 0)
	}
	return n, false, nil
}

// took drops the first n bytes of what has come in.
func (s *stream) took(n int) {
	if left := copy(s.in, s.in[n:]); left == 0 && cap(s.in) > kept {
		s.in = nil
	} else {
		s.in = s.in[:left]
	}
}

// send writes b after what is already waiting.
func (s *stream) send(b []byte) error {
	if len(s.out) == 0 {
		n, err := s.write(b)
		if err != nil {
			return err
		}
		b = b[n:]
	}
	s.out = append(s.out, b...)
	s.want()
	return nil
}

// flush writes what waits.
func (s *stream) flush() error {
	n, err := s.write(s.out)
	if left := copy(s.out, s.out[n:]); left == 0 && cap(s.out) > kept {
		s.out = nil
	} else {
		s.out = s.out[:left]
	}
	s.want()
	return err
}

func (s *stream) write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		n, err := unix.Write(s.fd, b[done:])
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return done, nil
		case err != nil:
			return done, err
		default:
			done += n
		}
	}
	return done, nil
}

// want asks epoll for room to write only while something waits to be written.
func (s *stream) want() {
	events := s.events &^ unix.EPOLLOUT
	if len(s.out) > 0 {
		events |= unix.EPOLLOUT
	}
	s.listen(events)
}

func (s *stream) listen(events uint32) {
	if events != s.events && !s.closed {
		s.events = events
		_ = unix.EpollCtl(s.loop.epoll, unix.EPOLL_CTL_MOD, s.fd, &unix.EpollEvent{Events: events, Fd: int32(s.fd)})
	}
}

func (s *stream) close() {
	if !s.closed {
		s.closed = true
		s.loop.remove(s.fd)
		s.in, s.out = nil, nil
	}
}
