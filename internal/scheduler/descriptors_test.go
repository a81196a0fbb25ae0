package scheduler

import (
	"errors"
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// A descriptor given up in an iteration is free again before that iteration's sends open others: counted twice, they would go over the
// limit, and an attempt fail for want of one.
func TestDescriptorsAreFreeBeforeTheSends(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	stays, fd := w.socketPair()
	w.scheduler.clients.AddConnection(fd, netip.AddrPort{})
	stays.write([]byte(requestOfSize(1, 0)))
	leaves, leavingFD := w.socketPair()
	w.scheduler.clients.AddConnection(leavingFD, netip.AddrPort{})
	w.runIterations()
	leaves.close()
	dial, dialed := w.scheduler.dial, false
	w.scheduler.dial = func(at netip.AddrPort) (int, error) {
		_, err := unix.FcntlInt(uintptr(leavingFD), unix.F_GETFD, 0)
		if dialed = true; !errors.Is(err, unix.EBADF) {
			t.Errorf("the descriptor of the connection that has ended is still held (%v)", err)
		}
		return dial(at)
	}
	w.policy.Next = append(w.policy.Next, dispatch.Send{Job: 1, Worker: w.workerNumber()})
	w.scheduler.Requests.Wake()
	if w.runOnce(); !dialed {
		t.Error("nothing was sent")
	}
}
