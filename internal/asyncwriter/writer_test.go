package asyncwriter

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"valvecove/internal/modeltest"
)

// steppedWriter blocks each Write until the test allows it to proceed.
type steppedWriter struct {
	proceed chan struct{} // the test sends a value for each Write
	written chan struct{} // Write sends a value at its end
	text    bytes.Buffer
}

func (w *steppedWriter) Write(text []byte) (int, error) {
	<-w.proceed
	w.text.Write(text)
	w.written <- struct{}{}
	return len(text), nil
}

// writerModel contains a writer and its expected state.
type writerModel struct {
	*modeltest.Steps
	writer      *Writer
	destination *steppedWriter
	pending     []string // not written yet, oldest first
	bytes       int      // size of the pending pieces, except large ones
	hasLarge    bool
	expected    string // all text that was written
	dropped     uint64
	reported    uint64 // dropped pieces that were reported by a notice
}

// maxPending is the maximum number of pending bytes in the model test. Only large pieces are longer.
const maxPending = 200

func newWriterModel(steps *modeltest.Steps) *writerModel {
	destination := &steppedWriter{proceed: make(chan struct{}), written: make(chan struct{})}
	return &writerModel{Steps: steps, writer: NewWriter(destination, maxPending, dropNotice), destination: destination}
}

func dropNotice(pieces uint64) string { return fmt.Sprintf("lost %d\n", pieces) }

// enqueue expects that a piece is accepted if there is space, and otherwise dropped.
func (m *writerModel) enqueue(text string) bool {
	if m.bytes+len(text) > maxPending {
		m.dropped++
		return false
	}
	m.pending = append(m.pending, text)
	m.bytes += len(text)
	return true
}

func (m *writerModel) write(text string) {
	if _, err := m.writer.Write([]byte(text)); err != nil {
		m.T.Fatal(err)
	}
	m.Record("write " + text)
	dropped := m.dropped
	if dropped == m.reported {
		m.enqueue(text)
	} else if m.enqueue(dropNotice(dropped - m.reported)) {
		m.reported = dropped
		m.enqueue(text)
	}
}

func (m *writerModel) writeLarge(text string) {
	accepted := m.writer.WriteLarge([]byte(text))
	m.Record("write large")
	m.Check(accepted != m.hasLarge, "large piece accepted: %v, another pending: %v", accepted, m.hasLarge)
	if accepted {
		m.pending = append(m.pending, text)
	} else {
		m.dropped++
	}
	m.hasLarge = true
}

// finishOne allows the oldest piece to be written, and waits until the queue no longer counts it as pending.
func (m *writerModel) finishOne() {
	if len(m.pending) == 0 {
		return
	}
	m.Record("finish")
	m.destination.proceed <- struct{}{}
	<-m.destination.written
	text := m.pending[0]
	m.pending = m.pending[1:]
	m.expected += text
	if len(text) > maxPending {
		m.hasLarge = false
	} else {
		m.bytes -= len(text)
	}
	for !m.isSettled() {
	}
}

// isSettled reports whether the queue's pending tasks are those of the model.
func (m *writerModel) isSettled() bool {
	m.writer.mu.Lock()
	defer m.writer.mu.Unlock()
	return m.writer.pendingBytes == m.bytes && m.writer.hasLarge == m.hasLarge
}

// For any order of writes and ends of writes, the destination receives whole pieces in order, and the pending bytes stay within
// the bound. If pieces are dropped, a notice with their number is written before the next piece that is not dropped.
func FuzzWriter(f *testing.F) {
	modeltest.Fuzz(f, func(steps *modeltest.Steps) {
		model := newWriterModel(steps)
		for number := 0; steps.More(); number++ {
			switch steps.Pick(4) {
			case 0, 1:
				model.write(fmt.Sprintf("%d %*d\n", number, 1+steps.Pick(90), number))
			case 2:
				model.writeLarge(fmt.Sprintf("%d %*d\n", number, 2*maxPending, number))
			case 3:
				model.finishOne()
			}
			steps.Check(model.writer.Dropped() == model.dropped, "%d dropped, expected %d", model.writer.Dropped(), model.dropped)
		}
		for len(model.pending) > 0 {
			model.finishOne()
		}
		model.writer.Close(time.Minute)
		written := model.destination.text.String()
		steps.Check(written == model.expected, "wrote %q, expected %q", written, model.expected)
	})
}

// failingWriter is a writer that fails while fails is true.
type failingWriter struct{ fails bool }

func (w *failingWriter) Write(text []byte) (int, error) {
	if w.fails {
		return 0, io.ErrShortWrite
	}
	return len(text), nil
}

// TryWrite reports each failed write once, even if several fail between two calls.
func TestTryWriteReportsEachFailure(t *testing.T) {
	destination := &failingWriter{fails: true}
	writer := NewWriter(destination, maxPending, nil)
	await := func() {
		done := make(chan struct{})
		writer.Enqueue(0, func() error { close(done); return nil })
		<-done
	}
	for range 5 {
		_, _ = writer.Write([]byte("a")) // may already report some of the failures
	}
	await()
	destination.fails = false
	reported := writer.reportedFailures
	for range 10 {
		if writer.TryWrite([]byte("b")) != nil {
			reported++
		}
		await()
	}
	if reported != 5 || writer.Failed() != 5 {
		t.Errorf("%d of %d failures reported", reported, writer.Failed())
	}
}
