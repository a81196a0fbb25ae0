package config

import (
	"net/netip"
	"time"
)

// Metrics configures the export of counters, gauges and timers to a collector. Without a target and a file they are
// written to standard error.
type Metrics struct {
	Format        string // statsd or influx
	FlushInterval time.Duration
	UDPTarget     netip.AddrPort // not valid: no collector
	File          string         // path; empty: no file
	MaxBatchBytes int            // maximum size of a datagram or a write
}

// Defaults and bounds of the section figures.
const (
	defaultFlushMilliseconds = 10_000
	minFlushMilliseconds     = 10
	maxFlushMilliseconds     = 3_600_000
	defaultMaxBatchBytes     = 1400
	maxBatchBytesLimit       = 65_000
)

// decodeMetrics decodes the section figures.
func decodeMetrics(section *table) Metrics {
	return Metrics{
		Format:        section.choice("format", "statsd", "statsd", "influx"),
		FlushInterval: decodeFlushInterval(section),
		UDPTarget:     section.addrPort("udp_target"),
		File:          section.text("file"),
		MaxBatchBytes: section.integer("max_batch_bytes", defaultMaxBatchBytes, 1, maxBatchBytesLimit),
	}
}

// decodeFlushInterval decodes the key flush_ms.
func decodeFlushInterval(section *table) time.Duration {
	milliseconds := section.integer("flush_ms", defaultFlushMilliseconds, minFlushMilliseconds, maxFlushMilliseconds)
	return time.Duration(milliseconds) * time.Millisecond
}
