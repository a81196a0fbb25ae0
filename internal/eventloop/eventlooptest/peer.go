package eventlooptest

import (
	"errors"
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
)

// sendBufferSize is the size in bytes of the send buffer of the loop's end. It is small, so that long messages are sent in parts.
const sendBufferSize = 8 << 10

// Peer is the remote end of a connection. Its methods do not block.
type Peer struct {
	FD       int
	Received []byte // everything that Read has read
	Ended    bool   // Read has found that the loop's end was closed
	Closed   bool   // Close was called
}

// SocketPair returns the remote end of a connection, which is closed at the end of the test, and the descriptor of the loop's
// end, which the caller owns.
func SocketPair(tb testing.TB) (peer *Peer, descriptor int) {
	tb.Helper()
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		tb.Fatal(err)
	}
	_ = unix.SetsockoptInt(descriptors[1], unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferSize)
	peer = &Peer{FD: descriptors[0]}
	tb.Cleanup(peer.Close)
	return peer, descriptors[1]
}

// Connect returns the remote end of a TCP connection to a listening socket. It is closed at the end of the test.
func Connect(tb testing.TB, listener int) *Peer {
	tb.Helper()
	address, err := unix.Getsockname(listener)
	if err != nil {
		tb.Fatal(err)
	}
	return ConnectToAddress(tb, eventloop.AddrPort(address))
}

// ConnectToAddress returns the remote end of a TCP connection to an address. It is closed at the end of the test.
func ConnectToAddress(tb testing.TB, address netip.AddrPort) *Peer {
	tb.Helper()
	family, sockaddr := eventloop.Sockaddr(address)
	descriptor, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = unix.Connect(descriptor, sockaddr)
	}
	if err == nil {
		err = unix.SetNonblock(descriptor, true)
	}
	if err != nil {
		tb.Fatal(err)
	}
	_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	peer := &Peer{FD: descriptor}
	tb.Cleanup(peer.Close)
	return peer
}

// Close closes this end. Closing twice does nothing.
func (p *Peer) Close() {
	if !p.Closed {
		p.Closed = true
		_ = unix.Close(p.FD)
	}
}

// Read reads at most maxBytes of what the loop has sent.
func (p *Peer) Read(maxBytes int) {
	buffer := make([]byte, maxBytes)
	for !p.Closed && !p.Ended && len(buffer) > 0 {
		size, err := unix.Read(p.FD, buffer)
		if errors.Is(err, unix.EAGAIN) {
			return
		}
		p.Ended = size <= 0
		if !p.Ended {
			p.Received = append(p.Received, buffer[:size]...)
			buffer = buffer[size:]
		}
	}
}

// Write writes as much as fits into the socket's buffer. Errors are ignored: the loop may have closed its end.
func (p *Peer) Write(content []byte) {
	if !p.Closed {
		_, _ = unix.Write(p.FD, content)
	}
}

// FillSocket fills a socket's send buffer, so that the socket is not writable. It returns the number of bytes written.
func FillSocket(descriptor int) (size int) {
	buffer := make([]byte, 512)
	for {
		n, err := unix.Write(descriptor, buffer)
		if err != nil {
			return size
		}
		size += n
	}
}
