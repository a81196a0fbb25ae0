package link

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
)

const (
	handshakeTimeout = 3 * time.Second        // a peer that has not sent its first message by then is given up
	transferTimeout  = 600 * time.Millisecond // nobody is served during a transfer
)

// An abstract socket name becomes free some time after the process that had it let go of it.
const (
	listenRetryInterval = 20 * time.Millisecond
	maxListenRetries    = 100
)

// Errors of Relinquish.
var (
	ErrNoSuccessor = errors.New("no successor stands by")
	ErrNotSettled  = errors.New("not settled yet") // try again in a moment
)

// predecessorRole is the side of a process that serves: it awaits a successor.
type predecessorRole struct {
	loop      *Loop
	acceptor  *eventloop.Acceptor // at the Unix socket
	protocol  hotrestart.Predecessor
	successor *successorConn // nil: none is connected
}

// successorConn is the connection to a successor.
type successorConn struct {
	frameChannel
	role           *predecessorRole
	handshakeTimer *eventloop.Timer
}

// OnSuccessor has act called whenever a successor stands by.
func (l *Loop) OnSuccessor(act func()) { l.onSuccessor = act }

// hasRelinquished tells whether a successor owns all that this process had.
func (l *Loop) hasRelinquished() bool {
	return l.predecessorRole != nil && l.predecessorRole.protocol.HasRelinquished()
}

// awaitSuccessor listens for a successor at the first of the addresses that can be bound.
func (l *Loop) awaitSuccessor(addresses []string) {
	l.awaitSuccessorWithRetries(addresses, maxListenRetries, listenRetryInterval)
}

// awaitSuccessorWithRetries tries again, so many times, where the address is in use, and for as long as it takes where the
// machine lacks something.
func (l *Loop) awaitSuccessorWithRetries(addresses []string, retries int, backoff time.Duration) {
	role := &predecessorRole{loop: l, acceptor: eventloop.NewAcceptor(l.Loop, l.log)}
	err := role.listen(addresses)
	switch {
	case err == nil:
		l.predecessorRole = role
	case errors.Is(err, unix.EADDRINUSE) && retries > 0:
		l.After(listenRetryInterval, func() { l.awaitSuccessorWithRetries(addresses, retries-1, backoff) })
	case isMomentary(err):
		l.After(backoff, func() { l.awaitSuccessorWithRetries(addresses, retries, min(2*backoff, maxReopenBackoff)) })
	default: // this process can still be replaced, by a drain
		l.log.Warn("no successor can reach this process", "error", err)
	}
}

func (r *predecessorRole) listen(addresses []string) error {
	fd, err := r.loop.listenForSuccessor(addresses)
	if err != nil {
		return err
	}
	if err := r.acceptor.Add(fd, r); err != nil {
		_ = r.loop.Syscalls().Close(fd)
		return err
	}
	return nil
}

func (r *predecessorRole) HandlePanic() {}

// HandleEvents accepts a successor, or rejects it.
func (r *predecessorRole) HandleEvents(uint32) {
	socket, _, result := r.acceptor.Accept()
	if result != eventloop.Accepted {
		return
	}
	if present := r.successor; present != nil { // it may have gone just now, perhaps to come again
		r.loop.Protect(present, func() { present.HandleEvents(unix.EPOLLIN) })
	}
	conn := &successorConn{role: r}
	conn.loop = r.loop
	var err error
	if conn.Stream, err = r.loop.OpenStream(socket, eventloop.StreamEvents, conn); err != nil {
		_ = r.loop.Syscalls().Close(socket)
		return
	}
	if reason := r.protocol.HandleConnect(r.loop.isPeerOwnUser(socket)); reason != nil {
		r.loop.log.Warn("successor turned away", "why", reason)
		_ = conn.sendMessage(hotrestart.Reject{Reason: reason.Error()})
		conn.closeWithDescriptors()
		return
	}
	r.successor = conn
	conn.handshakeTimer = r.loop.StartTimer(handshakeTimeout, conn, func() { conn.disconnect(errHandshakeTimeout) })
}

// notifyCordoned tells a successor in standby which workers are cordoned, so that its metrics are right.
func (l *Loop) notifyCordoned() {
	role := l.predecessorRole
	if role != nil && role.protocol.State() == hotrestart.PredecessorPaired {
		_ = role.successor.sendMessage(hotrestart.CordonedWorkers{WorkerIDs: l.Requests.Cordoned()})
	}
}

func (c *successorConn) HandlePanic() { c.disconnect(errHandlerPanicked) }

// disconnect ends the connection; the process serves on, unless it has relinquished.
func (c *successorConn) disconnect(cause error) {
	if !c.IsOpen() {
		return
	}
	c.loop.StopTimer(c.handshakeTimer)
	c.role.successor = nil
	c.role.protocol.HandleDisconnect()
	if !c.loop.hasRelinquished() {
		c.loop.budget.SetHalved(false)
	}
	c.loop.log.Info("successor gone", "cause", cause)
	for _, call := range c.pendingCalls.TakeAll() {
		call.Respond(503, "the process that serves has gone")
	}
	c.closeWithDescriptors()
}

func (c *successorConn) HandleEvents(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		if err := c.Flush(); err != nil {
			c.disconnect(err)
			return
		}
	}
	ended, err := c.receive()
	if errors.Is(err, errInputDelayed) {
		c.PauseInput()
		return
	}
	if err == nil {
		err = c.handleMessages(c.handleMessage)
	}
	if err != nil || ended {
		c.disconnect(err)
	}
}

func (c *successorConn) handleMessage(message hotrestart.Message, descriptor int) error {
	c.loop.closeDescriptor(descriptor) // a successor passes none
	action, err := c.role.protocol.HandleMessage(message)
	switch action {
	case hotrestart.ActionReject:
		_ = c.sendMessage(hotrestart.Reject{Reason: err.Error()})
	case hotrestart.ActionAccept:
		return c.accept()
	case hotrestart.ActionApply:
		c.apply(message)
	}
	return err
}

// accept passes the socket that clients connect to.
func (c *successorConn) accept() error {
	loop := c.loop
	loop.StopTimer(c.handshakeTimer)
	accept := hotrestart.Accept{Version: hotrestart.ProtocolVersion, CordonedWorkers: loop.Requests.Cordoned()}
	if err := c.sendMessageBefore(loop.Clock()+transferTimeout, accept, loop.clients.Socket()); err != nil {
		return err
	}
	if loop.cordons.UnstoredCount() > 0 { // else the successor would take the file for newer, should this process die
		loop.notifyCordoned()
	}
	loop.log.Info("successor stands by")
	loop.budget.SetHalved(true)
	if loop.onSuccessor != nil {
		loop.onSuccessor()
	}
	return nil
}

func (c *successorConn) apply(message hotrestart.Message) {
	switch message := message.(type) {
	case hotrestart.SetCordon:
		c.loop.cordons.Apply(message, func(result hotrestart.CordonResult) {
			if c.IsOpen() && c.sendMessage(result) != nil {
				c.disconnect(errPeerNotListening)
			}
		})
	case hotrestart.CordonResult:
		c.pendingCalls.Complete(message)
	}
}

// forwardCordonToSuccessor forwards an operator's call once the successor owns everything.
func (c *successorConn) forwardCordonToSuccessor(workerID string, cordoned bool, respond func(statusCode int, message string)) {
	if c.forwardCordon(workerID, cordoned, respond) != nil {
		c.disconnect(errPeerNotListening)
	}
}

// Relinquish hands over all that this process has to the successor, in one step: the successor owns it once it says so, and
// until then nothing has changed here. Nothing else is done meanwhile: of two processes that act, both would be owners.
//
// It returns ErrNoSuccessor if none stands by, and ErrNotSettled if the policy has not heard of all events, an attempt has no
// connection yet or a file is being written; what could not be written the successor writes. After any other error this process is
// still the owner.
func (l *Loop) Relinquish() error {
	role := l.predecessorRole
	if role == nil || role.protocol.State() != hotrestart.PredecessorPaired {
		return ErrNoSuccessor
	}
	l.Requests.AwaitEndpoints(0) // requests that wait for endpoints are handed over too
	l.workers.EndWaitingDials()
	if !l.Requests.FlushEvents(l.Now()) || l.workers.HasWaitingDials() || !l.cordons.Fence() {
		return ErrNotSettled
	}
	startedAt := l.Clock()
	role.protocol.BeginTransfer()
	transfer := &stateTransfer{loop: l, successor: role.successor, deadline: startedAt + transferTimeout}
	err := transfer.run()
	if err != nil && !role.successor.takenOverBeforeShutdown() {
		role.successor.disconnect(err)
		l.cordons.Unfence()
		return fmt.Errorf("handing over: %w", err)
	}
	l.releaseTransferred()
	took := (l.Clock() - startedAt).Round(10 * time.Microsecond)
	l.log.Info("handed over", "requests", transfer.requestCount, "client_connections", transfer.clientConnectionCount,
		"worker_connections", transfer.workerConnectionCount, "snapshot_bytes", transfer.snapshotSize, "took", took.String())
	return nil
}

// takenOverBeforeShutdown shuts the connection down, and tells whether the successor had said that it has taken over. Nothing
// that it says later reaches this process, and it finds that out: there are never two owners. It reads all that has come,
// however long this machine lacks something for that: that nothing was said must be certain.
func (c *successorConn) takenOverBeforeShutdown() bool {
	for isMomentary(eventloop.NewCallError(eventloop.CallShutdown, c.loop.Syscalls().Shutdown(c.FD(), unix.SHUT_RDWR))) {
		time.Sleep(shortageWait)
	}
	for {
		before := len(c.Input())
		ended, err := c.receive()
		if errors.Is(err, errInputDelayed) {
			time.Sleep(shortageWait)
			continue
		}
		if err != nil || ended || len(c.Input()) == before {
			break
		}
	}
	for offset := 0; ; {
		frame, size, err := hotrestart.ReadFrame(c.Input()[offset:])
		if err != nil {
			return false
		}
		if frame.Kind == hotrestart.KindTakenOver {
			_, _ = c.role.protocol.HandleMessage(hotrestart.TakenOver{})
			return true
		}
		offset += size
	}
}

// releaseTransferred lets go of what the successor owns now.
func (l *Loop) releaseTransferred() {
	l.clients.Relinquish()
	l.workers.Relinquish()
	l.watch.Stop()
	l.clients.CloseSocket()
	l.predecessorRole.acceptor.Close()
	if l.peers != nil {
		l.peers.Close()
	}
}
