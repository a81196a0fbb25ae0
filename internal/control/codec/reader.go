package codec

import (
	"encoding/binary"

	"valvecove/internal/control/message"
)

// Reader takes frames apart. It is used by one goroutine.
type Reader struct {
	buffer     []byte
	offset     int // the first byte that was not read
	payloadEnd int // of the payload at hand; at or before at: there is none
	limit      int
	major      byte
	minor      byte
	epoch      message.Epoch
	err        error
	storage    messageStorage
}

// NewReader returns a reader of frames whose payload is no longer than limit; 0 is Longest.
func NewReader(limit int) *Reader {
	if limit <= 0 || limit > MaxPayloadSize {
		limit = MaxPayloadSize
	}
	return &Reader{limit: limit}
}

// Feed takes in what came, in pieces of any size, and keeps nothing of b. Each Feed wants Next until it has no more.
func (r *Reader) Feed(b []byte) {
	if r.err != nil {
		return
	}
	switch rest := len(r.buffer) - r.offset; {
	case rest == 0:
		if r.buffer = r.buffer[:0]; cap(r.buffer) > maxReusedCapacity {
			r.buffer = nil
		}
		r.offset, r.payloadEnd = 0, 0
	case r.offset >= rest: // so that no byte is moved more than once, on the mean
		copy(r.buffer, r.buffer[r.offset:])
		r.buffer = r.buffer[:rest]
		r.payloadEnd = max(r.payloadEnd-r.offset, 0)
		r.offset = 0
	}
	r.buffer = append(r.buffer, b...)
}

// Next gives the next message, if there is a whole one. What m points to, and its Bytes, hold until the next call of
// either. An error ends the stream, and is given again and again.
func (r *Reader) Next(m *message.Message) (ok bool, err error) {
	for r.err == nil {
		if r.offset < r.payloadEnd {
			if known := r.readMessage(m); r.err == nil && known {
				return true, nil
			}
			continue
		}
		if !r.beginFrame() {
			break
		}
	}
	return false, r.err
}

// beginFrame begins the next one, if it is there whole and is right.
func (r *Reader) beginFrame() bool {
	f := r.buffer[r.offset:]
	switch {
	case len(f) > 0 && f[0] != magic0 || len(f) > 1 && f[1] != magic1:
		r.err = ErrBadMagic
	case len(f) < headerSize:
		return false
	case f[7] != headerChecksum(f):
		r.err = ErrCorrupt
	}
	if r.err != nil {
		return false
	}
	n := int(f[4]) | int(f[5])<<8 | int(f[6])<<16
	switch whole := len(f) >= headerSize+n; {
	case n > r.limit:
		r.err = ErrTooLarge
	case whole && frameChecksum(f[:headerSize+n]) != binary.LittleEndian.Uint32(f[8:]):
		r.err = ErrCorrupt
	case whole:
		r.major, r.minor, r.epoch = f[2], f[3], 0
		r.offset += headerSize
		r.payloadEnd = r.offset + n
		return true
	}
	return false
}

// readMessage takes the next one of the payload at hand. known is false for one that is to be skipped.
func (r *Reader) readMessage(m *message.Message) (known bool) {
	left := r.buffer[r.offset:r.payloadEnd]
	size, n := binary.Uvarint(left)
	if n <= 0 || size == 0 || size > uint64(len(left)-n) {
		r.err = ErrMalformed
		return false
	}
	body := left[n : n+int(size)]
	r.offset += n + int(size)
	*m = message.Message{Kind: message.Kind(body[0])}
	if r.major != Major && m.Kind != message.KindHandshake && m.Kind != message.KindHandshakeAccept && m.Kind != message.KindPeerHandshake {
		r.err = &VersionError{Peer: int(r.major)<<8 | int(r.minor), Local: Version}
		return false
	}
	ahead, n := binary.Varint(body[1:])
	if n <= 0 {
		r.err = ErrMalformed
		return false
	}
	r.epoch += message.Epoch(ahead)
	m.Epoch = r.epoch
	c := fieldCodec{buffer: body[1+n:], storage: &r.storage}
	known = c.message(m)
	newer := r.major != Major || r.minor > Minor
	if c.failed || !newer && (!known || len(c.buffer) > 0) {
		r.err = ErrMalformed
	}
	return known
}
