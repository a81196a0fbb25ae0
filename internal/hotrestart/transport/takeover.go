package transport

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/hotrestart"
)

// Retries of opening the client listener's socket after a take-over.
const (
	listenTimeout          = 9 * time.Second
	minClientListenBackoff = 5 * time.Millisecond // doubles with each failure
	maxClientListenBackoff = 200 * time.Millisecond
)

var errListenerUnusable = errors.New("the predecessor's listening socket can't be used")

// takeOver makes this process the owner of the received state. It first sends TakenOver. Once the kernel has accepted the
// complete message, the predecessor releases its state, and a later failure of this process is fatal. Before that, the
// predecessor may close the connection and remain the owner.
func (s *successor) takeOver() error {
	received, err := s.received.Finish()
	if err != nil {
		return err
	}
	deadline := s.roles.loop.Clock() + transferTimeout
	if err := s.sendMessageBefore(deadline, hotrestart.TakenOver{}, hotrestart.NoDescriptor); err != nil {
		return err
	}
	s.protocol.TookOver()
	s.received = hotrestart.ReceivedState{}
	s.roles.config.State.Restore(received)
	s.startServing()
	s.roles.config.Log.Info("taken over", "requests", len(received.OpenRequests), "client_connections", len(received.ClientConnections),
		"worker_connections", len(received.WorkerConnections), "clock_ahead", received.ClockAhead)
	return nil
}

// startServing opens the sockets that clients, the next successor and other schedulers connect to, and carries out pending cordon
// calls.
func (s *successor) startServing() {
	roles := s.roles
	roles.ownAfterTransfer()
	s.listen(roles.loop.Now()+listenTimeout, minClientListenBackoff)
	roles.AwaitSuccessor(hotrestart.SocketAddresses(s.stateDir, s.listenAddress))
	roles.config.Peers.Open()
	roles.config.SetHalved(false)
	roles.cordons.OwnFile()
	roles.cordons.Store()                           // the predecessor may have failed to store them
	for _, call := range s.pendingCalls.TakeAll() { // the predecessor may not have applied them
		roles.cordons.Set(call.WorkerID, call.Cordoned, call.Respond)
	}
}

// listen opens the client listener's socket. Temporary failures are retried up to a deadline on the loop's clock; the
// connections that were taken over are served meanwhile.
func (s *successor) listen(deadline, backoff time.Duration) {
	roles := s.roles
	err := s.openListener()
	switch {
	case err == nil || roles.HasRelinquished():
	case isMomentary(err) && roles.loop.Now() < deadline:
		roles.loop.After(backoff, func() { s.listen(deadline, min(2*backoff, maxClientListenBackoff)) })
	default:
		roles.config.OnFail(err)
	}
}

// openListener uses the predecessor's listening socket, or opens one if there is none.
func (s *successor) openListener() error {
	if s.listener == hotrestart.NoDescriptor {
		return s.roles.config.Clients.Listen(s.listenAddress, unix.SO_REUSEPORT)
	}
	if err := s.roles.config.Clients.AddSocket(s.listener); err != nil {
		return fmt.Errorf("%w: %w", errListenerUnusable, err)
	}
	s.listener = hotrestart.NoDescriptor
	return nil
}

// serveAlone starts serving without a predecessor's state, except for the cordoned workers.
func (s *successor) serveAlone(reason error) {
	// After a notification the file is not used: it may lack the last change, if the predecessor has failed to store that.
	if !s.cordonsNotified {
		s.roles.cordons.Reload()
	}
	s.roles.config.Log.Warn("predecessor lost, serving without its state", "error", reason)
	s.startServing()
}
