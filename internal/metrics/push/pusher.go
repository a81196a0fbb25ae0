// Package push sends the metrics of package metrics to their targets at the exporter's interval, on an event loop. It contains
// the UDP socket to a collector. Everything in this package is used on the goroutine of the event loop.
package push

import (
	"valvecove/internal/eventloop"
	"valvecove/internal/metrics"
)

// maxBatchesPerIteration is the maximum number of batches that are sent in one iteration of the loop, so that connections are not
// delayed.
const maxBatchesPerIteration = 16

// Pusher gathers and sends the metrics of an exporter once per interval of the exporter.
type Pusher struct {
	loop     *eventloop.Loop
	exporter *metrics.Exporter
}

// Start returns a pusher that gathers and sends for the first time after one interval.
func Start(loop *eventloop.Loop, exporter *metrics.Exporter) *Pusher {
	pusher := &Pusher{loop: loop, exporter: exporter}
	pusher.schedule()
	return pusher
}

// schedule sets the timer for the next interval.
func (p *Pusher) schedule() {
	p.loop.After(p.exporter.Interval(), func() {
		p.schedule()
		p.exporter.Gather()
		p.send()
	})
}

// send sends a few batches, and the others in the following iterations.
func (p *Pusher) send() {
	if more := p.exporter.Send(maxBatchesPerIteration); more {
		p.loop.After(0, p.send)
	}
}

// Flush gathers and sends all metrics at once. It is called at the end of the process.
func (p *Pusher) Flush() {
	p.exporter.Gather()
	for p.exporter.Send(maxBatchesPerIteration) {
	}
}
