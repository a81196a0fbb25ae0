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

const (
	maxLog            = 8 << 20                // bytes of a scheduler's log that are kept
	maxCommands       = 64                     // queued for one scheduler
	readyPollFirst    = 10 * time.Millisecond  // between polls of /up while there is no response
	readyPollInterval = 100 * time.Millisecond // between polls of /up after a response
	readyPollTimeout  = time.Second
)

// scheduler is a scheduler of the run with its current process, if there is one. Commands, which start and signal
// processes, run one after another in a goroutine of the scheduler. Only commands use process and reaped; all other fields
// belong to the event loop, except pid.
type scheduler struct {
	driver        *driver
	number        int
	name          string
	listen        netip.AddrPort
	configPath    string        // of the configuration file
	startOptions  *simapi.Start // of the latest start
	commands      chan func()
	goroutines    sync.WaitGroup // the goroutines for commands and for reaping processes
	incarnation   int            // number of the current process; a replacement counts
	alive         bool           // a process was started, and the environment has neither killed it nor been notified of its exit
	ready         bool           // the latest response to GET /up was 200
	everReady     bool           // a process has been ready
	readiness     *readinessPoll
	callbackPools map[int]*callbackPool // by worker
	connCount     uint64                // connections opened to workers so far
	log           *logFile
	started       int   // number of processes started
	exits         []int // exit codes of the processes that ended by themselves
	closed        bool
	process       *exec.Cmd
	reaped        chan struct{}  // closed once the process has been reaped
	management    netip.AddrPort // management address of the newest process; invalid if processes have none
	pid           atomic.Int32   // of the current process; 0 if there is none
}

func newScheduler(d *driver, n int) *scheduler {
	created := &scheduler{
		driver: d, number: n, name: "s" + strconv.Itoa(n+1), listen: d.addresses.scheduler(n),
		commands: make(chan func(), maxCommands), callbackPools: map[int]*callbackPool{},
	}
	created.configPath = filepath.Join(d.options.Dir, created.name+".json")
	created.log = &logFile{path: filepath.Join(d.options.Dir, created.name+".log")}
	created.goroutines.Go(func() {
		for do := range created.commands {
			do()
		}
	})
	return created
}

// enqueue queues a command for the scheduler's goroutine.
func (s *scheduler) enqueue(do func()) {
	select {
	case s.commands <- do:
	default:
		s.driver.fail(fmt.Errorf("scheduler %s: more than %d commands are queued", s.name, maxCommands))
	}
}

// close kills the current process and ends the scheduler's goroutine. The event loop must have ended.
func (s *scheduler) close() {
	if s.closed {
		return
	}
	s.closed = true
	s.commands <- s.kill
	close(s.commands)
	s.goroutines.Wait()
	for _, p := range s.callbackPools {
		p.close()
	}
	if s.readiness != nil {
		s.readiness.reset()
	}
	s.log.close()
}

// writeConfiguration replaces the configuration file atomically.
func (s *scheduler) writeConfiguration(text []byte) error {
	if err := os.WriteFile(s.configPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(s.configPath+".new", s.configPath)
}

// configuration returns the configuration file for a scheduler that uses discovery at an address index.
func (s *scheduler) configuration(discovery int) []byte {
	options := platform.Options{
		Name: s.name, Listen: s.listen.String(),
		Discovery: s.driver.addresses.discovery(discovery, s.number).String(), Seed: s.startOptions.Seed,
		KnownEndpoints: s.driver.localEndpoints(s.number, s.startOptions.KnownEndpoints),
	}
	if s.driver.spec.Peers.On {
		options.PeerListen = s.driver.addresses.peer(s.number).String()
		for i := range s.driver.spec.Schedulers.Count {
			options.Peers = append(options.Peers, s.driver.addresses.peer(i).String())
		}
	}
	return platform.Config(s.driver.spec, s.number, options)
}

// start starts a process, after the previous one has ended or has been killed.
func (s *scheduler) start(options *simapi.Start) {
	s.startOptions = options
	s.incarnation++
	s.started++
	s.alive, s.ready = true, false
	incarnation, text, c := s.incarnation, s.configuration(options.Discovery), s.command()
	s.enqueue(func() {
		s.kill() // only one process can listen at the address
		err := s.writeConfiguration(text)
		if err == nil {
			err = s.startProcess(c, incarnation)
		}
		s.driver.post(func() { s.processStarted(incarnation, err) })
	})
}

// command builds the command of the next process.
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

// startProcess starts a process. It is part of a command.
func (s *scheduler) startProcess(command *exec.Cmd, incarnation int) error {
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
	s.goroutines.Go(func() { s.reap(command, reaped, incarnation) })
	return nil
}

// replacesProcesses reports whether the scenario replaces processes. Only then do they have a management address, and a
// directory for temporary files that a process shares with its predecessor and its successor.
func (s *scheduler) replacesProcesses() bool {
	return slices.ContainsFunc(s.driver.spec.Faults, func(f scenario.Fault) bool { return f.Kind == "sched_replace" })
}

func (s *scheduler) tempDir() string { return filepath.Join(s.driver.options.Dir, s.name+".tmp") }

// Time limits of a replacement.
const (
	readyTimeout   = 6 * time.Second                      // for the successor, until it is ready
	replaceTimeout = 3*time.Second + 700*time.Millisecond // for the predecessor, from SIGTERM until it has ended
)

// replace starts a successor of the current process, and terminates that once the successor is ready. The exit of the
// predecessor is not reported to the environment.
func (s *scheduler) replace() {
	if !s.alive {
		return
	}
	s.incarnation++
	s.started++
	incarnation, c := s.incarnation, s.command()
	ready := "http://" + s.management.String() + "/v1/readyz"
	s.enqueue(func() {
		old, reaped := s.process, s.reaped
		if old == nil {
			return
		}
		if err := s.startProcess(c, incarnation); err != nil {
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

// awaitReady polls a process's readiness URL until it responds with 200 or readyTimeout has passed.
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

// args returns the command line of a process. A shell sets the limit on descriptors, and replaces itself by the program.
func (s *scheduler) args() []string {
	args := []string{"/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(s.driver.spec.Schedulers.Sockets)}
	args = append(append(args, s.driver.options.Binary), s.driver.options.Args...)
	if s.driver.spec.Schedulers.OperationsFile != "" {
		args = append(args, "--config", filepath.Join(s.driver.options.Dir, operationsFile))
	}
	return args
}

const operationsFile = "ops.toml"

// reap waits for a process to end and reports its exit code to the loop.
func (s *scheduler) reap(c *exec.Cmd, reaped chan struct{}, incarnation int) {
	_ = c.Wait()
	code := c.ProcessState.ExitCode()
	s.pid.CompareAndSwap(int32(c.Process.Pid), 0)
	close(reaped)
	s.driver.post(func() { s.processEnded(incarnation, code) })
}

// kill kills the current process, if there is one, and waits until it has been reaped. It is a command.
func (s *scheduler) kill() {
	if s.process != nil {
		_ = s.process.Process.Kill()
		<-s.reaped
		s.process = nil
	}
}

// processStarted handles the outcome of starting a process. It polls the readiness of the process, unless that has been
// superseded meanwhile.
func (s *scheduler) processStarted(incarnation int, err error) {
	if err != nil {
		s.driver.fail(fmt.Errorf("scheduler %s: %w", s.name, err))
		return
	}
	if incarnation == s.incarnation && s.alive {
		s.pollReady()
	}
}

// processEnded reports the exit of a process to the environment, unless the environment has killed the process itself or
// it has been superseded.
func (s *scheduler) processEnded(incarnation, code int) {
	if incarnation != s.incarnation || !s.alive {
		return
	}
	s.markStopped()
	s.exits = append(s.exits, code)
	s.driver.addOutput(s.number, simapi.Exited{Status: code})
}

// markStopped marks the scheduler as not running, and stops polling its readiness.
func (s *scheduler) markStopped() {
	s.alive, s.ready = false, false
	if s.readiness != nil {
		s.readiness.stop()
		s.readiness = nil
	}
}

// signal sends a signal to the process after all commands queued before.
func (s *scheduler) signal(sig syscall.Signal) {
	s.enqueue(func() { s.sendSignal(sig) })
}

// sendSignal sends a signal to the current process, if there is one. It is a command.
func (s *scheduler) sendSignal(sig syscall.Signal) {
	if s.process != nil {
		_ = s.process.Process.Signal(sig) // has no effect on a process that has been reaped
	}
}

// reload writes a configuration with another discovery address, and has the process read it by SIGHUP.
func (s *scheduler) reload(discovery int) {
	if s.startOptions == nil {
		return
	}
	text := s.configuration(discovery)
	s.enqueue(func() {
		if err := s.writeConfiguration(text); err != nil {
			s.driver.post(func() { s.driver.fail(fmt.Errorf("scheduler %s: %w", s.name, err)) })
			return
		}
		s.sendSignal(syscall.SIGHUP)
	})
}

// localEndpoints returns a copy of an endpoint list with the addresses at which one scheduler reaches the workers. It also
// stores the id that discovery gives each worker's newest machine.
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
