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
	maxUnsent    = 16 << 20 // bytes that may wait for a peer to read; one that reads nothing has its connection reset
)

// socketConn is one end of a TCP connection that nobody waits for.
type socketConn struct {
	poller     *poller
	fd         int
	peer       peer
	connected  bool // it is connected
	closed     bool
	writeError error // what a write met with
	events     uint32
	received   []byte // read and not taken yet
	unsent     []byte // not written yet
}

// peer is what a sock speaks for.
type peer interface {
	dataReceived(fresh int) // so many more bytes are in in; what is done with is taken by take
	connClosed(err error)   // the other side has closed it (nil), reset it, or it has not come up. It is closed here too, and
	// what is in in stays to be looked at
}

// drainer is a peer that wants to know when all that it wrote has left.
type drainer interface{ flushed() }

var errPeerNotReading = errors.New("the other side reads nothing")

// localError is a failure of this machine's, such as descriptors that have run out. It voids the run: nothing may be
// blamed on a scheduler for it.
type localError struct{ err error }

func (f localError) Error() string { return f.err.Error() }
func (f localError) Unwrap() error { return f.err }

func newSocket() (int, error) {
	fd, err := loopback.NewSocket()
	if err != nil {
		return -1, localError{err}
	}
	return fd, nil
}

// dial begins a connection. How it fares is told to peer, but for what fails at once. from may be invalid, or an
// address of this machine with port 0.
func (p *poller) dial(conn *socketConn, from, target netip.AddrPort, who peer) error {
	descriptor, err := newSocket()
	if err != nil {
		return err
	}
	_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if from.IsValid() {
		// The port is chosen on connecting: so each of many addresses has all ports for each far end.
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
	*conn = socketConn{poller: p, fd: descriptor, peer: who, events: streamEvents | unix.EPOLLOUT}
	if err := p.add(descriptor, conn.events, conn); err != nil {
		_ = unix.Close(descriptor)
		conn.closed = true
		return localError{err}
	}
	return nil
}

// adopt takes on an accepted connection.
func (p *poller) adopt(s *socketConn, fd int, who peer) error {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	*s = socketConn{poller: p, fd: fd, peer: who, connected: true, events: streamEvents}
	if err := p.add(fd, s.events, s); err != nil {
		_ = unix.Close(fd)
		s.closed = true
		return localError{err}
	}
	return nil
}

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

// read takes in at most so many bytes.
func (s *socketConn) read(most int) {
	n, err := unix.Read(s.fd, s.poller.readBuffer[:most])
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
	case err != nil:
		s.fail(err)
	case n == 0: // perhaps what was written since has met with a reset
		s.fail(s.socketError())
	default:
		s.received = append(s.received, s.poller.readBuffer[:n]...)
		s.peer.dataReceived(n)
	}
}

// socketError is what is wrong with the connection; nil: nothing is.
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

// consume drops bytes that are done with.
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

// write sends b, now or as soon as it can be. A failure is told to the peer later.
func (s *socketConn) write(b []byte) {
	if s.closed {
		return
	}
	if len(s.unsent) == 0 {
		n, err := unix.Write(s.fd, b)
		if err != nil {
			if n = 0; err != unix.EAGAIN && err != unix.EINTR {
				s.writeError = err // a kernel tells it once; the event that comes with it deals with it
			}
		}
		s.connected = s.connected || n > 0 // on loopback a connection is often up as soon as it is asked for
		if b = b[n:]; len(b) == 0 {
			return
		}
	}
	s.unsent = append(s.unsent, b...)
	s.setEvents(s.events | unix.EPOLLOUT)
}

func (s *socketConn) flush() {
	for len(s.unsent) > 0 {
		n, err := unix.Write(s.fd, s.unsent)
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			if len(s.unsent) > maxUnsent {
				s.reset()
				s.peer.connClosed(errPeerNotReading)
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
	if d, ok := s.peer.(drainer); ok {
		d.flushed()
	}
}

// fail ends the connection as the other side, or the way there, has it.
func (s *socketConn) fail(err error) {
	s.close()
	s.peer.connClosed(err)
}

// close closes it from this side; the peer is not told. Bytes that are unread here make a reset of it.
func (s *socketConn) close() {
	if s.closed || s.poller == nil {
		return
	}
	s.closed = true
	s.poller.forget(s.fd)
	_ = unix.Close(s.fd)
	s.unsent = nil
}

// reset closes it so that the other side sees a reset.
func (s *socketConn) reset() {
	if s.closed || s.poller == nil {
		return
	}
	_ = unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	s.close()
}
