package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Incident: jobs far heavier than their hint pushed a cold worker over; their class is budgeted by what they did.
func TestHeavyClassAvoidsWarmingWorkers(t *testing.T) {
	set := testSettings()
	set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 20*time.Second, 0.2, 3, 2*time.Second
	s := newHarness(t, set)
	boot := s.now
	cold := func(id uint64) bool {
		s.step(WorkerList{Kind: ListFull, Workers: []Worker{{ID: 2, Ready: true, BootAt: boot}}}, s.job(id, 1, 100*ms))
		return len(taken[Send](s)) == 1
	}
	s.step() // a dispatcher spends no cold budget in its first span
	s.now += 10 * time.Second
	if !cold(1) {
		t.Fatal("a short job was kept from a worker half warm")
	}
	s.step(Started{Job: 1, Worker: 2})
	s.wait(4500 * ms)
	s.step(s.done(1, 0, 2, OK))
	if cold(2) {
		t.Fatal("a class that ran forty times its hint was sent to a cold worker")
	}
}

// A worker whose connections broke and that answers again is treated as cold before any list says that it restarted.
func TestWorkerBackUnannouncedWarmsUp(t *testing.T) {
	set := testSettings()
	set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 20*time.Second, 0.2, 3, 2*time.Second
	s := newHarness(t, set)
	s.workers(1)
	s.busy(1)
	s.step(s.done(1, 0, 1, ConnectionReset))
	s.wait(6 * time.Second)
	s.step(HealthChecked{Worker: 1, Result: OK})
	if got := s.d.warmUpShare(s.d.workers[1]); got > 0.21 {
		t.Fatalf("a worker that came back is taken to have %v of its capacity", got)
	}
	s.wait(21 * time.Second)
	if got := s.d.warmUpShare(s.d.workers[1]); got != 1 {
		t.Fatalf("it is taken to have %v of its capacity after the cold time", got)
	}
}

// Rule 4 by an independent ledger: workers of three slots whose runs take just what was hinted.
func TestWarmUpBudget(t *testing.T) {
	t.Parallel()
	cold := 0
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		set := testSettings()
		set.Replicas, set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 3, 20*time.Second, 0.1, 3, 2*time.Second
		s := newHarness(t, set)
		boot := map[uint64]time.Duration{}
		list := WorkerList{Kind: ListFull}
		for id := uint64(1); id <= 6; id++ {
			w := Worker{ID: id, Ready: true}
			if id > 3 {
				w.BootAt = s.now + time.Duration(rng.IntN(1e9))
				boot[id] = w.BootAt
			}
			list.Workers = append(list.Workers, w)
		}
		s.step(list)
		type spend struct {
			at   time.Duration
			work float64
		}
		spent := map[uint64][]spend{}
		running, slots := map[uint64]float64{}, 3.0 // what the dispatcher could see a worker run at once
		var ends []scheduledEvent
		for id := uint64(1); id < 1500; id++ {
			s.wait(time.Duration(rng.IntN(30)) * time.Millisecond)
			ends = slices.DeleteFunc(ends, func(x scheduledEvent) bool {
				isOver := x.at <= s.now
				if isOver {
					running[x.event.(Outcome).Worker]--
				}
				return isOver
			})
			hint := time.Duration(20+rng.IntN(600)) * time.Millisecond
			s.step(Job{ID: id, Class: 0, Remaining: 5 * time.Second, Hint: hint, Slots: 1})
			for _, a := range s.take() {
				send, ok := a.(Send)
				if !ok {
					continue
				}
				j := s.jobs[send.Job]
				running[send.Worker]++
				slots = max(slots, running[send.Worker])
				ends = append(ends, scheduledEvent{s.now + j.Hint, Outcome{Worker: send.Worker}})
				s.after(2*time.Millisecond, Started{Job: send.Job, Attempt: j.attempts - 1, Worker: send.Worker})
				s.after(2*time.Millisecond+j.Hint, Outcome{
					Job: send.Job, Attempt: j.attempts - 1, Worker: send.Worker,
					Result: OK, Closed: true, Report: []float64{3},
				})
				b, ok := boot[send.Worker]
				if age := s.now - b; ok && age < set.WarmUp {
					spent[send.Worker] = append(spent[send.Worker], spend{s.now, j.Hint.Seconds()})
					sum := 0.0
					for _, x := range spent[send.Worker] {
						if s.now-x.at <= set.OverloadWindow {
							sum += x.work
						}
					}
					share := 0.1 + 0.9*max(0, age).Seconds()/20
					if most := 3 * slots * share * 2 / 3; sum > most {
						t.Fatalf("seed %d: worker %d, %v old, was sent %.2f s of work, our part is %.2f", seed, send.Worker, age, sum, most)
					}
					cold++
				}
			}
		}
	}
	if cold < 500 {
		t.Fatalf("only %d sends to cold workers: the test sees too little", cold)
	}
}

// Rule 4 with hundreds of dispatchers on one cold worker: what they send together in any span stays under the
// budget, also where each of them restarts at random, and the worker is not left idle either.
func TestWarmUpBudgetSharedByHundreds(t *testing.T) {
	t.Parallel()
	for _, replicas := range []int{3, 40, 300} {
		rng := rand.New(rand.NewPCG(uint64(replicas), 3))
		set := testSettings()
		set.Replicas, set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = replicas, 20*time.Second, 0.12, 3, 2*time.Second
		start := time.Hour
		lists := []Event{WorkerList{Kind: ListFull, Workers: []Worker{{ID: 77, Ready: true, BootAt: start}}}}
		all := make([]*Dispatcher, replicas)
		begin := func(i int) {
			own := set
			own.ReplicaIndex = i
			all[i] = New(own, uint64(i))
		}
		for i := range all {
			begin(i)
			all[i].Step(start-time.Minute, nil, nil)
		}
		var spent []spend
		sent, id := 0, uint64(0)
		type end struct {
			at  time.Duration
			i   int
			job uint64
		}
		var ends []end
		for now := start; now < start+20*time.Second; now += 20 * time.Millisecond {
			for _, e := range ends {
				if e.at <= now { // a dispatcher that restarted ignores it
					all[e.i].Step(now, []Event{Outcome{Job: e.job, Worker: 77, Result: OK, Closed: true}}, nil)
				}
			}
			ends = slices.DeleteFunc(ends, func(e end) bool { return e.at <= now })
			for range 3 {
				i := rng.IntN(replicas)
				if rng.IntN(1500) < replicas {
					begin(i)
				}
				id++
				hint := time.Duration(20+rng.ExpFloat64()*250) * time.Millisecond
				events := append(slices.Clone(lists), Job{ID: id, Class: 0, Remaining: 5 * time.Second, Hint: hint, Slots: 1})
				for _, a := range all[i].Step(now, events, nil) {
					s, ok := a.(Send)
					if !ok || s.Job != id {
						continue // a job held from before ends soon without it
					}
					// The run takes twice its hint.
					spent = append(spent, spend{now, 2 * hint.Seconds()})
					sent++
					all[i].Step(now+time.Millisecond, []Event{Started{Job: id, Worker: 77}}, nil)
					ends = append(ends, end{now + 2*hint, i, id})
				}
				spent = slices.DeleteFunc(spent, func(s spend) bool { return now-s.at > set.OverloadWindow })
				sum := 0.0
				for _, s := range spent {
					sum += s.work
				}
				// One core of speed 1, the least that the dispatchers can have seen, runs the work.
				share := 0.12 + 0.88*(now-start).Seconds()/20
				if most := 3 * share * 2; sum > most {
					t.Fatalf("%d dispatchers: %.2f s of work within a span at %v, %.2f allowed", replicas, sum, now-start, most)
				}
			}
		}
		if sent < 5 { // one core warming over twenty seconds
			t.Fatalf("%d dispatchers sent the cold worker %d jobs only", replicas, sent)
		}
	}
}

// Rule 4 with hundreds of dispatchers that draw lots for the cold workers of a fleet whose other workers are offered
// more than they can do: each cold worker gets its share of what the others get, in any span no more than the budget
// with what chance adds to it, and none is left unused.
func TestWarmingWorkersAreChosenByLottery(t *testing.T) {
	t.Parallel()
	const replicas, warm, cold, slots = 300, 24, 8, 4
	rng := rand.New(rand.NewPCG(5, 6))
	set := testSettings()
	set.Replicas, set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = replicas, 8*time.Second, 0.4, 3, 2*time.Second
	start := time.Hour
	list := WorkerList{Kind: ListFull}
	for id := range uint64(warm + cold) {
		w := Worker{ID: id + 1, Ready: true}
		if id >= warm {
			w.BootAt = start
		}
		list.Workers = append(list.Workers, w)
	}
	all := make([]*Dispatcher, replicas)
	begin := func(i int) {
		own := set
		own.ReplicaIndex = i
		all[i] = New(own, uint64(i))
		all[i].Step(start-time.Second, []Event{list}, nil)
	}
	for i := range all {
		begin(i)
	}
	type run struct {
		at     time.Duration
		i      int
		worker uint64
		job    uint64
		number int
		began  bool
	}
	const work = 300 * time.Millisecond // of a job; a worker has four slots
	free := make([]time.Duration, (warm+cold+1)*slots)
	var runs []run
	sent, spent, id := make([]int, warm+cold+1), make([][]time.Duration, warm+cold+1), uint64(0)
	take := func(i int, now time.Duration, actions []Action, numbers map[uint64]int) {
		for _, a := range actions {
			s, ok := a.(Send)
			if !ok {
				continue
			}
			number := numbers[s.Job]
			numbers[s.Job]++
			if sent[s.Worker]++; s.Worker > warm {
				spent[s.Worker] = append(spent[s.Worker], now)
			}
			next := &free[int(s.Worker)*slots]
			for k := range slots {
				if slot := &free[int(s.Worker)*slots+k]; *slot < *next {
					next = slot
				}
			}
			begins := max(now+time.Millisecond, *next)
			*next = begins + work
			runs = append(runs, run{begins, i, s.Worker, s.Job, number, false}, run{begins + work, i, s.Worker, s.Job, number, true})
		}
	}
	numbers := make([]map[uint64]int, replicas)
	for i := range numbers {
		numbers[i] = map[uint64]int{}
	}
	offered := 1.4 * warm * slots / work.Seconds()
	for now := start; now < start+8*time.Second; now += 10 * time.Millisecond {
		pending := runs
		runs = nil
		for _, r := range pending {
			if r.at > now {
				runs = append(runs, r)
				continue
			}
			var e Event = Started{Job: r.job, Attempt: r.number, Worker: r.worker}
			if r.began {
				e = Outcome{Job: r.job, Attempt: r.number, Worker: r.worker, Result: OK, Closed: true}
			}
			take(r.i, now, all[r.i].Step(now, []Event{e}, nil), numbers[r.i])
		}
		if i := rng.IntN(replicas); rng.IntN(30) == 0 { // one restarts now and then, and knows nothing of what it sent
			begin(i)
			runs = slices.DeleteFunc(runs, func(r run) bool { return r.i == i })
		}
		for n := rng.Float64() * 2 * offered / 100; n > 0; n-- {
			i := int(float64(replicas) * rng.Float64() * rng.Float64()) // some get several times the mean
			id++
			job := Job{ID: id, Class: 0, Remaining: 5 * time.Second, Hint: work, Slots: 1}
			take(i, now, all[i].Step(now, []Event{job, TimerFired{}}, nil), numbers[i])
		}
		for w := range spent {
			spent[w] = slices.DeleteFunc(spent[w], func(at time.Duration) bool { return now-at > set.OverloadWindow })
			share := 0.4 + 0.6*(now-start).Seconds()/8
			most := set.OverloadFactor * share * slots / work.Seconds() * set.OverloadWindow.Seconds()
			if n := float64(len(spent[w])); n > most+2*math.Sqrt(most)+2 {
				t.Fatalf("worker %d got %v jobs within a span at %v, of %.0f", w, n, now-start, most)
			}
		}
	}
	others := 0
	for _, n := range sent[1 : warm+1] {
		others += n
	}
	for w := warm + 1; w <= warm+cold; w++ {
		if least := others / warm / 8; sent[w] < least {
			t.Errorf("cold worker %d got %d jobs, fewer than %d", w, sent[w], least)
		}
	}
	t.Logf("warm ones got %d jobs each, cold ones %v", others/warm, sent[warm+1:])
}
