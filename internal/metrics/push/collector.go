package push

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
)

// Collector is a metrics.Target that sends each batch as one datagram to a UDP address. It never blocks. Its socket is opened
// with the first batch, and reopened with the next batch after an error that makes it unusable.
type Collector struct {
	syscalls   *eventloop.Syscalls
	address    netip.AddrPort
	descriptor int // eventloop.NoDescriptor: not open
}

// NewCollector returns a collector without a socket. syscalls makes its system calls.
func NewCollector(syscalls *eventloop.Syscalls, address netip.AddrPort) *Collector {
	return &Collector{syscalls: syscalls, address: address, descriptor: eventloop.NoDescriptor}
}

// Send sends a batch without the line end of its last line. An error means that the batch is lost.
func (c *Collector) Send(batch []byte) error {
	if c.descriptor == eventloop.NoDescriptor {
		if err := c.open(); err != nil {
			return err
		}
	}
	_, err := c.syscalls.SendmsgN(c.descriptor, batch[:len(batch)-1], nil, unix.MSG_DONTWAIT)
	if err != nil && !leavesSocketUsable(err) {
		_ = c.syscalls.Close(c.descriptor)
		c.descriptor = eventloop.NoDescriptor
	}
	return err
}

// leavesSocketUsable reports whether only one batch was lost: nobody listens, the kernel's buffer is full, or the batch is too
// long for a datagram.
func leavesSocketUsable(err error) bool {
	return errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EMSGSIZE)
}

// open opens a connected socket: an unconnected one would not report that nobody listens.
func (c *Collector) open() error {
	family, sockaddr := eventloop.Sockaddr(c.address)
	descriptor, err := c.syscalls.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	if err := c.syscalls.Connect(descriptor, sockaddr); err != nil {
		_ = c.syscalls.Close(descriptor)
		return err
	}
	c.descriptor = descriptor
	return nil
}
