package eventloop

import (
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Limits for an Acceptor while accepting fails.
const (
	MaxAcceptAttempts = 8                     // accepts in one call of Accept, without a pause between them
	MaxAcceptBackoff  = 50 * time.Millisecond // the longest pause

	minAcceptBackoff  = time.Millisecond // the first pause; it doubles with each further one
	acceptLogInterval = time.Second      // minimum time between two log lines about failed accepts
)

// Acceptor accepts the connections of a listening socket. After a failure it pauses, with exponential backoff: the socket's
// event is level-triggered, so a connection that can't be accepted would otherwise keep the loop busy.
//
// It is used on the loop's goroutine only. The socket's handler calls Accept.
type Acceptor struct {
	loop   *Loop
	log    *slog.Logger
	fd     int // NoDescriptor: there is no socket
	paused bool
	resume *Timer // while paused

	backoff     time.Duration // the last pause after a failure; 0: the last accept succeeded
	failures    int           // since the last log line
	nextLogLine time.Duration // by the loop's clock
}

// AcceptResult is the outcome of Accept.
type AcceptResult int

// The outcomes of Accept.
const (
	Accepted           AcceptResult = iota
	AcceptPending                   // no connection is waiting
	AcceptFailed                    // the acceptor has paused
	AcceptNoDescriptor              // the acceptor has paused; this process has no descriptor left
)

// NewAcceptor returns an acceptor without a socket.
func NewAcceptor(loop *Loop, log *slog.Logger) *Acceptor {
	return &Acceptor{loop: loop, log: log, fd: NoDescriptor}
}

// Listen opens a listening socket at an address, whose events go to the owner; see Loop.Listen.
func (a *Acceptor) Listen(address netip.AddrPort, owner Handler, options ...int) error {
	fd, err := a.loop.Listen(address, owner, options...)
	if err != nil {
		return err
	}
	a.fd = fd
	return nil
}

// Add uses a socket that is listening already, whose events go to the owner. On an error the caller owns the socket.
func (a *Acceptor) Add(fd int, owner Handler) error {
	if err := a.loop.Add(fd, unix.EPOLLIN, owner); err != nil {
		return err
	}
	a.fd = fd
	return nil
}

// FD returns the listening socket, which the acceptor owns, or NoDescriptor.
func (a *Acceptor) FD() int { return a.fd }

// Addr returns the address that the socket listens at; without a socket it is not valid.
func (a *Acceptor) Addr() netip.AddrPort {
	if a.fd < 0 {
		return netip.AddrPort{}
	}
	sockaddr, _ := a.loop.Syscalls().Getsockname(a.fd)
	return AddrPort(sockaddr)
}

// Close closes the socket, if there is one.
func (a *Acceptor) Close() {
	a.loop.Remove(a.fd)
	a.fd = NoDescriptor
}

// Accept accepts a connection; the caller owns its socket. After a failure of the connection itself, or a lack of a system
// resource, it retries at once, with at most MaxAcceptAttempts accepts. After any other failure the acceptor pauses.
func (a *Acceptor) Accept() (socket int, from netip.AddrPort, result AcceptResult) {
	for attempt := 1; ; attempt++ {
		socket, sockaddr, err := a.loop.Syscalls().Accept4(a.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == nil {
			a.backoff = 0
			return socket, AddrPort(sockaddr), Accepted
		}
		class := Classify(CallAccept, err)
		switch {
		case class == ErrorPending:
			return NoDescriptor, netip.AddrPort{}, AcceptPending
		case attempt < MaxAcceptAttempts && (class == ErrorRetry || class == ErrorNoResource):
			a.failures++
			continue
		}
		a.handleFailure(err)
		if class == ErrorNoDescriptor {
			return NoDescriptor, netip.AddrPort{}, AcceptNoDescriptor
		}
		return NoDescriptor, netip.AddrPort{}, AcceptFailed
	}
}

// handleFailure pauses accepting, and logs at most one line per acceptLogInterval.
func (a *Acceptor) handleFailure(err error) {
	a.failures++
	a.backoff = min(max(minAcceptBackoff, 2*a.backoff), MaxAcceptBackoff)
	a.Pause(a.backoff)
	if now := a.loop.Now(); now >= a.nextLogLine {
		a.log.Warn("accepting failed", "error", err, "failures", a.failures)
		a.failures = 0
		a.nextLogLine = now + acceptLogInterval
	}
}

// Pause stops the socket's events until the delay has passed or Resume is called. It does nothing during a pause.
func (a *Acceptor) Pause(delay time.Duration) {
	if a.paused {
		return
	}
	a.paused = true
	a.loop.Modify(a.fd, 0)
	a.loop.StopTimer(a.resume)
	a.resume = a.loop.After(delay, a.Resume)
}

// Resume ends a pause.
func (a *Acceptor) Resume() {
	if !a.paused {
		return
	}
	a.paused = false
	a.loop.StopTimer(a.resume)
	a.loop.Modify(a.fd, unix.EPOLLIN)
}
