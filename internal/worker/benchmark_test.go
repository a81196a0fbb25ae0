package worker

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// BenchmarkExchange measures an attempt from its admission to the callback with its result, on a connection that is reused.
func BenchmarkExchange(b *testing.B) {
	f := newFixture(b)
	worker := f.workerNumber()
	result := "r"
	buffer := make([]byte, 1<<12)
	response := []byte(acceptedResponse)
	payload := requests.Payload{Method: "POST", Path: "/a", Body: make([]byte, 100)}
	exchange := func() {
		f.now += reuseDelay
		f.policy.Received = f.policy.Received[:0]
		request, err := f.table.Admit(f.now, requests.Arrival{
			CallID: "q", Job: dispatch.Job{Remaining: 5 * time.Second}, Payload: payload, Responder: noResponder{},
		})
		if err != nil {
			b.Fatal(err)
		}
		f.policy.Next = append(f.policy.Next, dispatch.Send{Job: request.ID, Worker: worker})
		f.runOnce()
		remote := f.dialed[len(f.dialed)-1].FD
		if len(f.pool.endpoints[worker].idle) > 0 {
			b.Fatal("the request was not sent")
		}
		if f.pool.byAttempt[f.table.InFlightAttempt(request.ID, 0)].state == stateConnecting {
			f.runOnce()
		}
		if _, err := unix.Read(remote, buffer); err != nil {
			b.Fatal(err)
		}
		if _, err := unix.Write(remote, response); err != nil {
			b.Fatal(err)
		}
		f.runOnce()
		if _, err := f.table.HandleCallback(requests.Callback{CallID: "q", EndpointID: "s-0", State: requests.CallbackDone, Result: &result}); err != nil {
			b.Fatal(err)
		}
		f.runOnce()
	}
	exchange() // opens the connection
	b.ReportAllocs()
	for b.Loop() {
		exchange()
	}
	if len(f.dialed) != 1 {
		b.Errorf("%d connections were opened, expected 1", len(f.dialed))
	}
}
