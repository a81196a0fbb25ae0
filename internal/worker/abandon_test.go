package worker

import (
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

// startSending starts an attempt of request "q" at each listed worker. A large request is written in part; a small one is not
// written yet.
func (f *fixture) startSending(size int) *requests.Request {
	f.tb.Helper()
	request, err := f.table.Admit(f.now, requests.Arrival{
		CallID: "q", Job: dispatch.Job{Remaining: 5 * time.Second},
		Payload: requests.Payload{Method: "POST", Path: "/a", Body: make([]byte, size)}, Responder: noResponder{},
	})
	if err != nil {
		f.tb.Fatal(err)
	}
	var listed []dispatch.Worker
	for _, e := range f.policy.Received {
		if list, ok := e.(dispatch.WorkerList); ok {
			listed = list.Workers
		}
	}
	for _, worker := range listed {
		f.policy.Next = append(f.policy.Next, dispatch.Send{Job: request.ID, Worker: worker.ID})
	}
	f.table.Step(f.now)
	if size > 0 {
		f.runIterations()
	}
	return request
}

// expectNeverComplete checks that no worker receives a complete request, and that the connections are closed.
func (f *fixture) expectNeverComplete() {
	f.tb.Helper()
	for i, remote := range f.dialed {
		for range 64 {
			f.runIterations()
			remote.Read(1 << 20)
		}
		m := http1.Request{}
		if _, err := m.Parse(remote.Received); err == nil || !remote.Ended {
			f.tb.Errorf("connection %d: %d bytes received, complete %v, closed %v", i, len(remote.Received), err == nil, remote.Ended)
		}
	}
	if len(f.dialed) == 0 || len(f.pool.byAttempt) != 0 || f.pool.openCount != 0 {
		f.tb.Errorf("%d connections were opened, %d are still open", len(f.dialed), f.pool.openCount)
	}
}

// A late callback about an earlier attempt at the same worker ends the attempt that is being sent. The rest of that is not
// written, so the worker never receives all of it.
func TestLateCallbackStopsWrite(t *testing.T) {
	for name, size := range map[string]int{"connecting": 0, "partly written": http1.MaxBodySize} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.startSending(size)
			known, err := f.table.HandleCallback(requests.Callback{CallID: "q", EndpointID: "s-0", State: "returned"})
			if !known || err != nil {
				t.Fatalf("the callback is known: %v, error %v", known, err)
			}
			f.expectNeverComplete()
		})
	}
}

// The rest of an attempt is not written once its request has ended, whether the connection is still connecting or the attempt is
// partly written, and however the request has ended.
func TestEndedRequestIsNotWritten(t *testing.T) {
	result := "r"
	ends := map[string]func(f *fixture, request *requests.Request){
		"client disconnected": func(f *fixture, request *requests.Request) { f.table.ClientDisconnected(request) },
		"served by another attempt": func(f *fixture, _ *requests.Request) {
			if known, err := f.table.HandleCallback(requests.Callback{CallID: "q", EndpointID: "s-1", State: "done", Result: &result}); !known || err != nil {
				t.Errorf("the callback is known: %v, error %v", known, err)
			}
		},
		"rejected": func(f *fixture, request *requests.Request) {
			f.policy.Next = append(f.policy.Next, dispatch.Reject{Job: request.ID})
			f.table.Wake()
			f.table.Step(f.now)
		},
		"table closed": func(f *fixture, _ *requests.Request) { f.table.CloseSince(0) },
	}
	for name, end := range ends {
		for stage, size := range map[string]int{"connecting": 0, "partly written": http1.MaxBodySize} {
			t.Run(name+", "+stage, func(t *testing.T) {
				f := newFixture(t)
				f.table.UpdateEndpoints(requests.EndpointList{Reset: true, Endpoints: []requests.Endpoint{
					{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"},
					{ID: "s-1", Addr: "127.0.0.1:2", Lifecycle: "up"},
				}})
				f.runIterations()
				end(f, f.startSending(size))
				f.expectNeverComplete()
			})
		}
	}
}
