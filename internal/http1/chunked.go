package http1

import "bytes"

const (
	maxChunkLineSize   = 256 // bytes of a line between chunks that has not ended yet
	maxChunkSizeDigits = 7   // hexadecimal
)

// ChunkDecoder reads a chunked body piece by piece, as it arrives. Its zero value is at the body's first byte. A body of any
// length takes no memory.
type ChunkDecoder struct {
	state     chunkState
	remaining int // bytes of the present chunk's data
}

// chunkState says what comes next in a chunked body.
type chunkState int

const (
	chunkStateSize    chunkState = iota // the line with the next chunk's size
	chunkStateData                      // the chunk's data
	chunkStateDataEnd                   // the line end behind the data
	chunkStateTrailer                   // a trailer field, or the blank line that ends the body
	chunkStateDone                      // nothing: the body has ended
)

// String implements fmt.Stringer.
func (s chunkState) String() string {
	switch s {
	case chunkStateSize:
		return "size"
	case chunkStateData:
		return "data"
	case chunkStateDataEnd:
		return "data end"
	case chunkStateTrailer:
		return "trailer"
	case chunkStateDone:
		return "done"
	}
	return "invalid"
}

// IsDone reports whether the body's last byte has been consumed.
func (d *ChunkDecoder) IsDone() bool { return d.state == chunkStateDone }

// Next consumes one piece of the body from the start of input: some data, which lies in input, or a line of framing, which has
// no data. Where consumed is 0 and the body is not done, more input is needed. After an error, which is a ParseError, the
// decoder can't be used any more.
func (d *ChunkDecoder) Next(input []byte) (data []byte, consumed int, err error) {
	if len(input) == 0 || d.state == chunkStateDone {
		return nil, 0, nil
	}
	if d.state == chunkStateData {
		data = input[:min(d.remaining, len(input))]
		d.remaining -= len(data)
		if d.remaining == 0 {
			d.state = chunkStateDataEnd
		}
		return data, len(data), nil
	}
	length := bytes.IndexByte(input, '\n')
	if length < 0 {
		if len(input) > maxChunkLineSize {
			return nil, 0, badRequest("chunk line too long")
		}
		return nil, 0, nil
	}
	if err := d.consumeLine(bytes.TrimSuffix(input[:length], []byte("\r"))); err != nil {
		return nil, 0, err
	}
	return nil, length + 1, nil
}

// consumeLine consumes a line between the data of two chunks.
func (d *ChunkDecoder) consumeLine(line []byte) error {
	switch d.state {
	case chunkStateSize:
		size, err := parseChunkSize(line)
		if err != nil {
			return err
		}
		d.remaining = size
		d.state = chunkStateData
		if size == 0 {
			d.state = chunkStateTrailer
		}
	case chunkStateDataEnd:
		if len(line) > 0 {
			return badRequest("chunk longer than it said")
		}
		d.state = chunkStateSize
	case chunkStateTrailer:
		if len(line) == 0 {
			d.state = chunkStateDone
		}
	case chunkStateData, chunkStateDone: // no line is read then
	}
	return nil
}

// parseChunkSize reads the size in front of a chunk; extensions behind it are ignored.
func parseChunkSize(line []byte) (int, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = trimBlanks(digits)
	if len(digits) == 0 || len(digits) > maxChunkSizeDigits {
		return 0, badRequest("bad chunk size")
	}
	size := 0
	for _, char := range digits {
		digit := hexDigit(char)
		if digit < 0 {
			return 0, badRequest("bad chunk size")
		}
		size = size<<4 | digit
	}
	return size, nil
}

// hexDigit returns the value of a hexadecimal digit, -1 if char is none.
func hexDigit(char byte) int {
	switch {
	case '0' <= char && char <= '9':
		return int(char - '0')
	case 'a' <= char && char <= 'f':
		return int(char-'a') + 10
	case 'A' <= char && char <= 'F':
		return int(char-'A') + 10
	}
	return -1
}
