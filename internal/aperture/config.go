package aperture

import "time"

// Config configures the size of the subset. All schedulers of a deployment should have the same Config.
type Config struct {
	MinWorkers     int           // minimum number of ready workers; constrainedPercent of it for each constrained class
	Coverage       int           // minimum number of schedulers per worker, on average; at least 2
	MinFleet       int           // fleets with fewer workers are selected completely
	MinSchedulers  int           // deployments with fewer schedulers use no aperture
	MaxWidening    float64       // maximum factor by which load widens the subset
	WidenThreshold float64       // fraction of delayed jobs from which the subset is widened
	Retention      time.Duration // time that workers stay in the subset after they are no longer desired
}

// DefaultConfig returns the default of each settings key.
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

// Enabled reports whether a deployment with a number of schedulers uses apertures. If not, the policy must be used without one.
func (c Config) Enabled(schedulers int) bool { return schedulers >= max(2, c.MinSchedulers) }
