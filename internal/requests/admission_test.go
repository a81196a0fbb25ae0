package requests

import (
	"log/slog"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/steps"
)

// Queries wait for the first news of the host group, and the module hears of all of them in one step then, with the time that
// each has left; it hears of them in time for their deadlines, once the news can't be had, and once it has been waited for long
// enough. Nothing is sent by a list that may be old until then.
func TestAdmit_WaitsForFirstEndpointList(t *testing.T) {
	group := EndpointList{Reset: true, Revision: 2, Endpoints: []Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}
	for name, c := range map[string]struct {
		left time.Duration
		news func(l *Table)
		at   time.Duration // the module hears of it
	}{
		"a list":        {5 * time.Second, func(l *Table) { l.UpdateEndpoints(group) }, 300 * time.Millisecond},
		"no list":       {5 * time.Second, func(l *Table) { l.DiscoveryFailed() }, 300 * time.Millisecond},
		"nothing":       {5 * time.Second, func(*Table) {}, time.Second},
		"deadline":      {800 * time.Millisecond, func(*Table) {}, 700 * time.Millisecond},
		"hardly a time": {50 * time.Millisecond, func(*Table) {}, 1},
	} {
		module := &steps.Script{}
		l := New(4, NameTable{}, func() Policy { return module }, group, &recordingTransport{abandoned: map[*Attempt]bool{}}, slog.New(slog.DiscardHandler))
		l.AwaitEndpoints(time.Second)
		if _, err := l.Admit(0, Arrival{CallID: "c", Job: dispatch.Job{Remaining: c.left}, Responder: &countingResponder{}}); err != nil {
			t.Fatal(err)
		}
		heard := time.Duration(0)
		for tick := time.Duration(0); tick <= 10 && heard == 0; tick++ {
			now := max(1, tick*100*time.Millisecond)
			if tick == 3 {
				c.news(l)
			}
			if at, ok := l.NextStep(); ok && at <= now {
				l.Step(now)
			}
			for _, e := range module.Heard {
				if j, ok := e.(dispatch.Job); ok {
					if heard = now; j.Remaining != c.left-now {
						t.Errorf("%s: %v left at %v, of %v", name, j.Remaining, now, c.left)
					}
				}
			}
		}
		if heard != c.at {
			t.Errorf("%s: heard at %v, expected %v", name, heard, c.at)
		}
	}
}
