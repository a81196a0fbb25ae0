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

// For any longest deadline of a deployment, every request is responded to before SIGKILL, also if the process is suspended for
// the maximum time at SIGTERM and again when the last step is due. No request is admitted after the queued ones were rejected.
func TestDrainScheduleEndsBeforeKill(t *testing.T) {
	const (
		hold      = 150 * time.Millisecond
		writing   = 20 * time.Millisecond // of the last answers
		grace     = 700 * time.Millisecond
		longest   = 3 * time.Second // deadline that counts
		forOthers = 400 * time.Millisecond
	)
	for deadline := 10 * time.Millisecond; deadline < 10*time.Second; deadline += 10 * time.Millisecond {
		settings := config.Settings{Settings: dispatch.Settings{Classes: []dispatch.Class{{ClientTimeout: deadline / 2}, {ClientTimeout: deadline}}}}
		schedule := newDrainSchedule(settings)
		kill := min(deadline, longest) + grace
		if last := schedule.finishAllAt + 2*hold + writing; last > kill {
			t.Fatalf("deadline %v: the last answers are written at %v, SIGKILL comes at %v", deadline, last, kill)
		}
		if schedule.closeAt > schedule.rejectQueuedAt || schedule.rejectQueuedAt > schedule.finishAllAt || schedule.finishAllAt > schedule.endAt {
			t.Fatalf("deadline %v: %+v", deadline, schedule)
		}
		if schedule.endAt < kill { // it would look like one that has died
			t.Fatalf("deadline %v: ends at %v, SIGKILL comes at %v", deadline, schedule.endAt, kill)
		}
		// A request that arrives while new connections are still accepted has at least half of its time, or a second.
		if served := schedule.finishAllAt - forOthers; served < min(deadline/2, time.Second) && deadline > 150*time.Millisecond {
			t.Fatalf("deadline %v: what comes at %v has %v", deadline, forOthers, served)
		}
	}
}

// recordingLoop records the steps of a drain in order, and executes those that are due at an instant.
type recordingLoop struct {
	steps []string
	later []laterStep
}

type laterStep struct {
	at  time.Duration
	act func()
}

func (r *recordingLoop) After(span time.Duration, act func()) *eventloop.Timer {
	r.later = append(r.later, laterStep{span, act})
	return nil
}

func (r *recordingLoop) Drain()             { r.steps = append(r.steps, "drain") }
func (r *recordingLoop) Close()             { r.steps = append(r.steps, "close") }
func (r *recordingLoop) RejectQueued()      { r.steps = append(r.steps, "reject queued") }
func (r *recordingLoop) FinishAllRequests() { r.steps = append(r.steps, "finish all") }
func (r *recordingLoop) FinishRequestsSince(span time.Duration) {
	r.steps = append(r.steps, "finish the last "+span.String())
}

// The last responses are followed by another close: a client may have connected since the first one, and a request that it sends
// at SIGKILL would be lost. Requests that arrived later than 0.7 s after SIGTERM are responded to before.
func TestDrainSteps(t *testing.T) {
	for deadline, want := range map[time.Duration][]string{
		300 * time.Millisecond: {"drain", "close", "reject queued", "finish all", "close", "end"},
		3 * time.Second:        {"drain", "close", "finish the last 2.5s", "reject queued", "finish all", "close", "end"},
	} {
		loop := &recordingLoop{}
		settings := config.Settings{Settings: dispatch.Settings{Classes: []dispatch.Class{{ClientTimeout: deadline}}}}
		newDrainSchedule(settings).run(loop, func() { loop.steps = append(loop.steps, "end") })
		slices.SortStableFunc(loop.later, func(a, b laterStep) int { return cmp.Compare(a.at, b.at) })
		for _, step := range loop.later {
			step.act()
		}
		if !slices.Equal(loop.steps, want) {
			t.Errorf("deadline %v: %q", deadline, loop.steps)
		}
	}
}
