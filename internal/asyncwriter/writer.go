package asyncwriter

import (
	"bytes"
	"errors"
	"io"
)

// ErrNotWritten reports that text was dropped, or that earlier text could not be written.
var ErrNotWritten = errors.New("text not written")

// Writer is an io.Writer that writes to another one by way of a Queue. The text of each Write is written whole or dropped
// whole. Write and TryWrite are for one goroutine at a time.
type Writer struct {
	*Queue
	destination      io.Writer
	dropNotice       func(pieces uint64) string
	reportedDrops    uint64 // pieces that a drop notice has counted
	reportedFailures uint64 // failed pieces that TryWrite has returned an error for
}

// NewWriter returns a writer to a destination, with at most maxBytes bytes of text pending. dropNotice, unless it is nil,
// returns the text that stands in place of so many dropped pieces once there is room again.
func NewWriter(destination io.Writer, maxBytes int, dropNotice func(pieces uint64) string) *Writer {
	return &Writer{Queue: NewQueue(maxBytes), destination: destination, dropNotice: dropNotice}
}

// Write copies and enqueues text. It never fails and never waits.
func (w *Writer) Write(text []byte) (int, error) {
	_ = w.TryWrite(text) // what is dropped is counted
	return len(text), nil
}

// TryWrite copies and enqueues text, and never waits. It returns ErrNotWritten if this text was dropped, or else once for each
// earlier text that could not be written.
func (w *Writer) TryWrite(text []byte) error {
	if !w.enqueueDropNotice() || !w.Enqueue(len(text), w.writeTask(bytes.Clone(text))) {
		return ErrNotWritten
	}
	if w.reportedFailures < w.Failed() {
		w.reportedFailures++
		return ErrNotWritten
	}
	return nil
}

// enqueueDropNotice enqueues a notice of dropped pieces if there are new ones. It returns false if there is no room for that: the
// notice is then counted as dropped, in place of the text that was to follow it.
func (w *Writer) enqueueDropNotice() bool {
	dropped := w.Dropped()
	if dropped == w.reportedDrops || w.dropNotice == nil {
		return true
	}
	notice := []byte(w.dropNotice(dropped - w.reportedDrops))
	if !w.Enqueue(len(notice), w.writeTask(notice)) {
		return false
	}
	w.reportedDrops = dropped
	return true
}

// WriteLarge enqueues text of any size without copying it: the caller must not change it afterwards. It returns false if
// an earlier large text has not been written yet.
func (w *Writer) WriteLarge(text []byte) bool { return w.EnqueueLarge(w.writeTask(text)) }

func (w *Writer) writeTask(text []byte) func() error {
	return func() error {
		_, err := w.destination.Write(text)
		return err
	}
}
