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

// Fixture is a ledger with all that is around it. Its worker nodes are s-0 and s-1.
type Fixture struct {
	Table    *requests.Table
	Policy   *modeltest.ScriptedPolicy
	Attempts []*requests.Attempt // that were sent, in order
	Now      time.Duration
	workers  []dispatch.Worker
}

// New returns a world in which nothing has happened.
func New(names requests.NameTable, log *slog.Logger) *Fixture {
	w := &Fixture{Policy: &modeltest.ScriptedPolicy{}, Now: 1718000000 * time.Second}
	group := requests.EndpointList{}
	for n := range 2 {
		group.Endpoints = append(group.Endpoints, requests.Endpoint{ID: "s-" + strconv.Itoa(n), Addr: "127.0.0.1:1", Lifecycle: "up"})
	}
	w.Table = requests.New(6, names, func() requests.Policy { return w.Policy }, group, w, log)
	w.Table.Step(w.Now)
	w.workers = w.Policy.Received[0].(dispatch.WorkerList).Workers
	return w
}

// RespondResult and the others are the client's side, and then the worker nodes'.
func (w *Fixture) RespondResult([]byte) {}

// RespondRejected does nothing.
func (w *Fixture) RespondRejected(time.Duration) {}

// RespondFailed does nothing.
func (w *Fixture) RespondFailed() {}

// Start remembers an attempt; its worker node has it whole at once.
func (w *Fixture) Start(a *requests.Attempt) {
	a.Stage = requests.StageWritten
	w.Attempts = append(w.Attempts, a)
}

// Abandon does nothing.
func (w *Fixture) Abandon(*requests.Attempt) {}

// Cancel tells the worker node at once.
func (w *Fixture) Cancel(a *requests.Attempt) { w.Table.CancelCompleted(a, true) }

// CheckHealth does nothing.
func (w *Fixture) CheckHealth(uint64) {}

// CloseIdleConnections does nothing.
func (w *Fixture) CloseIdleConnections(uint64) {}

// Watch does nothing.
func (w *Fixture) Watch(int64) {}

// Apply has the module act.
func (w *Fixture) Apply(a dispatch.Action) {
	w.Policy.Next = append(w.Policy.Next, a)
	w.Table.DiscoveryFailed() // something to step for
	w.Table.Step(w.Now)
}

// Admit enters a query whose id is not that of an open one.
func (w *Fixture) Admit(id string, tenant, class int) *requests.Request {
	q, err := w.Table.Admit(w.Now, requests.Arrival{CallID: id, Responder: w, Job: dispatch.Job{Tenant: tenant, Class: class, Remaining: time.Hour}})
	if err != nil {
		panic(err)
	}
	return q
}

// Send has the module send a query to a worker node, and tells whether it went.
func (w *Fixture) Send(q *requests.Request, host string) bool {
	before := len(w.Attempts)
	w.Apply(dispatch.Send{Job: q.ID, Worker: w.workers[host[2]-'0'].ID})
	return len(w.Attempts) > before
}

// SendCallback plays a worker node's note.
func (w *Fixture) SendCallback(id, host, state string, share float64) {
	result := "r"
	if _, err := w.Table.HandleCallback(requests.Callback{CallID: id, EndpointID: host, State: state, Progress: share, Result: &result}); err != nil {
		panic(err)
	}
}
