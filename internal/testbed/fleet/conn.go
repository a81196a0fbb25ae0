package fleet

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	streamEvents = unix.EPOLLIN | unix.EPOLLRDHUP
	maxUnsent    = 64 << 20 // bytes that may wait for a peer to read: a few lists of a large fleet
	maxUnread    = 1 << 20  // bytes of one message
	backlog      = 4096
)

var (
	errPeerNotReading = errors.New("the other side reads nothing")
	errTooLong        = errors.New("a message is too long")
)

// conn is one end of a TCP connection.
type conn struct {
	engine    *engine
	fd        int
	owner     peer
	connected bool
	closed    bool
	paused    bool // its machine says and hears nothing
	events    uint32
	received  []byte // the start of a message
	unsent    []byte // not written yet
}

// peer is whom a connection speaks for.
type peer interface {
	// dataReceived takes whole messages from the start of what has come, and returns how many bytes that were.
	dataReceived(b []byte) int
	// connClosed tells that the other side has closed it (nil) or reset it, or that it has not come up. It is closed here.
	connClosed(err error)
}

func sockaddr(at netip.AddrPort) *unix.SockaddrInet4 {
	return &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}
}

func newSocket() (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	return fd, nil
}

// dial begins a connection; who hears how it fares. A fault of this machine's ends the engine. from may be invalid.
func (e *engine) dial(c *conn, from, target netip.AddrPort, who peer) error {
	descriptor, err := newSocket()
	if err != nil {
		e.fail(err)
		return err
	}
	if from.IsValid() {
		// The port is chosen on connecting: so each target has all ports for each far end.
		_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
		err = unix.Bind(descriptor, sockaddr(from))
	}
	if err == nil {
		if err = unix.Connect(descriptor, sockaddr(target)); errors.Is(err, unix.EINPROGRESS) {
			err = nil
		}
	}
	if err == nil {
		err = e.adopt(c, descriptor, who)
	}
	if err != nil {
		_ = unix.Close(descriptor)
		if !errors.Is(err, unix.ECONNREFUSED) && !errors.Is(err, unix.ECONNRESET) {
			err = fmt.Errorf("connecting to %v: %w", target, err)
			e.fail(err)
		}
		return err
	}
	c.connected = false
	c.setEvents(streamEvents | unix.EPOLLOUT)
	return nil
}

// adopt takes on an accepted connection.
func (e *engine) adopt(c *conn, fd int, who peer) error {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	*c = conn{engine: e, fd: fd, owner: who, connected: true, events: streamEvents}
	return e.add(fd, c.events, c)
}

func (c *conn) setEvents(mask uint32) {
	if c.events != mask && !c.closed {
		if c.events = mask; !c.paused {
			c.engine.change(c.fd, mask)
		}
	}
}

func (c *conn) ready(events uint32) {
	if !c.connected {
		code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && code != 0 {
			err = unix.Errno(code)
		}
		if err != nil {
			c.fail(err)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		c.connected = true
	}
	if events&unix.EPOLLOUT != 0 {
		c.flush()
	}
	if !c.closed && events&^unix.EPOLLOUT != 0 {
		c.read()
	}
}

func (c *conn) read() {
	b := c.engine.readBuffer[:]
	n, err := unix.Read(c.fd, b)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return
	case err != nil || n == 0:
		c.fail(err)
		return
	}
	b = b[:n]
	if len(c.received) > 0 {
		c.received = append(c.received, b...)
		b = c.received
	}
	taken := c.owner.dataReceived(b)
	if c.closed {
		return
	}
	if b = b[taken:]; len(b) > maxUnread {
		c.fail(errTooLong)
		return
	}
	c.received = append(c.received[:0], b...) // of bytes of its own this is a move to the load balancer
}

// write sends b, now or as soon as it can be. A failure is told later.
func (c *conn) write(b []byte) {
	if c.closed {
		return
	}
	if len(c.unsent) == 0 && !c.paused {
		// On loopback a connection is mostly up as soon as it is asked for. An error comes with an event that deals with it.
		if n, err := unix.Write(c.fd, b); err == nil {
			if b = b[n:]; len(b) == 0 {
				return
			}
		}
	}
	if c.unsent = append(c.unsent, b...); len(c.unsent) > maxUnsent {
		c.fail(errPeerNotReading)
		return
	}
	c.setEvents(c.events | unix.EPOLLOUT)
}

func (c *conn) flush() {
	for len(c.unsent) > 0 {
		n, err := unix.Write(c.fd, c.unsent)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			if err != unix.EAGAIN {
				c.fail(err)
			}
			return
		}
		c.unsent = c.unsent[:copy(c.unsent, c.unsent[n:])]
	}
	c.unsent = nil
	c.setEvents(c.events &^ unix.EPOLLOUT)
}

// setPaused has it say and hear nothing, or ends that. What is said meanwhile waits.
func (c *conn) setPaused(on bool) {
	switch {
	case c.closed || c.paused == on:
	case on:
		c.paused = true
		c.engine.remove(c.fd)
	default:
		c.paused = false
		if err := c.engine.add(c.fd, c.events, c); err != nil {
			c.engine.fail(err)
		}
	}
}

func (c *conn) fail(err error) {
	c.close()
	c.owner.connClosed(err)
}

// close closes it from this side; who is not told.
func (c *conn) close() {
	if c.closed || c.engine == nil {
		return
	}
	c.closed = true
	if !c.paused {
		c.engine.remove(c.fd)
	}
	_ = unix.Close(c.fd)
	c.received, c.unsent = nil, nil
}

// reset closes it so that the other side sees a reset.
func (c *conn) reset() {
	if !c.closed && c.engine != nil {
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		c.close()
	}
}

// listener accepts connections at one address.
type listener struct {
	engine  *engine
	fd      int
	address netip.AddrPort
	accept  func(fd int)
}

// dropAll is a socket filter that lets nothing pass.
var dropAll = unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}}

func (e *engine) listenAt(address netip.AddrPort, accept func(fd int)) (*listener, error) {
	descriptor, err := newSocket()
	if err != nil {
		return nil, err
	}
	_ = unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	l := &listener{engine: e, fd: descriptor, address: address, accept: accept}
	if err = unix.Bind(descriptor, sockaddr(address)); err == nil {
		if err = unix.Listen(descriptor, backlog); err == nil {
			err = e.add(descriptor, unix.EPOLLIN, l)
		}
	}
	if err != nil {
		_ = unix.Close(descriptor)
		return nil, fmt.Errorf("listening at %v: %w", address, err)
	}
	return l, nil
}

// ready accepts one connection; where more wait, the descriptor stays ready.
func (l *listener) ready(uint32) {
	fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch err {
	case nil:
		l.accept(fd)
	case unix.EINTR, unix.ECONNABORTED, unix.EAGAIN:
	default: // descriptors or memory
		l.engine.fail(fmt.Errorf("accepting at %v: %w", l.address, err))
	}
}

// setPaused has connections not come up, or ends that: those that still try then do.
func (l *listener) setPaused(on bool) {
	var err error
	if on {
		err = unix.SetsockoptSockFprog(l.fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &dropAll)
	} else {
		err = unix.SetsockoptInt(l.fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	}
	if err != nil {
		l.engine.fail(fmt.Errorf("filter at %v: %w", l.address, err))
	}
}

func (l *listener) close() {
	l.engine.remove(l.fd)
	_ = unix.Close(l.fd)
}
