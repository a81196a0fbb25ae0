package eventloop

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"
)

// streamOwner ignores events: the test calls the methods of its stream.
type streamOwner struct{ Stream }

func (o *streamOwner) HandleEvents(uint32) {}
func (o *streamOwner) HandlePanic()        {}

// openTestStream returns a stream and the descriptor of its peer.
func openTestStream(l *testLoop) (owner *streamOwner, peer int) {
	l.t.Helper()
	peer, fd := l.socketPair()
	owner = &streamOwner{}
	var err error
	if owner.Stream, err = l.OpenStream(fd, StreamEvents, owner); err != nil {
		l.t.Fatal(err)
	}
	return owner, peer
}

// writeAll writes b, which must fit into the socket's buffer.
func writeAll(t *testing.T, fd int, b []byte) {
	t.Helper()
	if n, err := unix.Write(fd, b); n != len(b) {
		t.Fatalf("wrote %d of %d bytes: %v", n, len(b), err)
	}
}

// readAvailable reads all available bytes.
func readAvailable(t *testing.T, fd int) (received []byte) {
	t.Helper()
	b := make([]byte, 64<<10)
	for {
		n, err := unix.Read(fd, b)
		if errors.Is(err, unix.EAGAIN) || n == 0 {
			return received
		}
		if err != nil {
			t.Fatal(err)
		}
		received = append(received, b[:n]...)
	}
}

func TestStreamKeepsInputUntilItIsConsumed(t *testing.T) {
	l := newTestLoop(t)
	stream, peer := openTestStream(l)
	writeAll(t, peer, []byte("one"))
	writeAll(t, peer, []byte("two"))
	if ended, err := stream.Fill(); ended || err != nil || string(stream.Input()) != "onetwo" {
		t.Errorf("read %q, ended %v, %v", stream.Input(), ended, err)
	}
	stream.Consume(3)
	if string(stream.Input()) != "two" {
		t.Errorf("%q is left", stream.Input())
	}
	if ended, err := stream.Fill(); ended || err != nil {
		t.Errorf("with nothing to read: ended %v, %v", ended, err)
	}
	if err := unix.Shutdown(peer, unix.SHUT_WR); err != nil {
		t.Fatal(err)
	}
	if ended, err := stream.Fill(); !ended || err != nil {
		t.Errorf("at the end: ended %v, %v", ended, err)
	}
}

func TestStreamFreesLargeEmptyBuffer(t *testing.T) {
	l := newTestLoop(t)
	stream, peer := openTestStream(l)
	writeAll(t, peer, make([]byte, 4*MaxIdleBuffer))
	if _, err := stream.Fill(); err != nil || stream.BufferSize() < 4*MaxIdleBuffer {
		t.Fatalf("%d bytes of buffers: %v", stream.BufferSize(), err)
	}
	if stream.Consume(len(stream.Input())); stream.BufferSize() != 0 {
		t.Errorf("%d bytes of empty buffers", stream.BufferSize())
	}
}

func TestStreamRequestsWritableOnlyWhileOutputIsBuffered(t *testing.T) {
	l := newTestLoop(t)
	stream, peer := openTestStream(l)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)
	if err := stream.Send(sent); err != nil {
		t.Fatal(err)
	}
	if len(stream.Output()) == 0 || stream.Events()&unix.EPOLLOUT == 0 {
		t.Fatalf("%d bytes wait, events %x", len(stream.Output()), stream.Events())
	}
	var received []byte
	for len(stream.Output()) > 0 {
		received = append(received, readAvailable(t, peer)...)
		if err := stream.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	received = append(received, readAvailable(t, peer)...)
	if !bytes.Equal(received, sent) || stream.Events() != StreamEvents {
		t.Errorf("received %d of %d bytes, events %x", len(received), len(sent), stream.Events())
	}
}

func TestStreamDiscardsWithoutBuffering(t *testing.T) {
	l := newTestLoop(t)
	stream, peer := openTestStream(l)
	writeAll(t, peer, make([]byte, 1000))
	if n, ended, err := stream.Discard(); n != 1000 || ended || err != nil || stream.BufferSize() != 0 {
		t.Errorf("discarded %d, ended %v, %v; %d bytes of buffers", n, ended, err, stream.BufferSize())
	}
	if err := unix.Shutdown(peer, unix.SHUT_WR); err != nil {
		t.Fatal(err)
	}
	if n, ended, err := stream.Discard(); n != 0 || !ended || err != nil {
		t.Errorf("at the end: discarded %d, ended %v, %v", n, ended, err)
	}
}

func TestStreamCanBeClosedTwice(t *testing.T) {
	l := newTestLoop(t)
	stream, _ := openTestStream(l)
	fd := stream.FD()
	if !stream.IsOpen() {
		t.Error("a stream that was opened is not open")
	}
	stream.Close()
	stream.Close()
	if stream.IsOpen() || isDescriptorOpen(fd) || l.closed != 1 {
		t.Errorf("open %v, descriptor open %v, closed %d times", stream.IsOpen(), isDescriptorOpen(fd), l.closed)
	}
}

func TestAddressesAreConvertedBothWays(t *testing.T) {
	for given, want := range map[string]string{
		"127.0.0.1:80":          "127.0.0.1:80",
		"[::1]:443":             "[::1]:443",
		"[::ffff:10.0.0.1]:123": "10.0.0.1:123",
	} {
		_, sockaddr := Sockaddr(netip.MustParseAddrPort(given))
		if got := AddrPort(sockaddr).String(); got != want {
			t.Errorf("%s is converted to %s", given, got)
		}
	}
	if got := AddrPort(&unix.SockaddrUnix{}); got.IsValid() {
		t.Errorf("the address of a Unix socket is converted to %v, expected none", got)
	}
}

func TestDialReachesListener(t *testing.T) {
	for _, errno := range []unix.Errno{0, unix.EINTR} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) { testDial(t, errno) })
	}
}

// testDial dials a listener; connect fails with an errno unless that is 0.
func testDial(t *testing.T, connectErrno unix.Errno) {
	t.Helper()
	l := newTestLoop(t)
	l.Syscalls().Interceptor = func(call Call, _ int) (injection Injection) {
		if call == CallConnect {
			injection.Errno = connectErrno
		}
		return injection
	}
	listener := &testHandler{loop: l, handle: l.record("connection")}
	var err error
	if listener.fd, err = l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), listener, unix.SO_REUSEPORT); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(listener.fd)
	if err != nil {
		t.Fatal(err)
	}
	fd, err := l.Dial(AddrPort(bound))
	if err != nil {
		t.Fatal(err)
	}
	owner := &streamOwner{}
	if owner.Stream, err = l.OpenStream(fd, StreamEvents|unix.EPOLLOUT, owner); err != nil {
		t.Fatal(err)
	}
	l.calls = nil
	if err := l.Run(func() bool { return len(l.calls) > 0 }); err != nil {
		t.Fatal(err)
	}
	if err := owner.ConnectError(); err != nil {
		t.Error(err)
	}
}
