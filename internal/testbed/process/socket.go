package process

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/testbed/loopback"
)

const (
	streamEvents = unix.EPOLLIN | unix.EPOLLRDHUP
	maxUnsent    = 16 << 20 // bytes that may wait until the other side reads; beyond that the connection is reset
)

// socketConn is one end of a non-blocking TCP connection.
type socketConn struct {
	poller     *poller
	fd         int
	user       connUser
	connected  bool // established
	closed     bool
	writeError error  // of a write; it is handled with the socket's next event
	events     uint32 // that epoll watches for
	received   []byte // read, and not consumed yet
	unsent     []byte // accepted by write, and not written to the socket yet
}

// connUser is notified of what happens on its socketConn. It is this side's party of the connection.
type connUser interface {
	// dataReceived reports that received has grown by fresh bytes. The user removes bytes by consume.
	dataReceived(fresh int)
	// connClosed reports that the other side has closed the connection (nil), or that it was reset or could not be
	// established. The connection is closed on this side already; received is still available.
	connClosed(err error)
}

// flushedNotifier is a connUser that is also notified once everything it wrote has been written to the socket.
type flushedNotifier interface{ flushed() }

var errPeerNotReading = errors.New("the other side does not read")

// localError is a failure of this machine, such as a lack of descriptors. It ends the run with an error, as it must not
// count against a scheduler.
type localError struct{ err error }

func (e localError) Error() string { return e.err.Error() }
func (e localError) Unwrap() error { return e.err }

func newSocket() (int, error) {
	fd, err := loopback.NewSocket()
	if err != nil {
		return -1, localError{err}
	}
	return fd, nil
}

// dial starts to connect conn to target. It returns an error that occurs at once; later ones are reported to the user. from
// is the local address with port 0; if it is invalid, the kernel chooses one.
func (p *poller) dial(conn *socketConn, from, target netip.AddrPort, user connUser) error {
	descriptor, err := newSocket()
	if err != nil {
		return err
	}
	_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if from.IsValid() {
		// The port is chosen on connecting, so that each local address has all ports available for each target.
		_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
		if err := unix.Bind(descriptor, loopback.Sockaddr(from)); err != nil {
			_ = unix.Close(descriptor)
			return localError{fmt.Errorf("binding to %v: %w", from, err)}
		}
	}
	if err := unix.Connect(descriptor, loopback.Sockaddr(target)); err != nil && err != unix.EINPROGRESS {
		_ = unix.Close(descriptor)
		if err == unix.EADDRNOTAVAIL || err == unix.EAGAIN {
			return localError{fmt.Errorf("connecting to %v: no port left: %w", target, err)}
		}
		return err
	}
	*conn = socketConn{poller: p, fd: descriptor, user: user, events: streamEvents | unix.EPOLLOUT}
	if err := p.add(descriptor, conn.events, conn); err != nil {
		_ = unix.Close(descriptor)
		conn.closed = true
		return localError{err}
	}
	return nil
}

// adopt initialises s with an accepted socket, which it owns from then on.
func (p *poller) adopt(s *socketConn, fd int, user connUser) error {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	*s = socketConn{poller: p, fd: fd, user: user, connected: true, events: streamEvents}
	if err := p.add(fd, s.events, s); err != nil {
		_ = unix.Close(fd)
		s.closed = true
		return localError{err}
	}
	return nil
}

// setEvents sets the events that the connection is watched for.
func (s *socketConn) setEvents(mask uint32) {
	if s.events != mask && !s.closed {
		s.events = mask
		s.poller.change(s.fd, mask)
	}
}

// setReading turns reading on or off. While it is off, only a reset is noticed.
func (s *socketConn) setReading(on bool) {
	if on {
		s.setEvents(s.events | streamEvents)
	} else {
		s.setEvents(s.events &^ streamEvents)
	}
}

func (s *socketConn) ready(events uint32) {
	if !s.connected {
		if err := s.socketError(); err != nil {
			s.fail(err)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		s.connected = true
	}
	if events&unix.EPOLLOUT != 0 {
		s.flush()
	}
	if !s.closed && events&^unix.EPOLLOUT != 0 {
		s.read(len(s.poller.readBuffer))
	}
}

// read reads once, at most limit bytes, and notifies the user.
func (s *socketConn) read(limit int) {
	n, err := unix.Read(s.fd, s.poller.readBuffer[:limit])
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
	case err != nil:
		s.fail(err)
	case n == 0: // the other side has closed it, or a write has met a reset, which socketError returns
		s.fail(s.socketError())
	default:
		s.received = append(s.received, s.poller.readBuffer[:n]...)
		s.user.dataReceived(n)
	}
}

// socketError returns the error of a write or of the socket, or nil.
func (s *socketConn) socketError() error {
	if s.writeError != nil {
		return s.writeError
	}
	code, err := unix.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	return err
}

// consume removes the first n bytes of received. The buffer is kept for reuse unless it has grown beyond 16 KB.
func (s *socketConn) consume(n int) {
	switch {
	case n < len(s.received):
		s.received = s.received[:copy(s.received, s.received[n:])]
	case cap(s.received) > 16<<10:
		s.received = nil
	default:
		s.received = s.received[:0]
	}
}

// write sends b, at once or as soon as the socket accepts it. It copies what it keeps. A failure is reported to the user
// later.
func (s *socketConn) write(b []byte) {
	if s.closed {
		return
	}
	if len(s.unsent) == 0 {
		n, err := unix.Write(s.fd, b)
		if err != nil {
			if n = 0; err != unix.EAGAIN && err != unix.EINTR {
				s.writeError = err // the kernel reports it only once; it is handled with the event that follows
			}
		}
		s.connected = s.connected || n > 0 // on loopback a connection is often established at once
		if b = b[n:]; len(b) == 0 {
			return
		}
	}
	s.unsent = append(s.unsent, b...)
	s.setEvents(s.events | unix.EPOLLOUT)
}

// flush writes what is unsent, as far as the socket accepts it.
func (s *socketConn) flush() {
	for len(s.unsent) > 0 {
		n, err := unix.Write(s.fd, s.unsent)
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			if len(s.unsent) > maxUnsent {
				s.reset()
				s.user.connClosed(errPeerNotReading)
			}
			return
		}
		if err != nil {
			s.fail(err)
			return
		}
		s.unsent = s.unsent[:copy(s.unsent, s.unsent[n:])]
	}
	if cap(s.unsent) > 16<<10 {
		s.unsent = nil
	}
	s.setEvents(s.events &^ unix.EPOLLOUT)
	if d, ok := s.user.(flushedNotifier); ok {
		d.flushed()
	}
}

// fail closes the connection and reports that to the user.
func (s *socketConn) fail(err error) {
	s.close()
	s.user.connClosed(err)
}

// close closes the connection without a report to the user. If received bytes are still unread in the kernel, the other
// side sees a reset.
func (s *socketConn) close() {
	if s.closed || s.poller == nil {
		return
	}
	s.closed = true
	s.poller.forget(s.fd)
	_ = unix.Close(s.fd)
	s.unsent = nil
}

// reset closes the connection in such a way that the other side sees a reset. There is no report to the user.
func (s *socketConn) reset() {
	if s.closed || s.poller == nil {
		return
	}
	_ = unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	s.close()
}
