package config

import "time"

// Status configures the status call, which has its own port.
type Status struct {
	Port       uint16
	Retention  time.Duration // time that an ended job is stored
	MaxEntries int           // maximum number of stored jobs, open and ended
}

// Defaults and bounds of the section status.
const (
	maxPort                 = 65535
	defaultStatusRetention  = 600 * time.Second
	maxStatusRetention      = 10_000_000 * time.Second
	defaultStatusMaxEntries = 20_000
	maxStatusMaxEntries     = 1_000_000
)

// decodeStatus decodes the section status.
func decodeStatus(section *table) Status {
	section.require("listen_port")
	return Status{
		Port:       uint16(section.integer("listen_port", 0, 1, maxPort)),
		Retention:  section.seconds("retain_s", defaultStatusRetention, 0, maxStatusRetention),
		MaxEntries: section.integer("max_entries", defaultStatusMaxEntries, 1, maxStatusMaxEntries),
	}
}
