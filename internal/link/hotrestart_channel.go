package link

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
)

const (
	controlBufferSize = 256                    // for descriptors that come with one read
	shortageWait      = 100 * time.Microsecond // before another try, while too many descriptors are on their way, or memory lacks
)

// Errors of a channel.
var (
	errDescriptorLost     = errors.New("a descriptor was lost: this process has no room for it")
	errOutputPending      = errors.New("earlier messages are not sent yet")
	errPeerNotReading     = errors.New("the peer does not read")
	errPeerNotResponding  = errors.New("the peer does not respond in time")
	errHandshakeTimeout   = errors.New("no handshake in time")
	errHandlerPanicked    = errors.New("panic")
	errPeerNotListening   = errors.New("a message could not be sent")
	errInputDelayed       = errors.New("no memory to receive a message")
	errSuccessorHasClosed = errors.New("the successor has closed its connection")
)

// frameChannel is one end of the Unix socket between a predecessor and a successor: a stream of frames, some of which come
// with a descriptor.
type frameChannel struct {
	eventloop.Stream
	loop         *Loop
	descriptors  []int                   // received, of frames that have not been handled yet
	pendingCalls hotrestart.PendingCalls // cordon calls that were forwarded to the peer
}

// receive reads what has come, with the descriptors; one scratch buffer of it at most. ended tells that no more will come. After
// errInputDelayed it is to be tried again in a moment.
func (c *frameChannel) receive() (ended bool, err error) {
	var control [controlBufferSize]byte
	n, controlSize, flags, err := c.receiveMessage(control[:])
	switch {
	case eventloop.Classify(eventloop.CallReceiveMessage, err) == eventloop.ErrorPending:
		return false, nil
	case eventloop.Classify(eventloop.CallReceiveMessage, err).IsShortage():
		return false, errInputDelayed
	case err != nil:
		return true, err
	}
	if err := c.keepDescriptors(control[:controlSize]); err != nil {
		return true, err
	}
	if flags&unix.MSG_CTRUNC != 0 {
		return true, errDescriptorLost
	}
	if n == 0 {
		return true, nil
	}
	c.AppendInput(c.loop.ReadBuffer()[:n])
	return false, nil
}

func (c *frameChannel) receiveMessage(control []byte) (n, controlSize, flags int, err error) {
	for {
		n, controlSize, flags, err = c.loop.Syscalls().Recvmsg(c.FD(), c.loop.ReadBuffer(), control,
			unix.MSG_CMSG_CLOEXEC|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, controlSize, flags, err
		}
	}
}

func (c *frameChannel) keepDescriptors(control []byte) error {
	if len(control) == 0 {
		return nil
	}
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return err
	}
	for i := range messages {
		if descriptors, err := unix.ParseUnixRights(&messages[i]); err == nil {
			c.descriptors = append(c.descriptors, descriptors...)
		}
	}
	return nil
}

// closeWithDescriptors closes the channel, and the descriptors of frames that were not handled.
func (c *frameChannel) closeWithDescriptors() {
	for _, descriptor := range c.descriptors {
		_ = c.loop.Syscalls().Close(descriptor)
	}
	c.descriptors = nil
	c.Close()
}

// handleMessages calls handle for each whole message that has come, until it fails or the channel is closed. handle owns the
// descriptor.
func (c *frameChannel) handleMessages(handle func(message hotrestart.Message, descriptor int) error) error {
	offset := 0
	for {
		message, descriptor, size, err := c.nextMessage(offset)
		if errors.Is(err, hotrestart.ErrIncomplete) {
			c.Consume(offset)
			return nil
		}
		if err != nil {
			return err
		}
		if err := handle(message, descriptor); err != nil || !c.IsOpen() {
			return err
		}
		offset += size
	}
}

// nextMessage decodes the message at an offset of what has come. size is that of its frame. The caller owns the descriptor,
// which is NoDescriptor if none comes with the message.
func (c *frameChannel) nextMessage(offset int) (message hotrestart.Message, descriptor, size int, err error) {
	frame, size, err := hotrestart.ReadFrame(c.Input()[offset:])
	if err != nil {
		return nil, hotrestart.NoDescriptor, 0, err
	}
	descriptor = hotrestart.NoDescriptor
	if frame.Kind.CarriesDescriptor() {
		if len(c.descriptors) == 0 {
			return nil, descriptor, 0, &hotrestart.MissingDescriptorError{Kind: frame.Kind}
		}
		descriptor, c.descriptors = c.descriptors[0], c.descriptors[1:]
	}
	message, err = frame.Message()
	if err != nil {
		c.loop.closeDescriptor(descriptor)
		return nil, hotrestart.NoDescriptor, 0, err
	}
	return message, descriptor, size, nil
}

// sendMessage sends a message that carries no descriptor. What the socket does not take now is sent later.
func (c *frameChannel) sendMessage(message hotrestart.Message) error {
	encoded, err := hotrestart.AppendMessage(nil, message)
	if err != nil {
		return err
	}
	return c.Send(encoded)
}

// sendMessageBefore sends a message, with a descriptor unless that is NoDescriptor, and waits until the socket has taken all
// of it, to a deadline of the loop's clock. Only a process that does nothing else meanwhile calls it.
func (c *frameChannel) sendMessageBefore(deadline time.Duration, message hotrestart.Message, descriptor int) error {
	encoded, err := hotrestart.AppendMessage(nil, message)
	if err != nil {
		return err
	}
	if len(c.Output()) > 0 {
		encoded = append(c.TakeOutput(), encoded...)
		if descriptor != hotrestart.NoDescriptor {
			return errOutputPending
		}
	}
	var rights []byte
	if descriptor != hotrestart.NoDescriptor {
		rights = unix.UnixRights(descriptor)
	}
	for len(encoded) > 0 {
		n, err := c.loop.Syscalls().SendmsgN(c.FD(), encoded, rights, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		if err == nil {
			encoded, rights = encoded[n:], nil // the descriptor goes with the first byte
			continue
		}
		if err := c.waitAfterSendError(deadline, err); err != nil {
			return err
		}
	}
	return nil
}

// waitAfterSendError waits until sending may be tried again after an error; it returns an error if that is of no use.
func (c *frameChannel) waitAfterSendError(deadline time.Duration, err error) error {
	switch {
	case errors.Is(err, unix.EINTR):
		return nil
	case errors.Is(err, unix.EAGAIN):
		return c.waitUntilReady(deadline, unix.POLLOUT)
	case eventloop.Classify(eventloop.CallSendMessage, err).IsShortage(): // as of descriptors that the peer has not read yet
		time.Sleep(shortageWait)
		if c.loop.Clock() >= deadline {
			return errPeerNotReading
		}
		return nil
	default:
		return err
	}
}

// waitUntilReady waits until the socket has one of the events of poll(2), to a deadline of the loop's clock.
func (c *frameChannel) waitUntilReady(deadline time.Duration, events int16) error {
	for {
		remaining := deadline - c.loop.Clock()
		if remaining <= 0 {
			return errPeerNotResponding
		}
		polled := unix.PollFd{Fd: int32(c.FD()), Events: events}
		n, err := c.loop.Syscalls().Poll(&polled, int((remaining+time.Millisecond-1)/time.Millisecond))
		switch class := eventloop.Classify(eventloop.CallPoll, err); {
		case err == nil || class == eventloop.ErrorRetry:
		case class.IsShortage():
			time.Sleep(shortageWait)
		default:
			return err
		}
		if n > 0 {
			return nil
		}
	}
}

// forwardCordon has the peer cordon or uncordon a worker. respond is called with its answer.
func (c *frameChannel) forwardCordon(workerID string, cordoned bool, respond func(statusCode int, message string)) error {
	call := hotrestart.CordonCall{WorkerID: workerID, Cordoned: cordoned, Respond: respond}
	return c.sendMessage(c.pendingCalls.Add(call))
}
