package dispatch

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// coordinatorHarness returns a harness with a dispatcher that coordinates the only shard, whose workers are idle. The test sends
// the messages of the other dispatchers.
func coordinatorHarness(tb testing.TB, workers int, change func(*Settings)) *harness {
	tb.Helper()
	settings := leaseSettings()
	settings.Replicas = coordinatorCandidates + 1
	change(&settings)
	settings.ReplicaIndex = New(settings, 1).leases.directory.rank(Shard{})[0]
	s := &harness{d: New(settings, 1), now: time.Hour, jobs: map[uint64]*harnessJob{}}
	if test, ok := tb.(*testing.T); ok {
		s.t = test
	}
	s.workers(workers)
	return s
}

func noChange(*Settings) {}

// peer returns the index of one of the other dispatchers, which are numbered from 0.
func (s *harness) peer(number int) int {
	if number >= s.d.settings.ReplicaIndex {
		number++
	}
	return number
}

// receive delivers messages of a peer, and returns the grants that they cause.
func (s *harness) receive(peer int, messages ...PeerMessage) (granted []LeaseGranted) {
	var events []Event
	for _, message := range messages {
		events = append(events, PeerMessageReceived{From: s.peer(peer), Message: message})
	}
	s.take()
	s.step(events...)
	granted, _ = peerMessages[LeaseGranted](s.take())
	return granted
}

func grantedIDs(granted []LeaseGranted) (ids []LeaseID) {
	for _, grant := range granted {
		ids = append(ids, grant.ID)
	}
	return ids
}

// Requests of jobs that may have their full utility are granted before those of deprioritized jobs. Of the former, those of jobs
// queued for longer than tau are first, the oldest first; the others follow by score.
func TestOrderOfGrants(t *testing.T) {
	t.Parallel()
	s := coordinatorHarness(t, 1, noChange)
	if granted := s.receive(0, LeaseRequest{ID: 1, Demand: 1}); len(granted) != 1 || granted[0].Worker != 1 {
		t.Fatalf("granted %v, expected one lease at worker 1", granted)
	}
	far := time.Hour
	s.receive(1,
		LeaseRequest{ID: 11, Demand: 1, Demoted: true, PromoteIn: -time.Second},
		LeaseRequest{ID: 12, Demand: 1, LongProbability: 0.9, PromoteIn: -time.Second},
		LeaseRequest{ID: 13, Demand: 1, LongProbability: 0.95, PromoteIn: -2 * time.Second},
		LeaseRequest{ID: 14, Demand: 1, LongProbability: 0.5, PromoteIn: far},
		LeaseRequest{ID: 15, Demand: 1, LongProbability: 0.2, PromoteIn: far},
		LeaseRequest{ID: 16, Demand: 1, LongProbability: 0.1, PromoteIn: far},
	)
	s.receive(1, LeaseRequest{ID: 16, Demand: 1, Demoted: true}) // its job has been deprioritized since
	var got []LeaseID
	holder := LeaseReleased{ID: 1}
	for peer := 0; len(got) < 6; peer = 1 {
		ids := grantedIDs(s.receive(peer, holder))
		if len(ids) != 1 {
			t.Fatalf("after %v: granted %v, expected one more lease", got, ids)
		}
		got = append(got, ids...)
		holder = LeaseReleased{ID: ids[0]}
	}
	if want := []LeaseID{13, 12, 15, 14, 11, 16}; !slices.Equal(got, want) {
		t.Errorf("granted in the order %v, expected %v", got, want)
	}
}

// Slots are freed by a release, by a complete report without them, by a restart of the peer, and by expiry.
func TestSlotsAreFreed(t *testing.T) {
	t.Parallel()
	for name, free := range map[string]func(s *harness){
		"release": func(s *harness) { s.receive(0, LeaseReleased{ID: 1, Result: OK}) },
		"report":  func(s *harness) { s.receive(0, LeaseReport{Complete: true}) },
		"restart": func(s *harness) { s.receive(0, PeerRestarted{}) },
		"expiry":  func(s *harness) { s.wait(leaseExpiry + maintenanceInterval) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := coordinatorHarness(t, 1, noChange)
			s.receive(0, LeaseRequest{ID: 1, Demand: 1.3}, LeaseStarted{ID: 1, Prompt: true})
			s.wait(reportMaxDelay + ms)
			held := HeldLease{ID: 1, Worker: 1, Demand: 1.3, Started: true}
			s.receive(0, LeaseReport{Complete: true, Leases: []HeldLease{held}})
			if used := s.d.leases.coordinator.slots[1].used; used != 1.3 {
				t.Fatalf("%v slots in use after the report, expected 1.3", used)
			}
			s.wait(reportMaxDelay + ms)
			free(s)
			if slots := s.d.leases.coordinator.slots[1]; slots.used != 0 || slots.running != 0 || len(s.d.leases.coordinator.peers) > 0 {
				t.Errorf("%v slots in use, %v running, peers %v; expected none", slots.used, slots.running, s.d.leases.coordinator.peers)
			}
		})
	}
}

// Values out of range in messages leave the counts valid, and no single peer can fill a table.
func TestCoordinatorBoundsUseByPeers(t *testing.T) {
	t.Parallel()
	s := coordinatorHarness(t, 4, func(settings *Settings) { settings.ZoneCount = 2 })
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20000 {
		s.step(PeerMessageReceived{From: s.peer(rng.IntN(8)), Message: randomPeerMessage(rng)})
		if rng.IntN(10) == 0 {
			s.wait(20 * ms)
		}
		s.actions = s.actions[:0]
	}
	for worker, slots := range s.d.leases.coordinator.slots {
		if !(slots.used >= 0 && slots.used <= 60*8*maxLeaseSlots) || !(slots.running >= 0 && slots.running <= slots.used) {
			t.Errorf("worker %d: implausible counts: %v slots in use, %v running", worker, slots.used, slots.running)
		}
	}
	if shards := len(s.d.leases.directory.ranked) + len(s.d.leases.client.freeSlots) + len(s.d.leases.coordinator.freeCounts); shards > 6 {
		t.Errorf("%d entries for shards, expected at most 6", shards)
	}
	for id := range LeaseID(2 * maxWaiting) {
		s.receive(0, LeaseRequest{ID: 1000 + id, Demand: 1})
	}
	if waiting := len(s.d.leases.coordinator.waiting); waiting > maxWaiting/minPeersPerTable+8*60 {
		t.Errorf("%d requests wait, most of them of one peer", waiting)
	}
	s.wait(leaseExpiry + time.Second)
	coordinator := &s.d.leases.coordinator
	if len(coordinator.leases)+len(coordinator.waitingByKey)+len(coordinator.peers)+len(coordinator.requestedSlots) > 0 {
		t.Errorf("left after the expiry of all: %d leases, %d requests, %d peers, %d shards with requested slots", len(coordinator.leases),
			len(coordinator.waitingByKey), len(coordinator.peers), len(coordinator.requestedSlots))
	}
}

// Failures reported by one peer alone suspend no worker, as the fault may be the peer's. Those of two peers do.
func TestFailuresReportedByOnePeerSuspendNoWorker(t *testing.T) {
	t.Parallel()
	s := coordinatorHarness(t, 1, noChange)
	fail := func(peer int, id LeaseID) bool {
		granted := s.receive(peer, LeaseRequest{ID: id, Demand: 1})
		s.receive(peer, LeaseReleased{ID: id, Result: Failed})
		return len(granted) == 1
	}
	for id := range LeaseID(10) {
		if !fail(0, id) {
			t.Fatalf("the worker was suspended after %d failures, all reported by one peer", id)
		}
	}
	if !fail(1, 1) || fail(2, 1) {
		t.Error("expected the worker to be suspended after a failure that a second peer reported, and not before")
	}
}

// The work that two coordinators lease of a warming worker without knowing of each other, and the work that is sent there without
// leases, stay within the budget of the platform's rule in total.
func TestWarmUpBudgetOverLeases(t *testing.T) {
	t.Parallel()
	testWarmUpBudget(t, 2)
}

// The same with three coordinators, as after two network partitions.
func TestWarmUpBudgetOverThreeCoordinators(t *testing.T) {
	t.Parallel()
	testWarmUpBudget(t, 3)
}

// testWarmUpBudget lets each of some coordinators lease as much as it can of one warming worker.
func testWarmUpBudget(t *testing.T, coordinators int) {
	t.Helper()
	const work, kindSlots = 0.02, 1.0
	boot := time.Hour
	leased := 0.0
	var s *harness
	for range coordinators {
		s = coordinatorHarness(t, 0, func(settings *Settings) {
			settings.WarmUp, settings.WarmUpCapacity = 20*time.Second, 0.1
			settings.OverloadFactor, settings.OverloadWindow = 3, 2*time.Second
		})
		s.step(WorkerList{Kind: ListFull, Workers: []Worker{{ID: 1, Ready: true, BootAt: boot}}})
		s.receive(0, LeaseReport{})
		s.wait(s.d.settings.OverloadWindow / 2)
		if granted := s.receive(0, LeaseRequest{ID: 1, Demand: 1, Work: work}); len(granted) > 0 {
			t.Fatal("leased within a window after the first message, when grants of earlier coordinators are unknown")
		}
		s.receive(0, LeaseReleased{ID: 1})
		s.wait(s.d.settings.OverloadWindow)
		for id := range LeaseID(1000) {
			leased += work * float64(len(s.receive(0, LeaseRequest{ID: id, Demand: 1, Work: work})))
			s.receive(0, LeaseReleased{ID: id, Result: OK})
		}
		if granted := s.receive(0, LeaseRequest{ID: 2000, Demand: 1, Work: -1}); len(granted) > 0 {
			t.Fatal("leased for a request with negative work")
		}
	}
	worker := s.d.fleet.byID[1]
	share := worker.warmUpShare(&s.d.settings, s.d.now)
	rule := s.d.settings.OverloadFactor * kindSlots * share * s.d.settings.OverloadWindow.Seconds()
	unleased := s.d.slowStart.budget(worker, s.d.now)
	t.Logf("%.3f leased, up to %.3f without leases, %.3f allowed", leased, unleased, rule)
	if leased == 0 {
		t.Error("nothing was leased: the test has covered nothing")
	}
	if leased+unleased > rule {
		t.Errorf("%.3f leased and up to %.3f without leases, %.3f allowed", leased, unleased, rule)
	}
}

// If leases are not used, no message is sent, not even in answer to one.
func TestNoMessagesWithoutPeers(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*Settings){
		"messages not allowed":   func(settings *Settings) { settings.PeerMessages = false },
		"a single dispatcher":    func(settings *Settings) { settings.Replicas = 1 },
		"no start notifications": func(settings *Settings) { settings.StartNotifications = false },
		"messages over their budget": func(settings *Settings) {
			settings.PeerCost = defaultPeerBudget * peerCostBytes / leaseBytesPerJob * 1.01
		},
	} {
		settings := leaseSettings()
		settings.Replicas = 8
		change(&settings)
		s := newHarness(t, settings)
		s.workers(2)
		s.step(s.job(1, 0, 100*ms), PeerMessageReceived{From: 1, Message: LeaseRequest{ID: 1, Demand: 1}})
		s.wait(3 * time.Second)
		for _, action := range s.take() {
			if sent, ok := action.(SendPeerMessage); ok {
				t.Errorf("%s: sent %v", name, sent)
			}
		}
	}
}

// Whatever messages peers send, the rules hold, and each job gets exactly one answer.
func FuzzRulesWithPeerMessages(f *testing.F) {
	for seed := range uint64(40) {
		f.Add(seed, uint16(200))
	}
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		run := func() (*ruleChecker, []Action) {
			rng := rand.New(rand.NewPCG(seed, 9))
			r, _, log := changedRandomRun(seed, int(steps%500), func(settings *Settings) {
				settings.PeerMessages, settings.Replicas, settings.ReplicaIndex = true, 2+rng.IntN(5), rng.IntN(2)
			}, func() (events []Event) {
				for range rng.IntN(6) {
					events = append(events, PeerMessageReceived{From: rng.IntN(8) - 1, Message: randomPeerMessage(rng)})
				}
				return events
			})
			return r, log
		}
		r, log := run()
		if len(r.violations) > 0 {
			t.Fatalf("%d violations, the first: %s", len(r.violations), r.violations[0])
		}
		if _, again := run(); !reflect.DeepEqual(log, again) {
			t.Fatal("two runs differ")
		}
	})
}

// BenchmarkGrantWaiting measures a new request and a release at a coordinator whose workers are all in use, with requests
// waiting.
func BenchmarkGrantWaiting(b *testing.B) {
	s := coordinatorHarness(b, 3200, func(settings *Settings) { settings.Replicas = 900 })
	held, lastID := []LeaseID{}, LeaseID(0)
	shard := s.d.leases.directory.shardOf(&s.d.fleet.workers[0].Worker)
	for range 2000 {
		lastID++
		granted := s.receive(int(lastID)%800, LeaseRequest{ID: lastID, Shard: shard, Demand: 1, LongProbability: float64(lastID % 97)})
		held = append(held, grantedIDs(granted)...)
	}
	b.ResetTimer()
	for b.Loop() {
		id := held[0]
		lastID++
		request := LeaseRequest{ID: lastID, Shard: shard, Demand: 1, LongProbability: float64(lastID % 97)}
		s.receive(int(lastID)%800, request)
		held = append(held[1:], grantedIDs(s.receive(int(id)%800, LeaseReleased{ID: id, Result: OK}))...)
	}
	b.ReportMetric(float64(len(s.d.leases.coordinator.waiting)), "waiting")
}
