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

const sampleInterval = 250 * time.Millisecond // between samples of the processes' resource usage

// processSampler samples the resource usage of a process.
type processSampler struct {
	pid       int
	maxMemory int64 // bytes: the peak as of the last sample
}

// processUsage is a sample of a process's resource usage.
type processUsage struct {
	memory int64 // bytes: the new peak if that has risen since the last sample, else the current memory
	files  int   // open descriptors
	cpu    time.Duration
}

// sample reads the resource usage of a process. ok is false if the process has ended.
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
	// The number of the clock for a process's CPU time is derived from the pid, as clock_getcpuclockid does it.
	var t unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|2), &t) != nil || now == 0 { // a process that has ended has no memory
		return u, false
	}
	u.cpu = time.Duration(t.Nano())
	return u, true
}

// statusBytes returns the value of a line of /proc/PID/status in bytes, or 0 if the line is missing. The file has it in KB.
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

// countDescriptors counts the open descriptors in a directory /proc/PID/fd. Kernels that keep the count report it as the
// size of the directory.
func countDescriptors(dir string) int {
	if info, err := os.Stat(dir); err == nil && info.Size() > 0 {
		return int(info.Size())
	}
	list, _ := os.ReadDir(dir)
	return len(list)
}

// sampleProcesses samples the resource usage of all processes, the testbed's included, in every sampleInterval, and
// reports the run's progress, until the loop has ended.
func (d *driver) sampleProcesses() {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	own, samplers := processSampler{}, make([]processSampler, len(d.schedulers))
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
		report := func(sched int, u processUsage, ok bool) {
			if ok {
				d.post(func() {
					d.record(trace.Event{Kind: trace.ResourceUsage, Scheduler: sched, Memory: u.memory, OpenFiles: u.files, CPU: u.cpu})
				})
			}
		}
		for i, s := range d.schedulers {
			if pid := int(s.pid.Load()); pid != 0 {
				u, ok := samplers[i].sample(pid)
				report(i, u, ok)
			}
		}
		u, ok := own.sample(os.Getpid())
		report(-1, u, ok)
		if d.options.Progress != nil {
			d.post(func() {
				select {
				case progress <- Progress{At: d.environmentTime(d.now), Lateness: d.lateness.lateness()}:
				default: // the previous one is still to be reported
				}
			})
		}
	}
}
