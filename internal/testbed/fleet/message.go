package fleet

import (
	"bytes"
	"errors"

	"valvecove/internal/http1"
)

// message is what the rig needs of a request or of an answer. Its parts lie in the bytes that it was read from.
type message struct {
	method, target []byte // of a request
	status         int    // of an answer
	requestID      []byte // X-Call-Id
	body           []byte
	lastOnConn     bool // the connection ends with it
}

// errFraming says that a body is not framed by a Content-Length. Nobody here sends any other.
var errFraming = errors.New("a message without a Content-Length")

// messageReader reads messages. It is used again, so that reading allocates nothing.
type messageReader struct {
	request  http1.Request
	response http1.Response
}

// read takes one message from the start of b, n bytes long; n is 0 while it is not complete. Interim answers are passed over.
func (r *messageReader) read(b []byte, m *message) (n int, err error) {
	*m = message{}
	if bytes.HasPrefix(b, []byte("HTTP/1.")) {
		n, err = r.readResponse(b, m)
	} else {
		n, err = r.readRequest(b, m)
	}
	if errors.Is(err, http1.ErrIncomplete) {
		return 0, nil
	}
	return n, err
}

func (r *messageReader) readRequest(b []byte, m *message) (int, error) {
	request := &r.request
	n, err := request.Parse(b)
	if request.IsChunked() {
		return 0, errFraming
	}
	if err != nil {
		return 0, err
	}
	m.method, m.target, m.requestID = request.Method, request.Target, request.Get("X-Call-Id")
	m.body, m.lastOnConn = request.Body, !request.KeepAlive
	return n, nil
}

func (r *messageReader) readResponse(b []byte, m *message) (int, error) {
	response := &r.response
	n, err := response.Parse(b, false)
	if response.IsChunked() || response.EndsWithConnection() {
		return 0, errFraming
	}
	if err != nil {
		return 0, err
	}
	m.status, m.body, m.lastOnConn = response.StatusCode, response.Body, !response.KeepAlive
	return n, nil
}
