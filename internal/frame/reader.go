package frame

import (
	"encoding/binary"

	"valvecove/internal/tier"
)

// Reader takes frames apart. It is used by one goroutine.
type Reader struct {
	buf   []byte
	at    int // the first byte that was not read
	end   int // of the payload at hand; at or before at: there is none
	limit int
	major byte
	minor byte
	epoch tier.Epoch
	err   error
	parts parts
}

// NewReader returns a reader of frames whose payload is no longer than limit; 0 is Longest.
func NewReader(limit int) *Reader {
	if limit <= 0 || limit > Longest {
		limit = Longest
	}
	return &Reader{limit: limit}
}

// Feed takes in what came, in pieces of any size, and keeps nothing of b. Each Feed wants Next until it has no more.
func (r *Reader) Feed(b []byte) {
	if r.err != nil {
		return
	}
	switch rest := len(r.buf) - r.at; {
	case rest == 0:
		if r.buf = r.buf[:0]; cap(r.buf) > reused {
			r.buf = nil
		}
		r.at, r.end = 0, 0
	case r.at >= rest: // so that no byte is moved more than once, on the mean
		copy(r.buf, r.buf[r.at:])
		r.buf = r.buf[:rest]
		r.end = max(r.end-r.at, 0)
		r.at = 0
	}
	r.buf = append(r.buf, b...)
}

// Next gives the next message, if there is a whole one. What m points to, and its Bytes, hold until the next call of
// either. An error ends the stream, and is given again and again.
func (r *Reader) Next(m *tier.Message) (ok bool, err error) {
	for r.err == nil {
		if r.at < r.end {
			if known := r.message(m); r.err == nil && known {
				return true, nil
			}
			continue
		}
		if !r.frame() {
			break
		}
	}
	return false, r.err
}

// frame begins the next one, if it is there whole and is right.
func (r *Reader) frame() bool {
	f := r.buf[r.at:]
	switch {
	case len(f) > 0 && f[0] != magic0 || len(f) > 1 && f[1] != magic1:
		r.err = ErrNotFrames
	case len(f) < headerSize:
		return false
	case f[7] != check(f):
		r.err = ErrCorrupt
	}
	if r.err != nil {
		return false
	}
	n := int(f[4]) | int(f[5])<<8 | int(f[6])<<16
	switch whole := len(f) >= headerSize+n; {
	case n > r.limit:
		r.err = ErrTooLong
	case whole && checksum(f[:headerSize+n]) != binary.LittleEndian.Uint32(f[8:]):
		r.err = ErrCorrupt
	case whole:
		r.major, r.minor, r.epoch = f[2], f[3], 0
		r.at += headerSize
		r.end = r.at + n
		return true
	}
	return false
}

// message takes the next one of the payload at hand. known is false for one that is to be skipped.
func (r *Reader) message(m *tier.Message) (known bool) {
	left := r.buf[r.at:r.end]
	size, n := binary.Uvarint(left)
	if n <= 0 || size == 0 || size > uint64(len(left)-n) {
		r.err = ErrMalformed
		return false
	}
	body := left[n : n+int(size)]
	r.at += n + int(size)
	*m = tier.Message{Kind: tier.Kind(body[0])}
	if r.major != Major && m.Kind != tier.Hello && m.Kind != tier.Welcome && m.Kind != tier.Greet {
		r.err = &VersionError{Theirs: int(r.major)<<8 | int(r.minor), Ours: Version}
		return false
	}
	ahead, n := binary.Varint(body[1:])
	if n <= 0 {
		r.err = ErrMalformed
		return false
	}
	r.epoch += tier.Epoch(ahead)
	m.Epoch = r.epoch
	c := walk{b: body[1+n:], parts: &r.parts}
	known = c.message(m)
	newer := r.major != Major || r.minor > Minor
	if c.bad || !newer && (!known || len(c.b) > 0) {
		r.err = ErrMalformed
	}
	return known
}
