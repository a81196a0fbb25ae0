package planner

import (
	"fmt"
	"path"
	"runtime"
	"strings"
)

// policyPanicError reports a panic of the policy.
type policyPanicError struct {
	cause    any
	location string // functions, files and lines, the innermost first
}

func (p *policyPanicError) Error() string {
	return fmt.Sprintf("policy panicked: %v, at %s", p.cause, p.location)
}

// panicLocation returns the call stack of a panic up to the call of the policy's Step. It omits addresses, which differ from
// run to run.
func panicLocation() string {
	const skip = 3 // runtime.Callers, panicLocation, and the deferred function that calls it
	var counters [32]uintptr
	frames := runtime.CallersFrames(counters[:runtime.Callers(skip, counters[:])])
	var stack []string
	for {
		frame, more := frames.Next()
		if strings.HasSuffix(frame.Function, "(*policyRunner).step") || !more || len(stack) == maxPanicFrames {
			return strings.Join(stack, ", ")
		}
		if !strings.HasPrefix(frame.Function, "runtime.") {
			stack = append(stack, fmt.Sprintf("%s %s:%d", path.Base(frame.Function), path.Base(frame.File), frame.Line))
		}
	}
}
