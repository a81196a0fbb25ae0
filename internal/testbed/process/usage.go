package process

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/testbed/trace"
)

// sampleInterval is how often processes are looked at.
const sampleInterval = 250 * time.Millisecond

// processSampler is what is known of a process between two looks.
type processSampler struct {
	pid       int
	maxMemory int64 // memory so far
}

// processUsage is what a look at a process found.
type processUsage struct {
	memory int64 // bytes: what it has, or had at most since the look before if that has not been as much before
	files  int
	cpu    time.Duration
}

// sample takes a process's figures; not ok: it has none any more.
func (s *processSampler) sample(pid int) (u processUsage, ok bool) {
	if s.pid != pid {
		*s = processSampler{pid: pid}
	}
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return u, false
	}
	now, peak := statusBytes(status, "VmRSS:"), statusBytes(status, "VmHWM:")
	if u.memory = now; peak > s.maxMemory {
		u.memory, s.maxMemory = peak, peak
	}
	u.files = countDescriptors(filepath.Join(dir, "fd"))
	// The clock of a process's CPU time: its number is made of the pid, as clock_getcpuclockid does it.
	var t unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|2), &t) != nil || now == 0 { // a process that has ended has no memory
		return u, false
	}
	u.cpu = time.Duration(t.Nano())
	return u, true
}

// statusBytes reads a line of /proc/PID/status, in bytes.
func statusBytes(status []byte, name string) int64 {
	_, remainder, _ := bytes.Cut(status, []byte("\n"+name))
	line, _, _ := bytes.Cut(remainder, []byte("\n"))
	fields := bytes.Fields(line)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(string(fields[0]), 10, 64)
	return n << 10
}

// countDescriptors counts those that a process holds. Where the kernel counts them, it tells their number as a size.
func countDescriptors(dir string) int {
	if info, err := os.Stat(dir); err == nil && info.Size() > 0 {
		return int(info.Size())
	}
	list, _ := os.ReadDir(dir)
	return len(list)
}

// sampleProcesses takes the figures of all processes, the testbed's too, again and again, until the loop has ended.
func (d *driver) sampleProcesses() {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	own, known := processSampler{}, make([]processSampler, len(d.schedulers))
	progress := make(chan Progress, 1)
	for {
		select {
		case <-d.done:
			return
		case p := <-progress:
			d.options.Progress(p)
			continue
		case <-tick.C:
		}
		tell := func(sched int, u processUsage, ok bool) {
			if ok {
				d.post(func() {
					d.record(trace.Event{Kind: trace.ResourceUsage, Scheduler: sched, Memory: u.memory, OpenFiles: u.files, CPU: u.cpu})
				})
			}
		}
		for i, s := range d.schedulers {
			if pid := int(s.pid.Load()); pid != 0 {
				u, ok := known[i].sample(pid)
				tell(i, u, ok)
			}
		}
		u, ok := own.sample(os.Getpid())
		tell(-1, u, ok)
		if d.options.Progress != nil {
			d.post(func() {
				select {
				case progress <- Progress{At: d.environmentTime(d.now), Lateness: d.lateness.lateness()}:
				default: // the one before has not been taken in yet
				}
			})
		}
	}
}
