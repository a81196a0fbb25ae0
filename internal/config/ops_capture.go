package config

import "fmt"

// Capture configures the capture, which is stored in a ring in memory or in files; see package capture.
type Capture struct {
	MemoryKB int    // size of the ring in memory
	Dir      string // directory for files; empty: the ring is used
	FileMB   int    // size of a file from which the next one is started
	Files    int    // maximum number of files
}

const (
	defaultCaptureMemoryKB = 512
	minCaptureMemoryKB     = 64
	maxCaptureMemoryKB     = 1 << 20
	defaultCaptureFileMB   = 8
	maxCaptureFileMB       = 1 << 10
	defaultCaptureFiles    = 4
	maxCaptureFiles        = 1000

	// minMemoryToRingRatio is the minimum ratio of the memory limit to the size of the ring. While a copy of the ring is being
	// written, memory holds it twice.
	minMemoryToRingRatio = 8
	kbPerMB              = 1 << 10
)

// decodeCapture decodes the section capture.
func decodeCapture(section *table) Capture {
	return Capture{
		MemoryKB: section.integer("memory_kb", defaultCaptureMemoryKB, minCaptureMemoryKB, maxCaptureMemoryKB),
		Dir:      section.text("dir"),
		FileMB:   section.integer("file_mb", defaultCaptureFileMB, 1, maxCaptureFileMB),
		Files:    section.integer("files", defaultCaptureFiles, 1, maxCaptureFiles),
	}
}

// checkMemory adds an error if the ring is too large for the memory limit.
func (c *Capture) checkMemory(limits Limits, errs *keyErrors) {
	maxRingKB := limits.MemoryMB * kbPerMB / minMemoryToRingRatio
	if c.Dir != "" || c.MemoryKB <= maxRingKB {
		return
	}
	errs.add(newKeyError([]string{"capture", "memory_kb"}, &ValueError{
		Expected: fmt.Sprintf("%d at most where limits.memory_mb is %d", maxRingKB, limits.MemoryMB),
		Value:    c.MemoryKB,
	}))
}
