package eventloop

import (
	"bytes"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// testLoop is a loop whose clock the test controls, with its log.
type testLoop struct {
	*Loop
	t          *testing.T
	time       time.Duration
	closed     int // calls of DescriptorsClosed
	log        bytes.Buffer
	calls      []string      // recorded by the functions of record, in order
	nextStepAt time.Duration // when a step is due; negative: never
}

func newTestLoop(t *testing.T) *testLoop {
	t.Helper()
	test := &testLoop{t: t, time: time.Hour, nextStepAt: -1}
	var err error
	test.Loop, err = New(Config{
		Clock: func() time.Duration { return test.time },
		Log:   slog.New(slog.NewTextHandler(&test.log, nil)),
		Hooks: Hooks{
			NextStep:          func() (time.Duration, bool) { return test.nextStepAt, test.nextStepAt >= 0 },
			Step:              func(time.Duration) { test.nextStepAt = -1; test.record("step")() },
			DescriptorsClosed: func() { test.closed++ },
			Woken:             test.record("woken"),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(test.CloseDescriptors)
	return test
}

// record returns a function that records a call of itself under a name.
func (l *testLoop) record(name string) func() {
	return func() { l.calls = append(l.calls, name) }
}

// run runs one iteration and checks the calls made in it.
func (l *testLoop) run(want ...string) {
	l.t.Helper()
	l.calls = nil
	if err := l.RunOnce(0); err != nil {
		l.t.Fatal(err)
	}
	if !slices.Equal(l.calls, want) {
		l.t.Errorf("called %q, expected %q", l.calls, want)
	}
}

// socketPair returns the two ends of a connection; the first is closed at the end of the test.
func (l *testLoop) socketPair() (peer, fd int) {
	l.t.Helper()
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { _ = unix.Close(fds[0]) })
	return fds[0], fds[1]
}

// testHandler calls handle for its events, and removes its descriptor after a panic.
type testHandler struct {
	loop     *testLoop
	fd       int
	priority Priority
	handle   func()
}

func (h *testHandler) HandleEvents(uint32) { h.handle() }
func (h *testHandler) HandlePanic()        { h.loop.Remove(h.fd) }
func (h *testHandler) Priority() Priority  { return h.priority }

func (h *testHandler) LogAttributes() []slog.Attr { return []slog.Attr{slog.String("of", "handler")} }

// addReady adds a handler that has a pending event.
func (l *testLoop) addReady(priority Priority, handle func()) *testHandler {
	l.t.Helper()
	peer, fd := l.socketPair()
	handler := &testHandler{loop: l, fd: fd, priority: priority, handle: handle}
	if err := l.Add(fd, unix.EPOLLIN, handler); err != nil {
		l.t.Fatal(err)
	}
	if _, err := unix.Write(peer, []byte("x")); err != nil {
		l.t.Fatal(err)
	}
	return handler
}

// isDescriptorOpen reports whether a descriptor of this process is open.
func isDescriptorOpen(fd int) bool {
	_, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0)
	return !errors.Is(err, unix.EBADF)
}

// An iteration handles events in the order of their priorities, then runs timers, and then steps.
func TestOrderWithinIteration(t *testing.T) {
	l := newTestLoop(t)
	l.addReady(PriorityNormal, l.record("normal"))
	l.addReady(PriorityHigh, l.record("high"))
	l.addReady(PriorityUrgent, l.record("urgent"))
	l.After(0, l.record("timer"))
	l.nextStepAt = l.time
	l.run("urgent", "high", "normal", "timer", "step")
}

// Functions of AfterStep are called after the step, or at the end of the same iteration if no step is due. A panic in one does
// not affect the others.
func TestAfterStep(t *testing.T) {
	l := newTestLoop(t)
	l.nextStepAt = l.time
	first := l.addReady(PriorityUrgent, nil)
	first.handle = func() {
		l.AfterStep(func() { l.AfterStep(l.record("added")) })
		l.AfterStep(func() { panic("after the step") })
		l.AfterStep(l.record("after step"))
		l.Remove(first.fd)
	}
	l.addReady(PriorityNormal, l.record("normal"))
	l.run("normal", "step", "after step", "added")
	if !strings.Contains(l.log.String(), "after the step") {
		t.Errorf("the panic is not logged: %s", l.log.String())
	}

	second := l.addReady(PriorityUrgent, nil)
	second.handle = func() {
		l.AfterStep(l.record("without a step"))
		l.Remove(second.fd)
	}
	l.run("normal", "without a step")
	l.run("normal")
}

func TestStepWaitsUntilItIsDue(t *testing.T) {
	l := newTestLoop(t)
	l.nextStepAt = l.time + 2
	l.time++
	l.run()
	l.time++
	l.run("step")
}

func TestTimersRunInOrderOnceTheirDelayHasPassed(t *testing.T) {
	l := newTestLoop(t)
	l.After(3, l.record("third"))
	l.After(1, l.record("first"))
	stopped := l.StartTimer(2, (*waker)(l.Loop), l.record("stopped"))
	l.After(2, func() {
		l.record("second")()
		l.After(0, l.record("at once"))
	})
	l.StopTimer(stopped)
	l.StopTimer(nil)
	l.run()
	l.time += 2
	l.run("first", "second", "at once")
	l.time++
	l.run("third")
}

// The loop waits until the next timer or step is due, rounded up to milliseconds, and at most for maxWait.
func TestTimeoutOfWait(t *testing.T) {
	l := newTestLoop(t)
	expect := func(want int) {
		t.Helper()
		if got := l.timeout(); got != want {
			t.Errorf("timeout %d, expected %d", got, want)
		}
	}
	expect(noTimeout)
	l.After(2*time.Hour, func() {})
	expect(maxWait)
	l.nextStepAt = l.time + time.Millisecond + 1
	expect(2)
	l.After(time.Microsecond, func() {})
	expect(1)
	l.time += time.Minute
	expect(0)
}

func TestPanicEndsOnlyItsHandler(t *testing.T) {
	l := newTestLoop(t)
	broken := l.addReady(PriorityUrgent, func() { panic("scripted") })
	l.addReady(PriorityNormal, l.record("other"))
	l.run("other")
	if isDescriptorOpen(broken.fd) {
		t.Error("the descriptor of the handler that panicked is open")
	}
	for _, part := range []string{`msg="panic in a connection, closing it"`, "panic=scripted", "of=handler", "stack="} {
		if !strings.Contains(l.log.String(), part) {
			t.Errorf("no %s in %s", part, l.log.String())
		}
	}
	ended := l.addReady(PriorityNormal, func() {})
	l.StartTimer(0, ended, func() { panic("in a timer") })
	l.run("other")
	if isDescriptorOpen(ended.fd) {
		t.Error("the descriptor of the timer's owner is open")
	}
}

// A descriptor that is removed while events are dispatched is closed after all of them. Otherwise its number could be reused by
// another connection, which would get the remaining events of the removed one.
func TestRemovedDescriptorIsClosedAfterDispatch(t *testing.T) {
	l := newTestLoop(t)
	late := l.addReady(PriorityNormal, l.record("removed"))
	l.addReady(PriorityUrgent, func() {
		l.Remove(late.fd)
		l.Remove(late.fd)
		if !isDescriptorOpen(late.fd) || l.ClosingCount() != 1 {
			t.Errorf("open %v, %d closing, while events are dispatched", isDescriptorOpen(late.fd), l.ClosingCount())
		}
	})
	l.After(0, func() {
		if isDescriptorOpen(late.fd) || l.ClosingCount() != 0 || l.closed != 1 {
			t.Errorf("open %v, %d closing, reported %d times, when timers run", isDescriptorOpen(late.fd), l.ClosingCount(), l.closed)
		}
	})
	l.run()
	other := l.addReady(PriorityNormal, func() {})
	l.Remove(other.fd)
	if isDescriptorOpen(other.fd) || l.closed != 2 {
		t.Errorf("open %v, reported %d times, between iterations", isDescriptorOpen(other.fd), l.closed)
	}
}

func TestWakeAndPost(t *testing.T) {
	l := newTestLoop(t)
	go l.Post(func() { l.record("posted")() })
	if err := l.Run(func() bool { return len(l.calls) > 0 }); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(l.calls, []string{"posted", "woken"}) {
		t.Errorf("called %q, expected posted and woken", l.calls)
	}
	l.run()
	l.Wake()
	l.run("woken")
}

func TestEpollFDIsReadableWhileEventsArePending(t *testing.T) {
	l := newTestLoop(t)
	isReady := func() bool {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(l.EpollFD()), Events: unix.POLLIN}}, 0)
		if err != nil {
			t.Fatal(err)
		}
		return n > 0
	}
	if isReady() {
		t.Error("readable without an event")
	}
	l.Wake()
	if !isReady() {
		t.Error("not readable with an event")
	}
}
