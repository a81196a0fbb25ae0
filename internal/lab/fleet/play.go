package fleet

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/lab/platform"
	"valvecove/internal/lab/scenario"
)

// What is played without a scheduler.
const (
	Proxy   = "proxy"   // the standard library's reverse proxy, with the fewest requests out
	Direct  = "direct"  // clients ask worker nodes, with nothing between
	Ceiling = "ceiling" // as direct, and the jobs take no time: what the rig itself can do
)

// Row is what one play is of.
type Row struct {
	Subject string  `json:"subject"` // a scheduler's build by name, or one of the above
	Nodes   int     `json:"nodes"`
	Notices bool    `json:"notices"` // of starts; false for what is no scheduler
	Hint    float64 `json:"hint"`    // factor that clients' hints are wrong by; 0: there are none
}

// Options are how rows are played.
type Options struct {
	Rig      []string // the command that is RigProcess
	Proxy    []string // the command that is ProxyProcess
	Binary   string   // the scheduler's program
	Clients  int
	Warm     time.Duration
	Length   time.Duration
	Work     time.Duration // default 20 ms
	Jobs     int           // if over 0, so many in all, however long that takes up to Length
	Burst    int           // further jobs in the first second; a scheduler is up once it has the list
	Restart  bool          // a third of the worker nodes restart within RestartsOver
	Silent   float64       // a share of them is silent for a third of Length
	Freeze   time.Duration // the scheduler is stopped for so long
	Cores    []int         // the first is the scheduler's or the proxy's, the others are the engines'
	Dir      string        // keeps logs and configurations; empty: none
	Seed     uint64
	Patience time.Duration // for a process to be up, default 20 s
}

const (
	troublesAfter = 2 * time.Second // of the window
	restartsOver  = 10 * time.Second
)

// Played is one play's figures.
type Played struct {
	Row
	Result
	Rate   float64 `json:"served_per_s"`
	CPU    float64 `json:"cpu_us"` // of the scheduler's or proxy's process, for each request served; 0: none was
	Share  float64 `json:"cpu"`    // of its core that it used in the window
	Memory float64 `json:"memory_mb"`
	Files  int     `json:"descriptors"`
	// Trouble is when something was done to the fleet or the scheduler, in seconds from when the clients began; empty
	// where nothing was.
	Trouble []float64 `json:"trouble,omitempty"`
}

// Void says why the play is no result; empty: it is one. Where the rig is to be what limits it, it always is.
func (p *Played) Void() string {
	if p.Subject == Ceiling {
		return ""
	}
	return p.Result.Void()
}

// Back is how many seconds after the end of the trouble a whole second was at 95% of what was served before it; below
// 0: none was.
func (p *Played) Back() int {
	if len(p.Trouble) < 2 {
		return -1
	}
	from, to, sum, n := int(p.Trouble[0]), int(p.Trouble[1]+0.999), 0, 0
	for at := max(0, from-2); at < from && at < len(p.Seconds); at++ {
		sum += p.Seconds[at].Served
		n++
	}
	for at := to; at < len(p.Seconds); at++ {
		if float64(p.Seconds[at].Served)*float64(n) >= 0.95*float64(sum) {
			return at - to
		}
	}
	return -1
}

// FindCores deals out the cores that there are: the last is the scheduler's, and up to four others are the engines'. One
// is left to everything else where there are enough.
func FindCores() ([]int, error) {
	var set unix.CPUSet
	if err := unix.SchedGetaffinity(0, &set); err != nil {
		return nil, fmt.Errorf("cores: %w", err)
	}
	var all []int
	for c := range 1024 {
		if set.IsSet(c) {
			all = append(all, c)
		}
	}
	if len(all) < 2 {
		return nil, errors.New("a scheduler with a core to itself needs two cores here")
	}
	last := len(all) - 1
	return append(all[last:], all[max(0, min(1, last-1)):min(last, 5)]...), nil
}

// spec is what the rig is to play.
func (o *Options) spec(row Row) Spec {
	work := cmp.Or(o.Work, 20*time.Millisecond)
	s := Spec{
		Nodes: row.Nodes, Notices: row.Notices, Clients: o.Clients, Work: work, Jobs: o.Jobs, Burst: o.Burst,
		Warm: o.Warm, Length: o.Length, Seed: o.Seed, Cores: o.Cores[1:],
		TroublesAt: o.Warm + troublesAfter, Silent: o.Silent, SilentFor: o.Length / 3,
	}
	s.Hint = time.Duration(row.Hint * float64(work))
	switch row.Subject {
	case Proxy, Direct:
		s.Answers = true
	case Ceiling:
		s.Answers, s.Work = true, -1
	}
	if o.Restart {
		s.Restarts = restartsOver
	}
	return s
}

// trouble is when it begins and ends.
func (o *Options) trouble() []float64 {
	from, span := o.Warm+troublesAfter, time.Duration(0)
	if o.Restart {
		span = restartsOver + 500*time.Millisecond
	}
	if o.Silent > 0 {
		span = max(span, o.Length/3)
	}
	if span = max(span, o.Freeze); span == 0 {
		return nil
	}
	return []float64{from.Seconds(), (from + span).Seconds()}
}

func (o *Options) check() error {
	if o.Clients < 1 || o.Length <= 0 || o.Warm < 0 || o.Burst < 0 || o.Silent < 0 || o.Silent >= 1 {
		return errors.New("a play needs a client and a length, and a silent share is below 1")
	}
	if t := o.trouble(); t != nil && t[1] > (o.Warm+o.Length).Seconds() {
		return fmt.Errorf("the trouble ends %.1f s after the clients begin, and the play after %v: play for longer",
			t[1], o.Warm+o.Length)
	}
	return nil
}

// Play plays one row.
func Play(ctx context.Context, row Row, o Options) (Played, error) {
	if err := o.check(); err != nil {
		return Played{}, err
	}
	if o.Patience == 0 {
		o.Patience = 20 * time.Second
	}
	if len(o.Cores) == 0 {
		var err error
		if o.Cores, err = FindCores(); err != nil {
			return Played{}, err
		}
	}
	type ended struct {
		p   Played
		err error
	}
	done := make(chan ended)
	go func() {
		// Processes that are to die with this one die with the thread that they were started from; this one lives as long as
		// they do, and ends with the goroutine.
		runtime.LockOSThread()
		d := &director{o: o, row: row}
		p, err := d.play(ctx)
		d.close() // nothing of it is left when it is told
		done <- ended{p, err}
	}()
	e := <-done
	return e.p, e.err
}

// director has one row played.
type director struct {
	o       Options
	row     Row
	dir     string
	remove  bool
	rig     *process
	say     *json.Encoder
	hear    *json.Decoder
	places  Places
	subject *process // the scheduler or the proxy; nil: none
}

// process is one that the director started.
type process struct {
	*exec.Cmd
	ended chan struct{}
	in    io.WriteCloser // what is said to it; nil: nothing is
	says  io.ReadCloser  // and what it says
}

// niceness is the nice value of what is measured and of what measures.
const niceness = -10

// start starts a process on cores.
func (d *director) start(c *exec.Cmd, cores []int) (*process, error) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	var all unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return nil, fmt.Errorf("cores: %w", err)
	}
	// Set for this thread it is inherited; set for the process once that runs, some of its threads would miss it.
	if err := pin(cores...); err != nil {
		return nil, err
	}
	// So is a priority before whatever else runs here, where this may be had.
	was, err := unix.Getpriority(unix.PRIO_PROCESS, 0)
	if err == nil && unix.Setpriority(unix.PRIO_PROCESS, 0, niceness) == nil {
		defer func() { _ = unix.Setpriority(unix.PRIO_PROCESS, 0, 20-was) }() // the call gives it as 20 less it
	}
	err = c.Start()
	if err := errors.Join(err, unix.SchedSetaffinity(0, &all)); err != nil {
		return nil, err
	}
	p := &process{Cmd: c, ended: make(chan struct{})}
	go func() {
		_ = c.Wait()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) kill() {
	if p == nil {
		return
	}
	if p.in != nil {
		_ = p.in.Close()
	}
	_ = p.Process.Kill()
	<-p.ended
	if p.says != nil {
		_ = p.says.Close()
	}
}

func (d *director) close() {
	d.subject.kill()
	d.rig.kill()
	if d.remove {
		_ = os.RemoveAll(d.dir)
	}
}

func (d *director) play(ctx context.Context) (Played, error) {
	p := Played{Row: d.row, Trouble: d.o.trouble()}
	if d.dir = d.o.Dir; d.dir == "" {
		var err error
		if d.dir, err = os.MkdirTemp("", "fleet-"); err != nil {
			return p, err
		}
		d.remove = true
	}
	if err := d.raise(ctx); err != nil {
		return p, err
	}
	targets := []string{d.places.Scheduler}
	switch d.row.Subject {
	case Direct, Ceiling:
		targets = d.places.Nodes
	default:
		if err := d.up(ctx); err != nil {
			return p, err
		}
	}
	if err := d.say.Encode(targets); err != nil {
		return p, fmt.Errorf("rig: %w", err)
	}
	return d.follow(ctx, p)
}

// piped starts a process with pipes both ways.
func (d *director) piped(c *exec.Cmd, cores []int) (*process, error) {
	in, say, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer func() { _ = in.Close() }()
	hear, out, err := os.Pipe()
	if err != nil {
		_ = say.Close()
		return nil, err
	}
	defer func() { _ = out.Close() }()
	c.Stdin, c.Stdout = in, out
	p, err := d.start(c, cores)
	if err != nil {
		_, _ = say.Close(), hear.Close()
		return nil, err
	}
	p.in, p.says = say, hear
	return p, nil
}

// raise starts the rig.
func (d *director) raise(ctx context.Context) error {
	c := exec.CommandContext(ctx, d.o.Rig[0], d.o.Rig[1:]...)
	c.Stderr = os.Stderr
	rest, err := others(d.o.Cores[0])
	if err != nil {
		return err
	}
	if d.rig, err = d.piped(c, rest); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	d.say, d.hear = json.NewEncoder(d.rig.in), json.NewDecoder(d.rig.says)
	if err := d.say.Encode(d.o.spec(d.row)); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	n, err := d.news()
	if err != nil {
		return err
	}
	if n.Places == nil {
		return errors.New("rig: it says nothing of its places")
	}
	d.places = *n.Places
	return nil
}

func (d *director) news() (n news, err error) {
	if err = d.hear.Decode(&n); err == nil && n.Fault != "" {
		err = errors.New(n.Fault)
	}
	if err != nil {
		return n, fmt.Errorf("rig: %w", err)
	}
	return n, nil
}

// others are the cores but one.
func others(but int) ([]int, error) {
	var set unix.CPUSet
	if err := unix.SchedGetaffinity(0, &set); err != nil {
		return nil, fmt.Errorf("cores: %w", err)
	}
	var all []int
	for c := range 1024 {
		if set.IsSet(c) && c != but {
			all = append(all, c)
		}
	}
	return all, nil
}

// up starts the scheduler or the proxy, and waits until it is up.
func (d *director) up(ctx context.Context) error {
	log, err := os.Create(filepath.Join(d.dir, d.row.Subject+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	if err = d.serve(ctx, log); err != nil {
		return fmt.Errorf("%s: %w", d.row.Subject, err)
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(d.o.Patience); ; {
		if a, err := client.Get("http://" + d.places.Scheduler + "/up"); err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.subject.ended:
			return d.died(log.Name())
		case <-time.After(5 * time.Millisecond):
		}
		if time.Now().After(until) {
			return fmt.Errorf("%s is not up after %v", d.row.Subject, d.o.Patience)
		}
	}
}

func (d *director) died(log string) error {
	text, _ := os.ReadFile(log)
	text = bytes.TrimSpace(text)
	return fmt.Errorf("%s ended (%v): %s", d.row.Subject, d.subject.ProcessState, text[max(0, len(text)-1000):])
}

// serve starts the scheduler or the proxy.
func (d *director) serve(ctx context.Context, log *os.File) error {
	if d.row.Subject == Proxy {
		c := exec.CommandContext(ctx, d.o.Proxy[0], d.o.Proxy[1:]...)
		c.Stderr, c.Dir = log, d.dir
		var err error
		if d.subject, err = d.piped(c, d.o.Cores[:1]); err != nil {
			return err
		}
		return json.NewEncoder(d.subject.in).Encode(ProxyPlan{Listen: d.places.Scheduler, Nodes: d.places.Nodes})
	}
	conf := filepath.Join(d.dir, "config.json")
	if err := os.WriteFile(conf, d.o.configuration(d.row, d.places), 0o600); err != nil {
		return err
	}
	// The shell sets the limit on descriptors before the program is there, and is replaced by it.
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	c := exec.CommandContext(ctx, "/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`,
		strconv.Itoa(int(min(l.Max, sockets))), d.o.Binary)
	c.Env = []string{
		"PATH=" + os.Getenv("PATH"), "GOMAXPROCS=1", "PROXY_NAME=s1", "PROXY_LISTEN=" + d.places.Scheduler,
		"PROXY_DISCOVERY=" + d.places.Discovery, "PROXY_CONFIG=" + conf,
	}
	c.Stdout, c.Stderr, c.Dir = log, log, d.dir
	var err error
	d.subject, err = d.start(c, d.o.Cores[:1])
	return err
}

// The tenants' quotas together, in jobs a second, and the memory of a machine.
const (
	quotas   = 28
	memoryMB = 2048
)

// configuration is what a scheduler is told: the co-operative's settings, without load reports.
func (o *Options) configuration(row Row, at Places) []byte {
	s := scenario.Default()
	s.Name = "fleet"
	s.Fleet.Nodes, s.Fleet.Zones = row.Nodes, []string{zone}
	for i := range s.Fleet.Kinds {
		k := &s.Fleet.Kinds[i]
		k.StartMute, k.Order, k.ColdFrom, k.Cold = !row.Notices, "fifo", 0.3, scenario.Span(8800*time.Millisecond)
	}
	s.Schedulers.Sockets, s.Schedulers.MemoryMB = sockets, memoryMB
	told := 0.0
	for i := range s.Tenants {
		told += s.QuotaRate(i)
	}
	s.Load.Quota *= quotas / told
	return platform.Config(s, 0, platform.Options{Name: "s1", Listen: at.Scheduler, Discovery: at.Discovery, Seed: o.Seed})
}

// follow takes the figures as the rig plays.
func (d *director) follow(ctx context.Context, p Played) (Played, error) {
	pid := 0
	var ended chan struct{} // stays nil where nothing can end
	if d.subject != nil {
		pid, ended = d.subject.Process.Pid, d.subject.ended
	}
	var look sync.WaitGroup
	var most atomic.Int64
	over := make(chan struct{})
	defer look.Wait()
	defer close(over)
	if d.subject != nil {
		look.Go(func() {
			tick := time.NewTicker(100 * time.Millisecond)
			defer tick.Stop()
			for {
				most.Store(max(most.Load(), int64(files(strconv.Itoa(pid)))))
				select {
				case <-over:
					return
				case <-tick.C:
				}
			}
		})
		look.Go(func() { d.freeze(over) })
	}
	cpu := time.Duration(0)
	type heard struct {
		news
		err error
	}
	all := make(chan heard)
	look.Go(func() {
		for {
			n, err := d.news()
			select {
			case all <- heard{n, err}:
			case <-over:
				return
			}
			if err != nil || n.Result != nil {
				return
			}
		}
	})
	for {
		select {
		case <-ctx.Done():
			d.rig.kill()
			return p, ctx.Err()
		case <-ended:
			d.rig.kill()
			return p, d.died(filepath.Join(d.dir, d.row.Subject+".log"))
		case n := <-all:
			switch {
			case n.err != nil:
				return p, n.err
			case n.Mark == MarkOpen && pid > 0:
				cpu = -cpuOf(pid)
			case n.Mark == MarkClose && pid > 0:
				cpu += cpuOf(pid)
				p.Memory = float64(peakOf(pid)) / (1 << 20)
			case n.Result != nil:
				p.Result, p.Files = *n.Result, int(most.Load())
				p.Rate = float64(p.Served) / p.Window
				p.Share = cpu.Seconds() / p.Window
				if p.Served > 0 {
					p.CPU = cpu.Seconds() * 1e6 / float64(p.Served)
				}
				return p, nil
			}
		}
	}
}

// freeze stops the scheduler for a while, if it is to be.
func (d *director) freeze(over chan struct{}) {
	if d.o.Freeze <= 0 {
		return
	}
	wait := func(span time.Duration) bool {
		select {
		case <-over:
			return false
		case <-time.After(span):
			return true
		}
	}
	if wait(d.o.Warm + troublesAfter) {
		_ = d.subject.Process.Signal(syscall.SIGSTOP)
		wait(d.o.Freeze)
		_ = d.subject.Process.Signal(syscall.SIGCONT)
	}
}
