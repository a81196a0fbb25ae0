package link

import (
	"net/netip"
	"slices"
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

// awaitConnections runs the loop until so many clients are connected, for so long at most.
func (w *harness) awaitConnections(want int, timeout time.Duration) {
	w.T.Helper()
	for end := w.now + timeout; len(w.loop.clients.connections) < want && w.now < end; w.now += time.Millisecond {
		w.runOnce()
	}
	if len(w.loop.clients.connections) != want {
		w.T.Fatalf("%d connections, expected %d", len(w.loop.clients.connections), want)
	}
}

// Where 3 of 10 accepts fail for a moment, connections are taken in as fast as without: nearly all in the iteration in which
// they come, all within a few milliseconds, and none that was idle goes for them.
func TestMomentaryAcceptFailuresCostNothing(t *testing.T) {
	const clients = 400
	for _, errno := range []unix.Errno{unix.ECONNABORTED, unix.ENFILE, unix.ENOBUFS, unix.ENETUNREACH, unix.EPROTO, unix.EINTR} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			w := newHarness(&modeltest.Steps{T: t})
			w.listen()
			w.loop.clients.setLimits(2*clients, 1<<20)
			injector := w.injectFaults(uint64(errno), faultinjection.Rule{
				Calls: []eventloop.Call{eventloop.CallAccept}, Share: 0.3, Errnos: []unix.Errno{errno},
			})
			atOnce := 0
			for n := range clients {
				w.connectClient()
				w.runOnce()
				if len(w.loop.clients.connections) == n+1 {
					atOnce++
				}
				w.awaitConnections(n+1, 20*time.Millisecond)
			}
			if injector.Injected(eventloop.CallAccept) < clients/4 || atOnce < clients*95/100 || w.loop.clients.evicted.Len() != 0 {
				t.Errorf("%d accepts failed, %d of %d connections were taken in at once, %d evicted",
					injector.Injected(eventloop.CallAccept), atOnce, clients, w.loop.clients.evicted.Len())
			}
		})
	}
}

// While accepting fails, a connection that waits does not keep the loop busy, and only a want of descriptors costs an idle
// connection. Once it works again, what waits is served soon.
func TestLastingAcceptFailure(t *testing.T) {
	const idle = 3
	evicting := []unix.Errno{unix.EMFILE}
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ECONNABORTED, unix.EINVAL} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			w := newHarness(&modeltest.Steps{T: t})
			w.listen()
			for range idle {
				w.connectClient()
			}
			w.runUntilQuiet()
			injector := w.injectFaults(1, faultinjection.Rule{Calls: []eventloop.Call{eventloop.CallAccept}, Errnos: []unix.Errno{errno}})
			w.connectClient()
			for range 1000 {
				w.runOnce()
				w.now += time.Millisecond
			}
			// 25 pauses of up to 50 ms, and of each the tries of one event.
			if calls := injector.Calls(eventloop.CallAccept); calls > 32*eventloop.MaxAcceptAttempts {
				t.Errorf("accept was called %d times in a second", calls)
			}
			if w.loop.clients.evicted.Len() > 0 != slices.Contains(evicting, errno) {
				t.Errorf("%d connections evicted", w.loop.clients.evicted.Len())
			}
			injector.Clear()
			accepted := injector.Calls(eventloop.CallAccept)
			w.now += eventloop.MaxAcceptBackoff
			w.runUntilQuiet()
			if injector.Calls(eventloop.CallAccept) == accepted || w.readyDescriptors() != 0 {
				t.Error("the connection that waits is not accepted")
			}
		})
	}
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
