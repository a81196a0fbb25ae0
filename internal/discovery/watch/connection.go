// Package watch implements the HTTP connection on which the discovery service sends the changes of the endpoint list.
//
// It executes the actions of the state machine of package discovery (when to connect, when to abort a connection), parses the
// response and passes each watch event to the request table. It keeps no endpoint list itself. A Connection must be used only on
// the goroutine of its event loop.
//
// # Files
//
//   - connection.go: how a Connection is opened, handles I/O events, and ends
//   - exchange.go: the request, and the parsing of the response into watch events
package watch

import (
	"errors"
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/discovery"
	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

// Reasons for the end of a connection, besides errors of the network and of the parsers.
var (
	errTimedOut = errors.New("timed out")
	errClosed   = errors.New("closed by the discovery service")
	errRejected = errors.New("watch rejected")
	errPanicked = errors.New("panic while handling an event")
)

// EndpointTable is the endpoint list that the watch updates. *requests.Table implements it.
type EndpointTable interface {
	// Revision returns the revision of the current endpoint list.
	Revision() int64
	// ResetRevision discards the revision, so that the next list is accepted whatever its revision is.
	ResetRevision()
	// UpdateEndpoints applies a watch event.
	UpdateEndpoints(list requests.EndpointList)
	// DiscoveryFailed reports that a connection was lost or could not be opened.
	DiscoveryFailed()
}

// Config configures a Connection. All fields are required.
type Config struct {
	Server    netip.AddrPort // of the discovery service
	Discovery discovery.Config
	Random    func(n int64) int64 // returns a random number in [0, n)
	Table     EndpointTable
	Log       *slog.Logger

	// Dial starts a non-blocking connection. The caller owns the descriptor.
	Dial func(address netip.AddrPort) (descriptor int, err error)
}

// Connection watches the endpoint list of one server at a time. It reconnects when its state machine requires it, until Stop.
type Connection struct {
	eventloop.Stream // open only while the state machine's state is open; see discovery.State.IsOpen

	loop    *eventloop.Loop
	config  Config
	server  netip.AddrPort
	machine *discovery.Watch
	timer   *eventloop.Timer // for the state machine's next deadline

	requestedRevision int64 // the connection requested the changes after this revision
	isStreaming       bool  // the response header was read
	hasReceivedEvent  bool  // since the connection was opened
	response          http1.Response
	body              http1.ChunkDecoder
	scanner           discovery.EventScanner

	lastLineAt     time.Duration // when a line was last received, on any connection; 0: never
	previousLineAt time.Duration // when a line was last received before lastLineAt; 0: never
}

// New returns a Connection that is not open, and not scheduled to be opened.
func New(loop *eventloop.Loop, config Config) *Connection {
	return &Connection{
		loop:    loop,
		config:  config,
		server:  config.Server,
		machine: discovery.New(config.Discovery, config.Random, loop.Now()),
	}
}

// Start schedules the first connection of the process. hasList means that the process already has a list to serve with.
func (c *Connection) Start(hasList bool) {
	c.machine.Start(c.loop.Now(), hasList)
	c.resetTimer()
}

// Restart opens a connection at once, unless one is open or scheduled.
func (c *Connection) Restart() {
	c.loop.Protect(c, func() {
		c.machine.Restart(c.loop.Now())
		c.runAction()
	})
}

// Stop closes the connection, and schedules no further one.
func (c *Connection) Stop() {
	c.Close()
	c.machine.Stop()
	c.resetTimer()
}

// ChangeServer watches the list of another server from now on. The connection to the previous server is closed at once, so that
// neither its end nor later input is attributed to the new server. The revisions of two servers are unrelated, so the whole list
// is requested from the new server, with revision 0.
func (c *Connection) ChangeServer(server netip.AddrPort) {
	c.server = server
	c.config.Table.ResetRevision()
	c.loop.Protect(c, func() {
		c.Close()
		c.machine.ChangeServer(c.loop.Now())
		c.runAction()
	})
}

// Server returns the address of the server whose list is watched.
func (c *Connection) Server() netip.AddrPort { return c.server }

// IsOpen reports whether there is a connection, which may not be established yet.
func (c *Connection) IsOpen() bool { return c.machine.State().IsOpen() }

// HasReceivedEvent reports whether an event was received since the last connection was opened.
func (c *Connection) HasReceivedEvent() bool { return c.hasReceivedEvent }

// InitialWait returns how long a new process should wait for its first list.
func (c *Connection) InitialWait() time.Duration { return c.machine.InitialWait() }

// resetTimer sets the timer to the state machine's next deadline.
func (c *Connection) resetTimer() {
	c.loop.StopTimer(c.timer)
	if at, ok := c.machine.NextDeadline(); ok {
		c.timer = c.loop.StartTimer(at-c.loop.Now(), c, c.runAction)
	}
}

// runAction executes the action of the state machine that is due.
func (c *Connection) runAction() {
	switch c.machine.NextAction(c.loop.Now()) {
	case discovery.ActionConnect:
		c.connect()
	case discovery.ActionAbort:
		c.end(errTimedOut)
	case discovery.ActionNone:
		c.resetTimer()
	}
}

// connect opens a connection that requests the changes since the current list.
func (c *Connection) connect() {
	c.machine.ConnectStarted(c.loop.Now())
	c.resetTimer()
	c.requestedRevision = c.config.Table.Revision()
	c.isStreaming = false
	c.hasReceivedEvent = false
	c.body = http1.ChunkDecoder{}
	c.scanner = discovery.EventScanner{}
	if err := c.dial(); err != nil {
		c.Stream = eventloop.Stream{}
		c.end(err)
	}
}

// dial starts to connect to the server.
func (c *Connection) dial() error {
	descriptor, err := c.config.Dial(c.server)
	if err != nil {
		return err
	}
	c.Stream, err = c.loop.OpenStream(descriptor, eventloop.StreamEvents|unix.EPOLLOUT, c)
	if err != nil {
		_ = c.loop.Syscalls().Close(descriptor)
	}
	return err
}

// end closes the connection and schedules the next one.
func (c *Connection) end(reason error) {
	if !c.IsOpen() {
		return
	}
	c.Close()
	now := c.loop.Now()
	staleAt := c.machine.StalenessDeadline()
	c.machine.Ended(now, errors.Is(reason, errTimedOut))
	c.resetTimer()
	retryAt, _ := c.machine.NextDeadline()
	c.config.Log.Warn("watch lost", "discovery", c.server.String(), "error", reason, "stale_in", staleAt-now, "retry_in", retryAt-now)
	c.config.Table.DiscoveryFailed()
}

// HandlePanic ends the connection.
func (c *Connection) HandlePanic() {
	c.end(errPanicked)
	c.resetTimer()
}

// HandleEvents sends the request and reads the response.
func (c *Connection) HandleEvents(events uint32) {
	if err := c.handleEvents(events); err != nil {
		c.end(err)
	}
}

// handleEvents is HandleEvents without the end of the connection. It returns the reason if the connection must end.
func (c *Connection) handleEvents(events uint32) error {
	if c.machine.State() == discovery.Connecting {
		return c.completeConnect(events)
	}
	if events&unix.EPOLLOUT != 0 {
		if err := c.Flush(); err != nil {
			return err
		}
	}
	hasEnded, err := c.Fill()
	if err != nil {
		return err
	}
	if err := c.readResponse(); err != nil {
		return err
	}
	if hasEnded {
		return errClosed
	}
	return nil
}
