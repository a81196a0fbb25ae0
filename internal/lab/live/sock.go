package live

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/lab/edge"
)

const (
	streamEvents = unix.EPOLLIN | unix.EPOLLRDHUP
	mostUnsent   = 16 << 20 // bytes that may wait for a peer to read; one that reads nothing has its connection reset
)

// sock is one end of a TCP connection that nobody waits for.
type sock struct {
	p      *poller
	fd     int
	peer   peer
	up     bool // it is connected
	closed bool
	broken error // what a write met with
	mask   uint32
	in     []byte // read and not taken yet
	out    []byte // not written yet
}

// peer is what a sock speaks for.
type peer interface {
	came(fresh int)  // so many more bytes are in in; what is done with is taken by take
	ended(err error) // the other side has closed it (nil), reset it, or it has not come up. It is closed here too, and
	// what is in in stays to be looked at
}

// drainer is a peer that wants to know when all that it wrote has left.
type drainer interface{ drained() }

var errUnread = errors.New("the other side reads nothing")

// environmentError is a failure of this machine's, such as descriptors that have run out. It voids the play: nothing may be
// blamed on a scheduler for it.
type environmentError struct{ err error }

func (f environmentError) Error() string { return f.err.Error() }
func (f environmentError) Unwrap() error { return f.err }

func address(at netip.AddrPort) *unix.SockaddrInet4 {
	return &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}
}

func socket() (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, environmentError{fmt.Errorf("socket: %w", err)}
	}
	return fd, nil
}

// dial begins a connection. How it fares is told to peer, but for what fails at once. from may be invalid, or an
// address of this machine with port 0.
func (p *poller) dial(s *sock, from, to netip.AddrPort, who peer) error {
	fd, err := socket()
	if err != nil {
		return err
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if from.IsValid() {
		// The port is chosen on connecting: so each of many addresses has all ports for each far end.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
		if err := unix.Bind(fd, address(from)); err != nil {
			_ = unix.Close(fd)
			return environmentError{fmt.Errorf("binding to %v: %w", from, err)}
		}
	}
	if err := unix.Connect(fd, address(to)); err != nil && err != unix.EINPROGRESS {
		_ = unix.Close(fd)
		if err == unix.EADDRNOTAVAIL || err == unix.EAGAIN {
			return environmentError{fmt.Errorf("connecting to %v: no port left: %w", to, err)}
		}
		return err
	}
	*s = sock{p: p, fd: fd, peer: who, mask: streamEvents | unix.EPOLLOUT}
	if err := p.add(fd, s.mask, s); err != nil {
		_ = unix.Close(fd)
		s.closed = true
		return environmentError{err}
	}
	return nil
}

// adopt takes on an accepted connection.
func (p *poller) adopt(s *sock, fd int, who peer) error {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	*s = sock{p: p, fd: fd, peer: who, up: true, mask: streamEvents}
	if err := p.add(fd, s.mask, s); err != nil {
		_ = unix.Close(fd)
		s.closed = true
		return environmentError{err}
	}
	return nil
}

func (s *sock) listen(mask uint32) {
	if s.mask != mask && !s.closed {
		s.mask = mask
		s.p.change(s.fd, mask)
	}
}

// reading turns reading on or off. While it is off, only a reset is noticed.
func (s *sock) reading(on bool) {
	if on {
		s.listen(s.mask | streamEvents)
	} else {
		s.listen(s.mask &^ streamEvents)
	}
}

func (s *sock) ready(events uint32) {
	if !s.up {
		if err := s.trouble(); err != nil {
			s.fail(err)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		s.up = true
	}
	if events&unix.EPOLLOUT != 0 {
		s.flush()
	}
	if !s.closed && events&^unix.EPOLLOUT != 0 {
		s.read(len(s.p.scrap))
	}
}

// read takes in at most so many bytes.
func (s *sock) read(most int) {
	n, err := unix.Read(s.fd, s.p.scrap[:most])
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
	case err != nil:
		s.fail(err)
	case n == 0: // perhaps what was written since has met with a reset
		s.fail(s.trouble())
	default:
		s.in = append(s.in, s.p.scrap[:n]...)
		s.peer.came(n)
	}
}

// trouble is what is wrong with the connection; nil: nothing is.
func (s *sock) trouble() error {
	if s.broken != nil {
		return s.broken
	}
	code, err := unix.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	return err
}

// take drops bytes that are done with.
func (s *sock) take(n int) {
	switch {
	case n < len(s.in):
		s.in = s.in[:copy(s.in, s.in[n:])]
	case cap(s.in) > 16<<10:
		s.in = nil
	default:
		s.in = s.in[:0]
	}
}

// write sends b, now or as soon as it can be. A failure is told to the peer later.
func (s *sock) write(b []byte) {
	if s.closed {
		return
	}
	if len(s.out) == 0 {
		n, err := unix.Write(s.fd, b)
		if err != nil {
			if n = 0; err != unix.EAGAIN && err != unix.EINTR {
				s.broken = err // a kernel tells it once; the event that comes with it deals with it
			}
		}
		s.up = s.up || n > 0 // on loopback a connection is often up as soon as it is asked for
		if b = b[n:]; len(b) == 0 {
			return
		}
	}
	s.out = append(s.out, b...)
	s.listen(s.mask | unix.EPOLLOUT)
}

func (s *sock) flush() {
	for len(s.out) > 0 {
		n, err := unix.Write(s.fd, s.out)
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			if len(s.out) > mostUnsent {
				s.reset()
				s.peer.ended(errUnread)
			}
			return
		}
		if err != nil {
			s.fail(err)
			return
		}
		s.out = s.out[:copy(s.out, s.out[n:])]
	}
	if cap(s.out) > 16<<10 {
		s.out = nil
	}
	s.listen(s.mask &^ unix.EPOLLOUT)
	if d, ok := s.peer.(drainer); ok {
		d.drained()
	}
}

// fail ends the connection as the other side, or the way there, has it.
func (s *sock) fail(err error) {
	s.close()
	s.peer.ended(err)
}

// close closes it from this side; the peer is not told. Bytes that are unread here make a reset of it.
func (s *sock) close() {
	if s.closed || s.p == nil {
		return
	}
	s.closed = true
	s.p.forget(s.fd)
	_ = unix.Close(s.fd)
	s.out = nil
}

// reset closes it so that the other side sees a reset.
func (s *sock) reset() {
	if s.closed || s.p == nil {
		return
	}
	_ = unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	s.close()
}

// ---- Listening ----

// listener accepts connections at one address, by edge's modes.
type listener struct {
	p      *poller
	fd     int
	at     netip.AddrPort
	mode   int
	accept func(fd int)    // takes the connection on
	fault  func(err error) // this machine can't go on
}

const backlog = 4096

// dropAll is a socket filter that lets nothing pass.
var dropAll = unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}}

// listenAt binds an address; it refuses until hear says otherwise.
func (p *poller) listenAt(at netip.AddrPort, accept func(fd int), fault func(error)) (*listener, error) {
	return p.bind(at, unix.SO_REUSEADDR, accept, fault)
}

// share binds an address as others of this process do, who share what comes. Port 0 is any; the listener has it.
func (p *poller) share(at netip.AddrPort, accept func(fd int), fault func(error)) (*listener, error) {
	return p.bind(at, unix.SO_REUSEPORT, accept, fault)
}

func (p *poller) bind(at netip.AddrPort, how int, accept func(fd int), fault func(error)) (*listener, error) {
	fd, err := socket()
	if err != nil {
		return nil, err
	}
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, how, 1)
	if err := unix.Bind(fd, address(at)); err != nil {
		_ = unix.Close(fd)
		return nil, fmt.Errorf("binding to %v: %w", at, err)
	}
	if sa, err := unix.Getsockname(fd); err == nil {
		if in, ok := sa.(*unix.SockaddrInet4); ok {
			at = netip.AddrPortFrom(at.Addr(), uint16(in.Port))
		}
	}
	return &listener{p: p, fd: fd, at: at, mode: edge.Refuse, accept: accept, fault: fault}, nil
}

// hear changes how connections are accepted. Refuse: the socket keeps its address and does not listen. NeverUp: it
// listens, and a filter on it drops whatever comes before a connection is up; what is up goes on. A filter is better
// than a full backlog: no connection of anybody's slips in, and when it ends, those that still try come up.
func (l *listener) hear(mode int) error {
	if mode == l.mode {
		return nil
	}
	was := l.mode
	l.mode = mode
	if was == edge.NeverUp {
		if err := unix.SetsockoptInt(l.fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0); err != nil {
			return environmentError{fmt.Errorf("filter at %v: %w", l.at, err)}
		}
	}
	switch mode {
	case edge.NeverUp:
		if err := unix.SetsockoptSockFprog(l.fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &dropAll); err != nil {
			return environmentError{fmt.Errorf("filter at %v: %w", l.at, err)}
		}
	case edge.Refuse:
		l.ready(0) // what has come up before this moment is up
		l.p.remove(l.fd)
		if err := unix.Shutdown(l.fd, unix.SHUT_RD); err != nil {
			return environmentError{fmt.Errorf("refusing at %v: %w", l.at, err)}
		}
	}
	if was == edge.Refuse {
		if err := unix.Listen(l.fd, backlog); err != nil {
			return environmentError{fmt.Errorf("listening at %v: %w", l.at, err)}
		}
		if err := l.p.add(l.fd, unix.EPOLLIN, l); err != nil {
			return environmentError{err}
		}
	}
	return nil
}

func (l *listener) ready(uint32) {
	for range 256 {
		fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			l.accept(fd)
		case unix.EINTR, unix.ECONNABORTED:
		case unix.EAGAIN:
			return
		default: // descriptors or memory
			l.fault(environmentError{fmt.Errorf("accepting at %v: %w", l.at, err)})
			return
		}
	}
}

func (l *listener) close() {
	if l.mode != edge.Refuse {
		l.p.forget(l.fd)
	}
	_ = unix.Close(l.fd)
}
