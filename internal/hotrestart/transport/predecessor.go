package transport

import (
	"errors"
	"fmt"
	"time"

	"valvecove/internal/http1"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
)

const (
	handshakeTimeout = 3 * time.Second        // for the first message of the peer
	transferTimeout  = 600 * time.Millisecond // no client is served during a transfer
	durationRounding = 10 * time.Microsecond  // rounding of a transfer's duration in the log

	// maxFailedTransfers is the maximum number of transfers that fail. Each may block this process for transferTimeout. Earlier
	// builds of a successor serve alone after the third session that they lose, so the third is kept open.
	maxFailedTransfers = 2
)

// Retries of AwaitSuccessor. An abstract socket name becomes free some time after its last owner has closed the socket.
const (
	addressInUseBackoff    = 20 * time.Millisecond
	maxAddressInUseRetries = 100
	maxListenBackoff       = time.Second // during a resource shortage
)

// predecessor is the role of a serving process: it accepts a successor, and transfers all state to it.
type predecessor struct {
	roles      *Roles
	acceptor   *eventloop.Acceptor // of the Unix socket
	protocol   hotrestart.Predecessor
	connection *successorConnection // nil: no successor is connected

	failedTransfers int
}

// successorConnection is a predecessor's connection to its successor.
type successorConnection struct {
	channel
	role           *predecessor
	handshakeTimer *eventloop.Timer
}

// AwaitSuccessor listens for a successor at the first of the addresses that can be bound. If none can, it retries: for a
// limited time if the address is in use, and without limit during a resource shortage. Any other error is logged, and means
// that this process can't transfer its state to a successor: it can only be drained.
func (r *Roles) AwaitSuccessor(addresses []string) {
	r.awaitSuccessor(addresses, maxAddressInUseRetries, addressInUseBackoff)
}

func (r *Roles) awaitSuccessor(addresses []string, retries int, backoff time.Duration) {
	role := &predecessor{roles: r, acceptor: eventloop.NewAcceptor(r.loop, r.config.Log)}
	err := role.listen(addresses)
	switch {
	case err == nil:
		r.predecessor = role
	case errors.Is(err, unix.EADDRINUSE) && retries > 0:
		r.loop.After(addressInUseBackoff, func() { r.awaitSuccessor(addresses, retries-1, backoff) })
	case isMomentary(err):
		r.loop.After(backoff, func() { r.awaitSuccessor(addresses, retries, min(2*backoff, maxListenBackoff)) })
	default:
		r.config.Log.Warn("successor socket open failed", "error", err)
	}
}

func (p *predecessor) listen(addresses []string) error {
	descriptor, err := p.roles.unixSockets().listen(addresses)
	if err != nil {
		return err
	}
	if err := p.acceptor.Add(descriptor, p); err != nil {
		_ = p.roles.loop.Syscalls().Close(descriptor)
		return err
	}
	return nil
}

// HandlePanic does nothing: the socket remains in use.
func (p *predecessor) HandlePanic() {}

// HandleEvents accepts a successor or rejects it.
func (p *predecessor) HandleEvents(uint32) {
	loop := p.roles.loop
	socket, _, result := p.acceptor.Accept()
	if result != eventloop.Accepted {
		return
	}
	if present := p.connection; present != nil { // the same successor may have just disconnected to reconnect
		loop.Protect(present, func() { present.HandleEvents(unix.EPOLLIN) })
	}
	connecting := &successorConnection{channel: channel{roles: p.roles}, role: p}
	var err error
	if connecting.Stream, err = loop.OpenStream(socket, eventloop.StreamEvents, connecting); err != nil {
		_ = loop.Syscalls().Close(socket)
		return
	}
	if reason := p.protocol.HandleConnect(p.roles.unixSockets().isPeerOwnUser(socket)); reason != nil {
		p.roles.config.Log.Warn("successor rejected", "reason", reason)
		_ = connecting.sendMessage(hotrestart.Reject{Reason: reason.Error()})
		connecting.closeWithDescriptors()
		return
	}
	p.connection = connecting
	connecting.handshakeTimer = loop.StartTimer(handshakeTimeout, connecting, func() { connecting.disconnect(errHandshakeTimeout) })
}

// HandlePanic ends the connection.
func (s *successorConnection) HandlePanic() { s.disconnect(errHandlerPanicked) }

// disconnect ends the connection. This process continues to serve, unless it has relinquished. err is nil if the successor has
// closed the connection.
func (s *successorConnection) disconnect(err error) {
	if !s.IsOpen() {
		return
	}
	s.roles.loop.StopTimer(s.handshakeTimer)
	s.role.connection = nil
	s.role.protocol.HandleDisconnect()
	if !s.roles.HasRelinquished() {
		s.roles.config.SetHalved(false)
	}
	s.roles.config.Log.Info("successor disconnected", "error", err)
	for _, call := range s.pendingCalls.TakeAll() {
		call.Respond(http1.StatusServiceUnavailable, "the process that serves has gone")
	}
	s.closeWithDescriptors()
}

// HandleEvents sends queued output and handles the successor's messages.
func (s *successorConnection) HandleEvents(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		if err := s.Flush(); err != nil {
			s.disconnect(err)
			return
		}
	}
	hasEnded, err := s.receive()
	if errors.Is(err, errInputDelayed) {
		s.PauseInput()
		return
	}
	if err == nil {
		err = s.handleMessages(s.handleMessage)
	}
	if err != nil || hasEnded {
		s.disconnect(err)
	}
}

func (s *successorConnection) handleMessage(message hotrestart.Message, descriptor int) error {
	s.roles.closeDescriptor(descriptor) // a successor sends no descriptor
	action, err := s.role.protocol.HandleMessage(message)
	switch action {
	case hotrestart.ActionReject:
		_ = s.sendMessage(hotrestart.Reject{Reason: err.Error()})
	case hotrestart.ActionAccept:
		handshake, _ := message.(hotrestart.Handshake)
		s.sendsParts = handshake.AcceptsParts
		return s.accept()
	case hotrestart.ActionApply:
		s.apply(message)
	}
	return err
}

// accept sends Accept, with which the successor enters standby, and passes the client listener's socket along.
func (s *successorConnection) accept() error {
	config := &s.roles.config
	s.roles.loop.StopTimer(s.handshakeTimer)
	accept := hotrestart.Accept{
		Version:         hotrestart.ProtocolVersion,
		CordonedWorkers: config.Cordoned.Cordoned(),
		MarksOverrun:    true,
	}
	if err := s.sendMessageBefore(s.roles.loop.Clock()+transferTimeout, accept, config.Clients.Socket()); err != nil {
		return err
	}
	// If this process dies, a successor that was not notified of a change restores the cordoned workers from the file, which
	// lacks the unstored ones.
	if s.roles.cordons.UnstoredCount() > 0 {
		s.roles.CordonsChanged()
	}
	config.Log.Info("successor in standby")
	config.SetHalved(true)
	config.OnStandby()
	return nil
}

func (s *successorConnection) apply(message hotrestart.Message) {
	switch message := message.(type) {
	case hotrestart.SetCordon:
		s.roles.cordons.Apply(message, func(result hotrestart.CordonResult) {
			if s.IsOpen() && s.sendMessage(result) != nil {
				s.disconnect(errSendFailed)
			}
		})
	case hotrestart.CordonResult:
		s.pendingCalls.Complete(message)
	}
}

// forwardCordon forwards a cordon call to the successor, which owns the state.
func (s *successorConnection) forwardCordon(workerID string, cordoned bool, respond func(statusCode int, message string)) {
	if s.sendCordon(workerID, cordoned, respond) != nil {
		s.disconnect(errSendFailed)
	}
}

// Relinquish transfers all state to the successor, in one call that blocks for at most transferTimeout. The successor owns the
// state once it has sent TakenOver; until then nothing changes in this process. Relinquish blocks because state with two owners
// would be acted on twice.
//
// It returns ErrNoSuccessor if none is in standby, ErrNotSettled if the policy has not received all events, an attempt has no
// connection yet or the file of cordoned workers is being written, and ErrTransferGivenUp if maxFailedTransfers have failed. After
// any error this process still owns the state.
func (r *Roles) Relinquish() error {
	role := r.predecessor
	if role == nil || role.protocol.State() != hotrestart.PredecessorPaired {
		return ErrNoSuccessor
	}
	if role.failedTransfers >= maxFailedTransfers {
		return ErrTransferGivenUp
	}
	if !r.config.State.Settle() || !r.cordons.Fence() {
		return ErrNotSettled
	}
	startedAt := r.loop.Clock()
	role.protocol.BeginTransfer()
	transfer := &transfer{roles: r, connection: role.connection, deadline: startedAt + transferTimeout}
	err := transfer.run()
	if err != nil && !role.connection.takenOverBeforeShutdown() {
		role.failedTransfers++
		role.connection.disconnect(err)
		r.cordons.Unfence()
		return fmt.Errorf("transfer to the successor: %w", err)
	}
	r.config.State.Release()
	r.ownership.release()
	role.acceptor.Close()
	r.config.Peers.Close()
	took := (r.loop.Clock() - startedAt).Round(durationRounding)
	sent := &transfer.snapshot
	r.config.Log.Info("handed over", "requests", len(sent.OpenRequests), "client_connections", len(sent.ClientConnections),
		"worker_connections", len(sent.WorkerConnections), "snapshot_bytes", len(sent.Policy), "took", took.String())
	return nil
}

// takenOverBeforeShutdown shuts the connection down, and reports whether the successor has sent TakenOver before. After the
// shutdown the successor can't send anything and gets an error, so that there are never two owners. All input is read, however
// long a resource shortage lasts, because the result must be certain.
func (s *successorConnection) takenOverBeforeShutdown() bool {
	syscalls := s.roles.loop.Syscalls()
	for isMomentary(eventloop.NewCallError(eventloop.CallShutdown, syscalls.Shutdown(s.FD(), unix.SHUT_RDWR))) {
		time.Sleep(shortageRetryDelay)
	}
	s.receiveAll()
	for offset := 0; ; {
		frame, size, err := hotrestart.ReadFrame(s.Input()[offset:])
		if err != nil {
			return false
		}
		if frame.Kind == hotrestart.KindTakenOver {
			_, _ = s.role.protocol.HandleMessage(hotrestart.TakenOver{})
			return true
		}
		offset += size
	}
}

// receiveAll reads all remaining input of a connection that was shut down.
func (s *successorConnection) receiveAll() {
	for {
		before := len(s.Input())
		hasEnded, err := s.receive()
		if errors.Is(err, errInputDelayed) {
			time.Sleep(shortageRetryDelay)
			continue
		}
		if err != nil || hasEnded || len(s.Input()) == before {
			return
		}
	}
}
