package eventloop

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// acceptingOwner accepts one connection per event.
type acceptingOwner struct {
	acceptor *Acceptor
	events   int
	sockets  []int
	results  []AcceptResult
}

func (o *acceptingOwner) HandleEvents(uint32) {
	o.events++
	socket, _, result := o.acceptor.Accept()
	o.results = append(o.results, result)
	if result == Accepted {
		o.sockets = append(o.sockets, socket)
	}
}

func (o *acceptingOwner) HandlePanic() {}

// listenAndConnect returns the owner of an acceptor with a waiting connection.
func listenAndConnect(l *testLoop) *acceptingOwner {
	l.t.Helper()
	owner := &acceptingOwner{acceptor: NewAcceptor(l.Loop, l.Loop.log)}
	if err := owner.acceptor.Listen(netip.MustParseAddrPort("127.0.0.1:0"), owner); err != nil {
		l.t.Fatal(err)
	}
	client, err := l.Dial(owner.acceptor.Addr())
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() {
		_ = unix.Close(client)
		for _, socket := range owner.sockets {
			_ = unix.Close(socket)
		}
	})
	return owner
}

// A momentary failure is retried at once. After MaxAcceptAttempts failures the acceptor pauses, longer each time. It accepts
// again by itself once accepting works.
func TestAcceptorPausesAfterFailures(t *testing.T) {
	l := newTestLoop(t)
	owner := listenAndConnect(l)
	const failures = 2*MaxAcceptAttempts + 1
	count := l.failTimes(failures, CallAccept, unix.ENFILE)
	l.run()
	l.run()
	if *count != MaxAcceptAttempts || owner.events != 1 || owner.results[0] != AcceptFailed {
		t.Fatalf("accept was called %d times in %d events: %v", *count, owner.events, owner.results)
	}
	l.runFor(minAcceptBackoff)
	l.run()
	if *count != 2*MaxAcceptAttempts {
		t.Fatalf("accept was called %d times after the first pause", *count)
	}
	l.runFor(minAcceptBackoff)
	l.run()
	if owner.events != 2 {
		t.Fatal("the second pause is not longer than the first")
	}
	l.runFor(minAcceptBackoff)
	l.run()
	if len(owner.sockets) != 1 {
		t.Errorf("the connection is not accepted: %v", owner.results)
	}
	if lines := strings.Count(l.log.String(), "accepting failed"); lines != 1 {
		t.Errorf("%d lines logged within a second", lines)
	}
}

// If the process has no descriptor left, the acceptor pauses without a retry. Resume ends the pause.
func TestAcceptorResumes(t *testing.T) {
	l := newTestLoop(t)
	owner := listenAndConnect(l)
	count := l.failTimes(1, CallAccept, unix.EMFILE)
	l.run()
	if *count != 1 || owner.results[0] != AcceptNoDescriptor {
		t.Fatalf("accept was called %d times: %v", *count, owner.results)
	}
	owner.acceptor.Resume()
	if l.run(); len(owner.sockets) != 1 {
		t.Errorf("the connection is not accepted: %v", owner.results)
	}
	if _, _, result := owner.acceptor.Accept(); result != AcceptPending {
		t.Errorf("without a waiting connection: %v", result)
	}
}

// An acceptor whose socket is closed has neither a socket nor an address, and pausing it does nothing.
func TestAcceptorCloses(t *testing.T) {
	l := newTestLoop(t)
	acceptor := listenAndConnect(l).acceptor
	acceptor.Close()
	acceptor.Pause(time.Millisecond)
	l.runFor(time.Millisecond)
	if acceptor.FD() != NoDescriptor || acceptor.Addr().IsValid() || l.closed != 1 {
		t.Errorf("descriptor %d, address %v, %d descriptors closed", acceptor.FD(), acceptor.Addr(), l.closed)
	}
}
