package link

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
)

// maxBatchesPerIteration is how many batches of metrics are sent in one iteration, so that connections are served too.
const maxBatchesPerIteration = 16

// collectorSocket sends metrics to a UDP address, and never waits. The socket is connected, as otherwise there would be no
// error where nobody listens.
type collectorSocket struct {
	syscalls *eventloop.Syscalls
	address  netip.AddrPort
	fd       int // -1: none is open
}

// Send sends one batch, without the line end of its last metric.
func (c *collectorSocket) Send(batch []byte) error {
	if c.fd < 0 {
		if err := c.open(); err != nil {
			return err
		}
	}
	_, err := c.syscalls.SendmsgN(c.fd, batch[:len(batch)-1], nil, unix.MSG_DONTWAIT)
	switch {
	case err == nil || errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EMSGSIZE):
	default:
		_ = c.syscalls.Close(c.fd) // the next one may work
		c.fd = -1
	}
	return err
}

func (c *collectorSocket) open() error {
	family, sockaddr := eventloop.Sockaddr(c.address)
	fd, err := c.syscalls.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	if err := c.syscalls.Connect(fd, sockaddr); err != nil {
		_ = c.syscalls.Close(fd)
		return err
	}
	c.fd = fd
	return nil
}

// exportMetrics gathers and sends metrics, again and again at the exporter's interval.
func (l *Loop) exportMetrics() {
	l.After(l.exporter.Interval(), func() {
		l.exportMetrics()
		l.exporter.Gather()
		l.sendMetrics()
	})
}

// sendMetrics sends what was gathered, a few batches in each iteration of the loop.
func (l *Loop) sendMetrics() {
	if more := l.exporter.Send(maxBatchesPerIteration); more {
		l.After(0, l.sendMetrics)
	}
}

// FlushMetrics gathers and sends all metrics, at the end.
func (l *Loop) FlushMetrics() {
	if l.exporter == nil {
		return
	}
	l.exporter.Gather()
	for l.exporter.Send(maxBatchesPerIteration) {
	}
}
