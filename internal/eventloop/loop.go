// Package eventloop runs the handlers of non-blocking descriptors on one goroutine. It waits with epoll(7), dispatches events in
// the order of their handlers' priorities, runs timers, and buffers the input and output of streams.
//
// It owns the epoll descriptor, the timers, and every descriptor from Add to Remove. It blocks only in epoll_wait(2), starts no
// goroutine, and does not depend on the protocols of the descriptors.
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
	minEvents       = 1024     // minimum number of events that one iteration can handle
	maxWait         = 60_000   // milliseconds; the longest wait while a timer or a step is due at some time
	readBufferSize  = 64 << 10 // bytes
	noTimeout       = -1       // epoll_wait(2) waits without limit
	timeoutRounding = time.Millisecond - 1
)

// Hooks are functions of the program that the loop calls. Any of them may be nil.
type Hooks struct {
	// NextStep returns when Step is due next; ok is false if only an event can make it due.
	NextStep func() (at time.Duration, ok bool)
	// Step is called at the end of an iteration, after events and timers, if it is due.
	Step func(now time.Duration)
	// DescriptorsClosed is called whenever descriptors were closed, so that others can be opened.
	DescriptorsClosed func()
	// Woken is called in the iteration after a call of Wake.
	Woken func()
}

// Config configures a loop.
type Config struct {
	Clock     func() time.Duration // monotonic
	MaxEvents int                  // handled in one iteration; values below minEvents count as minEvents
	Log       *slog.Logger         // for panics of handlers
	Hooks     Hooks
	Syscalls  Syscalls
}

// Loop is an event loop. Its methods are called on the goroutine that calls Run, except for Wake and Post, which any goroutine
// may call.
type Loop struct {
	syscalls    Syscalls
	epoll       int
	wakeFD      int
	clock       func() time.Duration
	now         time.Duration // of the current iteration
	log         *slog.Logger
	hooks       Hooks
	handlers    []registration    // by descriptor
	events      []unix.EpollEvent // large enough for all descriptors, so that an iteration gets all that are ready
	dispatching bool              // the events of the iteration are being handled
	pending     []unix.EpollEvent // events that PendingEvents has found last
	pendingAt   time.Duration     // when it found them
	closing     []int             // removed descriptors; closed after dispatching, so that no event is handled for a reused one
	timers      deadline.Queue[*Timer]
	afterStep   []func() // called at the end of the current iteration
	readBuffer  []byte
	posted      []func()   // see Post
	postMutex   sync.Mutex // guards posted
}

// New returns a loop without handlers and timers.
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

// open opens the loop's own descriptors. On an error none is open.
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

// CloseDescriptors closes all descriptors that the loop owns, and its own. It is for a loop that ends before its process does.
func (l *Loop) CloseDescriptors() {
	for fd, registered := range l.handlers {
		if registered.handler != nil {
			_ = l.syscalls.Close(fd)
		}
	}
	l.handlers = nil
	_ = l.syscalls.Close(l.epoll)
}

// Syscalls returns the system calls of the loop, for use by its connections.
func (l *Loop) Syscalls() *Syscalls { return &l.syscalls }

// EpollFD returns the epoll descriptor, which is itself readable while an event is pending.
func (l *Loop) EpollFD() int { return l.epoll }

// Now returns the time at which the current iteration began, by the loop's clock.
func (l *Loop) Now() time.Duration { return l.now }

// Clock reads the loop's clock, which advances during an iteration.
func (l *Loop) Clock() time.Duration { return l.clock() }

// UpdateNow sets the time of the current iteration to that of the clock.
func (l *Loop) UpdateNow() { l.now = l.clock() }

// ReadBuffer returns the buffer that all reads share. Its content is valid until the next read.
func (l *Loop) ReadBuffer() []byte { return l.readBuffer }

// Run runs iterations until done returns true after one. It returns an error if epoll fails.
func (l *Loop) Run(done func() bool) error {
	for {
		if err := l.RunOnce(l.timeout()); err != nil || done() {
			return err
		}
	}
}

// RunOnce runs one iteration: it waits for events, for timeoutMillis at most or without limit if that is negative, handles them,
// runs the timers that are due, steps if that is due, and calls the functions of AfterStep.
func (l *Loop) RunOnce(timeoutMillis int) error {
	n, err := l.syscalls.EpollWait(l.epoll, l.events, timeoutMillis)
	if err != nil && !Classify(CallEpollWait, err).IsMomentary() { // timers and steps still run after a momentary error
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

// PendingEvents returns the events of a descriptor that are pending for the next iteration. They were gathered at most maxAge
// ago.
func (l *Loop) PendingEvents(descriptor int, maxAge time.Duration) (events uint32) {
	if now := l.clock(); l.pendingAt <= l.now || now-l.pendingAt > maxAge {
		l.pending = slices.Grow(l.pending[:0], len(l.events))[:len(l.events)]
		n, _ := l.syscalls.EpollWait(l.epoll, l.pending, 0) // if it fails, the next iteration gets the events
		l.pending, l.pendingAt = l.pending[:max(n, 0)], now
	}
	for _, event := range l.pending {
		if int(event.Fd) == descriptor {
			events |= event.Events
		}
	}
	return events
}

// AfterStep calls act at the end of the current iteration, after Step if that is due. It must be called during an iteration, on
// the loop's goroutine.
func (l *Loop) AfterStep(act func()) { l.afterStep = append(l.afterStep, act) }

func (l *Loop) runAfterStep() {
	for len(l.afterStep) > 0 { // act may call AfterStep
		act := l.afterStep[0]
		l.afterStep = l.afterStep[1:]
		l.Protect((*waker)(l), act)
	}
	l.afterStep = nil
}

// dispatch calls the handlers of the events, in the order of their priorities.
func (l *Loop) dispatch(events []unix.EpollEvent) {
	l.dispatching = true
	for priority := range numPriorities {
		for i := range events {
			event := &events[i]
			registered := l.handlers[event.Fd]
			if registered.handler != nil && registered.priority == priority {
				l.Protect(registered.handler, func() { registered.handler.HandleEvents(event.Events) })
			}
		}
	}
	l.dispatching = false
}

func (l *Loop) nextStep() (at time.Duration, ok bool) {
	if l.hooks.NextStep == nil {
		return 0, false
	}
	return l.hooks.NextStep()
}

// timeout returns how long the loop may wait for events, in milliseconds. It rounds up, so that the loop does not wake before a
// timer is due.
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
