package link

import (
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/hotrestart"
	"valvecove/internal/modeltest"
)

// injectFaults has rules apply to the system calls of the harness's loop from now on.
func (w *harness) injectFaults(seed uint64, rules ...faultinjection.Rule) *faultinjection.Injector {
	injector := faultinjection.New(seed, func() time.Duration { return w.now })
	for _, rule := range rules {
		injector.Add(rule)
	}
	*w.loop.Syscalls() = injector.Syscalls()
	return injector
}

// While accepting a successor fails, one that waits does not keep the loop busy, and it is accepted once accepting succeeds again.
func TestLastingAcceptFailureOfSuccessors(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	addresses := hotrestart.SocketAddresses(t.TempDir(), netip.MustParseAddrPort("127.0.0.1:1"))
	w.loop.awaitSuccessor(addresses)
	listener := w.loop.predecessorRole.acceptor.FD()
	injector := w.injectFaults(1, faultinjection.Rule{
		Calls: []eventloop.Call{eventloop.CallAccept}, Errnos: []unix.Errno{unix.ENFILE},
		Descriptor: func(descriptor int) bool { return descriptor == listener },
	})
	fd, err := w.loop.dialPredecessor(addresses)
	w.Check(err == nil, "not connected: %v", err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	for range 1000 {
		w.runOnce()
		w.now += time.Millisecond
	}
	if calls := injector.Calls(eventloop.CallAccept); calls == 0 || calls > 32*eventloop.MaxAcceptAttempts {
		t.Errorf("accept was called %d times in a second", calls)
	}
	injector.Clear()
	failed := injector.Calls(eventloop.CallAccept)
	w.now += eventloop.MaxAcceptBackoff
	w.runUntilQuiet()
	if injector.Calls(eventloop.CallAccept) == failed {
		t.Error("the successor that waits is not accepted")
	}
}
