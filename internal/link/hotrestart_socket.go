package link

import (
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"valvecove/internal/hotrestart"
)

const (
	maxSocketPath    = 99 // bytes; a socket address holds a little more
	successorBacklog = 4  // successors that wait for the event loop
)

// dialPredecessor connects to a predecessor at the first address that answers; an error means that there is none.
func (l *Loop) dialPredecessor(addresses []string) (fd int, err error) {
	for _, address := range addresses {
		if fd, err = l.openUnixSocket(address, l.Syscalls().Connect); err == nil {
			return fd, nil
		}
	}
	return hotrestart.NoDescriptor, err
}

// listenForSuccessor listens at the first address that can be bound. It removes the socket file that an earlier process has
// left.
func (l *Loop) listenForSuccessor(addresses []string) (fd int, err error) {
	for _, address := range addresses {
		if !hotrestart.IsAbstract(address) {
			_ = os.Remove(address) // where that fails, so does bind
		}
		if fd, err = l.openUnixSocket(address, l.bindAndListen); err == nil {
			return fd, nil
		}
	}
	return hotrestart.NoDescriptor, err
}

func (l *Loop) bindAndListen(fd int, address unix.Sockaddr) error {
	if err := l.Syscalls().Bind(fd, address); err != nil {
		return err
	}
	return l.Syscalls().Listen(fd, successorBacklog)
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
		return hotrestart.NoDescriptor, err
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
		return nil, nil, err
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
