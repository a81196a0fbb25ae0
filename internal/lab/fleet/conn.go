package fleet

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	streamEvents = unix.EPOLLIN | unix.EPOLLRDHUP
	mostUnsent   = 64 << 20 // bytes that may wait for a peer to read: a few lists of a large fleet
	mostUnread   = 1 << 20  // bytes of one message
	backlog      = 4096
)

var (
	errUnread = errors.New("the other side reads nothing")
	errLong   = errors.New("a message is too long")
)

// conn is one end of a TCP connection.
type conn struct {
	e      *engine
	fd     int
	who    peer
	up     bool
	closed bool
	hushed bool // its machine says and hears nothing
	mask   uint32
	in     []byte // the start of a message
	out    []byte // not written yet
}

// peer is whom a connection speaks for.
type peer interface {
	// came takes whole messages from the start of what has come, and returns how many bytes that were.
	came(b []byte) int
	// ended tells that the other side has closed it (nil) or reset it, or that it has not come up. It is closed here.
	ended(err error)
}

func address(at netip.AddrPort) *unix.SockaddrInet4 {
	return &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}
}

func socket() (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	return fd, nil
}

// dial begins a connection; who hears how it fares. A fault of this machine's ends the engine. from may be invalid.
func (e *engine) dial(c *conn, from, to netip.AddrPort, who peer) error {
	fd, err := socket()
	if err != nil {
		e.fail(err)
		return err
	}
	if from.IsValid() {
		// The port is chosen on connecting: so each address has all ports for each far end.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
		err = unix.Bind(fd, address(from))
	}
	if err == nil {
		if err = unix.Connect(fd, address(to)); errors.Is(err, unix.EINPROGRESS) {
			err = nil
		}
	}
	if err == nil {
		err = e.adopt(c, fd, who)
	}
	if err != nil {
		_ = unix.Close(fd)
		if !errors.Is(err, unix.ECONNREFUSED) && !errors.Is(err, unix.ECONNRESET) {
			err = fmt.Errorf("connecting to %v: %w", to, err)
			e.fail(err)
		}
		return err
	}
	c.up = false
	c.listen(streamEvents | unix.EPOLLOUT)
	return nil
}

// adopt takes on an accepted connection.
func (e *engine) adopt(c *conn, fd int, who peer) error {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	*c = conn{e: e, fd: fd, who: who, up: true, mask: streamEvents}
	return e.add(fd, c.mask, c)
}

func (c *conn) listen(mask uint32) {
	if c.mask != mask && !c.closed {
		if c.mask = mask; !c.hushed {
			c.e.change(c.fd, mask)
		}
	}
}

func (c *conn) ready(events uint32) {
	if !c.up {
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
		c.up = true
	}
	if events&unix.EPOLLOUT != 0 {
		c.flush()
	}
	if !c.closed && events&^unix.EPOLLOUT != 0 {
		c.read()
	}
}

func (c *conn) read() {
	b := c.e.scrap[:]
	n, err := unix.Read(c.fd, b)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return
	case err != nil || n == 0:
		c.fail(err)
		return
	}
	b = b[:n]
	if len(c.in) > 0 {
		c.in = append(c.in, b...)
		b = c.in
	}
	taken := c.who.came(b)
	if c.closed {
		return
	}
	if b = b[taken:]; len(b) > mostUnread {
		c.fail(errLong)
		return
	}
	c.in = append(c.in[:0], b...) // of bytes of its own this is a move to the front
}

// write sends b, now or as soon as it can be. A failure is told later.
func (c *conn) write(b []byte) {
	if c.closed {
		return
	}
	if len(c.out) == 0 && !c.hushed {
		// On loopback a connection is mostly up as soon as it is asked for. An error comes with an event that deals with it.
		if n, err := unix.Write(c.fd, b); err == nil {
			if b = b[n:]; len(b) == 0 {
				return
			}
		}
	}
	if c.out = append(c.out, b...); len(c.out) > mostUnsent {
		c.fail(errUnread)
		return
	}
	c.listen(c.mask | unix.EPOLLOUT)
}

func (c *conn) flush() {
	for len(c.out) > 0 {
		n, err := unix.Write(c.fd, c.out)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			if err != unix.EAGAIN {
				c.fail(err)
			}
			return
		}
		c.out = c.out[:copy(c.out, c.out[n:])]
	}
	c.out = nil
	c.listen(c.mask &^ unix.EPOLLOUT)
}

// hush has it say and hear nothing, or ends that. What is said meanwhile waits.
func (c *conn) hush(on bool) {
	switch {
	case c.closed || c.hushed == on:
	case on:
		c.hushed = true
		c.e.remove(c.fd)
	default:
		c.hushed = false
		if err := c.e.add(c.fd, c.mask, c); err != nil {
			c.e.fail(err)
		}
	}
}

func (c *conn) fail(err error) {
	c.close()
	c.who.ended(err)
}

// close closes it from this side; who is not told.
func (c *conn) close() {
	if c.closed || c.e == nil {
		return
	}
	c.closed = true
	if !c.hushed {
		c.e.remove(c.fd)
	}
	_ = unix.Close(c.fd)
	c.in, c.out = nil, nil
}

// reset closes it so that the other side sees a reset.
func (c *conn) reset() {
	if !c.closed && c.e != nil {
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		c.close()
	}
}

// listener accepts connections at one address.
type listener struct {
	e      *engine
	fd     int
	at     netip.AddrPort
	accept func(fd int)
}

// dropAll is a socket filter that lets nothing pass.
var dropAll = unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}}

func (e *engine) listenAt(at netip.AddrPort, accept func(fd int)) (*listener, error) {
	fd, err := socket()
	if err != nil {
		return nil, err
	}
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	l := &listener{e: e, fd: fd, at: at, accept: accept}
	if err = unix.Bind(fd, address(at)); err == nil {
		if err = unix.Listen(fd, backlog); err == nil {
			err = e.add(fd, unix.EPOLLIN, l)
		}
	}
	if err != nil {
		_ = unix.Close(fd)
		return nil, fmt.Errorf("listening at %v: %w", at, err)
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
		l.e.fail(fmt.Errorf("accepting at %v: %w", l.at, err))
	}
}

// hush has connections not come up, or ends that: those that still try then do.
func (l *listener) hush(on bool) {
	var err error
	if on {
		err = unix.SetsockoptSockFprog(l.fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &dropAll)
	} else {
		err = unix.SetsockoptInt(l.fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	}
	if err != nil {
		l.e.fail(fmt.Errorf("filter at %v: %w", l.at, err))
	}
}

func (l *listener) close() {
	l.e.remove(l.fd)
	_ = unix.Close(l.fd)
}
