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

// failTransfers has reads and writes of one descriptor fail.
func (f *fixture) failTransfers(fd int, errno unix.Errno) {
	f.injectFaults(faultinjection.Rule{
		Calls: []eventloop.Call{
			eventloop.CallRead, eventloop.CallReceive, eventloop.CallReceiveMessage, eventloop.CallWrite, eventloop.CallSendMessage,
		},
		Descriptor: func(descriptor int) bool { return descriptor == fd },
		Errnos:     []unix.Errno{errno},
	})
}

// connectionErrnos are what a broken connection may show.
var connectionErrnos = []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EPIPE}

// A connection to a worker that breaks after the last byte was written ends its attempt as possibly executed, whatever the
// errno.
func TestWorkerConnectionBreaksWithAnyErrno(t *testing.T) {
	for _, errno := range connectionErrnos {
		f := newFixture(t)
		q := f.sendAttempt(0)
		for _, connection := range f.pool.byAttempt {
			f.failTransfers(connection.FD(), errno)
		}
		f.dialed[0].write([]byte("HTTP/1.1 202"))
		f.runIterations()
		f.expect(errno.Error(), q, dispatch.ConnectionReset)
	}
}

// What a machine without memory writes late tells the worker the time that is left then, and is no mark against it.
func TestRequestWrittenLateTellsTheTimeLeft(t *testing.T) {
	const late = 120 * time.Millisecond
	f := newFixture(t)
	injector := f.injectFaults(faultinjection.Rule{Calls: []eventloop.Call{eventloop.CallWrite}, Errnos: []unix.Errno{unix.ENOBUFS}})
	q := f.sendAttempt(0)
	for range late / time.Millisecond {
		f.now += time.Millisecond
		f.runIterations()
	}
	injector.Clear()
	for range 50 {
		f.now += time.Millisecond
		f.runIterations()
	}
	f.expect("under way", q)
	f.dialed[0].read(1 << 12)
	_, budget, _ := strings.Cut(string(f.dialed[0].received), "X-Budget-Ms: ")
	budget, _, _ = strings.Cut(budget, "\r\n")
	budgetMs, err := strconv.Atoi(budget)
	if remaining := q.Deadline - f.now; err != nil || time.Duration(budgetMs)*time.Millisecond > remaining+50*time.Millisecond {
		t.Errorf("a budget of %q, with %v to go: %v", budget, remaining, err)
	}
}

func TestRequestNeverWrittenIsNoMarkAgainstItsWorker(t *testing.T) {
	f := newFixture(t)
	f.injectFaults(faultinjection.Rule{Calls: []eventloop.Call{eventloop.CallWrite}, Errnos: []unix.Errno{unix.ENOMEM}})
	q := f.sendAttempt(0)
	for range f.pool.connectTimeout/time.Millisecond + 1 {
		f.now += time.Millisecond
		f.runIterations()
	}
	f.expect("given up", q, dispatch.NotSent)
}

// The rest of a request that was made for one write is written in what the time that its worker was given has to spare, or never;
// it was not whole then, and says nothing about the worker.
func TestRequestPartlyWrittenEndsInTime(t *testing.T) {
	f := newFixture(t)
	f.injectFaults(
		faultinjection.Rule{Calls: []eventloop.Call{eventloop.CallWrite}, Times: 1, MaxLength: 10},
		faultinjection.Rule{Calls: []eventloop.Call{eventloop.CallWrite}, Errnos: []unix.Errno{unix.ENOBUFS}},
	)
	q := f.sendAttempt(0)
	for range budgetMargin/time.Millisecond - 1 {
		f.now += time.Millisecond
		f.runIterations()
	}
	f.expect("it waits", q)
	f.now += 2 * time.Millisecond
	f.runIterations()
	f.expect("given up", q, dispatch.NotSent)
}
