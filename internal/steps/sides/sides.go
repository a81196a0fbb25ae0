// Package sides is for tests of what listens to a ledger: it plays clients, worker nodes and the module.
package sides

import (
	"log/slog"
	"strconv"
	"time"

	"valvecove/internal/ledger"
	"valvecove/internal/steps"
	"valvecove/logic"
)

// World is a ledger with all that is around it. Its worker nodes are s-0 and s-1.
type World struct {
	Ledger *ledger.Ledger
	Module *steps.Script
	Out    []*ledger.Attempt // that were sent, in order
	Now    time.Duration
	hosts  []logic.Worker
}

// New returns a world in which nothing has happened.
func New(names ledger.Names, log *slog.Logger) *World {
	w := &World{Module: &steps.Script{}, Now: 1718000000 * time.Second}
	group := ledger.HostGroup{}
	for n := range 2 {
		group.Hosts = append(group.Hosts, ledger.Host{ID: "s-" + strconv.Itoa(n), Addr: "127.0.0.1:1", State: "up"})
	}
	w.Ledger = ledger.New(6, names, func() ledger.Module { return w.Module }, group, w, log)
	w.Ledger.Step(w.Now)
	w.hosts = w.Module.Heard[0].(logic.WorkerList).Workers
	return w
}

// Serve and the others are the client's side, and then the worker nodes'.
func (w *World) Serve([]byte) {}

// Throttle does nothing.
func (w *World) Throttle(time.Duration) {}

// Fail does nothing.
func (w *World) Fail() {}

// Carry remembers an attempt; its worker node has it whole at once.
func (w *World) Carry(a *ledger.Attempt) {
	a.Stage = ledger.AllWritten
	w.Out = append(w.Out, a)
}

// GiveUp does nothing.
func (w *World) GiveUp(*ledger.Attempt) {}

// Withdraw tells the worker node at once.
func (w *World) Withdraw(a *ledger.Attempt) { w.Ledger.Withdrawn(a, true) }

// Probe does nothing.
func (w *World) Probe(uint64) {}

// FreeLinks does nothing.
func (w *World) FreeLinks(uint64) {}

// Watch does nothing.
func (w *World) Watch(int64) {}

// Do has the module act.
func (w *World) Do(a logic.Action) {
	w.Module.Next = append(w.Module.Next, a)
	w.Ledger.HostsLost() // something to step for
	w.Ledger.Step(w.Now)
}

// Take enters a query whose id is not that of an open one.
func (w *World) Take(id string, tenant, class int) *ledger.Query {
	q, err := w.Ledger.Take(w.Now, ledger.Arrival{Call: id, Asker: w, Job: logic.Job{Tenant: tenant, Class: class, Left: time.Hour}})
	if err != nil {
		panic(err)
	}
	return q
}

// Send has the module send a query to a worker node, and tells whether it went.
func (w *World) Send(q *ledger.Query, host string) bool {
	before := len(w.Out)
	w.Do(logic.Send{Job: q.ID, Worker: w.hosts[host[2]-'0'].ID})
	return len(w.Out) > before
}

// Tell plays a worker node's note.
func (w *World) Tell(id, host, state string, share float64) {
	result := "r"
	if _, err := w.Ledger.Tell(ledger.Note{ID: id, From: host, State: state, Share: share, Result: &result}); err != nil {
		panic(err)
	}
}
