package simulation

import "time"

func (p *process) start(t *timer, span time.Duration) {
	t.At = p.now + span
	p.timers.Add(t)
}

func (p *process) stop(t *timer) { p.timers.Remove(t) }

func (p *process) after(span time.Duration, act func()) { p.start(&timer{act: act}, span) }
