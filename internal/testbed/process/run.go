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

// Options are the settings of a run besides its scenario and seed.
type Options struct {
	Binary   string          // path of the scheduler's program
	Args     []string        // its arguments; those for the scenario's operations file follow them
	Env      []string        // further environment variables, besides PATH, TMPDIR and those of the platform
	Dir      string          // for configuration and logs, which are kept; empty: a temporary directory
	Cores    []int           // processor cores for the schedulers, assigned in turn; the event loop avoids them. Empty: any
	Observer trace.Observer  // called in the event loop, so it must not block
	Progress func(Progress)  // called every 250 ms from a separate goroutine; calls are skipped while one is in progress
	OnStart  func(Addresses) // called in the event loop's goroutine, after all listeners are open and before schedulers start
	StayOpen bool            // the run goes on after the environment has finished, until the context ends, which is no error
	Guests   bool            // requests that no client of the environment has sent are run; the environment does not see them
}

// Progress is the state of a run in progress.
type Progress struct {
	At       time.Duration // in the environment's time
	Lateness Lateness
}

// Addresses are the addresses of a run, for requests by hand (Options.Guests).
type Addresses struct {
	Schedulers []string // address and port, by number
	Discovery  []string // discovery's first address for each scheduler
}

// Outcome is the outcome of a run, besides its trace events.
type Outcome struct {
	Length          time.Duration
	Finished        bool   // every job was settled before the time was up
	Invalid         string // why the run is invalid; empty if it is valid
	Lateness        Lateness
	Unsupported     []string // what of the scenario the run could not show; see the function Unsupported
	AlteredRequests []string // requests that reached workers in another form than a client sent them; the first 100
	Schedulers      []Process
}

// Process sums up the processes of one scheduler.
type Process struct {
	Name    string
	Starts  int
	Exits   []int  // exit codes of the processes that ended by themselves; -1 if by a signal
	LogPath string // file with the first 8 MB of their standard output and error
}

// Run runs a checked scenario. It returns an error if this machine could not run it, or if the context ended; a run whose
// figures are invalid is no error, see Outcome.Invalid.
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

// runDriver runs an environment model. It calls onStart with the wall-clock time of the environment's time zero, and again
// whenever a pause of the environment's time has moved that.
func runDriver(ctx context.Context, spec *scenario.Scenario, opt Options, model environmentModel, onStart func(time.Time)) (
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
	created, err := newDriver(spec, opt)
	if err != nil {
		return nil, err
	}
	var samplers sync.WaitGroup
	samplers.Go(created.sampleProcesses)
	if opt.OnStart != nil {
		opt.OnStart(created.runAddresses())
	}
	created.environment, created.onStart, created.startedAt = model, onStart, time.Now()
	err = created.run(ctx, spec.Length.Std()+settleTime(spec))
	outcome := created.outcome()
	created.close()
	samplers.Wait()
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

// settleTime returns how long a run goes on after its length, so that jobs which were due within it can be settled.
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
