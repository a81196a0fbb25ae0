package worker

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/faultinjection"
)

// failDials makes the next dials, a number of times, fail with an errno of a call.
func (f *fixture) failDials(times int, call eventloop.Call, errno unix.Errno) {
	dial := f.dial
	f.dial = func(address netip.AddrPort) (int, error) {
		if times > 0 {
			times--
			return eventloop.NoDescriptor, fmt.Errorf("dial: %w", eventloop.NewCallError(call, errno))
		}
		return dial(address)
	}
}

// localShortages are the errors of a dial that mean a lack of local resources.
var localShortages = []struct {
	call  eventloop.Call
	errno unix.Errno
}{
	{eventloop.CallSocket, unix.EMFILE},
	{eventloop.CallSocket, unix.ENFILE},
	{eventloop.CallSocket, unix.ENOBUFS},
	{eventloop.CallSocket, unix.ENOMEM},
	{eventloop.CallConnect, unix.EADDRNOTAVAIL},
	{eventloop.CallConnect, unix.EAGAIN},
	{eventloop.CallConnect, unix.ENETUNREACH},
	{eventloop.CallConnect, unix.ENOBUFS},
}

// An attempt waits during a brief lack of local resources, and is then sent.
func TestDialIsRetriedAfterShortage(t *testing.T) {
	for _, shortage := range localShortages {
		t.Run(fmt.Sprint(shortage.call, " ", unix.ErrnoName(shortage.errno)), func(t *testing.T) {
			f := newFixture(t)
			f.failDials(4, shortage.call, shortage.errno)
			request := f.sendAttempt(0)
			for range 20 {
				f.now += time.Millisecond
				f.runIterations()
			}
			f.expect("in flight", request)
			if len(f.dialed) != 1 {
				t.Fatalf("%d connections were opened, expected 1", len(f.dialed))
			}
			if f.dialed[0].Read(1 << 12); !strings.HasPrefix(string(f.dialed[0].Received), "POST /a ") {
				t.Errorf("the worker got %q, expected the attempt", f.dialed[0].Received)
			}
		})
	}
}

// An attempt that can't be sent for lack of local resources ends as not sent within the connect timeout, so that the policy can
// start another one. Its dial is retried with exponential backoff.
func TestDialFailsAfterLastingShortage(t *testing.T) {
	for _, shortage := range localShortages {
		t.Run(fmt.Sprint(shortage.call, " ", unix.ErrnoName(shortage.errno)), func(t *testing.T) {
			f := newFixture(t)
			dials := 0
			f.dial = func(netip.AddrPort) (int, error) {
				dials++
				return eventloop.NoDescriptor, eventloop.NewCallError(shortage.call, shortage.errno)
			}
			request := f.sendAttempt(0)
			for range f.pool.connectTimeout / time.Millisecond {
				f.now += time.Millisecond
				f.runIterations()
			}
			f.expect("not sent in time", request, dispatch.NotSent)
			if dials < 4 || dials > 10 {
				t.Errorf("%d dials, expected 4 to 10", dials)
			}
		})
	}
}

// At the limit of connections an attempt waits, and is sent once a connection may be opened.
func TestDialWaitsForDescriptor(t *testing.T) {
	f := newFixture(t)
	limit := f.pool.maxConnections
	f.pool.SetMaxConnections(0)
	request := f.sendAttempt(0)
	f.expect("waiting", request)
	f.pool.SetMaxConnections(limit)
	f.now += minDialBackoff
	f.runIterations()
	if len(f.dialed) != 1 {
		t.Errorf("%d connections were opened, expected 1", len(f.dialed))
	}
	f.expect("in flight", request)
}

// A connection error caused by the worker or the network is reported at once as a failure to connect, whether connect or SO_ERROR
// returns it.
func TestDialFailureOfWorker(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ETIMEDOUT, unix.EACCES} {
		f := newFixture(t)
		f.failDials(1, eventloop.CallConnect, errno)
		f.expect(errno.Error(), f.sendAttempt(0), dispatch.ConnectFailed)
	}
	for _, errno := range []unix.Errno{unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ETIMEDOUT, unix.ENETUNREACH} {
		f := newFixture(t)
		f.injectFaults(faultinjection.Rule{Calls: []eventloop.Call{eventloop.CallGetOption}, Errnos: []unix.Errno{errno}})
		f.expect("SO_ERROR, "+errno.Error(), f.sendAttempt(0), dispatch.ConnectFailed)
	}
}

// While a DELETE can't be sent for lack of local resources, its attempt stays in flight. The DELETE is sent later.
func TestCancelIsSentAfterShortage(t *testing.T) {
	f := newFixture(t)
	request := f.acceptedAttempt()
	f.failDials(100, eventloop.CallSocket, unix.ENFILE)
	f.runActions(dispatch.Cancel{Job: request.ID})
	for range 2000 {
		f.now += time.Millisecond
		f.runIterations()
	}
	f.expect("not sent yet", request)
	if remote := f.dialed[len(f.dialed)-1]; !remote.hasDelete(request) {
		t.Error("the DELETE is not sent after the shortage")
	}
}

// An attempt that waits to dial is not transferred: it ends as not sent, and the policy may start it again.
func TestWaitingDialsEndBeforeTransfer(t *testing.T) {
	f := newFixture(t)
	f.failDials(1, eventloop.CallSocket, unix.ENFILE)
	request := f.sendAttempt(0)
	if !f.pool.HasWaitingDials() {
		t.Fatal("no dial waits")
	}
	f.pool.EndWaitingDials()
	f.runIterations()
	f.expect("ended", request, dispatch.NotSent)
	if f.pool.HasWaitingDials() {
		t.Error("a dial still waits")
	}
}
