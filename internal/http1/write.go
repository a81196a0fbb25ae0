package http1

import "strconv"

// ContinueResponse is the interim response upon which a client sends its body. Any client must skip it if it does not expect
// one.
const ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// AppendResponse appends a response to buffer and returns the extended buffer. fields contains additional header lines, each
// with its line ending. Unless keepAlive is set, the response has the field Connection: close. With status 204 body is ignored.
func AppendResponse(buffer []byte, statusCode int, fields string, body []byte, keepAlive bool) []byte {
	buffer = append(buffer, "HTTP/1.1 "...)
	buffer = strconv.AppendInt(buffer, int64(statusCode), 10)
	buffer = append(buffer, ' ')
	buffer = append(buffer, reasonPhrases[statusCode]...)
	buffer = append(buffer, "\r\n"...)
	hasBody := statusCode != StatusNoContent
	if hasBody {
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, int64(len(body)), 10)
		buffer = append(buffer, "\r\n"...)
	}
	buffer = append(buffer, fields...)
	if !keepAlive {
		buffer = append(buffer, "Connection: close\r\n"...)
	}
	buffer = append(buffer, "\r\n"...)
	if hasBody {
		buffer = append(buffer, body...)
	}
	return buffer
}

// AppendField appends a header field, unless its value is empty.
func AppendField(buffer []byte, name, value string) []byte {
	if value == "" {
		return buffer
	}
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = append(buffer, value...)
	return append(buffer, "\r\n"...)
}

// AppendRequestStart appends a request line and the Host field, unless hostname is empty. The caller appends further fields, a
// blank line and the body.
func AppendRequestStart(buffer []byte, method, target, hostname string) []byte {
	buffer = append(buffer, method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, target...)
	buffer = append(buffer, " HTTP/1.1\r\n"...)
	return AppendField(buffer, "Host", hostname)
}
