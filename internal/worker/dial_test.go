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

// failDials has the next dials fail, so many of them, with an errno of a call.
func (f *fixture) failDials(times int, call eventloop.Call, errno unix.Errno) {
	dial := f.dial
	f.dial = func(at netip.AddrPort) (int, error) {
		if times > 0 {
			times--
			return eventloop.NoDescriptor, fmt.Errorf("dial: %w", eventloop.NewCallError(call, errno))
		}
		return dial(at)
	}
}

// localShortages are the errors of a dial that are this machine's.
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

// An attempt waits for what this machine lacks for a moment, and is then sent.
func TestDialWaitsOutAMomentaryShortage(t *testing.T) {
	for _, shortage := range localShortages {
		t.Run(fmt.Sprint(shortage.call, " ", unix.ErrnoName(shortage.errno)), func(t *testing.T) {
			f := newFixture(t)
			f.failDials(4, shortage.call, shortage.errno)
			q := f.sendAttempt(0)
			for range 20 {
				f.now += time.Millisecond
				f.runIterations()
			}
			f.expect("it is under way", q)
			if len(f.dialed) != 1 {
				t.Fatalf("%d connections", len(f.dialed))
			}
			if f.dialed[0].read(1 << 12); !strings.HasPrefix(string(f.dialed[0].received), "POST /a ") {
				t.Errorf("the worker got %q", f.dialed[0].received)
			}
		})
	}
}

// One that can't be sent for long ends as never sent, which is no mark against its worker, and in time for another one; it
// does not keep the loop busy meanwhile.
func TestDialGivesUpALastingShortage(t *testing.T) {
	for _, shortage := range localShortages {
		t.Run(fmt.Sprint(shortage.call, " ", unix.ErrnoName(shortage.errno)), func(t *testing.T) {
			f := newFixture(t)
			dials := 0
			f.dial = func(netip.AddrPort) (int, error) {
				dials++
				return eventloop.NoDescriptor, eventloop.NewCallError(shortage.call, shortage.errno)
			}
			q := f.sendAttempt(0)
			for range f.pool.connectTimeout / time.Millisecond {
				f.now += time.Millisecond
				f.runIterations()
			}
			f.expect("given up", q, dispatch.NotSent)
			if dials < 4 || dials > 10 {
				t.Errorf("%d dials", dials)
			}
		})
	}
}

// Without a descriptor of those for workers an attempt waits as well, and gets the first that is free.
func TestDialWaitsForADescriptor(t *testing.T) {
	f := newFixture(t)
	most := f.pool.maxConnections
	f.pool.SetMaxConnections(0)
	q := f.sendAttempt(0)
	f.expect("it waits", q)
	f.pool.SetMaxConnections(most)
	f.now += minDialBackoff
	f.runIterations()
	if len(f.dialed) != 1 {
		t.Errorf("%d connections", len(f.dialed))
	}
	f.expect("it is under way", q)
}

// What is the peer's is told of the worker at once, be it that connect says so or, for one in progress, SO_ERROR.
func TestDialFailureOfTheWorker(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ETIMEDOUT, unix.EACCES} {
		f := newFixture(t)
		f.failDials(1, eventloop.CallConnect, errno)
		f.expect(errno.Error(), f.sendAttempt(0), dispatch.ConnectFailed)
	}
	for _, errno := range []unix.Errno{unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ETIMEDOUT, unix.ENETUNREACH} {
		f := newFixture(t)
		f.injectFaults(faultinjection.Rule{Calls: []eventloop.Call{eventloop.CallGetOption}, Errnos: []unix.Errno{errno}})
		f.expect("in progress, "+errno.Error(), f.sendAttempt(0), dispatch.ConnectFailed)
	}
}

// A DELETE that was never sent is no word of the worker's: the attempt runs on, and the DELETE is sent once it can be.
func TestCancelOutlastsAShortage(t *testing.T) {
	f := newFixture(t)
	q := f.acceptedAttempt()
	f.failDials(100, eventloop.CallSocket, unix.ENFILE)
	f.runActions(dispatch.Cancel{Job: q.ID})
	for range 2000 {
		f.now += time.Millisecond
		f.runIterations()
	}
	f.expect("never sent", q)
	if p := f.dialed[len(f.dialed)-1]; !p.hasDelete(q) {
		t.Error("it is not sent once it can be")
	}
}

// What has no connection yet is no part of a hand-over: it ends as never sent, for the policy to send again.
func TestWaitingDialsEndBeforeHandover(t *testing.T) {
	f := newFixture(t)
	f.failDials(1, eventloop.CallSocket, unix.ENFILE)
	q := f.sendAttempt(0)
	if !f.pool.HasWaitingDials() {
		t.Fatal("nothing waits")
	}
	f.pool.EndWaitingDials()
	f.runIterations()
	f.expect("handed back", q, dispatch.NotSent)
	if f.pool.HasWaitingDials() {
		t.Error("it still waits")
	}
}
