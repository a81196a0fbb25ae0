package eventloop

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"
)

// Call is the kind of a system call.
type Call int

// The system calls that a loop and the connections on it make.
const (
	CallAccept Call = iota
	CallSocket
	CallBind
	CallListen
	CallConnect
	CallRead
	CallReceive        // recvfrom(2)
	CallReceiveMessage // recvmsg(2)
	CallWrite
	CallSendMessage // sendmsg(2)
	CallShutdown
	CallClose
	CallSetOption
	CallGetOption
	CallSocketName
	CallEpollCreate
	CallEpollControl
	CallEpollWait
	CallEventfd
	CallPoll
	CallOpen
	NumCalls
)

var callNames = [NumCalls]string{
	"accept4", "socket", "bind", "listen", "connect", "read", "recvfrom", "recvmsg", "write", "sendmsg", "shutdown", "close",
	"setsockopt", "getsockopt", "getsockname", "epoll_create1", "epoll_ctl", "epoll_wait", "eventfd", "poll", "open",
}

func (c Call) String() string {
	if c < 0 || c >= NumCalls {
		return fmt.Sprintf("Call(%d)", int(c))
	}
	return callNames[c]
}

// Injection is a fault that an interceptor injects into a system call. The zero value injects none.
type Injection struct {
	Errno     unix.Errno // the call fails with it; 0: it does not fail
	MaxLength int        // limit of the bytes that a read or write transfers; 0: none
}

// Interceptor is called before each system call with its descriptor, or NoDescriptor if it has none. It may be called from
// several goroutines.
type Interceptor func(call Call, descriptor int) Injection

// NoDescriptor stands for a descriptor where there is none.
const NoDescriptor = -1

// Syscalls makes the system calls of a loop and of the connections on it. The zero value makes them without injecting faults.
type Syscalls struct {
	Interceptor Interceptor // set by tests only
}

func (s *Syscalls) intercept(call Call, descriptor int) Injection {
	if s.Interceptor == nil {
		return Injection{}
	}
	return s.Interceptor(call, descriptor)
}

// fail returns the error that is injected into a call, or nil.
func (s *Syscalls) fail(call Call, descriptor int) error {
	if injected := s.intercept(call, descriptor); injected.Errno != 0 {
		return injected.Errno
	}
	return nil
}

// limit shortens a buffer to MaxLength.
func (i Injection) limit(buffer []byte) []byte {
	if i.MaxLength > 0 && len(buffer) > i.MaxLength {
		return buffer[:i.MaxLength]
	}
	return buffer
}

// Accept4 is accept4(2).
func (s *Syscalls) Accept4(fd, flags int) (socket int, from unix.Sockaddr, err error) {
	if err := s.fail(CallAccept, fd); err != nil {
		return NoDescriptor, nil, err
	}
	return unix.Accept4(fd, flags)
}

// Socket is socket(2).
func (s *Syscalls) Socket(domain, kind, protocol int) (fd int, err error) {
	if err := s.fail(CallSocket, NoDescriptor); err != nil {
		return NoDescriptor, err
	}
	return unix.Socket(domain, kind, protocol)
}

// Bind is bind(2).
func (s *Syscalls) Bind(fd int, address unix.Sockaddr) error {
	if err := s.fail(CallBind, fd); err != nil {
		return err
	}
	return unix.Bind(fd, address)
}

// Listen is listen(2).
func (s *Syscalls) Listen(fd, backlog int) error {
	if err := s.fail(CallListen, fd); err != nil {
		return err
	}
	return unix.Listen(fd, backlog)
}

// Connect is connect(2). As in the kernel, one that an injected EINTR interrupts still continues.
func (s *Syscalls) Connect(fd int, address unix.Sockaddr) error {
	injected := s.intercept(CallConnect, fd)
	if injected.Errno != 0 && injected.Errno != unix.EINTR {
		return injected.Errno
	}
	err := unix.Connect(fd, address)
	if injected.Errno != 0 && (err == nil || errors.Is(err, unix.EINPROGRESS)) {
		return injected.Errno
	}
	return err
}

// Read is read(2).
func (s *Syscalls) Read(fd int, buffer []byte) (n int, err error) {
	injected := s.intercept(CallRead, fd)
	if injected.Errno != 0 {
		return -1, injected.Errno
	}
	return unix.Read(fd, injected.limit(buffer))
}

// Recvfrom is recvfrom(2), without the address.
func (s *Syscalls) Recvfrom(fd int, buffer []byte, flags int) (n int, err error) {
	injected := s.intercept(CallReceive, fd)
	if injected.Errno != 0 {
		return -1, injected.Errno
	}
	n, _, err = unix.Recvfrom(fd, injected.limit(buffer), flags)
	return n, err
}

// RecvfromAddress is recvfrom(2).
func (s *Syscalls) RecvfromAddress(fd int, buffer []byte, flags int) (n int, from unix.Sockaddr, err error) {
	injected := s.intercept(CallReceive, fd)
	if injected.Errno != 0 {
		return -1, nil, injected.Errno
	}
	return unix.Recvfrom(fd, injected.limit(buffer), flags)
}

// Sendto is sendto(2).
func (s *Syscalls) Sendto(fd int, buffer []byte, flags int, to unix.Sockaddr) error {
	if err := s.fail(CallSendMessage, fd); err != nil {
		return err
	}
	return unix.Sendto(fd, buffer, flags, to)
}

// Recvmsg is recvmsg(2), without the address.
func (s *Syscalls) Recvmsg(fd int, buffer, control []byte, flags int) (n, controlSize, receivedFlags int, err error) {
	injected := s.intercept(CallReceiveMessage, fd)
	if injected.Errno != 0 {
		return -1, 0, 0, injected.Errno
	}
	n, controlSize, receivedFlags, _, err = unix.Recvmsg(fd, injected.limit(buffer), control, flags)
	return n, controlSize, receivedFlags, err
}

// Write is write(2).
func (s *Syscalls) Write(fd int, buffer []byte) (n int, err error) {
	injected := s.intercept(CallWrite, fd)
	if injected.Errno != 0 {
		return -1, injected.Errno
	}
	return unix.Write(fd, injected.limit(buffer))
}

// SendmsgN is sendmsg(2) on a connected socket.
func (s *Syscalls) SendmsgN(fd int, buffer, control []byte, flags int) (n int, err error) {
	injected := s.intercept(CallSendMessage, fd)
	if injected.Errno != 0 {
		return 0, injected.Errno
	}
	return unix.SendmsgN(fd, injected.limit(buffer), control, nil, flags)
}

// Shutdown is shutdown(2).
func (s *Syscalls) Shutdown(fd, how int) error {
	if err := s.fail(CallShutdown, fd); err != nil {
		return err
	}
	return unix.Shutdown(fd, how)
}

// Close is close(2). As in the kernel, the descriptor is closed even if the call fails.
func (s *Syscalls) Close(fd int) error {
	injected := s.fail(CallClose, fd)
	if err := unix.Close(fd); err != nil {
		return err
	}
	return injected
}

// SetsockoptInt is setsockopt(2) for an integer option.
func (s *Syscalls) SetsockoptInt(fd, level, option, value int) error {
	if err := s.fail(CallSetOption, fd); err != nil {
		return err
	}
	return unix.SetsockoptInt(fd, level, option, value)
}

// GetsockoptInt is getsockopt(2) for an integer option.
func (s *Syscalls) GetsockoptInt(fd, level, option int) (value int, err error) {
	if err := s.fail(CallGetOption, fd); err != nil {
		return 0, err
	}
	return unix.GetsockoptInt(fd, level, option)
}

// GetsockoptUcred is getsockopt(2) for the credentials of a process.
func (s *Syscalls) GetsockoptUcred(fd, level, option int) (*unix.Ucred, error) {
	if err := s.fail(CallGetOption, fd); err != nil {
		return nil, err
	}
	return unix.GetsockoptUcred(fd, level, option)
}

// Getsockname is getsockname(2).
func (s *Syscalls) Getsockname(fd int) (unix.Sockaddr, error) {
	if err := s.fail(CallSocketName, fd); err != nil {
		return nil, err
	}
	return unix.Getsockname(fd)
}

// EpollCreate1 is epoll_create1(2).
func (s *Syscalls) EpollCreate1(flags int) (fd int, err error) {
	if err := s.fail(CallEpollCreate, NoDescriptor); err != nil {
		return NoDescriptor, err
	}
	return unix.EpollCreate1(flags)
}

// EpollCtl is epoll_ctl(2).
func (s *Syscalls) EpollCtl(epoll, operation, fd int, event *unix.EpollEvent) error {
	if err := s.fail(CallEpollControl, fd); err != nil {
		return err
	}
	return unix.EpollCtl(epoll, operation, fd, event)
}

// EpollWait is epoll_wait(2).
func (s *Syscalls) EpollWait(epoll int, events []unix.EpollEvent, timeoutMillis int) (n int, err error) {
	if err := s.fail(CallEpollWait, epoll); err != nil {
		return -1, err
	}
	return unix.EpollWait(epoll, events, timeoutMillis)
}

// Eventfd is eventfd(2).
func (s *Syscalls) Eventfd(initial uint, flags int) (fd int, err error) {
	if err := s.fail(CallEventfd, NoDescriptor); err != nil {
		return NoDescriptor, err
	}
	return unix.Eventfd(initial, flags)
}

// Poll is poll(2) for one descriptor.
func (s *Syscalls) Poll(polled *unix.PollFd, timeoutMillis int) (n int, err error) {
	if err := s.fail(CallPoll, int(polled.Fd)); err != nil {
		return -1, err
	}
	set := []unix.PollFd{*polled}
	n, err = unix.Poll(set, timeoutMillis)
	*polled = set[0]
	return n, err
}

// Open is open(2). mode is that of a file which the call creates.
func (s *Syscalls) Open(path string, flags int, mode uint32) (fd int, err error) {
	if err := s.fail(CallOpen, NoDescriptor); err != nil {
		return NoDescriptor, err
	}
	return unix.Open(path, flags, mode)
}
