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

// engine is one thread of the rig: a loop round epoll that has some of the worker nodes and some of the clients to
// itself. Only post and stop are for others.
type engine struct {
	core   int // that it is bound to; below 0: none
	began  time.Time
	now    time.Duration // since began, as of the event or alarm that is being dealt with
	epoll  int
	timer  int
	bell   int
	armed  time.Duration // what the timer is set to
	owners []owner       // by descriptor
	ages   []int32       // and how often each was taken into use, so that an event of an earlier use is told apart
	events [64]unix.EpollEvent
	scrap  [64 << 10]byte // what is read goes through here
	out    []byte         // and what is written through here
	reader messageReader
	alarms deadline.Queue[*alarm]
	free   []*job // to be used again
	counts bool   // the window of the measurement is open
	late   *hdrhistogram.Histogram
	cpuAt  time.Duration // of the thread, when the window was opened
	cpu    time.Duration // of the thread in the window

	lock   sync.Mutex
	orders []func()
	mute   bool // the bell is closed
	over   bool
	fault  error         // that ended it
	ended  chan struct{} // closed once it has; what it holds may be looked at from then on
}

// owner is told what its descriptor is ready for.
type owner interface{ ready(events uint32) }

// alarm is something that happens at a time.
type alarm struct {
	deadline.Item
	who ringer
}

type ringer interface{ ring() }

// call is an alarm that calls a function.
type call func()

func (c call) ring() { c() }

// mostLate bounds lateness and latency as they are kept, in microseconds.
const mostLate = int64(time.Minute / time.Microsecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, mostLate, 3) }

func record(h *hdrhistogram.Histogram, span time.Duration) {
	_ = h.RecordValue(min(max(span.Microseconds(), 0), mostLate))
}

func newEngine(core int, began time.Time) (*engine, error) {
	e := &engine{
		core: core, began: began, epoll: -1, timer: -1, bell: -1, late: newHistogram(),
		ended: make(chan struct{}),
	}
	var err error
	if e.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err == nil {
		// A timer of its own: epoll's is in milliseconds.
		if e.timer, err = unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC); err == nil {
			if e.bell, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err == nil {
				if err = e.add(e.timer, unix.EPOLLIN, timerOwner{}); err == nil {
					err = e.add(e.bell, unix.EPOLLIN, bellOwner{e})
				}
			}
		}
	}
	if err != nil {
		e.close()
		return nil, fmt.Errorf("epoll, timer and bell: %w", err)
	}
	return e, nil
}

// close gives up the engine's own descriptors; it has ended, or was never run.
func (e *engine) close() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.mute = true
	for _, fd := range []*int{&e.epoll, &e.timer, &e.bell} {
		if *fd >= 0 {
			_ = unix.Close(*fd)
		}
		*fd = -1
	}
}

type timerOwner struct{}

func (timerOwner) ready(uint32) {} // it is set anew before each wait that needs it

type bellOwner struct{ e *engine }

func (b bellOwner) ready(uint32) {
	var n [8]byte
	_, _ = unix.Read(b.e.bell, n[:])
	b.e.lock.Lock()
	orders := b.e.orders
	b.e.orders = nil
	b.e.lock.Unlock()
	for _, do := range orders {
		do()
	}
}

// post has something done in the engine. Any goroutine may; once the engine has ended nothing comes of it.
func (e *engine) post(do func()) {
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	e.lock.Lock()
	defer e.lock.Unlock()
	if !e.mute {
		e.orders = append(e.orders, do)
		_, _ = unix.Write(e.bell, one[:])
	}
}

func (e *engine) stop() { e.post(func() { e.over = true }) }

func (e *engine) clock() time.Duration { return time.Since(e.began) }

// fail ends the engine.
func (e *engine) fail(err error) {
	if e.fault == nil {
		e.fault = err
	}
	e.over = true
}

// run is the engine's thread. It returns after stop, or at a fault of this machine's.
func (e *engine) run() {
	defer close(e.ended)
	runtime.LockOSThread() // and never unlocked: a thread that was bound to a core ends with its goroutine
	if e.core >= 0 {
		var set unix.CPUSet
		set.Set(e.core)
		if err := unix.SchedSetaffinity(0, &set); err != nil {
			e.fail(fmt.Errorf("core %d: %w", e.core, err))
		}
	}
	for !e.over {
		if err := e.turn(); err != nil {
			e.fail(err)
		}
	}
}

// turn waits for something to be ready or due, and deals with it. Alarms are looked at after each event, as a turn may
// have many.
func (e *engine) turn() error {
	ms := -1
	if e.alarms.Len() > 0 {
		at := e.alarms.First().At
		if left := at - e.clock(); left <= 0 {
			ms = 0
		} else if at != e.armed {
			spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(left))}
			if err := unix.TimerfdSettime(e.timer, 0, &spec, nil); err != nil {
				return fmt.Errorf("timer: %w", err)
			}
			e.armed = at
		}
	}
	n, err := unix.EpollWait(e.epoll, e.events[:], ms)
	if err != nil && err != unix.EINTR {
		return fmt.Errorf("epoll: %w", err)
	}
	e.fire()
	for i := range e.events[:max(n, 0)] {
		ev := &e.events[i]
		fd := int(ev.Fd)
		if fd == e.timer {
			e.armed = -1
			var times [8]byte
			_, _ = unix.Read(fd, times[:])
		}
		if who := e.owners[fd]; who != nil && e.ages[fd] == ev.Pad {
			who.ready(ev.Events)
		}
		e.fire()
	}
	return nil
}

// fire does what is due.
func (e *engine) fire() {
	e.now = e.clock()
	for e.alarms.Len() > 0 {
		a := e.alarms.First()
		late := e.now - a.At
		if late < 0 {
			return
		}
		e.alarms.Remove(a)
		if e.counts {
			record(e.late, late)
		}
		a.who.ring()
		e.now = e.clock()
	}
}

// set has an alarm ring at a time.
func (e *engine) set(a *alarm, at time.Duration, who ringer) {
	e.alarms.Remove(a)
	a.At, a.who = at, who
	e.alarms.Add(a)
}

// at has something done at a time.
func (e *engine) at(at time.Duration, do func()) { e.set(&alarm{}, at, call(do)) }

// window opens the window of the measurement, or closes it.
func (e *engine) window(open bool) {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t)
	if cpu := time.Duration(t.Nano()); open {
		e.cpuAt = cpu
	} else if e.counts {
		e.cpu = cpu - e.cpuAt
	}
	e.counts = open
}

// add has a descriptor watched.
func (e *engine) add(fd int, events uint32, who owner) error {
	for fd >= len(e.owners) {
		e.owners, e.ages = append(e.owners, nil), append(e.ages, 0)
	}
	e.ages[fd]++
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: e.ages[fd]}
	if err := unix.EpollCtl(e.epoll, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	e.owners[fd] = who
	return nil
}

func (e *engine) change(fd int, events uint32) {
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: e.ages[fd]}
	_ = unix.EpollCtl(e.epoll, unix.EPOLL_CTL_MOD, fd, &ev)
}

// remove ends the watch of a descriptor; it may stay open.
func (e *engine) remove(fd int) {
	_ = unix.EpollCtl(e.epoll, unix.EPOLL_CTL_DEL, fd, nil)
	e.owners[fd] = nil
	e.ages[fd]++
}

// fifo is a queue that keeps its room.
type fifo[T any] struct {
	items []T
	head  int
}

func (q *fifo[T]) len() int { return len(q.items) - q.head }

func (q *fifo[T]) put(x T) {
	if q.head > 0 && len(q.items) == cap(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	q.items = append(q.items, x)
}

func (q *fifo[T]) take() T {
	x := q.items[q.head]
	var none T
	q.items[q.head] = none
	if q.head++; q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
	}
	return x
}
