package process

import (
	"time"

	"valvecove/internal/deadline"
)

// timer calls do once.
type timer struct {
	deadline.Item
	run func()
}

func (d *driver) after(span time.Duration, do func()) *timer {
	t := &timer{run: do}
	t.At = d.now + span
	d.timers.Add(t)
	return t
}

func (d *driver) stop(t *timer) {
	if t != nil {
		d.timers.Remove(t)
	}
}

// environmentTime is the environment's time at an instant of the loop's. The environment stands still while its schedulers start for the
// first time: clients are to come once there is somebody to come to, and a process takes a while to be there.
func (d *driver) environmentTime(at time.Duration) time.Duration {
	if d.holding {
		at = min(at, d.heldSince)
	}
	return max(0, at-d.held)
}

// updateHold has the environment stand still, or go on, as things are now.
func (d *driver) updateHold() {
	wait := false
	for _, s := range d.schedulers {
		wait = wait || s.incarnation == 1 && s.alive && !s.everReady
	}
	if wait && d.holding && d.held+d.now-d.heldSince > maxHold {
		for _, s := range d.schedulers {
			s.everReady = true // it has had its time
		}
		wait = false
	}
	switch {
	case wait && !d.holding:
		d.holding, d.heldSince = true, d.now
	case !wait && d.holding:
		d.holding = false
		d.held += d.now - d.heldSince
		d.onStart(d.startedAt.Add(d.held))
	}
}

const maxHold = 30 * time.Second

// nextAt is when the loop wants to run at the latest, an end in the environment's time included.
func (d *driver) nextAt(end time.Duration) time.Duration {
	next := d.now + time.Second
	if !d.holding {
		if len(d.outputs) > 0 {
			return 0
		}
		if environmentNext, ok := d.environment.Next(); ok {
			end = min(end, environmentNext)
		}
		next = min(next, end+d.held)
	}
	if d.timers.Len() > 0 {
		next = min(next, d.timers.First().At)
	}
	return next
}
