package link

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
)

const (
	maxAcceptTries    = 8                     // made at once for one connection
	minAcceptBackoff  = time.Millisecond      // after all of them have failed; it doubles while they go on failing
	maxAcceptBackoff  = 50 * time.Millisecond // the longest
	acceptLogInterval = time.Second           // between two lines about failed accepts
)

// acceptor accepts connections at a listening socket. Where accepting fails it pauses: the event of a connection that waits is
// level-triggered, and would be there again at once.
type acceptor struct {
	loop   *Loop
	fd     int // eventloop.NoDescriptor: there is no socket
	paused bool
	resume *eventloop.Timer // while paused

	backoff    time.Duration // before the last pause for a failure; 0: the last accept went well
	failures   int           // not logged yet
	nextLineAt time.Duration
}

// acceptResult is how an accept came out.
type acceptResult int

const (
	acceptedOne        acceptResult = iota
	acceptedNone                    // no connection waits
	acceptFailed                    // the acceptor has paused
	acceptNoDescriptor              // the same; closing a descriptor of this process helps
)

// accept accepts a connection; the caller owns the socket. It tries again at once where only the connection that was to be
// accepted has failed, or the machine lacks something for a moment: a momentary lack is to cost no time.
func (a *acceptor) accept() (socket int, from netip.AddrPort, result acceptResult) {
	for try := 1; ; try++ {
		socket, sockaddr, err := a.loop.Syscalls().Accept4(a.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == nil {
			a.backoff = 0
			return socket, eventloop.AddrPort(sockaddr), acceptedOne
		}
		class := eventloop.Classify(eventloop.CallAccept, err)
		switch {
		case class == eventloop.ErrorPending:
			return eventloop.NoDescriptor, netip.AddrPort{}, acceptedNone
		case try < maxAcceptTries && (class == eventloop.ErrorRetry || class == eventloop.ErrorNoResource):
			a.failures++
			continue
		}
		a.handleFailure(err)
		if class == eventloop.ErrorNoDescriptor {
			return eventloop.NoDescriptor, netip.AddrPort{}, acceptNoDescriptor
		}
		return eventloop.NoDescriptor, netip.AddrPort{}, acceptFailed
	}
}

// handleFailure pauses for longer each time, and logs now and then.
func (a *acceptor) handleFailure(err error) {
	a.failures++
	a.backoff = min(max(minAcceptBackoff, 2*a.backoff), maxAcceptBackoff)
	a.pause(a.backoff)
	if now := a.loop.Now(); now >= a.nextLineAt {
		a.loop.log.Warn("accepting failed", "error", err, "times", a.failures)
		a.failures = 0
		a.nextLineAt = now + acceptLogInterval
	}
}

// pause accepts nothing until resumeAccepting is called, or for a while.
func (a *acceptor) pause(delay time.Duration) {
	if !a.paused {
		a.paused = true
		a.loop.Modify(a.fd, 0)
		a.loop.StopTimer(a.resume)
		a.resume = a.loop.After(delay, a.resumeAccepting)
	}
}

func (a *acceptor) resumeAccepting() {
	if a.paused {
		a.paused = false
		a.loop.StopTimer(a.resume)
		a.loop.Modify(a.fd, unix.EPOLLIN)
	}
}
