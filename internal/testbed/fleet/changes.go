package fleet

import "time"

// listChanges marks one worker after another as draining and then as up again, so that the endpoint list keeps changing.
type listChanges struct {
	timer
	discovery *discovery
	interval  time.Duration
	draining  int // the worker that is marked as draining, or noWorker
}

const noWorker = -1

// startChanges announces a change after each interval, or never if the interval is 0.
func (d *discovery) startChanges(interval time.Duration) {
	d.changes = listChanges{discovery: d, interval: interval, draining: noWorker}
	if interval > 0 {
		d.engine.setTimer(&d.changes.timer, d.engine.clock()+interval, &d.changes)
	}
}

// timerExpired announces that the next worker is draining, and that the previous one is up again.
func (c *listChanges) timerExpired() {
	d, returned := c.discovery, c.draining
	c.draining = (returned + 1) % len(d.startedAtMs)
	d.revision++
	b := d.appendEntry(d.appendListStart(nil, false), c.draining)
	if returned != noWorker && returned != c.draining {
		b = d.appendEntry(append(b, ','), returned)
	}
	d.broadcast(string(append(b, "]}"...)))
	d.engine.setTimer(&c.timer, d.engine.now+c.interval, c)
}

// lifecycle returns the lifecycle in a worker's entry.
func (c *listChanges) lifecycle(worker int) string {
	if worker == c.draining {
		return "draining"
	}
	return "up"
}
