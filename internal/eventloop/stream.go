package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// StreamEvents are the events that a stream is opened with: input, and the peer's end.
const StreamEvents = unix.EPOLLIN | unix.EPOLLRDHUP

// MaxIdleBuffer is how many bytes of a buffer an idle stream may keep.
const MaxIdleBuffer = 4 << 10

// maxDiscards is how many reads one call of Discard makes, so that other streams are served too.
const maxDiscards = 16

// Stream is a non-blocking socket with what was read and is not consumed yet, and what was not sent yet. The zero value is a
// closed one. It is not copied once it is in use.
type Stream struct {
	loop   *Loop
	fd     int
	input  []byte
	output []byte
	events uint32 // asked of epoll
	open   bool
}

// OpenStream makes a stream of a socket and adds it, with its owner as the handler. On an error the caller owns the socket.
func (l *Loop) OpenStream(fd int, events uint32, owner Handler) (Stream, error) {
	_ = l.syscalls.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := l.Add(fd, events, owner); err != nil {
		return Stream{}, err
	}
	return Stream{loop: l, fd: fd, events: events, open: true}, nil
}

// IsOpen reports whether the stream was opened and not closed since.
func (s *Stream) IsOpen() bool { return s.open }

// FD returns the socket; it is the stream's.
func (s *Stream) FD() int { return s.fd }

// Input returns what was read and is not consumed yet. It is void with the next call that reads or consumes.
func (s *Stream) Input() []byte { return s.input }

// Output returns what waits to be sent.
func (s *Stream) Output() []byte { return s.output }

// BufferSize returns how many bytes of memory the buffers take up.
func (s *Stream) BufferSize() int { return cap(s.input) + cap(s.output) }

// SetBuffers gives the stream what another process had read and not sent. It does not wait for room to write; see
// UpdateEvents.
func (s *Stream) SetBuffers(input, output []byte) { s.input, s.output = input, output }

// AppendInput adds bytes that were read from the socket by other means than Fill.
func (s *Stream) AppendInput(b []byte) { s.input = append(s.input, b...) }

// TakeOutput returns what waits to be sent, which the caller sends instead.
func (s *Stream) TakeOutput() []byte {
	output := s.output
	s.output = nil
	return output
}

// DropInput drops all that was read.
func (s *Stream) DropInput() { s.input = nil }

// ConnectError returns how a connection that was started came out, once it can be written to.
func (s *Stream) ConnectError() error {
	code, err := s.loop.syscalls.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	return err
}

// Fill reads what has come, at most one read buffer of it. ended reports that no more will come.
func (s *Stream) Fill() (ended bool, err error) {
	for {
		n, err := s.loop.syscalls.Read(s.fd, s.loop.readBuffer)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return false, nil
		case err != nil:
			return true, err
		case n == 0:
			return true, nil
		default:
			s.AppendInput(s.loop.readBuffer[:n])
			return false, nil // level-triggered: there is another event for the rest
		}
	}
}

// Discard reads what has come without keeping it, so much at most that other streams are served too. For TCP the kernel does
// not even copy it. n counts the bytes; ended reports that no more will come.
func (s *Stream) Discard() (n int, ended bool, err error) {
	for range maxDiscards {
		got, err := s.loop.syscalls.Recvfrom(s.fd, s.loop.readBuffer, unix.MSG_TRUNC|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return n, false, nil
		case err != nil:
			return n, true, err
		case got == 0:
			return n, true, nil
		}
		n += max(got, 0)
	}
	return n, false, nil
}

// Consume drops the first n bytes of the input.
func (s *Stream) Consume(n int) { s.input = dropFront(s.input, n) }

// Send writes b after what is already waiting.
func (s *Stream) Send(b []byte) error {
	if len(s.output) == 0 {
		n, err := s.write(b)
		if err != nil {
			return err
		}
		b = b[n:]
	}
	s.output = append(s.output, b...)
	s.UpdateEvents()
	return nil
}

// Flush writes what waits.
func (s *Stream) Flush() error {
	n, err := s.write(s.output)
	s.output = dropFront(s.output, n)
	s.UpdateEvents()
	return err
}

// dropFront drops the first n bytes of a buffer, and a large buffer that is empty then.
func dropFront(buffer []byte, n int) []byte {
	remaining := copy(buffer, buffer[n:])
	if remaining == 0 && cap(buffer) > MaxIdleBuffer {
		return nil
	}
	return buffer[:remaining]
}

// write returns how many bytes the socket has taken.
func (s *Stream) write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		n, err := s.loop.syscalls.Write(s.fd, b[done:])
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return done, nil
		case err != nil:
			return done, err
		default:
			done += n
		}
	}
	return done, nil
}

// UpdateEvents waits for room to write only while something waits to be written.
func (s *Stream) UpdateEvents() {
	events := s.events &^ unix.EPOLLOUT
	if len(s.output) > 0 {
		events |= unix.EPOLLOUT
	}
	s.SetEvents(events)
}

// Events returns the events that the stream waits for.
func (s *Stream) Events() uint32 { return s.events }

// SetEvents changes them.
func (s *Stream) SetEvents(events uint32) {
	if events != s.events && s.open {
		s.events = events
		s.loop.Modify(s.fd, events)
	}
}

// CloseWrite ends what this side sends; the peer may still send.
func (s *Stream) CloseWrite() { _ = s.loop.syscalls.Shutdown(s.fd, unix.SHUT_WR) }

// Close closes the socket and drops the buffers. Closing twice does nothing.
func (s *Stream) Close() {
	if s.open {
		s.open = false
		s.loop.Remove(s.fd)
		s.input, s.output = nil, nil
	}
}
