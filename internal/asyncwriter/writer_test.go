package asyncwriter

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"valvecove/internal/modeltest"
)

// steppedWriter takes a piece each time it is let to.
type steppedWriter struct {
	proceed chan struct{}
	written chan struct{}
	text    bytes.Buffer
}

func (w *steppedWriter) Write(text []byte) (int, error) {
	<-w.proceed
	w.text.Write(text)
	w.written <- struct{}{}
	return len(text), nil
}

// writerModel is a writer, and what is expected of it.
type writerModel struct {
	*modeltest.Steps
	writer      *Writer
	destination *steppedWriter
	pending     []string // not written yet, oldest first
	bytes       int      // of those, large ones aside
	hasLarge    bool
	expected    string // all that was written
	dropped     uint64
	reported    uint64 // dropped pieces that a notice counts
}

// maxPending bounds the bytes that wait in the model test. Only large pieces are longer.
const maxPending = 200

func newWriterModel(steps *modeltest.Steps) *writerModel {
	destination := &steppedWriter{proceed: make(chan struct{}), written: make(chan struct{})}
	return &writerModel{Steps: steps, writer: NewWriter(destination, maxPending, dropNotice), destination: destination}
}

func dropNotice(pieces uint64) string { return fmt.Sprintf("lost %d\n", pieces) }

// enqueue expects a piece to be accepted if there is room, and else to be dropped.
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

// finishOne lets the oldest piece be written, and waits until the queue has counted it.
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

// isSettled reports whether the queue counts as pending what the model does.
func (m *writerModel) isSettled() bool {
	m.writer.mu.Lock()
	defer m.writer.mu.Unlock()
	return m.writer.pendingBytes == m.bytes && m.writer.hasLarge == m.hasLarge
}

// Whatever is written, and whenever the destination takes it: it gets whole pieces in order, no more than allowed is
// pending, and dropped pieces are counted in a notice before the next one that is not dropped.
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

// failingWriter fails for as long as it is set to.
type failingWriter struct{ fails bool }

func (w *failingWriter) Write(text []byte) (int, error) {
	if w.fails {
		return 0, io.ErrShortWrite
	}
	return len(text), nil
}

// Each text that could not be written is reported once, also when several fail between two calls.
func TestTryWriteReportsEachFailure(t *testing.T) {
	destination := &failingWriter{fails: true}
	writer := NewWriter(destination, maxPending, nil)
	await := func() {
		done := make(chan struct{})
		writer.Enqueue(0, func() error { close(done); return nil })
		<-done
	}
	for range 5 {
		_, _ = writer.Write([]byte("a")) // reports at most the failures before it
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
