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

// model simulates the request table, the fleet and the policy of an aperture. A second aperture, twin, receives the same events
// and must return the same actions.
type model struct {
	*rapid.T
	aperture, twin *Aperture
	policy         *recordingPolicy
	unfiltered     *recordingPolicy // receives the lists of discovery without an aperture
	now            time.Duration
	timerAt        time.Duration      // time of the request table's timer; 0: none
	policyTimerAt  time.Duration      // time of the policy's timer; 0: none
	batch          []dispatch.Event   // events for the next step
	inFlight       []dispatch.Outcome // outcomes of the attempts in flight, without results
	lastJob        uint64
	classes        int               // number of classes
	actions        []dispatch.Action // the policy's actions in the current step
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

func (m *model) pick(low, high int, what string) int {
	return rapid.IntRange(low, high).Draw(m.T, what)
}

// act returns the policy's actions in response to the events of a step.
func (m *model) act(events []dispatch.Event) []dispatch.Action {
	m.actions = nil
	fired := slices.Contains(events, dispatch.Event(dispatch.TimerFired{}))
	if fired && (m.policyTimerAt == 0 || m.policyTimerAt > m.now) {
		m.Fatalf("the policy's timer fires at %v, and is due at %v", m.now, m.policyTimerAt)
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
	m.addOtherActions(ready)
	return m.actions
}

// decide sends a job, rejects it, or leaves it queued.
func (m *model) decide(job dispatch.Job, ready []uint64) {
	switch {
	case len(ready) > 0 && m.pick(0, 3, "sends") > 0:
		m.actions = append(m.actions, dispatch.Send{Job: job.ID, Worker: ready[m.pick(0, len(ready)-1, "to")]})
	case m.pick(0, 1, "rejects") > 0:
		m.actions = append(m.actions, dispatch.Reject{Job: job.ID})
	}
}

// addOtherActions adds a random action that does not concern jobs, or none.
func (m *model) addOtherActions(ready []uint64) {
	switch other := m.pick(0, 9, "other action"); {
	case other == 0 && !m.policy.subscribed:
		m.policy.subscribed = true
		m.unfiltered.subscribed = true
		m.actions = append(m.actions, dispatch.Subscribe{})
	case other == 1:
		after := time.Duration(m.pick(1, 2000, "timer")) * time.Millisecond
		if at := m.now + after; m.policyTimerAt == 0 || at < m.policyTimerAt {
			m.policyTimerAt = at
		}
		m.actions = append(m.actions, dispatch.SetTimer{After: after})
	case other == 2 && len(ready) > 0:
		m.actions = append(m.actions, dispatch.HealthCheck{Worker: ready[0]})
	}
}

func (m *model) add(event dispatch.Event) { m.batch = append(m.batch, event) }

func (m *model) worker(id uint64) dispatch.Worker {
	return dispatch.Worker{
		ID:     id,
		Ready:  m.pick(0, 4, "ready") > 0,
		Cell:   int(id)/4 + m.pick(0, 20, "cell")/20,
		Kind:   int(id) % 3,
		BootAt: time.Duration(m.pick(0, 3, "boot")),
	}
}

func (m *model) addFullList(*rapid.T) {
	list := dispatch.WorkerList{Kind: []dispatch.ListKind{dispatch.ListFull, dispatch.ListCached}[m.pick(0, 1, "cached")]}
	for id := range uint64(m.pick(0, maxModelID, "workers")) {
		list.Workers = append(list.Workers, m.worker(id+1))
	}
	m.add(list)
}

func (m *model) addChanges(*rapid.T) {
	list := dispatch.WorkerList{Kind: dispatch.ListDelta}
	changed := map[uint64]bool{}
	for range m.pick(0, 8, "changes") {
		worker := m.worker(uint64(m.pick(1, maxModelID, "id")))
		if m.unfiltered.hasWorker(worker.ID) && len(m.batch) == 0 && !changed[worker.ID] && m.pick(0, 2, "removed") == 0 {
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

func (m *model) addListUnavailable(*rapid.T) {
	m.add(dispatch.WorkerList{Kind: dispatch.ListUnavailable})
}

func (m *model) addJobs(*rapid.T) {
	for range m.pick(1, 12, "jobs") {
		m.lastJob++
		m.add(dispatch.Job{ID: m.lastJob, Class: m.pick(0, m.classes-1, "class")})
	}
}

func (m *model) addOutcomes(*rapid.T) {
	for range min(len(m.inFlight), m.pick(1, 8, "outcomes")) {
		i := m.pick(0, len(m.inFlight)-1, "attempt")
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

// run may advance the time, and may run a step with the batch. It always runs the step if the request table's timer is due.
func (m *model) run(t *rapid.T) {
	m.T = t
	if len(m.batch) == 0 || m.pick(0, 2, "advance") == 0 {
		m.now += time.Duration([]int{0, 1, 30, 300, 2500}[m.pick(0, 4, "span")]) * time.Millisecond
	}
	if len(m.batch) > 0 && m.pick(0, 1, "step") > 0 || m.timerAt > 0 && m.timerAt <= m.now {
		m.step()
	}
}

// step passes the batch to both apertures as the request table does, executes the actions, and checks the state.
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
		m.Fatalf("two apertures return different actions for the same events: %v, %v", actions, again)
	}
	for _, action := range actions {
		m.apply(action)
	}
	m.checkTimer()
	m.checkSubscription()
	m.checkPolicyList()
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
		if m.policy.hasWorker(action.Worker) || m.policy.inFlight[action.Worker] > 0 {
			m.Fatalf("the connections to worker %d are closed, which is in use", action.Worker)
		}
	}
}

func (m *model) checkTimer() {
	if m.policyTimerAt > 0 && (m.timerAt == 0 || m.timerAt > max(m.policyTimerAt, m.now+1)) {
		m.Fatalf("the policy's timer is due at %v, and the request table's at %v", m.policyTimerAt, m.timerAt)
	}
}

func (m *model) checkSubscription() {
	if m.policy.subscribed != m.unfiltered.subscribed || m.policy.listKnown != m.unfiltered.listKnown {
		m.Fatalf("behind the aperture, the policy is subscribed %v and has a list %v; without the aperture, %v and %v",
			m.policy.subscribed, m.policy.listKnown, m.unfiltered.subscribed, m.unfiltered.listKnown)
	}
}

// checkPolicyList checks that the policy's list contains the workers of the subset with their status, other workers with attempts
// in flight as not ready, and no others.
func (m *model) checkPolicyList() {
	visibleReady := 0
	for id, listed := range m.unfiltered.workers {
		if listed.Ready && m.policy.hasWorker(id) {
			visibleReady++
		}
		m.checkWorker(listed)
	}
	// The minimum is three workers, but a subset may have fewer, as it contains cells completely.
	if !m.aperture.fleet.needsRefresh && visibleReady < min(m.unfiltered.countReady(), 1) {
		m.Fatalf("none of %d ready workers is in the policy's list", m.unfiltered.countReady())
	}
	for id := range m.policy.workers {
		if !m.unfiltered.hasWorker(id) {
			m.Fatalf("worker %d is in the policy's list, and discovery does not list it", id)
		}
	}
}

func (m *model) checkWorker(listed dispatch.Worker) {
	id := listed.ID
	status, known := m.policy.workers[id]
	selected := m.aperture.fleet.workers[id].unit.selected
	if status.Assignees != 0 && status.Assignees != ringCount || status.AssigneeRank > status.Assignees {
		m.Fatalf("worker %d has assignee rank %d of %d", id, status.AssigneeRank, status.Assignees)
	}
	if known && selected && !m.aperture.fleet.needsRefresh && (status.Assignees == 0) != m.aperture.coversFleet() {
		m.Fatalf("worker %d has assignee rank %d of %d, and the subset is the whole fleet: %v", id, status.AssigneeRank,
			status.Assignees, m.aperture.coversFleet())
	}
	status.AssigneeRank = 0
	status.Assignees = 0
	inFlight := m.policy.inFlight[id]
	switch {
	case selected && status != listed:
		m.Fatalf("worker %d is in the policy's list as %+v, and discovery lists %+v", id, status, listed)
	case !selected && known != (inFlight > 0) || !selected && status.Ready:
		m.Fatalf("worker %d is not in the subset; in the policy's list: %v, as %+v, with %d attempts in flight", id, known, status, inFlight)
	}
}

// checkMemory checks that the aperture keeps no state of workers that are neither listed nor in use.
func (m *model) checkMemory() {
	for id := range m.aperture.fleet.workers {
		if !m.unfiltered.hasWorker(id) && m.policy.inFlight[id] == 0 {
			m.Fatalf("the state of worker %d is kept, which is neither listed nor in use", id)
		}
	}
}

// With random lists, jobs and outcomes in random batches, the policy's list contains the subset, and other workers only while
// attempts are in flight there; subscriptions and timers work as without an aperture.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tested := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"full list":        tested.addFullList,
			"list changes":     tested.addChanges,
			"list unavailable": tested.addListUnavailable,
			"jobs":             tested.addJobs,
			"outcomes":         tested.addOutcomes,
			"start":            tested.addStart,
			"resumed job":      tested.addResumed,
			"health check":     tested.addHealthCheck,
			"schedulers":       tested.addSchedulers,
			"":                 tested.run,
		})
	})
}
