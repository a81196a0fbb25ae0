package client

import (
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/hotrestart"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// sendPayout sends a request, and has a worker accept an attempt of it.
func (f *fixture) sendPayout(client *eventlooptest.Peer, n int) {
	client.Write([]byte(requestOfSize(n, 100)))
	f.runUntilIdle()
	f.sendToWorker(map[uint64]bool{})
	f.transport.started[len(f.transport.started)-1].Stage = requests.StageAccepted
}

// repeatedStatus sends a request again on a connection of its own, and returns the status line.
func (f *fixture) repeatedStatus(n int) string {
	client := f.openConnection()
	client.Write([]byte(requestOfSize(n, 100)))
	f.runUntilIdle()
	client.Read(1 << 10)
	line, _, _ := strings.Cut(string(client.Received), "\r\n")
	return line
}

// newRepeatFixture returns a fixture that remembers call IDs, and accepts TCP connections.
func newRepeatFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(&modeltest.Steps{T: t})
	f.remember()
	f.listen()
	return f
}

// remember makes the table remember the call IDs of possibly executed requests.
func (f *fixture) remember() {
	f.table.RememberExecuted(requests.ExecutedWindows([]dispatch.Class{{ClientTimeout: 5 * time.Second}}))
	f.table.SetExecutedLimit(100)
}

// Guards against a payout that runs twice: its client left while it ran, by a close or a reset, and its call ID came again, in the same
// process or in its successor. The answer is no rejection, also at a limit, as the payout may have run.
func TestPayoutIsNotAdmittedAgainAfterItsClientLeft(t *testing.T) {
	const want = "HTTP/1.1 409 Conflict"
	for name, leave := range map[string]func(client *eventlooptest.Peer){
		"close": (*eventlooptest.Peer).Close, "reset": (*eventlooptest.Peer).Reset,
	} {
		f := newRepeatFixture(t)
		client := f.connect()
		f.sendPayout(client, 1)
		leave(client)
		f.runUntilIdle()
		if f.table.OpenCount() != 0 {
			t.Fatalf("%s: the request is still open", name)
		}
		if got := f.repeatedStatus(1); got != want {
			t.Errorf("%s: the repeat got %q, expected %q", name, got, want)
		}
		f.listener.maxRequests = 0
		if got := f.repeatedStatus(1); got != want {
			t.Errorf("%s, at the limit of requests: the repeat got %q, expected %q", name, got, want)
		}
		successor := f.handOverWith((*fixture).remember, true, func(*hotrestart.ClientConnection) {})
		if got := successor.repeatedStatus(1); got != want {
			t.Errorf("%s, after a hot restart: the repeat got %q, expected %q", name, got, want)
		}
	}
}

// While no further call ID can be remembered, payouts are rejected, so that none can run twice.
func TestPayoutIsRejectedAtLimitOfRememberedIDs(t *testing.T) {
	f := newRepeatFixture(t)
	f.table.SetExecutedLimit(1)
	f.sendPayout(f.openConnection(), 1)
	if got, want := f.repeatedStatus(2), "HTTP/1.1 503 Service Unavailable"; got != want {
		t.Errorf("got %q, expected %q", got, want)
	}
}
