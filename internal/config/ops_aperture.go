package config

import (
	"time"

	"valvecove/internal/aperture"
)

// Bounds of the section aperture.
const (
	maxApertureCount      = 1_000_000 // number of workers, or of schedulers
	minApertureCoverage   = 2
	maxApertureCoverage   = 1000
	minApertureSchedulers = 2
	maxApertureWidening   = 1000
	minWidenThreshold     = 0.01
	minApertureRetention  = time.Second
	maxApertureRetention  = time.Hour
)

// decodeAperture decodes the section aperture.
func decodeAperture(section *table) aperture.Config {
	defaults := aperture.DefaultConfig()
	return aperture.Config{
		MinWorkers:     section.integer("least", defaults.MinWorkers, 1, maxApertureCount),
		Coverage:       section.integer("cover", defaults.Coverage, minApertureCoverage, maxApertureCoverage),
		MinFleet:       section.integer("off_below", defaults.MinFleet, 0, maxApertureCount),
		MinSchedulers:  section.integer("from_schedulers", defaults.MinSchedulers, minApertureSchedulers, maxApertureCount),
		MaxWidening:    section.number("most", defaults.MaxWidening, 1, maxApertureWidening),
		WidenThreshold: section.number("widen_at", defaults.WidenThreshold, minWidenThreshold, 1),
		Retention:      section.seconds("dwell_s", defaults.Retention, minApertureRetention, maxApertureRetention),
	}
}
