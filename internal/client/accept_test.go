package client

import (
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/modeltest"
)

// awaitConnections runs the loop until a number of clients are connected, or fails the test after a timeout.
func (f *fixture) awaitConnections(want int, timeout time.Duration) {
	f.T.Helper()
	for end := f.Time + timeout; len(f.listener.connections) < want && f.Time < end; f.Time += time.Millisecond {
		f.runOnce()
	}
	if len(f.listener.connections) != want {
		f.T.Fatalf("%d connections, expected %d", len(f.listener.connections), want)
	}
}

// If 3 of 10 accepts fail momentarily, connections are accepted as fast as without failures: nearly all in the iteration in which
// they arrive, and all within 20 ms. No idle connection is evicted for them.
func TestMomentaryAcceptFailures(t *testing.T) {
	const clients = 400
	for _, errno := range []unix.Errno{unix.ECONNABORTED, unix.ENFILE, unix.ENOBUFS, unix.ENETUNREACH, unix.EPROTO, unix.EINTR} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			f := newFixture(&modeltest.Steps{T: t})
			f.listen()
			f.listener.SetLimits(testLimits(2 * clients))
			injector := f.injectFaults(uint64(errno), faultinjection.Rule{
				Calls: []eventloop.Call{eventloop.CallAccept}, Probability: 0.3, Errnos: []unix.Errno{errno},
			})
			atOnce := 0
			for n := range clients {
				f.connect()
				f.runOnce()
				if len(f.listener.connections) == n+1 {
					atOnce++
				}
				f.awaitConnections(n+1, 20*time.Millisecond)
			}
			if injector.Injected(eventloop.CallAccept) < clients/4 || atOnce < clients*95/100 || f.listener.evicted.Len() != 0 {
				t.Errorf("%d accepts failed, %d of %d connections were accepted at once, %d evicted",
					injector.Injected(eventloop.CallAccept), atOnce, clients, f.listener.evicted.Len())
			}
		})
	}
}

// While accepting fails, a waiting connection does not keep the loop busy, and only a lack of descriptors of this process evicts
// an idle connection. Once accepting works again, the waiting connection is accepted within MaxAcceptBackoff.
func TestLastingAcceptFailure(t *testing.T) {
	const idle = 3
	evicting := []unix.Errno{unix.EMFILE}
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ECONNABORTED, unix.EINVAL} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			f := newFixture(&modeltest.Steps{T: t})
			f.listen()
			for range idle {
				f.connect()
			}
			f.runUntilIdle()
			injector := f.injectFaults(1, faultinjection.Rule{Calls: []eventloop.Call{eventloop.CallAccept}, Errnos: []unix.Errno{errno}})
			f.connect()
			for range 1000 {
				f.runOnce()
				f.Time += time.Millisecond
			}
			// There are about 25 pauses of up to 50 ms, each after the tries of one event.
			if calls := injector.Calls(eventloop.CallAccept); calls > 32*eventloop.MaxAcceptAttempts {
				t.Errorf("accept was called %d times in a second", calls)
			}
			if f.listener.evicted.Len() > 0 != slices.Contains(evicting, errno) {
				t.Errorf("%d connections evicted, expected some only if this process has no descriptor left", f.listener.evicted.Len())
			}
			injector.Clear()
			failed := injector.Calls(eventloop.CallAccept)
			f.Time += eventloop.MaxAcceptBackoff
			f.runUntilIdle()
			if injector.Calls(eventloop.CallAccept) == failed || f.ReadyDescriptors() != 0 {
				t.Error("the waiting connection is not accepted")
			}
		})
	}
}
