package aperture

import "time"

// Config says how wide the subset is. All schedulers of a deployment should have the same.
type Config struct {
	MinWorkers     int           // ready workers of a scheduler, at least; a tenth of it for each constrained class
	Coverage       int           // schedulers for each worker, on the mean, at least; less than 2 counts as 2
	MinFleet       int           // a fleet of fewer workers is covered whole
	MinSchedulers  int           // and so is any by fewer schedulers than this, without an aperture
	MaxWidening    float64       // by how much load widens the subset at most
	WidenThreshold float64       // the part of jobs that find no capacity in time from which it does
	Retention      time.Duration // how long workers that are not desired any more stay in the subset
}

// DefaultConfig returns the configuration that applies where nothing else is set.
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

// Enabled reports whether so many schedulers have an aperture at all. Where they have none, the policy is to be used
// alone.
func (c Config) Enabled(schedulers int) bool { return schedulers >= max(2, c.MinSchedulers) }
