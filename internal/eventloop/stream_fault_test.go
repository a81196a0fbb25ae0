package eventloop

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// failCalls makes calls of some kinds fail with an errno from now on, and returns a counter of these calls.
func (l *testLoop) failCalls(errno unix.Errno, kinds ...Call) (count *int) {
	count = new(int)
	l.Syscalls().Interceptor = func(call Call, _ int) (injection Injection) {
		for _, kind := range kinds {
			if call == kind {
				*count++
				injection.Errno = errno
			}
		}
		return injection
	}
	return count
}

// runFor runs iterations for a time, one per millisecond.
func (l *testLoop) runFor(span time.Duration) {
	l.t.Helper()
	for range span / time.Millisecond {
		l.time += time.Millisecond
		if err := l.RunOnce(0); err != nil {
			l.t.Fatal(err)
		}
	}
}

// faultOwner owns a stream, calls Fill and Flush according to its events, and joins the errors.
type faultOwner struct {
	Stream
	events int
	ended  bool
	err    error
}

func (o *faultOwner) HandleEvents(events uint32) {
	o.events++
	if events&unix.EPOLLOUT != 0 {
		o.err = errors.Join(o.err, o.Flush())
	}
	if events&^unix.EPOLLOUT != 0 {
		ended, err := o.Fill()
		o.ended, o.err = o.ended || ended, errors.Join(o.err, err)
	}
}

func (o *faultOwner) HandlePanic() {}

func openFaultStream(l *testLoop) (owner *faultOwner, peer int) {
	l.t.Helper()
	ends := testSocketPair(l.t)
	owner = &faultOwner{}
	var err error
	if owner.Stream, err = l.OpenStream(ends[0], StreamEvents, owner); err != nil {
		l.t.Fatal(err)
	}
	return owner, ends[1]
}

// maxCallsPerSecond limits the reads or writes that are tried in a second in which each fails: the pauses between them grow to 50
// ms.
const maxCallsPerSecond = 40

// While the kernel lacks memory, reads and writes are retried later and nothing is lost. The loop is not kept busy, also if the
// peer closes its sending side meanwhile.
func TestStreamRetriesAfterShortage(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENOBUFS, unix.ENOMEM} {
		for _, ended := range []bool{false, true} {
			l := newTestLoop(t)
			owner, peer := openFaultStream(l)
			count := l.failCalls(errno, CallRead, CallWrite)
			writeAll(t, peer, []byte("in"))
			if err := owner.Send([]byte("out")); err != nil {
				t.Fatalf("%v: %v", errno, err)
			}
			if ended {
				_ = unix.Shutdown(peer, unix.SHUT_WR)
			}
			l.runFor(time.Second)
			if owner.err != nil || owner.ended || *count > 2*maxCallsPerSecond || owner.events > 4*maxCallsPerSecond {
				t.Errorf("%v: %v, ended %v, %d calls and %d events in a second", errno, owner.err, owner.ended, *count, owner.events)
			}
			l.Syscalls().Interceptor = nil
			l.runFor(2 * maxTransferPause)
			if string(owner.Input()) != "in" || !bytes.Equal(readAvailable(t, peer), []byte("out")) || owner.ended != ended {
				t.Errorf("%v: read %q, ended %v", errno, owner.Input(), owner.ended)
			}
		}
	}
}

// If the connection is closed in both directions while reads are paused, its events do not keep the loop busy.
func TestStreamClosedByPeerDuringShortage(t *testing.T) {
	l := newTestLoop(t)
	owner, peer := openFaultStream(l)
	count := l.failCalls(unix.ENOMEM, CallRead)
	writeAll(t, peer, []byte("in"))
	_ = unix.Shutdown(peer, unix.SHUT_RDWR)
	l.runFor(time.Second)
	if owner.ended || *count > 2*maxCallsPerSecond || owner.events > 4*maxCallsPerSecond {
		t.Errorf("ended %v, %d calls and %d events in a second", owner.ended, *count, owner.events)
	}
	l.Syscalls().Interceptor = nil
	l.runFor(2 * maxTransferPause)
	if string(owner.Input()) != "in" || !owner.ended {
		t.Errorf("read %q, ended %v", owner.Input(), owner.ended)
	}
}

// An interrupted call is retried at once. One that is interrupted each time does not block the loop.
func TestStreamRetriesInterruptedCalls(t *testing.T) {
	l := newTestLoop(t)
	owner, peer := openFaultStream(l)
	writeAll(t, peer, []byte("in"))
	count := l.failCalls(unix.EINTR, CallRead, CallWrite, CallReceive)
	if ended, err := owner.Fill(); ended || err != nil || *count != maxTransferTries {
		t.Errorf("read: ended %v, %v, after %d calls", ended, err, *count)
	}
	if n, ended, err := owner.Discard(); n != 0 || ended || err != nil {
		t.Errorf("discarded %d, ended %v, %v", n, ended, err)
	}
	if err := owner.Send([]byte("out")); err != nil || len(owner.Output()) != 3 {
		t.Errorf("%d bytes of output: %v", len(owner.Output()), err)
	}
	l.Syscalls().Interceptor = nil
	l.runFor(maxTransferPause)
	if string(owner.Input()) != "in" || !bytes.Equal(readAvailable(t, peer), []byte("out")) {
		t.Errorf("read %q", owner.Input())
	}
}

// A broken connection ends its stream, whatever the errno.
func TestStreamEndsWithAnyErrno(t *testing.T) {
	for _, errno := range []unix.Errno{
		unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EPIPE, unix.ENETDOWN, unix.EHOSTDOWN, unix.EIO,
	} {
		l := newTestLoop(t)
		owner, _ := openFaultStream(l)
		l.failCalls(errno, CallRead, CallReceive, CallWrite)
		if ended, err := owner.Fill(); !ended || !errors.Is(err, errno) {
			t.Errorf("read: ended %v, %v", ended, err)
		}
		if _, ended, err := owner.Discard(); !ended || !errors.Is(err, errno) {
			t.Errorf("discard: ended %v, %v", ended, err)
		}
		if err := owner.Send([]byte("out")); !errors.Is(err, errno) {
			t.Errorf("write: %v", err)
		}
	}
}

// Short reads and writes lose no bytes and keep their order.
func TestStreamWithShortTransfers(t *testing.T) {
	l := newTestLoop(t)
	owner, peer := openFaultStream(l)
	l.Syscalls().Interceptor = func(Call, int) Injection { return Injection{MaxLength: 3} }
	text := []byte("a text sent in many parts")
	writeAll(t, peer, text)
	if err := owner.Send(text); err != nil {
		t.Fatal(err)
	}
	l.runFor(time.Duration(len(text)) * time.Millisecond)
	if !bytes.Equal(owner.Input(), text) || !bytes.Equal(readAvailable(t, peer), text) {
		t.Errorf("read %q", owner.Input())
	}
}

// Closing a stream during a pause stops the timer that ends the pause.
func TestStreamClosedDuringShortage(t *testing.T) {
	l := newTestLoop(t)
	owner, peer := openFaultStream(l)
	l.failCalls(unix.ENOMEM, CallRead)
	writeAll(t, peer, []byte("in"))
	l.runFor(time.Millisecond)
	owner.Close()
	if l.timers.Len() != 0 {
		t.Errorf("%d timers are left", l.timers.Len())
	}
}

// Input that could not be read when it arrived counts as arrived then, not when it was read.
func TestArrivalTimeOfDelayedInput(t *testing.T) {
	l := newTestLoop(t)
	owner, peer := openFaultStream(l)
	l.failCalls(unix.ENOMEM, CallRead)
	writeAll(t, peer, []byte("late"))
	l.runFor(time.Millisecond)
	arrivedAt := l.Now()
	l.runFor(30 * time.Millisecond)
	l.Syscalls().Interceptor = nil
	if l.runFor(maxTransferPause); string(owner.Input()) != "late" || owner.InputArrivedAt() != arrivedAt {
		t.Errorf("read %q, arrival time %v, expected %v", owner.Input(), owner.InputArrivedAt(), arrivedAt)
	}
	writeAll(t, peer, []byte("!"))
	if l.runFor(time.Millisecond); owner.InputArrivedAt() != l.Now() {
		t.Errorf("arrival time of input that was read at once %v, expected %v", owner.InputArrivedAt(), l.Now())
	}
}
