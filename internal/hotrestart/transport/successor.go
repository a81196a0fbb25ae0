package transport

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
)

// endpointListTimeout is how long a successor waits for an endpoint list of its own before it reports that it is ready.
const endpointListTimeout = 2 * time.Second

// Delays before the predecessor is connected to again, after the first session that is lost. They double.
const (
	minReconnectBackoff = 5 * time.Millisecond
	maxReconnectBackoff = 400 * time.Millisecond
)

var errNoPredecessor = errors.New("no process listens for a successor")

// successor is the role of a process that replaces another one: it enters standby, and then takes over.
type successor struct {
	channel
	protocol        hotrestart.Successor
	stateDir        string
	listenAddress   netip.AddrPort
	listener        int // the predecessor's listening socket; hotrestart.NoDescriptor: not received
	received        hotrestart.ReceivedState
	cordonsNotified bool // the predecessor has sent CordonedWorkers in this session
	handshakeTimer  *eventloop.Timer
	reconnectTimer  *eventloop.Timer // while there is no session; nil: none is lost
	backoff         time.Duration    // before the next connection after a lost one; 0: at once
	startedAt       time.Duration    // on the loop's clock
}

// Join connects to the process that serves at a listen address with a state directory, if there is one, to enter standby. It
// reports whether there is one.
func (r *Roles) Join(stateDir string, listenAddress netip.AddrPort) bool {
	role := &successor{
		channel:       channel{roles: r},
		stateDir:      stateDir,
		listenAddress: listenAddress,
		listener:      hotrestart.NoDescriptor,
		startedAt:     r.loop.Now(),
	}
	if r.config.Retry(role.connect) != nil {
		return false
	}
	r.successor = role
	r.ownership.stateDir = stateDir
	r.config.SetHalved(true)
	// The watch is opened immediately: with many schedulers its usual first connection may be delayed, and the list is needed
	// soon.
	r.config.Watch.WatchEndpoints()
	return true
}

// LeaveStandby disconnects a process in standby from its predecessor, which continues to serve. It reports whether this process
// was in standby.
func (r *Roles) LeaveStandby() bool {
	if !r.IsStandby() {
		return false
	}
	role := r.successor
	role.close()
	role.discardReceived()
	role.closeListener()
	r.ownership.release()
	r.successor = nil
	return true
}

func (r *Roles) unixSockets() unixSockets { return unixSockets{r.loop.Syscalls()} }

// close closes the connection to the predecessor, and makes no further one.
func (s *successor) close() {
	s.roles.loop.StopTimer(s.handshakeTimer)
	s.roles.loop.StopTimer(s.reconnectTimer)
	s.closeWithDescriptors()
}

// connect opens a session with the predecessor. The error is errNoPredecessor if there is no process to be the successor of. After
// any other error there may be one.
func (s *successor) connect() error {
	loop := s.roles.loop
	socket, err := s.dial()
	if err != nil {
		return err
	}
	if s.Stream, err = loop.OpenStream(socket, eventloop.StreamEvents, s); err != nil {
		s.Stream = eventloop.Stream{}
		_ = loop.Syscalls().Close(socket)
		return err
	}
	// If this fails, the predecessor has closed the connection already, which is an event that ends the session.
	_ = s.sendMessage(hotrestart.Handshake{Version: hotrestart.ProtocolVersion, AcceptsParts: true})
	s.handshakeTimer = loop.StartTimer(handshakeTimeout, s, func() { s.handleDisconnect(errHandshakeTimeout) })
	return nil
}

// dial connects to the predecessor. The error is errNoPredecessor unless it is temporary.
func (s *successor) dial() (socket int, err error) {
	sockets := s.roles.unixSockets()
	socket, err = sockets.dial(hotrestart.SocketAddresses(s.stateDir, s.listenAddress))
	if err != nil {
		if isMomentary(err) {
			return hotrestart.NoDescriptor, err
		}
		return hotrestart.NoDescriptor, fmt.Errorf("%w: %w", errNoPredecessor, err)
	}
	if !sockets.isPeerOwnUser(socket) {
		_ = s.roles.loop.Syscalls().Close(socket)
		s.roles.config.Log.Warn("predecessor ignored, it runs as another user")
		return hotrestart.NoDescriptor, fmt.Errorf("%w: %w", errNoPredecessor, unix.EPERM)
	}
	return socket, nil
}

// isServing reports whether this process owns the state.
func (s *successor) isServing() bool { return s.protocol.State() == hotrestart.SuccessorServing }

// notReadyReason returns what this process waits for before it can take over, or an empty string if it is ready.
func (s *successor) notReadyReason() string {
	switch s.protocol.State() {
	case hotrestart.SuccessorJoining:
		return "the process to be replaced has not answered"
	case hotrestart.SuccessorStandby:
		if !s.roles.config.Watch.HasReceivedEndpoints() && s.roles.loop.Now()-s.startedAt < endpointListTimeout {
			return "no word from discovery yet"
		}
		if !s.roles.ownership.isReserved() {
			return "another process is starting"
		}
	}
	return ""
}

// HandlePanic ends the session.
func (s *successor) HandlePanic() { s.handleDisconnect(errHandlerPanicked) }

// HandleEvents sends queued output and handles all input in one call: no client is served during a transfer.
func (s *successor) HandleEvents(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		if err := s.Flush(); err != nil {
			s.handleDisconnect(err)
			return
		}
	}
	for more := true; more; {
		more = s.receiveAndHandle()
	}
}

// receiveAndHandle reads and handles input once. It reports whether there may be more.
func (s *successor) receiveAndHandle() (more bool) {
	before := len(s.Input())
	hasEnded, err := s.receive()
	if errors.Is(err, errInputDelayed) {
		s.PauseInput()
		return false
	}
	hasReceived := len(s.Input()) > before
	if err == nil {
		err = s.handleMessages(s.handleMessage)
	}
	if !s.IsOpen() {
		return false
	}
	if err != nil || hasEnded {
		s.handleDisconnect(err)
		return false
	}
	return hasReceived
}

func (s *successor) handleMessage(message hotrestart.Message, descriptor int) error {
	action, err := s.protocol.HandleMessage(message)
	if err != nil {
		s.roles.closeDescriptor(descriptor)
		return err
	}
	if action == hotrestart.ActionTakeOver {
		return s.takeOver()
	}
	switch message := message.(type) {
	case hotrestart.Accept:
		return s.handleAccept(message, descriptor)
	case hotrestart.Reject:
		s.roles.config.OnFail(fmt.Errorf("rejected by the predecessor: %s", message.Reason))
	case hotrestart.CordonedWorkers:
		s.roles.config.Cordoned.SetCordoned(message.WorkerIDs)
		s.cordonsNotified = true
	case hotrestart.CordonResult:
		s.pendingCalls.Complete(message)
	case hotrestart.SetCordon:
		s.roles.cordons.Apply(message, func(result hotrestart.CordonResult) {
			if s.IsOpen() {
				_ = s.sendMessage(result)
			}
		})
	case hotrestart.TransferBegin:
		s.received.SetClocks(message, s.roles.readClocks())
	default:
		s.received.Add(message, descriptor)
	}
	return nil
}

// handleAccept enters standby. Cordon calls that an earlier session has not answered are forwarded again.
func (s *successor) handleAccept(accept hotrestart.Accept, listener int) error {
	s.roles.loop.StopTimer(s.handshakeTimer)
	s.discardReceived()
	s.received.MarksOverrun = accept.MarksOverrun
	s.roles.closeDescriptor(s.listener) // of an earlier session
	s.listener = listener
	s.roles.config.Cordoned.SetCordoned(accept.CordonedWorkers)
	s.cordonsNotified = false
	s.reserveOwnership()
	for _, message := range s.pendingCalls.Messages() {
		if err := s.sendMessage(message); err != nil {
			return err
		}
	}
	s.roles.config.Log.Info("entered standby", "cordoned", strings.Join(accept.CordonedWorkers, " "))
	return nil
}

// handleDisconnect ends the session after the predecessor has closed it, has violated the protocol or does not answer. reason is
// nil if the predecessor has closed the session.
func (s *successor) handleDisconnect(reason error) {
	if !s.IsOpen() {
		return
	}
	roles := s.roles
	roles.loop.StopTimer(s.handshakeTimer)
	action := s.protocol.HandleDisconnect()
	s.discardReceived()
	s.closeWithDescriptors()
	if action == hotrestart.ActionReconnect {
		s.reconnectAfterBackoff(reason)
		return
	}
	roles.successor = nil
	if !s.isServing() { // a serving process uses the listening socket, or is about to
		s.closeListener()
	}
}

// reconnectAfterBackoff connects to the predecessor again: at once after the first session that was lost, and after a delay from
// then on. A predecessor that fails to transfer its state would otherwise do nothing else.
func (s *successor) reconnectAfterBackoff(reason error) {
	backoff := s.backoff
	s.backoff = min(max(2*backoff, minReconnectBackoff), maxReconnectBackoff)
	if backoff == 0 {
		s.reconnect(reason)
		return
	}
	s.reconnectTimer = s.roles.loop.After(backoff, func() { s.reconnect(reason) })
}

// reconnect connects to the predecessor again. Only if no process listens there, and none has the lock of the owner, has it ended: one
// that can be connected to, or may be once a resource is available again, still owns the state, as does one that is taking it over.
func (s *successor) reconnect(reason error) {
	err := s.connect()
	switch {
	case err == nil:
		s.roles.config.Log.Warn("predecessor session lost, reconnecting", "error", reason)
	case !errors.Is(err, errNoPredecessor) || s.roles.ownership.claim() != nil:
		s.reconnectAfterBackoff(reason)
	case s.protocol.HandlePredecessorEnded() == hotrestart.ActionServeAlone:
		s.roles.successor = nil
		s.serveAlone(reason)
	}
}

// discardReceived discards the received part of a predecessor's state, and closes its descriptors.
func (s *successor) discardReceived() {
	for _, descriptor := range s.received.Descriptors() {
		s.roles.closeDescriptor(descriptor)
	}
	s.received = hotrestart.ReceivedState{}
}

func (s *successor) closeListener() {
	s.roles.closeDescriptor(s.listener)
	s.listener = hotrestart.NoDescriptor
}

// forwardCordon forwards a cordon call to the predecessor, which owns the state. Without a session it is forwarded in the next one.
func (s *successor) forwardCordon(workerID string, cordoned bool, respond func(statusCode int, message string)) {
	if s.sendCordon(workerID, cordoned, respond) != nil {
		s.handleDisconnect(errSendFailed)
	}
}
