package config

import "time"

// Status configures the status call, which has a port of its own.
type Status struct {
	Port       uint16
	Retention  time.Duration // how long an ended job is kept
	MaxEntries int           // jobs that are kept, open and ended
}

const (
	maxPort                 = 65535
	defaultStatusRetention  = 600 * time.Second
	maxStatusRetention      = 10_000_000 * time.Second
	defaultStatusMaxEntries = 20_000
	maxStatusMaxEntries     = 1_000_000
)

func decodeStatus(section *table) Status {
	section.require("listen_port")
	return Status{
		Port:       uint16(section.integer("listen_port", 0, 1, maxPort)),
		Retention:  section.seconds("retain_s", defaultStatusRetention, 0, maxStatusRetention),
		MaxEntries: section.integer("max_entries", defaultStatusMaxEntries, 1, maxStatusMaxEntries),
	}
}
