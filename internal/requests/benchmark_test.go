package requests

import (
	"log/slog"
	"testing"
	"time"

	"valvecove/dispatch"
)

// sendingPolicy sends each job to one worker immediately.
type sendingPolicy struct{ worker uint64 }

func (s sendingPolicy) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, event := range events {
		if job, isJob := event.(dispatch.Job); isJob {
			dst = append(dst, dispatch.Send{Job: job.ID, Worker: s.worker})
		}
	}
	return dst
}

// acceptingTransport sets each attempt to accepted when it starts.
type acceptingTransport struct{ *recordingTransport }

func (acceptingTransport) Start(attempt *Attempt) { attempt.Stage = StageAccepted }

// BenchmarkRequest measures a request from its admission to the callback with its result, without connections.
func BenchmarkRequest(b *testing.B) {
	newPolicy := func() Policy { return sendingPolicy{worker: hashID("s-0")} }
	transport := acceptingTransport{newRecordingTransport()}
	table := New(4, NameTable{Classes: []string{"a"}}, newPolicy, endpointRange(0, 1), transport, slog.New(slog.DiscardHandler))
	responder := &countingResponder{}
	result := "r"
	callback := Callback{CallID: "c", EndpointID: "s-0", State: CallbackDone, Result: &result}
	now := time.Hour
	requestCount := 0
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		requestCount++
		arrival := Arrival{CallID: "c", Job: dispatch.Job{Remaining: time.Second}, Responder: responder}
		if _, err := table.Admit(now, arrival); err != nil {
			b.Fatal(err)
		}
		table.Step(now)
		if known, err := table.HandleCallback(callback); !known || err != nil {
			b.Fatal("the attempt was not started: ", err)
		}
		table.Step(now)
	}
	if responder.results != requestCount || table.OpenCount() != 0 {
		b.Errorf("%d results of %d requests, %d open", responder.results, requestCount, table.OpenCount())
	}
}
