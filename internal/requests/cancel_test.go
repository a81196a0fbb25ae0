package requests

import (
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
)

// An accepted attempt that is withdrawn is out until its worker node is told: the module hears of no end that would have it
// send another copy, and the worker node's own word counts.
func TestCancel_EndsOnceWorkerConfirms(t *testing.T) {
	result := "r"
	note := func(state string) func(c *attemptFixture) {
		return func(c *attemptFixture) {
			_, _ = c.table.HandleCallback(Callback{CallID: "c", EndpointID: "s-0", State: state, Result: &result})
		}
	}
	for name, x := range map[string]struct {
		then func(c *attemptFixture)
		want []dispatch.Result // once that has happened
		last dispatch.Result   // at the end of the query
	}{
		"told":                  {func(c *attemptFixture) { c.transport.completeCancel(c.table, true) }, []dispatch.Result{dispatch.Cancelled}, dispatch.Cancelled},
		"not to be reached":     {func(c *attemptFixture) { c.transport.completeCancel(c.table, false) }, nil, dispatch.TimedOut},
		"nothing yet":           {func(*attemptFixture) {}, nil, dispatch.TimedOut},
		"withdrawn twice":       {func(c *attemptFixture) { c.step(3, dispatch.Cancel{Job: c.request.ID}) }, nil, dispatch.TimedOut},
		"done":                  {note("done"), []dispatch.Result{dispatch.OK}, dispatch.OK},
		"handed back unstarted": {note("returned"), []dispatch.Result{dispatch.WorkerFull}, dispatch.WorkerFull},
		"lost":                  {note("lost"), []dispatch.Result{dispatch.ConnectionReset}, dispatch.ConnectionReset},
		"its client leaves":     {func(c *attemptFixture) { c.table.ClientDisconnected(c.request) }, nil, dispatch.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			c := newAttemptFixture(t, 0)
			c.step(2, dispatch.Cancel{Job: c.request.ID})
			if got := c.results(); len(got) != 0 || len(c.transport.cancelling) != 1 || c.transport.cancelling[0] != c.first {
				t.Fatalf("withdrawn: outcomes %v, %d worker nodes to be told", got, len(c.transport.cancelling))
			}
			x.then(c)
			c.step(4)
			if got := c.results(); !slices.Equal(got, x.want) || len(c.transport.cancelling) > 1 {
				t.Errorf("outcomes %v, expected %v, %d withdrawals", got, x.want, len(c.transport.cancelling))
			}
			c.step(time.Second)
			if len(c.transport.cancelling) > 0 {
				c.transport.completeCancel(c.table, true) // too late to mean anything
			}
			if c.step(time.Second); !slices.Equal(c.results(), []dispatch.Result{x.last}) {
				t.Errorf("outcomes %v at the end, expected %v", c.results(), x.last)
			}
			if x.last == dispatch.OK && c.responder.results != 1 {
				t.Error("what was done while it was withdrawn did not serve")
			}
		})
	}
}

// One that could not be withdrawn may be later.
func TestCancel_RetriedAfterFailure(t *testing.T) {
	c := newAttemptFixture(t, 0)
	c.step(2, dispatch.Cancel{Job: c.request.ID})
	c.transport.completeCancel(c.table, false)
	c.step(3, dispatch.Cancel{Job: c.request.ID})
	if len(c.transport.cancelling) != 1 {
		t.Fatal("it is not withdrawn again")
	}
	c.transport.completeCancel(c.table, true)
	if c.step(4); !slices.Equal(c.results(), []dispatch.Result{dispatch.Cancelled}) {
		t.Errorf("outcomes %v", c.results())
	}
}

// A patience that is over before the query's time withdraws too: another copy may be sent.
func TestCancel_ByAttemptTimeout(t *testing.T) {
	c := newAttemptFixture(t, time.Millisecond)
	c.step(2 * time.Millisecond)
	if got := c.results(); len(got) != 0 || len(c.transport.cancelling) != 1 {
		t.Fatalf("outcomes %v, %d worker nodes to be told", got, len(c.transport.cancelling))
	}
	c.transport.completeCancel(c.table, true)
	if c.step(3 * time.Millisecond); !slices.Equal(c.results(), []dispatch.Result{dispatch.TimedOut}) {
		t.Errorf("outcomes %v", c.results())
	}
}

// What a process was about to tell a worker node, the one that takes over tells; until then the attempt is out there too.
func TestTakeOver_ResumesCancellation(t *testing.T) {
	c := newAttemptFixture(t, 0)
	c.step(2, dispatch.Cancel{Job: c.request.ID})
	c.takeOver(t)
	if len(c.results()) != 0 || len(c.transport.cancelling) != 1 || c.table.InFlightAttempt(c.request.ID, 0) == nil {
		t.Fatalf("outcomes %v, %d worker nodes to be told", c.results(), len(c.transport.cancelling))
	}
	c.transport.completeCancel(c.table, true)
	if c.step(6); !slices.Equal(c.results(), []dispatch.Result{dispatch.Cancelled}) {
		t.Errorf("outcomes %v", c.results())
	}
}
