package planner

import (
	"cmp"
	"time"

	"valvecove/dispatch"
)

// Config configures a planner. Counts, sizes and durations of zero are replaced by those of Defaults.
type Config struct {
	Name        string
	Incarnation uint64 // start of this process, in ns since the Unix epoch
	Version     int    // of the protocol: major version times 256 plus minor version; peers of another major version are rejected
	Settings    dispatch.Settings
	NewPolicy   func() Policy // returns a policy without any state, for use by one planner alone

	MaxOpenRequests      int // of all forwarders
	MinCredit, MaxCredit int // bounds of one forwarder's share of MaxOpenRequests; the lower one only while there is enough
	MaxSessions          int // of forwarders
	LoadReportInterval   time.Duration
	SnapshotInterval     time.Duration // of model snapshots to each forwarder
	MaxSnapshotBytes     int
	StopTimeout          time.Duration // how long a planner that stops waits for its forwarders to disconnect
}

// Defaults returns the values of fields that are zero.
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

// withDefaults returns the configuration with its zero fields set.
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

// compatible reports whether this planner supports a version of the protocol: its major version is the same.
func (c *Config) compatible(version int) bool { return major(version) == major(c.Version) }

func major(version int) int { return version >> 8 }

func minor(version int) int { return version & 0xff }
