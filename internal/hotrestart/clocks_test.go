package hotrestart

import (
	"testing"
	"time"

	"valvecove/internal/requests"
)

var clockSteps = []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour}

// The difference of two processes' clocks is found exactly, however long a message took, and as well as the message was fast
// where their monotonic clocks can't be compared.
func TestClockReadingsAheadOf(t *testing.T) {
	const took = 7 * time.Millisecond
	for _, step := range clockSteps {
		predecessor := ClockReadings{Clock: at, Monotonic: 20 * time.Hour}
		successor := ClockReadings{Clock: at + step + took, Monotonic: 20*time.Hour + took}
		if got := successor.AheadOf(predecessor); got != step {
			t.Errorf("stepped by %v: ahead by %v", step, got)
		}
		for _, other := range []time.Duration{-19 * time.Hour, 3 * time.Hour} {
			successor.Monotonic = 20*time.Hour + other
			if got := successor.AheadOf(predecessor) - step; got < 0 || got > took {
				t.Errorf("stepped by %v, in another time namespace: %v off", step, got)
			}
		}
	}
}

// Clocks that were not stepped count as the same, though their readings are some microseconds apart, and so do those of a
// build that sends none.
func TestClockReadingsAheadOfWithoutStep(t *testing.T) {
	successor := ClockReadings{Clock: at + 40*time.Microsecond, Monotonic: time.Hour}
	for _, predecessor := range []ClockReadings{{}, {Clock: at, Monotonic: time.Hour}} {
		if got := successor.AheadOf(predecessor); got != 0 {
			t.Errorf("ahead of %v by %v", predecessor, got)
		}
	}
}

// All instants that come are moved by the step, those that stand for none stay, and spans do.
func TestReceivedStateMovesInstants(t *testing.T) {
	for _, step := range clockSteps {
		var received ReceivedState
		readings := ClockReadings{Clock: at, Monotonic: time.Hour}
		received.SetClocks(TransferBegin(readings), ClockReadings{Clock: at + step, Monotonic: time.Hour})
		for _, message := range []Message{goldenRequestTable(), goldenOpenRequest(), goldenClientConnection(), goldenWorkerConnection()} {
			received.Add(message, 3)
		}
		received.Add(RequestTable{LastID: 11, PolicyTimer: at + time.Second}, NoDescriptor)
		received.Add(OpenRequest{ID: 8, Deadline: at + time.Second, ArrivedAt: at}, NoDescriptor)
		finished, err := received.Finish()
		if err != nil || finished.ClockAhead != step {
			t.Fatalf("stepped by %v: ahead by %v, %v", step, finished.ClockAhead, err)
		}
		sent := goldenOpenRequest()
		request, notSent := finished.OpenRequests[0], finished.OpenRequests[1]
		for what, moved := range map[string]time.Duration{
			"policy timer":  finished.RequestTable.PolicyTimer - (at + time.Second),
			"deadline":      request.Deadline - sent.Deadline,
			"arrival":       request.ArrivedAt - sent.ArrivedAt,
			"first attempt": request.FirstSentAt - sent.FirstSentAt,
			"attempt":       request.Attempts[0].ExpiresAt - sent.Attempts[0].ExpiresAt,
			"last activity": finished.ClientConnections[0].LastActivity - goldenClientConnection().LastActivity,
			"idle since":    finished.WorkerConnections[0].IdleSince - goldenWorkerConnection().IdleSince,
		} {
			if moved != step {
				t.Errorf("stepped by %v: %s moved by %v", step, what, moved)
			}
		}
		if notSent.FirstSentAt != 0 || request.Job.Remaining != sent.Job.Remaining ||
			finished.WorkerConnections[0].IdleBefore != goldenWorkerConnection().IdleBefore {
			t.Errorf("stepped by %v: a span has moved, or an instant that never was", step)
		}
	}
	if requests.MoveInstant(0, time.Hour) != 0 {
		t.Error("no instant was moved")
	}
}
