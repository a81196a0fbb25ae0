// Package eventloop runs the handlers of non-blocking descriptors on one goroutine. It waits with epoll(7), hands out
// events in the order of their handlers' priorities, runs timers, and buffers what streams read and write.
//
// It owns the epoll descriptor, the timers, and every descriptor from Add to Remove. It never blocks but in epoll, starts no
// goroutine, and knows nothing of what the descriptors carry.
package eventloop

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/deadline"
)

const (
	minEvents       = 1024     // gathered in one iteration, if as many are ready
	maxWait         = 60_000   // milliseconds; the longest sleep while something is due
	readBufferSize  = 64 << 10 // bytes
	noTimeout       = -1       // of epoll_wait(2)
	timeoutRounding = time.Millisecond - 1
)

// Hooks are what the program that a loop serves has called. Any of them may be nil.
type Hooks struct {
	// NextStep returns when Step is due next; ok is false while only an event can make it due.
	NextStep func() (at time.Duration, ok bool)
	// Step is called at the end of an iteration, after events and timers, if it is due.
	Step func(now time.Duration)
	// DescriptorsClosed is called whenever descriptors were closed, and can be opened again.
	DescriptorsClosed func()
	// Woken is called in the iteration after a call of Wake.
	Woken func()
}

// Config is what a loop is made of.
type Config struct {
	Clock     func() time.Duration // monotonic
	MaxEvents int                  // gathered in one iteration; at least 1024 are
	Log       *slog.Logger         // panics of handlers
	Hooks     Hooks
	Syscalls  Syscalls
}

// Loop is an event loop. Everything runs on the goroutine that calls Run, but for Wake and Post, which any may call.
type Loop struct {
	syscalls   Syscalls
	epoll      int
	wakeFD     int
	clock      func() time.Duration
	now        time.Duration // of the present iteration
	log        *slog.Logger
	hooks      Hooks
	handlers   []registration    // by descriptor
	events     []unix.EpollEvent // as many as there may be descriptors: an iteration gathers all that is ready
	gathering  bool              // the iteration's events are being handed out
	pending    []unix.EpollEvent // that waited when PendingEvents last looked
	pendingAt  time.Duration     // when that was
	closing    []int             // closed once they are, so that no event of this iteration meets a reused descriptor
	timers     deadline.Queue[*Timer]
	afterStep  []func() // at the end of the present iteration
	readBuffer []byte
	posted     []func() // by other goroutines, for the loop to call
	posting    sync.Mutex
}

// New returns a loop that has nothing to do yet.
func New(config Config) (*Loop, error) {
	loop := &Loop{
		syscalls:   config.Syscalls,
		clock:      config.Clock,
		now:        config.Clock(),
		log:        config.Log,
		hooks:      config.Hooks,
		events:     make([]unix.EpollEvent, max(config.MaxEvents, minEvents)),
		readBuffer: make([]byte, readBufferSize),
	}
	if err := loop.open(); err != nil {
		return nil, err
	}
	return loop, nil
}

// open opens the loop's own descriptors, or none.
func (l *Loop) open() (err error) {
	if l.epoll, err = l.syscalls.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return fmt.Errorf("epoll: %w", NewCallError(CallEpollCreate, err))
	}
	if l.wakeFD, err = l.syscalls.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		_ = l.syscalls.Close(l.epoll)
		return fmt.Errorf("eventfd: %w", NewCallError(CallEventfd, err))
	}
	if err := l.Add(l.wakeFD, unix.EPOLLIN, (*waker)(l)); err != nil {
		_ = l.syscalls.Close(l.wakeFD)
		_ = l.syscalls.Close(l.epoll)
		return err
	}
	return nil
}

// CloseDescriptors closes all descriptors that the loop has, and its own. It is for a loop that ends before its process does.
func (l *Loop) CloseDescriptors() {
	for fd, registered := range l.handlers {
		if registered.handler != nil {
			_ = l.syscalls.Close(fd)
		}
	}
	l.handlers = nil
	_ = l.syscalls.Close(l.epoll)
}

// Syscalls returns what makes the loop's system calls, for the connections on it.
func (l *Loop) Syscalls() *Syscalls { return &l.syscalls }

// EpollFD returns the epoll descriptor, which is itself ready to be read while an event waits to be handed out.
func (l *Loop) EpollFD() int { return l.epoll }

// Now returns the time of the present iteration, by the loop's clock.
func (l *Loop) Now() time.Duration { return l.now }

// Clock reads the loop's clock, which goes on during an iteration.
func (l *Loop) Clock() time.Duration { return l.clock() }

// UpdateNow sets the time of the present iteration to what the clock says.
func (l *Loop) UpdateNow() { l.now = l.clock() }

// ReadBuffer returns the buffer that all reads share; its content is void with the next read.
func (l *Loop) ReadBuffer() []byte { return l.readBuffer }

// Run runs iterations until done returns true at the end of one. An error means that epoll has failed.
func (l *Loop) Run(done func() bool) error {
	for {
		if err := l.RunOnce(l.timeout()); err != nil || done() {
			return err
		}
	}
}

// RunOnce runs one iteration: it waits for so many milliseconds at most, or without limit if that is negative, handles what
// is ready and what is due, steps, and does what was left for after the step.
func (l *Loop) RunOnce(timeoutMillis int) error {
	n, err := l.syscalls.EpollWait(l.epoll, l.events, timeoutMillis)
	if err != nil && !Classify(CallEpollWait, err).IsMomentary() { // else what is due is done all the same
		return fmt.Errorf("epoll wait: %w", NewCallError(CallEpollWait, err))
	}
	l.UpdateNow()
	l.dispatch(l.events[:max(n, 0)])
	l.closeRemoved()
	l.runTimers()
	if at, ok := l.nextStep(); ok && at <= l.now {
		l.hooks.Step(l.now)
	}
	l.runAfterStep()
	return nil
}

// PendingEvents returns the events of a descriptor that wait for the next iteration, as they were no longer ago than a span.
func (l *Loop) PendingEvents(descriptor int, maxAge time.Duration) (events uint32) {
	if now := l.clock(); l.pendingAt <= l.now || now-l.pendingAt > maxAge {
		l.pending = slices.Grow(l.pending[:0], len(l.events))[:len(l.events)]
		n, _ := l.syscalls.EpollWait(l.epoll, l.pending, 0) // where it fails, the next iteration learns of them
		l.pending, l.pendingAt = l.pending[:max(n, 0)], now
	}
	for _, event := range l.pending {
		if int(event.Fd) == descriptor {
			events |= event.Events
		}
	}
	return events
}

// AfterStep has act called at the end of the present iteration, after Step, or without it if none is due. It is to be called
// during an iteration, by the loop's goroutine.
func (l *Loop) AfterStep(act func()) { l.afterStep = append(l.afterStep, act) }

func (l *Loop) runAfterStep() {
	for len(l.afterStep) > 0 { // an act may add another
		act := l.afterStep[0]
		l.afterStep = l.afterStep[1:]
		l.Protect((*waker)(l), act)
	}
	l.afterStep = nil
}

// dispatch hands out events, to handlers of one priority after those of another.
func (l *Loop) dispatch(events []unix.EpollEvent) {
	l.gathering = true
	for priority := range numPriorities {
		for i := range events {
			event := &events[i]
			registered := l.handlers[event.Fd]
			if registered.handler != nil && registered.priority == priority {
				l.Protect(registered.handler, func() { registered.handler.HandleEvents(event.Events) })
			}
		}
	}
	l.gathering = false
}

func (l *Loop) nextStep() (at time.Duration, ok bool) {
	if l.hooks.NextStep == nil {
		return 0, false
	}
	return l.hooks.NextStep()
}

// timeout returns how long the loop may sleep, in milliseconds. It rounds up: what is due is not due earlier.
func (l *Loop) timeout() int {
	next, ok := l.nextStep()
	if l.timers.Len() > 0 && (!ok || l.timers.First().At < next) {
		next, ok = l.timers.First().At, true
	}
	if !ok {
		return noTimeout
	}
	wait := next - l.clock()
	return int(min(max(0, (wait+timeoutRounding)/time.Millisecond), maxWait))
}
