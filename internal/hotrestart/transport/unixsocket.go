package transport

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
	maxSocketPath    = 99 // bytes; below the maximum of a socket address
	successorBacklog = 4  // connections that are not accepted yet
)

// unixSockets opens Unix sockets.
type unixSockets struct{ syscalls *eventloop.Syscalls }

// dial connects to the first address at which a process listens. An error means that none listens, or, if its class is a
// shortage, that one may listen.
func (u unixSockets) dial(addresses []string) (descriptor int, err error) {
	return u.openFirst(addresses, u.connect)
}

// listen listens at the first address that can be bound. It removes a socket file that an earlier process has left.
func (u unixSockets) listen(addresses []string) (descriptor int, err error) {
	return u.openFirst(addresses, func(descriptor int, address unix.Sockaddr) error {
		if name := address.(*unix.SockaddrUnix).Name; !hotrestart.IsAbstract(name) {
			_ = os.Remove(name) // if this fails, bind fails too
		}
		return u.bindAndListen(descriptor, address)
	})
}

// openFirst opens a socket at the first address at which setUp succeeds. If none succeeds, it returns the first temporary
// error, or else the last error: after a temporary one the address may be usable in a retry.
func (u unixSockets) openFirst(addresses []string, setUp func(descriptor int, address unix.Sockaddr) error) (int, error) {
	var failure error
	for _, address := range addresses {
		descriptor, err := u.open(address, setUp)
		if err == nil {
			return descriptor, nil
		}
		if !isMomentary(failure) {
			failure = err
		}
	}
	return hotrestart.NoDescriptor, failure
}

// connect connects a socket. An interrupted call may have connected it, so that the next one returns EISCONN.
func (u unixSockets) connect(descriptor int, address unix.Sockaddr) error {
	for {
		err := u.syscalls.Connect(descriptor, address)
		if errors.Is(err, unix.EISCONN) {
			return nil
		}
		if !errors.Is(err, unix.EINTR) {
			return eventloop.NewCallError(eventloop.CallConnect, err)
		}
	}
}

func (u unixSockets) bindAndListen(descriptor int, address unix.Sockaddr) error {
	if err := u.syscalls.Bind(descriptor, address); err != nil {
		return eventloop.NewCallError(eventloop.CallBind, err)
	}
	return eventloop.NewCallError(eventloop.CallListen, u.syscalls.Listen(descriptor, successorBacklog))
}

// open opens a socket and calls setUp to bind or connect it.
func (u unixSockets) open(path string, setUp func(descriptor int, address unix.Sockaddr) error) (int, error) {
	address, release, err := u.sockaddr(path)
	if err != nil {
		return hotrestart.NoDescriptor, err
	}
	defer release()
	descriptor, err := u.syscalls.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return hotrestart.NoDescriptor, eventloop.NewCallError(eventloop.CallSocket, err)
	}
	if err := setUp(descriptor, address); err != nil {
		_ = u.syscalls.Close(descriptor)
		return hotrestart.NoDescriptor, err
	}
	return descriptor, nil
}

// sockaddr returns the socket address of a path. A path that is too long for a socket address is replaced by a path through a
// descriptor of its directory, which release closes.
func (u unixSockets) sockaddr(path string) (address *unix.SockaddrUnix, release func(), err error) {
	if len(path) <= maxSocketPath {
		return &unix.SockaddrUnix{Name: path}, func() {}, nil
	}
	directory, err := u.syscalls.Open(filepath.Dir(path), unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return nil, nil, eventloop.NewCallError(eventloop.CallOpen, err)
	}
	name := fmt.Sprintf("/proc/self/fd/%d/%s", directory, filepath.Base(path))
	return &unix.SockaddrUnix{Name: name}, func() { _ = u.syscalls.Close(directory) }, nil
}

// isPeerOwnUser reports whether the process at the other end of a Unix socket runs as the same user.
func (u unixSockets) isPeerOwnUser(descriptor int) bool {
	credentials, err := u.syscalls.GetsockoptUcred(descriptor, unix.SOL_SOCKET, unix.SO_PEERCRED)
	return err == nil && int(credentials.Uid) == os.Geteuid()
}
