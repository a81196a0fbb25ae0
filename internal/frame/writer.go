package frame

import (
	"encoding/binary"

	"valvecove/internal/tier"
)

// Writer gathers messages for one peer. Its zero value is ready. It is used by one goroutine.
type Writer struct {
	buf   []byte // whole frames, and the one at hand
	start int    // of the one at hand; its header is filled in when it is closed
	open  bool
	epoch tier.Epoch // of its last message
	body  []byte     // of the message at hand
}

// Add adds a message. It keeps nothing of it. A message that can't be written is left out, and the error says why.
func (w *Writer) Add(m *tier.Message) error {
	c := walk{b: w.body[:0], writing: true}
	if !c.message(m) {
		return ErrKind
	}
	w.body = c.b[:0]
	switch {
	case c.bad:
		return ErrField
	case c.end > Longest-32: // what stands before it is shorter
		return ErrTooLong
	}
	body := c.b[:c.end]
	if w.open && len(w.buf)-w.start+len(body) > batch {
		w.close()
	}
	if !w.open {
		w.start, w.open, w.epoch = len(w.buf), true, 0
		w.buf = append(w.buf, make([]byte, headerSize)...)
	}
	var epoch [binary.MaxVarintLen64]byte
	n := binary.PutVarint(epoch[:], int64(m.Epoch-w.epoch))
	w.epoch = m.Epoch
	w.buf = binary.AppendUvarint(w.buf, uint64(1+n+len(body)))
	w.buf = append(w.buf, byte(m.Kind))
	w.buf = append(w.buf, epoch[:n]...)
	w.buf = append(w.buf, body...)
	return nil
}

// Len counts the bytes that Take would give.
func (w *Writer) Len() int { return len(w.buf) }

// Take appends to dst what was added since the last call: one frame, or several where it is more than one should hold.
func (w *Writer) Take(dst []byte) []byte {
	w.close()
	dst = append(dst, w.buf...)
	if w.buf = w.buf[:0]; cap(w.buf) > reused {
		w.buf = nil
	}
	if cap(w.body) > reused {
		w.body = nil
	}
	return dst
}

func (w *Writer) close() {
	if w.open {
		seal(w.buf[w.start:], Major, Minor)
		w.open = false
	}
}
