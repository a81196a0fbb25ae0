package link

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

// endpointListTimeout is how long a successor waits for an endpoint list of its own before it says that it is ready.
const endpointListTimeout = 2 * time.Second

var errListenerUnusable = errors.New("the socket that clients connect to can't be used")

// successorRole is the side of a process that is to replace another one: it stands by, and then takes over.
type successorRole struct {
	frameChannel
	protocol        hotrestart.Successor
	stateDir        string
	listenAddress   netip.AddrPort
	listenerFD      int // the socket that clients connect to, from the predecessor; NoDescriptor: not yet
	received        hotrestart.ReceivedState
	cordonsNotified bool // the predecessor has told of a change of the cordoned workers, in this session
	handshakeTimer  *eventloop.Timer
	startedAt       time.Duration // by the loop's clock
}

// joinPredecessor tells whether there is a process to take over from; this one stands by then.
func (l *Loop) joinPredecessor(stateDir string, listenAddress netip.AddrPort) bool {
	role := &successorRole{
		stateDir:      stateDir,
		listenAddress: listenAddress,
		listenerFD:    hotrestart.NoDescriptor,
		startedAt:     l.Now(),
	}
	role.loop = l
	if l.startup.retry(role.connect) != nil {
		return false
	}
	l.successorRole = role
	l.budget.SetHalved(true)
	// At once: the first call of one scheduler of many may wait a while, and what it is told is needed soon.
	l.Requests.WatchEndpoints()
	return true
}

// connect opens a session with the predecessor.
func (r *successorRole) connect() error {
	loop := r.loop
	socket, err := loop.dialPredecessor(hotrestart.SocketAddresses(r.stateDir, r.listenAddress))
	if err != nil {
		return err
	}
	if !loop.isPeerOwnUser(socket) {
		_ = loop.Syscalls().Close(socket)
		loop.log.Warn("another user's process has the place of the one to be replaced, and is left alone")
		return unix.EPERM
	}
	if r.Stream, err = loop.OpenStream(socket, eventloop.StreamEvents, r); err != nil {
		r.Stream = eventloop.Stream{}
		_ = loop.Syscalls().Close(socket)
		return err
	}
	if err := r.sendMessage(hotrestart.Handshake{Version: hotrestart.ProtocolVersion}); err != nil {
		r.closeWithDescriptors()
		return err
	}
	r.handshakeTimer = loop.StartTimer(handshakeTimeout, r, func() { r.handleDisconnect(errHandshakeTimeout) })
	return nil
}

// isStandby reports whether this process waits to take over from a predecessor, which owns the requests.
func (l *Loop) isStandby() bool { return l.successorRole != nil && !l.successorRole.isServing() }

// isServing tells whether this process owns the requests.
func (r *successorRole) isServing() bool { return r.protocol.State() == hotrestart.SuccessorServing }

// notReadyReason tells operators what a successor still waits for; nothing: it is ready.
func (r *successorRole) notReadyReason() string {
	switch r.protocol.State() {
	case hotrestart.SuccessorJoining:
		return "the process to be replaced has not answered"
	case hotrestart.SuccessorStandby:
		if !r.loop.watch.HasReceivedEvent() && r.loop.Now()-r.startedAt < endpointListTimeout {
			return "no word from discovery yet"
		}
	}
	return ""
}

func (r *successorRole) HandlePanic() { r.handleDisconnect(errHandlerPanicked) }

// HandleEvents takes in all that has come at once: during a transfer nobody is served.
func (r *successorRole) HandleEvents(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		if err := r.Flush(); err != nil {
			r.handleDisconnect(err)
			return
		}
	}
	for more := true; more; {
		more = r.receiveAndHandle()
	}
}

// receiveAndHandle tells whether more may have come.
func (r *successorRole) receiveAndHandle() bool {
	before := len(r.Input())
	ended, err := r.receive()
	if errors.Is(err, errInputDelayed) {
		r.PauseInput()
		return false
	}
	received := len(r.Input()) > before
	if err == nil {
		err = r.handleMessages(r.handleMessage)
	}
	if !r.IsOpen() {
		return false
	}
	if err != nil || ended {
		r.handleDisconnect(err)
		return false
	}
	return received
}

func (r *successorRole) handleMessage(message hotrestart.Message, descriptor int) error {
	action, err := r.protocol.HandleMessage(message)
	if err != nil {
		r.loop.closeDescriptor(descriptor)
		return err
	}
	if action == hotrestart.ActionTakeOver {
		return r.takeOver()
	}
	switch message := message.(type) {
	case hotrestart.Accept:
		return r.handleAccept(message, descriptor)
	case hotrestart.Reject:
		r.loop.onFail(fmt.Errorf("the process that serves turns this one away: %s", message.Reason))
	case hotrestart.CordonedWorkers:
		r.loop.Requests.SetCordoned(message.WorkerIDs)
		r.cordonsNotified = true
	case hotrestart.CordonResult:
		r.pendingCalls.Complete(message)
	case hotrestart.SetCordon:
		r.loop.cordons.Apply(message, func(result hotrestart.CordonResult) {
			if r.IsOpen() {
				_ = r.sendMessage(result)
			}
		})
	case hotrestart.TransferBegin:
		r.received.SetClocks(message, r.loop.readClocks())
	default:
		r.received.Add(message, descriptor)
	}
	return nil
}

// handleAccept begins the standby. Calls that an earlier session has not answered are forwarded again.
func (r *successorRole) handleAccept(accept hotrestart.Accept, listenerFD int) error {
	r.loop.StopTimer(r.handshakeTimer)
	r.discardReceived()
	r.loop.closeDescriptor(r.listenerFD) // of an earlier session
	r.listenerFD = listenerFD
	r.loop.Requests.SetCordoned(accept.CordonedWorkers)
	r.cordonsNotified = false
	for _, message := range r.pendingCalls.Messages() {
		if err := r.sendMessage(message); err != nil {
			return err
		}
	}
	r.loop.log.Info("standing by", "out", strings.Join(accept.CordonedWorkers, " "))
	return nil
}

// takeOver makes this process the owner of all that has come. It says so first, and goes on once the kernel has taken all of
// that: from there on the predecessor lets go, and nothing below can fail but by ending this process. Before that the predecessor
// may close the connection and stay the owner.
func (r *successorRole) takeOver() error {
	received, err := r.received.Finish()
	if err != nil {
		return err
	}
	if err := r.sendMessageBefore(r.loop.Clock()+transferTimeout, hotrestart.TakenOver{}, hotrestart.NoDescriptor); err != nil {
		return err
	}
	r.protocol.TookOver()
	r.received = hotrestart.ReceivedState{}
	r.loop.restoreState(received)
	r.startServing()
	r.loop.log.Info("taken over", "requests", len(received.OpenRequests), "client_connections", len(received.ClientConnections),
		"worker_connections", len(received.WorkerConnections), "clock_ahead", received.ClockAhead)
	return nil
}

// startServing takes the predecessor's place: clients connect here from now on, and the next successor does.
func (r *successorRole) startServing() {
	loop := r.loop
	r.listen(loop.Now()+startTimeout, minStartBackoff)
	loop.awaitSuccessor(hotrestart.SocketAddresses(r.stateDir, r.listenAddress))
	loop.openPeerSocket()
	loop.budget.SetHalved(false)
	loop.cordons.OwnFile()
	loop.cordons.Store()                            // the predecessor may have failed to
	for _, call := range r.pendingCalls.TakeAll() { // the predecessor may have carried them out, or not
		loop.cordons.Set(call.WorkerID, call.Cordoned, call.Respond)
	}
}

// listen has clients connect here. What it has taken over is served meanwhile: where it fails for a moment it is tried again, up
// to a deadline of the loop's clock.
func (r *successorRole) listen(deadline, backoff time.Duration) {
	loop := r.loop
	err := r.openListener()
	switch {
	case err == nil || loop.hasRelinquished():
	case isMomentary(err) && loop.Now() < deadline:
		loop.After(backoff, func() { r.listen(deadline, min(2*backoff, maxStartBackoff)) })
	default:
		loop.onFail(err)
	}
}

// openListener uses the predecessor's socket, or opens one if it has not passed its own.
func (r *successorRole) openListener() error {
	loop := r.loop
	if r.listenerFD == hotrestart.NoDescriptor {
		return loop.listenForClients(r.listenAddress, unix.SO_REUSEPORT)
	}
	if err := loop.clients.AddSocket(r.listenerFD); err != nil {
		return fmt.Errorf("%w: %w", errListenerUnusable, err)
	}
	r.listenerFD = hotrestart.NoDescriptor
	return nil
}

// handleDisconnect takes in that the predecessor has gone, or breaks the protocol.
func (r *successorRole) handleDisconnect(cause error) {
	if !r.IsOpen() {
		return
	}
	loop := r.loop
	loop.StopTimer(r.handshakeTimer)
	action := r.protocol.HandleDisconnect()
	r.discardReceived()
	r.closeWithDescriptors()
	if action == hotrestart.ActionReconnect {
		if r.connect() == nil {
			loop.log.Warn("the talk with the process to be replaced has broken off, and begins anew", "cause", cause)
			return
		}
		action = r.protocol.HandleDisconnect()
	}
	loop.successorRole = nil
	if action == hotrestart.ActionServeAlone {
		r.serveAlone(cause)
		return
	}
	if !r.isServing() { // else the socket is this process's own, though it may not be added yet
		r.closeListener()
	}
}

// serveAlone goes on without a predecessor's state, except for the cordoned workers.
func (r *successorRole) serveAlone(cause error) {
	if !r.cordonsNotified { // else the file may be older than the last change, which the predecessor may have failed to store
		r.loop.cordons.Reload()
	}
	r.loop.log.Warn("the process to be replaced has gone: serving without what it had", "cause", cause)
	r.startServing()
}

// LeaveStandby has a process that stands by leave the one that serves alone, and tells whether it was one.
func (l *Loop) LeaveStandby() bool {
	role := l.successorRole
	if role == nil || role.isServing() {
		return false
	}
	l.StopTimer(role.handshakeTimer)
	role.closeWithDescriptors()
	role.discardReceived()
	role.closeListener()
	l.successorRole = nil
	return true
}

// discardReceived lets go of what a predecessor has sent of its state.
func (r *successorRole) discardReceived() {
	for _, descriptor := range r.received.Descriptors() {
		r.loop.closeDescriptor(descriptor)
	}
	r.received = hotrestart.ReceivedState{}
}

func (r *successorRole) closeListener() {
	r.loop.closeDescriptor(r.listenerFD)
	r.listenerFD = hotrestart.NoDescriptor
}

// forwardCordonToPredecessor forwards an operator's call while the predecessor owns everything.
func (r *successorRole) forwardCordonToPredecessor(workerID string, cordoned bool, respond func(statusCode int, message string)) {
	if r.forwardCordon(workerID, cordoned, respond) != nil {
		r.handleDisconnect(errPeerNotListening)
	}
}
