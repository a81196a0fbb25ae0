package fleet

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// processCPU is the processor time that a process has used; below 0: it is gone.
func processCPU(pid int) time.Duration {
	// The clock of a process's CPU time: its number is made of the pid, as clock_getcpuclockid does it.
	var t unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|2), &t) != nil {
		return -1
	}
	return time.Duration(t.Nano())
}

// peakMemory is the most memory that a process has had, in bytes.
func peakMemory(pid int) int64 {
	status, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	_, remainder, _ := bytes.Cut(status, []byte("\nVmHWM:"))
	line, _, _ := bytes.Cut(remainder, []byte("\n"))
	fields := bytes.Fields(line)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(string(fields[0]), 10, 64)
	return n << 10
}

// countFiles counts the descriptors of a process, by its number or as self. Where the kernel counts them, it tells their
// number as a size.
func countFiles(process string) int {
	dir := filepath.Join("/proc", process, "fd")
	if info, err := os.Stat(dir); err == nil && info.Size() > 0 {
		return int(info.Size())
	}
	list, _ := os.ReadDir(dir)
	return len(list)
}
