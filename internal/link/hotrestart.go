package link

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/hotrestart"
	"valvecove/internal/hotrestart/transport"
	"valvecove/internal/requests"
)

// Errors of Relinquish.
var (
	ErrNoSuccessor = transport.ErrNoSuccessor
	ErrNotSettled  = transport.ErrNotSettled
)

// prepareHotRestart makes the roles of this process in hot restarts. It is in standby after restart.Join, and can be replaced after
// restart.AwaitSuccessor.
func (l *Loop) prepareHotRestart(state transport.State) {
	l.restart = transport.New(l.Loop, transport.Config{
		State:     state,
		Watch:     endpointWatch{l},
		Clients:   l.clients,
		Peers:     peerSocket{l},
		Cordoned:  l.Requests,
		Log:       l.log,
		Monotonic: func() time.Duration { return l.monotonic() },
		Retry:     func(open func() error) error { return l.startup.retry(open) },
		SetHalved: l.budget.SetHalved,
		OnStandby: l.handleStandby,
		OnFail:    func(err error) { l.onFail(err) },
	})
}

func (l *Loop) handleStandby() {
	if l.onSuccessor != nil {
		l.onSuccessor()
	}
}

// OnSuccessor sets what is called when a successor has entered standby.
func (l *Loop) OnSuccessor(act func()) { l.onSuccessor = act }

// Relinquish transfers all state to the successor in standby; see transport.Roles.
func (l *Loop) Relinquish() error { return l.restart.Relinquish() }

// LeaveStandby disconnects a process in standby from its predecessor. It reports whether this process was in standby.
func (l *Loop) LeaveStandby() bool { return l.restart.LeaveStandby() }

// hasRelinquished reports whether a successor owns all that this process had.
func (l *Loop) hasRelinquished() bool { return l.restart.HasRelinquished() }

// transferState is the state of a scheduler that a hot restart transfers.
type transferState struct{ loop *Loop }

// Settle prepares the state for Snapshot. It returns false while the policy has not received all events, or an attempt has no
// connection yet.
func (s transferState) Settle() bool {
	s.loop.Requests.AwaitEndpoints(0) // requests that wait for endpoints are transferred too
	s.loop.workers.EndWaitingDials()
	return s.loop.Requests.FlushEvents(s.loop.Now()) && !s.loop.workers.HasWaitingDials()
}

// Snapshot returns the state.
func (s transferState) Snapshot() transport.Snapshot {
	snapshot := transport.Snapshot{Policy: s.loop.dispatcher.Snapshot(nil)}
	table, openRequests := s.loop.Requests.Snapshot()
	snapshot.RequestTable = hotrestart.RequestTable(table)
	for _, request := range openRequests {
		snapshot.OpenRequests = append(snapshot.OpenRequests, hotrestart.OpenRequest(request))
	}
	for _, c := range s.loop.clients.Snapshot() {
		connection := transport.ClientConnection{Record: c.ClientConnection, Descriptor: c.Descriptor}
		snapshot.ClientConnections = append(snapshot.ClientConnections, connection)
	}
	for _, c := range s.loop.workers.Snapshot() {
		connection := transport.WorkerConnection{Record: c.WorkerConnection, Descriptor: c.Descriptor}
		snapshot.WorkerConnections = append(snapshot.WorkerConnections, connection)
	}
	return snapshot
}

// Release closes what a successor owns: the connections, the watch and the socket that clients connect to.
func (s transferState) Release() {
	s.loop.clients.Relinquish()
	s.loop.workers.Relinquish()
	s.loop.watch.Stop()
	s.loop.clients.CloseSocket()
}

// Restore adds the state of a predecessor. The order matters: requests refer to client connections, and worker connections to
// requests.
func (s transferState) Restore(received hotrestart.ReceivedState) {
	l := s.loop
	clients := l.clients.Restore(received.ClientConnections)
	l.Requests.TakeOver(l.Now(), received.RequestTable, received.OpenRequests, clients.Responders(),
		func() requests.Policy { return l.restorePolicy(received.PolicySnapshot, received.ClockAhead) })
	clients.AttachRequests(l.Requests.Request)
	for _, connection := range received.WorkerConnections {
		l.workers.Restore(connection)
	}
	l.Requests.WatchEndpoints() // the restored policy relies on it
	clients.HandleInput()
}

// restorePolicy returns the policy that continues from a snapshot, or nil if this build can't restore it. clockAhead is the
// difference between this process's clock and the one that the snapshot's instants are of.
func (l *Loop) restorePolicy(snapshot []byte, clockAhead time.Duration) requests.Policy {
	if l.wrapRestored == nil {
		return nil
	}
	dispatcher, err := dispatch.RestoreOnClock(*l.settings, snapshot, clockAhead)
	if err != nil {
		l.log.Warn("predecessor snapshot rejected", "snapshot_bytes", len(snapshot), "error", err)
		return nil
	}
	l.dispatcher = dispatcher
	return l.wrapRestored(dispatcher)
}

// endpointWatch is the watch on the endpoint list, for a hot restart.
type endpointWatch struct{ loop *Loop }

// WatchEndpoints opens the watch, unless it is open or planned.
func (w endpointWatch) WatchEndpoints() { w.loop.Requests.WatchEndpoints() }

// HasReceivedEndpoints reports whether a list was received since the watch was last opened.
func (w endpointWatch) HasReceivedEndpoints() bool { return w.loop.watch.HasReceivedEvent() }

// peerSocket is the socket for messages between schedulers, for a hot restart. There may be none.
type peerSocket struct{ loop *Loop }

// Open opens the socket, once its previous owner has closed its own.
func (s peerSocket) Open() { s.loop.openPeerSocket() }

// Close closes the socket, for a successor to open its own.
func (s peerSocket) Close() {
	if s.loop.peers != nil {
		s.loop.peers.Close()
	}
}
