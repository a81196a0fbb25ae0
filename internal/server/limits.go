package server

import (
	"math"
	"runtime"
	"runtime/debug"

	"valvecove/internal/config"
)

// gcPercent is the argument of debug.SetGCPercent: the heap grows to three times the live memory between two collections, within
// the memory limit.
const gcPercent = 200

// Fractions of the configured memory that the heap may use: of a process alone, and of one that shares the memory with another one
// during a hot restart.
const (
	heapNumerator       = 6
	sharedHeapNumerator = 4
	heapDenominator     = 10
)

// applyLimits configures the Go runtime according to the limits of the process.
func applyLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	debug.SetMemoryLimit(HeapLimit(limits, false))
	debug.SetGCPercent(gcPercent)
}

// HeapLimit returns the memory limit of the garbage collector, in bytes. It is well below the configured memory because that
// includes memory outside of the heap, and a process that exceeds it is killed. isShared reports whether another process uses the
// memory too.
func HeapLimit(limits config.Limits, isShared bool) int64 {
	numerator := int64(heapNumerator)
	if isShared {
		numerator = sharedHeapNumerator
	}
	return int64(limits.MemoryMB) << 20 * numerator / heapDenominator
}
