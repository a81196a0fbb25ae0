package aperture

import (
	"maps"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
)

// expectMoves applies changes of the list, and checks the number of workers that move in total and at one scheduler.
func (d *deployment) expectMoves(t *testing.T, what string, maxTotal, maxAtOne int, changed ...dispatch.Worker) {
	t.Helper()
	before := d.desiredUnits()
	d.applyList(dispatch.ListDelta, changed)
	total, atOne := countMoves(before, d.desiredUnits())
	if total > maxTotal || atOne > maxAtOne {
		t.Errorf("%s moves %d, and %d at one scheduler", what, total, atOne)
	}
}

// Restarts within cells move no worker. A change of a cell, or of a worker if units are not cells, moves one unit of that size at
// each end of a subset.
func TestChangesOfTheListMoveFewWorkers(t *testing.T) {
	const cellSize = 20
	var cell []dispatch.Worker
	for i := range cellSize {
		cell = append(cell, dispatch.Worker{ID: uint64(i + 1), Ready: true, Cell: 9999})
	}
	for schedulers, workers := range map[int]int{50: 2000, 40: 1000} { // a segment is as long as four cells, or two and a half
		list := testFleet(workers, cellSize)
		d := deploy(t, schedulers, 1, cellSettings, testConfig, list)
		removed := list[100]
		removed.Removed = true
		d.expectMoves(t, "a removed worker", cellSize, cellSize, removed) // of four times as many places as there are workers
		d.expectMoves(t, "its return", cellSize, cellSize, list[100])
		d.expectMoves(t, "a new cell", schedulers*cellSize, 4*cellSize, cell...)
	}
	d := deploy(t, 40, 1, workerSettings, testConfig, testFleet(1000, cellSize))
	d.expectMoves(t, "a new worker", 40*2, 4, cell[0])
}

// A scheduler that is added moves the workers on its ring, by half a segment on average. One that gets the index of another has
// the same subset.
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
			t.Errorf("and %deployed on the other ring", atOne)
		}
	}
	deployed.apertures[8].SetSchedulers(33, 41)
	deployed.applyList(dispatch.ListDelta, nil)
	if desired := deployed.desiredUnits(); !maps.Equal(desired[8], desired[33]) {
		t.Error("a scheduler that takes another's index does not have what that one has")
	}
}

// lossTest is a scheduler that loses some cells of its subset.
type lossTest struct {
	*deployment
	aperture *Aperture
	policy   *recordingPolicy
	selected int // before the loss
	lost     map[int]bool
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

// expectRestored checks that the subset has its previous size one retention time after the return of the cells.
func (l *lossTest) expectRestored(t *testing.T, what string) {
	t.Helper()
	l.advance(testConfig.Retention + time.Second)
	if len(l.policy.workers) != l.selected || l.aperture.Size().Selected != l.selected {
		t.Errorf("cells were %s: %d selected, %d before", what, len(l.policy.workers), l.selected)
	}
}

// healthCheck ends health checks of the lost workers with a result.
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

// Lost workers are replaced at once, and the replacements are released one retention time after their return, for any cause of
// the loss and after earlier losses. If all workers but three are draining, each scheduler has these three.
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

// expectReplaced removes the workers, lists them again, and checks their replacements.
func (l *lossTest) expectReplaced(t *testing.T, what string, lose func(worker *dispatch.Worker)) {
	t.Helper()
	l.applyChange(l.isLost, lose)
	if ready := l.policy.countReady(); ready < l.selected-20 {
		t.Errorf("cells are %s: %d ready of %d before", what, ready, l.selected)
	}
	l.applyChange(l.isLost, func(*dispatch.Worker) {})
	l.advance(time.Second)
	if l.aperture.Size().Selected <= l.selected {
		t.Errorf("cells were %s: nothing of what came in their place is retained", what)
	}
}

// expectUnresponsiveReplaced has the workers not respond, and checks that others are added.
func (l *lossTest) expectUnresponsiveReplaced(t *testing.T) {
	t.Helper()
	l.healthCheck(dispatch.TimedOut, maxFailures)
	l.advance(evaluationInterval)
	size := l.aperture.Size()
	if size.SelectedReady-size.Unresponsive < l.selected-20 || size.Unresponsive < 60 {
		t.Errorf("cells are unresponsive: %+v", size)
	}
	l.healthCheck(dispatch.OK, 1)
}

// expectLastReadySelected drains all workers but three, and checks that these are selected.
func (l *lossTest) expectLastReadySelected(t *testing.T) {
	t.Helper()
	isDrained := func(worker *dispatch.Worker) bool {
		return worker.ID != l.list[3].ID && worker.ID != l.list[900].ID && worker.ID != l.list[1777].ID
	}
	l.applyChange(isDrained, func(worker *dispatch.Worker) { worker.Ready = false })
	l.advance(testConfig.Retention + time.Second)
	if ready := l.policy.countReady(); ready != 3 || len(l.policy.workers) > 400 {
		t.Errorf("of three that are left it has %d, and %d in all", ready, len(l.policy.workers))
	}
}

// A worker that was removed from the subset, and whose last attempt ends in the step in which it moves to a cell of the subset,
// is in the policy's list.
func TestReturnWithinOneStep(t *testing.T) {
	deployed := deploy(t, 40, 40, cellSettings, testConfig, testFleet(1000, 20))
	aperture := deployed.apertures[0]
	policy := policyOf(aperture)
	outside := slices.IndexFunc(deployed.list, func(w dispatch.Worker) bool { return !policy.knows(w.ID) })
	inside := slices.IndexFunc(deployed.list, func(w dispatch.Worker) bool { return policy.knows(w.ID) })
	worker := deployed.list[outside]
	aperture.Step(deployed.now, []dispatch.Event{dispatch.JobResumed{Attempts: []dispatch.PastAttempt{{Worker: worker.ID}}}}, nil)
	if status, known := policy.workers[worker.ID]; !known || status.Ready {
		t.Errorf("it is outside of the subset, with an attempt, and known as %+v", status)
	}
	worker.Cell = deployed.list[inside].Cell
	aperture.Step(deployed.now, []dispatch.Event{dispatch.Outcome{Worker: worker.ID}, dispatch.WorkerList{Workers: []dispatch.Worker{worker}}}, nil)
	if !policy.workers[worker.ID].Ready {
		t.Error("it is back, and not ready")
	}
}

// The idle connections to a worker stay open if, in one step, its resumed attempt ends, it is removed from the list, and another
// attempt there is resumed. Without that other attempt they are closed.
func TestConnectionsOfResumedAttemptStay(t *testing.T) {
	for _, isResumedAgain := range []bool{false, true} {
		deployed := deploy(t, 40, 40, cellSettings, testConfig, testFleet(1000, 20))
		aperture := deployed.apertures[0]
		policy := policyOf(aperture)
		outside := slices.IndexFunc(deployed.list, func(w dispatch.Worker) bool { return !policy.knows(w.ID) })
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

// Changes of the aperture before the first list of discovery, and while the list is lost, are reported as a cached list: the
// policy would take an update for one of discovery, and not subscribe.
func TestOwnUpdatesAreNotListUpdates(t *testing.T) {
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
	aperture.SetSchedulers(1, 4) // another subset
	advance()
	if policy.listKnown {
		t.Fatal("the policy believes that it follows the list before discovery has sent anything")
	}
	update(dispatch.ListFull, list)
	if !policy.listKnown {
		t.Fatal("the list is not followed")
	}
	update(dispatch.ListUnavailable, nil)
	aperture.SetSchedulers(2, 4)
	advance()
	if policy.listKnown {
		t.Fatal("the policy believes that it follows a list that is lost")
	}
}
