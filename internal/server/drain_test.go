package server

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/eventloop"
)

// For any maximum client timeout of a deployment, every request is responded to before SIGKILL, also if the process is
// suspended for the maximum time at SIGTERM and again when the last step is due. No request is admitted after the queued ones
// were rejected.
func TestDrainScheduleEndsBeforeKill(t *testing.T) {
	const (
		suspension     = 150 * time.Millisecond
		lastWrite      = 20 * time.Millisecond // time for writing the last responses
		margin         = 700 * time.Millisecond
		maxDeadline    = 3 * time.Second        // longer client timeouts don't delay SIGKILL
		maxLateArrival = 400 * time.Millisecond // clients connect until this long after SIGTERM
	)
	for deadline := 10 * time.Millisecond; deadline < 10*time.Second; deadline += 10 * time.Millisecond {
		settings := config.Settings{Settings: dispatch.Settings{Classes: []dispatch.Class{{ClientTimeout: deadline / 2}, {ClientTimeout: deadline}}}}
		schedule := newDrainSchedule(settings)
		kill := min(deadline, maxDeadline) + margin
		if last := schedule.finishAllAt + 2*suspension + lastWrite; last > kill {
			t.Fatalf("deadline %v: the last responses are written at %v, SIGKILL is sent at %v", deadline, last, kill)
		}
		if schedule.closeAt > schedule.rejectQueuedAt || schedule.rejectQueuedAt > schedule.finishAllAt || schedule.finishAllAt > schedule.endAt {
			t.Fatalf("deadline %v: %+v", deadline, schedule)
		}
		if schedule.endAt < kill { // an early end would look like a crash
			t.Fatalf("deadline %v: the process ends at %v, SIGKILL is sent at %v", deadline, schedule.endAt, kill)
		}
		// A request that arrives while clients still connect has at least half of its time, or a second.
		if served := schedule.finishAllAt - maxLateArrival; served < min(deadline/2, time.Second) && deadline > 150*time.Millisecond {
			t.Fatalf("deadline %v: a request that arrives at %v has %v", deadline, maxLateArrival, served)
		}
	}
}

// recordingLoop records the steps of a drain in the order of their execution, and the functions that are scheduled for later.
type recordingLoop struct {
	steps   []string
	delayed []delayedStep
}

type delayedStep struct {
	at  time.Duration
	act func()
}

func (r *recordingLoop) After(span time.Duration, act func()) *eventloop.Timer {
	r.delayed = append(r.delayed, delayedStep{span, act})
	return nil
}

func (r *recordingLoop) Drain()             { r.steps = append(r.steps, "drain") }
func (r *recordingLoop) Close()             { r.steps = append(r.steps, "close") }
func (r *recordingLoop) RejectQueued()      { r.steps = append(r.steps, "reject queued") }
func (r *recordingLoop) FinishAllRequests() { r.steps = append(r.steps, "finish all") }
func (r *recordingLoop) FinishRequestsSince(span time.Duration) {
	r.steps = append(r.steps, "finish the last "+span.String())
}

// The steps are executed in this order. The last responses are followed by a second Close: a client may have connected since
// the first one, and a request that it sends just before SIGKILL would be lost. Requests that arrived later than 0.7 s after
// SIGTERM are responded to when the queued ones are rejected.
func TestDrainSteps(t *testing.T) {
	for deadline, want := range map[time.Duration][]string{
		300 * time.Millisecond: {"drain", "close", "reject queued", "finish all", "close", "end"},
		3 * time.Second:        {"drain", "close", "finish the last 2.5s", "reject queued", "finish all", "close", "end"},
	} {
		loop := &recordingLoop{}
		settings := config.Settings{Settings: dispatch.Settings{Classes: []dispatch.Class{{ClientTimeout: deadline}}}}
		newDrainSchedule(settings).run(loop, func() { loop.steps = append(loop.steps, "end") })
		slices.SortStableFunc(loop.delayed, func(a, b delayedStep) int { return cmp.Compare(a.at, b.at) })
		for _, step := range loop.delayed {
			step.act()
		}
		if !slices.Equal(loop.steps, want) {
			t.Errorf("deadline %v: unexpected steps %q", deadline, loop.steps)
		}
	}
}
