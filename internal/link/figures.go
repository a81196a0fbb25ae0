package link

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
)

// batchesAtOnce are sent in one turn at most: other links have their turns too.
const batchesAtOnce = 16

// collector sends figures to a UDP address, and never waits. The socket is connected, as otherwise nothing would tell
// that nobody listens there.
type collector struct {
	to netip.AddrPort
	fd int
}

// Send sends one batch; the line end of its last figure stays behind.
func (c *collector) Send(batch []byte) error {
	if c.fd < 0 {
		if err := c.open(); err != nil {
			return err
		}
	}
	_, err := unix.SendmsgN(c.fd, batch[:len(batch)-1], nil, nil, unix.MSG_DONTWAIT)
	switch {
	case err == nil || errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EMSGSIZE):
	default:
		_ = unix.Close(c.fd) // what is wrong with it may be gone with the next one
		c.fd = -1
	}
	return err
}

func (c *collector) open() error {
	family, sa := eventloop.Sockaddr(c.to)
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	if err := unix.Connect(fd, sa); err != nil {
		_ = unix.Close(fd)
		return err
	}
	c.fd = fd
	return nil
}

// exportMetrics gathers and sends metrics at the exporter's interval.
func (l *Loop) exportMetrics() {
	l.After(l.exporter.Interval(), func() {
		l.exportMetrics()
		l.exporter.Gather()
		l.sendMetrics()
	})
}

// sendMetrics sends what was gathered, a few batches in each iteration of the loop.
func (l *Loop) sendMetrics() {
	if l.exporter.Send(batchesAtOnce) {
		l.After(0, l.sendMetrics)
	}
}

// FlushMetrics gathers and sends all metrics, at the end.
func (l *Loop) FlushMetrics() {
	if l.exporter != nil {
		l.exporter.Gather()
		for l.exporter.Send(batchesAtOnce) {
		}
	}
}
