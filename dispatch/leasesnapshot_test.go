package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// leasingPair runs two dispatchers that lease slots from each other, and for each a copy that is restored from its snapshots with
// leases.
type leasingPair struct {
	rng         *rand.Rand
	now         time.Duration
	dispatchers [2]*Dispatcher
	copies      [2]*restoredCopy
	events      [2][]Event
	jobs        uint64
	stateCounts map[string]int // by kind of state: how often a dispatcher had it before a step
}

func leasingSettings(index int) Settings {
	settings := testSettings()
	settings.Replicas, settings.ReplicaIndex, settings.PeerMessages = 2, index, true
	return settings
}

func newLeasingPair(t *testing.T, seed uint64, clockAhead time.Duration) *leasingPair {
	t.Helper()
	pair := &leasingPair{rng: rand.New(rand.NewPCG(seed, 4)), now: 2 * time.Hour, stateCounts: map[string]int{}}
	for index := range pair.dispatchers {
		pair.dispatchers[index] = New(leasingSettings(index), seed+uint64(index))
		pair.copies[index] = &restoredCopy{
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

// step steps both dispatchers and their copies. Messages are delivered with the next step of their recipient, but an eighth is
// lost.
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
		p.copies[index].observe(dispatcher, p.now, events, nil)
		p.countState(dispatcher)
		actions := dispatcher.Step(p.now, events, []Action{})
		p.copies[index].observe(dispatcher, p.now, events, actions)
		for _, action := range actions {
			p.perform(index, action)
		}
	}
}

// hotRestart replaces a dispatcher with one that is restored without leases, and requests them again.
func (p *leasingPair) hotRestart(index int) {
	restored, err := Restore(leasingSettings(index), p.dispatchers[index].Snapshot(nil))
	if err != nil {
		p.copies[index].t.Fatal(err)
	}
	p.dispatchers[index], p.copies[index].restored = restored, nil
	p.stateCounts["restarts"]++
}

func (p *leasingPair) countState(dispatcher *Dispatcher) {
	p.stateCounts["waiting"] += len(dispatcher.leases.coordinator.waiting)
	p.stateCounts["granted"] += len(dispatcher.leases.coordinator.leases)
	for _, lease := range dispatcher.leases.client.byID {
		if lease.isUsed() {
			p.stateCounts["used"]++
		} else {
			p.stateCounts["requested"]++
		}
	}
}

// perform carries out an action. Most attempts are started and most end, independently of each other; the others cause no
// notifications.
func (p *leasingPair) perform(index int, action Action) {
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

// A dispatcher that is restored while leases are requested, granted and in use returns the same actions as the original, also on
// another clock, and has the same snapshot.
func TestSnapshotWithLeases(t *testing.T) {
	for _, clockAhead := range []time.Duration{0, -time.Hour, 3 * time.Second} {
		for seed := range uint64(3) {
			pair := newLeasingPair(t, seed, clockAhead)
			for range 150 {
				pair.step()
			}
			for _, kind := range []string{"waiting", "granted", "used", "requested", "restarts"} {
				if pair.stateCounts[kind] == 0 {
					t.Errorf("seed %d: no snapshot covers the state %s", seed, kind)
				}
			}
		}
	}
}

// A dispatcher whose settings allow no messages drops the leases of the snapshot that it is restored from, and sends its jobs
// without leases. One that uses leases can be restored from a snapshot without them.
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
			t.Error("a dispatcher that does not use leases has kept some from its snapshot")
		}
		on, err := Restore(leasingSettings(index), off.Snapshot(nil))
		if err != nil {
			t.Fatal(err)
		}
		checkServes(t, off, pair.now)
		checkServes(t, on, pair.now)
	}
}

// checkServes lets all further attempts succeed, and checks that no open job stays queued.
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
			t.Errorf("job %d has no answer and no attempt in flight", job.ID)
		}
	}
}

// Truncated bytes are rejected, and no bytes of the section on leases make RestoreWithLeases panic, or give a dispatcher that
// cannot be stored again.
func FuzzRestoreOfLeases(f *testing.F) {
	var full []byte
	f.Add(uint16(0), byte(0))
	for at := range uint16(200) {
		f.Add(at*31, byte(at*7))
	}
	f.Fuzz(func(t *testing.T, at uint16, value byte) {
		if full == nil {
			pair := newLeasingPair(t, 2, 0)
			for range 60 {
				pair.step()
			}
			full = pair.dispatchers[0].SnapshotWithLeases(nil)
		}
		cut := full[:int(at)%len(full)]
		if _, err := RestoreWithLeases(leasingSettings(0), cut); err == nil {
			t.Errorf("a snapshot truncated to %d of %d bytes was accepted", len(cut), len(full))
		}
		changed := slices.Clone(full)
		changed[len(changed)-1-int(at)%(len(changed)/2)] = value
		if restored, err := RestoreWithLeases(leasingSettings(0), changed); err == nil {
			restored.SnapshotWithLeases(nil)
		}
	})
}

// LeaseCounts returns the numbers of leases in use, of granted leases and of waiting requests.
func TestLeaseCounts(t *testing.T) {
	pair := newLeasingPair(t, 1, 0)
	seen := LeaseCounts{}
	for range 60 {
		pair.step()
		for _, dispatcher := range pair.dispatchers {
			used := dispatcher.leases.client.filter((*leaseInfo).isUsed)
			counts := dispatcher.LeaseCounts()
			if counts != (LeaseCounts{len(used), len(dispatcher.leases.coordinator.leases), len(dispatcher.leases.coordinator.waiting)}) {
				t.Fatalf("counts %+v, not those of the leases", counts)
			}
			seen = LeaseCounts{max(seen.Held, counts.Held), max(seen.Granted, counts.Granted), max(seen.Waiting, counts.Waiting)}
		}
	}
	if seen.Held == 0 || seen.Granted == 0 || seen.Waiting == 0 {
		t.Errorf("greatest counts %+v, expected all above 0: the test has covered too little", seen)
	}
}
