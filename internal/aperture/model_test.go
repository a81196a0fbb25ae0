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

// modelWorld is a ledger and a fleet round an aperture, and a second aperture that must do the same.
type modelWorld struct {
	*rapid.T
	aperture, twin         *Aperture
	policy                 *recordingPolicy
	unfiltered             *recordingPolicy // is told all
	now                    time.Duration
	timerAt, policyTimerAt time.Duration // the ledger's, and the module's
	inFlight               []dispatch.Outcome
	jobs                   uint64
	actions                []dispatch.Action
}

func (w *modelWorld) pick(least, most int, what string) int {
	return rapid.IntRange(least, most).Draw(w.T, what)
}

// act is the module's.
func (w *modelWorld) act(events []dispatch.Event) []dispatch.Action {
	if w.actions = nil; slices.Contains(events, dispatch.Event(dispatch.TimerFired{})) && (w.policyTimerAt == 0 || w.policyTimerAt > w.now) {
		w.Fatalf("a timer fires at %v that is due at %v", w.now, w.policyTimerAt)
	}
	if w.policyTimerAt <= w.now {
		w.policyTimerAt = 0
	}
	ready := slices.DeleteFunc(slices.Sorted(maps.Keys(w.policy.workers)), func(id uint64) bool { return !w.policy.workers[id].Ready })
	for _, e := range events {
		if j, ok := e.(dispatch.Job); ok && len(ready) > 0 && w.pick(0, 3, "sends") > 0 {
			w.actions = append(w.actions, dispatch.Send{Job: j.ID, Worker: ready[w.pick(0, len(ready)-1, "to")]})
		} else if ok && w.pick(0, 1, "refuses") > 0 {
			w.actions = append(w.actions, dispatch.Reject{Job: j.ID})
		}
	}
	switch besides := w.pick(0, 9, "besides"); {
	case besides == 0 && !w.policy.subscribed:
		w.policy.subscribed, w.unfiltered.subscribed = true, true
		w.actions = append(w.actions, dispatch.Subscribe{})
	case besides == 1:
		after := time.Duration(w.pick(1, 2000, "timer")) * time.Millisecond
		if at := w.now + after; w.policyTimerAt == 0 || at < w.policyTimerAt {
			w.policyTimerAt = at
		}
		w.actions = append(w.actions, dispatch.SetTimer{After: after})
	case besides == 2 && len(ready) > 0:
		w.actions = append(w.actions, dispatch.HealthCheck{Worker: ready[0]})
	}
	return w.actions
}

// step passes a batch through, as the ledger would, and looks at what has come of it.
func (w *modelWorld) step(events []dispatch.Event) {
	if w.timerAt > 0 && w.timerAt <= w.now {
		w.timerAt = 0
		events = append(events, dispatch.TimerFired{})
	}
	for _, e := range events {
		if l, ok := e.(dispatch.WorkerList); ok {
			w.unfiltered.applyList(l)
		}
	}
	actions := w.aperture.Step(w.now, events, nil)
	if again := w.twin.Step(w.now, events, nil); !reflect.DeepEqual(actions, again) {
		w.Fatalf("the same again does otherwise: %v, %v", actions, again)
	}
	for _, x := range actions {
		switch x := x.(type) {
		case dispatch.SetTimer:
			if at := w.now + max(x.After, 1); w.timerAt == 0 || at < w.timerAt {
				w.timerAt = at
			}
		case dispatch.Send:
			w.policy.inFlight[x.Worker]++
			w.inFlight = append(w.inFlight, dispatch.Outcome{Job: x.Job, Worker: x.Worker})
		case dispatch.CloseIdleConnections:
			if _, is := w.policy.workers[x.Worker]; is || w.policy.inFlight[x.Worker] > 0 {
				w.Fatalf("links to %d are freed that is in use", x.Worker)
			}
		}
	}
	w.check()
}

func (w *modelWorld) check() {
	if w.policyTimerAt > 0 && (w.timerAt == 0 || w.timerAt > max(w.policyTimerAt, w.now+1)) {
		w.Fatalf("the module's timer at %v is lost, the next is at %v", w.policyTimerAt, w.timerAt)
	}
	if w.policy.subscribed != w.unfiltered.subscribed || w.policy.listKnown != w.unfiltered.listKnown {
		w.Fatalf("the module takes its call for answered, and it is not, or the reverse")
	}
	known, ready := 0, w.unfiltered.ready()
	for id, is := range w.unfiltered.workers {
		x, told := w.policy.workers[id]
		held := w.aperture.workers[id].unit.selected
		if is.Ready && told {
			known++
		}
		if x.Assignees != 0 && x.Assignees != ringCount || x.AssigneeRank > x.Assignees || told && held && (x.Assignees == 0) != w.aperture.coversFleet() && !w.aperture.needsRefresh {
			w.Fatalf("%d is %d of %d", id, x.AssigneeRank, x.Assignees)
		}
		x.AssigneeRank, x.Assignees = 0, 0
		switch out := w.policy.inFlight[id]; {
		case held && x != is:
			w.Fatalf("%d is known as %+v, and is %+v", id, x, is)
		case !held && told != (out > 0) || !held && x.Ready:
			w.Fatalf("%d is not in the aperture and known as %+v, with %d out", id, x, out)
		}
	}
	for id := range w.policy.workers {
		if _, listed := w.unfiltered.workers[id]; !listed {
			w.Fatalf("%d is known that discovery does not list", id)
		}
	}
	for id := range w.aperture.workers {
		if _, listed := w.unfiltered.workers[id]; !listed && w.policy.inFlight[id] == 0 {
			w.Fatalf("%d is kept for nothing", id)
		}
	}
	if !w.aperture.needsRefresh && known < min(ready, 1) { // of three at least, to the nearest cell
		w.Fatalf("none of %d ready ones is known", ready)
	}
}

func (w *modelWorld) worker(id uint64) dispatch.Worker {
	return dispatch.Worker{ID: id, Ready: w.pick(0, 4, "state") > 0, Cell: int(id)/4 + w.pick(0, 20, "cell")/20,
		Kind: int(id) % 3, BootAt: time.Duration(w.pick(0, 3, "boot"))}
}

// Whatever lists, load and outcomes come, in whatever batches: the module's view is that of the aperture, nothing is
// sent outside it, and nobody vanishes while something is out there.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &modelWorld{T: t, policy: newRecordingPolicy(t), unfiltered: newRecordingPolicy(t), now: time.Minute}
		set := cellSettings(0, w.pick(1, 9, "schedulers"))
		set.Classes = append(slices.Clone(set.Classes[:w.pick(1, 2, "classes")]), dispatch.Class{Kinds: []int{2}})
		conf := Config{MinWorkers: 3, Coverage: 2, MinFleet: 12, MaxWidening: 4, WidenThreshold: 0.1, Retention: time.Second}
		second := newRecordingPolicy(t)
		w.policy.act, second.act = w.act, func([]dispatch.Event) []dispatch.Action { return w.actions }
		w.aperture, w.twin = New(w.policy, set, conf), New(second, set, conf)
		var batch []dispatch.Event
		add := func(e dispatch.Event) { batch = append(batch, e) }
		t.Repeat(map[string]func(*rapid.T){
			"whole": func(*rapid.T) {
				l := dispatch.WorkerList{Kind: []dispatch.ListKind{dispatch.ListFull, dispatch.ListCached}[w.pick(0, 1, "cached")]}
				for id := range uint64(w.pick(0, 60, "many")) {
					l.Workers = append(l.Workers, w.worker(id+1))
				}
				add(l)
			},
			"changes": func(*rapid.T) {
				l, had := dispatch.WorkerList{Kind: dispatch.ListDelta}, map[uint64]bool{}
				for range w.pick(0, 8, "many") {
					x := w.worker(uint64(w.pick(1, 60, "id")))
					if _, listed := w.unfiltered.workers[x.ID]; listed && len(batch) == 0 && !had[x.ID] && w.pick(0, 2, "goes") == 0 {
						x.Ready, x.Removed = false, true
					}
					if !had[x.ID] {
						l.Workers = append(l.Workers, x)
					}
					had[x.ID] = true
				}
				add(l)
			},
			"lost": func(*rapid.T) { add(dispatch.WorkerList{Kind: dispatch.ListUnavailable}) },
			"jobs": func(*rapid.T) {
				for range w.pick(1, 12, "many") {
					w.jobs++
					add(dispatch.Job{ID: w.jobs, Class: w.pick(0, len(set.Classes)-1, "class")})
				}
			},
			"ends": func(*rapid.T) {
				for range min(len(w.inFlight), w.pick(1, 8, "many")) {
					i := w.pick(0, len(w.inFlight)-1, "which")
					w.inFlight[i].Result = dispatch.Result(w.pick(0, int(dispatch.NotSent), "result"))
					add(w.inFlight[i])
					w.inFlight = slices.Delete(w.inFlight, i, i+1)
				}
			},
			"begins": func(*rapid.T) {
				if len(w.inFlight) > 0 {
					add(dispatch.Started{Job: w.inFlight[0].Job, Worker: w.inFlight[0].Worker})
				}
			},
			"resumed": func(*rapid.T) {
				w.jobs++
				p := dispatch.PastAttempt{Worker: uint64(w.pick(1, 60, "id")), Ended: w.pick(0, 1, "ended") > 0}
				if add(dispatch.JobResumed{Job: dispatch.Job{ID: w.jobs}, Attempts: []dispatch.PastAttempt{p}}); !p.Ended {
					w.inFlight = append(w.inFlight, dispatch.Outcome{Job: w.jobs, Worker: p.Worker})
				}
			},
			"probed": func(*rapid.T) {
				result := dispatch.Result(w.pick(0, int(dispatch.NotSent), "result"))
				add(dispatch.HealthChecked{Worker: uint64(w.pick(1, 60, "id")), Result: result})
			},
			"members": func(*rapid.T) {
				of := w.pick(1, 9, "of")
				add(dispatch.ReplicasChanged{ReplicaIndex: of / 2, Replicas: of})
			},
			"": func(t *rapid.T) {
				if w.T = t; len(batch) == 0 || w.pick(0, 2, "now") == 0 {
					w.now += time.Duration([]int{0, 1, 30, 300, 2500}[w.pick(0, 4, "span")]) * time.Millisecond
				}
				if len(batch) > 0 && w.pick(0, 1, "step") > 0 || w.timerAt > 0 && w.timerAt <= w.now {
					w.step(batch)
					batch = nil
				}
			},
		})
	})
}
