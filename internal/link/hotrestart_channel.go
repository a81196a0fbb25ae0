package link

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/hotrestart"
)

// successorSocketFile is where an elder can be reached by its heir, in the directory of what outlives a process.
const successorSocketFile = "successor.sock"

// successorAddresses are where an elder can be reached, the better first: in the directory, and by a name that needs none, which
// lives as long as its socket and is seen by all processes of the machine; whose they are is asked in either case.
func successorAddresses(dir string, listen netip.AddrPort) []string {
	name := "@valvecove/" + listen.String()
	if dir == "" {
		return []string{name}
	}
	return []string{filepath.Join(dir, successorSocketFile), name}
}

// frameChannel is one end of the Unix socket between an elder and its heir: a stream whose frames may carry descriptors.
type frameChannel struct {
	stream
	descriptors []int // that have come, and belong to frames that are not taken yet
}

// unixSockaddr is an address for a path; longer ones than an address holds go by the directory's descriptor, which must stay
// open until it has been used.
func unixSockaddr(path string) (sa *unix.SockaddrUnix, done func(), err error) {
	if len(path) < 100 {
		return &unix.SockaddrUnix{Name: path}, func() {}, nil
	}
	dir, err := unix.Open(filepath.Dir(path), unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	return &unix.SockaddrUnix{Name: fmt.Sprintf("/proc/self/fd/%d/%s", dir, filepath.Base(path))},
		func() { _ = unix.Close(dir) }, nil
}

func openUnixSocket(path string, act func(fd int, sa unix.Sockaddr) error) (int, error) {
	sa, done, err := unixSockaddr(path)
	if err != nil {
		return -1, err
	}
	defer done()
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	if err := act(fd, sa); err != nil {
		_ = unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// dialPredecessor connects to an elder; an error means that there is none.
func dialPredecessor(points []string) (fd int, err error) {
	for _, at := range points {
		if fd, err = openUnixSocket(at, unix.Connect); err == nil {
			return fd, nil
		}
	}
	return -1, err
}

// listenForSuccessor listens for an heir at the first point that serves. What an earlier process has left at a path makes room.
func listenForSuccessor(points []string) (fd int, err error) {
	for _, at := range points {
		if at[0] != '@' {
			_ = os.Remove(at) // if it can't be, that shows below
		}
		fd, err = openUnixSocket(at, func(fd int, sa unix.Sockaddr) error {
			if err := unix.Bind(fd, sa); err != nil {
				return err
			}
			return unix.Listen(fd, 4)
		})
		if err == nil {
			return fd, nil
		}
	}
	return -1, err
}

// isPeerOwnUser tells whether the peer is a process of our own user.
func isPeerOwnUser(fd int) bool {
	cred, err := unix.GetsockoptUcred(fd, unix.SOL_SOCKET, unix.SO_PEERCRED)
	return err == nil && int(cred.Uid) == os.Geteuid()
}

// receive reads what has come, with the descriptors.
func (c *frameChannel) receive() (ended bool, err error) {
	var control [256]byte
	for {
		n, on, flags, _, err := unix.Recvmsg(c.fd, c.loop.scratch, control[:], unix.MSG_CMSG_CLOEXEC|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return false, nil
		case err != nil:
			return true, err
		}
		if on > 0 {
			messages, err := unix.ParseSocketControlMessage(control[:on])
			if err != nil {
				return true, err
			}
			for i := range messages {
				if fds, err := unix.ParseUnixRights(&messages[i]); err == nil {
					c.descriptors = append(c.descriptors, fds...)
				}
			}
		}
		if flags&unix.MSG_CTRUNC != 0 { // a descriptor is lost, for want of room for it in this process
			return true, errors.New("a descriptor did not come along")
		}
		if n == 0 {
			return true, nil
		}
		c.in = append(c.in, c.loop.scratch[:n]...)
		return false, nil
	}
}

// closeWithDescriptors closes the channel, and the descriptors that nobody has taken.
func (c *frameChannel) closeWithDescriptors() {
	for _, fd := range c.descriptors {
		_ = unix.Close(fd)
	}
	c.descriptors = nil
	c.close()
}

// nextFrame is the next whole frame that has come, with its descriptor, or -1.
func (c *frameChannel) nextFrame() (f hotrestart.Frame, fd, n int, err error) {
	f, n, err = hotrestart.ReadFrame(c.in)
	if err != nil || f.DescriptorCount == 0 {
		return f, -1, n, err
	}
	if len(c.descriptors) == 0 {
		return f, -1, 0, fmt.Errorf("%v without its descriptor", f.Kind)
	}
	fd, c.descriptors = c.descriptors[0], c.descriptors[1:]
	return f, fd, n, nil
}

// sendFrame sends a frame that carries no descriptor.
func (c *frameChannel) sendFrame(kind hotrestart.FrameKind, body any) error {
	b, err := hotrestart.AppendFrame(nil, kind, body)
	if err != nil {
		return err
	}
	return c.send(b)
}

// sendFrameBefore sends a frame until a moment of the loop's clock, waiting for the peer to take it in; fd -1 is none. Only a process
// that does nothing else meanwhile does so.
func (c *frameChannel) sendFrameBefore(until time.Duration, fd int, kind hotrestart.FrameKind, body any) error {
	b, err := hotrestart.AppendFrame(nil, kind, body)
	if err != nil {
		return err
	}
	if len(c.out) > 0 { // what was said before comes first
		b, c.out = append(c.out, b...), nil
		if fd >= 0 {
			return errors.New("not all is sent of what comes before a descriptor")
		}
	}
	var rights []byte
	if fd >= 0 {
		rights = unix.UnixRights(fd)
	}
	for len(b) > 0 {
		n, err := unix.SendmsgN(c.fd, b, rights, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.ETOOMANYREFS): // too many descriptors on their way: the peer takes them in
			time.Sleep(100 * time.Microsecond)
			if c.loop.clock() >= until {
				return errors.New("the peer does not take in")
			}
		case errors.Is(err, unix.EAGAIN):
			if err := c.waitUntilReady(until, unix.POLLOUT); err != nil {
				return err
			}
		case err != nil:
			return err
		default:
			b, rights = b[n:], nil // they go with the first byte
		}
	}
	return nil
}

// waitUntilReady waits until the channel is ready, or the moment has come.
func (c *frameChannel) waitUntilReady(until time.Duration, events int16) error {
	for {
		left := until - c.loop.clock()
		if left <= 0 {
			return errors.New("the peer does not answer in time")
		}
		fds := []unix.PollFd{{Fd: int32(c.fd), Events: events}}
		n, err := unix.Poll(fds, int((left+time.Millisecond-1)/time.Millisecond))
		if err != nil && !errors.Is(err, unix.EINTR) {
			return err
		}
		if n > 0 {
			return nil
		}
	}
}
