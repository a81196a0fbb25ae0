package score

import (
	"strconv"
	"time"

	"valvecove/internal/lab/seen"
)

// Process is what a scheduler's processes took, one after the other, or the lab's.
type Process struct {
	Sched    int     `json:"scheduler"` // -1: the lab
	Starts   int     `json:"starts"`
	Kills    int     `json:"kills"`
	Terms    int     `json:"terms"`
	Freezes  int     `json:"freezes"`
	Reloads  int     `json:"reloads"`
	Exits    int     `json:"exits"` // by itself, after SIGTERM or not
	Tries    int     `json:"tries"`
	Attempts int     `json:"attempts"`
	CPU      float64 `json:"cpu_s"`
	Cores    float64 `json:"cores"`  // CPU over the play's time
	Memory   int64   `json:"memory"` // peak, bytes
	Files    int     `json:"files"`  // peak, descriptors
	CPUs     Series  `json:"cpu_by_second"`
	Memories Series  `json:"memory_by_second"` // bytes, peak of the second; 0: not looked at
	Opens    Series  `json:"files_by_second"`
}

type process struct {
	Process
	tries, attempts int
	seenAt          time.Duration // of the last figures
	cpu             time.Duration // of this process, by then
}

func (s *Score) process(i int) *process {
	if i < 0 {
		return &s.lab
	}
	s.procs = grown(s.procs, i)
	return &s.procs[i]
}

func (s *Score) processed(x *seen.Sight) {
	p := s.process(x.Sched)
	switch x.What {
	case seen.SchedUp:
		if p.Starts++; p.Starts > 1 {
			s.schedMark(x.Sched, "up again")
		}
		p.cpu, p.seenAt = 0, s.now
	case seen.SchedKill:
		p.Kills++
		s.schedMark(x.Sched, "killed")
	case seen.SchedTerm:
		p.Terms++
		s.schedMark(x.Sched, "told to end")
	case seen.SchedFroze:
		p.Freezes++
		s.schedMark(x.Sched, "frozen")
	case seen.SchedWoke:
		s.schedMark(x.Sched, "resumed")
	case seen.SchedHup:
		p.Reloads++
		s.schedMark(x.Sched, "told to reload")
	case seen.SchedExit:
		p.Exits++
		s.schedMark(x.Sched, "ended with "+strconv.Itoa(x.Status))
	case seen.Usage:
		p.used(s.now, x)
	}
}

func (s *Score) schedMark(sched int, what string) {
	s.mark("scheduler " + strconv.Itoa(sched) + " " + what)
}

// used takes in figures of the process. Its CPU is spread evenly over the time since the last ones.
func (p *process) used(now time.Duration, x *seen.Sight) {
	p.Memory, p.Files = max(p.Memory, x.Memory), max(p.Files, x.Files)
	last := second(now)
	p.CPUs, p.Memories, p.Opens = grown(p.CPUs, last), grown(p.Memories, last), grown(p.Opens, last)
	p.Memories[last] = max(p.Memories[last], float64(x.Memory))
	p.Opens[last] = max(p.Opens[last], float64(x.Files))
	spent := (x.CPU - p.cpu).Seconds()
	if spent > 0 {
		p.CPU += spent
		if now <= p.seenAt {
			p.CPUs[last] += spent
		}
		for at := p.seenAt; at < now; {
			i := second(at)
			end := min(now, time.Duration(i+1)*time.Second)
			if i == mostBins-1 {
				end = now
			}
			p.CPUs[i] += spent * float64(end-at) / float64(now-p.seenAt)
			at = end
		}
	}
	p.cpu, p.seenAt = x.CPU, now
}

func (s *Score) processes() []Process {
	out := make([]Process, 0, len(s.procs)+1)
	add := func(i int, p *process) {
		x := p.Process
		x.Sched, x.Tries, x.Attempts, x.Cores = i, p.tries, p.attempts, share(p.CPU, s.now.Seconds())
		x.CPUs, x.Memories, x.Opens = clone(p.CPUs), clone(p.Memories), clone(p.Opens)
		out = append(out, x)
	}
	for i := range s.procs {
		add(i, &s.procs[i])
	}
	if s.lab.Memory > 0 || s.lab.CPU > 0 {
		add(-1, &s.lab)
	}
	return out
}

func clone(s Series) Series { return append(make(Series, 0, len(s)), s...) }
