package score

import (
	"math"
	"testing"

	"valvecove/internal/testbed/trace"
)

// The resources of a scheduler are summed over its restarts, misbehaving clients are counted, and kills and restarts are
// recorded as marks.
func TestScoreProcesses(t *testing.T) {
	s := timedScore{New(spec(10), Options{})}
	s.at(0, trace.Event{Kind: trace.SchedulerStarted})
	s.at(500, trace.Event{Kind: trace.ResourceUsage, CPU: 100 * ms, Memory: 10, OpenFiles: 5})
	s.at(1500, trace.Event{Kind: trace.ResourceUsage, CPU: 300 * ms, Memory: 30, OpenFiles: 4})
	s.at(1600, trace.Event{Kind: trace.SchedulerKilled})
	s.at(2000, trace.Event{Kind: trace.SchedulerStarted})
	s.at(3000, trace.Event{Kind: trace.ResourceUsage, CPU: 50 * ms, Memory: 20, OpenFiles: 9})
	s.at(3000, trace.Event{Kind: trace.ResourceUsage, Scheduler: -1, CPU: 50 * ms, Memory: 20})
	s.at(3000, trace.Event{Kind: trace.MisbehavingClientConnected, Conn: 7, Text: "garbage"})
	s.at(3010, trace.Event{Kind: trace.MisbehavingClientAnswered, Conn: 7, Status: 400})
	s.at(3010, trace.Event{Kind: trace.TestbedLate, Lateness: 3 * ms})
	r := s.Result()
	p := r.Processes[0]
	if p.Starts != 2 || p.Kills != 1 || p.PeakMemory != 30 || p.PeakFiles != 9 || math.Abs(p.CPU-0.35) > 1e-9 {
		t.Errorf("process of the scheduler: %+v", p)
	}
	if math.Abs(p.CPUBySecond[0]-0.2) > 1e-9 || math.Abs(p.CPUBySecond[1]-0.1) > 1e-9 || math.Abs(p.CPUBySecond[2]-0.05) > 1e-9 {
		t.Errorf("CPU seconds by second: %v, want 0.2, 0.1, 0.05", p.CPUBySecond)
	}
	if len(r.Processes) != 2 || r.Processes[1].Scheduler != -1 || len(r.Marks) != 2 || r.Lateness.Max < 2.99 {
		t.Errorf("processes %+v, marks %+v, lateness %+v", r.Processes, r.Marks, r.Lateness)
	}
	if b := r.Misbehaving; len(b) != 1 || b[0] != (MisbehavingCounts{Kind: "garbage", Connected: 1, Errors: 1, MaxWaitMs: 10}) {
		t.Errorf("misbehaving clients: %+v", b)
	}
}
