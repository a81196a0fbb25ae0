package process

import (
	"time"

	"valvecove/internal/deadline"
)

// timer calls a function of the event loop once.
type timer struct {
	deadline.Item
	run func()
}

// after sets a timer that calls do after a time. The time starts at the current iteration.
func (d *driver) after(span time.Duration, do func()) *timer {
	t := &timer{run: do}
	t.At = d.now + span
	d.timers.Add(t)
	return t
}

// stop stops a timer, which may be nil.
func (d *driver) stop(t *timer) {
	if t != nil {
		d.timers.Remove(t)
	}
}

// environmentTime converts a time of the loop's clock to the environment's time. The environment is paused while a
// scheduler starts for the first time: a process takes a while to listen, and clients would find nobody until then.
func (d *driver) environmentTime(at time.Duration) time.Duration {
	if d.holding {
		at = min(at, d.heldSince)
	}
	return max(0, at-d.held)
}

// updateHold pauses the environment's time while a scheduler's first process is not ready yet, and resumes it after that,
// or once the pauses have added up to maxHold.
func (d *driver) updateHold() {
	wait := false
	for _, s := range d.schedulers {
		wait = wait || s.incarnation == 1 && s.alive && !s.everReady
	}
	if wait && d.holding && d.held+d.now-d.heldSince > maxHold {
		for _, s := range d.schedulers {
			s.everReady = true // the environment no longer waits for it
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

const maxHold = 30 * time.Second // for which the environment's time is paused in all

// nextAt returns until when, on the loop's clock, the loop may wait: the next timer, the environment's next event or the
// end of the run, which is in the environment's time, and at most a second. It returns 0 if outputs are queued.
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
