package forwarder

import (
	"cmp"
	"time"

	"valvecove/internal/control/message"
)

// Config configures a forwarder. A duration or a count of zero is replaced by that of DefaultConfig.
type Config struct {
	Name        string        // of the forwarder
	Incarnation uint64        // start of its process, Unix time in ns
	Version     int           // of the protocol: major version << 8 | minor version; planners of another major version are not used
	Seed        uint64        // of all random draws
	LastEpoch   message.Epoch // sessions are numbered from here, or from Incarnation if that is greater; see Forwarder.LastEpoch

	StandaloneAfter     time.Duration // without a planner, the forwarder enters standalone mode after this time at most
	SettleTime          time.Duration // with a planner, it leaves standalone mode after this time
	HeartbeatInterval   time.Duration // time between two heartbeats to a planner
	SuspicionTimeout    time.Duration // without a reply for this time, a planner is offered requests only if there is no other
	UnresponsiveTimeout time.Duration // without a reply for this time, the session with a planner is reset
	CommandTimeout      time.Duration // without a command for a request for this time, the request may be revoked
	MaxWaiting          int           // max. requests that wait for a planner's credit
	MaxSnapshotBytes    int           // max. size of a model snapshot
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
