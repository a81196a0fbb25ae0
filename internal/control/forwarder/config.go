package forwarder

import (
	"cmp"
	"time"

	"valvecove/internal/control/message"
)

// Config configures a forwarder. A duration or count of zero is replaced by its default, see DefaultConfig.
type Config struct {
	Name        string        // of the forwarder
	Incarnation uint64        // start of its process, Unix time in ns
	Version     int           // of the protocol: major << 8 | minor; a planner with another major version is not used
	Seed        uint64        // of the random number generator
	LastEpoch   message.Epoch // new sessions get epochs above this and above Incarnation; see Forwarder.LastEpoch

	StandaloneAfter     time.Duration // maximum time without a planner before the forwarder enters standalone mode
	SettleTime          time.Duration // time for which a planner must be available before it leaves standalone mode
	HeartbeatInterval   time.Duration // time between two heartbeats to a planner
	SuspicionTimeout    time.Duration // time without a heartbeat reply until a planner is offered requests only as a last resort
	UnresponsiveTimeout time.Duration // time without a heartbeat reply until the session with a planner is reset
	CommandTimeout      time.Duration // time without a command for a request until it may be revoked from its planner
	MaxWaiting          int           // maximum number of requests that wait for a planner's credit
	MaxSnapshotBytes    int           // maximum size of a model snapshot
}

// DefaultConfig returns the default durations and counts.
func DefaultConfig() Config {
	return Config{
		StandaloneAfter:     time.Second,
		SettleTime:          250 * time.Millisecond,
		HeartbeatInterval:   100 * time.Millisecond,
		SuspicionTimeout:    150 * time.Millisecond,
		UnresponsiveTimeout: 500 * time.Millisecond,
		CommandTimeout:      time.Second,
		MaxWaiting:          1024,
		MaxSnapshotBytes:    1 << 20,
	}
}

// withDefaults returns the configuration with its zero durations and counts replaced.
func (c Config) withDefaults() Config {
	defaults := DefaultConfig()
	c.StandaloneAfter = cmp.Or(c.StandaloneAfter, defaults.StandaloneAfter)
	c.SettleTime = cmp.Or(c.SettleTime, defaults.SettleTime)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, defaults.HeartbeatInterval)
	c.SuspicionTimeout = cmp.Or(c.SuspicionTimeout, defaults.SuspicionTimeout)
	c.UnresponsiveTimeout = cmp.Or(c.UnresponsiveTimeout, defaults.UnresponsiveTimeout)
	c.CommandTimeout = cmp.Or(c.CommandTimeout, defaults.CommandTimeout)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, defaults.MaxWaiting)
	c.MaxSnapshotBytes = cmp.Or(c.MaxSnapshotBytes, defaults.MaxSnapshotBytes)
	return c
}
