package requests

import (
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// A process that has just started must not send requests by an endpoint list that may be stale. The policy receives them, with
// their remaining time, after the first update of the list or a failure of discovery, at the end of the wait, or in time for a
// response before their deadline, whichever is first.
func TestAdmitWaitsForFirstEndpointList(t *testing.T) {
	list := EndpointList{Reset: true, Revision: 2, Endpoints: []Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}
	for name, test := range map[string]struct {
		remaining time.Duration
		update    func(table *Table)
		at        time.Duration // when the policy receives the request
	}{
		"list received":              {5 * time.Second, func(table *Table) { table.UpdateEndpoints(list) }, 300 * time.Millisecond},
		"discovery failed":           {5 * time.Second, func(table *Table) { table.DiscoveryFailed() }, 300 * time.Millisecond},
		"end of wait":                {5 * time.Second, func(*Table) {}, time.Second},
		"short deadline":             {800 * time.Millisecond, func(*Table) {}, 700 * time.Millisecond},
		"deadline within the margin": {50 * time.Millisecond, func(*Table) {}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			policy := &modeltest.ScriptedPolicy{}
			table := newTestTable(policy, 1, newRecordingTransport())
			table.AwaitEndpoints(time.Second)
			arrival := Arrival{CallID: "c", Job: dispatch.Job{Remaining: test.remaining}, Responder: &countingResponder{}}
			if _, err := table.Admit(0, arrival); err != nil {
				t.Fatal(err)
			}
			receivedAt := stepUntilJobReceived(table, policy, test.update)
			if receivedAt != test.at {
				t.Errorf("the policy received the request at %v, expected %v", receivedAt, test.at)
			}
			for _, job := range jobsIn(policy.Received) {
				if job.Remaining != test.remaining-receivedAt {
					t.Errorf("remaining time %v at %v, of %v at the admission", job.Remaining, receivedAt, test.remaining)
				}
			}
		})
	}
}

// stepUntilJobReceived steps the table, when a step is due, every 100 ms until the policy receives a request, for a second at
// most. It returns the instant of that step, or 0. It calls update after 300 ms.
func stepUntilJobReceived(table *Table, policy *modeltest.ScriptedPolicy, update func(table *Table)) time.Duration {
	for tick := range time.Duration(11) {
		now := max(1, tick*100*time.Millisecond)
		if tick == 3 {
			update(table)
		}
		if at, ok := table.NextStep(); ok && at <= now {
			table.Step(now)
		}
		if len(jobsIn(policy.Received)) > 0 {
			return now
		}
	}
	return 0
}

// jobsIn returns the new jobs among events.
func jobsIn(events []dispatch.Event) (jobs []dispatch.Job) {
	for _, event := range events {
		if job, isJob := event.(dispatch.Job); isJob {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// A process is not ready while requests would wait for the first endpoint list, so that clients use another scheduler.
func TestReadyIsFalseWhileRequestsWaitForEndpointList(t *testing.T) {
	list := EndpointList{Reset: true, Revision: 2, Endpoints: []Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}
	for name, update := range map[string]func(table *Table){
		"list received":    func(table *Table) { table.UpdateEndpoints(list) },
		"no change":        func(table *Table) { table.UpdateEndpoints(EndpointList{Revision: 2}) },
		"discovery failed": func(table *Table) { table.DiscoveryFailed() },
		"end of wait":      func(table *Table) { table.Step(time.Second) },
		"hot restart":      func(table *Table) { table.AwaitEndpoints(0) },
	} {
		t.Run(name, func(t *testing.T) {
			table := newTestTable(&modeltest.ScriptedPolicy{}, 1, newRecordingTransport())
			table.Step(0)
			if !table.Ready() {
				t.Error("not ready with a worker that is up")
			}
			table.AwaitEndpoints(time.Second)
			table.Step(time.Second - 1)
			if table.Ready() {
				t.Error("ready while requests wait")
			}
			update(table)
			if !table.Ready() {
				t.Error("not ready although no request waits")
			}
		})
	}
}
