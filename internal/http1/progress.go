package http1

import "errors"

// Progress is how far a request was parsed whose end was not received yet. With it a parser reads each byte of a request about once,
// into however many pieces the request is cut. The zero value is that of a request of which nothing was parsed. It belongs to one
// request: the input must start with the same bytes in each call.
type Progress struct {
	checkedSize    int // of the lines of the header section that are complete and valid, in bytes
	headerSize     int // 0: the header section is not complete
	neededSize     int // of the request, unless it is chunked
	expectContinue bool

	isChunked   bool
	decoder     ChunkDecoder
	decodedSize int // of the input that the decoder has consumed
	bodySize    int // of the chunks that the decoder has returned
}

// Resume is Parse for a request whose input was incomplete in earlier calls with the same progress. Its result is that of Parse, except
// that after ErrIncomplete only ExpectContinue is set.
func (r *Request) Resume(input []byte, progress *Progress) (size int, err error) {
	isFirst := progress.checkedSize == 0 // most requests come whole: nothing is checked twice
	if !isFirst {
		r.ExpectContinue = progress.expectContinue
		if err := progress.check(input); err != nil {
			return 0, err
		}
	}
	size, err = r.Parse(input)
	if errors.Is(err, ErrIncomplete) && (!isFirst || progress.checkHeader(input) == nil) {
		progress.startBody(r)
	}
	return size, err
}

// check returns nil if the request, or its header section for the first time, may be complete, and ErrIncomplete or a ParseError
// otherwise.
func (p *Progress) check(input []byte) error {
	if p.headerSize == 0 {
		return p.checkHeader(input)
	}
	return p.checkBody(input)
}

// startBody records the framing of a request whose header section is complete.
func (p *Progress) startBody(request *Request) {
	p.headerSize = p.checkedSize
	p.expectContinue = request.ExpectContinue
	p.isChunked = request.IsChunked()
	p.decodedSize = p.headerSize
	p.neededSize = p.headerSize + request.contentLength
}

// checkHeader checks the lines of the header section that were received since the last call. It returns nil once the section is
// complete, and ErrIncomplete or a ParseError otherwise.
func (p *Progress) checkHeader(input []byte) error {
	start := leadingBlankLineBytes(input)
	p.checkedSize = max(p.checkedSize, start)
	for {
		line, size, err := nextLine(input[start:], p.checkedSize-start, lineEndingStrict)
		if err != nil {
			return err
		}
		isFirst := p.checkedSize == start
		p.checkedSize += size
		if isFirst {
			continue
		}
		if len(line) == 0 {
			return nil
		}
		if _, err := parseField(line); err != nil {
			return err
		}
	}
}

// checkBody returns nil if the body may be complete, and ErrIncomplete or a ParseError otherwise.
func (p *Progress) checkBody(input []byte) error {
	if !p.isChunked {
		if len(input) < p.neededSize {
			return ErrIncomplete
		}
		return nil
	}
	for !p.decoder.IsDone() {
		data, consumed, err := p.decoder.Next(input[p.decodedSize:])
		if err != nil {
			return err
		}
		p.decodedSize += consumed
		p.bodySize += len(data)
		switch {
		case p.bodySize > MaxBodySize, consumed == 0 && len(input)-p.headerSize > maxChunkedSize:
			return bodyTooLarge()
		case consumed == 0:
			return ErrIncomplete
		}
	}
	return nil
}
