package capture

import (
	"slices"
	"time"
)

// ringSegments is the approximate number of segments in a ring.
const ringSegments = 4

// ring is a sink that stores the latest segments in memory. Its size exceeds maxBytes by one step at most.
type ring struct {
	maxBytes       int
	segments       [][]byte // oldest first
	bytes          int      // of all segments
	firstLineBytes int      // of the first line of the last segment
	lostSegments   uint64
}

// segmentBytes returns the size at which a segment is full. That is maxBytes/ringSegments, but at least the first line plus half
// of that quotient, so that the ring does not consist of first lines only.
func (r *ring) segmentBytes(firstLineBytes int) int {
	return max(r.maxBytes/ringSegments, firstLineBytes+r.maxBytes/(2*ringSegments))
}

// open implements sink. A first line larger than half of the ring is lost.
func (r *ring) open(line []byte) bool {
	if len(line) > r.maxBytes/2 {
		r.lostSegments++
		return false
	}
	r.firstLineBytes = len(line)
	segment := make([]byte, 0, r.segmentBytes(len(line)))
	r.segments = append(r.segments, append(segment, line...))
	r.bytes += len(line)
	r.trim()
	return true
}

// add implements sink.
func (r *ring) add(lines []byte) bool {
	last := len(r.segments) - 1
	r.segments[last] = append(r.segments[last], lines...)
	r.bytes += len(lines)
	r.trim()
	return true
}

// trim removes the oldest segments while the ring is too large, but never the last one.
func (r *ring) trim() {
	for r.bytes > r.maxBytes && len(r.segments) > 1 {
		r.bytes -= len(r.segments[0])
		r.segments = slices.Delete(r.segments, 0, 1)
	}
}

// full implements sink.
func (r *ring) full() bool {
	last := r.segments[len(r.segments)-1]
	return r.bytes > r.maxBytes || len(last) >= r.segmentBytes(r.firstLineBytes)
}

// dump implements sink. The result is not nil, even if the ring is empty.
func (r *ring) dump() []byte {
	all := make([]byte, 0, r.bytes)
	for _, segment := range r.segments {
		all = append(all, segment...)
	}
	return all
}

func (r *ring) isStored() bool      { return true }
func (r *ring) lost() uint64        { return r.lostSegments }
func (r *ring) close(time.Duration) {}
