package membership

import (
	"cmp"
	"time"
)

// Config holds the timeouts and bounds of a process. A field that is 0 takes its value from Defaults.
type Config struct {
	SuspicionTimeout time.Duration // a member that gossip alone reports as dead is dead after this
	ConnectTimeout   time.Duration // to a forwarder, a planner that is announced counts for this long without a session
	ReconnectGrace   time.Duration // to a planner, one whose session was lost counts again after this if gossip still has it
	Retention        time.Duration // a member that is gone is kept this long; a forwarder counts for its last home meanwhile

	StartupTime    time.Duration // a forwarder moves without delay for this long after its start
	SettleTime     time.Duration // a move, other than from a planner that is lost, waits for this
	RampTime       time.Duration // and then for the forwarder's part of this
	AssignInterval time.Duration // assignments are recomputed at most this often, except after a loss

	SlowThreshold    time.Duration // a planner is slow if its replies take longer than this,
	SlowFactor       int           // and this many times as long as those of the fastest other planner,
	SlowConfirmation time.Duration // for this long
	DrainTime        time.Duration // forwarders leave a slow planner over this time, while it is slow
	RecoveryTime     time.Duration // it has recovered after replies below half the bound for this; doubled with each relapse

	MinWorkersPerPlanner int // with fewer workers for each planner, fewer planners are followed
}

// Defaults returns the configuration that applies where nothing else is set.
func Defaults() Config {
	return Config{
		SuspicionTimeout:     time.Second,
		ConnectTimeout:       2 * time.Second,
		ReconnectGrace:       5 * time.Second,
		Retention:            30 * time.Second,
		StartupTime:          time.Second,
		SettleTime:           250 * time.Millisecond,
		RampTime:             2 * time.Second,
		AssignInterval:       100 * time.Millisecond,
		SlowThreshold:        30 * time.Millisecond,
		SlowFactor:           4,
		SlowConfirmation:     500 * time.Millisecond,
		DrainTime:            4 * time.Second,
		RecoveryTime:         2 * time.Second,
		MinWorkersPerPlanner: 12,
	}
}

// withDefaults returns the configuration with the fields that are 0 set to their defaults.
func (c Config) withDefaults() Config {
	defaults := Defaults()
	return Config{
		SuspicionTimeout:     cmp.Or(c.SuspicionTimeout, defaults.SuspicionTimeout),
		ConnectTimeout:       cmp.Or(c.ConnectTimeout, defaults.ConnectTimeout),
		ReconnectGrace:       cmp.Or(c.ReconnectGrace, defaults.ReconnectGrace),
		Retention:            cmp.Or(c.Retention, defaults.Retention),
		StartupTime:          cmp.Or(c.StartupTime, defaults.StartupTime),
		SettleTime:           cmp.Or(c.SettleTime, defaults.SettleTime),
		RampTime:             cmp.Or(c.RampTime, defaults.RampTime),
		AssignInterval:       cmp.Or(c.AssignInterval, defaults.AssignInterval),
		SlowThreshold:        cmp.Or(c.SlowThreshold, defaults.SlowThreshold),
		SlowFactor:           cmp.Or(c.SlowFactor, defaults.SlowFactor),
		SlowConfirmation:     cmp.Or(c.SlowConfirmation, defaults.SlowConfirmation),
		DrainTime:            cmp.Or(c.DrainTime, defaults.DrainTime),
		RecoveryTime:         cmp.Or(c.RecoveryTime, defaults.RecoveryTime),
		MinWorkersPerPlanner: cmp.Or(c.MinWorkersPerPlanner, defaults.MinWorkersPerPlanner),
	}
}

// Bounds of the member table.
const (
	maxPlanners   = 64
	maxForwarders = 4096
	maxNameLength = 255
	maxLoad       = 1 << 10
)
