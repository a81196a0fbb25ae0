package process

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"valvecove/internal/testbed/environment"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// Options are what is said of a run beyond its scenario and seed.
type Options struct {
	Binary   string          // the scheduler's program
	Args     []string        // of it, before any that the scenario's operators' file brings
	Env      []string        // further variables of its environment, beside PATH, TMPDIR and the platform's own
	Dir      string          // for its configuration and logs, which stay; empty: one that is removed at the end
	Cores    []int           // processor cores for the schedulers, dealt out in turn; the loop keeps off. Empty: any
	Observer trace.Observer  // called in the run's own goroutine, so it must not wait for anything
	Progress func(Progress)  // called every 250 ms from a goroutine of its own; what it has not taken in is skipped
	OnStart  func(Addresses) // called once all is open and no scheduler runs yet, in the run's own goroutine
	StayOpen bool            // goes on when the environment is over, until the context ends, which is no error then
	Guests   bool            // requests that no client of the environment has sent are run, apart from it; see Places
}

// Progress is how a run stands.
type Progress struct {
	At       time.Duration
	Lateness Lateness
}

// Addresses is where things are in a run, for whoever wants to try them by hand.
type Addresses struct {
	Schedulers []string // address and port, by number
	Discovery  []string // that each of them is told at first
}

// Outcome is a run that has been played, apart from what was seen of it.
type Outcome struct {
	Length          time.Duration
	Finished        bool   // every job was settled; else its time was up before
	Invalid         string // why it is no result; empty: it is one
	Lateness        Lateness
	Unsupported     []string // what of the scenario it can't show
	AlteredRequests []string // requests that reached workers otherwise than a client sent them; the first 100
	Schedulers      []Process
}

// Process is what became of a scheduler's processes.
type Process struct {
	Name    string
	Starts  int
	Exits   []int  // exit codes of those that ended by themselves; -1: by a signal
	LogPath string // where their standard error is, the first 8 MB of it
}

// Run plays a checked scenario. A run that could be played is an outcome, void or not; an error is this machine's, or
// the context's.
func Run(ctx context.Context, spec *scenario.Scenario, seed uint64, opt Options) (*Outcome, error) {
	if err := checkDescriptors(spec); err != nil {
		return nil, err
	}
	if opt.Observer == nil {
		opt.Observer = func(*trace.Event) {}
	}
	w := environment.New(spec, seed, time.Duration(time.Now().UnixNano()), opt.Observer)
	return runDriver(ctx, spec, opt, w, func(start time.Time) { w.Epoch = time.Duration(start.UnixNano()) })
}

// runDriver plays an environment. begins is told of the instant from which its time counts.
func runDriver(ctx context.Context, spec *scenario.Scenario, opt Options, environmentModel environmentModel, begins func(time.Time)) (
	_ *Outcome, err error,
) {
	temporary := opt.Dir == ""
	if temporary {
		if opt.Dir, err = os.MkdirTemp("", "valvecove-testbed-"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(opt.Dir) }()
	} else if err = os.MkdirAll(opt.Dir, 0o755); err != nil {
		return nil, err
	}
	if opt.Dir, err = filepath.Abs(opt.Dir); err != nil {
		return nil, err
	}
	if opt.Binary, err = filepath.Abs(opt.Binary); err != nil {
		return nil, err
	}
	if _, err = exec.LookPath(opt.Binary); err != nil {
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	if err = os.WriteFile(filepath.Join(opt.Dir, operationsFile), []byte(spec.Schedulers.OperationsFile), 0o600); err != nil {
		return nil, err
	}
	driver, err := newDriver(spec, opt)
	if err != nil {
		return nil, err
	}
	var looks sync.WaitGroup
	looks.Go(driver.sampleProcesses)
	if opt.OnStart != nil {
		opt.OnStart(driver.runAddresses())
	}
	driver.environment, driver.onStart, driver.startedAt = environmentModel, begins, time.Now()
	err = driver.run(ctx, spec.Length.Std()+settleTime(spec))
	outcome := driver.outcome()
	driver.close()
	looks.Wait()
	if temporary {
		for i := range outcome.Schedulers {
			outcome.Schedulers[i].LogPath = ""
		}
	}
	if err != nil {
		return nil, err
	}
	return outcome, nil
}

// settleTime is for how long jobs may go on that fell due in the run's length.
func settleTime(spec *scenario.Scenario) time.Duration {
	if spec.Settle > 0 {
		return spec.Settle.Std()
	}
	longest := time.Duration(0)
	for _, c := range spec.Classes {
		longest = max(longest, c.Deadline.Std())
	}
	return longest + 2*time.Second
}

func (d *driver) runAddresses() (p Addresses) {
	for _, s := range d.schedulers {
		p.Schedulers = append(p.Schedulers, s.listen.String())
		p.Discovery = append(p.Discovery, d.addresses.discovery(0, s.number).String())
	}
	return p
}

func (d *driver) outcome() *Outcome {
	o := &Outcome{
		Length: d.environmentTime(d.now), Finished: d.finished, Lateness: d.lateness.lateness(), Unsupported: Unsupported(d.spec),
		AlteredRequests: d.alteredRequests,
	}
	o.Invalid = o.Lateness.InvalidReason()
	for _, s := range d.schedulers {
		o.Schedulers = append(o.Schedulers, Process{Name: s.name, Starts: s.started, Exits: s.exits, LogPath: s.log.path})
	}
	return o
}
