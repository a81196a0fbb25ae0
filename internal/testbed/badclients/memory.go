package badclients

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	memoryInterval  = 5 * time.Millisecond // between samples
	bytesPerKB      = 1 << 10
	bytesPerMBShift = 20
)

// memoryMonitor samples the anonymous memory of processes together. It stops when its stop channel is closed.
type memoryMonitor struct {
	stop  chan struct{}
	group sync.WaitGroup

	mutex sync.Mutex
	pids  []int
	peak  int64 // bytes
}

func startMemoryMonitor() *memoryMonitor {
	monitor := &memoryMonitor{stop: make(chan struct{})}
	monitor.group.Go(monitor.run)
	return monitor
}

// add adds a process.
func (m *memoryMonitor) add(pid int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.pids = append(m.pids, pid)
}

// end stops the monitor and returns the highest sum that was seen, in bytes.
func (m *memoryMonitor) end() int64 {
	close(m.stop)
	m.group.Wait()
	return m.peak
}

func (m *memoryMonitor) run() {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		m.sample()
		select {
		case <-m.stop:
			return
		case <-ticker.C:
		}
	}
}

// sample adds up the memory of the processes that run.
func (m *memoryMonitor) sample() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	sum := int64(0)
	for _, pid := range m.pids {
		sum += anonymousMemory(pid)
	}
	m.peak = max(m.peak, sum)
}

// anonymousMemory returns the memory of a process that is no file's, in bytes, or 0 if it has ended.
func anonymousMemory(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := bytes.Cut(status, []byte("\nRssAnon:"))
	line, _, _ := bytes.Cut(after, []byte("kB"))
	kilobytes, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64)
	if err != nil {
		return 0
	}
	return kilobytes * bytesPerKB
}
