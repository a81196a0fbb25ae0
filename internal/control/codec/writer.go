package codec

import (
	"encoding/binary"
	"fmt"

	"valvecove/internal/control/message"
)

// maxPrefixSize is an upper bound of the size in bytes of a message's length, kind and epoch, which precede its fields.
const maxPrefixSize = 32

// Writer encodes messages to one peer. The zero value is ready to use. It is not safe for concurrent use.
type Writer struct {
	buffer     []byte // complete frames, followed by the open frame, if any
	frameStart int    // index of the open frame; its header is written when it is closed
	frameOpen  bool
	epoch      message.Epoch // of the open frame's last message
	fields     fieldCodec
	body       []byte // memory for the encoded fields of a message, reused
}

// Add encodes a message and keeps no reference to it. If the message can't be encoded, Add skips it and returns an error that
// wraps ErrUnknownKind, ErrInvalidField or ErrTooLarge.
func (w *Writer) Add(envelope message.Envelope) error {
	if envelope.Message == nil {
		return fmt.Errorf("encode an empty envelope: %w", ErrUnknownKind)
	}
	kind := envelope.Message.Kind()
	body, err := w.encode(kind, envelope.Message)
	if err != nil {
		return fmt.Errorf("encode %v message: %w", kind, err)
	}
	if w.frameOpen && len(w.buffer)-w.frameStart+len(body) > batchSize {
		w.closeFrame()
	}
	if !w.frameOpen {
		w.openFrame()
	}
	var prefix [1 + binary.MaxVarintLen64]byte
	prefix[0] = byte(kind)
	prefixSize := 1 + binary.PutVarint(prefix[1:], int64(envelope.Epoch-w.epoch))
	w.epoch = envelope.Epoch
	w.buffer = binary.AppendUvarint(w.buffer, uint64(prefixSize+len(body)))
	w.buffer = append(w.buffer, prefix[:prefixSize]...)
	w.buffer = append(w.buffer, body...)
	return nil
}

// encode returns the encoded fields of a message. They are valid until the next call.
func (w *Writer) encode(kind message.Kind, body message.Message) ([]byte, error) {
	form := formatOfKind(kind)
	if form == nil {
		return nil, ErrUnknownKind
	}
	fields := &w.fields
	fields.startEncoding(w.body[:0])
	isOfKind := form.visit(fields, body)
	w.body = fields.buffer[:0]
	switch {
	case !isOfKind:
		return nil, ErrUnknownKind
	case fields.invalid:
		return nil, ErrInvalidField
	case fields.significant > MaxPayloadSize-maxPrefixSize:
		return nil, ErrTooLarge
	}
	return fields.buffer[:fields.significant], nil
}

// Len returns the number of bytes that Take would append.
func (w *Writer) Len() int { return len(w.buffer) }

// Take appends the frames of all messages added since the last call to dst, and removes them from the writer.
func (w *Writer) Take(dst []byte) []byte {
	w.closeFrame()
	dst = append(dst, w.buffer...)
	w.buffer = w.buffer[:0]
	if cap(w.buffer) > maxReusedCapacity {
		w.buffer = nil
	}
	if cap(w.body) > maxReusedCapacity {
		w.body = nil
		w.fields.buffer = nil
	}
	return dst
}

// openFrame starts a frame.
func (w *Writer) openFrame() {
	w.frameStart = len(w.buffer)
	w.frameOpen = true
	w.epoch = 0
	w.buffer = append(w.buffer, make([]byte, headerSize)...)
}

// closeFrame ends the open frame, if there is one.
func (w *Writer) closeFrame() {
	if w.frameOpen {
		sealFrame(w.buffer[w.frameStart:], Major, Minor)
		w.frameOpen = false
	}
}
