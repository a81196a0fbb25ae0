package fleet

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Addresses are where the parties of a rig listen.
type Addresses struct {
	Scheduler string   `json:"scheduler"` // where clients and workers reach the scheduler; the rig does not listen there
	Discovery string   `json:"discovery"`
	Workers   []string `json:"nodes"`
}

// Rig is a fleet of workers, discovery and clients, divided among engines. It can be used for one run only.
type Rig struct {
	spec             Spec
	addresses        addressPlan
	descriptors      descriptorPlan
	schedulerAddress string
	engines          []*engine
	clientGroups     []*clientGroup // one for each engine
	workers          []*worker
	discovery        *discovery
	threads          sync.WaitGroup // of the engines
	startedAt        time.Time
	callbacksLost    atomic.Int64
	jobs             atomic.Int64 // requests sent so far; without Spec.Rate, rejected ones are left out
	closed           bool
}

// NewRig starts workers and discovery. The caller has to close the rig.
func NewRig(spec Spec) (*Rig, error) {
	spec.setDefaults()
	if err := spec.check(); err != nil {
		return nil, err
	}
	rig := &Rig{spec: spec, startedAt: time.Now()}
	var err error
	if rig.descriptors, err = planDescriptors(spec.Workers, spec.Clients+spec.Burst); err != nil {
		return nil, err
	}
	if rig.addresses, err = findAddresses(); err != nil {
		return nil, err
	}
	rig.schedulerAddress = rig.addresses.scheduler().String()
	if err := rig.build(); err != nil {
		rig.Close()
		return nil, err
	}
	for _, engine := range rig.engines {
		rig.threads.Go(engine.run)
	}
	return rig, nil
}

func (r *Rig) build() error {
	for _, core := range r.spec.Cores {
		engine, err := newEngine(core, r.startedAt)
		if err != nil {
			return err
		}
		r.engines = append(r.engines, engine)
		r.clientGroups = append(r.clientGroups, newClientGroup(r, engine))
	}
	for i := range r.spec.Workers {
		worker, err := newWorker(r, r.engines[i%len(r.engines)], i)
		if err != nil {
			return err
		}
		r.workers = append(r.workers, worker)
	}
	var err error
	r.discovery, err = newDiscovery(r, r.engines[0], r.addresses.discovery())
	return err
}

// Addresses returns where the parties of the rig listen.
func (r *Rig) Addresses() Addresses {
	addresses := Addresses{Scheduler: r.schedulerAddress, Discovery: r.addresses.discovery().String()}
	for i := range r.workers {
		addresses.Workers = append(addresses.Workers, r.addresses.worker(i).String())
	}
	return addresses
}

// takeJob reserves the next job to request. It reports false once Spec.Jobs are requested. Any engine may call it.
func (r *Rig) takeJob() bool {
	if r.spec.Jobs <= 0 {
		return true
	}
	for {
		requested := r.jobs.Load()
		if requested >= int64(r.spec.Jobs) {
			return false
		}
		if r.jobs.CompareAndSwap(requested, requested+1) {
			return true
		}
	}
}

// returnJob gives back a job that was rejected, so that it is requested again.
func (r *Rig) returnJob() { r.jobs.Add(-1) }

// Marks that Run reports.
const (
	MarkOpen  = "open"  // the measurement window has opened
	MarkClose = "close" // the measurement window has closed
)

// Run has the clients send requests to the targets, divided evenly, until the time is over or all jobs are done. It
// calls mark, which may be nil, with MarkOpen and MarkClose. The result is also filled in if the run fails.
func (r *Rig) Run(ctx context.Context, targets []netip.AddrPort, mark func(string)) (Result, error) {
	if len(targets) == 0 {
		return Result{}, errors.New("no target")
	}
	if mark == nil {
		mark = func(string) {}
	}
	r.startClients(targets)
	startedAt := time.Now()
	err := r.wait(ctx, startedAt.Add(r.spec.WarmUp), nil)
	if err == nil {
		r.onEngines(func(_ int, engine *engine) { engine.setMeasuring(true) })
		mark(MarkOpen)
		err = r.wait(ctx, startedAt.Add(r.spec.WarmUp+r.spec.Length), r.allJobsEnded)
	}
	length := time.Since(startedAt) - r.spec.WarmUp
	r.onEngines(func(index int, engine *engine) {
		engine.setMeasuring(false)
		r.clientGroups[index].sending = false
	})
	mark(MarkClose)
	result := r.result(length)
	return result, errors.Join(err, r.failure())
}

// startClients starts the clients. Their first requests are spread over time, so that the clients are not synchronised.
func (r *Rig) startClients(targets []netip.AddrPort) {
	clients, burst := r.spec.Clients, r.spec.Burst
	target := func(index, count int) netip.AddrPort {
		stride := max(1, len(targets)/max(1, count))
		return targets[index*stride%len(targets)]
	}
	r.onEngines(func(index int, engine *engine) {
		group := r.clientGroups[index]
		group.start()
		if r.spec.Rate > 0 {
			group.startArrivals(index, len(r.engines), r.spec.Rate, targets[0])
			return
		}
		for i := index; i < clients; i += len(r.engines) {
			delay := r.spec.workTime() * time.Duration(i) / time.Duration(clients)
			group.add(i, false, target(i, clients), delay)
		}
		for i := index; i < burst; i += len(r.engines) {
			delay := time.Second * time.Duration(i) / time.Duration(burst)
			group.add(clients+i, true, target(i, burst), delay)
		}
		r.scheduleDisturbances(index, engine, group.startedAt)
	})
}

// scheduleDisturbances sets the timers for restarts and silence of one engine's workers.
func (r *Rig) scheduleDisturbances(index int, engine *engine, startedAt time.Duration) {
	spec := &r.spec
	from := startedAt + spec.DisturbancesAt
	firstSilent := len(r.workers) / 3
	silentCount := int(spec.SilentShare*float64(len(r.workers)) + 0.5)
	for i := index; i < len(r.workers); i += len(r.engines) {
		worker := r.workers[i]
		if spec.Restarts > 0 && i%3 == 0 {
			stopAt := from + spec.Restarts*time.Duration(i)/time.Duration(len(r.workers))
			engine.at(stopAt, worker.stop)
			engine.at(stopAt+spec.restartDown, worker.restart)
		}
		if i >= firstSilent && i < firstSilent+silentCount {
			engine.at(from, func() { worker.setSilent(true) })
			engine.at(from+spec.SilentFor, func() { worker.setSilent(false) })
		}
	}
}

// onEngines calls a function on the thread of each engine in turn, and waits for it. For an engine that has ended, it calls
// the function on the caller's goroutine.
func (r *Rig) onEngines(action func(index int, engine *engine)) {
	for i, engine := range r.engines {
		done := make(chan struct{})
		engine.post(func() {
			action(i, engine)
			close(done)
		})
		select {
		case <-done:
		case <-engine.done:
			select {
			case <-done:
			default:
				action(i, engine)
			}
		}
	}
}

const waitPollInterval = 20 * time.Millisecond

// wait returns at a deadline, at the end of the context, when an engine fails, or, in a run of limited jobs, when done
// reports true. done may be nil.
func (r *Rig) wait(ctx context.Context, deadline time.Time, done func() bool) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	poll := time.NewTicker(waitPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case <-poll.C:
			if r.failure() != nil || r.spec.Jobs > 0 && done != nil && done() {
				return nil
			}
		}
	}
}

// allJobsEnded reports whether Spec.Jobs jobs are served or have failed.
func (r *Rig) allJobsEnded() bool {
	ended := 0
	r.onEngines(func(index int, _ *engine) { ended += r.clientGroups[index].completed })
	return ended >= r.spec.Jobs
}

// failure returns the error that ended an engine, if one has.
func (r *Rig) failure() error {
	for _, engine := range r.engines {
		select {
		case <-engine.done:
			if engine.failure != nil {
				return engine.failure
			}
		default:
		}
	}
	return nil
}

// Close stops the engines and closes all sockets. It may be called more than once.
func (r *Rig) Close() {
	if r.closed {
		return
	}
	r.closed = true
	for _, engine := range r.engines {
		engine.stop()
	}
	r.threads.Wait()
	for _, group := range r.clientGroups {
		group.close()
	}
	for _, worker := range r.workers {
		worker.close()
	}
	if r.discovery != nil {
		r.discovery.close()
	}
	for _, engine := range r.engines {
		engine.close()
	}
	r.addresses.Close()
}
