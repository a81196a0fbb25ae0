package dispatch

import (
	"math"
	"testing"
	"time"
)

// Events with unknown IDs, invalid numbers or a second job of the same ID, list entries that contradict each other, and a clock
// that steps back have no effect: the only valid job is sent, no other one is, and none stays queued.
func TestInvalidEventsAreIgnored(t *testing.T) {
	nan := math.NaN()
	s := newHarness(t, testSettings())
	s.workers(2)
	s.step(s.job(1, 0, 100*ms))
	s.step(s.job(1, 0, 100*ms)) // the ID is in use
	s.step(Job{ID: 2, Class: 99}, Job{ID: 3, Class: -1}, Job{
		ID: 4, Class: 0, Tenant: -5, Remaining: -time.Hour, Hint: -1,
		Slots: nan, Memory: math.Inf(1),
	})
	s.step(TimerFired{}, TimerFired{}, ClientDisconnected{Job: 77}, HealthChecked{Worker: 77, Report: []float64{nan}},
		Started{Job: 1, Attempt: 5, Worker: 1}, Started{Job: 77}, Progressed{Job: 1, Attempt: -1, Share: nan},
		Outcome{Job: 77}, Outcome{Job: 1, Attempt: 9}, Outcome{Job: 1, Worker: 555})
	s.step(WorkerList{Kind: ListFull, Workers: []Worker{
		{ID: 1, Ready: true, Kind: -3, Size: nan, BootAt: -5},
		{ID: 1, Ready: true},
		{ID: 2, Ready: true},
		{ID: 9, Removed: true},
	}})
	if len(s.d.fleet.workers) != 2 {
		t.Fatalf("%d workers in the fleet, expected 2", len(s.d.fleet.workers))
	}
	s.now -= time.Minute // the clock steps back
	s.step()
	s.now += time.Minute
	s.wait(6 * time.Second)
	sends := 0
	for _, a := range s.take() {
		if a, ok := a.(Send); ok && a.Job == 1 {
			sends++
		} else if ok {
			t.Fatalf("job %d was sent", a.Job)
		}
	}
	if sends == 0 || s.d.queue.length != 0 {
		t.Fatalf("%d sends of job 1, %d jobs queued at the end", sends, s.d.queue.length)
	}
}
