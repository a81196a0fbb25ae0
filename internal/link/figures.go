package link

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/metrics"
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

// sendFigures gathers and sends figures, again and again.
func (l *Loop) sendFigures(f *metrics.Exporter) {
	l.After(f.Interval(), func() {
		l.sendFigures(f)
		f.Gather()
		l.sendOn(f)
	})
}

func (l *Loop) sendOn(f *metrics.Exporter) {
	if f.Send(batchesAtOnce) {
		l.After(0, func() { l.sendOn(f) })
	}
}

// LastFigures sends all figures that there are, at the end.
func (l *Loop) LastFigures() {
	if l.figures != nil {
		l.figures.Gather()
		for l.figures.Send(batchesAtOnce) {
		}
	}
}
