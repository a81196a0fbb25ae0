package http1

import "bytes"

// maxChunkedSize bounds the received bytes of a chunked body, including the framing of its chunks.
const maxChunkedSize = 2*MaxBodySize + MaxHeaderSize

// parseFraming reads the fields that determine the persistence of the connection and the framing of the body. Ambiguous framing
// is rejected, as another recipient could interpret it differently.
func (m *Message) parseFraming() error {
	m.framing, m.contentLength = framingUnspecified, 0
	isChunked := false
	for _, field := range m.Fields {
		switch {
		case field.hasName("Content-Length"):
			length, ok := ParseDecimal(field.Value)
			if !ok || m.framing == framingLength { // no usual client repeats the field, not even with the same value
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

// parseConnectionOptions reads the comma-separated options of a Connection field. If close and keep-alive occur, the last one
// applies.
func (m *Message) parseConnectionOptions(options []byte) {
	for len(options) > 0 {
		var option []byte
		option, options, _ = bytes.Cut(options, []byte(","))
		option = trimWhitespace(option)
		switch {
		case equalFold(option, "close"):
			m.KeepAlive = false
		case equalFold(option, "keep-alive"):
			m.KeepAlive = true
		}
	}
}

// parseBody parses the body at the start of input, and returns its length in bytes there. A body without framing is empty.
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

// parseChunkedBody parses the chunked body at the start of input, and joins the data of its chunks.
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
