package fleet

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/testbed/loopback"
)

const (
	streamEvents = unix.EPOLLIN | unix.EPOLLRDHUP
	maxUnsent    = 64 << 20 // bytes that may wait until they can be written: a few snapshots of a large endpoint list
	maxUnread    = 1 << 20  // bytes of one message
)

var (
	errPeerNotReading = errors.New("the other side reads nothing")
	errTooLong        = errors.New("a message is too long")
)

// conn is one end of a TCP connection. It belongs to one engine, and only that engine's thread may use it.
type conn struct {
	engine    *engine
	fd        int
	owner     connOwner
	connected bool
	closed    bool
	paused    bool // it neither sends nor receives
	events    uint32
	received  []byte // an incomplete message
	unsent    []byte // accepted by write, and not yet written to the socket
}

// connOwner is notified of what happens on its connection.
type connOwner interface {
	// dataReceived handles the complete messages at the start of b, and returns their length. It may close the
	// connection. b is only valid during the call.
	dataReceived(b []byte) int
	// connClosed reports that the peer has closed the connection (nil), or that the connection failed. The conn is
	// closed already.
	connClosed(err error)
}

// dial initialises dialed and begins to connect it. A later failure is reported to its owner. An error other than a
// refusal or a reset by the target ends the engine too. from is the local address; if it is invalid, the kernel chooses one.
func (e *engine) dial(dialed *conn, from, target netip.AddrPort, owner connOwner) error {
	descriptor, err := loopback.NewSocket()
	if err != nil {
		e.fail(err)
		return err
	}
	err = connect(descriptor, from, target)
	if err == nil {
		err = e.adopt(dialed, descriptor, owner)
	}
	if err != nil {
		_ = unix.Close(descriptor)
		if !errors.Is(err, unix.ECONNREFUSED) && !errors.Is(err, unix.ECONNRESET) {
			err = fmt.Errorf("connecting to %v: %w", target, err)
			e.fail(err)
		}
		return err
	}
	dialed.connected = false
	dialed.setEvents(streamEvents | unix.EPOLLOUT)
	return nil
}

// connect begins to connect a socket, without waiting for the outcome.
func connect(descriptor int, from, target netip.AddrPort) error {
	if from.IsValid() {
		// The port is chosen on connecting, so that all ports are available for each target.
		_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
		if err := unix.Bind(descriptor, loopback.Sockaddr(from)); err != nil {
			return err
		}
	}
	err := unix.Connect(descriptor, loopback.Sockaddr(target))
	if errors.Is(err, unix.EINPROGRESS) {
		return nil
	}
	return err
}

// adopt initialises adopted with a socket that is connected. The conn owns the socket unless adopt fails.
func (e *engine) adopt(adopted *conn, fd int, owner connOwner) error {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	*adopted = conn{engine: e, fd: fd, owner: owner, connected: true, events: streamEvents}
	return e.add(fd, adopted.events, adopted)
}

// setEvents sets the events that the connection is watched for, once it is no longer paused.
func (c *conn) setEvents(mask uint32) {
	if c.events == mask || c.closed {
		return
	}
	c.events = mask
	if !c.paused {
		c.engine.change(c.fd, mask)
	}
}

// ready handles events of the socket.
func (c *conn) ready(events uint32) {
	if !c.connected {
		if err := c.socketError(); err != nil {
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

// socketError returns why connecting failed, or nil.
func (c *conn) socketError() error {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	return err
}

// read reads once, and passes what there is to the owner.
func (c *conn) read() {
	n, err := unix.Read(c.fd, c.engine.readBuffer[:])
	switch {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		return
	case err != nil || n == 0:
		c.fail(err)
		return
	}
	b := c.engine.readBuffer[:n]
	if len(c.received) > 0 {
		c.received = append(c.received, b...)
		b = c.received
	}
	taken := c.owner.dataReceived(b)
	if c.closed {
		return
	}
	remainder := b[taken:]
	if len(remainder) > maxUnread {
		c.fail(errTooLong)
		return
	}
	c.received = append(c.received[:0], remainder...) // within c.received, this moves the remainder to the front
}

// write sends b, at once or as soon as the socket accepts it. It copies what it keeps. A failure is reported to the owner.
func (c *conn) write(b []byte) {
	if c.closed {
		return
	}
	if len(c.unsent) == 0 && !c.paused {
		// On loopback, connecting mostly succeeds at once, so that a write is worth a try. An error is ignored: it also
		// causes an event, and is handled there.
		if n, err := unix.Write(c.fd, b); err == nil {
			if b = b[n:]; len(b) == 0 {
				return
			}
		}
	}
	c.unsent = append(c.unsent, b...)
	if len(c.unsent) > maxUnsent {
		c.fail(errPeerNotReading)
		return
	}
	c.setEvents(c.events | unix.EPOLLOUT)
}

// flush writes what is unsent, as far as the socket takes it.
func (c *conn) flush() {
	for len(c.unsent) > 0 {
		n, err := unix.Write(c.fd, c.unsent)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return
		case err != nil:
			c.fail(err)
			return
		}
		c.unsent = c.unsent[:copy(c.unsent, c.unsent[n:])]
	}
	c.unsent = nil
	c.setEvents(c.events &^ unix.EPOLLOUT)
}

// setPaused stops the connection from sending and receiving, or resumes both. Bytes written meanwhile are queued.
func (c *conn) setPaused(paused bool) {
	switch {
	case c.closed || c.paused == paused:
	case paused:
		c.paused = true
		c.engine.remove(c.fd)
	default:
		c.paused = false
		if err := c.engine.add(c.fd, c.events, c); err != nil {
			c.engine.fail(err)
		}
	}
}

// fail closes the connection and notifies its owner.
func (c *conn) fail(err error) {
	c.close()
	c.owner.connClosed(err)
}

// close closes the connection. The owner is not notified.
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

// reset closes the connection in such a way that the peer sees a reset. The owner is not notified.
func (c *conn) reset() {
	if !c.closed && c.engine != nil {
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		c.close()
	}
}
