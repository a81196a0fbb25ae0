package eventloop

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// failCalls has calls of some kinds fail with an errno from now on, and returns their number so far.
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

// runFor runs iterations, a millisecond apart.
func (l *testLoop) runFor(span time.Duration) {
	l.t.Helper()
	for range span / time.Millisecond {
		l.time += time.Millisecond
		if err := l.RunOnce(0); err != nil {
			l.t.Fatal(err)
		}
	}
}

// faultOwner owns a stream, fills and flushes it by its events, and keeps the first error.
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

// maxCallsASecond is how often a read or write is tried in a second in which each fails: the pauses grow to 50 ms.
const maxCallsASecond = 40

// Without memory a read or write is made later, and nothing is lost; the loop is not kept busy, whatever else epoll tells.
func TestStreamOutlastsAShortage(t *testing.T) {
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
			if owner.err != nil || owner.ended || *count > 2*maxCallsASecond || owner.events > 4*maxCallsASecond {
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

// An end both ways that comes while reading is held back does not keep the loop busy either.
func TestStreamOutlastsAShortageAtItsEnd(t *testing.T) {
	l := newTestLoop(t)
	owner, peer := openFaultStream(l)
	count := l.failCalls(unix.ENOMEM, CallRead)
	writeAll(t, peer, []byte("in"))
	_ = unix.Shutdown(peer, unix.SHUT_RDWR)
	l.runFor(time.Second)
	if owner.ended || *count > 2*maxCallsASecond || owner.events > 4*maxCallsASecond {
		t.Errorf("ended %v, %d calls and %d events in a second", owner.ended, *count, owner.events)
	}
	l.Syscalls().Interceptor = nil
	l.runFor(2 * maxTransferPause)
	if string(owner.Input()) != "in" || !owner.ended {
		t.Errorf("read %q, ended %v", owner.Input(), owner.ended)
	}
}

// A call that is interrupted is made again at once; one that always is does not hold up the loop.
func TestStreamOutlastsInterruptions(t *testing.T) {
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
		t.Errorf("%d bytes wait: %v", len(owner.Output()), err)
	}
	l.Syscalls().Interceptor = nil
	l.runFor(maxTransferPause)
	if string(owner.Input()) != "in" || !bytes.Equal(readAvailable(t, peer), []byte("out")) {
		t.Errorf("read %q", owner.Input())
	}
}

// A connection that has broken is one whichever errno says so.
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

// Short reads and writes lose nothing and come in order.
func TestStreamTakesShortTransfers(t *testing.T) {
	l := newTestLoop(t)
	owner, peer := openFaultStream(l)
	l.Syscalls().Interceptor = func(Call, int) Injection { return Injection{MaxLength: 3} }
	text := []byte("a text that goes in parts")
	writeAll(t, peer, text)
	if err := owner.Send(text); err != nil {
		t.Fatal(err)
	}
	l.runFor(time.Duration(len(text)) * time.Millisecond)
	if !bytes.Equal(owner.Input(), text) || !bytes.Equal(readAvailable(t, peer), text) {
		t.Errorf("read %q", owner.Input())
	}
}

// A stream that is closed while it is held back leaves nothing to be called.
func TestStreamClosedDuringAShortage(t *testing.T) {
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

// What could not be read when it came counts as come then.
func TestStreamTellsWhenDelayedInputCame(t *testing.T) {
	l := newTestLoop(t)
	owner, peer := openFaultStream(l)
	l.failCalls(unix.ENOMEM, CallRead)
	writeAll(t, peer, []byte("late"))
	l.runFor(time.Millisecond)
	cameAt := l.Now()
	l.runFor(30 * time.Millisecond)
	l.Syscalls().Interceptor = nil
	if l.runFor(maxTransferPause); string(owner.Input()) != "late" || owner.InputCameAt() != cameAt {
		t.Errorf("read %q, which came at %v, expected %v", owner.Input(), owner.InputCameAt(), cameAt)
	}
	writeAll(t, peer, []byte("!"))
	if l.runFor(time.Millisecond); owner.InputCameAt() != l.Now() {
		t.Errorf("what was read at once came at %v, expected %v", owner.InputCameAt(), l.Now())
	}
}
