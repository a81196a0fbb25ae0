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

// heapNumerator/heapDenominator is the fraction of the configured memory that the heap may use.
const (
	heapNumerator   = 6
	heapDenominator = 10
)

// applyLimits configures the Go runtime according to the limits of the process.
func applyLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	debug.SetMemoryLimit(HeapLimit(limits))
	debug.SetGCPercent(gcPercent)
}

// HeapLimit returns the memory limit of the garbage collector, in bytes. It is well below the configured memory because that
// includes memory outside of the heap, and a process that exceeds it is killed.
func HeapLimit(limits config.Limits) int64 {
	return int64(limits.MemoryMB) << 20 * heapNumerator / heapDenominator
}
