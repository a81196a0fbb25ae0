package eventloop

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"
)

// Handler is one descriptor's side of the loop.
type Handler interface {
	// HandleEvents handles events, as epoll_ctl(2) names them.
	HandleEvents(events uint32)
	// HandlePanic ends the handler after a panic: it removes its descriptor, and reports to its program what that ends.
	HandlePanic()
}

// Prioritized is a handler whose events are not handed out with PriorityNormal.
type Prioritized interface {
	Handler
	// Priority is read when the handler is added.
	Priority() Priority
}

// Described is a handler that says whom a line of the log is about.
type Described interface {
	Handler
	LogAttributes() []slog.Attr
}

// Priority says when in an iteration a handler has its events.
type Priority int

// The priorities, the first handed out first.
const (
	PriorityUrgent Priority = iota
	PriorityHigh
	PriorityNormal
	numPriorities
)

func (p Priority) String() string {
	switch p {
	case PriorityUrgent:
		return "urgent"
	case PriorityHigh:
		return "high"
	case PriorityNormal:
		return "normal"
	}
	return fmt.Sprintf("Priority(%d)", int(p))
}

// registration is what the loop keeps of a descriptor; it is zero where there is none.
type registration struct {
	handler  Handler
	priority Priority
	events   uint32        // that are waited for
	added    bool          // epoll has the descriptor
	retry    *Timer        // while epoll_ctl fails for the events
	backoff  time.Duration // before it
}

// Pauses before epoll_ctl is retried for the events of a descriptor.
const (
	minInterestBackoff = time.Millisecond
	maxInterestBackoff = 50 * time.Millisecond
)

// Protect calls act and contains a panic: it is logged, and ends the handler that it happened in.
func (l *Loop) Protect(handler Handler, act func()) {
	defer func() {
		if cause := recover(); cause != nil {
			attrs := []slog.Attr{slog.String("panic", fmt.Sprint(cause)), slog.String("stack", string(debug.Stack()))}
			if described, ok := handler.(Described); ok {
				attrs = append(attrs, described.LogAttributes()...)
			}
			l.log.LogAttrs(context.Background(), slog.LevelError, "panic in a connection, which ends", attrs...)
			handler.HandlePanic()
		}
	}()
	act()
}

// Add has the handler called for events of a descriptor. On success the loop owns the descriptor, else the caller does.
func (l *Loop) Add(descriptor int, events uint32, handler Handler) error {
	l.register(descriptor, events, handler)
	if err := l.tellInterest(descriptor); err != nil {
		l.handlers[descriptor] = registration{}
		return err
	}
	return nil
}

// addEventually is Add, but that a descriptor that epoll lacks memory for is added later, as soon as it can be: of a connection
// that was accepted, its peer may have sent a request already.
func (l *Loop) addEventually(descriptor int, events uint32, handler Handler) error {
	err := l.Add(descriptor, events, handler)
	if !ClassOf(err).IsMomentary() {
		return err
	}
	l.register(descriptor, events, handler)
	l.retryInterest(descriptor)
	return nil
}

func (l *Loop) register(descriptor int, events uint32, handler Handler) {
	for len(l.handlers) <= descriptor {
		l.handlers = append(l.handlers, registration{})
	}
	priority := PriorityNormal
	if prioritized, ok := handler.(Prioritized); ok {
		priority = prioritized.Priority()
	}
	l.handlers[descriptor] = registration{handler: handler, priority: priority, events: events}
}

// Modify changes which events of a descriptor the loop waits for. Of one that the loop does not have, it does nothing. Where
// epoll can't be told for a moment, it is as soon as it can.
func (l *Loop) Modify(fd int, events uint32) {
	if !l.has(fd) {
		return
	}
	l.handlers[fd].events = events
	if l.handlers[fd].retry == nil {
		l.updateInterest(fd)
	}
}

func (l *Loop) updateInterest(descriptor int) {
	if ClassOf(l.tellInterest(descriptor)).IsMomentary() {
		l.retryInterest(descriptor)
		return
	}
	l.handlers[descriptor].backoff = 0
}

// tellInterest tells epoll what is waited for.
func (l *Loop) tellInterest(descriptor int) error {
	registered := &l.handlers[descriptor]
	operation := unix.EPOLL_CTL_MOD
	if !registered.added {
		operation = unix.EPOLL_CTL_ADD
	}
	event := unix.EpollEvent{Events: registered.events, Fd: int32(descriptor)}
	if err := l.syscalls.EpollCtl(l.epoll, operation, descriptor, &event); err != nil {
		return fmt.Errorf("epoll add: %w", NewCallError(CallEpollControl, err))
	}
	registered.added = true
	return nil
}

func (l *Loop) retryInterest(descriptor int) {
	registered := &l.handlers[descriptor]
	registered.backoff = min(max(minInterestBackoff, 2*registered.backoff), maxInterestBackoff)
	registered.retry = l.After(registered.backoff, func() {
		l.handlers[descriptor].retry = nil
		l.updateInterest(descriptor)
	})
}

// has reports whether the loop owns a descriptor.
func (l *Loop) has(fd int) bool {
	return fd >= 0 && fd < len(l.handlers) && l.handlers[fd].handler != nil
}

// Remove closes a descriptor: at once, or, while events are handed out, once all are. Of one that the loop does not have, it
// does nothing.
func (l *Loop) Remove(descriptor int) {
	if !l.has(descriptor) {
		return
	}
	l.StopTimer(l.handlers[descriptor].retry)
	l.handlers[descriptor] = registration{}
	_ = l.syscalls.EpollCtl(l.epoll, unix.EPOLL_CTL_DEL, descriptor, nil)
	if l.gathering {
		l.closing = append(l.closing, descriptor)
		return
	}
	_ = l.syscalls.Close(descriptor)
	l.reportClosed()
}

// ClosingCount returns how many descriptors were removed in this iteration and are not closed yet.
func (l *Loop) ClosingCount() int { return len(l.closing) }

// closeRemoved closes the descriptors that were removed while events were handed out: what is opened from here on, by timers
// and by the step, finds them free.
func (l *Loop) closeRemoved() {
	for _, fd := range l.closing {
		_ = l.syscalls.Close(fd)
	}
	if len(l.closing) > 0 {
		l.closing = l.closing[:0]
		l.reportClosed()
	}
}

func (l *Loop) reportClosed() {
	if l.hooks.DescriptorsClosed != nil {
		l.hooks.DescriptorsClosed()
	}
}
