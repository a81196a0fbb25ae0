// Package link is what a scheduler speaks on the network, all of it HTTP/1.1 on one event loop: connections of clients,
// connections to workers, the watch on the endpoint list, the operators' calls, the status call, and the channel between the
// two processes of a hot restart. What is ready is taken into the request table, which steps once an iteration; its actions
// are then carried out on the connections.
//
// It owns every socket of the process, and the limits on descriptors and buffers. It never decides which worker a request
// goes to or whether it is retried: the request table and its policy do.
package link

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

// Loop is the event loop of a scheduler with all its connections. Everything in this package runs on the goroutine that calls
// Run, but for Wake and Post, which any may call.
type Loop struct {
	*eventloop.Loop
	Requests *requests.Table
	Capture  *capture.Recorder // nil: off

	log           *slog.Logger
	connectionLog *slog.Logger // about client connections, whose lines must not crowd out the others

	dial      func(address netip.AddrPort) (fd int, err error)
	monotonic func() time.Duration // the clock that all processes of the machine share

	clients      *client.Listener
	workers      *worker.Pool
	watch        *watch.Connection
	cordons      *management.Cordons
	metrics      *push.Pusher         // nil: off
	peers        *socket.Socket       // nil: schedulers exchange no messages
	addressLists *address.AccessLists // nil: off
	dispatcher   *dispatch.Dispatcher // that decides, in whatever wraps it
	settings     *dispatch.Settings

	startup startup
	budget  *limits.Budget

	restart      *transport.Roles                           // in hot restarts
	files        filesystem.FileSystem                      // of the state directory
	wrapRestored func(*dispatch.Dispatcher) requests.Policy // wraps a dispatcher from another process; nil: none can go on here

	onWake        func()
	onShareLimits func(half bool) // has the memory limit follow
	onSuccessor   func()          // a successor stands by to replace this process
	onFail        func(error)     // the process can't go on
}

// newLoop returns a loop that has no connections yet. maxEvents is how many descriptors may be ready at once.
func newLoop(log, connectionLog *slog.Logger, readClock func() time.Duration, maxEvents int, syscalls eventloop.Syscalls) (*Loop, error) {
	loop := &Loop{log: log, connectionLog: connectionLog, startup: newStartup(readClock), monotonic: clock.Monotonic, files: filesystem.Disk}
	events, err := eventloop.New(eventloop.Config{
		Clock:     readClock,
		MaxEvents: maxEvents,
		Log:       log,
		Syscalls:  syscalls,
		Hooks: eventloop.Hooks{
			NextStep:          loop.nextStep,
			Step:              loop.step,
			DescriptorsClosed: loop.handleDescriptorsClosed,
			Woken:             func() { loop.onWake() },
		},
	})
	if err != nil {
		return nil, err
	}
	loop.Loop = events
	loop.dial = events.Dial
	return loop, nil
}

// step has the request table step, and sends the messages of its policy to other schedulers.
func (l *Loop) step(now time.Duration) {
	l.Requests.Step(now)
	if l.peers != nil {
		l.peers.Flush()
	}
}

// nextStep returns when the request table is to step next. Once a successor owns it, it never is.
func (l *Loop) nextStep() (at time.Duration, ok bool) {
	if l.hasRelinquished() {
		return 0, false
	}
	return l.Requests.NextStep()
}

func (l *Loop) handleDescriptorsClosed() {
	if l.clients != nil {
		l.clients.HandleDescriptorsClosed()
	}
}

// attemptHold returns how long an attempt that is to be written is held, until it is known whether its client still waits.
func (l *Loop) attemptHold(attempt *requests.Attempt) time.Duration {
	return client.AttemptHold(attempt)
}
