// Package asyncwriter hands work to something that may be slow or gone, such as standard error or a disk, without ever
// waiting for it: one goroutine does it in order, and what does not fit the queue is dropped and counted.
package asyncwriter

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Queue is a bounded queue of acts.
type Queue struct {
	maxBytes     int
	mu           sync.Mutex
	tasks        []task
	pendingBytes int  // bytes that wait
	hasLarge     bool // a large act waits or is being done
	running      bool // one is being done
	closed       bool
	wake         chan struct{}
	done         chan struct{}
	dropped      atomic.Uint64
	failed       atomic.Uint64
}

type task struct {
	size  int
	large bool
	run   func() error
}

// NewQueue returns a spool in which so many bytes may wait.
func NewQueue(most int) *Queue {
	s := &Queue{maxBytes: most, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Enqueue queues an act that stands for so many bytes; false: there was no room, and it is counted as dropped.
func (s *Queue) Enqueue(size int, do func() error) bool { return s.enqueue(task{size: size, run: do}) }

// EnqueueLarge queues an act whatever its size, but one at a time only.
func (s *Queue) EnqueueLarge(do func() error) bool { return s.enqueue(task{large: true, run: do}) }

func (s *Queue) enqueue(a task) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.pendingBytes+a.size > s.maxBytes || a.large && s.hasLarge {
		s.dropped.Add(1)
		return false
	}
	s.tasks = append(s.tasks, a)
	s.pendingBytes += a.size
	s.hasLarge = s.hasLarge || a.large
	s.notify()
	return true
}

func (s *Queue) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Dropped counts acts for which there was no room, Failed those that were done and failed.
func (s *Queue) Dropped() uint64 { return s.dropped.Load() }

// Failed counts acts that were done and failed.
func (s *Queue) Failed() uint64 { return s.failed.Load() }

func (s *Queue) run() {
	defer close(s.done)
	for range s.wake {
		for {
			s.mu.Lock()
			if len(s.tasks) == 0 {
				s.tasks = nil
				end := s.closed
				s.mu.Unlock()
				if end {
					return
				}
				break
			}
			a := s.tasks[0]
			s.tasks[0] = task{}
			s.tasks, s.running = s.tasks[1:], true
			s.mu.Unlock()
			if a.run() != nil {
				s.failed.Add(1)
			}
			s.mu.Lock()
			s.pendingBytes, s.running = s.pendingBytes-a.size, false // it counts until it is done
			s.hasLarge = s.hasLarge && !a.large
			s.mu.Unlock()
		}
	}
}

// Close takes nothing more and waits for what is queued, for so long at most.
func (s *Queue) Close(patience time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.notify()
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(patience):
	}
}

// Writer is a spool before an io.Writer. Each Write is handed on whole or dropped whole.
type Writer struct {
	*Queue
	destination      io.Writer
	dropNotice       func(pieces uint64) string // what to say once there is room again
	reportedDrops    uint64                     // pieces dropped that were spoken of
	reportedFailures uint64                     // pieces that failed and were spoken of
}

// NewWriter returns a writer in front of another. lost, unless it is nil, gives the line that is written in place of
// what was dropped.
func NewWriter(to io.Writer, most int, lost func(pieces uint64) string) *Writer {
	return &Writer{Queue: NewQueue(most), destination: to, dropNotice: lost}
}

// Write never fails and never waits.
func (w *Writer) Write(b []byte) (int, error) {
	_ = w.TryWrite(b)
	return len(b), nil
}

// ErrNotWritten is said of what was dropped, or of a writer that has failed since it was last asked.
var ErrNotWritten = errors.New("text not written")

// TryWrite copies and queues text. An error tells that this, or something before it, was not written.
func (w *Writer) TryWrite(b []byte) error {
	if gone := w.Dropped(); gone > w.reportedDrops && w.dropNotice != nil {
		line := []byte(w.dropNotice(gone - w.reportedDrops))
		if !w.Enqueue(len(line), w.writeTask(line)) {
			return ErrNotWritten // no room yet: Put has counted it in b's place
		}
		w.reportedDrops = gone
	}
	copied := append([]byte(nil), b...)
	taken := w.Enqueue(len(copied), w.writeTask(copied))
	if failed := w.Failed(); !taken || failed > w.reportedFailures {
		w.reportedFailures = failed
		return ErrNotWritten
	}
	return nil
}

// WriteLarge hands on text of any size, which is not copied; false: another such still waits.
func (w *Writer) WriteLarge(b []byte) bool { return w.EnqueueLarge(w.writeTask(b)) }

func (w *Writer) writeTask(b []byte) func() error {
	return func() error {
		_, err := w.destination.Write(b)
		return err
	}
}

// pendingTasks counts what is not done yet.
func (s *Queue) pendingTasks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.tasks)
	if s.running {
		n++
	}
	return n
}
