package asyncwriter

import (
	"testing"
	"time"
)

// A task that never ends does not block Enqueue, and blocks Close only until the timeout.
func TestBlockedTaskDoesNotBlockCallers(t *testing.T) {
	queue, stuck := NewQueue(10), make(chan struct{})
	defer close(stuck)
	queue.Enqueue(5, func() error { <-stuck; return nil })
	if queue.Enqueue(6, func() error { return nil }) || queue.Dropped() != 1 {
		t.Error("a task was accepted beyond the bound, or not counted as dropped")
	}
	queue.Close(time.Millisecond)
	if queue.Enqueue(1, func() error { return nil }) {
		t.Error("a task was accepted after the queue was closed")
	}
}
