package server

import (
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
)

// Whatever the longest deadline of a deployment, every request has its answer before SIGKILL, also where the process is held up for
// as long as may be when SIGTERM comes and again when its last step is due; and none is admitted once the queue has been answered.
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
		// What comes for as long as new connections do has half of its time at least, or a second.
		if served := schedule.finishAllAt - forOthers; served < min(deadline/2, time.Second) && deadline > 150*time.Millisecond {
			t.Fatalf("deadline %v: what comes at %v has %v", deadline, forOthers, served)
		}
	}
}
