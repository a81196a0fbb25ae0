package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Regression test for an incident: jobs far heavier than their hint overloaded a warming worker. The budget counts a class by its
// overrun ratio.
func TestHeavyClassAvoidsWarmingWorkers(t *testing.T) {
	set := testSettings()
	set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 20*time.Second, 0.2, 3, 2*time.Second
	s := newHarness(t, set)
	boot := s.now
	warming := func(id uint64) bool {
		s.step(WorkerList{Kind: ListFull, Workers: []Worker{{ID: 2, Ready: true, BootAt: boot}}}, s.job(id, 1, 100*ms))
		return len(taken[Send](s)) == 1
	}
	s.step() // a dispatcher sends warming workers nothing in its first window
	s.now += 10 * time.Second
	if !warming(1) {
		t.Fatal("a short job was not sent to a worker that has half warmed up")
	}
	s.step(Started{Job: 1, Worker: 2})
	s.wait(4500 * ms)
	s.step(s.done(1, 0, 2, OK))
	if warming(2) {
		t.Fatal("a job of a class that ran forty times its hint was sent to a warming worker")
	}
}

// A worker whose connections broke and that answers again counts as warming up even before a list says that it has restarted.
func TestReturningWorkerWarmsUpWithoutListUpdate(t *testing.T) {
	set := testSettings()
	set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 20*time.Second, 0.2, 3, 2*time.Second
	s := newHarness(t, set)
	s.workers(1)
	s.startOnWorker1(1)
	s.step(s.done(1, 0, 1, ConnectionReset))
	s.wait(6 * time.Second)
	s.step(HealthChecked{Worker: 1, Result: OK})
	if got := s.d.fleet.byID[1].warmUpShare(&s.d.settings, s.d.now); got > 0.21 {
		t.Fatalf("a worker that answers again is assumed to have %v of its capacity", got)
	}
	s.wait(21 * time.Second)
	if got := s.d.fleet.byID[1].warmUpShare(&s.d.settings, s.d.now); got != 1 {
		t.Fatalf("it is assumed to have %v of its capacity after the warm-up", got)
	}
}

// workWithin returns the work that was sent within the window that ends now.
func workWithin(samples []workSample, now, window time.Duration) float64 {
	sum := 0.0
	for _, s := range samples {
		if now-s.at <= window {
			sum += s.work
		}
	}
	return sum
}

// budgetChecker sums the work that warming workers of three slots are sent, independently of the dispatcher. Runs take exactly as
// long as hinted.
type budgetChecker struct {
	*harness
	rng      *rand.Rand
	boot     map[uint64]time.Duration // of the warming workers
	sentWork map[uint64][]workSample
	running  map[uint64]float64
	slots    float64 // the most that the dispatcher could see a worker run at once
	ends     []scheduledEvent
	checked  int // sends to warming workers
}

func newBudgetChecker(t *testing.T, seed uint64) *budgetChecker {
	t.Helper()
	set := testSettings()
	set.Replicas, set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 3, 20*time.Second, 0.1, 3, 2*time.Second
	c := &budgetChecker{
		harness: newHarness(t, set), rng: rand.New(rand.NewPCG(seed, 2)), boot: map[uint64]time.Duration{},
		sentWork: map[uint64][]workSample{}, running: map[uint64]float64{}, slots: 3,
	}
	list := WorkerList{Kind: ListFull}
	for id := uint64(1); id <= 6; id++ {
		w := Worker{ID: id, Ready: true}
		if id > 3 {
			w.BootAt = c.now + time.Duration(c.rng.IntN(1e9))
			c.boot[id] = w.BootAt
		}
		list.Workers = append(list.Workers, w)
	}
	c.step(list)
	return c
}

// endRuns updates the counts for the runs that are over.
func (c *budgetChecker) endRuns() {
	c.ends = slices.DeleteFunc(c.ends, func(x scheduledEvent) bool {
		isOver := x.at <= c.now
		if isOver {
			c.running[x.event.(Outcome).Worker]--
		}
		return isOver
	})
}

// start runs an attempt. If its worker is warming up, it checks the work that the worker has been sent.
func (c *budgetChecker) start(send Send) {
	j := c.jobs[send.Job]
	c.running[send.Worker]++
	c.slots = max(c.slots, c.running[send.Worker])
	c.ends = append(c.ends, scheduledEvent{c.now + j.Hint, Outcome{Worker: send.Worker}})
	c.after(2*time.Millisecond, Started{Job: send.Job, Attempt: j.attempts - 1, Worker: send.Worker})
	c.after(2*time.Millisecond+j.Hint, Outcome{
		Job: send.Job, Attempt: j.attempts - 1, Worker: send.Worker, Result: OK, Closed: true, Report: []float64{3},
	})
	boot, warmsUp := c.boot[send.Worker]
	age := c.now - boot
	if !warmsUp || age >= c.d.settings.WarmUp {
		return
	}
	c.sentWork[send.Worker] = append(c.sentWork[send.Worker], workSample{c.now, j.Hint.Seconds()})
	sum := workWithin(c.sentWork[send.Worker], c.now, c.d.settings.OverloadWindow)
	share := 0.1 + 0.9*max(0, age).Seconds()/20
	if most := 3 * c.slots * share * 2 / 3; sum > most {
		c.t.Fatalf("worker %d, %v after its start, was sent %.2f s of work, more than %.2f", send.Worker, age, sum, most)
	}
	c.checked++
}

// The work that warming workers are sent, summed independently, stays within their budget.
func TestWarmUpBudget(t *testing.T) {
	t.Parallel()
	checked := 0
	for seed := range uint64(30) {
		c := newBudgetChecker(t, seed)
		for id := uint64(1); id < 1500; id++ {
			c.wait(time.Duration(c.rng.IntN(30)) * time.Millisecond)
			c.endRuns()
			hint := time.Duration(20+c.rng.IntN(600)) * time.Millisecond
			c.step(Job{ID: id, Class: 0, Remaining: 5 * time.Second, Hint: hint, Slots: 1})
			for _, send := range taken[Send](c.harness) {
				c.start(send)
			}
		}
		checked += c.checked
	}
	if checked < 500 {
		t.Fatalf("only %d sends to warming workers, too few for the test to be meaningful", checked)
	}
}

// manyDispatchers are dispatchers that share one warming worker. Each restarts at random times, without its state.
type manyDispatchers struct {
	t        *testing.T
	set      Settings
	rng      *rand.Rand
	all      []*Dispatcher
	list     WorkerList
	start    time.Duration
	sentWork []workSample
	ends     []runEnd
	sent     int
	jobs     uint64
}

type runEnd struct {
	at         time.Duration
	dispatcher int
	job        uint64
}

func newManyDispatchers(t *testing.T, replicas int) *manyDispatchers {
	t.Helper()
	m := &manyDispatchers{
		t: t, set: testSettings(), rng: rand.New(rand.NewPCG(uint64(replicas), 3)), all: make([]*Dispatcher, replicas),
		start: time.Hour,
	}
	m.set.Replicas, m.set.WarmUp, m.set.WarmUpCapacity, m.set.OverloadFactor, m.set.OverloadWindow = replicas, 20*time.Second, 0.12, 3, 2*time.Second
	m.list = WorkerList{Kind: ListFull, Workers: []Worker{{ID: 77, Ready: true, BootAt: m.start}}}
	for i := range m.all {
		m.restart(i)
		m.all[i].Step(m.start-time.Minute, nil, nil)
	}
	return m
}

func (m *manyDispatchers) restart(i int) {
	own := m.set
	own.ReplicaIndex = i
	m.all[i] = New(own, uint64(i))
}

// endRuns ends the runs that are over. A dispatcher that has restarted since ignores their outcomes.
func (m *manyDispatchers) endRuns(now time.Duration) {
	for _, e := range m.ends {
		if e.at <= now {
			m.all[e.dispatcher].Step(now, []Event{Outcome{Job: e.job, Worker: 77, Result: OK, Closed: true}}, nil)
		}
	}
	m.ends = slices.DeleteFunc(m.ends, func(e runEnd) bool { return e.at <= now })
}

// arrive adds a job at a random dispatcher, and checks the work that all dispatchers have sent the worker.
func (m *manyDispatchers) arrive(now time.Duration) {
	i := m.rng.IntN(len(m.all))
	if m.rng.IntN(1500) < len(m.all) {
		m.restart(i)
	}
	m.jobs++
	id := m.jobs
	hint := time.Duration(20+m.rng.ExpFloat64()*250) * time.Millisecond
	events := []Event{m.list, Job{ID: id, Class: 0, Remaining: 5 * time.Second, Hint: hint, Slots: 1}}
	for _, a := range m.all[i].Step(now, events, nil) {
		if s, ok := a.(Send); !ok || s.Job != id {
			continue // a job that was queued before; its run is not simulated
		}
		// The run takes twice its hint.
		m.sentWork = append(m.sentWork, workSample{now, 2 * hint.Seconds()})
		m.sent++
		m.all[i].Step(now+time.Millisecond, []Event{Started{Job: id, Worker: 77}}, nil)
		m.ends = append(m.ends, runEnd{now + 2*hint, i, id})
	}
	// The bound is for one core of speed 1, the least capacity that the dispatchers can have observed.
	share := 0.12 + 0.88*(now-m.start).Seconds()/20
	if sum, most := workWithin(m.sentWork, now, m.set.OverloadWindow), 3*share*2; sum > most {
		m.t.Fatalf("%d dispatchers: %.2f s of work within a window at %v, %.2f allowed", len(m.all), sum, now-m.start, most)
	}
}

// Hundreds of dispatchers share one warming worker, and each restarts at random times. The work that they send together in any
// window stays within the budget, and the worker is not left idle either.
func TestWarmUpBudgetOfHundredsOfDispatchers(t *testing.T) {
	t.Parallel()
	for _, replicas := range []int{3, 40, 300} {
		m := newManyDispatchers(t, replicas)
		for now := m.start; now < m.start+20*time.Second; now += 20 * time.Millisecond {
			m.endRuns(now)
			for range 3 {
				m.arrive(now)
			}
		}
		if m.sent < 5 { // one core warming over twenty seconds
			t.Fatalf("%d dispatchers sent the warming worker only %d jobs", replicas, m.sent)
		}
	}
}

// lottery simulates a fleet with some warming workers under hundreds of dispatchers. The other workers are overloaded.
type lottery struct {
	t        *testing.T
	set      Settings
	rng      *rand.Rand
	start    time.Duration
	list     WorkerList
	all      []*Dispatcher
	attempts []map[uint64]int // by dispatcher: the attempts of its jobs
	runs     []lotteryRun
	free     []time.Duration // by slot of each worker: when it becomes free
	sent     []int           // by worker
	sentAt   [][]time.Duration
	jobs     uint64
}

// lotteryRun is the start or the end of a run.
type lotteryRun struct {
	at         time.Duration
	dispatcher int
	worker     uint64
	job        uint64
	attempt    int
	isEnd      bool
}

const (
	lotteryWarm    = 24
	lotteryWarming = 8
	lotterySlots   = 4                      // of a worker
	lotteryRunTime = 300 * time.Millisecond // of a job
)

func newLottery(t *testing.T, replicas int, capacity float64) *lottery {
	t.Helper()
	workers := lotteryWarm + lotteryWarming + 1 // their IDs count from 1
	l := &lottery{
		t: t, set: testSettings(), rng: rand.New(rand.NewPCG(5, 6)), start: time.Hour, list: WorkerList{Kind: ListFull},
		all: make([]*Dispatcher, replicas), attempts: make([]map[uint64]int, replicas),
		free: make([]time.Duration, workers*lotterySlots), sent: make([]int, workers), sentAt: make([][]time.Duration, workers),
	}
	l.set.Replicas, l.set.WarmUp, l.set.WarmUpCapacity, l.set.OverloadFactor, l.set.OverloadWindow = replicas, 8*time.Second, capacity, 3, 2*time.Second
	for id := range uint64(lotteryWarm + lotteryWarming) {
		w := Worker{ID: id + 1, Ready: true}
		if id >= lotteryWarm {
			w.BootAt = l.start
		}
		l.list.Workers = append(l.list.Workers, w)
	}
	for i := range l.all {
		l.restartDispatcher(i)
		l.attempts[i] = map[uint64]int{}
	}
	return l
}

func (l *lottery) restartDispatcher(i int) {
	own := l.set
	own.ReplicaIndex = i
	l.all[i] = New(own, uint64(i))
	l.all[i].Step(l.start-time.Second, []Event{l.list}, nil)
}

// step passes events to a dispatcher, and runs its attempts in the first free slot of their workers.
func (l *lottery) step(i int, now time.Duration, events ...Event) {
	for _, a := range l.all[i].Step(now, events, nil) {
		s, ok := a.(Send)
		if !ok {
			continue
		}
		number := l.attempts[i][s.Job]
		l.attempts[i][s.Job]++
		l.sent[s.Worker]++
		if s.Worker > lotteryWarm {
			l.sentAt[s.Worker] = append(l.sentAt[s.Worker], now)
		}
		slots := l.free[int(s.Worker)*lotterySlots:][:lotterySlots]
		first := slices.Index(slots, slices.Min(slots))
		begins := max(now+time.Millisecond, slots[first])
		slots[first] = begins + lotteryRunTime
		l.runs = append(l.runs, lotteryRun{begins, i, s.Worker, s.Job, number, false},
			lotteryRun{begins + lotteryRunTime, i, s.Worker, s.Job, number, true})
	}
}

// advance processes the starts and ends of runs that are due.
func (l *lottery) advance(now time.Duration) {
	pending := l.runs
	l.runs = nil
	for _, r := range pending {
		switch {
		case r.at > now:
			l.runs = append(l.runs, r)
		case r.isEnd:
			l.step(r.dispatcher, now, Outcome{Job: r.job, Attempt: r.attempt, Worker: r.worker, Result: OK, Closed: true})
		default:
			l.step(r.dispatcher, now, Started{Job: r.job, Attempt: r.attempt, Worker: r.worker})
		}
	}
}

// restartAtRandom sometimes restarts a random dispatcher, without its state.
func (l *lottery) restartAtRandom() {
	if i := l.rng.IntN(len(l.all)); l.rng.IntN(30*300) < len(l.all) {
		l.restartDispatcher(i)
		l.runs = slices.DeleteFunc(l.runs, func(r lotteryRun) bool { return r.dispatcher == i })
	}
}

// arrive adds a random number of jobs with the given mean. Some dispatchers get several times as many as others.
func (l *lottery) arrive(now time.Duration, mean float64) {
	for n := l.rng.Float64() * 2 * mean; n > 0; n-- {
		i := int(float64(len(l.all)) * l.rng.Float64() * l.rng.Float64())
		l.jobs++
		l.step(i, now, Job{ID: l.jobs, Class: 0, Remaining: 5 * time.Second, Hint: lotteryRunTime, Slots: 1}, TimerFired{})
	}
}

// checkBudgets checks that no warming worker has been sent as many jobs within a window as would overload it.
func (l *lottery) checkBudgets(now time.Duration) {
	for w := range l.sentAt {
		l.sentAt[w] = slices.DeleteFunc(l.sentAt[w], func(at time.Duration) bool { return now-at > l.set.OverloadWindow })
		share := l.set.WarmUpCapacity + (1-l.set.WarmUpCapacity)*(now-l.start).Seconds()/l.set.WarmUp.Seconds()
		budget := l.set.OverloadFactor * share * lotterySlots / lotteryRunTime.Seconds() * l.set.OverloadWindow.Seconds()
		if n := float64(len(l.sentAt[w])); n > overloadThreshold(budget) {
			l.t.Fatalf("%d dispatchers: worker %d got %v jobs within a window at %v, budget %.0f", len(l.all), w, n, now-l.start, budget)
		}
	}
}

// overloadThreshold returns how many jobs of mean work a warming worker may get within a window in which n are allowed: n plus a
// margin for random variation.
func overloadThreshold(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// Up to hundreds of dispatchers choose warming workers of an overloaded fleet by lottery. Each warming worker gets its share of
// what the others get, in any window no more than the budget plus random variation, and none is left unused. The budget holds for
// few dispatchers as for many, and also if it allows each worker only few jobs.
func TestWarmingWorkersAreChosenByLottery(t *testing.T) {
	t.Parallel()
	for _, replicas := range []int{1, 2, 3, 8, 9, 40, 300} {
		for _, capacity := range []float64{0.02, 0.1, 0.4} {
			l := newLottery(t, replicas, capacity)
			offered := 1.4 * lotteryWarm * lotterySlots / lotteryRunTime.Seconds()
			for now := l.start; now < l.start+l.set.WarmUp; now += 10 * time.Millisecond {
				l.advance(now)
				l.restartAtRandom()
				l.arrive(now, offered/100)
				l.checkBudgets(now)
			}
			others := 0
			for _, n := range l.sent[1 : lotteryWarm+1] {
				others += n
			}
			for w := lotteryWarm + 1; w <= lotteryWarm+lotteryWarming; w++ {
				if least := others / lotteryWarm / 8; l.sent[w] < least {
					t.Errorf("%d dispatchers: warming worker %d got %d jobs, expected at least %d", replicas, w, l.sent[w], least)
				}
			}
			t.Logf("%d dispatchers, warm-up from %v: warm workers got %d jobs each, warming ones %v", replicas, capacity, others/lotteryWarm,
				l.sent[lotteryWarm+1:])
		}
	}
}

// Operators end a cordon at all dispatchers at once. The worker counts as restarted and is used at once, and the jobs that all
// dispatchers send it stay within its capacity, however many dispatchers there are.
func TestUncordonAtAllDispatchersStaysWithinBudget(t *testing.T) {
	const run = 100 * ms
	for _, replicas := range []int{1, 2, 3, 8, 40, 300} {
		set := testSettings()
		set.Replicas, set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = replicas, 20*time.Second, 0.2, 3, 2*time.Second
		sent := 0
		for index := range replicas {
			set.ReplicaIndex = index
			s := newHarness(t, set)
			s.workers(1)
			s.wait(3 * time.Second)
			s.step(Cordoned{Worker: 1})
			s.step(Uncordoned{Worker: 1})
			for id := range uint64(3) {
				s.step(s.job(id+1, 0, run))
				for _, send := range taken[Send](s) {
					sent++
					s.step(Started{Job: send.Job, Worker: 1})
					s.step(s.done(send.Job, 0, 1, OK))
				}
			}
		}
		budget := set.OverloadFactor * set.WarmUpCapacity * set.OverloadWindow.Seconds() / run.Seconds()
		if float64(sent) > overloadThreshold(budget) || sent == 0 {
			t.Errorf("%d dispatchers sent %d jobs at once, budget %.0f", replicas, sent, budget)
		}
	}
}

// With an aperture a worker has two assignees, and all others that have it in their subsets sent it nothing while it warmed up.
// Those draw its lottery tickets too. A single assignee, as with planners, has the worker to itself.
func TestOtherDispatchersDrawTicketsUnlessOneIsAssigned(t *testing.T) {
	for assignees, want := range []bool{true, false, true} {
		set := testSettings()
		set.Replicas, set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 300, 20*time.Second, 0.2, 3, 2*time.Second
		s := newHarness(t, set)
		list := WorkerList{Kind: ListFull, Workers: []Worker{{ID: 1, Ready: true}, {ID: 2, Ready: true, BootAt: s.now}}}
		list.Workers[1].Assignees = assignees
		list.Workers[1].AssigneeRank = assignees
		s.step(list)
		s.wait(10 * time.Second)
		sent := false
		for id := range uint64(60) {
			s.step(s.job(id, 0, 100*ms))
			for _, send := range taken[Send](s) {
				sent = sent || send.Worker == 2
				s.step(s.done(send.Job, 0, send.Worker, OK))
			}
			s.wait(100 * ms)
		}
		if sent != want {
			t.Errorf("with %d assignees, jobs were sent to the warming worker: %t, expected %t", assignees, sent, want)
		}
	}
}
