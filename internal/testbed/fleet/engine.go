package fleet

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"valvecove/internal/deadline"
)

// engine is one thread of the rig: a loop round epoll that has some of the workers and some of the clients to
// itself. Only post and stop are for others.
type engine struct {
	core        int // that it is bound to; below 0: none
	startedAt   time.Time
	now         time.Duration // since began, as of the event or alarm that is being dealt with
	epoll       int
	timer       int
	wakeup      int
	armed       time.Duration // what the timer is set to
	owners      []owner       // by descriptor
	generations []int32       // and how often each was taken into use, so that an event of an earlier use is told apart
	events      [64]unix.EpollEvent
	readBuffer  [64 << 10]byte // what is read goes through here
	writeBuffer []byte         // and what is written through here
	reader      messageReader
	timers      deadline.Queue[*timer]
	free        []*job // to be used again
	measuring   bool   // the window of the measurement is open
	lateness    *hdrhistogram.Histogram
	cpuAt       time.Duration // of the thread, when the window was opened
	cpu         time.Duration // of the thread in the window

	lock     sync.Mutex
	posted   []func()
	closed   bool // the bell is closed
	stopping bool
	failure  error         // that ended it
	done     chan struct{} // closed once it has; what it holds may be looked at from then on
}

// owner is told what its descriptor is ready for.
type owner interface{ ready(events uint32) }

// timer is something that happens at a time.
type timer struct {
	deadline.Item
	owner timerTarget
}

type timerTarget interface{ timerExpired() }

// timerFunc is an alarm that calls a function.
type timerFunc func()

func (c timerFunc) timerExpired() { c() }

// maxLateness bounds lateness and latency as they are kept, in microseconds.
const maxLateness = int64(time.Minute / time.Microsecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLateness, 3) }

func record(h *hdrhistogram.Histogram, span time.Duration) {
	_ = h.RecordValue(min(max(span.Microseconds(), 0), maxLateness))
}

func newEngine(core int, began time.Time) (*engine, error) {
	engine := &engine{
		core: core, startedAt: began, epoll: -1, timer: -1, wakeup: -1, lateness: newHistogram(),
		done: make(chan struct{}),
	}
	var err error
	if engine.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err == nil {
		// A timer of its own: epoll's is in milliseconds.
		if engine.timer, err = unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC); err == nil {
			if engine.wakeup, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err == nil {
				if err = engine.add(engine.timer, unix.EPOLLIN, timerOwner{}); err == nil {
					err = engine.add(engine.wakeup, unix.EPOLLIN, wakeupOwner{engine})
				}
			}
		}
	}
	if err != nil {
		engine.close()
		return nil, fmt.Errorf("epoll, timer and bell: %w", err)
	}
	return engine, nil
}

// close gives up the engine's own descriptors; it has ended, or was never run.
func (e *engine) close() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.closed = true
	for _, fd := range []*int{&e.epoll, &e.timer, &e.wakeup} {
		if *fd >= 0 {
			_ = unix.Close(*fd)
		}
		*fd = -1
	}
}

type timerOwner struct{}

func (timerOwner) ready(uint32) {} // it is set anew before each wait that needs it

type wakeupOwner struct{ engine *engine }

func (b wakeupOwner) ready(uint32) {
	var n [8]byte
	_, _ = unix.Read(b.engine.wakeup, n[:])
	b.engine.lock.Lock()
	commands := b.engine.posted
	b.engine.posted = nil
	b.engine.lock.Unlock()
	for _, do := range commands {
		do()
	}
}

// post has something done in the engine. Any goroutine may; once the engine has ended nothing comes of it.
func (e *engine) post(do func()) {
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	e.lock.Lock()
	defer e.lock.Unlock()
	if !e.closed {
		e.posted = append(e.posted, do)
		_, _ = unix.Write(e.wakeup, one[:])
	}
}

func (e *engine) stop() { e.post(func() { e.stopping = true }) }

func (e *engine) clock() time.Duration { return time.Since(e.startedAt) }

// fail ends the engine.
func (e *engine) fail(err error) {
	if e.failure == nil {
		e.failure = err
	}
	e.stopping = true
}

// run is the engine's thread. It returns after stop, or at a fault of this machine's.
func (e *engine) run() {
	defer close(e.done)
	runtime.LockOSThread() // and never unlocked: a thread that was bound to a core ends with its goroutine
	if e.core >= 0 {
		var set unix.CPUSet
		set.Set(e.core)
		if err := unix.SchedSetaffinity(0, &set); err != nil {
			e.fail(fmt.Errorf("core %d: %w", e.core, err))
		}
	}
	for !e.stopping {
		if err := e.runIteration(); err != nil {
			e.fail(err)
		}
	}
}

// runIteration waits for something to be ready or due, and deals with it. Alarms are looked at after each event, as a turn may
// have many.
func (e *engine) runIteration() error {
	timeout := -1
	if e.timers.Len() > 0 {
		at := e.timers.First().At
		if remaining := at - e.clock(); remaining <= 0 {
			timeout = 0
		} else if at != e.armed {
			spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(remaining))}
			if err := unix.TimerfdSettime(e.timer, 0, &spec, nil); err != nil {
				return fmt.Errorf("timer: %w", err)
			}
			e.armed = at
		}
	}
	n, err := unix.EpollWait(e.epoll, e.events[:], timeout)
	if err != nil && err != unix.EINTR {
		return fmt.Errorf("epoll: %w", err)
	}
	e.fireTimers()
	for i := range e.events[:max(n, 0)] {
		ev := &e.events[i]
		fd := int(ev.Fd)
		if fd == e.timer {
			e.armed = -1
			var times [8]byte
			_, _ = unix.Read(fd, times[:])
		}
		if who := e.owners[fd]; who != nil && e.generations[fd] == ev.Pad {
			who.ready(ev.Events)
		}
		e.fireTimers()
	}
	return nil
}

// fireTimers does what is due.
func (e *engine) fireTimers() {
	e.now = e.clock()
	for e.timers.Len() > 0 {
		a := e.timers.First()
		late := e.now - a.At
		if late < 0 {
			return
		}
		e.timers.Remove(a)
		if e.measuring {
			record(e.lateness, late)
		}
		a.owner.timerExpired()
		e.now = e.clock()
	}
}

// setTimer has an alarm ring at a time.
func (e *engine) setTimer(a *timer, at time.Duration, who timerTarget) {
	e.timers.Remove(a)
	a.At, a.owner = at, who
	e.timers.Add(a)
}

// at has something done at a time.
func (e *engine) at(at time.Duration, do func()) { e.setTimer(&timer{}, at, timerFunc(do)) }

// setMeasuring opens the window of the measurement, or closes it.
func (e *engine) setMeasuring(open bool) {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t)
	if cpu := time.Duration(t.Nano()); open {
		e.cpuAt = cpu
	} else if e.measuring {
		e.cpu = cpu - e.cpuAt
	}
	e.measuring = open
}

// add has a descriptor watched.
func (e *engine) add(fd int, events uint32, who owner) error {
	for fd >= len(e.owners) {
		e.owners, e.generations = append(e.owners, nil), append(e.generations, 0)
	}
	e.generations[fd]++
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: e.generations[fd]}
	if err := unix.EpollCtl(e.epoll, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	e.owners[fd] = who
	return nil
}

func (e *engine) change(fd int, events uint32) {
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: e.generations[fd]}
	_ = unix.EpollCtl(e.epoll, unix.EPOLL_CTL_MOD, fd, &ev)
}

// remove ends the watch of a descriptor; it may stay open.
func (e *engine) remove(fd int) {
	_ = unix.EpollCtl(e.epoll, unix.EPOLL_CTL_DEL, fd, nil)
	e.owners[fd] = nil
	e.generations[fd]++
}

// fifo is a queue that keeps its room.
type fifo[T any] struct {
	items []T
	start int
}

func (q *fifo[T]) len() int { return len(q.items) - q.start }

func (q *fifo[T]) push(x T) {
	if q.start > 0 && len(q.items) == cap(q.items) {
		n := copy(q.items, q.items[q.start:])
		clear(q.items[n:])
		q.items, q.start = q.items[:n], 0
	}
	q.items = append(q.items, x)
}

func (q *fifo[T]) pop() T {
	x := q.items[q.start]
	var none T
	q.items[q.start] = none
	if q.start++; q.start == len(q.items) {
		q.items, q.start = q.items[:0], 0
	}
	return x
}
