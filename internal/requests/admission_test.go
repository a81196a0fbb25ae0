package requests

import (
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// Requests wait for the first update of the endpoint list, and the policy learns of all of them in one step then, with
// the remaining time of each; it learns of them in time for their deadlines, once discovery has failed, and once they
// have waited for long enough. Nothing is sent by a list that may be stale until then.
func TestAdmitWaitsForFirstEndpointList(t *testing.T) {
	list := EndpointList{Reset: true, Revision: 2, Endpoints: []Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}
	for name, test := range map[string]struct {
		remaining time.Duration
		update    func(table *Table)
		at        time.Duration // the policy learns of the request
	}{
		"a list":           {5 * time.Second, func(table *Table) { table.UpdateEndpoints(list) }, 300 * time.Millisecond},
		"discovery failed": {5 * time.Second, func(table *Table) { table.DiscoveryFailed() }, 300 * time.Millisecond},
		"nothing":          {5 * time.Second, func(*Table) {}, time.Second},
		"deadline":         {800 * time.Millisecond, func(*Table) {}, 700 * time.Millisecond},
		"little time":      {50 * time.Millisecond, func(*Table) {}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			policy := &modeltest.ScriptedPolicy{}
			table := newTestTable(policy, 1, newRecordingTransport())
			table.AwaitEndpoints(time.Second)
			arrival := Arrival{CallID: "c", Job: dispatch.Job{Remaining: test.remaining}, Responder: &countingResponder{}}
			if _, err := table.Admit(0, arrival); err != nil {
				t.Fatal(err)
			}
			learnedAt := stepUntilLearned(table, policy, test.update)
			if learnedAt != test.at {
				t.Errorf("learned at %v, expected %v", learnedAt, test.at)
			}
			for _, job := range jobsIn(policy.Received) {
				if job.Remaining != test.remaining-learnedAt {
					t.Errorf("%v remaining at %v, of %v", job.Remaining, learnedAt, test.remaining)
				}
			}
		})
	}
}

// stepUntilLearned steps the table ten times a second as it asks for, for a second at most, until the policy learns of
// a request, and returns when that was, or 0. The update comes after 300 ms.
func stepUntilLearned(table *Table, policy *modeltest.ScriptedPolicy, update func(table *Table)) time.Duration {
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

// A process whose requests would wait for the first list is not ready yet: clients that go to another are served at once.
func TestReadyOnlyOnceNothingAwaitsTheFirstEndpointList(t *testing.T) {
	list := EndpointList{Reset: true, Revision: 2, Endpoints: []Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}
	for name, update := range map[string]func(table *Table){
		"a list":           func(table *Table) { table.UpdateEndpoints(list) },
		"no change":        func(table *Table) { table.UpdateEndpoints(EndpointList{Revision: 2}) },
		"discovery failed": func(table *Table) { table.DiscoveryFailed() },
		"nothing":          func(table *Table) { table.Step(time.Second) },
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
				t.Error("not ready though requests wait no more")
			}
		})
	}
}
