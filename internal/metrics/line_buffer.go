package metrics

import "bytes"

// maxPendingBytes is the maximum size of the pending lines.
const maxPendingBytes = 256 << 10

// lineBuffer contains complete lines, oldest first, in at most maxPendingBytes bytes, except for a single line that is longer.
type lineBuffer struct {
	lines []byte
	start int // offset of the oldest pending line; earlier ones were sent or dropped
}

// pending returns the lines that were neither taken nor dropped.
func (l *lineBuffer) pending() []byte { return l.lines[l.start:] }

// add appends a line, and drops the oldest ones if the buffer is full. It returns the number of dropped lines.
func (l *lineBuffer) add(line []byte) (dropped uint64) {
	for len(l.pending())+len(line) > maxPendingBytes && len(l.pending()) > 0 {
		l.start += bytes.IndexByte(l.pending(), '\n') + 1
		dropped++
	}
	if l.start > maxPendingBytes/2 {
		moved := copy(l.lines, l.pending())
		l.lines = l.lines[:moved]
		l.start = 0
	}
	l.lines = append(l.lines, line...)
	return dropped
}

// take removes and returns the oldest lines: at least one, and as many as fit into maxBytes. There must be a pending line. The
// result is valid until the next call of add.
func (l *lineBuffer) take(maxBytes int) []byte {
	pending := l.pending()
	size := bytes.IndexByte(pending, '\n') + 1
	for size < len(pending) {
		next := size + bytes.IndexByte(pending[size:], '\n') + 1
		if next >= maxBytes {
			break
		}
		size = next
	}
	l.start += size
	return pending[:size]
}

// reset discards the sent lines of a buffer without pending ones, and releases the memory if it is large.
func (l *lineBuffer) reset() {
	l.lines = l.lines[:0]
	l.start = 0
	if cap(l.lines) > maxPendingBytes/4 {
		l.lines = nil
	}
}
