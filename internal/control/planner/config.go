package planner

import (
	"cmp"
	"time"

	"valvecove/dispatch"
)

// Config configures a planner. Counts, sizes and durations that are zero take their values from Defaults.
type Config struct {
	Name        string
	Incarnation uint64 // start time of this process in ns since the Unix epoch
	Version     int    // protocol version: major * 256 + minor; peers with another major version are rejected
	Settings    dispatch.Settings
	NewPolicy   func() Policy // returns a new policy, which is not shared with other planners

	MaxOpenRequests      int // sum over all forwarders
	MinCredit, MaxCredit int // bounds of a forwarder's share of MaxOpenRequests; with many forwarders it is below MinCredit
	MaxSessions          int // forwarder sessions
	LoadReportInterval   time.Duration
	SnapshotInterval     time.Duration // between model snapshots to a forwarder
	MaxSnapshotBytes     int
	StopTimeout          time.Duration // how long a stopping planner waits for its forwarders to disconnect
}

// Defaults returns the values that replace zero fields.
func Defaults() Config {
	return Config{
		MaxOpenRequests:    20_000,
		MinCredit:          32,
		MaxCredit:          4096,
		MaxSessions:        1024,
		LoadReportInterval: 250 * time.Millisecond,
		SnapshotInterval:   5 * time.Second,
		MaxSnapshotBytes:   48 << 10,
		StopTimeout:        2 * time.Second,
	}
}

// withDefaults returns a copy of the configuration with zero fields set to their defaults.
func (c Config) withDefaults() Config {
	defaults := Defaults()
	c.MaxOpenRequests = cmp.Or(c.MaxOpenRequests, defaults.MaxOpenRequests)
	c.MinCredit = cmp.Or(c.MinCredit, defaults.MinCredit)
	c.MaxCredit = cmp.Or(c.MaxCredit, defaults.MaxCredit)
	c.MaxSessions = cmp.Or(c.MaxSessions, defaults.MaxSessions)
	c.LoadReportInterval = cmp.Or(c.LoadReportInterval, defaults.LoadReportInterval)
	c.SnapshotInterval = cmp.Or(c.SnapshotInterval, defaults.SnapshotInterval)
	c.MaxSnapshotBytes = cmp.Or(c.MaxSnapshotBytes, defaults.MaxSnapshotBytes)
	c.StopTimeout = cmp.Or(c.StopTimeout, defaults.StopTimeout)
	return c
}

// compatible reports whether a protocol version has the same major version as this planner's.
func (c *Config) compatible(version int) bool { return major(version) == major(c.Version) }

func major(version int) int { return version >> 8 }

func minor(version int) int { return version & 0xff }
