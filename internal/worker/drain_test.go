package worker

import (
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// An attempt is not written if its worker was listed as draining or removed, or was cordoned, before the connection was
// established, however shortly before: the process may be suspended before the write. The attempt ends as not sent.
func TestConnectionEstablishedAfterDrain(t *testing.T) {
	const connectTimeout = 500 * time.Millisecond
	changes := map[string]func(f *fixture){
		"drains": func(f *fixture) {
			f.table.UpdateEndpoints(requests.EndpointList{Endpoints: []requests.Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "draining"}}})
		},
		"removed": func(f *fixture) {
			f.table.UpdateEndpoints(requests.EndpointList{Endpoints: []requests.Endpoint{{ID: "s-0", Lifecycle: "removed"}}})
		},
		"not in a snapshot": func(f *fixture) { f.table.UpdateEndpoints(requests.EndpointList{Reset: true}) },
		"cordoned":          func(f *fixture) { f.table.SetCordoned([]string{"s-0"}) },
		"nothing":           func(*fixture) {},
	}
	for name, change := range changes {
		for _, after := range []time.Duration{0, connectTimeout - maxSuspension} {
			f := newFixture(t)
			f.pool.connectTimeout = connectTimeout
			opened := f.delayConnections()
			request := f.sendAttempt(0)
			change(f)
			f.now += after
			(*opened)[0].release()
			f.runIterations()
			(*opened)[0].Read(1 << 12)
			isSent := len((*opened)[0].Received) > 0
			if isSent != (name == "nothing") {
				t.Errorf("%s, %v before its connection was established: sent %v", name, after, isSent)
			}
			if !isSent {
				f.expect(name, request, dispatch.NotSent)
			}
		}
	}
}
