package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// leasingPair are two dispatchers that lease slots from each other, each beside one that is restored from its snapshots with
// leases.
type leasingPair struct {
	rng         *rand.Rand
	now         time.Duration
	dispatchers [2]*Dispatcher
	beside      [2]*restoredCopy
	events      [2][]Event
	jobs        uint64
	observed    map[string]int // kinds of state that snapshots have had
}

func leasingSettings(index int) Settings {
	settings := testSettings()
	settings.Replicas, settings.ReplicaIndex, settings.PeerMessages = 2, index, true
	return settings
}

func newLeasingPair(t *testing.T, seed uint64, clockAhead time.Duration) *leasingPair {
	t.Helper()
	pair := &leasingPair{rng: rand.New(rand.NewPCG(seed, 4)), now: 2 * time.Hour, observed: map[string]int{}}
	for index := range pair.dispatchers {
		pair.dispatchers[index] = New(leasingSettings(index), seed+uint64(index))
		pair.beside[index] = &restoredCopy{
			t: t, rng: rand.New(rand.NewPCG(seed, 5)), interval: 1 + int(seed%3)*10, clockAhead: clockAhead,
		}
	}
	pair.listWorkers()
	return pair
}

func (p *leasingPair) listWorkers() {
	list := WorkerList{Kind: ListFull}
	for id := range uint64(4) {
		worker := Worker{ID: id + 1, Ready: p.rng.IntN(5) > 0}
		if p.rng.IntN(6) == 0 {
			worker.BootAt = p.now - time.Second
		}
		list.Workers = append(list.Workers, worker)
	}
	for index := range p.events {
		p.events[index] = append(p.events[index], list)
	}
}

// step steps both dispatchers. Messages are delivered with the next step, but an eighth is lost.
func (p *leasingPair) step() {
	p.now += time.Duration(p.rng.Int64N(int64(30 * ms)))
	if p.rng.IntN(50) == 0 {
		p.listWorkers()
	}
	for index := range p.dispatchers {
		if p.rng.IntN(60) == 0 {
			p.hotRestart(index)
		}
		dispatcher := p.dispatchers[index]
		for range p.rng.IntN(3) {
			p.jobs++
			p.events[index] = append(p.events[index], Job{
				ID: p.jobs, Class: p.rng.IntN(3), Remaining: 2 * time.Second, Slots: 1, Hint: time.Duration(p.rng.Int64N(int64(300 * ms))),
			})
		}
		events := p.events[index]
		p.events[index] = nil
		p.beside[index].observe(dispatcher, p.now, events, nil)
		p.observe(dispatcher)
		actions := dispatcher.Step(p.now, events, []Action{})
		p.beside[index].observe(dispatcher, p.now, events, actions)
		for _, action := range actions {
			p.take(index, action)
		}
	}
}

// hotRestart replaces a dispatcher by one restored without leases, which requests them again.
func (p *leasingPair) hotRestart(index int) {
	restored, err := Restore(leasingSettings(index), p.dispatchers[index].Snapshot(nil))
	if err != nil {
		p.beside[index].t.Fatal(err)
	}
	p.dispatchers[index], p.beside[index].restored = restored, nil
	p.observed["restarts"]++
}

func (p *leasingPair) observe(dispatcher *Dispatcher) {
	p.observed["waiting"] += len(dispatcher.leases.coordinator.waiting)
	p.observed["granted"] += len(dispatcher.leases.coordinator.leases)
	for _, lease := range dispatcher.leases.client.byID {
		if lease.isUsed() {
			p.observed["used"]++
		} else {
			p.observed["requested"]++
		}
	}
}

// take carries out an action. Most attempts end, some of them after a start; of the others nothing is notified.
func (p *leasingPair) take(index int, action Action) {
	switch action := action.(type) {
	case SendPeerMessage:
		if p.rng.IntN(8) > 0 {
			p.events[action.To] = append(p.events[action.To], PeerMessageReceived{From: index, Message: action.Message})
		}
	case Send:
		attempt := len(p.dispatchers[index].jobs[action.Job].attempts) - 1
		if p.rng.IntN(3) > 0 {
			p.events[index] = append(p.events[index], Started{Job: action.Job, Attempt: attempt, Worker: action.Worker})
		}
		if p.rng.IntN(5) > 0 {
			result := []Result{OK, OK, OK, WorkerFull, Failed}[p.rng.IntN(5)]
			p.events[index] = append(p.events[index], Outcome{
				Job: action.Job, Attempt: attempt, Worker: action.Worker, Result: result, Closed: result == OK,
			})
		}
	}
}

// A dispatcher that is restored while leases are requested, granted and in use acts as the original one, also on another
// clock, and has the same snapshot.
func TestSnapshotWithLeases(t *testing.T) {
	for _, clockAhead := range []time.Duration{0, -time.Hour, 3 * time.Second} {
		for seed := range uint64(3) {
			pair := newLeasingPair(t, seed, clockAhead)
			for range 150 {
				pair.step()
			}
			for _, kind := range []string{"waiting", "granted", "used", "requested", "restarts"} {
				if pair.observed[kind] == 0 {
					t.Errorf("seed %d: nothing is counted as %s", seed, kind)
				}
			}
		}
	}
}

// A dispatcher whose settings allow no messages drops the leases of its snapshot and sends its jobs without. One that leases
// slots starts from a snapshot without leases.
func TestSnapshotWithLeasesTurnedOffAndOn(t *testing.T) {
	pair := newLeasingPair(t, 1, 0)
	for range 100 {
		pair.step()
	}
	for index, dispatcher := range pair.dispatchers {
		withoutMessages := leasingSettings(index)
		withoutMessages.PeerMessages = false
		off, err := RestoreWithLeases(withoutMessages, dispatcher.SnapshotWithLeases(nil))
		if err != nil {
			t.Fatal(err)
		}
		isOfLease := func(x *timer) bool { return x.purpose == leaseOverdue }
		if len(off.leases.client.byID)+len(off.leases.coordinator.leases) > 0 || slices.ContainsFunc(off.timers.heap.items, isOfLease) {
			t.Error("leases are left")
		}
		on, err := Restore(leasingSettings(index), off.Snapshot(nil))
		if err != nil {
			t.Fatal(err)
		}
		checkServes(t, off, pair.now)
		checkServes(t, on, pair.now)
	}
}

// checkServes ends all attempts in flight, and expects that each open job is sent or has its final answer.
func checkServes(t *testing.T, dispatcher *Dispatcher, now time.Duration) {
	t.Helper()
	var events []Event
	for range 400 {
		now += 10 * ms
		events = append(events, TimerFired{})
		actions := dispatcher.Step(now, events, nil)
		events = nil
		for _, action := range actions {
			if sent, ok := action.(Send); ok {
				attempt := len(dispatcher.jobs[sent.Job].attempts) - 1
				events = append(events, Outcome{Job: sent.Job, Attempt: attempt, Worker: sent.Worker, Closed: true})
			}
		}
	}
	for _, job := range dispatcher.jobs {
		if !job.closed && job.inFlight == 0 {
			t.Errorf("job %d is still queued", job.ID)
		}
	}
}

// No bytes on leases make Restore panic, or give a dispatcher that can't take a step.
func FuzzRestoreOfLeases(f *testing.F) {
	var whole []byte
	f.Add(uint16(0), byte(0))
	for at := range uint16(200) {
		f.Add(at*31, byte(at*7))
	}
	f.Fuzz(func(t *testing.T, at uint16, value byte) {
		if whole == nil {
			pair := newLeasingPair(t, 2, 0)
			for range 60 {
				pair.step()
			}
			whole = pair.dispatchers[0].SnapshotWithLeases(nil)
		}
		cut := whole[:int(at)%len(whole)]
		if _, err := RestoreWithLeases(leasingSettings(0), cut); err == nil {
			t.Errorf("%d of %d bytes are taken for a whole snapshot", len(cut), len(whole))
		}
		changed := slices.Clone(whole)
		changed[len(changed)-1-int(at)%(len(changed)/2)] = value
		if restored, err := RestoreWithLeases(leasingSettings(0), changed); err == nil {
			restored.SnapshotWithLeases(nil)
		}
	})
}

// LeaseCounts has the leases in use, those granted and the waiting requests.
func TestLeaseCounts(t *testing.T) {
	pair := newLeasingPair(t, 1, 0)
	seen := LeaseCounts{}
	for range 60 {
		pair.step()
		for _, dispatcher := range pair.dispatchers {
			used := dispatcher.leases.client.where((*leaseInfo).isUsed)
			counts := dispatcher.LeaseCounts()
			if counts != (LeaseCounts{len(used), len(dispatcher.leases.coordinator.leases), len(dispatcher.leases.coordinator.waiting)}) {
				t.Fatalf("%+v", counts)
			}
			seen = LeaseCounts{max(seen.Held, counts.Held), max(seen.Granted, counts.Granted), max(seen.Waiting, counts.Waiting)}
		}
	}
	if seen.Held == 0 || seen.Granted == 0 || seen.Waiting == 0 {
		t.Errorf("at most %+v", seen)
	}
}
