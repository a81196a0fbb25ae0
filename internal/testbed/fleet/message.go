package fleet

import (
	"bytes"
	"errors"

	"valvecove/internal/http1"
)

// message has the parts of a request or of a response that the rig needs. Its slices refer to the bytes it was parsed from.
type message struct {
	method, target []byte // of a request
	status         int    // of a response; 0 for a request
	requestID      []byte // X-Call-Id
	body           []byte
	lastOnConn     bool // the connection closes after it
}

// errFraming is returned for a body that is not framed by Content-Length. No party of a run sends such bodies.
var errFraming = errors.New("a message without a Content-Length")

// messageReader reads messages. It keeps its memory, so that reading does not allocate.
type messageReader struct {
	request  http1.Request
	response http1.Response
}

// read parses one message at the start of b, and returns its length. That is 0 while the message is incomplete. Interim
// responses are skipped.
func (r *messageReader) read(b []byte, parsed *message) (size int, err error) {
	*parsed = message{}
	if bytes.HasPrefix(b, []byte("HTTP/1.")) {
		size, err = r.readResponse(b, parsed)
	} else {
		size, err = r.readRequest(b, parsed)
	}
	if errors.Is(err, http1.ErrIncomplete) {
		return 0, nil
	}
	return size, err
}

func (r *messageReader) readRequest(b []byte, parsed *message) (int, error) {
	request := &r.request
	size, err := request.Parse(b)
	if request.IsChunked() {
		return 0, errFraming
	}
	if err != nil {
		return 0, err
	}
	parsed.method, parsed.target = request.Method, request.Target
	parsed.requestID = request.Get("X-Call-Id")
	parsed.body = request.Body
	parsed.lastOnConn = !request.KeepAlive
	return size, nil
}

func (r *messageReader) readResponse(b []byte, parsed *message) (int, error) {
	response := &r.response
	size, err := response.Parse(b, false)
	if response.IsChunked() || response.IsCloseDelimited() {
		return 0, errFraming
	}
	if err != nil {
		return 0, err
	}
	parsed.status = response.StatusCode
	parsed.body = response.Body
	parsed.lastOnConn = !response.KeepAlive
	return size, nil
}
