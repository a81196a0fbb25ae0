package codec

import (
	"encoding/binary"
	"math"
	"math/bits"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// Bounds of single fields.
const (
	maxTextLength    = 255
	maxAttempts      = 255
	maxInternedNames = 64
)

// fieldCodec encodes the fields that it visits, or decodes into them, so that one function per kind of message serves
// both directions. Fields beyond the end of a decoded message are zero.
type fieldCodec struct {
	buffer      []byte // encoded so far, or left to be decoded
	significant int    // encoded bytes up to the last field that is not zero
	encoding    bool
	invalid     bool // a field is out of range, or bytes make no sense

	// What decoded messages refer to; reused from message to message.
	names    map[string]string
	attempts []message.PastAttempt
}

// startEncoding begins a message that is appended to buffer.
func (c *fieldCodec) startEncoding(buffer []byte) {
	c.buffer = buffer
	c.significant = len(buffer)
	c.encoding = true
	c.invalid = false
}

// startDecoding begins a message whose fields are in data.
func (c *fieldCodec) startDecoding(data []byte) {
	c.buffer = data
	c.encoding = false
	c.invalid = false
}

// fail marks the message as invalid; nothing more is decoded from it.
func (c *fieldCodec) fail() {
	c.invalid = true
	c.buffer = nil
}

// finishField ends an encoded field. One that is not zero is kept, with all fields before it.
func (c *fieldCodec) finishField(isZero bool) {
	if !isZero {
		c.significant = len(c.buffer)
	}
}

// unsigned visits a varint.
func (c *fieldCodec) unsigned(field *uint64) {
	if c.encoding {
		c.buffer = binary.AppendUvarint(c.buffer, *field)
		c.finishField(*field == 0)
		return
	}
	*field = 0
	if len(c.buffer) == 0 {
		return
	}
	value, size := binary.Uvarint(c.buffer)
	if size <= 0 {
		c.fail()
		return
	}
	*field = value
	c.buffer = c.buffer[size:]
}

// signed visits a varint in zigzag form.
func (c *fieldCodec) signed(field *int64) {
	value := uint64(*field<<1) ^ uint64(*field>>63)
	c.unsigned(&value)
	*field = int64(value>>1) ^ -int64(value&1)
}

// duration visits a time in nanoseconds.
func (c *fieldCodec) duration(field *time.Duration) {
	c.signed((*int64)(field))
}

// int visits a count or an index, which has to fit 32 bits.
func (c *fieldCodec) int(field *int) {
	value := int64(*field)
	c.signed(&value)
	if value < math.MinInt32 || value > math.MaxInt32 {
		c.invalid = true
		value = 0
	}
	*field = int(value)
}

// float visits a number, in a form that is short for numbers of few significant bits: the low bits, which are zero then,
// come last.
func (c *fieldCodec) float(field *float64) {
	value := bits.ReverseBytes64(math.Float64bits(*field))
	c.unsigned(&value)
	*field = math.Float64frombits(bits.ReverseBytes64(value))
}

// fixed visits a hash or an instant, which would be longer as a varint.
func (c *fieldCodec) fixed(field *uint64) {
	const size = 8
	if c.encoding {
		c.buffer = binary.LittleEndian.AppendUint64(c.buffer, *field)
		c.finishField(*field == 0)
		return
	}
	*field = 0
	switch {
	case len(c.buffer) == 0:
	case len(c.buffer) < size:
		c.fail()
	default:
		*field = binary.LittleEndian.Uint64(c.buffer)
		c.buffer = c.buffer[size:]
	}
}

// byte visits a number of eight bits.
func (c *fieldCodec) byte(field *uint8) {
	if c.encoding {
		c.buffer = append(c.buffer, *field)
		c.finishField(*field == 0)
		return
	}
	*field = 0
	if len(c.buffer) > 0 {
		*field = c.buffer[0]
		c.buffer = c.buffer[1:]
	}
}

// flags visits up to eight booleans in one byte. Unknown ones are skipped.
func (c *fieldCodec) flags(fields ...*bool) {
	var value uint8
	for i, field := range fields {
		if *field {
			value |= 1 << i
		}
	}
	c.byte(&value)
	for i, field := range fields {
		*field = value&(1<<i) != 0
	}
}

// result visits the result of an attempt or a health check.
func (c *fieldCodec) result(field *dispatch.Result) {
	value := uint8(*field)
	if c.encoding && int(*field) != int(value) {
		c.invalid = true
	}
	c.byte(&value)
	*field = dispatch.Result(value)
}

// length visits the length of what follows, of which each item takes a byte at least.
func (c *fieldCodec) length(n, limit int) int {
	value := uint64(n)
	c.unsigned(&value)
	if value > uint64(limit) || !c.encoding && value > uint64(len(c.buffer)) {
		c.fail()
		return 0
	}
	return int(value)
}

// text visits a name.
func (c *fieldCodec) text(field *string) {
	length := c.length(len(*field), maxTextLength)
	switch {
	case c.invalid:
		*field = ""
	case c.encoding:
		c.buffer = append(c.buffer, *field...)
		c.finishField(length == 0)
	default:
		*field = c.intern(c.buffer[:length])
		c.buffer = c.buffer[length:]
	}
}

// intern returns data as a string. Few different names occur, so most strings are allocated once.
func (c *fieldCodec) intern(data []byte) string {
	if name, ok := c.names[string(data)]; ok {
		return name
	}
	if c.names == nil || len(c.names) >= maxInternedNames {
		c.names = make(map[string]string, maxInternedNames)
	}
	name := string(data)
	c.names[name] = name
	return name
}

// bytes visits opaque data. Decoded data remains in the reader's buffer.
func (c *fieldCodec) bytes(field *[]byte) {
	length := c.length(len(*field), MaxPayloadSize)
	switch {
	case c.invalid:
		*field = nil
	case c.encoding:
		c.buffer = append(c.buffer, *field...)
		c.finishField(length == 0)
	case length == 0:
		*field = nil
	default:
		*field = c.buffer[:length:length]
		c.buffer = c.buffer[length:]
	}
}

// pastAttempts visits a list whose items have lengths of their own, so that later versions may append fields to them.
func (c *fieldCodec) pastAttempts(field *[]message.PastAttempt) {
	count := c.length(len(*field), maxAttempts)
	switch {
	case c.invalid:
	case c.encoding:
		for i := range *field {
			c.encodePastAttempt(&(*field)[i])
		}
	default:
		*field = c.decodePastAttempts(count)
	}
}

func (c *fieldCodec) encodePastAttempt(attempt *message.PastAttempt) {
	lengthAt := len(c.buffer)
	c.buffer = append(c.buffer, 0)
	item := fieldCodec{}
	item.startEncoding(c.buffer)
	item.pastAttempt(attempt)
	c.buffer = item.buffer[:item.significant]
	c.buffer[lengthAt] = byte(item.significant - lengthAt - 1) // 30 at most
	c.invalid = c.invalid || item.invalid
	c.finishField(false)
}

func (c *fieldCodec) decodePastAttempts(count int) []message.PastAttempt {
	c.attempts = c.attempts[:0]
	for range count {
		size := c.length(0, MaxPayloadSize)
		if c.invalid {
			return nil
		}
		c.attempts = append(c.attempts, message.PastAttempt{})
		item := fieldCodec{}
		item.startDecoding(c.buffer[:size])
		item.pastAttempt(&c.attempts[len(c.attempts)-1])
		c.invalid = c.invalid || item.invalid
		c.buffer = c.buffer[size:]
	}
	if count == 0 {
		return nil
	}
	return c.attempts
}
