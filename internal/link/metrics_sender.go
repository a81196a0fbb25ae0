package link

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/metrics"
)

// maxBatchesPerIteration is how many batches of metrics are sent in one iteration, so that connections are served too.
const maxBatchesPerIteration = 16

// collectorSocket sends metrics to a UDP address, and never waits. The socket is connected, as otherwise there would be no
// error where nobody listens.
type collectorSocket struct {
	address netip.AddrPort
	fd      int // -1: none is open
}

// Send sends one batch, without the line end of its last metric.
func (c *collectorSocket) Send(batch []byte) error {
	if c.fd < 0 {
		if err := c.open(); err != nil {
			return err
		}
	}
	_, err := unix.SendmsgN(c.fd, batch[:len(batch)-1], nil, nil, unix.MSG_DONTWAIT)
	switch {
	case err == nil || errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EMSGSIZE):
	default:
		_ = unix.Close(c.fd) // the next one may work
		c.fd = -1
	}
	return err
}

func (c *collectorSocket) open() error {
	family, sockaddr := eventloop.Sockaddr(c.address)
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	if err := unix.Connect(fd, sockaddr); err != nil {
		_ = unix.Close(fd)
		return err
	}
	c.fd = fd
	return nil
}

// sendFigures gathers metrics and sends them, again and again.
func (l *Loop) sendFigures(sent *metrics.Exporter) {
	l.After(sent.Interval(), func() {
		l.sendFigures(sent)
		sent.Gather()
		l.sendFigureBatches(sent)
	})
}

func (l *Loop) sendFigureBatches(sent *metrics.Exporter) {
	if more := sent.Send(maxBatchesPerIteration); more {
		l.After(0, func() { l.sendFigureBatches(sent) })
	}
}

// FlushFigures sends all metrics that there are, at the end.
func (l *Loop) FlushFigures() {
	if l.figures == nil {
		return
	}
	l.figures.Gather()
	for l.figures.Send(maxBatchesPerIteration) {
	}
}
