// Package observertest is for tests of what listens to a ledger: it plays clients, worker nodes and the module.
package observertest

import (
	"log/slog"
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// World is a ledger with all that is around it. Its worker nodes are s-0 and s-1.
type World struct {
	Ledger *requests.Table
	Module *modeltest.Script
	Out    []*requests.Attempt // that were sent, in order
	Now    time.Duration
	hosts  []dispatch.Worker
}

// New returns a world in which nothing has happened.
func New(names requests.NameTable, log *slog.Logger) *World {
	w := &World{Module: &modeltest.Script{}, Now: 1718000000 * time.Second}
	group := requests.EndpointList{}
	for n := range 2 {
		group.Endpoints = append(group.Endpoints, requests.Endpoint{ID: "s-" + strconv.Itoa(n), Addr: "127.0.0.1:1", Lifecycle: "up"})
	}
	w.Ledger = requests.New(6, names, func() requests.Policy { return w.Module }, group, w, log)
	w.Ledger.Step(w.Now)
	w.hosts = w.Module.Heard[0].(dispatch.WorkerList).Workers
	return w
}

// RespondResult and the others are the client's side, and then the worker nodes'.
func (w *World) RespondResult([]byte) {}

// RespondRejected does nothing.
func (w *World) RespondRejected(time.Duration) {}

// RespondFailed does nothing.
func (w *World) RespondFailed() {}

// Start remembers an attempt; its worker node has it whole at once.
func (w *World) Start(a *requests.Attempt) {
	a.Stage = requests.StageWritten
	w.Out = append(w.Out, a)
}

// Abandon does nothing.
func (w *World) Abandon(*requests.Attempt) {}

// Cancel tells the worker node at once.
func (w *World) Cancel(a *requests.Attempt) { w.Ledger.CancelCompleted(a, true) }

// CheckHealth does nothing.
func (w *World) CheckHealth(uint64) {}

// CloseIdleConnections does nothing.
func (w *World) CloseIdleConnections(uint64) {}

// Watch does nothing.
func (w *World) Watch(int64) {}

// Do has the module act.
func (w *World) Do(a dispatch.Action) {
	w.Module.Next = append(w.Module.Next, a)
	w.Ledger.DiscoveryFailed() // something to step for
	w.Ledger.Step(w.Now)
}

// Take enters a query whose id is not that of an open one.
func (w *World) Take(id string, tenant, class int) *requests.Request {
	q, err := w.Ledger.Admit(w.Now, requests.Arrival{CallID: id, Responder: w, Job: dispatch.Job{Tenant: tenant, Class: class, Remaining: time.Hour}})
	if err != nil {
		panic(err)
	}
	return q
}

// Send has the module send a query to a worker node, and tells whether it went.
func (w *World) Send(q *requests.Request, host string) bool {
	before := len(w.Out)
	w.Do(dispatch.Send{Job: q.ID, Worker: w.hosts[host[2]-'0'].ID})
	return len(w.Out) > before
}

// Tell plays a worker node's note.
func (w *World) Tell(id, host, state string, share float64) {
	result := "r"
	if _, err := w.Ledger.HandleCallback(requests.Callback{CallID: id, EndpointID: host, State: state, Progress: share, Result: &result}); err != nil {
		panic(err)
	}
}
