package dispatch

import (
	"testing"
	"time"
)

// A late attempt is cancelled only if its job has another attempt left: else the cancellation ends the job.
func TestLastAttemptIsNotCancelled(t *testing.T) {
	for limit, wantCancelled := range map[int]bool{0: false, 1: false, 2: true} {
		settings := testSettings()
		settings.AttemptLimit = limit
		settings.Hedging = false
		s := newHarness(t, settings)
		s.workers(2)
		s.step(s.job(1, 0, 20*ms))
		if sent := taken[Send](s); len(sent) != 1 {
			t.Fatalf("limit %d: sent %v, expected one attempt", limit, sent)
		}
		s.wait(time.Second) // no notification from the worker
		if cancelled := taken[Cancel](s); (len(cancelled) > 0) != wantCancelled {
			t.Errorf("limit %d: cancelled %v, expected a cancellation: %v", limit, cancelled, wantCancelled)
		}
	}
}
