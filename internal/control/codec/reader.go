package codec

import (
	"encoding/binary"

	"valvecove/internal/control/message"
)

// Reader decodes messages from one peer. It is not safe for concurrent use.
type Reader struct {
	buffer     []byte
	offset     int  // index of the first byte that is not decoded yet
	payloadEnd int  // end of the open frame's payload; no frame is open unless it is after offset
	limit      int  // maximum size of a frame's payload
	major      byte // version of the open frame
	minor      byte
	epoch      message.Epoch // of the open frame's last message
	err        error
	fields     fieldCodec
	messages   [len(formats)]message.Message // by kind, allocated on first use and reused
}

// NewReader returns a reader that accepts frames with a payload of at most limit bytes. A limit of 0 stands for MaxPayloadSize.
func NewReader(limit int) *Reader {
	if limit <= 0 || limit > MaxPayloadSize {
		limit = MaxPayloadSize
	}
	return &Reader{limit: limit}
}

// Feed appends received bytes, which may be a piece of any size of the stream. It keeps no reference to data. After each Feed,
// the caller must call Next until it returns no more messages. After an error, Feed discards the bytes.
func (r *Reader) Feed(data []byte) {
	if r.err != nil {
		return
	}
	r.compact()
	r.buffer = append(r.buffer, data...)
}

// compact removes the decoded bytes from the buffer once they are at least half of it. Each byte is thus moved at most once on
// average.
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

// Next returns the next message, or false if there is no complete one. The message belongs to the reader and is valid only until
// the next call of Next or Feed. An error ends the stream: all further calls return it.
func (r *Reader) Next() (envelope message.Envelope, ok bool, err error) {
	for r.err == nil {
		if r.offset >= r.payloadEnd {
			if !r.beginFrame() {
				break
			}
			continue
		}
		decoded, known := r.readMessage()
		if r.err == nil && known {
			return message.Envelope{Epoch: r.epoch, Message: decoded}, true, nil
		}
	}
	return message.Envelope{}, false, r.err
}

// beginFrame opens the next frame. It returns false if the frame is incomplete or invalid, and sets err if it is invalid.
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

// readMessage decodes the next message of the open frame. It returns false if the kind of the message is unknown.
func (r *Reader) readMessage() (decoded message.Message, known bool) {
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
	decoded = r.decode(kind)
	known = decoded != nil
	isNewer := r.major != Major || r.minor > Minor
	isComplete := known && len(r.fields.buffer) == 0
	if r.fields.invalid || !isNewer && !isComplete {
		r.err = ErrMalformed
	}
	return decoded, known
}

// nextBody returns the bytes of the next message of the open frame, or false if the length of the message is malformed.
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

// decode decodes the fields of a message of a kind. It returns nil if this version does not know the kind.
func (r *Reader) decode(kind message.Kind) message.Message {
	form := formatOfKind(kind)
	if form == nil {
		return nil
	}
	if r.messages[kind] == nil {
		r.messages[kind] = form.newMessage()
	}
	decoded := r.messages[kind]
	form.reset(decoded)
	form.visit(&r.fields, decoded)
	return decoded
}
