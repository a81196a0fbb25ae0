package worker

import (
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// An attempt whose connection comes up only after its worker was said to drain, or to be gone, or was cordoned, is not written there,
// however little of the grace is over: the process may be held up before the write. Nothing is held against the worker.
func TestConnectionComesUpAfterTheDrain(t *testing.T) {
	const grace = 500 * time.Millisecond // of the settings
	changes := map[string]func(f *fixture){
		"drains": func(f *fixture) {
			f.table.UpdateEndpoints(requests.EndpointList{Endpoints: []requests.Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "draining"}}})
		},
		"removed": func(f *fixture) {
			f.table.UpdateEndpoints(requests.EndpointList{Endpoints: []requests.Endpoint{{ID: "s-0", Lifecycle: "removed"}}})
		},
		"not in a whole list": func(f *fixture) { f.table.UpdateEndpoints(requests.EndpointList{Reset: true}) },
		"cordoned":            func(f *fixture) { f.table.SetCordoned([]string{"s-0"}) },
		"nothing":             func(*fixture) {},
	}
	for name, change := range changes {
		for _, after := range []time.Duration{0, grace - longestHold} {
			f := newFixture(t)
			f.pool.connectTimeout = grace
			links := f.delayConnections()
			q := f.sendAttempt(0)
			change(f)
			f.now += after
			(*links)[0].release()
			f.runIterations()
			(*links)[0].read(1 << 12)
			isSent := len((*links)[0].received) > 0
			if isSent != (name == "nothing") {
				t.Errorf("%s, %v before its connection was up: sent %v", name, after, isSent)
			}
			if !isSent {
				f.expect(name, q, dispatch.NotSent)
			}
		}
	}
}
