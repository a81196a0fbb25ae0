package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet simulates a dispatcher and workers on which every job takes the same time. Its events are in one queue for each kind, so
// that the simulation takes little time compared with the dispatcher.
type fleet struct {
	d              *Dispatcher
	now            time.Duration
	run            time.Duration // of a job
	noise          float64       // run times vary uniformly by up to this fraction
	rng            *rand.Rand
	hint           float64       // as a multiple of the run time
	notifiesStarts bool          // starts are notified
	events         [3]eventQueue // starts, ends, and the rest: each approximately in order of time
	actions        []Action
	lastID         uint64
	jobs           map[uint64]*fleetJob
	jobsAt         map[uint64]int // jobs by worker
	maxAtWorker    int
	done           int
	rejected       int
	delay          time.Duration
}

type fleetJob struct {
	sent, inFlight int
	closed         bool
}

type eventQueue struct {
	events []scheduledEvent
	first  int
}

func newFleet(nodes int, set Settings) *fleet {
	f := &fleet{
		d: New(set, 1), rng: rand.New(rand.NewPCG(1, 1)), now: time.Hour, run: 20 * ms, hint: 1, notifiesStarts: set.StartNotifications, jobs: map[uint64]*fleetJob{},
		jobsAt: map[uint64]int{}, delay: 200 * time.Microsecond,
	}
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

// later schedules an event in one of the three queues.
func (f *fleet) later(which int, d time.Duration, e Event) {
	f.events[which].events = append(f.events[which].events, scheduledEvent{f.now + d, e})
}

func (f *fleet) step(events ...Event) {
	f.actions = f.d.Step(f.now, events, f.actions[:0])
	for _, a := range f.actions {
		switch a := a.(type) {
		case Send:
			j := f.jobs[a.Job]
			n := j.sent
			j.sent++
			j.inFlight++
			f.jobsAt[a.Worker]++
			f.maxAtWorker = max(f.maxAtWorker, f.jobsAt[a.Worker])
			if f.notifiesStarts {
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

// next advances to the next event and passes it to the dispatcher. If it is the end of a job, next returns the job's worker.
func (f *fleet) next() (worker uint64) {
	var q *eventQueue
	for i := range f.events {
		if o := &f.events[i]; o.first < len(o.events) && (q == nil || o.events[o.first].at < q.events[q.first].at) {
			q = o
		}
	}
	if q == nil { // no event is due
		f.now += 10 * ms
		f.step(TimerFired{})
		return 0
	}
	e := q.events[q.first]
	if q.first++; q.first > 4096 {
		q.events, q.first = q.events[:copy(q.events, q.events[q.first:])], 0
	}
	f.now = max(f.now, e.at)
	if o, ok := e.event.(Outcome); ok {
		f.jobsAt[o.Worker]--
		if j := f.jobs[o.Job]; !j.closed {
			f.done++
			worker = o.Worker
		}
		f.jobs[o.Job].inFlight--
		f.close(o.Job)
	}
	f.step(e.event)
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

// BenchmarkStep measures the events of one job: arrival, dispatch, start and end. A tenth of the fleet's slots are in use.
func BenchmarkStep(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newFleet(nodes, scaleSettings())
			inFlight := max(4, nodes*4/10)
			for range inFlight {
				f.job()
			}
			for range 20 * inFlight {
				f.replaceOneJob()
			}
			b.ReportAllocs()
			for b.Loop() {
				f.replaceOneJob()
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
				f.replaceOneJob()
			}
			b.ReportAllocs()
			for b.Loop() {
				f.replaceOneJob()
			}
		})
	}
}

// BenchmarkDelta measures a list that changes one worker.
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

// replaceOneJob advances until a job has ended, and adds a new one in its place.
func (f *fleet) replaceOneJob() {
	for n := f.done; n == f.done; {
		f.next()
	}
	f.job()
}

// serve simulates a number of clients for a time. Each waits for its answer and sends the next job at once, or 10 ms later after
// a rejection. The results exclude the first second.
func (f *fleet) serve(clients int, length time.Duration) (served int, perWorker map[uint64]int) {
	perWorker = map[uint64]int{}
	end, from := f.now+length, f.now+time.Second
	for waiting := 0; f.now < end; {
		for range clients - waiting {
			waiting++
			f.job()
		}
		done, rejected := f.done, f.rejected
		w := f.next()
		if waiting -= f.done - done + f.rejected - rejected; f.rejected > rejected {
			f.later(2, 10*ms, TimerFired{})
		}
		if f.now >= from && f.done > done {
			served++
			perWorker[w]++
		}
	}
	return served, perWorker
}
