package dispatch_test

import (
	"fmt"
	"time"

	"valvecove/dispatch"
)

func ExampleDispatcher_Step() {
	d := dispatch.New(dispatch.Settings{
		Replicas: 1, AttemptLimit: 3, StartNotifications: true, ConnectTimeout: 100 * time.Millisecond,
		Classes: []dispatch.Class{{
			LatencyObjective: 300 * time.Millisecond, ObjectiveStretch: 2, ClientTimeout: 5 * time.Second,
			Idempotency: dispatch.Idempotent, PriorityWeight: 1,
		}},
	}, 1)
	actions := d.Step(0, []dispatch.Event{
		dispatch.WorkerList{Kind: dispatch.ListFull, Workers: []dispatch.Worker{{ID: 7, Ready: true}}},
		dispatch.Job{ID: 1, Remaining: 5 * time.Second, Hint: 40 * time.Millisecond, Slots: 1},
	}, nil)
	for _, a := range actions {
		fmt.Printf("%T %+v\n", a, a)
	}
	// Output:
	// dispatch.Send {Job:1 Worker:7 AttemptTimeout:0s}
	// dispatch.SetTimer {After:1ns}
}
