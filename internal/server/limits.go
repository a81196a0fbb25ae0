package server

import (
	"math"
	"runtime"
	"runtime/debug"

	"valvecove/internal/config"
)

// gcPercent lets the heap grow to three times what is live between two collections, memory permitting.
const gcPercent = 200

// Of the configured memory, heapNumerator/heapDenominator may be heap.
const (
	heapNumerator   = 6
	heapDenominator = 10
)

// applyLimits keeps the runtime inside what the machine allows.
func applyLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	debug.SetMemoryLimit(HeapLimit(limits))
	debug.SetGCPercent(gcPercent)
}

// HeapLimit returns how many bytes the garbage collector is held to. Memory beyond the heap needs room too, and exceeding
// the configured memory is a crash, so that the collector works harder well before that.
func HeapLimit(limits config.Limits) int64 {
	return int64(limits.MemoryMB) << 20 * heapNumerator / heapDenominator
}
