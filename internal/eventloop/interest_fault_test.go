package eventloop

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// failTimes makes a number of the next calls of a kind fail, and returns a counter of all calls of the kind.
func (l *testLoop) failTimes(times int, kind Call, errno unix.Errno) (count *int) {
	count = new(int)
	l.Syscalls().Interceptor = func(call Call, _ int) (injection Injection) {
		if call == kind {
			if *count++; *count <= times {
				injection.Errno = errno
			}
		}
		return injection
	}
	return count
}

// A change of the requested events for which epoll lacks memory is retried, so buffered output is sent.
func TestModifyIsRetried(t *testing.T) {
	l := newTestLoop(t)
	owner, peer := openFaultStream(l)
	const failures = 6
	count := l.failTimes(failures, CallEpollControl, unix.ENOMEM)
	size := 0
	for len(owner.Output()) == 0 {
		if err := owner.Send(make([]byte, 64<<10)); err != nil {
			t.Fatal(err)
		}
		size += 64 << 10
	}
	received := 0
	for range 1000 {
		received += len(readAvailable(t, peer))
		l.runFor(time.Millisecond)
	}
	if received != size || owner.err != nil || owner.Events()&unix.EPOLLOUT != 0 {
		t.Errorf("received %d of %d bytes, events %x: %v", received, size, owner.Events(), owner.err)
	}
	if *count < failures+2 || *count > 2*failures {
		t.Errorf("epoll_ctl was called %d times", *count)
	}
}

// A connection for which epoll lacks memory is added later. If it is closed before, the retry is stopped.
func TestAddingStreamIsRetried(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENOMEM, unix.ENOSPC} {
		l := newTestLoop(t)
		l.failTimes(5, CallEpollControl, errno)
		owner, peer := openFaultStream(l)
		writeAll(t, peer, []byte("in"))
		if l.runFor(time.Millisecond); len(owner.Input()) != 0 {
			t.Fatal("input was read though epoll_ctl has failed")
		}
		if l.runFor(maxInterestBackoff * 2); string(owner.Input()) != "in" {
			t.Errorf("%v: read %q, expected the input", errno, owner.Input())
		}
		l.failTimes(5, CallEpollControl, errno)
		owner, _ = openFaultStream(l)
		if owner.Close(); l.timers.Len() != 0 {
			t.Errorf("%d timers are left", l.timers.Len())
		}
	}
}

// Add returns the error instead of retrying: the start of the program has a retry of its own.
func TestAddFailsWithEpoll(t *testing.T) {
	l := newTestLoop(t)
	l.failTimes(1, CallEpollControl, unix.ENOMEM)
	ends := testSocketPair(t)
	if err := l.Add(ends[0], unix.EPOLLIN, &faultOwner{}); ClassOf(err) != ErrorNoResource || l.has(ends[0]) {
		t.Errorf("error %v, owned %v, expected ErrorNoResource and that the caller owns the descriptor", err, l.has(ends[0]))
	}
	if err := l.Add(ends[0], unix.EPOLLIN, &faultOwner{}); err != nil || !l.has(ends[0]) {
		t.Errorf("second call: error %v, owned %v, expected success", err, l.has(ends[0]))
	}
}

// testSocketPair returns the two ends of a connection; the second is closed at the end of the test.
func testSocketPair(t *testing.T) [2]int {
	t.Helper()
	ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(ends[1]) })
	return ends
}

func TestWakeAfterInterruptions(t *testing.T) {
	l := newTestLoop(t)
	l.failTimes(3, CallWrite, unix.EINTR)
	posted := false
	l.Post(func() { posted = true })
	if l.runFor(time.Millisecond); !posted {
		t.Error("the posted function is not called")
	}
	l.failTimes(3, CallRead, unix.EINTR)
	l.Wake()
	if l.runFor(5 * time.Millisecond); l.log.Len() != 0 {
		t.Errorf("logged: %s", l.log.String())
	}
}

// According to close(2) the descriptor is closed even if the call is interrupted. A retry might close a descriptor that was
// opened meanwhile.
func TestInterruptedCloseIsNotRepeated(t *testing.T) {
	l := newTestLoop(t)
	owner, _ := openFaultStream(l)
	fd := owner.FD()
	count := l.failTimes(1, CallClose, unix.EINTR)
	owner.Close()
	if owner.Close(); *count != 1 || isDescriptorOpen(fd) {
		t.Errorf("closed %d times, open %v", *count, isDescriptorOpen(fd))
	}
}

// After an interrupted wait, timers and steps that are due still run.
func TestInterruptedWait(t *testing.T) {
	l := newTestLoop(t)
	l.failTimes(1, CallEpollWait, unix.EINTR)
	l.After(0, l.record("timer"))
	l.nextStepAt = l.time
	l.run("timer", "step")
}

// Setting an option is retried if the kernel lacks memory for it.
func TestSettingOptionIsRetried(t *testing.T) {
	l := newTestLoop(t)
	l.failTimes(maxOptionTries-1, CallSetOption, unix.ENOBUFS)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	stream, err := l.OpenStream(fd, StreamEvents, &faultOwner{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stream.Close)
	if noDelay, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY); noDelay == 0 || err != nil {
		t.Errorf("TCP_NODELAY is %d: %v", noDelay, err)
	}
}
