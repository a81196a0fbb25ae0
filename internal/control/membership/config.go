package membership

import (
	"cmp"
	"time"
)

// Config holds the timeouts and bounds of a process. Fields that are 0 take their values from Defaults.
type Config struct {
	SuspicionTimeout time.Duration // a member that only gossip reports as failed is dead after this time
	ConnectTimeout   time.Duration // a forwarder treats a new planner without a session as a candidate for this time
	ReconnectGrace   time.Duration // delay before a planner re-admits a peer with a lost session that gossip reports as alive
	Retention        time.Duration // an absent member is kept for this time; until then a forwarder counts for its last home

	StartupTime    time.Duration // for this time after its start a forwarder changes planners without delay
	SettleTime     time.Duration // minimum delay of a change of planner, unless the old one is lost or slow
	RampTime       time.Duration // these changes are spread over this additional time
	AssignInterval time.Duration // minimum time between assignments, except after a lost session

	SlowThreshold    time.Duration // minimum reply latency of a slow planner
	SlowFactor       int           // minimum latency of a slow planner as a multiple of the fastest other planner's
	SlowConfirmation time.Duration // how long the latency must be high before a planner is considered slow
	DrainTime        time.Duration // forwarders leave a slow planner spread over this time of high latency
	RecoveryTime     time.Duration // a slow planner recovers after this time below half the bound, doubled per relapse

	MinWorkersPerPlanner int // with fewer workers per planner, some planners are on standby
}

// Defaults returns the values that replace zero fields.
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

// withDefaults returns a copy of the configuration with zero fields set to their defaults.
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
