package fleet

import "time"

// listChanges has one worker after another drain and return, so that discovery always has changes to tell.
type listChanges struct {
	timer
	discovery *discovery
	interval  time.Duration
	draining  int // the worker that drains; noWorker: none
}

const noWorker = -1

// startChanges announces a change now and then, from the first interval on. An interval of 0: never.
func (d *discovery) startChanges(interval time.Duration) {
	d.changes = listChanges{discovery: d, interval: interval, draining: noWorker}
	if interval > 0 {
		d.engine.setTimer(&d.changes.timer, d.engine.clock()+interval, &d.changes)
	}
}

// timerExpired has the next worker drain, and the last one return.
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

// lifecycle is what a worker's entry says of it.
func (c *listChanges) lifecycle(worker int) string {
	if worker == c.draining {
		return "draining"
	}
	return "up"
}
