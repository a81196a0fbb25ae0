package metrics

import "bytes"

// maxPendingBytes bounds the lines that wait to be sent.
const maxPendingBytes = 256 << 10

// lineBuffer holds whole lines, oldest first, in at most maxPendingBytes bytes but for a line that is longer by itself.
type lineBuffer struct {
	lines []byte
	start int // where the oldest line begins; what stands before it was sent or dropped
}

// pending returns the lines that were not taken yet.
func (b *lineBuffer) pending() []byte { return b.lines[b.start:] }

// add appends a line, and drops the oldest ones where there is no room for it. It returns how many were dropped.
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

// take removes the oldest lines, as many as stay below maxBytes but one at least, and returns them. There must be a
// pending line. What it returns holds until the next call of add.
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

// reset forgets an empty buffer's sent lines, and gives up the memory of a large one.
func (b *lineBuffer) reset() {
	b.lines = b.lines[:0]
	b.start = 0
	if cap(b.lines) > maxPendingBytes/4 {
		b.lines = nil
	}
}
