package link

import (
	"errors"
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// A burst of clients that leave is taken in whole before the iteration's sends, however many they are.
func TestBurstOfClientsGone(t *testing.T) {
	const clients = 400
	w := newHarness(&modeltest.Steps{T: t})
	w.setClientLimits(2 * clients)
	var peers []*peer
	for n := range clients {
		p, fd := w.socketPair()
		w.loop.clients.addConnection(fd, netip.AddrPort{})
		p.write([]byte(requestOfSize(n, 0)))
		peers = append(peers, p)
	}
	w.runIterations()
	if open := w.loop.Requests.OpenCount(); open != clients {
		t.Fatalf("%d requests taken", open)
	}
	for n, p := range peers {
		p.close()
		w.policy.Next = append(w.policy.Next, dispatch.Send{Job: uint64(n + 1), Worker: w.workerNumber()})
	}
	if w.runOnce(); len(w.dialed) != 0 || w.loop.Requests.OpenCount() != 0 {
		t.Errorf("%d attempts begun, %d requests open", len(w.dialed), w.loop.Requests.OpenCount())
	}
}

// A descriptor given up in an iteration is free again before that iteration's sends open others: counted twice, they would go over the
// limit, and an attempt fail for want of one.
func TestDescriptorsAreFreeBeforeTheSends(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	stays, fd := w.socketPair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	stays.write([]byte(requestOfSize(1, 0)))
	leaves, leavingFD := w.socketPair()
	w.loop.clients.addConnection(leavingFD, netip.AddrPort{})
	w.runIterations()
	leaves.close()
	dial, dialed := w.loop.dial, false
	w.loop.dial = func(at netip.AddrPort) (int, error) {
		_, err := unix.FcntlInt(uintptr(leavingFD), unix.F_GETFD, 0)
		if dialed = true; !errors.Is(err, unix.EBADF) {
			t.Errorf("the descriptor of the connection that has ended is still held (%v)", err)
		}
		return dial(at)
	}
	w.policy.Next = append(w.policy.Next, dispatch.Send{Job: 1, Worker: w.workerNumber()})
	w.loop.Requests.Wake()
	if w.runOnce(); !dialed {
		t.Error("nothing was sent")
	}
}
