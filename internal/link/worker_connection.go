package link

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/requests"
)

// workerConnection is a connection to a worker node.
type workerConnection struct {
	eventloop.Stream
	pool        *workerPool
	endpoint    *endpointConnections
	incarnation int
	state       workerConnectionState
	exchange    exchange
	lastKind    exchangeKind // what it was used for
	stage       requests.Stage
	timer       *eventloop.Timer
	idleSince   time.Duration
	idleBefore  time.Duration // how long it had been idle before its errand; 0: it is new
}

type workerConnectionState int

const (
	workerConnecting workerConnectionState = iota
	workerIdle
	workerAwaitingResponse // an errand is written, or being written, and its answer awaited
	workerClosed
)

// errNoDescriptor keeps descriptors for the client links.
var errNoDescriptor = errors.New("no descriptor left for a server link")

// isAlive looks whether an idle link still is: a close that came in this turn, after what was gathered, has not
// been told yet, and a request written to it would end as a reset that may have run.
func (k *workerConnection) isAlive() bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(k.FD(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

func (k *workerConnection) connect() error {
	s := k.pool
	if s.openCount >= s.maxConnections && !s.evictIdle() {
		return errNoDescriptor
	}
	if !k.endpoint.address.IsValid() {
		return fmt.Errorf("host %q has no address", k.endpoint.id)
	}
	fd, err := s.loop.dial(k.endpoint.address)
	if err != nil {
		return err
	}
	opened, err := s.loop.OpenStream(fd, eventloop.StreamEvents|unix.EPOLLOUT, k)
	if err != nil {
		_ = unix.Close(fd)
		return err
	}
	k.Stream = opened
	s.openCount++
	k.setTimeout(s.connectTimeout)
	return nil
}

func (k *workerConnection) setTimeout(span time.Duration) {
	k.pool.loop.StopTimer(k.timer)
	k.timer = k.pool.loop.StartTimer(span, k, func() { k.terminate(errResponseTimeout) })
}

func (k *workerConnection) HandleEvents(events uint32) {
	if k.state != workerClosed && k.isObsolete() {
		k.terminate(nil)
		return
	}
	switch k.state {
	case workerConnecting:
		if err := k.ConnectError(); err != nil {
			k.terminate(err)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		k.writeRequest()
		if k.state != workerAwaitingResponse {
			return
		}
	case workerIdle: // it was closed, or says something that nobody asked for
		k.terminate(nil)
		return
	case workerClosed:
		return
	}
	if events&unix.EPOLLOUT != 0 && len(k.Output()) > 0 {
		if err := k.Flush(); err != nil {
			k.terminate(err)
			return
		}
		k.reportIfWritten()
	}
	if events&^unix.EPOLLOUT != 0 {
		k.readResponse()
	}
}

// becomeIdle puts the link back among the idle.
func (k *workerConnection) becomeIdle() {
	k.pool.loop.StopTimer(k.timer)
	k.state, k.idleSince = workerIdle, k.pool.loop.Now()
	k.endpoint.idle = append(k.endpoint.idle, k)
}

// terminate closes the link, whatever its state; an errand that it had ends with how far it had come.
func (k *workerConnection) terminate(cause error) {
	if k.state == workerClosed {
		return
	}
	if k.state == workerIdle {
		for i, o := range k.endpoint.idle {
			if o == k {
				k.endpoint.idle = append(k.endpoint.idle[:i], k.endpoint.idle[i+1:]...)
				break
			}
		}
	}
	dropped := k.state == workerAwaitingResponse && k.idleBefore > 0 && len(k.Input()) == 0 && cause != nil && !errors.Is(cause, errResponseTimeout)
	k.state = workerClosed
	k.pool.loop.StopTimer(k.timer)
	if k.IsOpen() {
		k.Close()
		k.pool.openCount--
	}
	reason := requests.ReasonConnectionLost
	if dropped {
		k.pool.reduceIdleTrust(k.idleBefore)
		if k.exchange.kind == exchangeHealthCheck {
			reason = requests.ReasonNotSent // it says nothing of the worker node
		}
	}
	switch {
	case k.stage >= requests.StageWritten && errors.Is(cause, errResponseTimeout):
		reason = requests.ReasonTimeout
	case k.exchange.kind == exchangeHealthCheck && errors.Is(cause, errStrayResponse):
		reason = requests.ReasonNotSent // it says nothing of the worker node
	}
	k.finishExchange(&requests.AttemptError{Stage: k.stage, Reason: reason, Cause: cause})
}

func (k *workerConnection) HandlePanic() { k.terminate(errors.New("panic")) }
