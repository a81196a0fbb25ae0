package checker

import (
	"testing"

	"valvecove/internal/testbed/trace"
)

// An explanation describes each event of a scheduler's process. SchedulerReplaced has no text in the table of describeFleet, so
// that the explanation of a violation in a run with a replaced scheduler panics.
func TestSchedulerEventsAreDescribed(t *testing.T) {
	for kind := trace.SchedulerStarted; kind <= trace.SchedulerExited; kind++ {
		if text, reason := describeSchedulerEvent(kind); reason != nil || text == "" {
			t.Errorf("event %d after SchedulerStarted: described as %q, panic %v", kind-trace.SchedulerStarted, text, reason)
		}
	}
}

// describeSchedulerEvent returns the description of an event, or the value of the panic that describing it causes.
func describeSchedulerEvent(kind trace.Kind) (text string, reason any) {
	defer func() { reason = recover() }()
	checker := &Checker{}
	return checker.describeFleet(&logEntry{kind: kind}, "", ""), nil
}

// An event of any kind that a job's log or the fleet's log can hold has a description, whatever its other fields are.
func TestAllEventsAreDescribed(t *testing.T) {
	checker := &Checker{texts: textTable{texts: []string{""}}}
	described := &job{class: &class{}, tenant: -1, requests: []request{{}}}
	for kind := trace.JobDue; kind <= trace.TestbedLate; kind++ {
		if text := checker.describe(&logEntry{kind: kind}, described); text == "" {
			t.Errorf("event of kind %d has no description", kind)
		}
	}
}
