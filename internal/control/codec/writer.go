package codec

import (
	"encoding/binary"

	"valvecove/internal/control/message"
)

// Writer gathers messages for one peer. Its zero value is ready. It is used by one goroutine.
type Writer struct {
	buffer     []byte // whole frames, and the one at hand
	frameStart int    // of the one at hand; its header is filled in when it is closed
	frameOpen  bool
	epoch      message.Epoch // of its last message
	body       []byte        // of the message at hand
}

// Add adds a message. It keeps nothing of it. A message that can't be written is left out, and the error says why.
func (w *Writer) Add(m *message.Message) error {
	c := fieldCodec{buffer: w.body[:0], writing: true}
	if !c.message(m) {
		return ErrUnknownKind
	}
	w.body = c.buffer[:0]
	switch {
	case c.failed:
		return ErrInvalidField
	case c.significant > MaxPayloadSize-32: // what stands before it is shorter
		return ErrTooLarge
	}
	body := c.buffer[:c.significant]
	if w.frameOpen && len(w.buffer)-w.frameStart+len(body) > batchSize {
		w.closeFrame()
	}
	if !w.frameOpen {
		w.frameStart, w.frameOpen, w.epoch = len(w.buffer), true, 0
		w.buffer = append(w.buffer, make([]byte, headerSize)...)
	}
	var epoch [binary.MaxVarintLen64]byte
	n := binary.PutVarint(epoch[:], int64(m.Epoch-w.epoch))
	w.epoch = m.Epoch
	w.buffer = binary.AppendUvarint(w.buffer, uint64(1+n+len(body)))
	w.buffer = append(w.buffer, byte(m.Kind))
	w.buffer = append(w.buffer, epoch[:n]...)
	w.buffer = append(w.buffer, body...)
	return nil
}

// Len counts the bytes that Take would give.
func (w *Writer) Len() int { return len(w.buffer) }

// Take appends to dst what was added since the last call: one frame, or several where it is more than one should hold.
func (w *Writer) Take(dst []byte) []byte {
	w.closeFrame()
	dst = append(dst, w.buffer...)
	if w.buffer = w.buffer[:0]; cap(w.buffer) > maxReusedCapacity {
		w.buffer = nil
	}
	if cap(w.body) > maxReusedCapacity {
		w.body = nil
	}
	return dst
}

func (w *Writer) closeFrame() {
	if w.frameOpen {
		sealFrame(w.buffer[w.frameStart:], Major, Minor)
		w.frameOpen = false
	}
}
