package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// sharedFleet simulates workers and several dispatchers that do not communicate. The connections of each dispatcher to each
// worker are a pool, which opens a connection when none is idle and closes those that have been idle for too long.
type sharedFleet struct {
	settings    Settings
	slots       int
	work        time.Duration // mean run time of a job; run times vary by up to half of that
	idleTimeout time.Duration
	delay       time.Duration // one way between a dispatcher and a worker
	rng         *rand.Rand
	now         time.Duration
	events      sharedEvents
	sequence    int
	dispatchers []*sharedDispatcher
	workers     map[uint64]*sharedWorker
	lastJob     uint64
	rejected    int
	sent        int
	queued      int // attempts that waited for a slot
	checked     int
}

type sharedDispatcher struct {
	d           *Dispatcher
	actions     []Action
	timer       int // number of timers set: only the latest one fires
	attempts    map[uint64]int
	closed      map[uint64]bool
	connections map[uint64][]time.Duration // by worker: since when each that is open has been idle
	opened      int
}

type sharedWorker struct {
	busy  int
	queue []func()
	jobs  int
}

type sharedEvent struct {
	at       time.Duration
	sequence int
	act      func()
}

type sharedEvents []sharedEvent

func (e sharedEvents) Len() int { return len(e) }
func (e sharedEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e sharedEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *sharedEvents) Push(x any)   { *e = append(*e, x.(sharedEvent)) }
func (e *sharedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSharedFleet(dispatchers, workers, kinds, slots int, work time.Duration, settings Settings) *sharedFleet {
	f := &sharedFleet{
		settings: settings, slots: slots, work: work, idleTimeout: settings.ConnIdleTimeout * 3 / 4, delay: 200 * time.Microsecond, workers: map[uint64]*sharedWorker{},
		rng: rand.New(rand.NewPCG(uint64(dispatchers), uint64(workers))), now: time.Hour,
	}
	list := WorkerList{Kind: ListFull}
	for id := range workers {
		number := f.rng.Uint64() // like IDs that are hashes of names
		f.workers[number] = &sharedWorker{}
		list.Workers = append(list.Workers, Worker{ID: number, Kind: id % kinds, Ready: true})
	}
	for index := range dispatchers {
		own := settings
		own.Replicas, own.ReplicaIndex = dispatchers, index
		s := &sharedDispatcher{
			d: New(own, uint64(index+1)), attempts: map[uint64]int{}, closed: map[uint64]bool{},
			connections: map[uint64][]time.Duration{},
		}
		f.dispatchers = append(f.dispatchers, s)
		f.step(s, list)
	}
	return f
}

func (f *sharedFleet) after(delay time.Duration, act func()) {
	f.sequence++
	heap.Push(&f.events, sharedEvent{f.now + delay, f.sequence, act})
}

func (f *sharedFleet) step(s *sharedDispatcher, events ...Event) {
	s.actions = s.d.Step(f.now, events, s.actions[:0])
	for _, action := range s.actions {
		switch action := action.(type) {
		case SetTimer:
			s.timer++
			timer := s.timer
			f.after(action.After, func() {
				if timer == s.timer {
					f.step(s, TimerFired{})
				}
			})
		case Send:
			f.send(s, action)
		case HealthCheck:
			f.checked++
			f.connect(s, action.Worker)
			f.after(2*f.delay, func() {
				f.release(s, action.Worker)
				f.step(s, HealthChecked{Worker: action.Worker, Result: OK})
			})
		case CloseIdleConnections:
			s.connections[action.Worker] = nil
		case Reject:
			f.rejected++
			s.closed[action.Job] = true
		case Fail:
			f.rejected++
			s.closed[action.Job] = true
		}
	}
}

// connect takes an idle connection from the pool, or opens one.
func (f *sharedFleet) connect(s *sharedDispatcher, worker uint64) {
	idle := s.connections[worker]
	for len(idle) > 0 && f.idleTimeout > 0 && f.now-idle[0] >= f.idleTimeout {
		idle = idle[1:]
	}
	if len(idle) == 0 {
		s.opened++
	} else {
		idle = idle[:len(idle)-1]
	}
	s.connections[worker] = idle
}

func (f *sharedFleet) release(s *sharedDispatcher, worker uint64) {
	s.connections[worker] = append(s.connections[worker], f.now)
}

// send executes an attempt: the worker accepts it, and queues it if all slots are in use.
func (f *sharedFleet) send(s *sharedDispatcher, send Send) {
	number := s.attempts[send.Job]
	s.attempts[send.Job]++
	f.sent++
	f.connect(s, send.Worker)
	f.after(2*f.delay, func() { f.release(s, send.Worker) })
	worker := f.workers[send.Worker]
	work := time.Duration(float64(f.work) * (0.5 + f.rng.Float64()))
	start := func() {
		worker.jobs++
		f.after(f.delay, func() { f.step(s, Started{Job: send.Job, Attempt: number, Worker: send.Worker}) })
		f.after(work, func() {
			worker.busy--
			if len(worker.queue) > 0 {
				next := worker.queue[0]
				worker.queue = worker.queue[1:]
				worker.busy++
				next()
			}
		})
		f.after(work+f.delay, func() {
			s.closed[send.Job] = true
			f.step(s, Outcome{Job: send.Job, Attempt: number, Worker: send.Worker, Result: OK, Closed: true})
		})
	}
	f.after(f.delay, func() {
		if worker.busy >= f.slots {
			f.queued++
			worker.queue = append(worker.queue, start)
			return
		}
		worker.busy++
		start()
	})
}

// serve simulates random arrivals of jobs for a time, with a rate for each dispatcher.
func (f *sharedFleet) serve(rates func(dispatcher int) float64, span time.Duration) {
	end := f.now + span
	for index, s := range f.dispatchers {
		rate := rates(index)
		var arrive func()
		arrive = func() {
			f.lastJob++
			f.step(s, Job{ID: f.lastJob, Remaining: f.settings.Classes[0].ClientTimeout, Hint: f.work, Slots: 1})
			f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
		f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	for len(f.events) > 0 && f.events[0].at <= end {
		event := heap.Pop(&f.events).(sharedEvent)
		f.now = event.at
		event.act()
	}
}

// connectionsOpened returns the mean number of opened connections over the dispatchers.
func (f *sharedFleet) connectionsOpened() float64 {
	opened := 0
	for _, s := range f.dispatchers {
		opened += s.opened
	}
	return float64(opened) / float64(len(f.dispatchers))
}

// busiest returns how many jobs the busiest worker ran, as a multiple of the mean.
func (f *sharedFleet) busiest() float64 {
	most, all := 0, 0
	for _, worker := range f.workers {
		most = max(most, worker.jobs)
		all += worker.jobs
	}
	return float64(most) * float64(len(f.workers)) / float64(all)
}
