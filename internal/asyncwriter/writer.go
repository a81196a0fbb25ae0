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

// Spool is a bounded queue of acts.
type Spool struct {
	most    int
	mu      sync.Mutex
	queue   []act
	held    int  // bytes that wait
	large   bool // a large act waits or is being done
	busy    bool // one is being done
	closed  bool
	wake    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
	failed  atomic.Uint64
}

type act struct {
	size  int
	large bool
	do    func() error
}

// New returns a spool in which so many bytes may wait.
func New(most int) *Spool {
	s := &Spool{most: most, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Put queues an act that stands for so many bytes; false: there was no room, and it is counted as dropped.
func (s *Spool) Put(size int, do func() error) bool { return s.put(act{size: size, do: do}) }

// Large queues an act whatever its size, but one at a time only.
func (s *Spool) Large(do func() error) bool { return s.put(act{large: true, do: do}) }

func (s *Spool) put(a act) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.held+a.size > s.most || a.large && s.large {
		s.dropped.Add(1)
		return false
	}
	s.queue = append(s.queue, a)
	s.held += a.size
	s.large = s.large || a.large
	s.notify()
	return true
}

func (s *Spool) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Dropped counts acts for which there was no room, Failed those that were done and failed.
func (s *Spool) Dropped() uint64 { return s.dropped.Load() }

// Failed counts acts that were done and failed.
func (s *Spool) Failed() uint64 { return s.failed.Load() }

func (s *Spool) run() {
	defer close(s.done)
	for range s.wake {
		for {
			s.mu.Lock()
			if len(s.queue) == 0 {
				s.queue = nil
				end := s.closed
				s.mu.Unlock()
				if end {
					return
				}
				break
			}
			a := s.queue[0]
			s.queue[0] = act{}
			s.queue, s.busy = s.queue[1:], true
			s.mu.Unlock()
			if a.do() != nil {
				s.failed.Add(1)
			}
			s.mu.Lock()
			s.held, s.busy = s.held-a.size, false // it counts until it is done
			s.large = s.large && !a.large
			s.mu.Unlock()
		}
	}
}

// Close takes nothing more and waits for what is queued, for so long at most.
func (s *Spool) Close(patience time.Duration) {
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
	*Spool
	to     io.Writer
	lost   func(pieces uint64) string // what to say once there is room again
	missed uint64                     // pieces dropped that were spoken of
	noted  uint64                     // pieces that failed and were spoken of
}

// Before returns a writer in front of another. lost, unless it is nil, gives the line that is written in place of
// what was dropped.
func Before(to io.Writer, most int, lost func(pieces uint64) string) *Writer {
	return &Writer{Spool: New(most), to: to, lost: lost}
}

// Write never fails and never waits.
func (w *Writer) Write(b []byte) (int, error) {
	_ = w.Offer(b)
	return len(b), nil
}

// ErrFull is said of what was dropped, or of a writer that has failed since it was last asked.
var ErrFull = errors.New("not taken in")

// Offer copies and queues text. An error tells that this, or something before it, was not written.
func (w *Writer) Offer(b []byte) error {
	if gone := w.Dropped(); gone > w.missed && w.lost != nil {
		line := []byte(w.lost(gone - w.missed))
		if !w.Put(len(line), w.writes(line)) {
			return ErrFull // no room yet: Put has counted it in b's place
		}
		w.missed = gone
	}
	copied := append([]byte(nil), b...)
	taken := w.Put(len(copied), w.writes(copied))
	if failed := w.Failed(); !taken || failed > w.noted {
		w.noted = failed
		return ErrFull
	}
	return nil
}

// WriteLarge hands on text of any size, which is not copied; false: another such still waits.
func (w *Writer) WriteLarge(b []byte) bool { return w.Large(w.writes(b)) }

func (w *Writer) writes(b []byte) func() error {
	return func() error {
		_, err := w.to.Write(b)
		return err
	}
}

// pending counts what is not done yet.
func (s *Spool) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.queue)
	if s.busy {
		n++
	}
	return n
}
