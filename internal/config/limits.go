package config

import "strconv"

// Limits are the resources that the process may use.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int // file descriptors of the process
}

// defaultLimits are those of the platform's smallest machine.
var defaultLimits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

const (
	minMemoryMB = 16
	// minSockets leaves room for the scheduler's own descriptors, some connections of workers and some of clients.
	minSockets = 64
)

// readLimits reads the section limits.
func (r *jsonReader) readLimits(limits *Limits) {
	r.object(fields{
		"cores":     func() { limits.Cores = r.number() },
		"memory_mb": func() { limits.MemoryMB = int(r.number()) },
		"sockets":   func() { limits.Sockets = r.integer() },
	})
}

// check reports limits that a scheduler can't work with.
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

func atLeast(minimum int) string { return strconv.Itoa(minimum) + " at least" }
