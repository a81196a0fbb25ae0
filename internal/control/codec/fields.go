package codec

import (
	"encoding/binary"
	"math"
	"math/bits"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// Bounds of fields.
const (
	maxTextLength    = 255 // bytes
	maxAttempts      = 255 // of a request offer
	maxInternedNames = 64  // kept by a decoder
)

// fieldCodec encodes the fields that it visits, or decodes them, so that one function per kind of message serves both
// directions. Fields beyond the end of a decoded message are zero.
type fieldCodec struct {
	buffer      []byte // encoded so far, or yet to be decoded
	significant int    // encoded bytes up to the last field that is not zero
	encoding    bool
	invalid     bool // a field is out of range, or the bytes are malformed

	// Memory that decoded messages refer to. It is reused for the next message.
	names    map[string]string
	attempts []message.PastAttempt
}

// startEncoding starts the encoding of a message, which is appended to buffer.
func (f *fieldCodec) startEncoding(buffer []byte) {
	f.buffer = buffer
	f.significant = len(buffer)
	f.encoding = true
	f.invalid = false
}

// startDecoding starts the decoding of a message whose fields are in data.
func (f *fieldCodec) startDecoding(data []byte) {
	f.buffer = data
	f.encoding = false
	f.invalid = false
}

// fail marks the message as invalid; nothing more is decoded from it.
func (f *fieldCodec) fail() {
	f.invalid = true
	f.buffer = nil
}

// finishField ends an encoded field. Unless it is zero, it and all fields before it are significant.
func (f *fieldCodec) finishField(isZero bool) {
	if !isZero {
		f.significant = len(f.buffer)
	}
}

// unsigned visits a varint.
func (f *fieldCodec) unsigned(field *uint64) {
	if f.encoding {
		f.buffer = binary.AppendUvarint(f.buffer, *field)
		f.finishField(*field == 0)
		return
	}
	*field = 0
	if len(f.buffer) == 0 {
		return
	}
	value, size := binary.Uvarint(f.buffer)
	if size <= 0 {
		f.fail()
		return
	}
	*field = value
	f.buffer = f.buffer[size:]
}

// signed visits a varint in zigzag form.
func (f *fieldCodec) signed(field *int64) {
	value := uint64(*field<<1) ^ uint64(*field>>63)
	f.unsigned(&value)
	*field = int64(value>>1) ^ -int64(value&1)
}

// duration visits a time in nanoseconds.
func (f *fieldCodec) duration(field *time.Duration) {
	f.signed((*int64)(field))
}

// int visits a count or an index, which must fit 32 bits.
func (f *fieldCodec) int(field *int) {
	value := int64(*field)
	f.signed(&value)
	if value < math.MinInt32 || value > math.MaxInt32 {
		f.invalid = true
		value = 0
	}
	*field = int(value)
}

// float visits a number as a varint of its bytes in reverse order. That is short for numbers of few significant bits, as
// their low bytes are zero.
func (f *fieldCodec) float(field *float64) {
	value := bits.ReverseBytes64(math.Float64bits(*field))
	f.unsigned(&value)
	*field = math.Float64frombits(bits.ReverseBytes64(value))
}

// fixed visits a hash or an instant in eight bytes, as a varint would be longer.
func (f *fieldCodec) fixed(field *uint64) {
	const size = 8
	if f.encoding {
		f.buffer = binary.LittleEndian.AppendUint64(f.buffer, *field)
		f.finishField(*field == 0)
		return
	}
	*field = 0
	switch {
	case len(f.buffer) == 0:
	case len(f.buffer) < size:
		f.fail()
	default:
		*field = binary.LittleEndian.Uint64(f.buffer)
		f.buffer = f.buffer[size:]
	}
}

// byte visits a number of eight bits.
func (f *fieldCodec) byte(field *uint8) {
	if f.encoding {
		f.buffer = append(f.buffer, *field)
		f.finishField(*field == 0)
		return
	}
	*field = 0
	if len(f.buffer) > 0 {
		*field = f.buffer[0]
		f.buffer = f.buffer[1:]
	}
}

// flags visits up to eight booleans in one byte. Unknown ones are skipped.
func (f *fieldCodec) flags(fields ...*bool) {
	var value uint8
	for i, field := range fields {
		if *field {
			value |= 1 << i
		}
	}
	f.byte(&value)
	for i, field := range fields {
		*field = value&(1<<i) != 0
	}
}

// result visits the result of an attempt or a health check.
func (f *fieldCodec) result(field *dispatch.Result) {
	value := uint8(*field)
	if f.encoding && int(*field) != int(value) {
		f.invalid = true
	}
	f.byte(&value)
	*field = dispatch.Result(value)
}

// length visits the number of items that follow, each of which has at least one byte.
func (f *fieldCodec) length(count, limit int) int {
	value := uint64(count)
	f.unsigned(&value)
	if value > uint64(limit) || !f.encoding && value > uint64(len(f.buffer)) {
		f.fail()
		return 0
	}
	return int(value)
}

// text visits a name.
func (f *fieldCodec) text(field *string) {
	length := f.length(len(*field), maxTextLength)
	switch {
	case f.invalid:
		*field = ""
	case f.encoding:
		f.buffer = append(f.buffer, *field...)
		f.finishField(length == 0)
	default:
		*field = f.intern(f.buffer[:length])
		f.buffer = f.buffer[length:]
	}
}

// intern returns data as a string. It allocates a name once, as there are few different names.
func (f *fieldCodec) intern(data []byte) string {
	if name, ok := f.names[string(data)]; ok {
		return name
	}
	if f.names == nil || len(f.names) >= maxInternedNames {
		f.names = make(map[string]string, maxInternedNames)
	}
	name := string(data)
	f.names[name] = name
	return name
}

// bytes visits opaque data. Decoded data remains in the reader's buffer.
func (f *fieldCodec) bytes(field *[]byte) {
	length := f.length(len(*field), MaxPayloadSize)
	switch {
	case f.invalid:
		*field = nil
	case f.encoding:
		f.buffer = append(f.buffer, *field...)
		f.finishField(length == 0)
	case length == 0:
		*field = nil
	default:
		*field = f.buffer[:length:length]
		f.buffer = f.buffer[length:]
	}
}

// pastAttempts visits a list of attempts. Each has a length of its own, so that later versions may append fields to it.
func (f *fieldCodec) pastAttempts(field *[]message.PastAttempt) {
	count := f.length(len(*field), maxAttempts)
	switch {
	case f.invalid:
	case f.encoding:
		for i := range *field {
			f.encodePastAttempt(&(*field)[i])
		}
	default:
		*field = f.decodePastAttempts(count)
	}
}

func (f *fieldCodec) encodePastAttempt(attempt *message.PastAttempt) {
	lengthAt := len(f.buffer)
	f.buffer = append(f.buffer, 0)
	item := fieldCodec{}
	item.startEncoding(f.buffer)
	item.pastAttempt(attempt)
	f.buffer = item.buffer[:item.significant]
	f.buffer[lengthAt] = byte(item.significant - lengthAt - 1) // 30 at most
	f.invalid = f.invalid || item.invalid
	f.finishField(false)
}

func (f *fieldCodec) decodePastAttempts(count int) []message.PastAttempt {
	f.attempts = f.attempts[:0]
	for range count {
		size := f.length(0, MaxPayloadSize)
		if f.invalid {
			return nil
		}
		f.attempts = append(f.attempts, message.PastAttempt{})
		item := fieldCodec{}
		item.startDecoding(f.buffer[:size])
		item.pastAttempt(&f.attempts[len(f.attempts)-1])
		f.invalid = f.invalid || item.invalid
		f.buffer = f.buffer[size:]
	}
	if count == 0 {
		return nil
	}
	return f.attempts
}
