package link

import (
	"errors"
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// A burst of clients that leave is taken in whole before the turn's sends, however many they are.
func TestBurstOfClientsGone(t *testing.T) {
	const clients = 400
	w := newWorld(&modeltest.Steps{T: t})
	w.loop.clients.setLimits(2*clients, 1<<20)
	var peers []*peer
	for n := range clients {
		p, fd := w.pair()
		w.loop.clients.addConnection(fd, netip.AddrPort{})
		p.write([]byte(sized(n, 0)))
		peers = append(peers, p)
	}
	w.turn()
	if open := w.loop.Requests.OpenCount(); open != clients {
		t.Fatalf("%d queries taken", open)
	}
	for n, p := range peers {
		p.close()
		w.module.Next = append(w.module.Next, dispatch.Send{Job: uint64(n + 1), Worker: w.worker()})
	}
	if w.oneTurn(); len(w.dialed) != 0 || w.loop.Requests.OpenCount() != 0 {
		t.Errorf("%d attempts begun, %d queries open", len(w.dialed), w.loop.Requests.OpenCount())
	}
}

// A descriptor given up in a turn is free again before that turn's sends open others: counted twice, they would go over the
// limit, and an attempt fail for want of one.
func TestDescriptorsAreFreeBeforeTheSends(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	stays, fd := w.pair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	stays.write([]byte(sized(1, 0)))
	leaves, left := w.pair()
	w.loop.clients.addConnection(left, netip.AddrPort{})
	w.turn()
	leaves.close()
	dial, dialed := w.loop.dial, false
	w.loop.dial = func(at netip.AddrPort) (int, error) {
		_, err := unix.FcntlInt(uintptr(left), unix.F_GETFD, 0)
		if dialed = true; !errors.Is(err, unix.EBADF) {
			t.Errorf("the descriptor of the link that has ended is still held (%v)", err)
		}
		return dial(at)
	}
	w.module.Next = append(w.module.Next, dispatch.Send{Job: 1, Worker: w.worker()})
	w.loop.Requests.Wake()
	if w.oneTurn(); !dialed {
		t.Error("nothing was sent")
	}
}
