package validator

import (
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// All statuses of listed workers are kept, but only a limited number of those of unlisted workers. Which ones are kept does not
// depend on the iteration order of maps.
func TestStatusesAreBounded(t *testing.T) {
	first := keptStatuses(t)
	second := keptStatuses(t)
	if !slices.Equal(first, second) || len(first) != maxUnlisted {
		t.Errorf("%d and %d statuses kept in two runs, want the same %d", len(first), len(second), maxUnlisted)
	}
}

// keptStatuses returns the IDs of the workers whose statuses are kept after many statuses of listed and unlisted workers.
func keptStatuses(t *testing.T) []uint64 {
	t.Helper()
	const listed = 3000
	v := New(dispatch.Settings{})
	v.Observe(time.Hour, listOf(1, listed))
	for id := uint64(1); id <= 20000; id++ {
		status := message.WorkerStatus{WorkerID: id, Revision: 2, State: message.WorkerDraining}
		if !v.ObserveStatus(time.Hour, status) {
			t.Fatalf("the first status of worker %d is not reported as new", id)
		}
	}
	if count := len(v.statuses.latest); count > listed+maxUnlisted {
		t.Fatalf("%d statuses kept, want at most %d", count, listed+maxUnlisted)
	}
	for id := uint64(1); id <= listed; id++ {
		if !v.Blocked(id) {
			t.Fatalf("the status of listed worker %d was removed", id)
		}
	}
	v.Observe(time.Hour, dispatch.WorkerList{Kind: dispatch.ListFull}) // an empty list: no worker is listed from now on
	for id := uint64(30001); id <= 30003; id++ {
		v.ObserveStatus(time.Hour, message.WorkerStatus{WorkerID: id, State: message.WorkerGone})
	}
	var kept []uint64
	for id := range v.statuses.latest {
		kept = append(kept, id)
	}
	slices.Sort(kept)
	return kept
}

// listOf returns a full list of count ready workers, numbered from 1.
func listOf(revision int64, count uint64) dispatch.WorkerList {
	list := dispatch.WorkerList{Kind: dispatch.ListFull, Revision: revision}
	for id := range count {
		list.Workers = append(list.Workers, dispatch.Worker{ID: id + 1, Ready: true})
	}
	return list
}

func TestImplausibleStatusIsIgnored(t *testing.T) {
	v := New(dispatch.Settings{})
	now := 1000 * time.Hour
	v.Observe(now, listOf(9, 1))
	for _, startedMs := range []int64{(now + 2*time.Minute).Milliseconds(), -1, 1 << 62} {
		status := message.WorkerStatus{WorkerID: 1, StartedMs: startedMs, Revision: 10, State: message.WorkerDraining}
		if v.ObserveStatus(now, status) || v.Blocked(1) {
			t.Errorf("a status with a start at %d ms is accepted", startedMs)
		}
	}
}

func BenchmarkSendCommand(b *testing.B) {
	const workers = 1000
	v := New(dispatch.Settings{
		AttemptLimit: 4, Hedging: true, Classes: []dispatch.Class{{Idempotency: dispatch.Idempotent}},
	})
	v.Observe(1, listOf(0, workers))
	v.OpenSession(1)
	for id := range uint64(500) { // these requests stay open
		v.Observe(1, dispatch.Job{ID: 1<<40 + id, Remaining: time.Hour})
	}
	b.ReportAllocs()
	id := uint64(0)
	for b.Loop() {
		id++
		worker := 1 + id%workers
		v.Observe(1, dispatch.Job{ID: id, Remaining: time.Second})
		v.Assign(id, 1)
		if reason := v.Validate(1, 1, &message.SendCommand{RequestID: id, WorkerID: worker}); reason != message.ReasonNone {
			b.Fatal(reason)
		}
		v.Apply(1, dispatch.Send{Job: id, Worker: worker})
		v.Observe(1, dispatch.Outcome{Job: id, Worker: worker, Closed: true})
	}
}
