package worker

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/faultinjection"
)

// failTransfers makes reads and writes of one descriptor fail.
func (f *fixture) failTransfers(fd int, errno unix.Errno) {
	f.injectFaults(faultinjection.Rule{
		Calls: []eventloop.Call{
			eventloop.CallRead, eventloop.CallReceive, eventloop.CallReceiveMessage, eventloop.CallWrite, eventloop.CallSendMessage,
		},
		Descriptor: func(descriptor int) bool { return descriptor == fd },
		Errnos:     []unix.Errno{errno},
	})
}

// connectionErrnos are errnos that a read or write of a broken connection may return.
var connectionErrnos = []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EPIPE}

// A connection that breaks after the last byte was written ends its attempt as possibly executed, whatever the errno.
func TestWorkerConnectionBreaksWithAnyErrno(t *testing.T) {
	for _, errno := range connectionErrnos {
		f := newFixture(t)
		request := f.sendAttempt(0)
		for _, connection := range f.pool.byAttempt {
			f.failTransfers(connection.FD(), errno)
		}
		f.dialed[0].Write([]byte("HTTP/1.1 202"))
		f.runIterations()
		f.expect(errno.Error(), request, dispatch.ConnectionReset)
	}
}

// The time budget of a request that is written late for lack of memory is the time that remains at the write.
func TestBudgetOfRequestWrittenLate(t *testing.T) {
	const late = 120 * time.Millisecond
	f := newFixture(t)
	injector := f.injectFaults(faultinjection.Rule{Calls: []eventloop.Call{eventloop.CallWrite}, Errnos: []unix.Errno{unix.ENOBUFS}})
	request := f.sendAttempt(0)
	for range late / time.Millisecond {
		f.now += time.Millisecond
		f.runIterations()
	}
	injector.Clear()
	for range 50 {
		f.now += time.Millisecond
		f.runIterations()
	}
	f.expect("in flight", request)
	f.dialed[0].Read(1 << 12)
	_, budget, _ := strings.Cut(string(f.dialed[0].Received), "X-Budget-Ms: ")
	budget, _, _ = strings.Cut(budget, "\r\n")
	budgetMs, err := strconv.Atoi(budget)
	if remaining := request.Deadline - f.now; err != nil || time.Duration(budgetMs)*time.Millisecond > remaining+50*time.Millisecond {
		t.Errorf("budget %q, remaining %v: %v", budget, remaining, err)
	}
}

// A request that is never written for lack of memory ends as not sent, which is no failure of its worker.
func TestUnwrittenRequestEndsAsNotSent(t *testing.T) {
	f := newFixture(t)
	f.injectFaults(faultinjection.Rule{Calls: []eventloop.Call{eventloop.CallWrite}, Errnos: []unix.Errno{unix.ENOMEM}})
	request := f.sendAttempt(0)
	for range f.pool.connectTimeout/time.Millisecond + 1 {
		f.now += time.Millisecond
		f.runIterations()
	}
	f.expect("not sent in time", request, dispatch.NotSent)
}

// If memory is lacking after a part of a small request was written, the rest is written within budgetMargin or never. In the
// latter case the request ends as not sent: the worker can't execute it, and did not fail.
func TestPartlyWrittenRequestEndsAsNotSent(t *testing.T) {
	f := newFixture(t)
	f.injectFaults(
		faultinjection.Rule{Calls: []eventloop.Call{eventloop.CallWrite}, Times: 1, MaxLength: 10},
		faultinjection.Rule{Calls: []eventloop.Call{eventloop.CallWrite}, Errnos: []unix.Errno{unix.ENOBUFS}},
	)
	request := f.sendAttempt(0)
	for range budgetMargin/time.Millisecond - 1 {
		f.now += time.Millisecond
		f.runIterations()
	}
	f.expect("waiting", request)
	f.now += 2 * time.Millisecond
	f.runIterations()
	f.expect("not sent in time", request, dispatch.NotSent)
}
