package score

import (
	"strconv"
	"time"

	"valvecove/internal/testbed/trace"
)

// Process is what a scheduler's processes took, one after the other, or the testbed's.
type Process struct {
	Scheduler      int     `json:"scheduler"` // -1: the testbed
	Starts         int     `json:"starts"`
	Kills          int     `json:"kills"`
	Terms          int     `json:"terms"`
	Freezes        int     `json:"freezes"`
	Reloads        int     `json:"reloads"`
	Exits          int     `json:"exits"` // by itself, after SIGTERM or not
	Requests       int     `json:"tries"`
	Attempts       int     `json:"attempts"`
	CPU            float64 `json:"cpu_s"`
	Cores          float64 `json:"cores"`  // CPU over the run's time
	PeakMemory     int64   `json:"memory"` // peak, bytes
	PeakFiles      int     `json:"files"`  // peak, descriptors
	CPUBySecond    Series  `json:"cpu_by_second"`
	MemoryBySecond Series  `json:"memory_by_second"` // bytes, peak of the second; 0: not looked at
	FilesBySecond  Series  `json:"files_by_second"`
}

type process struct {
	Process
	requests, attempts int
	sampledAt          time.Duration // of the last figures
	cpu                time.Duration // of this process, by then
}

func (s *Score) processOf(i int) *process {
	if i < 0 {
		return &s.testbed
	}
	s.processFigures = growTo(s.processFigures, i)
	return &s.processFigures[i]
}

func (s *Score) processEvent(event *trace.Event) {
	process := s.processOf(event.Scheduler)
	switch event.Kind {
	case trace.SchedulerStarted:
		if process.Starts++; process.Starts > 1 {
			s.markScheduler(event.Scheduler, "up again")
		}
		process.cpu, process.sampledAt = 0, s.now
	case trace.SchedulerKilled:
		process.Kills++
		s.markScheduler(event.Scheduler, "killed")
	case trace.SchedulerTerminated:
		process.Terms++
		s.markScheduler(event.Scheduler, "told to end")
	case trace.SchedulerFrozen:
		process.Freezes++
		s.markScheduler(event.Scheduler, "frozen")
	case trace.SchedulerResumed:
		s.markScheduler(event.Scheduler, "resumed")
	case trace.SchedulerReloaded:
		process.Reloads++
		s.markScheduler(event.Scheduler, "told to reload")
	case trace.SchedulerExited:
		process.Exits++
		s.markScheduler(event.Scheduler, "ended with "+strconv.Itoa(event.Status))
	case trace.ResourceUsage:
		process.recordUsage(s.now, event)
	}
}

func (s *Score) markScheduler(sched int, what string) {
	s.addMark("scheduler " + strconv.Itoa(sched) + " " + what)
}

// recordUsage takes in figures of the process. Its CPU is spread evenly over the time since the last ones.
func (p *process) recordUsage(now time.Duration, event *trace.Event) {
	p.PeakMemory, p.PeakFiles = max(p.PeakMemory, event.Memory), max(p.PeakFiles, event.OpenFiles)
	last := secondOf(now)
	p.CPUBySecond, p.MemoryBySecond, p.FilesBySecond = growTo(p.CPUBySecond, last), growTo(p.MemoryBySecond, last), growTo(p.FilesBySecond, last)
	p.MemoryBySecond[last] = max(p.MemoryBySecond[last], float64(event.Memory))
	p.FilesBySecond[last] = max(p.FilesBySecond[last], float64(event.OpenFiles))
	spent := (event.CPU - p.cpu).Seconds()
	if spent > 0 {
		p.CPU += spent
		if now <= p.sampledAt {
			p.CPUBySecond[last] += spent
		}
		for at := p.sampledAt; at < now; {
			i := secondOf(at)
			end := min(now, time.Duration(i+1)*time.Second)
			if i == maxBins-1 {
				end = now
			}
			p.CPUBySecond[i] += spent * float64(end-at) / float64(now-p.sampledAt)
			at = end
		}
	}
	p.cpu, p.sampledAt = event.CPU, now
}

func (s *Score) processes() []Process {
	outputs := make([]Process, 0, len(s.processFigures)+1)
	add := func(i int, p *process) {
		x := p.Process
		x.Scheduler, x.Requests, x.Attempts, x.Cores = i, p.requests, p.attempts, share(p.CPU, s.now.Seconds())
		x.CPUBySecond, x.MemoryBySecond, x.FilesBySecond = clone(p.CPUBySecond), clone(p.MemoryBySecond), clone(p.FilesBySecond)
		outputs = append(outputs, x)
	}
	for i := range s.processFigures {
		add(i, &s.processFigures[i])
	}
	if s.testbed.PeakMemory > 0 || s.testbed.CPU > 0 {
		add(-1, &s.testbed)
	}
	return outputs
}

func clone(s Series) Series { return append(make(Series, 0, len(s)), s...) }
