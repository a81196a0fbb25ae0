package scheduler

import (
	"errors"
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// A connection that ends in an iteration has its descriptor closed before the attempts of that iteration open connections.
// Otherwise the process could exceed its limit of descriptors, and an attempt would fail.
func TestDescriptorsAreClosedBeforeAttempts(t *testing.T) {
	h := newHarness(&modeltest.Steps{T: t})
	stays, fd := h.socketPair()
	h.scheduler.clients.AddConnection(fd, netip.AddrPort{})
	stays.Write([]byte(requestOfSize(1, 0)))
	leaves, leavingFD := h.socketPair()
	h.scheduler.clients.AddConnection(leavingFD, netip.AddrPort{})
	h.runIterations()
	leaves.Close()
	dial, dialed := h.scheduler.dial, false
	h.scheduler.dial = func(at netip.AddrPort) (int, error) {
		_, err := unix.FcntlInt(uintptr(leavingFD), unix.F_GETFD, 0)
		if dialed = true; !errors.Is(err, unix.EBADF) {
			t.Errorf("the descriptor of the ended connection is still open (%v)", err)
		}
		return dial(at)
	}
	h.policy.Next = append(h.policy.Next, dispatch.Send{Job: 1, Worker: h.workerNumber()})
	h.scheduler.Requests.Wake()
	if h.runOnce(); !dialed {
		t.Error("no attempt was sent")
	}
}
