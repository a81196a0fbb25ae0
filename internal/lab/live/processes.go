package live

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/http1"
	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/platform"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/requests"
)

const (
	mostLog    = 8 << 20 // bytes of a scheduler's log that are kept
	mostOrders = 64
	upSoon     = 10 * time.Millisecond // between looks at /up until it answers
	upEvery    = 100 * time.Millisecond
	upWithin   = time.Second
)

// starter starts processes, all from one thread that lives as long as the play: a process that is to die with its
// parent dies with the thread that it was started from.
type starter struct {
	orders chan func()
	done   sync.WaitGroup
}

func (s *starter) run() {
	s.done.Go(func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for do := range s.orders {
			do()
		}
	})
}

func (s *starter) close() {
	close(s.orders)
	s.done.Wait()
}

// start starts a command on a core (below 0: any).
func (s *starter) start(c *exec.Cmd, core int) error {
	done := make(chan error)
	s.orders <- func() {
		if core < 0 {
			done <- c.Start()
			return
		}
		// Set for this thread it is inherited; set for the process once that runs, some of its threads would miss it.
		var all, one unix.CPUSet
		if err := unix.SchedGetaffinity(0, &all); err != nil {
			done <- fmt.Errorf("cores: %w", err)
			return
		}
		one.Set(core)
		if err := unix.SchedSetaffinity(0, &one); err != nil {
			done <- fmt.Errorf("core %d: %w", core, err)
			return
		}
		err := c.Start()
		done <- errors.Join(err, unix.SchedSetaffinity(0, &all))
	}
	return <-done
}

// scheduler is one of the schedulers: its process, if it has one, and what the driver keeps with it. Orders are
// carried out by a goroutine of its own, in order; all else belongs to the loop.
type scheduler struct {
	d       *driver
	n       int
	name    string
	listen  netip.AddrPort
	conf    string // its configuration file
	boot    *edge.Boot
	orders  chan func()
	idle    sync.WaitGroup
	life    int  // counts processes
	alive   bool // a process is wanted, and none has ended by itself
	ready   bool
	met     bool // one has been ready
	up      *upLook
	calls   map[int]*callPool // of notes, by worker node
	links   uint64            // opened to worker nodes so far
	log     *logFile
	started int
	exits   []int // of the processes that ended by themselves
	closed  bool
	process *exec.Cmd // for orders only
	reaped  chan struct{}
	manage  netip.AddrPort // of the newest process, if it has one
	pid     atomic.Int32   // of the process that there is; 0: none
}

func newScheduler(d *driver, n int) *scheduler {
	s := &scheduler{
		d: d, n: n, name: "s" + strconv.Itoa(n+1), listen: d.places.sched(n),
		orders: make(chan func(), mostOrders), calls: map[int]*callPool{},
	}
	s.conf = filepath.Join(d.opt.Dir, s.name+".json")
	s.log = &logFile{path: filepath.Join(d.opt.Dir, s.name+".log")}
	s.idle.Go(func() {
		for do := range s.orders {
			do()
		}
	})
	return s
}

func (s *scheduler) order(do func()) {
	select {
	case s.orders <- do:
	default:
		s.d.fail(fmt.Errorf("scheduler %s: more than %d orders wait", s.name, mostOrders))
	}
}

// close kills the process that there is and ends the scheduler's goroutine. The loop has ended by now.
func (s *scheduler) close() {
	if s.closed {
		return
	}
	s.closed = true
	s.orders <- s.kill
	close(s.orders)
	s.idle.Wait()
	for _, p := range s.calls {
		p.close()
	}
	if s.up != nil {
		s.up.reset()
	}
	s.log.close()
}

// configure writes the configuration file, whole or not at all.
func (s *scheduler) configure(text []byte) error {
	if err := os.WriteFile(s.conf+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(s.conf+".new", s.conf)
}

func (s *scheduler) text(disco int) []byte {
	return platform.Config(s.d.spec, s.n, platform.Options{
		Name: s.name, Listen: s.listen.String(),
		Discovery: s.d.places.disco(disco, s.n).String(), Seed: s.boot.Seed, Known: s.d.localHosts(s.n, s.boot.Known),
	})
}

// start starts a process; the one before it has been killed or has ended.
func (s *scheduler) start(boot *edge.Boot) {
	s.boot = boot
	s.life++
	s.started++
	s.alive, s.ready = true, false
	life, text, c := s.life, s.text(boot.Disco), s.command()
	s.order(func() {
		s.kill() // only one may have the address
		err := s.configure(text)
		if err == nil {
			err = s.run(c, life)
		}
		s.d.send(func() { s.startedAs(life, err) })
	})
}

// command is that of another process.
func (s *scheduler) command() *exec.Cmd {
	args := s.args()
	c := exec.Command(args[0], args[1:]...)
	c.Env = append([]string{
		"PATH=" + os.Getenv("PATH"), "TMPDIR=" + s.d.opt.Dir, "PROXY_NAME=" + s.name,
		"PROXY_LISTEN=" + s.listen.String(), "PROXY_DISCOVERY=" + s.d.places.disco(s.boot.Disco, s.n).String(),
		"PROXY_CONFIG=" + s.conf,
	}, s.d.opt.Env...)
	if s.replaced() {
		s.manage = s.d.places.manage(s.n, s.started)
		c.Env = append(c.Env, "TMPDIR="+s.temp(), "PROXY_MANAGEMENT="+s.manage.String())
	}
	c.Stdout, c.Stderr, c.Dir = s.log, s.log, s.d.opt.Dir
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	c.WaitDelay = time.Second
	return c
}

// run starts a process. It is an order.
func (s *scheduler) run(c *exec.Cmd, life int) error {
	core := -1
	if len(s.d.opt.Cores) > 0 {
		core = s.d.opt.Cores[s.n%len(s.d.opt.Cores)]
	}
	if s.replaced() {
		if err := os.MkdirAll(s.temp(), 0o700); err != nil {
			return err
		}
	}
	if err := s.d.processes.start(c, core); err != nil {
		return err
	}
	reaped := make(chan struct{})
	s.process, s.reaped = c, reaped
	s.pid.Store(int32(c.Process.Pid))
	s.idle.Go(func() { s.await(c, reaped, life) })
	return nil
}

// replaced tells whether the play replaces processes: only then have they a management address, and a directory that
// they share with those before and after them.
func (s *scheduler) replaced() bool {
	return slices.ContainsFunc(s.d.spec.Faults, func(f scenario.Fault) bool { return f.What == "sched_replace" })
}

func (s *scheduler) temp() string { return filepath.Join(s.d.opt.Dir, s.name+".tmp") }

// Of a replacement: the new process has so long to say that it is ready, and the old one so long after SIGTERM.
const (
	readyWithin   = 6 * time.Second
	replaceWithin = 3*time.Second + 700*time.Millisecond
)

// replace starts a second process beside the one that there is, and ends that once the second is ready. What becomes of the
// first is nothing that the world is told.
func (s *scheduler) replace() {
	if !s.alive {
		return
	}
	s.life++
	s.started++
	life, c := s.life, s.command()
	ready := "http://" + s.manage.String() + "/v1/readyz"
	s.order(func() {
		old, reaped := s.process, s.reaped
		if old == nil {
			return
		}
		if err := s.run(c, life); err != nil {
			s.d.send(func() { s.d.fail(fmt.Errorf("scheduler %s: %w", s.name, err)) })
			return
		}
		s.askReady(ready)
		_ = old.Process.Signal(syscall.SIGTERM)
		select {
		case <-reaped:
		case <-time.After(replaceWithin):
			_ = old.Process.Kill()
			<-reaped
		}
	})
}

// askReady waits until a process says that it is ready, or has had its time.
func (s *scheduler) askReady(url string) {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for began := time.Now(); time.Since(began) < readyWithin; time.Sleep(5 * time.Millisecond) {
		res, err := client.Get(url)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return
		}
	}
}

// args are the command. The shell sets the limit on descriptors before the program is there, and is replaced by it.
func (s *scheduler) args() []string {
	args := []string{"/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(s.d.spec.Schedulers.Sockets)}
	args = append(append(args, s.d.opt.Binary), s.d.opt.Args...)
	if s.d.spec.Schedulers.Ops != "" {
		args = append(args, "--config", filepath.Join(s.d.opt.Dir, opsFile))
	}
	return args
}

const opsFile = "ops.toml"

// await reaps a process.
func (s *scheduler) await(c *exec.Cmd, reaped chan struct{}, life int) {
	_ = c.Wait()
	code := c.ProcessState.ExitCode()
	s.pid.CompareAndSwap(int32(c.Process.Pid), 0)
	close(reaped)
	s.d.send(func() { s.ended(life, code) })
}

// kill kills the process that there is, and waits until it is gone. It is an order.
func (s *scheduler) kill() {
	if s.process != nil {
		_ = s.process.Process.Kill()
		<-s.reaped
		s.process = nil
	}
}

func (s *scheduler) startedAs(life int, err error) {
	if err != nil {
		s.d.fail(fmt.Errorf("scheduler %s: %w", s.name, err))
		return
	}
	if life == s.life && s.alive {
		s.look()
	}
}

// ended takes in that a process is gone. One that was killed by the world is gone already.
func (s *scheduler) ended(life, code int) {
	if life != s.life || !s.alive {
		return
	}
	s.down()
	s.exits = append(s.exits, code)
	s.d.out(edge.Out{Kind: edge.Exited, Sched: s.n, Status: code})
}

func (s *scheduler) down() {
	s.alive, s.ready = false, false
	if s.up != nil {
		s.up.stop()
		s.up = nil
	}
}

// signals of the orders that are signals and nothing else.
var signals = map[edge.InKind]syscall.Signal{
	edge.Terminate: syscall.SIGTERM, edge.Freeze: syscall.SIGSTOP,
	edge.Resume: syscall.SIGCONT,
}

func (s *scheduler) signal(kind edge.InKind) {
	if kind == edge.Kill {
		s.down()
		s.order(s.kill)
		return
	}
	s.order(func() { s.tell(signals[kind]) })
}

// tell sends a signal, if there is a process to take it. It is an order.
func (s *scheduler) tell(sig syscall.Signal) {
	if s.process != nil {
		_ = s.process.Process.Signal(sig) // one that is reaped is not signalled any more
	}
}

// reload names another discovery in the configuration, and has it read.
func (s *scheduler) reload(disco int) {
	if s.boot == nil {
		return
	}
	text := s.text(disco)
	s.order(func() {
		if err := s.configure(text); err != nil {
			s.d.send(func() { s.d.fail(fmt.Errorf("scheduler %s: %w", s.name, err)) })
			return
		}
		s.tell(syscall.SIGHUP)
	})
}

// ---- Whether it is up ----

// upLook asks a process for /up, again and again.
type upLook struct {
	sock
	of      *scheduler
	timer   *timer // the next look, or the end of this one's patience
	waiting bool
	over    bool
}

func (s *scheduler) look() {
	s.up = &upLook{of: s}
	s.up.ask()
}

func (u *upLook) stop() {
	u.over = true
	u.of.d.stop(u.timer)
	u.reset()
}

func (u *upLook) again(after time.Duration) {
	u.of.d.stop(u.timer)
	u.waiting = false
	u.timer = u.of.d.after(after, u.ask)
}

func (u *upLook) ask() {
	d := u.of.d
	if u.closed || u.p == nil {
		if err := d.dial(&u.sock, d.places.client(0), u.of.listen, u); err != nil {
			if u.closed = true; !d.own(err) {
				u.again(upSoon)
			}
			return
		}
	}
	u.waiting = true
	u.timer = d.after(upWithin, func() {
		u.reset()
		u.again(upSoon)
	})
	d.writing = append(http1.AppendRequestStart(d.writing[:0], "GET", "/up", u.of.listen.String()), "\r\n"...)
	u.write(d.writing)
}

func (u *upLook) came(int) {
	a, _, n, err := u.of.d.http.response(u.in, false)
	if err != nil || n > 0 && !u.waiting {
		u.reset()
		u.ended(err)
		return
	}
	if n == 0 {
		return
	}
	u.take(n)
	if a.Close {
		u.reset()
	}
	if u.answered(a.StatusCode == 200); !u.over {
		u.again(upEvery)
	}
}

func (u *upLook) ended(error) {
	if !u.over && u.waiting {
		u.again(upSoon)
	}
}

func (u *upLook) answered(up bool) {
	if s := u.of; up != s.ready {
		s.ready, s.met = up, s.met || up
		kind := edge.Unready
		if up {
			kind = edge.Ready
		}
		s.d.out(edge.Out{Kind: kind, Sched: s.n})
	}
}

// ---- Its log ----

// logFile keeps the start of what a scheduler's processes write, and how much more there was.
type logFile struct {
	path string
	lock sync.Mutex // a process may still write while its successor does
	file *os.File
	held int
	lost int
	err  error
}

// Write takes everything, so that no process is ever held up by its log or ended for it.
func (l *logFile) Write(b []byte) (int, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.file == nil && l.err == nil {
		l.file, l.err = os.Create(l.path)
	}
	keep := b[:min(len(b), mostLog-l.held)]
	if l.err == nil && len(keep) > 0 {
		_, l.err = l.file.Write(keep)
	}
	l.held += len(keep)
	l.lost += len(b) - len(keep)
	return len(b), nil
}

func (l *logFile) close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.file == nil {
		return
	}
	if l.lost > 0 {
		_, _ = io.WriteString(l.file, fmt.Sprintf("\n... and %d bytes more\n", l.lost))
	}
	_ = l.file.Close()
	l.file, l.err = nil, os.ErrClosed
}

// localHosts gives a list as a scheduler is told it: with the addresses at which it reaches the worker nodes.
func (d *driver) localHosts(sched int, g requests.EndpointList) requests.EndpointList {
	hosts := make([]requests.Endpoint, len(g.Endpoints))
	for i, h := range g.Endpoints {
		if n, machine := d.nodeOf(&h); n != nil {
			if h.Addr = n.addr(machine, sched).String(); machine == len(n.machines)-1 {
				n.id = h.ID
			}
		}
		hosts[i] = h
	}
	g.Endpoints = hosts
	return g
}
