package link

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
)

const (
	maxSocketPath    = 99 // bytes; a socket address holds a little more
	successorBacklog = 4  // successors that wait for the event loop
)

// dialPredecessor connects to a predecessor at the first address that answers; an error means that there is none, or, of a
// class that is a shortage, that there may be one.
func (l *Loop) dialPredecessor(addresses []string) (fd int, err error) {
	return l.openFirst(addresses, l.connectUnix)
}

// listenForSuccessor listens at the first address that can be bound. It removes the socket file that an earlier process has
// left.
func (l *Loop) listenForSuccessor(addresses []string) (fd int, err error) {
	return l.openFirst(addresses, func(fd int, address unix.Sockaddr) error {
		if name := address.(*unix.SockaddrUnix).Name; !hotrestart.IsAbstract(name) {
			_ = os.Remove(name) // where that fails, so does bind
		}
		return l.bindAndListen(fd, address)
	})
}

// openFirst opens a socket at the first address at which setUp succeeds. Of the errors it returns the last one, but a shortage
// before any other: with that gone, the address may do.
func (l *Loop) openFirst(addresses []string, setUp func(fd int, address unix.Sockaddr) error) (int, error) {
	var failure error
	for _, address := range addresses {
		fd, err := l.openUnixSocket(address, setUp)
		if err == nil {
			return fd, nil
		}
		if !isMomentary(failure) {
			failure = err
		}
	}
	return hotrestart.NoDescriptor, failure
}

// connectUnix connects to a Unix socket. One that was interrupted may be connected or not.
func (l *Loop) connectUnix(fd int, address unix.Sockaddr) error {
	for {
		err := l.Syscalls().Connect(fd, address)
		if errors.Is(err, unix.EISCONN) {
			return nil
		}
		if !errors.Is(err, unix.EINTR) {
			return eventloop.NewCallError(eventloop.CallConnect, err)
		}
	}
}

func (l *Loop) bindAndListen(fd int, address unix.Sockaddr) error {
	if err := l.Syscalls().Bind(fd, address); err != nil {
		return eventloop.NewCallError(eventloop.CallBind, err)
	}
	return eventloop.NewCallError(eventloop.CallListen, l.Syscalls().Listen(fd, successorBacklog))
}

// openUnixSocket opens a socket and has setUp bind or connect it.
func (l *Loop) openUnixSocket(path string, setUp func(fd int, address unix.Sockaddr) error) (int, error) {
	address, release, err := l.unixSockaddr(path)
	if err != nil {
		return hotrestart.NoDescriptor, err
	}
	defer release()
	fd, err := l.Syscalls().Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return hotrestart.NoDescriptor, eventloop.NewCallError(eventloop.CallSocket, err)
	}
	if err := setUp(fd, address); err != nil {
		_ = l.Syscalls().Close(fd)
		return hotrestart.NoDescriptor, err
	}
	return fd, nil
}

// unixSockaddr returns the socket address of a path. A path that is too long for one is given by way of a descriptor of its
// directory, which release closes.
func (l *Loop) unixSockaddr(path string) (address *unix.SockaddrUnix, release func(), err error) {
	if len(path) <= maxSocketPath {
		return &unix.SockaddrUnix{Name: path}, func() {}, nil
	}
	directory, err := l.Syscalls().Open(filepath.Dir(path), unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC)
	if err != nil {
		return nil, nil, eventloop.NewCallError(eventloop.CallOpen, err)
	}
	name := fmt.Sprintf("/proc/self/fd/%d/%s", directory, filepath.Base(path))
	return &unix.SockaddrUnix{Name: name}, func() { _ = l.Syscalls().Close(directory) }, nil
}

// isPeerOwnUser tells whether the process at the other end of a Unix socket runs as the same user.
func (l *Loop) isPeerOwnUser(fd int) bool {
	credentials, err := l.Syscalls().GetsockoptUcred(fd, unix.SOL_SOCKET, unix.SO_PEERCRED)
	return err == nil && int(credentials.Uid) == os.Geteuid()
}

// closeDescriptor closes a descriptor, if it is one.
func (l *Loop) closeDescriptor(fd int) {
	if fd != hotrestart.NoDescriptor {
		_ = l.Syscalls().Close(fd)
	}
}
