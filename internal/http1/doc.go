// Package http1 parses and writes the messages of HTTP/1.1 (RFC 9112) for connections that are served by an event loop.
//
// It owns the syntax and the framing of messages, and their limits: MaxHeaderSize and MaxBodySize. The parsers work on the
// bytes that a connection has received so far: Request.Parse and Response.Parse take one message from their start or return
// ErrIncomplete, and are then called again with more bytes. A body that does not end, such as a stream of events, is
// read piece by piece with a ChunkDecoder. Framing that two readers could understand in two ways is rejected with a
// ParseError, never guessed at.
//
// The package never touches a socket, a clock or a goroutine, does not know what a message is for, and imports nothing
// of this module. Its types are not safe for concurrent use.
package http1
