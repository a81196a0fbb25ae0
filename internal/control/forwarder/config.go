package forwarder

import (
	"cmp"
	"time"

	"valvecove/internal/control/message"
)

// Config is how a forwarder works. Where a duration or a count is zero, that of DefaultConfig holds.
type Config struct {
	Name        string        // of the forwarder
	Incarnation uint64        // when its process started, Unix time in ns
	Version     int           // of the protocol: major version << 8 | minor version; planners of another major version are not used
	Seed        uint64        // of all random draws
	LastEpoch   message.Epoch // sessions are numbered from here, or from Incarnation if that is greater; see Forwarder.LastEpoch

	StandaloneAfter     time.Duration // without a planner for this long, the forwarder enters standalone mode
	SettleTime          time.Duration // with a planner for this long, it leaves standalone mode
	HeartbeatInterval   time.Duration // between two heartbeats to a planner
	SuspicionTimeout    time.Duration // a planner that has not replied for this long gets new requests only if there is no other
	UnresponsiveTimeout time.Duration // a planner that has not replied for this long loses all its requests
	CommandTimeout      time.Duration // without a command for a request for this long, the planner may have lost it
	MaxWaiting          int           // requests for which no planner has credit
	MaxSnapshotBytes    int           // size of a model snapshot
}

// DefaultConfig returns the durations and counts that hold where a Config has none.
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
