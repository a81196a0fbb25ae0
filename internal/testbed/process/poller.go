package process

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// poller waits on epoll for sockets, a timer and wake-ups by other goroutines. One goroutine uses it; only wake is for
// others.
type poller struct {
	epoll, timer, wakeup int // descriptors
	startedAt            time.Time
	now                  time.Duration  // clock when the events being handled were returned by epoll
	armed                time.Duration  // what the timer is set to; 0 if it is off, -1 once it has expired
	handlers             []eventHandler // by descriptor
	generations          []int32        // by descriptor: counts its uses, so that an event of an earlier use is recognised
	events               [512]unix.EpollEvent
	readBuffer           [64 << 10]byte // shared by all connections
	wakeupLock           sync.Mutex     // guards closed, and writing to wakeup
	closed               bool
}

// eventHandler handles the events of a descriptor.
type eventHandler interface{ ready(events uint32) }

// newPoller makes a poller whose clock starts now. The caller has to close it.
func newPoller() (*poller, error) {
	created := &poller{epoll: -1, timer: -1, wakeup: -1, startedAt: time.Now()}
	var err error
	if created.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	// A separate timer, as epoll's own timeout is in milliseconds.
	if created.timer, err = unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC); err == nil {
		if created.wakeup, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err == nil {
			if err = created.add(created.timer, unix.EPOLLIN, timerHandler{}); err == nil {
				err = created.add(created.wakeup, unix.EPOLLIN, wakeupHandler{created})
			}
		}
	}
	if err != nil {
		created.close()
		return nil, fmt.Errorf("timer and wake-up descriptors: %w", err)
	}
	return created, nil
}

// close closes the poller's own descriptors.
func (p *poller) close() {
	p.wakeupLock.Lock()
	p.closed = true
	p.wakeupLock.Unlock()
	for _, fd := range []int{p.epoll, p.timer, p.wakeup} {
		if fd >= 0 {
			_ = unix.Close(fd)
		}
	}
}

// clock is the time since startedAt.
func (p *poller) clock() time.Duration { return time.Since(p.startedAt) }

// wake has wait return. Any goroutine may call it, also once the poller is closed.
func (p *poller) wake() {
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	p.wakeupLock.Lock()
	defer p.wakeupLock.Unlock()
	if !p.closed { // the descriptor of a closed poller may be in use elsewhere by now
		_, _ = unix.Write(p.wakeup, one[:])
	}
}

type timerHandler struct{}

func (timerHandler) ready(uint32) {} // wait sets the timer again

type wakeupHandler struct{ poller *poller }

func (h wakeupHandler) ready(uint32) {
	var n [8]byte
	_, _ = unix.Read(h.poller.wakeup, n[:])
}

// add watches a descriptor for events.
func (p *poller) add(fd int, events uint32, handler eventHandler) error {
	for fd >= len(p.handlers) {
		p.handlers, p.generations = append(p.handlers, nil), append(p.generations, 0)
	}
	p.generations[fd]++
	if err := unix.EpollCtl(p.epoll, unix.EPOLL_CTL_ADD, fd, p.event(fd, events)); err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	p.handlers[fd] = handler
	return nil
}

func (p *poller) event(fd int, events uint32) *unix.EpollEvent {
	return &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: p.generations[fd]}
}

// change sets the events that a descriptor is watched for.
func (p *poller) change(fd int, events uint32) {
	_ = unix.EpollCtl(p.epoll, unix.EPOLL_CTL_MOD, fd, p.event(fd, events))
}

// remove stops watching a descriptor that stays open.
func (p *poller) remove(fd int) {
	_ = unix.EpollCtl(p.epoll, unix.EPOLL_CTL_DEL, fd, nil)
	p.forget(fd)
}

// forget drops the handler of a descriptor that is about to be closed; closing it removes it from epoll.
func (p *poller) forget(fd int) {
	p.handlers[fd] = nil
	p.generations[fd]++
}

// wait waits until a descriptor is ready or, if timed, until a time of the clock, and calls the handlers of the ready
// descriptors.
func (p *poller) wait(until time.Duration, timed bool) error {
	timeout := -1
	if !timed {
		until = 0
	}
	switch remaining := until - p.clock(); {
	case timed && remaining <= 0:
		timeout = 0
	case until != p.armed:
		at := unix.ItimerSpec{Value: unix.NsecToTimespec(max(0, int64(remaining)))}
		if err := unix.TimerfdSettime(p.timer, 0, &at, nil); err != nil {
			return fmt.Errorf("timer: %w", err)
		}
		p.armed = until
	}
	n, err := unix.EpollWait(p.epoll, p.events[:], timeout)
	if err != nil && err != unix.EINTR {
		return fmt.Errorf("epoll: %w", err)
	}
	p.now = p.clock()
	for _, e := range p.events[:max(n, 0)] {
		fd := int(e.Fd)
		if fd == p.timer {
			p.armed = -1
		}
		if handler := p.handlers[fd]; handler != nil && p.generations[fd] == e.Pad {
			handler.ready(e.Events)
		}
	}
	return nil
}
