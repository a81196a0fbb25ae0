package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// StreamEvents are the events that a stream is opened with: input, and the peer's end.
const StreamEvents = unix.EPOLLIN | unix.EPOLLRDHUP

// MaxIdleBuffer is how many bytes of a buffer an idle stream may keep.
const MaxIdleBuffer = 4 << 10

// maxDiscards is how many reads one call of Discard makes, so that other streams are served too.
const maxDiscards = 16

const (
	maxTransferTries = 16                    // of one read or write that is interrupted each time
	minTransferPause = time.Millisecond      // after the machine lacked memory for a read or a write; it doubles while that lasts
	maxTransferPause = 50 * time.Millisecond // the longest
	transferNothing  = -1                    // of a read or write: there is nothing to be had, or no room, now
)

// Stream is a non-blocking socket with what was read and is not consumed yet, and what was not sent yet. The zero value is a
// closed one. It is not copied once it is in use.
type Stream struct {
	loop   *Loop
	fd     int
	input  []byte
	output []byte
	events uint32 // that are waited for
	open   bool

	paused uint32        // events of these are not waited for now: the machine lacked memory for what they stand for
	resume *Timer        // while any are paused
	pause  time.Duration // the last one, since a read or write went well; 0: there was none

	inputHeldSince time.Duration // the machine lacked memory to read what had come; 0: it did not
	inputCameAt    time.Duration // what was read last; 0: nothing was read
}

// OpenStream makes a stream of a socket and adds it, with its owner as the handler. On an error the caller owns the socket.
func (l *Loop) OpenStream(fd int, events uint32, owner Handler) (Stream, error) {
	l.setOption(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := l.addEventually(fd, events, owner); err != nil {
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

// Fill reads what has come, at most one read buffer of it. ended reports that no more will come. Where the machine lacks memory
// for it, it is read later.
func (s *Stream) Fill() (ended bool, err error) {
	n, err := s.transfer(CallRead, func() (int, error) { return s.loop.syscalls.Read(s.fd, s.loop.readBuffer) })
	switch {
	case err != nil:
		return true, err
	case n == 0:
		return true, nil
	case n > 0:
		s.AppendInput(s.loop.readBuffer[:n])
		s.inputCameAt = s.loop.now
		if s.inputHeldSince > 0 {
			s.inputCameAt, s.inputHeldSince = s.inputHeldSince, 0
		}
	}
	return false, nil // level-triggered: there is another event for the rest
}

// Discard reads what has come without keeping it, so much at most that other streams are served too. For TCP the kernel does
// not even copy it. n counts the bytes; ended reports that no more will come.
func (s *Stream) Discard() (n int, ended bool, err error) {
	for range maxDiscards {
		got, err := s.transfer(CallReceive, func() (int, error) {
			return s.loop.syscalls.Recvfrom(s.fd, s.loop.readBuffer, unix.MSG_TRUNC|unix.MSG_DONTWAIT)
		})
		switch {
		case err != nil:
			return n, true, err
		case got == transferNothing:
			return n, false, nil
		case got == 0:
			return n, true, nil
		}
		n += got
	}
	return n, false, nil
}

// transfer makes a call that reads or writes. It returns transferNothing if that has to wait: for an event, or, where the
// machine lacks memory, for a while, in which there are no events for such calls: they would be there again at once. Any other
// error is the end of the connection, whichever errno it is.
func (s *Stream) transfer(call Call, act func() (int, error)) (n int, err error) {
	for range maxTransferTries {
		if n, err = act(); err == nil {
			s.pause = 0
			return n, nil
		}
		switch class := Classify(call, err); {
		case class == ErrorRetry:
			continue
		case class == ErrorPending:
			return transferNothing, nil
		case class.IsShortage():
			s.pauseFor(call)
			return transferNothing, nil
		}
		return transferNothing, err
	}
	s.pauseFor(call)
	return transferNothing, nil
}

// pauseFor waits for no events for a kind of call for a while, which is longer each time that it is needed again.
func (s *Stream) pauseFor(call Call) {
	events := uint32(StreamEvents)
	if call == CallWrite {
		events = unix.EPOLLOUT
	}
	if !s.open || s.paused&events != 0 {
		return
	}
	s.paused |= events
	if call == CallRead && s.inputHeldSince == 0 {
		s.inputHeldSince = s.loop.now
	}
	if s.resume == nil {
		s.pause = min(max(minTransferPause, 2*s.pause), maxTransferPause)
		s.resume = s.loop.After(s.pause, s.endPause)
	}
	s.updateInterest()
}

// PauseInput waits for no input for a while, after the machine lacked memory to read it by other means than Fill.
func (s *Stream) PauseInput() { s.pauseFor(CallRead) }

// IsOutputPaused reports whether the machine has just lacked memory for a write.
func (s *Stream) IsOutputPaused() bool { return s.paused&unix.EPOLLOUT != 0 }

func (s *Stream) endPause() {
	s.resume, s.paused = nil, 0
	s.updateInterest()
}

// updateInterest tells epoll what is waited for. While some events are paused, those that can't be left out, for an error and
// the end of both sides, come only once.
func (s *Stream) updateInterest() {
	if s.paused == 0 {
		s.loop.Modify(s.fd, s.events)
		return
	}
	s.loop.Modify(s.fd, s.events&^s.paused|unix.EPOLLET)
}

// InputCameAt returns when what Fill read last may have come: in the iteration in which it was read, or, where the machine lacked
// memory for that, in the first one in which it did; 0: nothing was read.
func (s *Stream) InputCameAt() time.Duration { return s.inputCameAt }

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
		n, err := s.transfer(CallWrite, func() (int, error) { return s.loop.syscalls.Write(s.fd, b[done:]) })
		if err != nil || n == transferNothing {
			return done, err
		}
		done += n
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
		s.updateInterest()
	}
}

// CloseWrite ends what this side sends; the peer may still send.
func (s *Stream) CloseWrite() { _ = s.loop.syscalls.Shutdown(s.fd, unix.SHUT_WR) }

// Close closes the socket and drops the buffers. Closing twice does nothing.
func (s *Stream) Close() {
	if s.open {
		s.open = false
		s.loop.StopTimer(s.resume)
		s.resume, s.paused = nil, 0
		s.loop.Remove(s.fd)
		s.input, s.output = nil, nil
	}
}
