package aperture

import (
	"maps"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
)

// expectMoves applies a list update, and checks the number of workers that are added to or removed from subsets: at most maxTotal
// over all schedulers, and at most maxAtOne at each scheduler.
func (d *deployment) expectMoves(t *testing.T, what string, maxTotal, maxAtOne int, changed ...dispatch.Worker) {
	t.Helper()
	before := d.desiredUnits()
	d.applyList(dispatch.ListDelta, changed)
	total, atOne := countMoves(before, d.desiredUnits())
	if total > maxTotal || atOne > maxAtOne {
		t.Errorf("%s moves %d workers in total and %d at one scheduler, want at most %d and %d", what, total, atOne, maxTotal, maxAtOne)
	}
}

// A worker that restarts within its cell moves at most one cell at one scheduler. With a new cell, or a new worker if units are
// not cells, a subset gains or loses about one unit of that size at each of its ends.
func TestListChangesMoveFewWorkers(t *testing.T) {
	const cellSize = 20
	var cell []dispatch.Worker
	for i := range cellSize {
		cell = append(cell, dispatch.Worker{ID: uint64(i + 1), Ready: true, Cell: 9999})
	}
	for schedulers, workers := range map[int]int{50: 2000, 40: 1000} { // a segment has the length of 4 cells, or of 2.5
		list := testFleet(workers, cellSize)
		d := deploy(t, schedulers, 1, cellSettings, testConfig, list)
		removed := list[100]
		removed.Removed = true
		d.expectMoves(t, "a removed worker", cellSize, cellSize, removed) // with 4 schedulers per worker
		d.expectMoves(t, "the return of the worker", cellSize, cellSize, list[100])
		d.expectMoves(t, "a new cell", schedulers*cellSize, 4*cellSize, cell...)
	}
	d := deploy(t, 40, 1, workerSettings, testConfig, testFleet(1000, cellSize))
	d.expectMoves(t, "a new worker", 40*2, 4, cell[0])
}

// An added scheduler moves workers on its own ring only, where segment boundaries move by half a segment on average. A scheduler
// that takes the index of another one gets the same subset.
func TestNewSchedulerMovesFewWorkers(t *testing.T) {
	const cellSize = 20
	deployed := deploy(t, 40, 1, cellSettings, testConfig, testFleet(1000, cellSize))
	before := deployed.desiredUnits()
	for index, a := range deployed.apertures {
		a.SetSchedulers(index, 41)
	}
	deployed.expectMoves(t, "a new scheduler", 1020/2+40*cellSize, 120)
	after := deployed.desiredUnits()
	for index := 1; index < 40; index += ringCount {
		if _, atOne := countMoves(before[index:index+1], after[index:index+1]); atOne > cellSize {
			t.Errorf("a new scheduler moves %d workers at scheduler %d on the other ring, want at most %d", atOne, index, cellSize)
		}
	}
	deployed.apertures[8].SetSchedulers(33, 41)
	deployed.applyList(dispatch.ListDelta, nil)
	if desired := deployed.desiredUnits(); !maps.Equal(desired[8], desired[33]) {
		t.Error("a scheduler that takes the index of another one does not have the same subset")
	}
}

// lossTest is a test in which a scheduler loses some cells of its subset.
type lossTest struct {
	*deployment
	aperture *Aperture
	policy   *recordingPolicy
	selected int          // number of selected workers before the loss
	lost     map[int]bool // the lost cells
}

func newLossTest(t *testing.T) *lossTest {
	t.Helper()
	d := deploy(t, 40, 9, cellSettings, testConfig, testFleet(2000, 20))
	test := &lossTest{deployment: d, aperture: d.apertures[1], policy: policyOf(d.apertures[1]), lost: map[int]bool{}}
	test.selected = test.aperture.Size().Selected
	for _, worker := range test.policy.workers {
		if len(test.lost) < 4 {
			test.lost[worker.Cell] = true
		}
	}
	return test
}

func (l *lossTest) isLost(worker *dispatch.Worker) bool { return l.lost[worker.Cell] }

// expectRestored checks that the subset has its previous size Config.Retention after the return of the cells.
func (l *lossTest) expectRestored(t *testing.T, what string) {
	t.Helper()
	l.advance(testConfig.Retention + time.Second)
	if len(l.policy.workers) != l.selected || l.aperture.Size().Selected != l.selected {
		t.Errorf("after the return of %s cells: %d workers in the policy's list, %d selected, want %d", what, len(l.policy.workers),
			l.aperture.Size().Selected, l.selected)
	}
}

// healthCheck reports a number of health checks of each lost worker, with a result.
func (l *lossTest) healthCheck(result dispatch.Result, times int) {
	var events []dispatch.Event
	for range times {
		for _, worker := range l.list {
			if l.isLost(&worker) {
				events = append(events, dispatch.HealthChecked{Worker: worker.ID, Result: result})
			}
		}
	}
	l.aperture.Step(l.now, events, nil)
}

// Whether workers are draining, removed or unresponsive, they are replaced at once, and the replacements are released
// Config.Retention after the workers' return, also if workers were lost before. If all workers of the fleet but three are
// draining, the subset contains these three.
func TestLostWorkersAreReplaced(t *testing.T) {
	test := newLossTest(t)
	for what, lose := range map[string]func(worker *dispatch.Worker){
		"draining": func(worker *dispatch.Worker) { worker.Ready = false },
		"removed":  func(worker *dispatch.Worker) { worker.Removed = true },
	} {
		test.expectReplaced(t, what, lose)
		test.expectRestored(t, what)
	}
	test.expectUnresponsiveReplaced(t)
	test.expectRestored(t, "unresponsive")
	test.expectLastReadySelected(t)
}

// expectReplaced loses the workers, lists them again, and checks that replacements were selected and are retained.
func (l *lossTest) expectReplaced(t *testing.T, what string, lose func(worker *dispatch.Worker)) {
	t.Helper()
	l.applyChange(l.isLost, lose)
	if ready := l.policy.countReady(); ready < l.selected-20 {
		t.Errorf("with %s cells, %d workers are ready, want at least %d", what, ready, l.selected-20)
	}
	l.applyChange(l.isLost, func(*dispatch.Worker) {})
	l.advance(time.Second)
	if l.aperture.Size().Selected <= l.selected {
		t.Errorf("after the return of %s cells, no replacement is retained", what)
	}
}

// expectUnresponsiveReplaced fails the workers' health checks, checks that other workers are added, and lets a health check
// succeed.
func (l *lossTest) expectUnresponsiveReplaced(t *testing.T) {
	t.Helper()
	l.healthCheck(dispatch.TimedOut, maxFailures)
	l.advance(evaluationInterval)
	size := l.aperture.Size()
	if size.SelectedReady-size.Unresponsive < l.selected-20 || size.Unresponsive < 60 {
		t.Errorf("with unresponsive cells: %+v, want at least %d responsive workers and 60 unresponsive ones", size, l.selected-20)
	}
	l.healthCheck(dispatch.OK, 1)
}

// expectLastReadySelected drains all workers but three, and checks that these three are selected.
func (l *lossTest) expectLastReadySelected(t *testing.T) {
	t.Helper()
	isDrained := func(worker *dispatch.Worker) bool {
		return worker.ID != l.list[3].ID && worker.ID != l.list[900].ID && worker.ID != l.list[1777].ID
	}
	l.applyChange(isDrained, func(worker *dispatch.Worker) { worker.Ready = false })
	l.advance(testConfig.Retention + time.Second)
	if ready := l.policy.countReady(); ready != 3 || len(l.policy.workers) > 400 {
		t.Errorf("3 workers of the fleet are ready: the policy's list has %d ready workers of %d", ready, len(l.policy.workers))
	}
}

// If the last attempt at a worker outside of the subset ends in the same step in which the worker moves to a cell of the subset,
// the worker is in the policy's list as ready.
func TestWorkerMovedIntoSubsetWithinOneStep(t *testing.T) {
	deployed := deploy(t, 40, 40, cellSettings, testConfig, testFleet(1000, 20))
	aperture := deployed.apertures[0]
	policy := policyOf(aperture)
	outside := slices.IndexFunc(deployed.list, func(w dispatch.Worker) bool { return !policy.hasWorker(w.ID) })
	inside := slices.IndexFunc(deployed.list, func(w dispatch.Worker) bool { return policy.hasWorker(w.ID) })
	worker := deployed.list[outside]
	aperture.Step(deployed.now, []dispatch.Event{dispatch.JobResumed{Attempts: []dispatch.PastAttempt{{Worker: worker.ID}}}}, nil)
	if status, known := policy.workers[worker.ID]; !known || status.Ready {
		t.Errorf("a worker outside of the subset with an attempt in flight: listed %v, status %+v, want it listed as not ready", known, status)
	}
	worker.Cell = deployed.list[inside].Cell
	aperture.Step(deployed.now, []dispatch.Event{dispatch.Outcome{Worker: worker.ID}, dispatch.WorkerList{Workers: []dispatch.Worker{worker}}}, nil)
	if !policy.workers[worker.ID].Ready {
		t.Error("the worker is in the subset again, and is not listed as ready")
	}
}

// In one step, a resumed attempt at a worker ends, the worker is removed from the list, and another attempt there is resumed: its
// idle connections stay open. Without the other attempt, they are closed.
func TestConnectionsOfResumedAttemptStayOpen(t *testing.T) {
	for _, isResumedAgain := range []bool{false, true} {
		deployed := deploy(t, 40, 40, cellSettings, testConfig, testFleet(1000, 20))
		aperture := deployed.apertures[0]
		policy := policyOf(aperture)
		outside := slices.IndexFunc(deployed.list, func(w dispatch.Worker) bool { return !policy.hasWorker(w.ID) })
		id := deployed.list[outside].ID
		resumed := func(job uint64) dispatch.Event {
			return dispatch.JobResumed{Job: dispatch.Job{ID: job}, Attempts: []dispatch.PastAttempt{{Worker: id}}}
		}
		aperture.Step(deployed.now, []dispatch.Event{resumed(1)}, nil)
		events := []dispatch.Event{
			dispatch.Outcome{Job: 1, Worker: id},
			dispatch.WorkerList{Kind: dispatch.ListFull, Workers: slices.Delete(deployed.list, outside, outside+1)},
		}
		if isResumedAgain {
			events = append(events, resumed(2))
		}
		actions := aperture.Step(deployed.now, events, nil)
		if isClosed := slices.Contains(actions, dispatch.Action(dispatch.CloseIdleConnections{Worker: id})); isClosed == isResumedAgain {
			t.Errorf("resumed again: %v, connections closed: %v", isResumedAgain, isClosed)
		}
	}
}

// Changes that the aperture makes before the first list from discovery, and while discovery is unavailable, are passed to the
// policy as a cached list. The policy would mistake an update for one from discovery, and not subscribe.
func TestOwnUpdatesAreSentAsCachedList(t *testing.T) {
	settings := dispatch.Settings{ReplicaIndex: 0, Replicas: 4, MustSubscribe: true, PollInterval: 10 * time.Second}
	policy := newRecordingPolicy(t)
	aperture := New(policy, settings, Config{MinWorkers: 2, Coverage: 2, MinFleet: 1, MaxWidening: 8, WidenThreshold: 0.1, Retention: time.Second})
	var list []dispatch.Worker
	for id := uint64(1); id <= 12; id++ {
		list = append(list, dispatch.Worker{ID: id, Ready: true})
	}
	now := time.Hour
	update := func(kind dispatch.ListKind, workers []dispatch.Worker) {
		aperture.Step(now, []dispatch.Event{dispatch.WorkerList{Kind: kind, Workers: workers}}, nil)
	}
	advance := func() {
		for range 40 {
			now += 100 * time.Millisecond
			aperture.Step(now, []dispatch.Event{dispatch.TimerFired{}}, nil)
		}
	}
	update(dispatch.ListCached, list)
	aperture.SetSchedulers(1, 4) // selects another subset
	advance()
	if policy.listKnown {
		t.Fatal("before the first list from discovery, the policy received an update that is not a cached list")
	}
	update(dispatch.ListFull, list)
	if !policy.listKnown {
		t.Fatal("the policy has not received the full list from discovery")
	}
	update(dispatch.ListUnavailable, nil)
	aperture.SetSchedulers(2, 4)
	advance()
	if policy.listKnown {
		t.Fatal("while discovery is unavailable, the policy received an update that is not a cached list")
	}
}
