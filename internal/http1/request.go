package http1

import "bytes"

// maxLeadingBlankLineBytes bounds the blank lines that are skipped before a request (RFC 9112, 2.2). Without a bound a peer
// could make the server buffer any number of them.
const maxLeadingBlankLineBytes = 8

// Request is a parsed request.
type Request struct {
	Message
	Method, Target []byte
	// ExpectContinue is set if the client waits for an interim response before it sends the body. It is also valid after Parse
	// has returned ErrIncomplete.
	ExpectContinue bool
}

// Parse parses one request, with its body, from the start of input, and returns its length in bytes. The error is ErrIncomplete
// or a ParseError.
func (r *Request) Parse(input []byte) (size int, err error) {
	r.ExpectContinue = false
	size = leadingBlankLineBytes(input)
	startLine, headerSize, err := r.parseHeaderSection(input[size:], lineEndingStrict)
	if err != nil {
		return 0, err
	}
	size += headerSize
	if err := r.parseRequestLine(startLine); err != nil {
		return 0, err
	}
	if err := r.parseFraming(); err != nil {
		return 0, err
	}
	r.parseExpect()
	bodySize, err := r.parseBody(input[size:])
	if err != nil {
		return 0, err
	}
	return size + bodySize, nil
}

// leadingBlankLineBytes returns the length of the blank lines before a request that are skipped.
func leadingBlankLineBytes(input []byte) int {
	count := 0
	for count < min(maxLeadingBlankLineBytes, len(input)) && (input[count] == '\r' || input[count] == '\n') {
		count++
	}
	return count
}

func (r *Request) parseRequestLine(line []byte) error {
	method, targetAndVersion, hasTarget := bytes.Cut(line, []byte(" "))
	target, version, hasVersion := bytes.Cut(targetAndVersion, []byte(" "))
	if !hasTarget || !hasVersion || !IsToken(method) || len(target) == 0 || !IsVisible(target) {
		return badRequest("not a request line")
	}
	r.Method, r.Target = method, target
	return r.parseVersion(version)
}

// parseExpect parses the Expect fields. If there are several, the last one applies.
func (r *Request) parseExpect() {
	for _, field := range r.Fields {
		if field.hasName("Expect") {
			r.ExpectContinue = equalFold(field.Value, "100-continue")
		}
	}
}
