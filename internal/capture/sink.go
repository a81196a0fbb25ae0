package capture

import "time"

// sink stores segments. It copies its arguments.
type sink interface {
	// open starts a segment with its first line. It returns false if the segment is lost.
	open(line []byte) bool
	// add adds lines to the segment. It returns false if they are lost, and with them the rest of the segment.
	add(lines []byte) bool
	// isStored reports whether the first line of the segment is stored. Later lines may still be lost.
	isStored() bool
	// full reports whether the next segment should be started.
	full() bool
	// dump returns a copy of all segments in memory, or nil if the sink stores none there.
	dump() []byte
	// lost returns the number of segments, or parts of them, that were lost.
	lost() uint64
	// close waits until all pending lines are stored, or until the timeout.
	close(timeout time.Duration)
}
