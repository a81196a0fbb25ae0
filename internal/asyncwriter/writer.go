package asyncwriter

import (
	"bytes"
	"errors"
	"io"
)

// ErrNotWritten means that text was dropped, or that earlier text could not be written.
var ErrNotWritten = errors.New("text not written")

// Writer is an io.Writer that passes text to another one through a Queue. The text of one call is called a piece. It is passed on
// completely, or dropped completely. Write and TryWrite must not be called concurrently.
type Writer struct {
	*Queue
	destination      io.Writer
	dropNotice       func(pieces uint64) string
	reportedDrops    uint64 // dropped pieces that a drop notice has reported
	reportedFailures uint64 // failed pieces that TryWrite has reported by an error
}

// NewWriter returns a writer to a destination, with at most maxBytes bytes of pending text. dropNotice, unless it is nil, returns
// the text that is written in place of a number of dropped pieces once there is space again.
func NewWriter(destination io.Writer, maxBytes int, dropNotice func(pieces uint64) string) *Writer {
	return &Writer{Queue: NewQueue(maxBytes), destination: destination, dropNotice: dropNotice}
}

// Write copies and enqueues text. It does not block, and returns no error.
func (w *Writer) Write(text []byte) (int, error) {
	_ = w.TryWrite(text) // dropped text is counted
	return len(text), nil
}

// TryWrite copies and enqueues text. It does not block. It returns ErrNotWritten if this text was dropped. Otherwise it also
// returns ErrNotWritten if the write of an earlier text has failed, but only once for each failed write.
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

// enqueueDropNotice enqueues a notice if pieces were dropped since the last one. If there is no space for the notice, it returns
// false. The caller then drops its text, and the notice is counted in place of that text.
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

// WriteLarge enqueues text of any size without copying it, so the caller must not change it afterwards. It returns false if an
// earlier large text has not been written yet.
func (w *Writer) WriteLarge(text []byte) bool { return w.EnqueueLarge(w.writeTask(text)) }

func (w *Writer) writeTask(text []byte) func() error {
	return func() error {
		_, err := w.destination.Write(text)
		return err
	}
}
