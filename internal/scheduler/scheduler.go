// Package scheduler joins the parts of a scheduler on one event loop: the request table with its dispatch policy, the connections of
// clients and to workers, the watch on the endpoint list, the socket to other schedulers, the operators' calls, metrics and hot
// restarts.
//
// It makes the parts, and passes to each what it needs of the others. It decides nothing itself, and handles no connection's bytes.
// What is received is passed to the request table, which steps at the end of an iteration of the loop; the actions of that step are
// carried out on the connections.
//
// # Files
//
//   - scheduler.go: the Scheduler, and the step of each iteration
//   - open.go: Open: makes all parts, in the order in which they need each other
//   - connections.go: makes the budget of descriptors, the client listener, the worker pool, the watch and the peer socket
//   - policy.go: makes the request table with its dispatch policy, anew after the policy has failed
//   - features.go: makes cordons, the operators' calls and the status call, and metrics; says why the scheduler is not ready
//   - hotrestart.go: what a hot restart transfers
//   - startup.go: retries what fails momentarily at the start
//   - lifecycle.go: reload, drain, and the end
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

// Scheduler is a scheduler on its event loop. Its methods are called on the goroutine that calls Run, but for Wake and Post, which
// may be called on any.
type Scheduler struct {
	*eventloop.Loop
	Requests *requests.Table
	Capture  *capture.Recorder // nil: off

	log           *slog.Logger
	connectionLog *slog.Logger // lines about single client connections; has a budget of its own

	dial      func(address netip.AddrPort) (descriptor int, err error)
	monotonic func() time.Duration  // the clock that all processes of the machine share
	files     filesystem.FileSystem // of the state directory
	startup   startup
	settings  *dispatch.Settings

	budget       *limits.Budget
	addressLists *address.AccessLists // nil: off
	clients      *client.Listener
	workers      *worker.Pool
	watch        *watch.Connection
	peers        *socket.Socket // nil: schedulers exchange no messages
	cordons      *management.Cordons
	metrics      *push.Pusher // nil: off
	restart      *transport.Roles

	dispatcher   *dispatch.Dispatcher                       // decides, wrapped by the policy of the request table
	wrapRestored func(*dispatch.Dispatcher) requests.Policy // wraps a predecessor's dispatcher; nil: it can't be restored

	onWake        func()
	onShareLimits func(half bool)
	onSuccessor   func()
	onFail        func(error)
}

// newScheduler returns a scheduler that has no parts but its event loop. maxEvents is the number of descriptors that may be ready at
// once.
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

// nextStep returns when the request table is to step next. ok is false if no step is due, or a successor owns the table.
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
