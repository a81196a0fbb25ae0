package aperture

import (
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"valvecove/dispatch"
)

// maxModelID is the highest ID of a worker in the model.
const maxModelID = 60

// model is a request table and a fleet of an aperture, and a second aperture that must return the same.
type model struct {
	*rapid.T
	aperture, twin *Aperture
	policy         *recordingPolicy
	unfiltered     *recordingPolicy // sees the list as it is
	now            time.Duration
	timerAt        time.Duration    // the request table's; 0: none
	policyTimerAt  time.Duration    // the policy's; 0: none
	batch          []dispatch.Event // for the next step
	inFlight       []dispatch.Outcome
	lastJob        uint64
	classes        int
	actions        []dispatch.Action // of the policy in the present step
}

func newModel(t *rapid.T) *model {
	m := &model{T: t, policy: newRecordingPolicy(t), unfiltered: newRecordingPolicy(t), now: time.Minute}
	settings := cellSettings(0, m.pick(1, 9, "schedulers"))
	settings.Classes = append(slices.Clone(settings.Classes[:m.pick(1, 2, "classes")]), dispatch.Class{Kinds: []int{2}})
	m.classes = len(settings.Classes)
	config := Config{MinWorkers: 3, Coverage: 2, MinFleet: 12, MaxWidening: 4, WidenThreshold: 0.1, Retention: time.Second}
	twinPolicy := newRecordingPolicy(t)
	m.policy.act = m.act
	twinPolicy.act = func([]dispatch.Event) []dispatch.Action { return m.actions }
	m.aperture = New(m.policy, settings, config)
	m.twin = New(twinPolicy, settings, config)
	return m
}

func (m *model) pick(least, most int, what string) int {
	return rapid.IntRange(least, most).Draw(m.T, what)
}

// act implements the policy.
func (m *model) act(events []dispatch.Event) []dispatch.Action {
	m.actions = nil
	fired := slices.Contains(events, dispatch.Event(dispatch.TimerFired{}))
	if fired && (m.policyTimerAt == 0 || m.policyTimerAt > m.now) {
		m.Fatalf("a timer fires at %v that is due at %v", m.now, m.policyTimerAt)
	}
	if m.policyTimerAt <= m.now {
		m.policyTimerAt = 0
	}
	ready := slices.DeleteFunc(slices.Sorted(maps.Keys(m.policy.workers)), func(id uint64) bool {
		return !m.policy.workers[id].Ready
	})
	for _, event := range events {
		if job, ok := event.(dispatch.Job); ok {
			m.decide(job, ready)
		}
	}
	m.actBesides(ready)
	return m.actions
}

// decide sends a job, or rejects it, or leaves it queued.
func (m *model) decide(job dispatch.Job, ready []uint64) {
	switch {
	case len(ready) > 0 && m.pick(0, 3, "sends") > 0:
		m.actions = append(m.actions, dispatch.Send{Job: job.ID, Worker: ready[m.pick(0, len(ready)-1, "to")]})
	case m.pick(0, 1, "rejects") > 0:
		m.actions = append(m.actions, dispatch.Reject{Job: job.ID})
	}
}

// actBesides returns random actions that do not concern jobs.
func (m *model) actBesides(ready []uint64) {
	switch besides := m.pick(0, 9, "besides"); {
	case besides == 0 && !m.policy.subscribed:
		m.policy.subscribed = true
		m.unfiltered.subscribed = true
		m.actions = append(m.actions, dispatch.Subscribe{})
	case besides == 1:
		after := time.Duration(m.pick(1, 2000, "timer")) * time.Millisecond
		if at := m.now + after; m.policyTimerAt == 0 || at < m.policyTimerAt {
			m.policyTimerAt = at
		}
		m.actions = append(m.actions, dispatch.SetTimer{After: after})
	case besides == 2 && len(ready) > 0:
		m.actions = append(m.actions, dispatch.HealthCheck{Worker: ready[0]})
	}
}

func (m *model) add(event dispatch.Event) { m.batch = append(m.batch, event) }

func (m *model) worker(id uint64) dispatch.Worker {
	return dispatch.Worker{
		ID:     id,
		Ready:  m.pick(0, 4, "state") > 0,
		Cell:   int(id)/4 + m.pick(0, 20, "cell")/20,
		Kind:   int(id) % 3,
		BootAt: time.Duration(m.pick(0, 3, "boot")),
	}
}

func (m *model) addWholeList(*rapid.T) {
	list := dispatch.WorkerList{Kind: []dispatch.ListKind{dispatch.ListFull, dispatch.ListCached}[m.pick(0, 1, "cached")]}
	for id := range uint64(m.pick(0, maxModelID, "many")) {
		list.Workers = append(list.Workers, m.worker(id+1))
	}
	m.add(list)
}

func (m *model) addChanges(*rapid.T) {
	list := dispatch.WorkerList{Kind: dispatch.ListDelta}
	changed := map[uint64]bool{}
	for range m.pick(0, 8, "many") {
		worker := m.worker(uint64(m.pick(1, maxModelID, "id")))
		if m.unfiltered.knows(worker.ID) && len(m.batch) == 0 && !changed[worker.ID] && m.pick(0, 2, "removed") == 0 {
			worker.Ready = false
			worker.Removed = true
		}
		if !changed[worker.ID] {
			list.Workers = append(list.Workers, worker)
		}
		changed[worker.ID] = true
	}
	m.add(list)
}

func (m *model) addLoss(*rapid.T) { m.add(dispatch.WorkerList{Kind: dispatch.ListUnavailable}) }

func (m *model) addJobs(*rapid.T) {
	for range m.pick(1, 12, "many") {
		m.lastJob++
		m.add(dispatch.Job{ID: m.lastJob, Class: m.pick(0, m.classes-1, "class")})
	}
}

func (m *model) addOutcomes(*rapid.T) {
	for range min(len(m.inFlight), m.pick(1, 8, "many")) {
		i := m.pick(0, len(m.inFlight)-1, "which")
		m.inFlight[i].Result = dispatch.Result(m.pick(0, int(dispatch.NotSent), "result"))
		m.add(m.inFlight[i])
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
}

func (m *model) addStart(*rapid.T) {
	if len(m.inFlight) > 0 {
		m.add(dispatch.Started{Job: m.inFlight[0].Job, Worker: m.inFlight[0].Worker})
	}
}

func (m *model) addResumed(*rapid.T) {
	m.lastJob++
	attempt := dispatch.PastAttempt{Worker: uint64(m.pick(1, maxModelID, "id")), Ended: m.pick(0, 1, "ended") > 0}
	m.add(dispatch.JobResumed{Job: dispatch.Job{ID: m.lastJob}, Attempts: []dispatch.PastAttempt{attempt}})
	if !attempt.Ended {
		m.inFlight = append(m.inFlight, dispatch.Outcome{Job: m.lastJob, Worker: attempt.Worker})
	}
}

func (m *model) addHealthCheck(*rapid.T) {
	result := dispatch.Result(m.pick(0, int(dispatch.NotSent), "result"))
	m.add(dispatch.HealthChecked{Worker: uint64(m.pick(1, maxModelID, "id")), Result: result})
}

func (m *model) addSchedulers(*rapid.T) {
	schedulers := m.pick(1, 9, "schedulers")
	m.add(dispatch.ReplicasChanged{ReplicaIndex: schedulers / 2, Replicas: schedulers})
}

// run advances the time, and passes the batch on or leaves it for the next step.
func (m *model) run(t *rapid.T) {
	m.T = t
	if len(m.batch) == 0 || m.pick(0, 2, "now") == 0 {
		m.now += time.Duration([]int{0, 1, 30, 300, 2500}[m.pick(0, 4, "span")]) * time.Millisecond
	}
	if len(m.batch) > 0 && m.pick(0, 1, "step") > 0 || m.timerAt > 0 && m.timerAt <= m.now {
		m.step()
	}
}

// step passes the batch to both apertures like the request table, and checks the results.
func (m *model) step() {
	events := m.batch
	m.batch = nil
	if m.timerAt > 0 && m.timerAt <= m.now {
		m.timerAt = 0
		events = append(events, dispatch.TimerFired{})
	}
	for _, event := range events {
		if list, ok := event.(dispatch.WorkerList); ok {
			m.unfiltered.applyList(list)
		}
	}
	actions := m.aperture.Step(m.now, events, nil)
	if again := m.twin.Step(m.now, events, nil); !reflect.DeepEqual(actions, again) {
		m.Fatalf("the same again does otherwise: %v, %v", actions, again)
	}
	for _, action := range actions {
		m.apply(action)
	}
	m.checkTimer()
	m.checkSubscription()
	m.checkView()
	m.checkMemory()
}

func (m *model) apply(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.SetTimer:
		if at := m.now + max(action.After, 1); m.timerAt == 0 || at < m.timerAt {
			m.timerAt = at
		}
	case dispatch.Send:
		m.policy.inFlight[action.Worker]++
		m.inFlight = append(m.inFlight, dispatch.Outcome{Job: action.Job, Worker: action.Worker})
	case dispatch.CloseIdleConnections:
		if m.policy.knows(action.Worker) || m.policy.inFlight[action.Worker] > 0 {
			m.Fatalf("connections to %d are closed that is in use", action.Worker)
		}
	}
}

func (m *model) checkTimer() {
	if m.policyTimerAt > 0 && (m.timerAt == 0 || m.timerAt > max(m.policyTimerAt, m.now+1)) {
		m.Fatalf("the policy's timer at %v is lost, the next is at %v", m.policyTimerAt, m.timerAt)
	}
}

func (m *model) checkSubscription() {
	if m.policy.subscribed != m.unfiltered.subscribed || m.policy.listKnown != m.unfiltered.listKnown {
		m.Fatalf("the policy takes its subscription for answered, and it is not, or the reverse")
	}
}

// checkView checks that the policy's list contains the workers of the subset with their status, other workers with attempts in
// flight as not ready, and no others.
func (m *model) checkView() {
	knownReady := 0
	for id, listed := range m.unfiltered.workers {
		if listed.Ready && m.policy.knows(id) {
			knownReady++
		}
		m.checkWorker(listed)
	}
	if !m.aperture.fleet.needsRefresh && knownReady < min(m.unfiltered.countReady(), 1) { // of three at least, to the nearest cell
		m.Fatalf("none of %d ready ones is known", m.unfiltered.countReady())
	}
	for id := range m.policy.workers {
		if !m.unfiltered.knows(id) {
			m.Fatalf("%d is known that discovery does not list", id)
		}
	}
}

func (m *model) checkWorker(listed dispatch.Worker) {
	id := listed.ID
	status, known := m.policy.workers[id]
	selected := m.aperture.fleet.workers[id].unit.selected
	if status.Assignees != 0 && status.Assignees != ringCount || status.AssigneeRank > status.Assignees {
		m.Fatalf("%d has rank %d of %d", id, status.AssigneeRank, status.Assignees)
	}
	if known && selected && !m.aperture.fleet.needsRefresh && (status.Assignees == 0) != m.aperture.coversFleet() {
		m.Fatalf("%d has rank %d of %d", id, status.AssigneeRank, status.Assignees)
	}
	status.AssigneeRank = 0
	status.Assignees = 0
	inFlight := m.policy.inFlight[id]
	switch {
	case selected && status != listed:
		m.Fatalf("%d is known as %+v, and is %+v", id, status, listed)
	case !selected && known != (inFlight > 0) || !selected && status.Ready:
		m.Fatalf("%d is not in the subset and known as %+v, with %d in flight", id, status, inFlight)
	}
}

// checkMemory checks that no state is kept of workers that are neither listed nor in use.
func (m *model) checkMemory() {
	for id := range m.aperture.fleet.workers {
		if !m.unfiltered.knows(id) && m.policy.inFlight[id] == 0 {
			m.Fatalf("%d is kept for nothing", id)
		}
	}
}

// With any lists, load and outcomes in any batches, the policy's list is that of the subset, nothing is sent to other workers,
// and no worker is removed while an attempt is in flight there.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tested := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"whole":      tested.addWholeList,
			"changes":    tested.addChanges,
			"lost":       tested.addLoss,
			"jobs":       tested.addJobs,
			"outcomes":   tested.addOutcomes,
			"starts":     tested.addStart,
			"resumed":    tested.addResumed,
			"checked":    tested.addHealthCheck,
			"schedulers": tested.addSchedulers,
			"":           tested.run,
		})
	})
}
