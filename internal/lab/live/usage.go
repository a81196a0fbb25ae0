package live

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/lab/seen"
)

// lookEvery is how often processes are looked at.
const lookEvery = 250 * time.Millisecond

// sampled is what is known of a process between two looks.
type sampled struct {
	pid  int
	most int64 // memory so far
}

// usage is what a look at a process found.
type usage struct {
	memory int64 // bytes: what it has, or had at most since the look before if that has not been as much before
	files  int
	cpu    time.Duration
}

// look takes a process's figures; not ok: it has none any more.
func (s *sampled) look(pid int) (u usage, ok bool) {
	if s.pid != pid {
		*s = sampled{pid: pid}
	}
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return u, false
	}
	now, peak := kilobytes(status, "VmRSS:"), kilobytes(status, "VmHWM:")
	if u.memory = now; peak > s.most {
		u.memory, s.most = peak, peak
	}
	u.files = descriptors(filepath.Join(dir, "fd"))
	// The clock of a process's CPU time: its number is made of the pid, as clock_getcpuclockid does it.
	var t unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|2), &t) != nil || now == 0 { // a process that has ended has no memory
		return u, false
	}
	u.cpu = time.Duration(t.Nano())
	return u, true
}

// kilobytes reads a line of /proc/PID/status, in bytes.
func kilobytes(status []byte, name string) int64 {
	_, rest, _ := bytes.Cut(status, []byte("\n"+name))
	line, _, _ := bytes.Cut(rest, []byte("\n"))
	fields := bytes.Fields(line)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(string(fields[0]), 10, 64)
	return n << 10
}

// descriptors counts those that a process holds. Where the kernel counts them, it tells their number as a size.
func descriptors(dir string) int {
	if info, err := os.Stat(dir); err == nil && info.Size() > 0 {
		return int(info.Size())
	}
	list, _ := os.ReadDir(dir)
	return len(list)
}

// lookAt takes the figures of all processes, the lab's too, again and again, until the loop has ended.
func (d *driver) lookAt() {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	own, known := sampled{}, make([]sampled, len(d.scheds))
	progress := make(chan Progress, 1)
	for {
		select {
		case <-d.gone:
			return
		case p := <-progress:
			d.opt.Progress(p)
			continue
		case <-tick.C:
		}
		tell := func(sched int, u usage, ok bool) {
			if ok {
				d.send(func() {
					d.tell(seen.Sight{What: seen.Usage, Sched: sched, Memory: u.memory, Files: u.files, CPU: u.cpu})
				})
			}
		}
		for i, s := range d.scheds {
			if pid := int(s.pid.Load()); pid != 0 {
				u, ok := known[i].look(pid)
				tell(i, u, ok)
			}
		}
		u, ok := own.look(os.Getpid())
		tell(-1, u, ok)
		if d.opt.Progress != nil {
			d.send(func() {
				select {
				case progress <- Progress{At: d.worldTime(d.now), Late: d.late.lateness()}:
				default: // the one before has not been taken in yet
				}
			})
		}
	}
}
