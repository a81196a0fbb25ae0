package http1

import "bytes"

// A chunked body may come in many chunks, each framed by a line of its own; what is received of it in all may not exceed this.
const maxChunkedSize = 2*MaxBodySize + MaxHeaderSize

// parseFraming reads the fields that bear on the connection and on how the body ends. Anything that two readers could
// understand in two ways is rejected.
func (m *Message) parseFraming() error {
	m.framing, m.contentLength = framingUnspecified, 0
	isChunked := false
	for _, field := range m.Fields {
		switch {
		case field.hasName("Content-Length"):
			length, ok := ParseDecimal(field.Value)
			if !ok || m.framing == framingLength { // no usual client sends it twice, not even with the same value
				return badRequest("bad Content-Length")
			}
			m.framing, m.contentLength = framingLength, length
		case field.hasName("Transfer-Encoding"):
			if isChunked || !equalFold(field.Value, "chunked") {
				return &ParseError{StatusCode: StatusNotImplemented, Reason: "transfer coding not supported"}
			}
			isChunked = true
		case field.hasName("Connection"):
			m.parseConnectionOptions(field.Value)
		}
	}
	if isChunked {
		if m.framing == framingLength || m.version == version10 {
			return badRequest("Transfer-Encoding with Content-Length or HTTP/1.0")
		}
		m.framing = framingChunked
	}
	if m.contentLength > MaxBodySize {
		return bodyTooLarge()
	}
	return nil
}

// parseConnectionOptions reads the comma-separated options of a Connection field; the last one of several holds.
func (m *Message) parseConnectionOptions(options []byte) {
	for len(options) > 0 {
		var option []byte
		option, options, _ = bytes.Cut(options, []byte(","))
		option = trimBlanks(option)
		switch {
		case equalFold(option, "close"):
			m.KeepAlive = false
		case equalFold(option, "keep-alive"):
			m.KeepAlive = true
		}
	}
}

// parseBody takes the body at the start of input and returns how many bytes it took. A body without framing is empty.
func (m *Message) parseBody(input []byte) (size int, err error) {
	if m.framing == framingChunked {
		return m.parseChunkedBody(input)
	}
	if len(input) < m.contentLength {
		return 0, ErrIncomplete
	}
	m.Body = input[:m.contentLength]
	return m.contentLength, nil
}

// parseChunkedBody reads a chunked body from its first byte, joining its chunks.
func (m *Message) parseChunkedBody(input []byte) (size int, err error) {
	m.chunkedBody = m.chunkedBody[:0]
	var decoder ChunkDecoder
	for {
		data, consumed, err := decoder.Next(input[size:])
		if err != nil {
			return 0, err
		}
		size += consumed
		m.chunkedBody = append(m.chunkedBody, data...)
		switch {
		case len(m.chunkedBody) > MaxBodySize:
			return 0, bodyTooLarge()
		case decoder.IsDone():
			m.Body = m.chunkedBody
			return size, nil
		case consumed == 0 && len(input) > maxChunkedSize:
			return 0, bodyTooLarge()
		case consumed == 0:
			return 0, ErrIncomplete
		}
	}
}
