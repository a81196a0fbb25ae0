package config

import "fmt"

// Capture configures the record of what the scheduler receives and decides. It is kept in memory or in files.
type Capture struct {
	MemoryKB int    // of the ring in memory
	Dir      string // for files in place of the ring; empty: the ring
	FileMB   int    // of one file, at which another begins
	Files    int    // that are kept
}

const (
	defaultCaptureMemoryKB = 512
	minCaptureMemoryKB     = 64
	maxCaptureMemoryKB     = 1 << 20
	defaultCaptureFileMB   = 8
	maxCaptureFileMB       = 1 << 10
	defaultCaptureFiles    = 4
	maxCaptureFiles        = 1000

	// maxRingShare is the part of the memory limit, as its inverse, that the ring may have. It may be there twice, while
	// a copy of it is written out.
	maxRingShare = 8
	kbPerMB      = 1 << 10
)

func decodeCapture(section *table) Capture {
	return Capture{
		MemoryKB: section.integer("memory_kb", defaultCaptureMemoryKB, minCaptureMemoryKB, maxCaptureMemoryKB),
		Dir:      section.text("dir"),
		FileMB:   section.integer("file_mb", defaultCaptureFileMB, 1, maxCaptureFileMB),
		Files:    section.integer("files", defaultCaptureFiles, 1, maxCaptureFiles),
	}
}

// checkMemory reports a ring that is too large for the memory limit.
func (c *Capture) checkMemory(limits Limits, errs *keyErrors) {
	maxRingKB := limits.MemoryMB * kbPerMB / maxRingShare
	if c.Dir != "" || c.MemoryKB <= maxRingKB {
		return
	}
	errs.add(newKeyError([]string{"capture", "memory_kb"}, &ValueError{
		Expected: fmt.Sprintf("%d at most where limits.memory_mb is %d", maxRingKB, limits.MemoryMB),
		Value:    c.MemoryKB,
	}))
}
