package scheduler

import (
	"time"

	"valvecove/internal/hotrestart"
	"valvecove/internal/hotrestart/transport"
	"valvecove/internal/requests"
)

// Errors of Relinquish.
var (
	ErrNoSuccessor = transport.ErrNoSuccessor
	ErrNotSettled  = transport.ErrNotSettled
)

// prepareHotRestart creates the successor and predecessor roles of this process. The process is in standby after restart.Join,
// and can be replaced after restart.AwaitSuccessor.
func (s *Scheduler) prepareHotRestart(state transport.State) {
	s.restart = transport.New(s.Loop, transport.Config{
		State:     state,
		Watch:     endpointWatch{s},
		Clients:   s.clients,
		Peers:     peerSocket{s},
		Cordoned:  s.Requests,
		Log:       s.log,
		Monotonic: func() time.Duration { return s.monotonic() },
		Retry:     func(open func() error) error { return s.startup.retry(open) },
		SetHalved: s.budget.SetHalved,
		OnStandby: s.handleStandby,
		OnFail:    func(err error) { s.onFail(err) },
	})
}

func (s *Scheduler) handleStandby() {
	if s.onSuccessor != nil {
		s.onSuccessor()
	}
}

// OnSuccessor sets the function that is called when a successor has entered standby.
func (s *Scheduler) OnSuccessor(act func()) { s.onSuccessor = act }

// Relinquish transfers all state to the successor in standby; see transport.Roles.
func (s *Scheduler) Relinquish() error { return s.restart.Relinquish() }

// LeaveStandby disconnects a process in standby from its predecessor. It reports whether this process was in standby.
func (s *Scheduler) LeaveStandby() bool { return s.restart.LeaveStandby() }

// hasRelinquished reports whether a successor owns the state that this process had.
func (s *Scheduler) hasRelinquished() bool { return s.restart.HasRelinquished() }

// transferState is the state of a scheduler that a hot restart transfers.
type transferState struct{ scheduler *Scheduler }

// Settle prepares the state for Snapshot. It returns false while the policy has not received all events, or an attempt has no
// connection yet.
func (t transferState) Settle() bool {
	table, workers := t.scheduler.Requests, t.scheduler.workers
	table.AwaitEndpoints(0) // requests that wait for endpoints are transferred too
	workers.EndWaitingDials()
	table.FlushEvents(t.scheduler.Now())
	workers.EndHealthChecks() // after the last new jobs, for which the policy may start checks
	return table.FlushEvents(t.scheduler.Now()) && !workers.HasWaitingDials()
}

// Snapshot returns the current state in the form in which it is transferred.
func (t transferState) Snapshot() transport.Snapshot {
	snapshot := transport.Snapshot{Policy: t.scheduler.dispatcher.Snapshot(nil)}
	table, openRequests := t.scheduler.Requests.Snapshot()
	snapshot.RequestTable = hotrestart.RequestTable(table)
	for _, request := range openRequests {
		snapshot.OpenRequests = append(snapshot.OpenRequests, hotrestart.OpenRequest(request))
	}
	for _, c := range t.scheduler.clients.Snapshot() {
		connection := transport.ClientConnection{Record: c.ClientConnection, Descriptor: c.Descriptor}
		snapshot.ClientConnections = append(snapshot.ClientConnections, connection)
	}
	for _, c := range t.scheduler.workers.Snapshot() {
		connection := transport.WorkerConnection{Record: c.WorkerConnection, Descriptor: c.Descriptor}
		snapshot.WorkerConnections = append(snapshot.WorkerConnections, connection)
	}
	return snapshot
}

// Release closes this process's copies of what the successor owns: the connections, the watch and the client listener's socket. It
// drops the payloads, so that their memory can be freed.
func (t transferState) Release() {
	t.scheduler.clients.Relinquish()
	t.scheduler.workers.Relinquish()
	t.scheduler.Requests.DropPayloads()
	t.scheduler.watch.Stop()
	t.scheduler.clients.CloseSocket()
}

// Restore adds the state of a predecessor. The order matters: requests refer to client connections, and worker connections to
// requests.
func (t transferState) Restore(received hotrestart.ReceivedState) {
	scheduler := t.scheduler
	clients := scheduler.clients.Restore(received.ClientConnections, received.MarksOverrun)
	scheduler.Requests.TakeOver(scheduler.Now(), received.RequestTable, received.OpenRequests, clients.Responders(),
		func() requests.Policy { return scheduler.restorePolicy(received.PolicySnapshot, received.ClockAhead) })
	clients.AttachRequests(scheduler.Requests.Request)
	for _, connection := range received.WorkerConnections {
		scheduler.workers.Restore(connection)
	}
	scheduler.Requests.WatchEndpoints() // the restored policy relies on an open watch
	clients.HandleInput()
}

// endpointWatch is the watch on the endpoint list, for a hot restart.
type endpointWatch struct{ scheduler *Scheduler }

// WatchEndpoints opens the watch, unless it is open or scheduled.
func (e endpointWatch) WatchEndpoints() { e.scheduler.Requests.WatchEndpoints() }

// HasReceivedEndpoints reports whether a list has been received since the watch was last opened.
func (e endpointWatch) HasReceivedEndpoints() bool { return e.scheduler.watch.HasReceivedEvent() }

// peerSocket is the socket for messages between schedulers, for a hot restart. Its methods do nothing if there is none.
type peerSocket struct{ scheduler *Scheduler }

// Open opens the socket, after the predecessor has closed its own.
func (p peerSocket) Open() { p.scheduler.openPeerSocket() }

// Close closes the socket, so that a successor can open its own.
func (p peerSocket) Close() {
	if p.scheduler.peers != nil {
		p.scheduler.peers.Close()
	}
}
