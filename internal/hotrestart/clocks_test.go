package hotrestart

import (
	"testing"
	"time"

	"valvecove/internal/requests"
)

// clockSteps are changes of the wall clock between the starts of two processes.
var clockSteps = []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour}

// The difference between the clocks of two processes is exact, however long the message took. If their monotonic clocks can't be
// compared, the error is at most the time that the message took.
func TestClockReadingsAheadOf(t *testing.T) {
	const took = 7 * time.Millisecond
	for _, step := range clockSteps {
		predecessor := ClockReadings{Clock: goldenTime, Monotonic: 20 * time.Hour}
		successor := ClockReadings{Clock: goldenTime + step + took, Monotonic: 20*time.Hour + took}
		if got := successor.AheadOf(predecessor); got != step {
			t.Errorf("stepped by %v: ahead by %v", step, got)
		}
		for _, other := range []time.Duration{-19 * time.Hour, 3 * time.Hour} {
			successor.Monotonic = 20*time.Hour + other
			if got := successor.AheadOf(predecessor) - step; got < 0 || got > took {
				t.Errorf("stepped by %v, in another time namespace: error of %v", step, got)
			}
		}
	}
}

// The difference is 0 if the clock was not stepped, although the readings are some microseconds apart, and if the predecessor's
// build sends no readings.
func TestClockReadingsAheadOfWithoutStep(t *testing.T) {
	successor := ClockReadings{Clock: goldenTime + 40*time.Microsecond, Monotonic: time.Hour}
	for _, predecessor := range []ClockReadings{{}, {Clock: goldenTime, Monotonic: time.Hour}} {
		if got := successor.AheadOf(predecessor); got != 0 {
			t.Errorf("ahead of %v by %v, expected 0", predecessor, got)
		}
	}
}

// All instants are moved by the step. An instant of 0, which means that there is none, and durations are not changed.
func TestReceivedStateMovesInstants(t *testing.T) {
	for _, step := range clockSteps {
		var received ReceivedState
		readings := ClockReadings{Clock: goldenTime, Monotonic: time.Hour}
		received.SetClocks(TransferBegin(readings), ClockReadings{Clock: goldenTime + step, Monotonic: time.Hour})
		for _, message := range []Message{goldenRequestTable(), goldenOpenRequest(), goldenArrivalsConnection(), goldenPartlyWritten()} {
			received.Add(message, 3)
		}
		received.Add(RequestTable{LastID: 11, PolicyTimer: goldenTime + time.Second}, NoDescriptor)
		received.Add(OpenRequest{ID: 8, Deadline: goldenTime + time.Second, ArrivedAt: goldenTime}, NoDescriptor)
		finished, err := received.Finish()
		if err != nil || finished.ClockAhead != step {
			t.Fatalf("stepped by %v: ahead by %v, %v", step, finished.ClockAhead, err)
		}
		sent := goldenOpenRequest()
		request, notSent := finished.OpenRequests[0], finished.OpenRequests[1]
		for what, moved := range map[string]time.Duration{
			"policy timer":   finished.RequestTable.PolicyTimer - (goldenTime + time.Second),
			"deadline":       request.Deadline - sent.Deadline,
			"arrival":        request.ArrivedAt - sent.ArrivedAt,
			"first attempt":  request.FirstSentAt - sent.FirstSentAt,
			"attempt":        request.Attempts[0].ExpiresAt - sent.Attempts[0].ExpiresAt,
			"last activity":  finished.ClientConnections[0].LastActivity - goldenClientConnection().LastActivity,
			"input arrival":  finished.ClientConnections[0].InputArrivals[0].At - goldenArrivalsConnection().InputArrivals[0].At,
			"write deadline": finished.WorkerConnections[0].WriteDeadline - goldenPartlyWritten().WriteDeadline,
			"idle since":     finished.WorkerConnections[0].IdleSince - goldenWorkerConnection().IdleSince,
		} {
			if moved != step {
				t.Errorf("stepped by %v: %s moved by %v", step, what, moved)
			}
		}
		if notSent.FirstSentAt != 0 || request.Job.Remaining != sent.Job.Remaining ||
			finished.WorkerConnections[0].IdleBefore != goldenWorkerConnection().IdleBefore {
			t.Errorf("stepped by %v: a duration, or an instant of 0, was changed", step)
		}
	}
	if requests.ShiftInstant(0, time.Hour) != 0 {
		t.Error("an instant of 0 was changed")
	}
}
