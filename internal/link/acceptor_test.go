package link

import (
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/hotrestart"
	"valvecove/internal/metrics"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
	"valvecove/internal/status"
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

// A connection that waits at any other listener while accepting fails does not keep the loop busy either, and is served once it
// works again.
func TestLastingAcceptFailureBesideClients(t *testing.T) {
	listeners := map[string]func(w *harness) (listener int, connect func()){
		"operators": func(w *harness) (int, func()) {
			w.Check(w.loop.serveOperators(netip.MustParseAddrPort("127.0.0.1:0"), metrics.NewCounters(requests.NameTable{})) == nil, "not served")
			return w.loop.operators.acceptor.FD(), func() { w.connectTo(w.loop.operators.acceptor.FD()) }
		},
		"status": func(w *harness) (int, func()) {
			table := status.New(config.Status{Retention: time.Minute, MaxEntries: 1}, requests.NameTable{}, false, w.loop.Now)
			w.Check(w.loop.serveStatus(netip.MustParseAddrPort("127.0.0.1:0"), table) == nil, "not served")
			return w.loop.status.acceptor.FD(), func() { w.connectTo(w.loop.status.acceptor.FD()) }
		},
		"successor": func(w *harness) (int, func()) {
			addresses := hotrestart.SocketAddresses(w.T.TempDir(), netip.MustParseAddrPort("127.0.0.1:1"))
			w.loop.awaitSuccessor(addresses)
			return w.loop.predecessorRole.acceptor.FD(), func() {
				fd, err := w.loop.dialPredecessor(addresses)
				w.Check(err == nil, "not connected: %v", err)
				w.T.Cleanup(func() { _ = unix.Close(fd) })
			}
		},
	}
	for name, listen := range listeners {
		t.Run(name, func(t *testing.T) {
			w := newHarness(&modeltest.Steps{T: t})
			listener, connect := listen(w)
			injector := w.injectFaults(1, faultinjection.Rule{
				Calls: []eventloop.Call{eventloop.CallAccept}, Errnos: []unix.Errno{unix.ENFILE},
				Descriptor: func(descriptor int) bool { return descriptor == listener },
			})
			connect()
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
				t.Error("the connection that waits is not accepted")
			}
		})
	}
}
