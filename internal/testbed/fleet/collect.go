package fleet

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const descriptorSampleInterval = 100 * time.Millisecond

// collector gathers the figures of a run while the rig runs it.
type collector struct {
	figures        Measurement
	pid            int           // of the measured process; 0: there is none
	cpu            time.Duration // of the measured process in the window; valid once the window is closed
	maxDescriptors atomic.Int64
}

// rigMessage is a message from the rig, or the error of receiving it.
type rigMessage struct {
	childMessage
	err error
}

// collect waits for the end of the run and returns the completed figures. It fails if the context or the subject ends first.
func (m *measurement) collect(ctx context.Context, figures Measurement) (Measurement, error) {
	var background sync.WaitGroup
	stopped := make(chan struct{})
	defer background.Wait()
	defer close(stopped)

	collector := &collector{figures: figures}
	var exited chan struct{} // stays nil, and so blocks, without a subject
	if m.subject != nil {
		exited = m.subject.exited
		collector.pid = m.subject.Process.Pid
		background.Go(func() { collector.sampleDescriptors(stopped) })
		background.Go(func() { m.freeze(stopped) })
	}
	messages := make(chan rigMessage)
	background.Go(func() { m.receiveAll(messages, stopped) })
	for {
		select {
		case <-ctx.Done():
			m.rig.kill()
			return collector.figures, ctx.Err()
		case <-exited:
			m.rig.kill()
			return collector.figures, m.exitError()
		case message := <-messages:
			if message.err != nil {
				return collector.figures, message.err
			}
			if message.Result != nil {
				m.readUsage(message.Usage)
				collector.complete(message.Result)
				return collector.figures, nil
			}
			collector.handleMark(message.Mark)
		}
	}
}

// readUsage stores what the scheduler has used in the whole run. The scheduler must still be running.
func (m *measurement) readUsage(used *RigUsage) {
	if used != nil {
		m.usage.RigUsage = *used
	}
	if m.subject != nil {
		m.usage.CPU = processCPU(m.subject.Process.Pid)
	}
}

// receiveAll passes the rig's messages on, up to the result or a failure.
func (m *measurement) receiveAll(messages chan<- rigMessage, stopped <-chan struct{}) {
	for {
		message, err := m.receive()
		select {
		case messages <- rigMessage{message, err}:
		case <-stopped:
			return
		}
		if err != nil || message.Result != nil {
			return
		}
	}
}

// sampleDescriptors samples how many descriptors the measured process has open, and keeps the maximum.
func (c *collector) sampleDescriptors(stopped <-chan struct{}) {
	ticker := time.NewTicker(descriptorSampleInterval)
	defer ticker.Stop()
	process := strconv.Itoa(c.pid)
	for {
		c.maxDescriptors.Store(max(c.maxDescriptors.Load(), int64(countFiles(process))))
		select {
		case <-stopped:
			return
		case <-ticker.C:
		}
	}
}

// handleMark reads the processor time of the measured process at both ends of the window, and its peak memory at the close.
func (c *collector) handleMark(mark string) {
	if c.pid == 0 {
		return
	}
	switch mark {
	case MarkOpen:
		c.cpu = -processCPU(c.pid)
	case MarkClose:
		c.cpu += processCPU(c.pid)
		c.figures.Memory = float64(peakMemory(c.pid)) / (1 << 20)
	}
}

// complete derives the figures of the run from the rig's result.
func (c *collector) complete(result *Result) {
	figures := &c.figures
	figures.Result = *result
	figures.Descriptors = int(c.maxDescriptors.Load())
	figures.Rate = float64(figures.Served) / figures.Window
	figures.CPUShare = c.cpu.Seconds() / figures.Window
	if figures.Served > 0 {
		figures.CPU = c.cpu.Seconds() * 1e6 / float64(figures.Served)
	}
}

// freeze stops the subject's process by SIGSTOP for Options.Freeze, from the start of the disturbances.
func (m *measurement) freeze(stopped <-chan struct{}) {
	if m.options.Freeze <= 0 {
		return
	}
	wait := func(span time.Duration) bool {
		select {
		case <-stopped:
			return false
		case <-time.After(span):
			return true
		}
	}
	if wait(m.options.WarmUp + disturbancesAfter) {
		_ = m.subject.Process.Signal(syscall.SIGSTOP)
		wait(m.options.Freeze)
		_ = m.subject.Process.Signal(syscall.SIGCONT)
	}
}
