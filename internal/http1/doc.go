// Package http1 parses and writes the messages of HTTP/1.1 (RFC 9112) for connections that are served by an event loop.
//
// It defines the syntax and the framing of messages, and their limits, MaxHeaderSize and MaxBodySize. The parsers read from the
// bytes that a connection has received so far: Request.Parse and Response.Parse parse one message from their start, or return
// ErrIncomplete and are called again with more bytes. A body without an end, such as a stream of events, is decoded
// incrementally by a ChunkDecoder. Ambiguous framing is rejected with a ParseError.
//
// The package does no I/O, reads no clock, starts no goroutine, does not depend on the meaning of messages, and imports no
// other package of this module. Its types are not safe for concurrent use.
package http1
