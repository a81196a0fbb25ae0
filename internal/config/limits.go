package config

import "strconv"

// Limits contains the resources that the process may use.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int // file descriptors of the process
}

// defaultLimits contains the limits of the platform's smallest machine.
var defaultLimits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

const (
	minMemoryMB = 16
	// minSockets is sufficient for the scheduler's own descriptors and some connections to workers and clients.
	minSockets = 64
)

// readLimits reads the section limits.
func (j *jsonReader) readLimits(limits *Limits) {
	j.object(fields{
		"cores":     func() { limits.Cores = j.number() },
		"memory_mb": func() { limits.MemoryMB = int(j.number()) },
		"sockets":   func() { limits.Sockets = j.integer() },
	})
}

// check adds an error for each limit that is too low for a scheduler.
func (l Limits) check(errs *keyErrors) {
	report := func(key, expected string, value any) {
		errs.add(newKeyError([]string{"limits", key}, &ValueError{Expected: expected, Value: value}))
	}
	if l.Cores <= 0 {
		report("cores", "more than 0", l.Cores)
	}
	if l.MemoryMB < minMemoryMB {
		report("memory_mb", atLeast(minMemoryMB), l.MemoryMB)
	}
	if l.Sockets < minSockets {
		report("sockets", atLeast(minSockets), l.Sockets)
	}
}

// atLeast returns the text for a lower bound.
func atLeast(minimum int) string { return strconv.Itoa(minimum) + " at least" }
