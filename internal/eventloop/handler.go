package eventloop

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"
)

// Handler handles the events of a descriptor.
type Handler interface {
	// HandleEvents handles events, as epoll_ctl(2) names them.
	HandleEvents(events uint32)
	// HandlePanic ends the handler after a panic: it removes its descriptor, and reports the end of what the descriptor carried.
	HandlePanic()
}

// Prioritized is a handler with a priority other than PriorityNormal.
type Prioritized interface {
	Handler
	// Priority is read when the handler is added.
	Priority() Priority
}

// Described is a handler that identifies itself in log lines.
type Described interface {
	Handler
	// LogAttributes returns attributes for log lines about the handler.
	LogAttributes() []slog.Attr
}

// Priority is the order in which the handlers of an iteration's events are called.
type Priority int

// The priorities, the highest first.
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

// registration is the loop's state of a descriptor; the zero value stands for a descriptor that it does not own.
type registration struct {
	handler  Handler
	priority Priority
	events   uint32        // requested from epoll
	added    bool          // the descriptor was added to epoll
	retry    *Timer        // of a failed epoll_ctl(2); nil: it has not failed
	backoff  time.Duration // delay of the last retry
}

// Bounds of the backoff before a failed epoll_ctl(2) is retried.
const (
	minInterestBackoff = time.Millisecond
	maxInterestBackoff = 50 * time.Millisecond
)

// Protect calls act and recovers from a panic, which is logged and ends the handler.
func (l *Loop) Protect(handler Handler, act func()) {
	defer func() {
		if cause := recover(); cause != nil {
			attrs := []slog.Attr{slog.String("panic", fmt.Sprint(cause)), slog.String("stack", string(debug.Stack()))}
			if described, ok := handler.(Described); ok {
				attrs = append(attrs, described.LogAttributes()...)
			}
			l.log.LogAttrs(context.Background(), slog.LevelError, "panic in a connection, closing it", attrs...)
			handler.HandlePanic()
		}
	}()
	act()
}

// Add registers a handler for events of a descriptor. On success the loop owns the descriptor; on an error the caller does.
func (l *Loop) Add(descriptor int, events uint32, handler Handler) error {
	l.register(descriptor, events, handler)
	if err := l.setInterest(descriptor); err != nil {
		l.handlers[descriptor] = registration{}
		return err
	}
	return nil
}

// addEventually is Add, except that it retries later if epoll lacks memory. If the connection were closed instead, a request that
// its peer has already sent would be lost.
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

// Modify changes the events that the loop waits for on a descriptor. It does nothing for a descriptor that the loop does not own.
// If epoll_ctl(2) fails momentarily, it is retried with backoff.
func (l *Loop) Modify(fd int, events uint32) {
	if !l.has(fd) {
		return
	}
	l.handlers[fd].events = events
	if l.handlers[fd].retry == nil {
		l.updateInterest(fd)
	}
}

// updateInterest is setInterest with a retry after a momentary failure.
func (l *Loop) updateInterest(descriptor int) {
	if ClassOf(l.setInterest(descriptor)).IsMomentary() {
		l.retryInterest(descriptor)
		return
	}
	l.handlers[descriptor].backoff = 0
}

// setInterest requests the events of a descriptor from epoll.
func (l *Loop) setInterest(descriptor int) error {
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

// Remove closes a descriptor: at once, or after dispatching if events are being dispatched. It does nothing for a descriptor that
// the loop does not own.
func (l *Loop) Remove(descriptor int) {
	if !l.has(descriptor) {
		return
	}
	l.StopTimer(l.handlers[descriptor].retry)
	l.handlers[descriptor] = registration{}
	_ = l.syscalls.EpollCtl(l.epoll, unix.EPOLL_CTL_DEL, descriptor, nil)
	if l.dispatching {
		l.closing = append(l.closing, descriptor)
		return
	}
	_ = l.syscalls.Close(descriptor)
	l.reportClosed()
}

// ClosingCount returns how many descriptors were removed in this iteration and are not closed yet.
func (l *Loop) ClosingCount() int { return len(l.closing) }

// closeRemoved closes the descriptors that were removed while events were dispatched. Timers and the step can then open others in
// their place.
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
