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

	"valvecove/internal/testbed/platform"
	"valvecove/internal/testbed/scenario"
)

// What is played without a scheduler.
const (
	Proxy   = "proxy"   // the standard library's reverse proxy, with the fewest requests out
	Direct  = "direct"  // clients ask workers, with nothing between
	Ceiling = "ceiling" // as direct, and the jobs take no time: what the rig itself can do
)

// TableRow is what one run is of.
type TableRow struct {
	Subject            string  `json:"subject"` // a scheduler's build by name, or one of the above
	Workers            int     `json:"nodes"`
	StartNotifications bool    `json:"notices"` // of starts; false for what is no scheduler
	Hint               float64 `json:"hint"`    // factor that clients' hints are wrong by; 0: there are none
}

// Options are how rows are played.
type Options struct {
	Rig          []string // the command that is RigProcess
	Proxy        []string // the command that is ProxyProcess
	Binary       string   // the scheduler's program
	Clients      int
	WarmUp       time.Duration
	Length       time.Duration
	Work         time.Duration // default 20 ms
	Jobs         int           // if over 0, so many in all, however long that takes up to Length
	Burst        int           // further jobs in the first second; a scheduler is up once it has the list
	Restart      bool          // a third of the workers restart within RestartsOver
	SilentShare  float64       // a share of them is silent for a third of Length
	Freeze       time.Duration // the scheduler is stopped for so long
	Cores        []int         // the first is the scheduler's or the proxy's, the others are the engines'
	Dir          string        // keeps logs and configurations; empty: none
	Seed         uint64
	ReadyTimeout time.Duration // for a process to be up, default 20 s
}

const (
	disturbancesAfter = 2 * time.Second // of the window
	restartWindow     = 10 * time.Second
)

// Measurement is one run's figures.
type Measurement struct {
	TableRow
	Result
	Rate        float64 `json:"served_per_s"`
	CPU         float64 `json:"cpu_us"` // of the scheduler's or proxy's process, for each request served; 0: none was
	CPUShare    float64 `json:"cpu"`    // of its core that it used in the window
	Memory      float64 `json:"memory_mb"`
	Descriptors int     `json:"descriptors"`
	// Disturbances is when something was done to the fleet or the scheduler, in seconds from when the clients began; empty
	// where nothing was.
	Disturbances []float64 `json:"trouble,omitempty"`
}

// InvalidReason says why the run is no result; empty: it is one. Where the rig is to be what limits it, it always is.
func (p *Measurement) InvalidReason() string {
	if p.Subject == Ceiling {
		return ""
	}
	return p.Result.InvalidReason()
}

// RecoveredAfter is how many seconds after the end of the trouble a whole second was at 95% of what was served before it; below
// 0: none was.
func (p *Measurement) RecoveredAfter() int {
	if len(p.Disturbances) < 2 {
		return -1
	}
	from, to, sum, n := int(p.Disturbances[0]), int(p.Disturbances[1]+0.999), 0, 0
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

// rigSpec is what the rig is to play.
func (o *Options) rigSpec(line TableRow) Spec {
	work := cmp.Or(o.Work, 20*time.Millisecond)
	spec := Spec{
		Nodes: line.Workers, StartNotifications: line.StartNotifications, Clients: o.Clients, Work: work, Jobs: o.Jobs, Burst: o.Burst,
		WarmUp: o.WarmUp, Length: o.Length, Seed: o.Seed, Cores: o.Cores[1:],
		DisturbancesAt: o.WarmUp + disturbancesAfter, SilentShare: o.SilentShare, SilentFor: o.Length / 3,
	}
	spec.Hint = time.Duration(line.Hint * float64(work))
	switch line.Subject {
	case Proxy, Direct:
		spec.Responds = true
	case Ceiling:
		spec.Responds, spec.Work = true, -1
	}
	if o.Restart {
		spec.Restarts = restartWindow
	}
	return spec
}

// disturbances is when it begins and ends.
func (o *Options) disturbances() []float64 {
	from, span := o.WarmUp+disturbancesAfter, time.Duration(0)
	if o.Restart {
		span = restartWindow + 500*time.Millisecond
	}
	if o.SilentShare > 0 {
		span = max(span, o.Length/3)
	}
	if span = max(span, o.Freeze); span == 0 {
		return nil
	}
	return []float64{from.Seconds(), (from + span).Seconds()}
}

func (o *Options) check() error {
	if o.Clients < 1 || o.Length <= 0 || o.WarmUp < 0 || o.Burst < 0 || o.SilentShare < 0 || o.SilentShare >= 1 {
		return errors.New("a play needs a client and a length, and a silent share is below 1")
	}
	if t := o.disturbances(); t != nil && t[1] > (o.WarmUp+o.Length).Seconds() {
		return fmt.Errorf("the trouble ends %.1f s after the clients begin, and the play after %v: play for longer",
			t[1], o.WarmUp+o.Length)
	}
	return nil
}

// Measure plays one row.
func Measure(ctx context.Context, line TableRow, options Options) (Measurement, error) {
	if err := options.check(); err != nil {
		return Measurement{}, err
	}
	if options.ReadyTimeout == 0 {
		options.ReadyTimeout = 20 * time.Second
	}
	if len(options.Cores) == 0 {
		var err error
		if options.Cores, err = FindCores(); err != nil {
			return Measurement{}, err
		}
	}
	type ended struct {
		p   Measurement
		err error
	}
	done := make(chan ended)
	go func() {
		// Processes that are to die with this one die with the thread that they were started from; this one lives as long as
		// they do, and ends with the goroutine.
		runtime.LockOSThread()
		d := &measurement{options: options, tableRow: line}
		p, err := d.run(ctx)
		d.close() // nothing of it is left when it is told
		done <- ended{p, err}
	}()
	e := <-done
	return e.p, e.err
}

// measurement has one row played.
type measurement struct {
	options         Options
	tableRow        TableRow
	directory       string
	removeDirectory bool
	rig             *process
	encoder         *json.Encoder
	decoder         *json.Decoder
	addresses       Addresses
	subject         *process // the scheduler or the proxy; nil: none
}

// process is one that the director started.
type process struct {
	*exec.Cmd
	exited chan struct{}
	stdin  io.WriteCloser // what is said to it; nil: nothing is
	stdout io.ReadCloser  // and what it says
}

// niceness is the nice value of what is measured and of what measures.
const niceness = -10

// start starts a process on cores.
func (d *measurement) start(command *exec.Cmd, cores []int) (*process, error) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
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
	err = command.Start()
	if err := errors.Join(err, unix.SchedSetaffinity(0, &all)); err != nil {
		return nil, err
	}
	p := &process{Cmd: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	return p, nil
}

func (p *process) kill() {
	if p == nil {
		return
	}
	if p.stdin != nil {
		_ = p.stdin.Close()
	}
	_ = p.Process.Kill()
	<-p.exited
	if p.stdout != nil {
		_ = p.stdout.Close()
	}
}

func (d *measurement) close() {
	d.subject.kill()
	d.rig.kill()
	if d.removeDirectory {
		_ = os.RemoveAll(d.directory)
	}
}

func (d *measurement) run(ctx context.Context) (Measurement, error) {
	measurement := Measurement{TableRow: d.tableRow, Disturbances: d.options.disturbances()}
	if d.directory = d.options.Dir; d.directory == "" {
		var err error
		if d.directory, err = os.MkdirTemp("", "fleet-"); err != nil {
			return measurement, err
		}
		d.removeDirectory = true
	}
	if err := d.startRig(ctx); err != nil {
		return measurement, err
	}
	targets := []string{d.addresses.Scheduler}
	switch d.tableRow.Subject {
	case Direct, Ceiling:
		targets = d.addresses.Workers
	default:
		if err := d.awaitReady(ctx); err != nil {
			return measurement, err
		}
	}
	if err := d.encoder.Encode(targets); err != nil {
		return measurement, fmt.Errorf("rig: %w", err)
	}
	return d.collect(ctx, measurement)
}

// startPiped starts a process with pipes both ways.
func (d *measurement) startPiped(command *exec.Cmd, cores []int) (*process, error) {
	file, say, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	receive, outputs, err := os.Pipe()
	if err != nil {
		_ = say.Close()
		return nil, err
	}
	defer func() { _ = outputs.Close() }()
	command.Stdin, command.Stdout = file, outputs
	p, err := d.start(command, cores)
	if err != nil {
		_, _ = say.Close(), receive.Close()
		return nil, err
	}
	p.stdin, p.stdout = say, receive
	return p, nil
}

// startRig starts the rig.
func (d *measurement) startRig(ctx context.Context) error {
	c := exec.CommandContext(ctx, d.options.Rig[0], d.options.Rig[1:]...)
	c.Stderr = os.Stderr
	remainder, err := otherCores(d.options.Cores[0])
	if err != nil {
		return err
	}
	if d.rig, err = d.startPiped(c, remainder); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	d.encoder, d.decoder = json.NewEncoder(d.rig.stdin), json.NewDecoder(d.rig.stdout)
	if err := d.encoder.Encode(d.options.rigSpec(d.tableRow)); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	n, err := d.receive()
	if err != nil {
		return err
	}
	if n.Addresses == nil {
		return errors.New("rig: it says nothing of its places")
	}
	d.addresses = *n.Addresses
	return nil
}

func (d *measurement) receive() (n childMessage, err error) {
	if err = d.decoder.Decode(&n); err == nil && n.Failure != "" {
		err = errors.New(n.Failure)
	}
	if err != nil {
		return n, fmt.Errorf("rig: %w", err)
	}
	return n, nil
}

// otherCores are the cores but one.
func otherCores(but int) ([]int, error) {
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

// awaitReady starts the scheduler or the proxy, and waits until it is up.
func (d *measurement) awaitReady(ctx context.Context) error {
	log, err := os.Create(filepath.Join(d.directory, d.tableRow.Subject+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	if err = d.startSubject(ctx, log); err != nil {
		return fmt.Errorf("%s: %w", d.tableRow.Subject, err)
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(d.options.ReadyTimeout); ; {
		if a, err := client.Get("http://" + d.addresses.Scheduler + "/up"); err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.subject.exited:
			return d.exitError(log.Name())
		case <-time.After(5 * time.Millisecond):
		}
		if time.Now().After(until) {
			return fmt.Errorf("%s is not up after %v", d.tableRow.Subject, d.options.ReadyTimeout)
		}
	}
}

func (d *measurement) exitError(log string) error {
	text, _ := os.ReadFile(log)
	text = bytes.TrimSpace(text)
	return fmt.Errorf("%s ended (%v): %s", d.tableRow.Subject, d.subject.ProcessState, text[max(0, len(text)-1000):])
}

// startSubject starts the scheduler or the proxy.
func (d *measurement) startSubject(ctx context.Context, log *os.File) error {
	if d.tableRow.Subject == Proxy {
		c := exec.CommandContext(ctx, d.options.Proxy[0], d.options.Proxy[1:]...)
		c.Stderr, c.Dir = log, d.directory
		var err error
		if d.subject, err = d.startPiped(c, d.options.Cores[:1]); err != nil {
			return err
		}
		return json.NewEncoder(d.subject.stdin).Encode(ProxyPlan{Listen: d.addresses.Scheduler, Nodes: d.addresses.Workers})
	}
	conf := filepath.Join(d.directory, "config.json")
	if err := os.WriteFile(conf, d.options.configuration(d.tableRow, d.addresses), 0o600); err != nil {
		return err
	}
	// The shell sets the limit on descriptors before the program is there, and is replaced by it.
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	c := exec.CommandContext(ctx, "/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`,
		strconv.Itoa(int(min(l.Max, maxSockets))), d.options.Binary)
	c.Env = []string{
		"PATH=" + os.Getenv("PATH"), "GOMAXPROCS=1", "PROXY_NAME=s1", "PROXY_LISTEN=" + d.addresses.Scheduler,
		"PROXY_DISCOVERY=" + d.addresses.Discovery, "PROXY_CONFIG=" + conf,
	}
	c.Stdout, c.Stderr, c.Dir = log, log, d.directory
	var err error
	d.subject, err = d.start(c, d.options.Cores[:1])
	return err
}

// The tenants' quotas together, in jobs a second, and the memory of a machine.
const (
	quotaPerSecond = 28
	memoryMB       = 2048
)

// configuration is what a scheduler is told: the co-operative's settings, without load reports.
func (o *Options) configuration(line TableRow, addresses Addresses) []byte {
	spec := scenario.Default()
	spec.Name = "fleet"
	spec.Fleet.Workers, spec.Fleet.Zones = line.Workers, []string{zone}
	for i := range spec.Fleet.Kinds {
		k := &spec.Fleet.Kinds[i]
		k.OmitsStartNotifications, k.QueueOrder, k.WarmUpCapacity, k.WarmUp = !line.StartNotifications, "fifo", 0.3, scenario.Duration(8800*time.Millisecond)
	}
	spec.Schedulers.Sockets, spec.Schedulers.MemoryMB = maxSockets, memoryMB
	notified := 0.0
	for i := range spec.Tenants {
		notified += spec.QuotaRate(i)
	}
	spec.Load.Quota *= quotaPerSecond / notified
	return platform.Config(spec, 0, platform.Options{Name: "s1", Listen: addresses.Scheduler, Discovery: addresses.Discovery, Seed: o.Seed})
}

// collect takes the figures as the rig plays.
func (d *measurement) collect(ctx context.Context, p Measurement) (Measurement, error) {
	pid := 0
	var ended chan struct{} // stays nil where nothing can end
	if d.subject != nil {
		pid, ended = d.subject.Process.Pid, d.subject.exited
	}
	var look sync.WaitGroup
	var most atomic.Int64
	stopped := make(chan struct{})
	defer look.Wait()
	defer close(stopped)
	if d.subject != nil {
		look.Go(func() {
			tick := time.NewTicker(100 * time.Millisecond)
			defer tick.Stop()
			for {
				most.Store(max(most.Load(), int64(countFiles(strconv.Itoa(pid)))))
				select {
				case <-stopped:
					return
				case <-tick.C:
				}
			}
		})
		look.Go(func() { d.freeze(stopped) })
	}
	cpu := time.Duration(0)
	type received struct {
		childMessage
		err error
	}
	all := make(chan received)
	look.Go(func() {
		for {
			n, err := d.receive()
			select {
			case all <- received{n, err}:
			case <-stopped:
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
			return p, d.exitError(filepath.Join(d.directory, d.tableRow.Subject+".log"))
		case n := <-all:
			switch {
			case n.err != nil:
				return p, n.err
			case n.Mark == MarkOpen && pid > 0:
				cpu = -processCPU(pid)
			case n.Mark == MarkClose && pid > 0:
				cpu += processCPU(pid)
				p.Memory = float64(peakMemory(pid)) / (1 << 20)
			case n.Result != nil:
				p.Result, p.Descriptors = *n.Result, int(most.Load())
				p.Rate = float64(p.Served) / p.Window
				p.CPUShare = cpu.Seconds() / p.Window
				if p.Served > 0 {
					p.CPU = cpu.Seconds() * 1e6 / float64(p.Served)
				}
				return p, nil
			}
		}
	}
}

// freeze stops the scheduler for a while, if it is to be.
func (d *measurement) freeze(ended chan struct{}) {
	if d.options.Freeze <= 0 {
		return
	}
	wait := func(span time.Duration) bool {
		select {
		case <-ended:
			return false
		case <-time.After(span):
			return true
		}
	}
	if wait(d.options.WarmUp + disturbancesAfter) {
		_ = d.subject.Process.Signal(syscall.SIGSTOP)
		wait(d.options.Freeze)
		_ = d.subject.Process.Signal(syscall.SIGCONT)
	}
}
