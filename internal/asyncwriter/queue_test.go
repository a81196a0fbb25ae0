package asyncwriter

import (
	"testing"
	"time"
)

// A task that never ends holds up neither whoever enqueues nor, for longer than the timeout, whoever closes.
func TestStuckTaskHoldsNobodyUp(t *testing.T) {
	queue, stuck := NewQueue(10), make(chan struct{})
	defer close(stuck)
	queue.Enqueue(5, func() error { <-stuck; return nil })
	if queue.Enqueue(6, func() error { return nil }) || queue.Dropped() != 1 {
		t.Error("more is pending than allowed")
	}
	queue.Close(time.Millisecond)
	if queue.Enqueue(1, func() error { return nil }) {
		t.Error("accepted after the queue was closed")
	}
}
