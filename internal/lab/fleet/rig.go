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
	Nodes   int           `json:"nodes"`
	Answers bool          `json:"answers"` // worker nodes answer requests with the result; else by 202 and notes
	Notices bool          `json:"notices"` // they tell of starts
	Work    time.Duration `json:"work"`    // of each job, default 20 ms; below 0: none
	Slots   int           `json:"slots"`   // of a worker node, default 4
	Room    int           `json:"room"`    // jobs that may wait at one, default 256
	Clients int           `json:"clients"` // that each wait for their answer
	Hint    time.Duration `json:"hint"`    // that clients give of the work; 0: none
	Burst   int           `json:"burst"`   // further jobs in the first second, of a client each
	Jobs    int           `json:"jobs"`    // the play is over once so many are served or have failed; 0: once its time is
	Warm    time.Duration `json:"warm"`    // before the window of the measurement
	Length  time.Duration `json:"length"`  // of the window
	Seed    uint64        `json:"seed"`
	Cores   []int         `json:"cores"` // one for each engine; empty: one engine on any

	Restarts    time.Duration `json:"restarts"` // each third worker node restarts in the course of this; 0: none does
	Silent      float64       `json:"silent"`   // a share of them, on consecutive addresses, goes silent
	SilentFor   time.Duration `json:"silent_for"`
	TroublesAt  time.Duration `json:"troubles_at"` // when either begins, from when the clients begin
	restartDown time.Duration // how long a restart takes; default 500 ms
}

// work is how long a job takes.
func (s *Spec) work() time.Duration { return max(0, s.Work) }

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
	set(&s.Room, 256)
	if len(s.Cores) == 0 {
		s.Cores = []int{-1}
	}
	if s.restartDown == 0 {
		s.restartDown = 500 * time.Millisecond
	}
}

// Places are where a rig's parties are.
type Places struct {
	Scheduler string   `json:"scheduler"` // where clients and worker nodes call one; nobody listens there yet
	Discovery string   `json:"discovery"`
	Nodes     []string `json:"nodes"`
}

// Result is what a rig saw.
type Result struct {
	// In the window of the measurement.
	Second           // what clients were answered
	Window   float64 `json:"window_s"`
	P50      float64 `json:"p50_ms"` // of those served
	P90      float64 `json:"p90_ms"`
	P99      float64 `json:"p99_ms"`
	Busiest  float64 `json:"busiest"`      // jobs that the busiest worker node ended, over its even part
	Begun    int     `json:"begun"`        // jobs that worker nodes began
	Done     int     `json:"done"`         // and ended
	CPU      float64 `json:"rig_cpu"`      // cores that the rig's engines used
	CPUMost  float64 `json:"rig_cpu_most"` // part of its core that the busiest engine used
	Late50   float64 `json:"late_p50_ms"`  // of the rig itself
	Late99   float64 `json:"late_p99_ms"`
	LateMost float64 `json:"late_max_ms"`
	// In the whole play.
	All         Second         `json:"all"`
	Seconds     []Second       `json:"seconds"`       // whole ones, from when the clients began
	Why         map[string]int `json:"why,omitempty"` // failures by what they met with
	Asked       int            `json:"asked"`
	Settled     int            `json:"settled"`
	Odd         int            `json:"odd"` // requests that worker nodes could not use
	NotesLost   int            `json:"notes_lost"`
	Descriptors int            `json:"rig_descriptors"` // of the rig, at the end
	Limit       int            `json:"descriptor_limit"`
}

// Bounds of the rig's own lateness and use of its cores. A job's 20 ms are measured to within 5%.
const (
	voidLate50 = 0.5  // ms
	voidLate99 = 2.0  // ms
	voidCPU    = 0.85 // of a core
)

// Void says why the rig may have been what limited the play; empty: it was not.
func (r *Result) Void() string {
	switch {
	case r.CPUMost > voidCPU:
		return fmt.Sprintf("a core of the rig was busy for %.0f%% of the time, %.0f%% is allowed", 100*r.CPUMost, 100*voidCPU)
	case r.Late50 > voidLate50 || r.Late99 > voidLate99:
		return fmt.Sprintf("the rig was late by %.2f ms (median) and %.2f ms (99th percentile), %.1f and %.1f are allowed",
			r.Late50, r.Late99, voidLate50, voidLate99)
	}
	return ""
}

// Rig is a fleet, discovery and clients, dealt out to engines.
type Rig struct {
	spec      Spec
	places    places
	room      room
	host      string // the scheduler's, for notes
	noteLinks int
	engines   []*engine
	crowds    []*crowd
	nodes     []*node
	disco     *discovery
	threads   sync.WaitGroup
	began     time.Time
	notesLost atomic.Int64
	jobs      atomic.Int64 // asked for so far, but for those that were refused
	closed    bool
}

// NewRig brings up worker nodes and discovery.
func NewRig(spec Spec) (*Rig, error) {
	spec.defaults()
	r := &Rig{spec: spec, began: time.Now()}
	var err error
	if spec.Nodes < 1 || spec.Length < 0 || spec.Warm < 0 {
		return nil, fmt.Errorf("%d worker nodes, %v warm and %v long: nothing to play", spec.Nodes, spec.Warm, spec.Length)
	}
	if r.room, err = findRoom(spec.Nodes, spec.Clients+spec.Burst); err != nil {
		return nil, err
	}
	r.noteLinks = r.room.notes
	if r.places, err = findPlaces(); err != nil {
		return nil, err
	}
	r.host = r.places.scheduler().String()
	if err := r.build(); err != nil {
		r.Close()
		return nil, err
	}
	for _, e := range r.engines {
		r.threads.Go(e.run)
	}
	return r, nil
}

func (r *Rig) build() error {
	for _, core := range r.spec.Cores {
		e, err := newEngine(core, r.began)
		if err != nil {
			return err
		}
		r.engines = append(r.engines, e)
		r.crowds = append(r.crowds, newCrowd(r, e))
	}
	for i := range r.spec.Nodes {
		n, err := newNode(r, r.engines[i%len(r.engines)], i)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	var err error
	r.disco, err = newDiscovery(r, r.engines[0], r.places.discovery())
	return err
}

// Places tells where its parties are.
func (r *Rig) Places() Places {
	p := Places{Scheduler: r.host, Discovery: r.places.discovery().String()}
	for i := range r.nodes {
		p.Nodes = append(p.Nodes, r.places.node(i).String())
	}
	return p
}

// another takes another job to ask for, if there is one.
func (r *Rig) another() bool {
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

// Marks of a play, as Play tells them.
const (
	MarkOpen  = "open"  // the window of the measurement
	MarkClose = "close" // and its end
)

// Play has clients ask at the targets, dealt out evenly, until the time is over or all jobs are done. mark is called
// as the window is opened and closed. A rig plays once.
func (r *Rig) Play(ctx context.Context, targets []netip.AddrPort, mark func(string)) (Result, error) {
	if len(targets) == 0 {
		return Result{}, errors.New("no target")
	}
	r.begin(targets)
	if mark == nil {
		mark = func(string) {}
	}
	went := time.Now()
	err := r.sleep(ctx, went.Add(r.spec.Warm), nil)
	if err == nil {
		r.all(func(_ int, e *engine) { e.window(true) })
		mark(MarkOpen)
		err = r.sleep(ctx, went.Add(r.spec.Warm+r.spec.Length), func() bool {
			ended := 0
			r.all(func(i int, _ *engine) { ended += r.crowds[i].ended })
			return ended >= r.spec.Jobs
		})
	}
	length := time.Since(went) - r.spec.Warm
	r.all(func(i int, e *engine) {
		e.window(false)
		r.crowds[i].asking = false
	})
	mark(MarkClose)
	res := r.result(length)
	return res, errors.Join(err, r.fault())
}

// begin has clients ask: those of the crowd come one after another, so that they are not in step.
func (r *Rig) begin(targets []netip.AddrPort) {
	to := func(i, of int) netip.AddrPort { return targets[i*max(1, len(targets)/max(1, of))%len(targets)] }
	r.all(func(at int, e *engine) {
		c := r.crowds[at]
		c.begin()
		for i := at; i < r.spec.Clients; i += len(r.engines) {
			c.add(i, false, to(i, r.spec.Clients), r.spec.work()*time.Duration(i)/time.Duration(r.spec.Clients))
		}
		for i := at; i < r.spec.Burst; i += len(r.engines) {
			c.add(r.spec.Clients+i, true, to(i, r.spec.Burst), time.Second*time.Duration(i)/time.Duration(r.spec.Burst))
		}
		r.troubles(at, e, c.went)
	})
}

// troubles sets what happens to an engine's worker nodes.
func (r *Rig) troubles(at int, e *engine, went time.Duration) {
	s := &r.spec
	from := went + s.TroublesAt
	first := len(r.nodes) / 3
	silent := int(s.Silent*float64(len(r.nodes)) + 0.5)
	for i := at; i < len(r.nodes); i += len(r.engines) {
		n := r.nodes[i]
		if s.Restarts > 0 && i%3 == 0 {
			when := from + s.Restarts*time.Duration(i)/time.Duration(len(r.nodes))
			e.at(when, n.die)
			e.at(when+s.restartDown, n.restart)
		}
		if i >= first && i < first+silent {
			e.at(from, func() { n.hush(true) })
			e.at(from+s.SilentFor, func() { n.hush(false) })
		}
	}
}

// restart brings a worker node's process up anew.
func (n *node) restart() {
	if err := n.up(); err != nil {
		n.e.fail(err)
		return
	}
	if n.silent {
		n.door.hush(true)
	}
	now, d := time.Now(), n.rig.disco
	d.e.post(func() { d.restarted(n.number, now) })
}

// all has something done in each engine in turn, and waits for it. In one that has ended it is done here.
func (r *Rig) all(do func(i int, e *engine)) {
	for i, e := range r.engines {
		done := make(chan struct{})
		e.post(func() {
			do(i, e)
			close(done)
		})
		select {
		case <-done:
		case <-e.ended:
			select {
			case <-done:
			default:
				do(i, e)
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
			if r.fault() != nil || r.spec.Jobs > 0 && done != nil && done() {
				return nil
			}
		}
	}
}

// fault is what ended an engine.
func (r *Rig) fault() error {
	for _, e := range r.engines {
		select {
		case <-e.ended:
			if e.fault != nil {
				return e.fault
			}
		default:
		}
	}
	return nil
}

func (r *Rig) result(length time.Duration) Result {
	res := Result{
		Why: map[string]int{}, NotesLost: int(r.notesLost.Load()), Limit: r.room.limit,
		Descriptors: files("self"), Window: length.Seconds(),
	}
	latency, late := newHistogram(), newHistogram()
	most := 0
	r.all(func(i int, e *engine) {
		c := r.crowds[i]
		res.add(c.window)
		for at, s := range c.seconds {
			if at >= len(res.Seconds) {
				res.Seconds = append(res.Seconds, Second{})
			}
			res.Seconds[at].add(s)
			res.All.add(s)
		}
		latency.Merge(c.answers)
		late.Merge(e.late)
		for why, n := range c.why {
			res.Why[why] += n
		}
		res.Asked += c.jobs
		res.Settled += c.settled
		cpu := e.cpu.Seconds() / length.Seconds()
		res.CPU += cpu
		res.CPUMost = max(res.CPUMost, cpu)
		for k := i; k < len(r.nodes); k += len(r.engines) {
			n := r.nodes[k]
			res.Begun += n.begun
			res.Done += n.done
			res.Odd += n.odd
			most = max(most, n.done)
		}
	})
	if res.Done > 0 {
		res.Busiest = float64(most) * float64(len(r.nodes)) / float64(res.Done)
	}
	if whole := int((length + r.spec.Warm) / time.Second); len(res.Seconds) > whole {
		res.Seconds = res.Seconds[:whole]
	}
	at := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	res.P50, res.P90, res.P99 = at(latency, 50), at(latency, 90), at(latency, 99)
	res.Late50, res.Late99, res.LateMost = at(late, 50), at(late, 99), at(late, 100)
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
	for _, c := range r.crowds {
		c.close()
	}
	for _, n := range r.nodes {
		for k := range n.links {
			k.reset()
		}
		for k := range n.calls.open {
			k.reset()
		}
		if n.door != nil {
			n.door.close()
		}
	}
	if d := r.disco; d != nil && d.door != nil {
		for c := range d.calls {
			c.reset()
		}
		d.door.close()
	}
	for _, e := range r.engines {
		e.close()
	}
	r.places.close()
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
