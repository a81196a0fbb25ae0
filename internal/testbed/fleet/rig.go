package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"
)

// zone, kinds and tenants are the co-operative's.
const zone = "a"

var (
	kinds   = []string{"std-4c", "slow-4c"}
	tenants = []string{"khyber-society", "mardan-society", "swat-society"}
)

// Spec is what a rig is to play.
type Spec struct {
	Nodes              int           `json:"nodes"`
	Responds           bool          `json:"answers"` // workers answer requests with the result; else by 202 and notes
	StartNotifications bool          `json:"notices"` // they tell of starts
	Work               time.Duration `json:"work"`    // of each job, default 20 ms; below 0: none
	Slots              int           `json:"slots"`   // of a worker, default 4
	QueueLimit         int           `json:"room"`    // jobs that may wait at one, default 256
	Clients            int           `json:"clients"` // that each wait for their answer
	Hint               time.Duration `json:"hint"`    // that clients give of the work; 0: none
	Burst              int           `json:"burst"`   // further jobs in the first second, of a client each
	Jobs               int           `json:"jobs"`    // the run is over once so many are served or have failed; 0: once its time is
	WarmUp             time.Duration `json:"warm"`    // before the window of the measurement
	Length             time.Duration `json:"length"`  // of the window
	Seed               uint64        `json:"seed"`
	Cores              []int         `json:"cores"` // one for each engine; empty: one engine on any

	Restarts       time.Duration `json:"restarts"` // each third worker restarts in the course of this; 0: none does
	SilentShare    float64       `json:"silent"`   // a share of them, on consecutive addresses, goes silent
	SilentFor      time.Duration `json:"silent_for"`
	DisturbancesAt time.Duration `json:"troubles_at"` // when either begins, from when the clients begin
	restartDown    time.Duration // how long a restart takes; default 500 ms
}

// drawWork is how long a job takes.
func (s *Spec) drawWork() time.Duration { return max(0, s.Work) }

func (s *Spec) defaults() {
	set := func(x *int, to int) {
		if *x == 0 {
			*x = to
		}
	}
	if s.Work == 0 {
		s.Work = 20 * time.Millisecond
	}
	set(&s.Slots, 4)
	set(&s.QueueLimit, 256)
	if len(s.Cores) == 0 {
		s.Cores = []int{-1}
	}
	if s.restartDown == 0 {
		s.restartDown = 500 * time.Millisecond
	}
}

// Addresses are where a rig's parties are.
type Addresses struct {
	Scheduler string   `json:"scheduler"` // where clients and workers call one; nobody listens there yet
	Discovery string   `json:"discovery"`
	Workers   []string `json:"nodes"`
}

// Result is what a rig saw.
type Result struct {
	// In the window of the measurement.
	Second              // what clients were answered
	Window      float64 `json:"window_s"`
	P50         float64 `json:"p50_ms"` // of those served
	P90         float64 `json:"p90_ms"`
	P99         float64 `json:"p99_ms"`
	Busiest     float64 `json:"busiest"`      // jobs that the busiest worker ended, over its even part
	Started     int     `json:"begun"`        // jobs that workers began
	Finished    int     `json:"done"`         // and ended
	CPU         float64 `json:"rig_cpu"`      // cores that the rig's engines used
	MaxCPU      float64 `json:"rig_cpu_most"` // part of its core that the busiest engine used
	Lateness50  float64 `json:"late_p50_ms"`  // of the rig itself
	Lateness99  float64 `json:"late_p99_ms"`
	MaxLateness float64 `json:"late_max_ms"`
	// In the whole run.
	All            Second         `json:"all"`
	Seconds        []Second       `json:"seconds"`       // whole ones, from when the clients began
	FailureReasons map[string]int `json:"why,omitempty"` // failures by what they met with
	Requested      int            `json:"asked"`
	Settled        int            `json:"settled"`
	Unexpected     int            `json:"odd"` // requests that workers could not use
	CallbacksLost  int            `json:"notes_lost"`
	Descriptors    int            `json:"rig_descriptors"` // of the rig, at the end
	Limit          int            `json:"descriptor_limit"`
}

// Bounds of the rig's own lateness and use of its cores. A job's 20 ms are measured to within 5%.
const (
	maxLateness50 = 0.5  // ms
	maxLateness99 = 2.0  // ms
	maxCPU        = 0.85 // of a core
)

// InvalidReason says why the rig may have been what limited the run; empty: it was not.
func (r *Result) InvalidReason() string {
	switch {
	case r.MaxCPU > maxCPU:
		return fmt.Sprintf("a core of the rig was busy for %.0f%% of the time, %.0f%% is allowed", 100*r.MaxCPU, 100*maxCPU)
	case r.Lateness50 > maxLateness50 || r.Lateness99 > maxLateness99:
		return fmt.Sprintf("the rig was late by %.2f ms (median) and %.2f ms (99th percentile), %.1f and %.1f are allowed",
			r.Lateness50, r.Lateness99, maxLateness50, maxLateness99)
	}
	return ""
}

// Rig is a fleet, discovery and clients, dealt out to engines.
type Rig struct {
	spec             Spec
	addresses        addressPlan
	descriptors      descriptorPlan
	schedulerAddress string // the scheduler's, for notes
	callbackConns    int
	engines          []*engine
	clientGroups     []*clientGroup
	workers          []*worker
	discovery        *discovery
	threads          sync.WaitGroup
	startedAt        time.Time
	callbacksLost    atomic.Int64
	jobs             atomic.Int64 // asked for so far, but for those that were refused
	closed           bool
}

// NewRig brings up workers and discovery.
func NewRig(spec Spec) (*Rig, error) {
	spec.defaults()
	rig := &Rig{spec: spec, startedAt: time.Now()}
	var err error
	if spec.Nodes < 1 || spec.Length < 0 || spec.WarmUp < 0 {
		return nil, fmt.Errorf("%d worker nodes, %v warm and %v long: nothing to play", spec.Nodes, spec.WarmUp, spec.Length)
	}
	if rig.descriptors, err = planDescriptors(spec.Nodes, spec.Clients+spec.Burst); err != nil {
		return nil, err
	}
	rig.callbackConns = rig.descriptors.callbackConns
	if rig.addresses, err = findAddresses(); err != nil {
		return nil, err
	}
	rig.schedulerAddress = rig.addresses.scheduler().String()
	if err := rig.build(); err != nil {
		rig.Close()
		return nil, err
	}
	for _, e := range rig.engines {
		rig.threads.Go(e.run)
	}
	return rig, nil
}

func (r *Rig) build() error {
	for _, core := range r.spec.Cores {
		e, err := newEngine(core, r.startedAt)
		if err != nil {
			return err
		}
		r.engines = append(r.engines, e)
		r.clientGroups = append(r.clientGroups, newClientGroup(r, e))
	}
	for i := range r.spec.Nodes {
		n, err := newWorker(r, r.engines[i%len(r.engines)], i)
		if err != nil {
			return err
		}
		r.workers = append(r.workers, n)
	}
	var err error
	r.discovery, err = newDiscovery(r, r.engines[0], r.addresses.discovery())
	return err
}

// Addresses tells where its parties are.
func (r *Rig) Addresses() Addresses {
	p := Addresses{Scheduler: r.schedulerAddress, Discovery: r.addresses.discovery().String()}
	for i := range r.workers {
		p.Workers = append(p.Workers, r.addresses.worker(i).String())
	}
	return p
}

// nextJob takes another job to ask for, if there is one.
func (r *Rig) nextJob() bool {
	for r.spec.Jobs > 0 {
		n := r.jobs.Load()
		if n >= int64(r.spec.Jobs) {
			return false
		}
		if r.jobs.CompareAndSwap(n, n+1) {
			break
		}
	}
	return true
}

// Marks of a run, as Play tells them.
const (
	MarkOpen  = "open"  // the window of the measurement
	MarkClose = "close" // and its end
)

// Run has clients ask at the targets, dealt out evenly, until the time is over or all jobs are done. mark is called
// as the window is opened and closed. A rig plays once.
func (r *Rig) Run(ctx context.Context, targets []netip.AddrPort, mark func(string)) (Result, error) {
	if len(targets) == 0 {
		return Result{}, errors.New("no target")
	}
	r.begin(targets)
	if mark == nil {
		mark = func(string) {}
	}
	went := time.Now()
	err := r.sleep(ctx, went.Add(r.spec.WarmUp), nil)
	if err == nil {
		r.onEngines(func(_ int, e *engine) { e.setMeasuring(true) })
		mark(MarkOpen)
		err = r.sleep(ctx, went.Add(r.spec.WarmUp+r.spec.Length), func() bool {
			ended := 0
			r.onEngines(func(i int, _ *engine) { ended += r.clientGroups[i].endedClients })
			return ended >= r.spec.Jobs
		})
	}
	length := time.Since(went) - r.spec.WarmUp
	r.onEngines(func(i int, e *engine) {
		e.setMeasuring(false)
		r.clientGroups[i].sending = false
	})
	mark(MarkClose)
	res := r.result(length)
	return res, errors.Join(err, r.failure())
}

// begin has clients ask: those of the crowd come one after another, so that they are not in step.
func (r *Rig) begin(targets []netip.AddrPort) {
	to := func(i, of int) netip.AddrPort { return targets[i*max(1, len(targets)/max(1, of))%len(targets)] }
	r.onEngines(func(at int, e *engine) {
		c := r.clientGroups[at]
		c.begin()
		for i := at; i < r.spec.Clients; i += len(r.engines) {
			c.add(i, false, to(i, r.spec.Clients), r.spec.drawWork()*time.Duration(i)/time.Duration(r.spec.Clients))
		}
		for i := at; i < r.spec.Burst; i += len(r.engines) {
			c.add(r.spec.Clients+i, true, to(i, r.spec.Burst), time.Second*time.Duration(i)/time.Duration(r.spec.Burst))
		}
		r.startDisturbances(at, e, c.startedAt)
	})
}

// startDisturbances sets what happens to an engine's workers.
func (r *Rig) startDisturbances(at int, engine *engine, went time.Duration) {
	spec := &r.spec
	from := went + spec.DisturbancesAt
	first := len(r.workers) / 3
	silent := int(spec.SilentShare*float64(len(r.workers)) + 0.5)
	for i := at; i < len(r.workers); i += len(r.engines) {
		n := r.workers[i]
		if spec.Restarts > 0 && i%3 == 0 {
			when := from + spec.Restarts*time.Duration(i)/time.Duration(len(r.workers))
			engine.at(when, n.stop)
			engine.at(when+spec.restartDown, n.restart)
		}
		if i >= first && i < first+silent {
			engine.at(from, func() { n.setSilent(true) })
			engine.at(from+spec.SilentFor, func() { n.setSilent(false) })
		}
	}
}

// restart brings a worker's process up anew.
func (n *worker) restart() {
	if err := n.open(); err != nil {
		n.engine.fail(err)
		return
	}
	if n.silent {
		n.listener.setPaused(true)
	}
	now, d := time.Now(), n.rig.discovery
	d.engine.post(func() { d.restarted(n.number, now) })
}

// onEngines has something done in each engine in turn, and waits for it. In one that has ended it is done here.
func (r *Rig) onEngines(action func(i int, e *engine)) {
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

// sleep waits until a time, the end of the context, a fault, or until done, which is asked now and then.
func (r *Rig) sleep(ctx context.Context, until time.Time, done func() bool) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	look := time.NewTicker(20 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case <-look.C:
			if r.failure() != nil || r.spec.Jobs > 0 && done != nil && done() {
				return nil
			}
		}
	}
}

// failure is what ended an engine.
func (r *Rig) failure() error {
	for _, e := range r.engines {
		select {
		case <-e.done:
			if e.failure != nil {
				return e.failure
			}
		default:
		}
	}
	return nil
}

func (r *Rig) result(length time.Duration) Result {
	res := Result{
		FailureReasons: map[string]int{}, CallbacksLost: int(r.callbacksLost.Load()), Limit: r.descriptors.limit,
		Descriptors: countFiles("self"), Window: length.Seconds(),
	}
	latency, late := newHistogram(), newHistogram()
	most := 0
	r.onEngines(func(i int, engine *engine) {
		clientGroup := r.clientGroups[i]
		res.add(clientGroup.window)
		for at, s := range clientGroup.seconds {
			if at >= len(res.Seconds) {
				res.Seconds = append(res.Seconds, Second{})
			}
			res.Seconds[at].add(s)
			res.All.add(s)
		}
		latency.Merge(clientGroup.answers)
		late.Merge(engine.lateness)
		for why, n := range clientGroup.failureReasons {
			res.FailureReasons[why] += n
		}
		res.Requested += clientGroup.jobs
		res.Settled += clientGroup.settled
		cpu := engine.cpu.Seconds() / length.Seconds()
		res.CPU += cpu
		res.MaxCPU = max(res.MaxCPU, cpu)
		for k := i; k < len(r.workers); k += len(r.engines) {
			n := r.workers[k]
			res.Started += n.started
			res.Finished += n.finished
			res.Unexpected += n.unexpected
			most = max(most, n.finished)
		}
	})
	if res.Finished > 0 {
		res.Busiest = float64(most) * float64(len(r.workers)) / float64(res.Finished)
	}
	if whole := int((length + r.spec.WarmUp) / time.Second); len(res.Seconds) > whole {
		res.Seconds = res.Seconds[:whole]
	}
	at := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	res.P50, res.P90, res.P99 = at(latency, 50), at(latency, 90), at(latency, 99)
	res.Lateness50, res.Lateness99, res.MaxLateness = at(late, 50), at(late, 99), at(late, 100)
	return res
}

// Close ends the rig.
func (r *Rig) Close() {
	if r.closed {
		return
	}
	r.closed = true
	for _, e := range r.engines {
		e.stop()
	}
	r.threads.Wait()
	for _, c := range r.clientGroups {
		c.close()
	}
	for _, n := range r.workers {
		for k := range n.links {
			k.reset()
		}
		for k := range n.callbacks.open {
			k.reset()
		}
		if n.listener != nil {
			n.listener.close()
		}
	}
	if d := r.discovery; d != nil && d.listener != nil {
		for c := range d.calls {
			c.reset()
		}
		d.listener.close()
	}
	for _, e := range r.engines {
		e.close()
	}
	r.addresses.close()
}

// pin has the calling thread, and what it starts, run on these cores.
func pin(cores ...int) error {
	var set unix.CPUSet
	for _, c := range cores {
		set.Set(c)
	}
	if err := unix.SchedSetaffinity(0, &set); err != nil {
		return fmt.Errorf("cores %v: %w", cores, err)
	}
	return nil
}
