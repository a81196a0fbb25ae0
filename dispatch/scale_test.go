package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is a fleet of workers in which every job takes the same time, and the dispatcher that serves it. Its queue is
// a ring of instants: the model must cost next to nothing beside what it drives.
type fleet struct {
	d           *Dispatcher
	now         time.Duration
	run         time.Duration // of a job
	noise       float64       // runs vary evenly by so much, as a part of it
	rng         *rand.Rand
	hint        float64      // what is hinted, as a multiple of it
	notice      bool         // starts are told
	events      [3]eventLine // starts, ends, and the rest: each in order of time, or nearly
	acts        []Action
	lastID      uint64
	jobs        map[uint64]*fleetJob
	at          map[uint64]int // jobs by worker
	maxAtWorker int
	done        int
	rejected    int
	delay       time.Duration
}

type fleetJob struct {
	sent, inFlight int
	closed         bool
}

type eventLine struct {
	due   []dueEvent
	first int
}

func newFleet(nodes int, set Settings) *fleet {
	f := &fleet{d: New(set, 1), rng: rand.New(rand.NewPCG(1, 1)), now: time.Hour, run: 20 * ms, hint: 1, notice: set.StartNotifications, jobs: map[uint64]*fleetJob{},
		at: map[uint64]int{}, delay: 200 * time.Microsecond}
	list := WorkerList{Kind: ListFull}
	for id := range nodes {
		list.Workers = append(list.Workers, Worker{ID: uint64(id + 1), Ready: true})
	}
	f.step(list)
	return f
}

func scaleSettings() Settings {
	set := testSettings()
	set.ReportFields, set.HealthChecks, set.HealthCheckCost = nil, true, 0.004
	set.Classes = []Class{{LatencyObjective: 80 * ms, ObjectiveStretch: 2.5, ClientTimeout: 5 * time.Second, Idempotency: Idempotent, PriorityWeight: 1}}
	return set
}

func (f *fleet) later(which int, d time.Duration, e Event) {
	f.events[which].due = append(f.events[which].due, dueEvent{f.now + d, e})
}

func (f *fleet) step(events ...Event) {
	f.acts = f.d.Step(f.now, events, f.acts[:0])
	for _, a := range f.acts {
		switch a := a.(type) {
		case Send:
			j := f.jobs[a.Job]
			n := j.sent
			j.sent++
			j.inFlight++
			f.at[a.Worker]++
			f.maxAtWorker = max(f.maxAtWorker, f.at[a.Worker])
			if f.notice {
				f.later(0, 2*f.delay, Started{Job: a.Job, Attempt: n, Worker: a.Worker})
			}
			run := time.Duration(float64(f.run) * (1 + f.noise*(2*f.rng.Float64()-1)))
			f.later(1, 2*f.delay+run, Outcome{Job: a.Job, Attempt: n, Worker: a.Worker, Result: OK, Closed: true})
		case HealthCheck:
			f.later(2, 2*f.delay, HealthChecked{Worker: a.Worker, Result: OK})
		case Reject:
			f.rejected++
			f.close(a.Job)
		case Fail:
			f.rejected++
			f.close(a.Job)
		}
	}
}

// next lets time pass to what is due next, and tells the dispatcher of it. Where a job ended it says at which worker.
func (f *fleet) next() (worker uint64) {
	var q *eventLine
	for i := range f.events {
		if o := &f.events[i]; o.first < len(o.due) && (q == nil || o.due[o.first].at < q.due[q.first].at) {
			q = o
		}
	}
	if q == nil { // nothing but time passes
		f.now += 10 * ms
		f.step(TimerFired{})
		return 0
	}
	e := q.due[q.first]
	if q.first++; q.first > 4096 {
		q.due, q.first = q.due[:copy(q.due, q.due[q.first:])], 0
	}
	f.now = max(f.now, e.at)
	if o, ok := e.e.(Outcome); ok {
		f.at[o.Worker]--
		if j := f.jobs[o.Job]; !j.closed {
			f.done++
			worker = o.Worker
		}
		f.jobs[o.Job].inFlight--
		f.close(o.Job)
	}
	f.step(e.e)
	return worker
}

func (f *fleet) close(id uint64) {
	j := f.jobs[id]
	if j.closed = true; j.inFlight == 0 {
		delete(f.jobs, id)
	}
}

func (f *fleet) job() {
	f.lastID++
	f.jobs[f.lastID] = &fleetJob{}
	f.step(Job{ID: f.lastID, Class: 0, Remaining: 5 * time.Second, Hint: time.Duration(float64(f.run) * f.hint), Slots: 1})
}

// BenchmarkStep is the whole life of one job: it comes, goes, starts and ends. A tenth of the fleet's slots are in use.
func BenchmarkStep(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newFleet(nodes, scaleSettings())
			out := max(4, nodes*4/10)
			for range out {
				f.job()
			}
			for range 20 * out {
				f.pass()
			}
			b.ReportAllocs()
			for b.Loop() {
				f.pass()
			}
			b.ReportMetric(float64(f.rejected)/float64(max(1, f.done+f.rejected)), "refused/job")
		})
	}
	for _, held := range []int{0, 100, 10000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			set := scaleSettings()
			set.Classes[0].LatencyObjective, set.Classes[0].ClientTimeout = time.Hour, 2*time.Hour
			f := newFleet(100, set)
			for range 400 + held {
				f.job()
			}
			for range 4000 {
				f.pass()
			}
			b.ReportAllocs()
			for b.Loop() {
				f.pass()
			}
		})
	}
}

// BenchmarkDelta is news of one worker of many.
func BenchmarkDelta(b *testing.B) {
	for _, nodes := range []int{10, 10000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newFleet(nodes, scaleSettings())
			list := WorkerList{Kind: ListDelta, Workers: make([]Worker, 1)}
			for i := 0; b.Loop(); i++ {
				list.Workers[0] = Worker{ID: uint64(i%nodes + 1), Ready: i/nodes%2 == 0}
				f.step(list)
			}
		})
	}
}

// pass lets one job end, and another come in its place.
func (f *fleet) pass() {
	for n := f.done; n == f.done; {
		f.next()
	}
	f.job()
}

// serve has clients that each wait for their answer and ask again at once, 10 ms later if they were refused. It plays for
// so long, and counts from the first second on.
func (f *fleet) serve(clients int, length time.Duration) (served int, perWorker map[uint64]int) {
	perWorker = map[uint64]int{}
	end, from := f.now+length, f.now+time.Second
	for waiting := 0; f.now < end; {
		for range clients - waiting {
			waiting++
			f.job()
		}
		done, turned := f.done, f.rejected
		w := f.next()
		if waiting -= f.done - done + f.rejected - turned; f.rejected > turned {
			f.later(2, 10*ms, TimerFired{})
		}
		if f.now >= from && f.done > done {
			served++
			perWorker[w]++
		}
	}
	return served, perWorker
}

// However many nodes there are, whatever hints are worth, and whether starts are told or not: a fleet that is under half
// full refuses nothing, serves each client as fast as it works, and spreads what it does.
func TestIdleFleetRejectsNothing(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{10, 90, 600} {
		for _, hint := range []float64{1, 1.0 / 30, 30} {
			for _, notice := range []bool{true, false} {
				set := scaleSettings()
				set.StartNotifications = notice
				f := newFleet(nodes, set)
				f.hint = hint
				clients := min(nodes*2, 400)
				served, by := f.serve(clients, 1600*ms)
				possible := float64(clients) * 0.6 / (f.run + 2*f.delay).Seconds()
				most := 0
				for _, n := range by {
					most = max(most, n)
				}
				even := float64(served) / float64(nodes)
				if float64(served) < 0.98*possible || f.rejected > 0 || float64(most) > 1.6*even+4 {
					t.Errorf("%d nodes, hints x %.2f, notices %v: %.3f of what is possible, %d refused, the busiest has %.2f times "+
						"its even part", nodes, hint, notice, float64(served)/possible, f.rejected, float64(most)/even)
				}
			}
		}
	}
}

// The gain of learning does not grow with what is out: from 1 job out to 10,000, with runs that vary, what is believed of
// speeds and works stays near the truth. Corrected against what held when they were sent, each of n jobs out corrects the
// same error, a gain of n x sizeRate, and from some 60 out on beliefs swung over factors of thousands.
func TestLearningIsStableWhateverIsInFlight(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		out    int
		hint   float64
		length time.Duration
	}{{1, 1, 20 * time.Second}, {10, 1, 5 * time.Second}, {10, 1.0 / 30, 10 * time.Second}, {100, 1, 3 * time.Second},
		{100, 30, 9 * time.Second}, {1000, 1.0 / 30, 400 * ms}, {10000, 1, 100 * ms}} {
		f := newFleet(max(1, c.out/2), scaleSettings())
		f.hint, f.noise = c.hint, 0.3
		f.serve(c.out, c.length)
		j := &jobInfo{Job: Job{Hint: time.Duration(float64(f.run) * c.hint), Slots: 1}, class: &f.d.settings.Classes[0]}
		mean := 0.0
		for _, w := range f.d.workerList {
			mean += w.logSpeed / float64(len(f.d.workerList))
			believed := math.Log(f.d.expectedWork(j)) - w.logSpeed - math.Log(f.run.Seconds())
			if w.runs >= 5 && math.Abs(believed) > 1 {
				t.Fatalf("%+v: a run is believed to take %.2f times its time", c, math.Exp(believed))
			}
		}
		if c.length > 8*time.Second && math.Abs(mean) > maxMeanSpeed+0.1 {
			t.Errorf("%+v: the mean speed is %.2f", c, math.Exp(mean))
		}
	}
}

// A belief does not shut off its own correction: where all workers are thought far too slow for any aim, some jobs go all
// the same, and within a second all do.
func TestWrongEstimateIsCorrected(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{5, 300} {
		f := newFleet(nodes, scaleSettings())
		f.serve(nodes, time.Second)
		for _, k := range f.d.kinds {
			k.logSpeed = -6
		}
		for _, w := range f.d.workerList {
			w.logSpeed, w.learnedAt = -6, f.now
		}
		f.serve(nodes, time.Second)
		if served, _ := f.serve(nodes, 2*time.Second); float64(served) < 0.95*float64(nodes)/(f.run+2*f.delay).Seconds() {
			t.Errorf("%d workers, believed 400 times too slow: %d served in a second, and %d refused", nodes, served, f.rejected)
		}
	}
}

// Jobs that take ten times as long for a while miss their aims; once they no longer do, service is back within a second.
func TestCostStepIsFollowed(t *testing.T) {
	t.Parallel()
	f := newFleet(50, scaleSettings())
	f.serve(100, 2*time.Second)
	f.run *= 10
	f.serve(100, 3*time.Second)
	f.run /= 10
	f.serve(100, time.Second)
	turned := f.rejected
	served, _ := f.serve(100, 2*time.Second)
	if possible := 100 / (f.run + 2*f.delay).Seconds(); float64(served) < 0.95*possible {
		t.Errorf("%d served of %.0f possible, %d refused", served, possible, f.rejected-turned)
	}
}

// A class that only one worker in a hundred may run, and more of it than those can take, holds up nothing else.
func TestBoundClassBlocksNothingElse(t *testing.T) {
	set := scaleSettings()
	set.HealthChecks = false
	bound := set.Classes[0]
	bound.Kinds, bound.LatencyObjective, bound.ClientTimeout = []int{7}, time.Hour, 2*time.Hour
	set.Classes = append(set.Classes, bound)
	s := newHarness(t, set)
	list := WorkerList{Kind: ListFull}
	for id := range 200 {
		w := Worker{ID: uint64(id + 1), Ready: true}
		if id%100 == 0 {
			w.Kind = 7
		}
		list.Workers = append(list.Workers, w)
	}
	s.step(list)
	for id := range uint64(100) {
		s.step(s.job(id+1, 1, ms))
	}
	s.take()
	s.now += ms // they were here first, and leave first
	for id := range uint64(50) {
		s.step(s.job(id+1000, 0, 20*ms))
	}
	if got := sentJobs(taken[Send](s)); len(got) != 50 {
		t.Fatalf("%d of 50 jobs left past held ones of a class that has no room", len(got))
	}
}

// A process that was late itself learns nothing of workers from that time, and blames none for it.
func TestOwnStallsSayNothingAboutWorkers(t *testing.T) {
	f := newFleet(20, scaleSettings())
	f.serve(40, 2*time.Second)
	before := f.d.workerList[3].logSpeed
	f.now += 2 * time.Second // frozen: what came meanwhile is told late, with our own timer
	events := []Event{TimerFired{}}
	for i := range f.events[:2] {
		for q := &f.events[i]; q.first < len(q.due); q.first++ {
			events = append(events, q.due[q.first].e)
		}
	}
	f.step(events...)
	for _, w := range f.d.workerList {
		if math.Abs(w.logSpeed-before) > 0.5 || w.ejectionTime > 0 || w.limit < 2 {
			t.Fatalf("worker %d: speed %.2f (%.2f before), set aside for %v, room %.0f", w.ID, w.logSpeed, before, w.ejectionTime, w.limit)
		}
	}
}
