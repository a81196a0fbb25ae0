package badclients

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Behaviours of clients that write slowly or stop half way.
const (
	halfBody         = "stop in a large body"
	slowBody         = "write a large body slowly"
	manyFields       = "write very many short fields"
	unfinishedFields = "stop in very many short fields"
	byteByByte       = "write byte by byte"
	tinyChunks       = "write chunks of one byte"
	halfAhead        = "stop in a large body behind a running request"
)

var slowBehaviours = []string{halfBody, slowBody, manyFields, unfinishedFields, byteByByte, tinyChunks, halfAhead}

const (
	largeBody        = 65_000 // bytes
	partOfLargeBody  = 60_000
	shortFields      = 3_900
	unfinishedCount  = 1_500
	tinyChunkCount   = 9_000
	slowPause        = 2 * time.Millisecond
	stalledFor       = 3500 * time.Millisecond // a client that stops is owed an error or a close within 3 s
	misbehavingClass = classCheck
	badBudget        = 2 * time.Second
)

// slowRequest is what a client writes: a text in pieces, after which it may stop for a time.
type slowRequest struct {
	text      string
	pieceSize int // bytes
	stalls    bool
}

// newSlowRequest returns the request of a behaviour.
func newSlowRequest(behaviour, id string) slowRequest {
	start := requestStart(misbehavingClass, id, badBudget, "")
	largeStart := start + fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBody)
	switch behaviour {
	case halfBody:
		return slowRequest{largeStart + strings.Repeat("x", partOfLargeBody), 2000, true}
	case slowBody:
		return slowRequest{largeStart + strings.Repeat("x", largeBody), 2000, false}
	case manyFields:
		return slowRequest{start + strings.Repeat("a:\r\n", shortFields) + "Content-Length: 0\r\n\r\n", 200, false}
	case unfinishedFields:
		return slowRequest{start + strings.Repeat("a:\r\n", unfinishedCount), 200, true}
	case byteByByte:
		return slowRequest{start + strings.Repeat("a:\r\n", 100) + "Content-Length: 0\r\n\r\n", 1, false}
	case tinyChunks:
		return slowRequest{start + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", tinyChunkCount) + "0\r\n\r\n", 400, false}
	default: // halfAhead
		first := requestText(classPayout, id+"-first", badBudget, "", "")
		return slowRequest{first + largeStart + strings.Repeat("x", partOfLargeBody), 2000, true}
	}
}

// writeTo writes the request in its pieces, until it fails or stop is closed.
func (s slowRequest) writeTo(connection net.Conn, stop <-chan struct{}) {
	for text := s.text; len(text) > 0; {
		size := min(s.pieceSize, len(text))
		if _, err := io.WriteString(connection, text[:size]); err != nil {
			return
		}
		text = text[size:]
		if !waitUnless(stop, slowPause) {
			return
		}
	}
	if s.stalls {
		waitUnless(stop, stalledFor)
	}
}

// waitUnless waits for a time, and reports whether stop was not closed in it.
func waitUnless(stop <-chan struct{}, wait time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(wait):
		return true
	}
}
