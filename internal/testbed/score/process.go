package score

import (
	"strconv"
	"time"

	"valvecove/internal/testbed/trace"
)

// Process has the counts and resources of a scheduler, over all its processes in the run, or of the testbed.
type Process struct {
	Scheduler      int     `json:"scheduler"` // -1: the testbed
	Starts         int     `json:"starts"`
	Kills          int     `json:"kills"`
	Terms          int     `json:"terms"`
	Freezes        int     `json:"freezes"`
	Reloads        int     `json:"reloads"`
	Exits          int     `json:"exits"` // by itself, whether after SIGTERM or not
	Requests       int     `json:"tries"`
	Attempts       int     `json:"attempts"`
	CPU            float64 `json:"cpu_s"`
	Cores          float64 `json:"cores"`  // CPU divided by the time of the run
	PeakMemory     int64   `json:"memory"` // peak, bytes
	PeakFiles      int     `json:"files"`  // peak, descriptors
	CPUBySecond    Series  `json:"cpu_by_second"`
	MemoryBySecond Series  `json:"memory_by_second"` // peak of each second, bytes; 0: not sampled
	FilesBySecond  Series  `json:"files_by_second"`
}

// testbedProcess is the index of the testbed's own process.
const testbedProcess = -1

type process struct {
	Process
	requests  int
	attempts  int
	sampledAt time.Duration // of the last sample
	cpu       time.Duration // of the scheduler's current process, at the last sample
}

func (s *Score) processOf(scheduler int) *process {
	if scheduler < 0 {
		return &s.testbed
	}
	s.schedulerProcesses = growTo(s.schedulerProcesses, scheduler)
	return &s.schedulerProcesses[scheduler]
}

func (s *Score) schedulerStarted(event *trace.Event) {
	started := s.processOf(event.Scheduler)
	started.Starts++
	if started.Starts > 1 {
		s.markScheduler(event.Scheduler, "up again")
	}
	started.cpu, started.sampledAt = 0, s.now
}

func (s *Score) schedulerKilled(event *trace.Event) {
	s.processOf(event.Scheduler).Kills++
	s.markScheduler(event.Scheduler, "killed")
}

func (s *Score) schedulerTerminated(event *trace.Event) {
	s.processOf(event.Scheduler).Terms++
	s.markScheduler(event.Scheduler, "told to end")
}

func (s *Score) schedulerFrozen(event *trace.Event) {
	s.processOf(event.Scheduler).Freezes++
	s.markScheduler(event.Scheduler, "frozen")
}

func (s *Score) schedulerResumed(event *trace.Event) {
	s.processOf(event.Scheduler)
	s.markScheduler(event.Scheduler, "resumed")
}

func (s *Score) schedulerReloaded(event *trace.Event) {
	s.processOf(event.Scheduler).Reloads++
	s.markScheduler(event.Scheduler, "told to reload")
}

func (s *Score) schedulerExited(event *trace.Event) {
	s.processOf(event.Scheduler).Exits++
	s.markScheduler(event.Scheduler, "ended with "+strconv.Itoa(event.Status))
}

// schedulerSeen makes sure that a scheduler is among the processes.
func (s *Score) schedulerSeen(event *trace.Event) { s.processOf(event.Scheduler) }

func (s *Score) resourceUsage(event *trace.Event) {
	s.processOf(event.Scheduler).addSample(s.now, event)
}

func (s *Score) markScheduler(scheduler int, text string) {
	s.addMark("scheduler " + strconv.Itoa(scheduler) + " " + text)
}

// addSample adds a sample of a process's resources.
func (p *process) addSample(now time.Duration, event *trace.Event) {
	p.PeakMemory = max(p.PeakMemory, event.Memory)
	p.PeakFiles = max(p.PeakFiles, event.OpenFiles)
	second := secondOf(now)
	p.CPUBySecond = growTo(p.CPUBySecond, second)
	p.MemoryBySecond = growTo(p.MemoryBySecond, second)
	p.FilesBySecond = growTo(p.FilesBySecond, second)
	p.MemoryBySecond[second] = max(p.MemoryBySecond[second], float64(event.Memory))
	p.FilesBySecond[second] = max(p.FilesBySecond[second], float64(event.OpenFiles))
	if spent := (event.CPU - p.cpu).Seconds(); spent > 0 {
		p.addCPU(now, spent)
	}
	p.cpu, p.sampledAt = event.CPU, now
}

// addCPU spreads CPU seconds evenly over the time since the last sample.
func (p *process) addCPU(now time.Duration, spent float64) {
	p.CPU += spent
	if now <= p.sampledAt {
		p.CPUBySecond[secondOf(now)] += spent
	}
	for at := p.sampledAt; at < now; {
		second := secondOf(at)
		end := min(now, time.Duration(second+1)*time.Second)
		if second == maxBins-1 {
			end = now
		}
		p.CPUBySecond[second] += spent * float64(end-at) / float64(now-p.sampledAt)
		at = end
	}
}

// processes returns the processes of all schedulers, and that of the testbed if it was sampled.
func (s *Score) processes() []Process {
	list := make([]Process, 0, len(s.schedulerProcesses)+1)
	for i := range s.schedulerProcesses {
		list = append(list, s.schedulerProcesses[i].result(i, s.now))
	}
	if s.testbed.PeakMemory > 0 || s.testbed.CPU > 0 {
		list = append(list, s.testbed.result(testbedProcess, s.now))
	}
	return list
}

func (p *process) result(scheduler int, now time.Duration) Process {
	result := p.Process
	result.Scheduler = scheduler
	result.Requests = p.requests
	result.Attempts = p.attempts
	result.Cores = share(p.CPU, now.Seconds())
	result.CPUBySecond = cloneSeries(p.CPUBySecond)
	result.MemoryBySecond = cloneSeries(p.MemoryBySecond)
	result.FilesBySecond = cloneSeries(p.FilesBySecond)
	return result
}

// cloneSeries returns a copy that is never nil: MarshalJSON writes a nil series like an empty one.
func cloneSeries(series Series) Series { return append(make(Series, 0, len(series)), series...) }
