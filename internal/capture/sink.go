package capture

import "time"

// sink keeps segments. What it is given is copied.
type sink interface {
	// open begins a segment with its opening line. It returns false if it can't now.
	open(line []byte) bool
	// add adds lines to the segment. It returns false if they are lost, as is then all that follows in the segment.
	add(lines []byte) bool
	// kept tells whether the segment has begun to be kept: a disk may still fail with what it was given.
	kept() bool
	// full tells whether it is time for another segment.
	full() bool
	// dump returns a copy of what is in memory; nil if the sink keeps nothing there.
	dump() []byte
	// lost counts what could not be kept.
	lost() uint64
	// close writes what waits, and gives up after the timeout.
	close(timeout time.Duration)
}
