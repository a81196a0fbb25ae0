package codec

import (
	"encoding/binary"

	"valvecove/internal/control/message"
)

// Reader decodes messages from one peer. It is used by one goroutine.
type Reader struct {
	buffer     []byte
	offset     int // of the first byte that is not decoded yet
	payloadEnd int // of the frame at hand; at or before offset: there is none
	limit      int // of a frame's payload
	major      byte
	minor      byte
	epoch      message.Epoch // of the frame's last message
	err        error
	fields     fieldCodec
	messages   [len(formats)]message.Message // by kind, allocated on first use and reused
}

// NewReader returns a reader of frames whose payload is at most limit bytes; 0 stands for MaxPayloadSize.
func NewReader(limit int) *Reader {
	if limit <= 0 || limit > MaxPayloadSize {
		limit = MaxPayloadSize
	}
	return &Reader{limit: limit}
}

// Feed takes in received bytes, in pieces of any size, and keeps no reference to data. After each Feed, Next is to be
// called until it has no more messages.
func (r *Reader) Feed(data []byte) {
	if r.err != nil {
		return
	}
	r.compact()
	r.buffer = append(r.buffer, data...)
}

// compact frees the decoded part of the buffer, so that each byte is moved at most once on average.
func (r *Reader) compact() {
	undecoded := len(r.buffer) - r.offset
	switch {
	case undecoded == 0:
		r.buffer = r.buffer[:0]
		if cap(r.buffer) > maxReusedCapacity {
			r.buffer = nil
		}
		r.offset = 0
		r.payloadEnd = 0
	case r.offset >= undecoded:
		copy(r.buffer, r.buffer[r.offset:])
		r.buffer = r.buffer[:undecoded]
		r.payloadEnd = max(r.payloadEnd-r.offset, 0)
		r.offset = 0
	}
}

// Next returns the next message; not ok: there is no whole one. The message belongs to the reader, and holds until the
// next call of Next or Feed. An error ends the stream, and is returned by all further calls.
func (r *Reader) Next() (envelope message.Envelope, ok bool, err error) {
	for r.err == nil {
		if r.offset >= r.payloadEnd {
			if !r.beginFrame() {
				break
			}
			continue
		}
		m, known := r.readMessage()
		if r.err == nil && known {
			return message.Envelope{Epoch: r.epoch, Message: m}, true, nil
		}
	}
	return message.Envelope{}, false, r.err
}

// beginFrame begins the next frame. It reports whether that is there as a whole and intact.
func (r *Reader) beginFrame() bool {
	frame := r.buffer[r.offset:]
	if len(frame) > 0 && frame[0] != magic0 || len(frame) > 1 && frame[1] != magic1 {
		r.err = ErrBadMagic
		return false
	}
	if len(frame) < headerSize {
		return false
	}
	if frame[checkOffset] != headerChecksum(frame) {
		r.err = ErrCorrupt
		return false
	}
	length := payloadLength(frame)
	if length > r.limit {
		r.err = ErrTooLarge
		return false
	}
	if len(frame) < headerSize+length {
		return false
	}
	frame = frame[:headerSize+length]
	if frameChecksum(frame) != binary.LittleEndian.Uint32(frame[checksumOffset:]) {
		r.err = ErrCorrupt
		return false
	}
	r.major = frame[majorOffset]
	r.minor = frame[minorOffset]
	r.epoch = 0
	r.offset += headerSize
	r.payloadEnd = r.offset + length
	return true
}

// readMessage decodes the next message of the frame at hand. Unless known, it is to be skipped.
func (r *Reader) readMessage() (m message.Message, known bool) {
	body, ok := r.nextBody()
	if !ok {
		r.err = ErrMalformed
		return nil, false
	}
	kind := message.Kind(body[0])
	if r.major != Major && !isHandshake(kind) {
		r.err = &VersionError{Peer: int(r.major)<<8 | int(r.minor), Local: Version}
		return nil, false
	}
	epochDelta, size := binary.Varint(body[1:])
	if size <= 0 {
		r.err = ErrMalformed
		return nil, false
	}
	r.epoch += message.Epoch(epochDelta)
	r.fields.startDecoding(body[1+size:])
	m = r.decode(kind)
	known = m != nil
	isNewer := r.major != Major || r.minor > Minor
	isComplete := known && len(r.fields.buffer) == 0
	if r.fields.invalid || !isNewer && !isComplete {
		r.err = ErrMalformed
	}
	return m, known
}

// nextBody takes the bytes of the next message from the frame at hand; not ok: their length makes no sense.
func (r *Reader) nextBody() (body []byte, ok bool) {
	undecoded := r.buffer[r.offset:r.payloadEnd]
	size, prefix := binary.Uvarint(undecoded)
	if prefix <= 0 || size == 0 || size > uint64(len(undecoded)-prefix) {
		return nil, false
	}
	end := prefix + int(size)
	r.offset += end
	return undecoded[prefix:end], true
}

// decode decodes the fields of a message of a kind; nil: this version does not know the kind.
func (r *Reader) decode(kind message.Kind) message.Message {
	form := formatOfKind(kind)
	if form == nil {
		return nil
	}
	if r.messages[kind] == nil {
		r.messages[kind] = form.newMessage()
	}
	m := r.messages[kind]
	form.reset(m)
	form.visit(&r.fields, m)
	return m
}
