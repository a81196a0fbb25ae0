package capture

import (
	"slices"
	"time"
)

// ringSegments is about how many segments a ring holds.
const ringSegments = 4

// ring keeps the latest segments in memory. It is bounded but for the last step.
type ring struct {
	maxBytes     int
	segments     [][]byte // oldest first
	bytes        int      // of all segments
	openingBytes int      // of the opening line of the last one
	lostSegments uint64
}

// segmentBytes is when a segment is full: at a part of the ring, or of half a part after an opening line larger than that,
// so that the ring does not consist of opening lines.
func (r *ring) segmentBytes(openingBytes int) int {
	return max(r.maxBytes/ringSegments, openingBytes+r.maxBytes/(2*ringSegments))
}

// open refuses an opening line of over half the ring.
func (r *ring) open(line []byte) bool {
	if len(line) > r.maxBytes/2 {
		r.lostSegments++
		return false
	}
	r.openingBytes = len(line)
	segment := make([]byte, 0, r.segmentBytes(len(line)))
	r.segments = append(r.segments, append(segment, line...))
	r.bytes += len(line)
	r.trim()
	return true
}

func (r *ring) add(lines []byte) bool {
	last := len(r.segments) - 1
	r.segments[last] = append(r.segments[last], lines...)
	r.bytes += len(lines)
	r.trim()
	return true
}

// trim removes the oldest segments while there are too many bytes, but for the last.
func (r *ring) trim() {
	for r.bytes > r.maxBytes && len(r.segments) > 1 {
		r.bytes -= len(r.segments[0])
		r.segments = slices.Delete(r.segments, 0, 1)
	}
}

func (r *ring) full() bool {
	last := r.segments[len(r.segments)-1]
	return r.bytes > r.maxBytes || len(last) >= r.segmentBytes(r.openingBytes)
}

// dump is not nil, even if there is nothing in memory.
func (r *ring) dump() []byte {
	all := make([]byte, 0, r.bytes)
	for _, segment := range r.segments {
		all = append(all, segment...)
	}
	return all
}

func (r *ring) kept() bool          { return true }
func (r *ring) lost() uint64        { return r.lostSegments }
func (r *ring) close(time.Duration) {}
