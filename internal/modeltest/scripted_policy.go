package modeltest

import (
	"time"

	"valvecove/dispatch"
)

// ScriptedPolicy is a dispatch policy that takes the actions it is given and keeps the events it receives.
type ScriptedPolicy struct {
	Next     []dispatch.Action // taken in the next step
	Received []dispatch.Event  // in order
	Panic    bool              // the next step panics in place of acting
}

// Step appends the actions of the script to dst.
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
