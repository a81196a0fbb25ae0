package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// StreamEvents are the input events of a stream: input is available, or the peer has closed its sending side.
const StreamEvents = unix.EPOLLIN | unix.EPOLLRDHUP

// MaxIdleBuffer is the size, in bytes, above which a buffer is freed when it is empty.
const MaxIdleBuffer = 4 << 10

// maxDiscards limits the reads of one call of Discard, so that other streams are served too.
const maxDiscards = 16

const (
	maxTransferTries = 16                    // of a read or write that is interrupted each time
	minTransferPause = time.Millisecond      // after the kernel lacked memory for a read or write; doubles with each failure
	maxTransferPause = 50 * time.Millisecond // limit of the doubling
	transferPending  = -1                    // length of a read or write that has to wait
)

// Stream is a non-blocking socket with buffers for unconsumed input and unsent output. The zero value is a closed stream. A
// stream must not be copied once it is in use.
type Stream struct {
	loop   *Loop
	fd     int
	input  []byte
	output []byte
	events uint32 // requested by the owner; some may be paused
	open   bool

	paused    uint32        // events that are not requested for now, as the kernel lacked memory for a read or write
	resume    *Timer        // ends the pause; nil: no event is paused
	lastPause time.Duration // 0: the last read or write succeeded

	inputPendingSince time.Duration // when a read of available input first failed for lack of memory; 0: none is pending
	inputArrivedAt    time.Duration // see InputArrivedAt
}

// OpenStream adds a socket to the loop as a stream, with its owner as the handler. On an error the caller owns the socket.
func (l *Loop) OpenStream(fd int, events uint32, owner Handler) (Stream, error) {
	l.setOption(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := l.addEventually(fd, events, owner); err != nil {
		return Stream{}, err
	}
	return Stream{loop: l, fd: fd, events: events, open: true}, nil
}

// IsOpen reports whether the stream is open.
func (s *Stream) IsOpen() bool { return s.open }

// FD returns the socket, which the stream owns.
func (s *Stream) FD() int { return s.fd }

// Input returns the input that was read and not consumed. It is valid until the next call that reads or consumes.
func (s *Stream) Input() []byte { return s.input }

// Output returns the output that is not sent yet.
func (s *Stream) Output() []byte { return s.output }

// BufferSize returns the size of the buffers in bytes.
func (s *Stream) BufferSize() int { return cap(s.input) + cap(s.output) }

// SetBuffers sets the input that another process has read, and the output that it has not sent. It does not request EPOLLOUT; see
// UpdateEvents.
func (s *Stream) SetBuffers(input, output []byte) { s.input, s.output = input, output }

// AppendInput appends bytes that were read from the socket by other means than Fill.
func (s *Stream) AppendInput(b []byte) { s.input = append(s.input, b...) }

// TakeOutput removes and returns the output that is not sent yet.
func (s *Stream) TakeOutput() []byte {
	output := s.output
	s.output = nil
	return output
}

// DropInput drops the buffered input.
func (s *Stream) DropInput() { s.input = nil }

// ConnectError returns the pending error of the socket (SO_ERROR), such as that of a failed connection attempt, or nil.
func (s *Stream) ConnectError() error {
	code, err := s.loop.syscalls.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	return err
}

// Fill reads available input, at most the size of the read buffer. ended reports that the end of the input was read. If the
// kernel lacks memory for the read, the input is read later.
func (s *Stream) Fill() (ended bool, err error) { return s.FillUpTo(readBufferSize) }

// FillUpTo is Fill for at most size bytes of input, 1 at least.
func (s *Stream) FillUpTo(size int) (ended bool, err error) {
	buffer := s.loop.readBuffer[:min(size, readBufferSize)]
	n, err := s.transfer(CallRead, func() (int, error) { return s.loop.syscalls.Read(s.fd, buffer) })
	switch {
	case err != nil:
		return true, err
	case n == 0:
		return true, nil
	case n > 0:
		s.AppendInput(s.loop.readBuffer[:n])
		s.inputArrivedAt = s.loop.now
		if s.inputPendingSince > 0 {
			s.inputArrivedAt, s.inputPendingSince = s.inputPendingSince, 0
		}
	}
	return false, nil // events are level-triggered: there is another one for the remaining input
}

// Discard reads and drops available input, with a limit so that other streams are served too. For TCP the kernel does not even
// copy the bytes. n is their number; ended reports that the end of the input was read.
func (s *Stream) Discard() (n int, ended bool, err error) {
	for range maxDiscards {
		got, err := s.transfer(CallReceive, func() (int, error) {
			return s.loop.syscalls.Recvfrom(s.fd, s.loop.readBuffer, unix.MSG_TRUNC|unix.MSG_DONTWAIT)
		})
		switch {
		case err != nil:
			return n, true, err
		case got == transferPending:
			return n, false, nil
		case got == 0:
			return n, true, nil
		}
		n += got
	}
	return n, false, nil
}

// transfer makes a call that reads or writes. It returns transferPending if the call has to wait for an event, or for the end of
// a pause because the kernel lacks memory. The events for such calls are paused meanwhile: they are level-triggered, and would
// keep the loop busy. Any other error ends the connection, whatever the errno.
func (s *Stream) transfer(call Call, act func() (int, error)) (n int, err error) {
	for range maxTransferTries {
		if n, err = act(); err == nil {
			s.lastPause = 0
			return n, nil
		}
		switch class := Classify(call, err); {
		case class == ErrorRetry:
			continue
		case class == ErrorPending:
			return transferPending, nil
		case class.IsShortage():
			s.pauseFor(call)
			return transferPending, nil
		}
		return transferPending, err
	}
	s.pauseFor(call)
	return transferPending, nil
}

// pauseFor pauses the events for a kind of call, with exponential backoff.
func (s *Stream) pauseFor(call Call) {
	events := uint32(StreamEvents)
	if call == CallWrite {
		events = unix.EPOLLOUT
	}
	if !s.open || s.paused&events != 0 {
		return
	}
	s.paused |= events
	if call == CallRead && s.inputPendingSince == 0 {
		s.inputPendingSince = s.loop.now
	}
	if s.resume == nil {
		s.lastPause = min(max(minTransferPause, 2*s.lastPause), maxTransferPause)
		s.resume = s.loop.After(s.lastPause, s.endPause)
	}
	s.updateInterest()
}

// PauseInput pauses input events after the kernel lacked memory for a read by other means than Fill.
func (s *Stream) PauseInput() { s.pauseFor(CallRead) }

// IsOutputPaused reports whether writes are paused because the kernel lacked memory for one.
func (s *Stream) IsOutputPaused() bool { return s.paused&unix.EPOLLOUT != 0 }

func (s *Stream) endPause() {
	s.resume, s.paused = nil, 0
	s.updateInterest()
}

// updateInterest requests the stream's events from epoll, without the paused ones. EPOLLERR and EPOLLHUP can't be excluded, so
// while events are paused they are edge-triggered: they are reported only once.
func (s *Stream) updateInterest() {
	if s.paused == 0 {
		s.loop.Modify(s.fd, s.events)
		return
	}
	s.loop.Modify(s.fd, s.events&^s.paused|unix.EPOLLET)
}

// InputArrivedAt returns when the input that Fill has read last arrived: the time of the iteration in which it was read or, if
// the kernel lacked memory for the read, in which reading it first failed; 0: nothing was read.
func (s *Stream) InputArrivedAt() time.Duration { return s.inputArrivedAt }

// Consume drops the first n bytes of the input.
func (s *Stream) Consume(n int) { s.input = dropFront(s.input, n) }

// Send writes b after the output that is not sent yet. What the socket does not accept is buffered.
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

// Flush writes buffered output.
func (s *Stream) Flush() error {
	n, err := s.write(s.output)
	s.output = dropFront(s.output, n)
	s.UpdateEvents()
	return err
}

// dropFront drops the first n bytes of a buffer. A buffer larger than MaxIdleBuffer that is then empty is freed.
func dropFront(buffer []byte, n int) []byte {
	remaining := copy(buffer, buffer[n:])
	if remaining == 0 && cap(buffer) > MaxIdleBuffer {
		return nil
	}
	return buffer[:remaining]
}

// write returns the number of bytes that the socket has accepted.
func (s *Stream) write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		n, err := s.transfer(CallWrite, func() (int, error) { return s.loop.syscalls.Write(s.fd, b[done:]) })
		if err != nil || n == transferPending {
			return done, err
		}
		done += n
	}
	return done, nil
}

// UpdateEvents requests EPOLLOUT only while output is buffered.
func (s *Stream) UpdateEvents() {
	events := s.events &^ unix.EPOLLOUT
	if len(s.output) > 0 {
		events |= unix.EPOLLOUT
	}
	s.SetEvents(events)
}

// Events returns the events that the owner has requested.
func (s *Stream) Events() uint32 { return s.events }

// SetEvents changes the requested events.
func (s *Stream) SetEvents(events uint32) {
	if events != s.events && s.open {
		s.events = events
		s.updateInterest()
	}
}

// CloseWrite closes the sending side of the connection; the peer may still send.
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
