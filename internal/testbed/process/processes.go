package process

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"valvecove/internal/requests"
	"valvecove/internal/testbed/platform"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// This file holds a scheduler of a run with real processes: it starts, signals, replaces and awaits them.

const (
	maxLog            = 8 << 20 // bytes of a scheduler's log that are kept
	maxCommands       = 64
	readyPollFirst    = 10 * time.Millisecond // between looks at /up until it answers
	readyPollInterval = 100 * time.Millisecond
	readyPollTimeout  = time.Second
)

// scheduler is one of the schedulers: its process, if it has one, and what the driver keeps with it. Orders are
// carried out by a goroutine of its own, in order; all else belongs to the loop.
type scheduler struct {
	driver        *driver
	number        int
	name          string
	listen        netip.AddrPort
	configPath    string // its configuration file
	startOptions  *simapi.Start
	commands      chan func()
	idle          sync.WaitGroup
	incarnation   int  // counts processes
	alive         bool // a process is wanted, and none has ended by itself
	ready         bool
	everReady     bool // one has been ready
	readiness     *readinessPoll
	callbackPools map[int]*callbackPool // by worker
	connCount     uint64                // opened to workers so far
	log           *logFile
	started       int
	exits         []int // of the processes that ended by themselves
	closed        bool
	process       *exec.Cmd // for orders only
	reaped        chan struct{}
	management    netip.AddrPort // of the newest process, if it has one
	pid           atomic.Int32   // of the process that there is; 0: none
}

func newScheduler(d *driver, n int) *scheduler {
	scheduler := &scheduler{
		driver: d, number: n, name: "s" + strconv.Itoa(n+1), listen: d.addresses.scheduler(n),
		commands: make(chan func(), maxCommands), callbackPools: map[int]*callbackPool{},
	}
	scheduler.configPath = filepath.Join(d.options.Dir, scheduler.name+".json")
	scheduler.log = &logFile{path: filepath.Join(d.options.Dir, scheduler.name+".log")}
	scheduler.idle.Go(func() {
		for do := range scheduler.commands {
			do()
		}
	})
	return scheduler
}

func (s *scheduler) enqueue(do func()) {
	select {
	case s.commands <- do:
	default:
		s.driver.fail(fmt.Errorf("scheduler %s: more than %d orders wait", s.name, maxCommands))
	}
}

// close kills the process that there is and ends the scheduler's goroutine. The loop has ended by now.
func (s *scheduler) close() {
	if s.closed {
		return
	}
	s.closed = true
	s.commands <- s.kill
	close(s.commands)
	s.idle.Wait()
	for _, p := range s.callbackPools {
		p.close()
	}
	if s.readiness != nil {
		s.readiness.reset()
	}
	s.log.close()
}

// configure writes the configuration file, whole or not at all.
func (s *scheduler) configure(text []byte) error {
	if err := os.WriteFile(s.configPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(s.configPath+".new", s.configPath)
}

func (s *scheduler) configuration(disco int) []byte {
	options := platform.Options{
		Name: s.name, Listen: s.listen.String(),
		Discovery: s.driver.addresses.discovery(disco, s.number).String(), Seed: s.startOptions.Seed, KnownEndpoints: s.driver.localEndpoints(s.number, s.startOptions.KnownEndpoints),
	}
	if s.driver.spec.Peers.On {
		options.PeerListen = s.driver.addresses.peer(s.number).String()
		for i := range s.driver.spec.Schedulers.Count {
			options.Peers = append(options.Peers, s.driver.addresses.peer(i).String())
		}
	}
	return platform.Config(s.driver.spec, s.number, options)
}

// start starts a process; the one before it has been killed or has ended.
func (s *scheduler) start(options *simapi.Start) {
	s.startOptions = options
	s.incarnation++
	s.started++
	s.alive, s.ready = true, false
	life, text, c := s.incarnation, s.configuration(options.Discovery), s.command()
	s.enqueue(func() {
		s.kill() // only one may have the address
		err := s.configure(text)
		if err == nil {
			err = s.startProcess(c, life)
		}
		s.driver.post(func() { s.processStarted(life, err) })
	})
}

// command is that of another process.
func (s *scheduler) command() *exec.Cmd {
	args := s.args()
	command := exec.Command(args[0], args[1:]...)
	command.Env = append([]string{
		"PATH=" + os.Getenv("PATH"), "TMPDIR=" + s.driver.options.Dir, "PROXY_NAME=" + s.name,
		"PROXY_LISTEN=" + s.listen.String(), "PROXY_DISCOVERY=" + s.driver.addresses.discovery(s.startOptions.Discovery, s.number).String(),
		"PROXY_CONFIG=" + s.configPath,
	}, s.driver.options.Env...)
	if s.replacesProcesses() {
		s.management = s.driver.addresses.management(s.number, s.started)
		command.Env = append(command.Env, "TMPDIR="+s.tempDir(), "PROXY_MANAGEMENT="+s.management.String())
	}
	command.Stdout, command.Stderr, command.Dir = s.log, s.log, s.driver.options.Dir
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	command.WaitDelay = time.Second
	return command
}

// startProcess starts a process. It is an order.
func (s *scheduler) startProcess(command *exec.Cmd, life int) error {
	core := -1
	if len(s.driver.options.Cores) > 0 {
		core = s.driver.options.Cores[s.number%len(s.driver.options.Cores)]
	}
	if s.replacesProcesses() {
		if err := os.MkdirAll(s.tempDir(), 0o700); err != nil {
			return err
		}
	}
	if err := s.driver.starter.start(command, core); err != nil {
		return err
	}
	reaped := make(chan struct{})
	s.process, s.reaped = command, reaped
	s.pid.Store(int32(command.Process.Pid))
	s.idle.Go(func() { s.reap(command, reaped, life) })
	return nil
}

// replacesProcesses tells whether the run replaces processes: only then have they a management address, and a directory that
// they share with those before and after them.
func (s *scheduler) replacesProcesses() bool {
	return slices.ContainsFunc(s.driver.spec.Faults, func(f scenario.Fault) bool { return f.Kind == "sched_replace" })
}

func (s *scheduler) tempDir() string { return filepath.Join(s.driver.options.Dir, s.name+".tmp") }

// Of a replacement: the new process has so long to say that it is ready, and the old one so long after SIGTERM.
const (
	readyTimeout   = 6 * time.Second
	replaceTimeout = 3*time.Second + 700*time.Millisecond
)

// replace starts a second process beside the one that there is, and ends that once the second is ready. What becomes of the
// first is nothing that the environment is told.
func (s *scheduler) replace() {
	if !s.alive {
		return
	}
	s.incarnation++
	s.started++
	life, c := s.incarnation, s.command()
	ready := "http://" + s.management.String() + "/v1/readyz"
	s.enqueue(func() {
		old, reaped := s.process, s.reaped
		if old == nil {
			return
		}
		if err := s.startProcess(c, life); err != nil {
			s.driver.post(func() { s.driver.fail(fmt.Errorf("scheduler %s: %w", s.name, err)) })
			return
		}
		s.awaitReady(ready)
		_ = old.Process.Signal(syscall.SIGTERM)
		select {
		case <-reaped:
		case <-time.After(replaceTimeout):
			_ = old.Process.Kill()
			<-reaped
		}
	})
}

// awaitReady waits until a process says that it is ready, or has had its time.
func (s *scheduler) awaitReady(url string) {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(5 * time.Millisecond) {
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
	args := []string{"/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(s.driver.spec.Schedulers.Sockets)}
	args = append(append(args, s.driver.options.Binary), s.driver.options.Args...)
	if s.driver.spec.Schedulers.OperationsFile != "" {
		args = append(args, "--config", filepath.Join(s.driver.options.Dir, operationsFile))
	}
	return args
}

const operationsFile = "ops.toml"

// reap reaps a process.
func (s *scheduler) reap(c *exec.Cmd, reaped chan struct{}, life int) {
	_ = c.Wait()
	code := c.ProcessState.ExitCode()
	s.pid.CompareAndSwap(int32(c.Process.Pid), 0)
	close(reaped)
	s.driver.post(func() { s.processEnded(life, code) })
}

// kill kills the process that there is, and waits until it is gone. It is an order.
func (s *scheduler) kill() {
	if s.process != nil {
		_ = s.process.Process.Kill()
		<-s.reaped
		s.process = nil
	}
}

func (s *scheduler) processStarted(life int, err error) {
	if err != nil {
		s.driver.fail(fmt.Errorf("scheduler %s: %w", s.name, err))
		return
	}
	if life == s.incarnation && s.alive {
		s.pollReady()
	}
}

// processEnded takes in that a process is gone. One that was killed by the environment is gone already.
func (s *scheduler) processEnded(life, code int) {
	if life != s.incarnation || !s.alive {
		return
	}
	s.reportNotReady()
	s.exits = append(s.exits, code)
	s.driver.addOutput(s.number, simapi.Exited{Status: code})
}

func (s *scheduler) reportNotReady() {
	s.alive, s.ready = false, false
	if s.readiness != nil {
		s.readiness.stop()
		s.readiness = nil
	}
}

// signal sends a signal once all before has been carried out.
func (s *scheduler) signal(sig syscall.Signal) {
	s.enqueue(func() { s.sendSignal(sig) })
}

// sendSignal sends a signal, if there is a process to take it. It is an order.
func (s *scheduler) sendSignal(sig syscall.Signal) {
	if s.process != nil {
		_ = s.process.Process.Signal(sig) // one that is reaped is not signalled any more
	}
}

// reload names another discovery in the configuration, and has it read.
func (s *scheduler) reload(disco int) {
	if s.startOptions == nil {
		return
	}
	text := s.configuration(disco)
	s.enqueue(func() {
		if err := s.configure(text); err != nil {
			s.driver.post(func() { s.driver.fail(fmt.Errorf("scheduler %s: %w", s.name, err)) })
			return
		}
		s.sendSignal(syscall.SIGHUP)
	})
}

// localEndpoints gives a list as a scheduler is told it: with the addresses at which it reaches the workers.
func (d *driver) localEndpoints(sched int, endpointList requests.EndpointList) requests.EndpointList {
	endpoints := make([]requests.Endpoint, len(endpointList.Endpoints))
	for i, h := range endpointList.Endpoints {
		if n, machine := d.workerOf(&h); n != nil {
			if h.Addr = n.addr(machine, sched).String(); machine == len(n.machines)-1 {
				n.id = h.ID
			}
		}
		endpoints[i] = h
	}
	endpointList.Endpoints = endpoints
	return endpointList
}
