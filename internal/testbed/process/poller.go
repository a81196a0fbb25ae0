package process

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// poller waits for sockets, for an instant and for a bell. One goroutine uses it; only ring is for others.
type poller struct {
	epoll, timer, wakeup int
	startedAt            time.Time
	now                  time.Duration // when what is told of became ready, as far as is known
	armed                time.Duration // what the timer is set to; 0: to nothing
	owners               []owner       // by descriptor
	generations          []int32       // and how often each has been used, so that an event of its last use is told apart
	events               [512]unix.EpollEvent
	readBuffer           [64 << 10]byte // what is read goes through here
	wakeupLock           sync.Mutex
	closed               bool
}

// owner is told of what its descriptor is ready for.
type owner interface{ ready(events uint32) }

func newPoller() (*poller, error) {
	poller := &poller{epoll: -1, timer: -1, wakeup: -1, startedAt: time.Now()}
	var err error
	if poller.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	// A timer of its own: epoll's is in milliseconds.
	if poller.timer, err = unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC); err == nil {
		if poller.wakeup, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err == nil {
			if err = poller.add(poller.timer, unix.EPOLLIN, timerOwner{}); err == nil {
				err = poller.add(poller.wakeup, unix.EPOLLIN, wakeupOwner{poller})
			}
		}
	}
	if err != nil {
		poller.close()
		return nil, fmt.Errorf("timer and bell: %w", err)
	}
	return poller, nil
}

// close gives up the poller's own descriptors.
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

// clock is the time since the run began.
func (p *poller) clock() time.Duration { return time.Since(p.startedAt) }

// wake wakes wait. Any goroutine may, also once the poller is closed.
func (p *poller) wake() {
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	p.wakeupLock.Lock()
	defer p.wakeupLock.Unlock()
	if !p.closed { // else the descriptor may be somebody else's by now
		_, _ = unix.Write(p.wakeup, one[:])
	}
}

type timerOwner struct{}

func (timerOwner) ready(uint32) {} // wait sets it anew

type wakeupOwner struct{ poller *poller }

func (b wakeupOwner) ready(uint32) {
	var n [8]byte
	_, _ = unix.Read(b.poller.wakeup, n[:])
}

// add has a descriptor watched.
func (p *poller) add(fd int, events uint32, who owner) error {
	for fd >= len(p.owners) {
		p.owners, p.generations = append(p.owners, nil), append(p.generations, 0)
	}
	p.generations[fd]++
	if err := unix.EpollCtl(p.epoll, unix.EPOLL_CTL_ADD, fd, p.event(fd, events)); err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	p.owners[fd] = who
	return nil
}

func (p *poller) event(fd int, events uint32) *unix.EpollEvent {
	return &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: p.generations[fd]}
}

func (p *poller) change(fd int, events uint32) {
	_ = unix.EpollCtl(p.epoll, unix.EPOLL_CTL_MOD, fd, p.event(fd, events))
}

// remove ends the watch of a descriptor that stays open.
func (p *poller) remove(fd int) {
	_ = unix.EpollCtl(p.epoll, unix.EPOLL_CTL_DEL, fd, nil)
	p.forget(fd)
}

// forget is for a descriptor that is being closed.
func (p *poller) forget(fd int) {
	p.owners[fd] = nil
	p.generations[fd]++
}

// wait waits until something is ready or the instant has come (not timed: only until something is ready), and lets the
// owners of what is ready act.
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
		if who := p.owners[fd]; who != nil && p.generations[fd] == e.Pad {
			who.ready(e.Events)
		}
	}
	return nil
}
