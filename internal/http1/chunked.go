package http1

import "bytes"

const (
	maxChunkLineSize   = MaxHeaderSize // bytes of a line between chunks, without its end
	maxChunkSizeDigits = 7             // hexadecimal, without leading zeros
)

// ChunkDecoder decodes a chunked body incrementally. Its zero value expects the first byte of the body. It buffers nothing.
type ChunkDecoder struct {
	state     chunkState
	remaining int // bytes of the current chunk's data
}

// chunkState is the element of a chunked body that the decoder expects next.
type chunkState int

const (
	chunkStateSize    chunkState = iota // the line with the size of the next chunk
	chunkStateData                      // the chunk's data
	chunkStateDataEnd                   // the line end after the data
	chunkStateTrailer                   // a trailer field, or the blank line that ends the body
	chunkStateDone                      // none: the body has ended
)

// String returns the name of the state.
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

// Next decodes the next part of the body from the start of input: either data, which is a slice of input, or a line of framing,
// for which data is empty. If consumed is 0 and the body has not ended, more input is needed. After an error, which is a
// ParseError, the decoder must not be used again.
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
	if length > maxChunkLineSize || length < 0 && len(input) > maxChunkLineSize { // whether it came in one piece or in several
		return nil, 0, badRequest("chunk line too long")
	}
	if length < 0 {
		return nil, 0, nil
	}
	if err := d.consumeLine(bytes.TrimSuffix(input[:length], []byte("\r"))); err != nil {
		return nil, 0, err
	}
	return nil, length + 1, nil
}

// consumeLine handles a line of framing: a chunk size, the line end after a chunk's data, or a trailer field.
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
	case chunkStateData, chunkStateDone: // Next reads no line in these states
	}
	return nil
}

// parseChunkSize parses a chunk size, which may have any number of leading zeros (RFC 9112, 7.1). Chunk extensions are ignored.
func parseChunkSize(line []byte) (int, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = trimWhitespace(digits)
	if len(digits) == 0 {
		return 0, badRequest("bad chunk size")
	}
	digits = trimLeadingZeros(digits)
	if len(digits) > maxChunkSizeDigits {
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

// hexDigit returns the value of a hexadecimal digit, or -1 if char is not one.
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
