package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Subjects of a measurement that are not schedulers.
const (
	Proxy   = "proxy"   // the standard library's reverse proxy, which picks the worker with the fewest requests in flight
	Direct  = "direct"  // clients send to the workers, with nothing between
	Ceiling = "ceiling" // as Direct, with jobs that take no time: the most that the rig itself can do
)

// TableRow names what one run measures. Runs with equal rows are summarised in one row of the table.
type TableRow struct {
	Subject            string  `json:"subject"` // the name of a scheduler's build, or Proxy, Direct or Ceiling
	Workers            int     `json:"nodes"`
	StartNotifications bool    `json:"notices"` // workers notify the scheduler of starts; false without a scheduler
	Hint               float64 `json:"hint"`    // factor by which the clients' cost hints are wrong; 0: no hints
}

// hasScheduler reports whether the subject is a scheduler.
func (r TableRow) hasScheduler() bool {
	return r.Subject != Proxy && r.Subject != Direct && r.Subject != Ceiling
}

// Options are the settings that the runs of a table share.
type Options struct {
	Rig          []string // command line of a program that calls RunRigProcess
	Proxy        []string // command line of a program that calls RunProxyProcess
	Binary       string   // path of the scheduler's program
	Clients      int
	WarmUp       time.Duration
	Length       time.Duration // of the measurement window
	Work         time.Duration // of each job; default 20 ms
	Jobs         int           // above 0: the run ends after this many jobs, or after Length
	Burst        int           // additional jobs in the first second, each from a client of its own
	Restart      bool          // a third of the workers restart within restartWindow
	SilentShare  float64       // share of the workers that is silent for a third of Length
	Freeze       time.Duration // how long the scheduler's process is stopped; 0: not at all
	Cores        []int         // the first for the scheduler or proxy, the others for the engines; default FindCores
	Dir          string        // where logs and configuration are kept; empty: a temporary directory
	Seed         uint64
	ReadyTimeout time.Duration // how long the scheduler or proxy may take to start; default 20 s

	Rate           float64       // requests a second, in place of the clients' own pace; 0: theirs
	ChangeInterval time.Duration // between two changes of the endpoint list; 0: it does not change
	Sockets        int           // limit on the scheduler's descriptors, in its configuration and enforced; default 40,000
	MemoryMB       int           // limit on its memory in its configuration, not enforced; default 2,048
}

const (
	defaultWork         = 20 * time.Millisecond
	defaultRestartDown  = 500 * time.Millisecond
	defaultReadyTimeout = 20 * time.Second
	disturbancesAfter   = 2 * time.Second // from the opening of the window to the disturbances
	restartWindow       = 10 * time.Second
)

// setDefaults fills in what is unset.
func (o *Options) setDefaults() error {
	o.ReadyTimeout = cmp.Or(o.ReadyTimeout, defaultReadyTimeout)
	o.Sockets = cmp.Or(o.Sockets, maxSockets)
	o.MemoryMB = cmp.Or(o.MemoryMB, memoryMB)
	if len(o.Cores) > 0 {
		return nil
	}
	var err error
	o.Cores, err = FindCores()
	return err
}

// check validates the options.
func (o *Options) check() error {
	if o.Clients < 1 || o.Length <= 0 || o.WarmUp < 0 || o.Burst < 0 || o.SilentShare < 0 || o.SilentShare >= 1 {
		return errors.New("a run needs a client and a positive length, no setting may be negative, and the share of silent workers must be below 1")
	}
	disturbances := o.disturbances()
	if disturbances != nil && disturbances[1] > (o.WarmUp+o.Length).Seconds() {
		return fmt.Errorf("the disturbances end %.1f s after the clients' start, but the run ends after %v: increase the length",
			disturbances[1], o.WarmUp+o.Length)
	}
	return nil
}

// disturbances returns when the disturbances begin and end, in seconds from the clients' start; nil if there are none.
func (o *Options) disturbances() []float64 {
	var span time.Duration
	if o.Restart {
		span = restartWindow + defaultRestartDown
	}
	if o.SilentShare > 0 {
		span = max(span, o.Length/3)
	}
	span = max(span, o.Freeze)
	if span == 0 {
		return nil
	}
	from := o.WarmUp + disturbancesAfter
	return []float64{from.Seconds(), (from + span).Seconds()}
}

// rigSpec derives the rig's spec for a row.
func (o *Options) rigSpec(tableRow TableRow) Spec {
	work := cmp.Or(o.Work, defaultWork)
	spec := Spec{
		Workers:            tableRow.Workers,
		StartNotifications: tableRow.StartNotifications,
		Work:               work,
		Clients:            o.Clients,
		Hint:               time.Duration(tableRow.Hint * float64(work)),
		Burst:              o.Burst,
		Jobs:               o.Jobs,
		WarmUp:             o.WarmUp,
		Length:             o.Length,
		Seed:               o.Seed,
		Cores:              o.Cores[1:],
		Rate:               o.Rate,
		ChangeInterval:     o.ChangeInterval,
		SilentShare:        o.SilentShare,
		SilentFor:          o.Length / 3,
		DisturbancesAt:     o.WarmUp + disturbancesAfter,
	}
	switch tableRow.Subject {
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
