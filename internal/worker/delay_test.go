package worker

import (
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// An attempt whose write is delayed is written after the delay, unless it is delayed again.
func TestDelayedAttemptIsWrittenAfterTheDelay(t *testing.T) {
	const delay = 10 * time.Millisecond
	f := newFixture(t)
	delays := []time.Duration{delay, delay, 0}
	f.writeDelay = func(*requests.Attempt) time.Duration {
		next := delays[0]
		delays = delays[1:]
		return next
	}
	request := f.sendAttempt(0)
	remote := f.dialed[0]
	for range 2 {
		f.now += delay - time.Millisecond
		f.runIterations()
		if remote.Read(1 << 12); len(remote.Received) > 0 {
			t.Fatalf("%q was written too early", remote.Received)
		}
		f.now += time.Millisecond
		f.runIterations()
	}
	if remote.Read(1 << 12); !strings.HasPrefix(string(remote.Received), "POST /a ") || len(delays) > 0 {
		t.Errorf("the worker got %q, %d delays are left", remote.Received, len(delays))
	}
	f.expect("written", request)
}

// An attempt is not written if the check right before the write finds that its client has disconnected.
func TestAttemptEndedBeforeTheWriteIsNotWritten(t *testing.T) {
	f := newFixture(t)
	f.writeDelay = func(attempt *requests.Attempt) time.Duration {
		f.table.ClientDisconnected(attempt.Request)
		return 0
	}
	f.sendAttempt(0)
	if remote := f.dialed[0]; f.pool.openCount != 0 || len(f.pool.byAttempt) != 0 {
		t.Error("the connection is still open")
	} else if remote.Read(1 << 12); len(remote.Received) > 0 || !remote.Ended {
		t.Errorf("%q was written, expected nothing; closed %v", remote.Received, remote.Ended)
	}
}

// A connection that ends while the write is delayed ends its attempt as not executed.
func TestConnectionEndsDuringTheDelay(t *testing.T) {
	f := newFixture(t)
	f.writeDelay = func(*requests.Attempt) time.Duration { return time.Second }
	request := f.sendAttempt(0)
	f.dialed[0].Close()
	f.runIterations()
	f.expect("lost before the write", request, dispatch.ConnectFailed)
}
