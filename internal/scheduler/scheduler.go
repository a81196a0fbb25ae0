// Package scheduler connects the parts of a scheduler on one event loop: the request table with its dispatch policy, the
// connections of clients and to workers, the watch on the endpoint list, the socket to other schedulers, the operators' calls,
// metrics and hot restarts.
//
// It creates the parts, and passes to each its dependencies. It makes no decisions itself, and does not process the bytes of
// connections. Received messages are passed to the request table, which steps at the end of each iteration of the loop; the
// actions of that step are carried out on the connections.
//
// # Files
//
//   - scheduler.go: the Scheduler, and the step of each iteration
//   - open.go: Open, which creates all parts in the order of their dependencies
//   - connections.go: creates the budget of descriptors, the client listener, the worker pool, the watch and the peer socket
//   - policy.go: creates the request table with its dispatch policy, and a new policy after one has failed
//   - features.go: creates cordons, the operators' calls, the status call and metrics; returns why the scheduler is not ready
//   - hotrestart.go: the state that a hot restart transfers
//   - startup.go: retries steps of the start that fail temporarily
//   - lifecycle.go: reload, drain and shutdown
package scheduler

import (
	"log/slog"
	"net/netip"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/address"
	"valvecove/internal/capture"
	"valvecove/internal/client"
	"valvecove/internal/clock"
	"valvecove/internal/discovery/watch"
	"valvecove/internal/eventloop"
	"valvecove/internal/filesystem"
	"valvecove/internal/gossip/socket"
	"valvecove/internal/hotrestart/transport"
	"valvecove/internal/limits"
	"valvecove/internal/management"
	"valvecove/internal/metrics/push"
	"valvecove/internal/requests"
	"valvecove/internal/worker"
)

// Scheduler is a scheduler on its event loop. Its methods must be called on the goroutine that calls Run, except for Wake and
// Post, which may be called on any goroutine.
type Scheduler struct {
	*eventloop.Loop
	Requests *requests.Table
	Capture  *capture.Recorder // nil: disabled

	log           *slog.Logger
	connectionLog *slog.Logger // lines about single client connections, with their own rate limit

	dial      func(address netip.AddrPort) (descriptor int, err error)
	monotonic func() time.Duration  // the clock that all processes of the machine share
	files     filesystem.FileSystem // of the state directory
	startup   startup
	settings  *dispatch.Settings

	budget       *limits.Budget
	addressLists *address.AccessLists // nil: disabled
	clients      *client.Listener
	workers      *worker.Pool
	watch        *watch.Connection
	peers        *socket.Socket // nil: schedulers exchange no messages
	cordons      *management.Cordons
	metrics      *push.Pusher // nil: disabled
	restart      *transport.Roles

	dispatcher   *dispatch.Dispatcher                       // makes the decisions; wrapped by the policy of the request table
	wrapRestored func(*dispatch.Dispatcher) requests.Policy // wraps a restored dispatcher; nil: none can be restored

	onWake        func()
	onShareLimits func(half bool)
	onSuccessor   func()
	onFail        func(error)
}

// newScheduler returns a scheduler without any part except its event loop. maxEvents is the number of descriptors that may be
// ready at once.
func newScheduler(log, connectionLog *slog.Logger, readClock func() time.Duration, maxEvents int, syscalls eventloop.Syscalls) (*Scheduler, error) {
	scheduler := &Scheduler{
		log:           log,
		connectionLog: connectionLog,
		startup:       newStartup(readClock, nil),
		monotonic:     clock.Monotonic,
		files:         filesystem.Disk,
	}
	loop, err := eventloop.New(eventloop.Config{
		Clock:     readClock,
		MaxEvents: maxEvents,
		Log:       log,
		Syscalls:  syscalls,
		Hooks: eventloop.Hooks{
			NextStep:          scheduler.nextStep,
			Step:              scheduler.step,
			DescriptorsClosed: scheduler.handleDescriptorsClosed,
			Woken:             func() { scheduler.onWake() },
		},
	})
	if err != nil {
		return nil, err
	}
	scheduler.Loop = loop
	scheduler.dial = loop.Dial
	return scheduler, nil
}

// step steps the request table, and sends the messages of its policy to other schedulers.
func (s *Scheduler) step(now time.Duration) {
	s.Requests.Step(now)
	if s.peers != nil {
		s.peers.Flush()
	}
}

// nextStep returns the time of the next step of the request table. ok is false if no step is due, or if a successor owns the
// table.
func (s *Scheduler) nextStep() (at time.Duration, ok bool) {
	if s.hasRelinquished() {
		return 0, false
	}
	return s.Requests.NextStep()
}

func (s *Scheduler) handleDescriptorsClosed() {
	if s.clients != nil {
		s.clients.HandleDescriptorsClosed()
	}
}
