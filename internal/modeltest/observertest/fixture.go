// Package observertest is for tests of observers of a request table. It provides a table, and simulates its clients, its workers
// and its dispatch policy. It opens no socket and reads no clock.
package observertest

import (
	"log/slog"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// workerCount is the number of workers of a fixture. Their IDs are s-0, s-1, ...
const workerCount = 2

// startTime is the initial time of a fixture, since the Unix epoch.
const startTime = 1718000000 * time.Second

// attemptLimit is the maximum number of attempts of a request.
const attemptLimit = 6

// Fixture is a request table with a scripted policy. It is also the table's transport and the responder of its requests: it marks
// each attempt as written at once, and ignores the responses to clients.
type Fixture struct {
	T        testing.TB
	Table    *requests.Table
	Policy   *modeltest.ScriptedPolicy
	Attempts []*requests.Attempt // all attempts that were started, in order
	Now      time.Duration       // the table's clock, which only a test changes
	workers  []dispatch.Worker
}

// New returns a fixture with an empty table.
func New(tb testing.TB, names requests.NameTable, logger *slog.Logger) *Fixture {
	tb.Helper()
	f := &Fixture{T: tb, Policy: &modeltest.ScriptedPolicy{}, Now: startTime}
	list := requests.EndpointList{}
	for n := range workerCount {
		list.Endpoints = append(list.Endpoints, requests.Endpoint{
			ID:        "s-" + strconv.Itoa(n),
			Addr:      "127.0.0.1:1",
			Lifecycle: "up",
		})
	}
	f.Table = requests.New(attemptLimit, names, func() requests.Policy { return f.Policy }, list, f, logger)
	f.Table.Step(f.Now)
	f.workers = f.Policy.Received[0].(dispatch.WorkerList).Workers
	return f
}

// Apply makes the policy return an action, and runs a step.
func (f *Fixture) Apply(action dispatch.Action) {
	f.Policy.Next = append(f.Policy.Next, action)
	f.Table.DiscoveryFailed() // an event, without which Step would not run the policy
	f.Table.Step(f.Now)
}

// Admit admits a request. Its ID must not be that of an open request.
func (f *Fixture) Admit(id string, tenant, class int) *requests.Request {
	f.T.Helper()
	request, err := f.Table.Admit(f.Now, requests.Arrival{
		CallID:    id,
		Responder: f,
		Job:       dispatch.Job{Tenant: tenant, Class: class, Remaining: time.Hour},
	})
	if err != nil {
		f.T.Fatalf("admitting request %s: %v", id, err)
	}
	return request
}

// Send makes the policy send a request to a worker, and reports whether an attempt was started.
func (f *Fixture) Send(request *requests.Request, workerID string) bool {
	before := len(f.Attempts)
	index := workerID[len("s-")] - '0'
	f.Apply(dispatch.Send{Job: request.ID, Worker: f.workers[index].ID})
	return len(f.Attempts) > before
}

// SendCallback passes a worker's callback about a request to the table.
func (f *Fixture) SendCallback(id, workerID, state string, progress float64) {
	f.T.Helper()
	result := "r"
	callback := requests.Callback{CallID: id, EndpointID: workerID, State: state, Progress: progress, Result: &result}
	if _, err := f.Table.HandleCallback(callback); err != nil {
		f.T.Fatalf("callback of worker %s about request %s: %v", workerID, id, err)
	}
}

// RespondResult ignores a response, as do the other methods of requests.Responder.
func (f *Fixture) RespondResult([]byte) {}

// RespondRejected ignores a response.
func (f *Fixture) RespondRejected(time.Duration) {}

// RespondFailed ignores a response.
func (f *Fixture) RespondFailed() {}

// Start stores an attempt, and marks it as written at once.
func (f *Fixture) Start(attempt *requests.Attempt) {
	attempt.Stage = requests.StageWritten
	f.Attempts = append(f.Attempts, attempt)
}

// Cancel confirms the cancellation at once.
func (f *Fixture) Cancel(attempt *requests.Attempt) { f.Table.CancelCompleted(attempt, true) }

// Abandon does nothing, as do the other methods of requests.Transport.
func (f *Fixture) Abandon(*requests.Attempt) {}

// CheckHealth does nothing.
func (f *Fixture) CheckHealth(uint64) {}

// CloseIdleConnections does nothing.
func (f *Fixture) CloseIdleConnections(uint64) {}

// Watch does nothing.
func (f *Fixture) Watch(int64) {}
