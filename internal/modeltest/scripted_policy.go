package modeltest

import (
	"time"

	"valvecove/dispatch"
)

// ScriptedPolicy is a dispatch policy that returns the actions that a test sets, and stores the events that it receives.
type ScriptedPolicy struct {
	Next     []dispatch.Action // returned by the next step
	Received []dispatch.Event  // in order
	Panic    bool              // the next step panics instead of returning actions
}

// Step stores the events, and appends the actions in Next to dst.
func (p *ScriptedPolicy) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	if p.Panic {
		p.Panic = false
		panic("scripted")
	}
	p.Received = append(p.Received, events...)
	dst = append(dst, p.Next...)
	p.Next = nil
	return dst
}
