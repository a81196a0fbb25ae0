package codec

import (
	"encoding/binary"
	"math"
	"math/bits"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// Limits of fields.
const (
	maxTextLength    = 255 // bytes
	maxAttempts      = 255 // past attempts in a request offer
	maxInternedNames = 64  // names that a decoder keeps
)

// fieldCodec visits the fields of a message and either encodes or decodes them, so that one function per kind of message serves
// both directions. Fields beyond the end of a decoded message are set to zero.
type fieldCodec struct {
	buffer      []byte // bytes encoded so far, or bytes still to be decoded
	significant int    // length of the encoded bytes up to the last field that is not zero
	encoding    bool   // whether fields are encoded or decoded
	invalid     bool   // a field is out of range, or the bytes are malformed

	// Memory that decoded messages refer to. The attempts are overwritten by the next message.
	names    map[string]string
	attempts []message.PastAttempt
}

// startEncoding starts encoding a message, which is appended to buffer.
func (f *fieldCodec) startEncoding(buffer []byte) {
	f.buffer = buffer
	f.significant = len(buffer)
	f.encoding = true
	f.invalid = false
}

// startDecoding starts decoding a message from the encoded fields in data.
func (f *fieldCodec) startDecoding(data []byte) {
	f.buffer = data
	f.encoding = false
	f.invalid = false
}

// fail marks the message as invalid, and drops the bytes that are still to be decoded.
func (f *fieldCodec) fail() {
	f.invalid = true
	f.buffer = nil
}

// finishField is called after a field was encoded. A nonzero field makes itself and all fields before it significant.
func (f *fieldCodec) finishField(isZero bool) {
	if !isZero {
		f.significant = len(f.buffer)
	}
}

// unsigned visits an unsigned integer, encoded as a varint.
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

// signed visits a signed integer, encoded as a zigzag varint.
func (f *fieldCodec) signed(field *int64) {
	value := uint64(*field<<1) ^ uint64(*field>>63)
	f.unsigned(&value)
	*field = int64(value>>1) ^ -int64(value&1)
}

// duration visits a duration in nanoseconds.
func (f *fieldCodec) duration(field *time.Duration) {
	f.signed((*int64)(field))
}

// int visits a count or an index, which must fit into 32 bits.
func (f *fieldCodec) int(field *int) {
	value := int64(*field)
	f.signed(&value)
	if value < math.MinInt32 || value > math.MaxInt32 {
		f.invalid = true
		value = 0
	}
	*field = int(value)
}

// float visits a floating-point number, encoded as a varint of its bytes in reverse order. That is short for numbers with few
// significant bits, as their low bytes are zero.
func (f *fieldCodec) float(field *float64) {
	value := bits.ReverseBytes64(math.Float64bits(*field))
	f.unsigned(&value)
	*field = math.Float64frombits(bits.ReverseBytes64(value))
}

// fixed visits a hash or a point in time, encoded in eight bytes because a varint would usually be longer.
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

// byte visits an 8-bit number.
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

// flags visits up to eight booleans, encoded as the bits of one byte. Unknown bits are ignored.
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

// length visits the number of items that follow, each of which takes at least one byte. It fails if the number exceeds limit or
// the remaining bytes.
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

// intern returns data as a string. As there are few distinct names, it keeps them and does not allocate a known name again.
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

// bytes visits opaque data. Decoded data refers to the reader's buffer.
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

// pastAttempts visits a list of attempts. Each attempt is preceded by its length, so that later versions can append fields to it.
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
	f.buffer[lengthAt] = byte(item.significant - lengthAt - 1) // at most 30, so one byte is enough
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
