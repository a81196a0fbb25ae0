package transport

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
)

const (
	controlBufferSize  = 256                    // bytes, for descriptors that one read receives
	shortageRetryDelay = 100 * time.Microsecond // before a retry, while too many descriptors are in flight or memory is short
)

// Errors of a channel.
var (
	errDescriptorLost     = errors.New("descriptor lost: too many open descriptors in this process")
	errOutputPending      = errors.New("earlier messages not sent yet")
	errPeerNotReading     = errors.New("peer does not read")
	errPeerNotResponding  = errors.New("peer does not respond in time")
	errHandshakeTimeout   = errors.New("no handshake in time")
	errHandlerPanicked    = errors.New("panic in the event handler")
	errSendFailed         = errors.New("message could not be sent")
	errInputDelayed       = errors.New("no memory to receive a message")
	errSuccessorHasClosed = errors.New("successor has closed its connection")
)

// channel is one end of the Unix socket between a predecessor and a successor: a stream of frames, some of which carry a file
// descriptor.
type channel struct {
	eventloop.Stream
	roles        *Roles
	descriptors  []int                   // received descriptors of frames that are not handled yet
	pendingCalls hotrestart.PendingCalls // cordon calls that were forwarded to the peer
	sendsParts   bool                    // the peer accepts messages in several frames
}

// receive reads input and descriptors, at most one read buffer of input. ended reports that nothing more will be received. After
// errInputDelayed the caller must retry after a short delay.
func (c *channel) receive() (ended bool, err error) {
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
	c.AppendInput(c.roles.loop.ReadBuffer()[:n])
	return false, nil
}

func (c *channel) receiveMessage(control []byte) (n, controlSize, flags int, err error) {
	for {
		n, controlSize, flags, err = c.roles.loop.Syscalls().Recvmsg(c.FD(), c.roles.loop.ReadBuffer(), control,
			unix.MSG_CMSG_CLOEXEC|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, controlSize, flags, err
		}
	}
}

func (c *channel) keepDescriptors(control []byte) error {
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

// closeWithDescriptors closes the channel and the descriptors of frames that were not handled.
func (c *channel) closeWithDescriptors() {
	for _, descriptor := range c.descriptors {
		_ = c.roles.loop.Syscalls().Close(descriptor)
	}
	c.descriptors = nil
	c.Close()
}

// handleMessages calls handle for each complete message of the input, until handle fails or the channel is closed. handle owns
// the descriptor.
func (c *channel) handleMessages(handle func(message hotrestart.Message, descriptor int) error) error {
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

// nextMessage decodes the message at an offset of the input. size is the size of its frames. The caller owns the descriptor,
// which is NoDescriptor if the message carries none. The error is hotrestart.ErrIncomplete if the message was not received
// completely yet.
func (c *channel) nextMessage(offset int) (message hotrestart.Message, descriptor, size int, err error) {
	frame, size, err := hotrestart.ReadMessageFrame(c.Input()[offset:])
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
		c.roles.closeDescriptor(descriptor)
		return nil, hotrestart.NoDescriptor, 0, err
	}
	return message, descriptor, size, nil
}

// encode returns the frames of a message.
func (c *channel) encode(message hotrestart.Message) ([]byte, error) {
	if c.sendsParts {
		return hotrestart.AppendMessageInParts(nil, message)
	}
	return hotrestart.AppendMessage(nil, message)
}

// sendMessage sends a message that carries no descriptor. Bytes that do not fit into the socket's buffer are sent later.
func (c *channel) sendMessage(message hotrestart.Message) error {
	encoded, err := c.encode(message)
	if err != nil {
		return err
	}
	return c.Send(encoded)
}

// sendMessageBefore sends a message, with a descriptor unless that is NoDescriptor. It blocks until the socket has accepted the
// complete message, or the deadline on the loop's clock has passed. It is called only while the process must do nothing else.
func (c *channel) sendMessageBefore(deadline time.Duration, message hotrestart.Message, descriptor int) error {
	encoded, err := c.encode(message)
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
		n, err := c.roles.loop.Syscalls().SendmsgN(c.FD(), encoded, rights, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		if err == nil {
			encoded, rights = encoded[n:], nil // the descriptor is sent with the first byte
			continue
		}
		if err := c.waitAfterSendError(deadline, err); err != nil {
			return err
		}
	}
	return nil
}

// waitAfterSendError blocks until sending can be retried after an error. It returns an error if a retry is not possible.
func (c *channel) waitAfterSendError(deadline time.Duration, err error) error {
	switch {
	case errors.Is(err, unix.EINTR):
		return nil
	case errors.Is(err, unix.EAGAIN):
		return c.waitUntilReady(deadline, unix.POLLOUT)
	case eventloop.Classify(eventloop.CallSendMessage, err).IsShortage(): // such as too many descriptors in flight
		time.Sleep(shortageRetryDelay)
		if c.roles.loop.Clock() >= deadline {
			return errPeerNotReading
		}
		return nil
	default:
		return err
	}
}

// waitUntilReady blocks until the socket has one of the given events of poll(2), or the deadline on the loop's clock has passed.
func (c *channel) waitUntilReady(deadline time.Duration, events int16) error {
	for {
		remaining := deadline - c.roles.loop.Clock()
		if remaining <= 0 {
			return errPeerNotResponding
		}
		polled := unix.PollFd{Fd: int32(c.FD()), Events: events}
		n, err := c.roles.loop.Syscalls().Poll(&polled, int((remaining+time.Millisecond-1)/time.Millisecond))
		switch class := eventloop.Classify(eventloop.CallPoll, err); {
		case err == nil || class == eventloop.ErrorRetry:
		case class.IsShortage():
			time.Sleep(shortageRetryDelay)
		default:
			return err
		}
		if n > 0 {
			return nil
		}
	}
}

// sendCordon asks the peer to cordon or uncordon a worker. respond is called with its result. On a closed channel the call only
// becomes a pending one.
func (c *channel) sendCordon(workerID string, cordoned bool, respond func(statusCode int, message string)) error {
	call := hotrestart.CordonCall{WorkerID: workerID, Cordoned: cordoned, Respond: respond}
	message := c.pendingCalls.Add(call)
	if !c.IsOpen() {
		return nil
	}
	return c.sendMessage(message)
}
