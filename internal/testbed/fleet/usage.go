package fleet

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// processCPU returns the processor time that a process has used, or -1 if it has ended.
func processCPU(pid int) time.Duration {
	// The clock's number encodes the process id, as clock_getcpuclockid does it.
	const cpuClockSched = 2
	clock := int32(^pid<<3 | cpuClockSched)
	var used unix.Timespec
	if unix.ClockGettime(clock, &used) != nil {
		return -1
	}
	return time.Duration(used.Nano())
}

// peakMemory returns the peak resident memory of a process in bytes, or 0 if that is unknown.
func peakMemory(pid int) int64 {
	status, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	_, remainder, _ := bytes.Cut(status, []byte("\nVmHWM:"))
	line, _, _ := bytes.Cut(remainder, []byte("\n"))
	fields := bytes.Fields(line)
	if len(fields) == 0 {
		return 0
	}
	kibibytes, _ := strconv.ParseInt(string(fields[0]), 10, 64)
	return kibibytes << 10
}

// countFiles counts the open descriptors of a process, given by its number or as "self". Kernels that keep the count
// report it as the size of the directory.
func countFiles(process string) int {
	directory := filepath.Join("/proc", process, "fd")
	if info, err := os.Stat(directory); err == nil && info.Size() > 0 {
		return int(info.Size())
	}
	entries, _ := os.ReadDir(directory)
	return len(entries)
}
