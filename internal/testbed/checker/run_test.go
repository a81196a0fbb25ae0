package checker

import (
	"fmt"
	"testing"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/simulation"
	"valvecove/internal/testbed/trace"
)

// TestWorkerPlacement checks that the checker assigns workers to cells and zones as the environment does.
func TestWorkerPlacement(t *testing.T) {
	spec := scenario.Default()
	spec.Fleet.Workers = 23
	spec.Fleet.Zones = []string{"a", "b", "c"}
	spec.Fleet.CellSize = 3
	cells, zones := spec.WorkerPlacement()
	listed := 0
	checkStart := func(_ time.Duration, inputs []simapi.Input, _ []simapi.Output) {
		for _, input := range inputs {
			start, ok := input.Message.(simapi.Start)
			if !ok {
				continue
			}
			for _, endpoint := range start.KnownEndpoints.Endpoints {
				n, _ := scenario.WorkerIndex(endpoint.ID, spec.Fleet.Workers)
				if listed++; cells[n] != endpoint.Cell || spec.Fleet.Zones[zones[n]] != endpoint.Zone {
					t.Errorf("%s is in cell %d of zone %s, the checker has cell %d of zone %d",
						endpoint.ID, endpoint.Cell, endpoint.Zone, cells[n], zones[n])
				}
			}
		}
	}
	if _, err := simulation.Run(spec, 1, simulation.Options{Trace: checkStart, Until: time.Second}); err != nil || listed < 20 {
		t.Errorf("%d workers were listed, %v", listed, err)
	}
}

// BenchmarkObserve measures the cost of a request with all its trace events, among 256 in flight.
func BenchmarkObserve(b *testing.B) {
	const inFlight = 256
	events := []trace.Event{
		{Kind: trace.JobDue, Deadline: 5 * time.Second},
		{Kind: trace.RequestSent, Budget: 5 * time.Second},
		{Kind: trace.AttemptReceived},
		{Kind: trace.AttemptAccepted},
		{Kind: trace.AttemptStarted},
		{Kind: trace.CallbackAnswered, Text: "started", Status: 204},
		{Kind: trace.AttemptFinished, Status: 200, Text: "r"},
		{Kind: trace.CallbackAnswered, Text: "done", Status: 204},
		{Kind: trace.ResponseReceived, Status: 200, Text: "r"},
		{Kind: trace.JobSettled, Status: 200},
	}
	requestIDs := make([]string, b.N+inFlight)
	for i := range requestIDs {
		requestIDs[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
	}
	checker := New(scenario.Default(), Options{})
	now := time.Duration(0)
	b.ResetTimer()
	for n := 0; n < b.N; n += inFlight {
		for i := range events {
			event := &events[i]
			for k := n; k < n+inFlight; k++ {
				now += 5 * time.Microsecond
				event.At = now
				event.FirstByteAt = now
				event.JobID = uint64(k + 1)
				event.RequestID = requestIDs[k]
				event.Conn = uint64(k % inFlight)
				event.Worker = k % 100
				checker.Observe(event)
			}
		}
	}
	if violations := checker.Verdict().Violations; len(violations) > 0 {
		b.Fatal(violations[0])
	}
}
