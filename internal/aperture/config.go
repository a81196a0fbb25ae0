package aperture

import "time"

// Config configures the size of the subset. All schedulers of a deployment should have the same.
type Config struct {
	MinWorkers     int           // minimum of ready workers in the subset; constrainedPercent of it for each constrained class
	Coverage       int           // minimum of schedulers per worker on average; at least 2
	MinFleet       int           // a smaller fleet is covered completely
	MinSchedulers  int           // with fewer schedulers there is no aperture
	MaxWidening    float64       // maximum factor by which load widens the subset
	WidenThreshold float64       // fraction of jobs without capacity in time from which it is widened
	Retention      time.Duration // time that workers stay in the subset after they are no longer desired
}

// DefaultConfig returns the configuration for keys that are not set.
func DefaultConfig() Config {
	return Config{
		MinWorkers:     20,
		Coverage:       2,
		MinFleet:       60,
		MinSchedulers:  2,
		MaxWidening:    8,
		WidenThreshold: 0.1,
		Retention:      30 * time.Second,
	}
}

// Enabled reports whether a number of schedulers requires an aperture. If not, the policy must be used without one.
func (c Config) Enabled(schedulers int) bool { return schedulers >= max(2, c.MinSchedulers) }
