package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"valvecove/internal/deadline"
)

const (
	eventsPerWait    = 64
	readBufferLength = 64 << 10 // bytes
	noDescriptor     = -1
	notArmed         = time.Duration(-1)
)

// engine is one thread of the rig: an event loop on epoll that owns some of the workers and some of the clients. Only
// post, stop and done are for other goroutines.
type engine struct {
	core        int // that the thread is bound to, or anyCore
	startedAt   time.Time
	now         time.Duration // clock at the event or timer being handled
	epoll       int
	timer       int           // descriptor of a timer, as epoll's own timeout is in milliseconds
	wakeup      int           // descriptor of an event that post signals
	armed       time.Duration // what the timer is set to; notArmed once it has expired
	handlers    []handler     // by descriptor
	generations []int32       // by descriptor: how often it was reused, which tells apart events of an earlier use
	events      [eventsPerWait]unix.EpollEvent
	readBuffer  [readBufferLength]byte // shared by all connections
	writeBuffer []byte                 // shared by all connections
	reader      messageReader
	timers      deadline.Queue[*timer]
	freeJobs    []*job // for reuse
	measuring   bool   // the measurement window is open
	lateness    *hdrhistogram.Histogram
	cpuAt       time.Duration // processor time of the thread when the window was opened
	cpu         time.Duration // processor time of the thread in the window

	lock     sync.Mutex // guards posted and closed
	posted   []func()
	closed   bool
	stopping bool
	failure  error         // the first failure; it ends the engine
	done     chan struct{} // closed once it has ended; from then on any goroutine may read its fields
}

// handler is called when its descriptor is ready.
type handler interface{ ready(events uint32) }

// newEngine makes an engine whose clock starts at startedAt. The caller has to close it.
func newEngine(core int, startedAt time.Time) (*engine, error) {
	created := &engine{
		core: core, startedAt: startedAt, epoll: noDescriptor, timer: noDescriptor, wakeup: noDescriptor,
		lateness: newHistogram(), done: make(chan struct{}),
	}
	if err := created.open(); err != nil {
		created.close()
		return nil, fmt.Errorf("epoll, timer and wake-up descriptors: %w", err)
	}
	return created, nil
}

// open makes the engine's own descriptors.
func (e *engine) open() (err error) {
	if e.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return err
	}
	if e.timer, err = unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC); err != nil {
		return err
	}
	if e.wakeup, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		return err
	}
	if err = e.add(e.timer, unix.EPOLLIN, timerHandler{e}); err != nil {
		return err
	}
	return e.add(e.wakeup, unix.EPOLLIN, wakeupHandler{e})
}

// close closes the engine's own descriptors. Its thread must have ended, or never have run.
func (e *engine) close() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.closed = true
	for _, fd := range []*int{&e.epoll, &e.timer, &e.wakeup} {
		if *fd >= 0 {
			_ = unix.Close(*fd)
		}
		*fd = noDescriptor
	}
}

// timerHandler notes that the timer has expired. The expired timers themselves are handled after each event.
type timerHandler struct{ engine *engine }

func (h timerHandler) ready(uint32) {
	h.engine.armed = notArmed
	var count [8]byte
	_, _ = unix.Read(h.engine.timer, count[:])
}

// wakeupHandler calls what was posted.
type wakeupHandler struct{ engine *engine }

func (h wakeupHandler) ready(uint32) {
	var count [8]byte
	_, _ = unix.Read(h.engine.wakeup, count[:])
	for _, action := range h.engine.takePosted() {
		action()
	}
}

func (e *engine) takePosted() []func() {
	e.lock.Lock()
	defer e.lock.Unlock()
	posted := e.posted
	e.posted = nil
	return posted
}

// post queues a function to be called on the engine's thread. Any goroutine may call it. Once the engine has ended, the
// function is not called.
func (e *engine) post(action func()) {
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.closed {
		return
	}
	e.posted = append(e.posted, action)
	_, _ = unix.Write(e.wakeup, one[:])
}

// stop ends the engine. Any goroutine may call it; done is closed once the engine has ended.
func (e *engine) stop() { e.post(func() { e.stopping = true }) }

// clock is the time since startedAt.
func (e *engine) clock() time.Duration { return time.Since(e.startedAt) }

// fail ends the engine. The first error is kept.
func (e *engine) fail(err error) {
	if e.failure == nil {
		e.failure = err
	}
	e.stopping = true
}

// run is the engine's thread. It returns after stop, or at a failure of a system call.
func (e *engine) run() {
	defer close(e.done)
	// The goroutine stays locked, so that its thread ends with it: no other goroutine may run on a thread bound to a core.
	runtime.LockOSThread()
	if e.core >= 0 {
		if err := e.bindThread(); err != nil {
			e.fail(err)
		}
	}
	for !e.stopping {
		if err := e.runIteration(); err != nil {
			e.fail(err)
		}
	}
}

func (e *engine) bindThread() error {
	var set unix.CPUSet
	set.Set(e.core)
	if err := unix.SchedSetaffinity(0, &set); err != nil {
		return fmt.Errorf("core %d: %w", e.core, err)
	}
	return nil
}

// runIteration waits for events and handles them. Expired timers are fired after each event, as an iteration may have many.
func (e *engine) runIteration() error {
	timeout, err := e.armTimer()
	if err != nil {
		return err
	}
	count, err := unix.EpollWait(e.epoll, e.events[:], timeout)
	if err != nil && !errors.Is(err, unix.EINTR) {
		return fmt.Errorf("epoll: %w", err)
	}
	e.fireTimers()
	for i := range e.events[:max(count, 0)] {
		event := &e.events[i]
		fd := int(event.Fd)
		if handler := e.handlers[fd]; handler != nil && e.generations[fd] == event.Pad {
			handler.ready(event.Events)
		}
		e.fireTimers()
	}
	return nil
}

// armTimer sets the timer to the first deadline. It returns epoll's timeout: 0 if the deadline has passed, else -1 for
// none.
func (e *engine) armTimer() (timeout int, err error) {
	const poll, block = 0, -1
	if e.timers.Len() == 0 {
		return block, nil
	}
	expiry := e.timers.First().At
	remaining := expiry - e.clock()
	if remaining <= 0 {
		return poll, nil
	}
	if expiry == e.armed {
		return block, nil
	}
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(remaining))}
	if err := unix.TimerfdSettime(e.timer, 0, &spec, nil); err != nil {
		return block, fmt.Errorf("timer: %w", err)
	}
	e.armed = expiry
	return block, nil
}

// setMeasuring opens or closes the measurement window.
func (e *engine) setMeasuring(open bool) {
	var threadTime unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &threadTime)
	cpu := time.Duration(threadTime.Nano())
	if open {
		e.cpuAt = cpu
	} else if e.measuring {
		e.cpu = cpu - e.cpuAt
	}
	e.measuring = open
}

// add watches a descriptor for events.
func (e *engine) add(fd int, events uint32, added handler) error {
	for fd >= len(e.handlers) {
		e.handlers = append(e.handlers, nil)
		e.generations = append(e.generations, 0)
	}
	e.generations[fd]++
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: e.generations[fd]}
	if err := unix.EpollCtl(e.epoll, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	e.handlers[fd] = added
	return nil
}

// change sets the events that a descriptor is watched for.
func (e *engine) change(fd int, events uint32) {
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: e.generations[fd]}
	_ = unix.EpollCtl(e.epoll, unix.EPOLL_CTL_MOD, fd, &event)
}

// remove ends the watch of a descriptor. It does not close it.
func (e *engine) remove(fd int) {
	_ = unix.EpollCtl(e.epoll, unix.EPOLL_CTL_DEL, fd, nil)
	e.handlers[fd] = nil
	e.generations[fd]++
}
