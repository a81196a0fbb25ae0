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
func (b *lineBuffer) pending() []byte { return b.lines[b.start:] }

// add appends a line, and drops the oldest ones if the buffer is full. It returns the number of dropped lines.
func (b *lineBuffer) add(line []byte) (dropped uint64) {
	for len(b.pending())+len(line) > maxPendingBytes && len(b.pending()) > 0 {
		b.start += bytes.IndexByte(b.pending(), '\n') + 1
		dropped++
	}
	if b.start > maxPendingBytes/2 {
		moved := copy(b.lines, b.pending())
		b.lines = b.lines[:moved]
		b.start = 0
	}
	b.lines = append(b.lines, line...)
	return dropped
}

// take removes and returns the oldest lines: at least one, and as many as fit into maxBytes. There must be a pending line. The
// result is valid until the next call of add.
func (b *lineBuffer) take(maxBytes int) []byte {
	pending := b.pending()
	size := bytes.IndexByte(pending, '\n') + 1
	for size < len(pending) {
		next := size + bytes.IndexByte(pending[size:], '\n') + 1
		if next >= maxBytes {
			break
		}
		size = next
	}
	b.start += size
	return pending[:size]
}

// reset discards the sent lines of a buffer without pending ones, and releases the memory if it is large.
func (b *lineBuffer) reset() {
	b.lines = b.lines[:0]
	b.start = 0
	if cap(b.lines) > maxPendingBytes/4 {
		b.lines = nil
	}
}
