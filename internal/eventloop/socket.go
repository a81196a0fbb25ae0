package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	socketBufferSize = 64 << 10 // bytes, of an accepted socket in each direction; the kernel's default would grow to megabytes
	listenBacklog    = 4096     // connections
	maxOptionTries   = 8        // tries to set an option, while the kernel lacks resources for it
)

// Sockaddr converts an address to the kernel's form, and returns its family. An IPv4-mapped IPv6 address becomes an IPv4 address.
func Sockaddr(address netip.AddrPort) (family int, sockaddr unix.Sockaddr) {
	if ip := address.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(address.Port()), Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
}

// AddrPort is the reverse of Sockaddr. It returns the zero value for an address that is not an IP address.
func AddrPort(sockaddr unix.Sockaddr) netip.AddrPort {
	switch sockaddr := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sockaddr.Addr), uint16(sockaddr.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sockaddr.Addr).Unmap(), uint16(sockaddr.Port))
	}
	return netip.AddrPort{}
}

// newSocket opens a non-blocking TCP socket of the family of an address.
func (l *Loop) newSocket(address netip.AddrPort) (fd int, sockaddr unix.Sockaddr, err error) {
	family, sockaddr := Sockaddr(address)
	fd, err = l.syscalls.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, nil, fmt.Errorf("socket: %w", NewCallError(CallSocket, err))
	}
	return fd, sockaddr, nil
}

// Dial starts to connect and does not wait until the connection is established. An interrupted connect(2) continues like any
// that is in progress. The caller owns the socket; see Stream.ConnectError. The class of an error distinguishes a lack of local
// resources from a failure of the peer.
func (l *Loop) Dial(address netip.AddrPort) (fd int, err error) {
	fd, sockaddr, err := l.newSocket(address)
	if err != nil {
		return -1, err
	}
	if err := l.syscalls.Connect(fd, sockaddr); err != nil && Classify(CallConnect, err) != ErrorPending {
		_ = l.syscalls.Close(fd)
		return -1, fmt.Errorf("connect: %w", NewCallError(CallConnect, err))
	}
	return fd, nil
}

// Listen opens a listening socket and adds it to the loop, with its owner as the handler. Options are enabled socket options such
// as SO_REUSEPORT, with which another process may listen at the address too.
func (l *Loop) Listen(address netip.AddrPort, owner Handler, options ...int) (fd int, err error) {
	fd, sockaddr, err := l.newSocket(address)
	if err != nil {
		return -1, err
	}
	if err := l.startListening(fd, sockaddr, options); err != nil {
		_ = l.syscalls.Close(fd)
		return -1, fmt.Errorf("listening at %v: %w", address, err)
	}
	if err := l.Add(fd, unix.EPOLLIN, owner); err != nil {
		_ = l.syscalls.Close(fd)
		return -1, err
	}
	return fd, nil
}

// setOption sets an option that a socket can do without. Momentary errors are retried; others are ignored, as the option may not
// exist for the socket's family.
func (l *Loop) setOption(descriptor, level, option, value int) {
	for range maxOptionTries {
		err := l.syscalls.SetsockoptInt(descriptor, level, option, value)
		if err == nil || !Classify(CallSetOption, err).IsMomentary() {
			return
		}
	}
}

func (l *Loop) startListening(descriptor int, sockaddr unix.Sockaddr, options []int) error {
	for _, option := range options {
		if err := l.syscalls.SetsockoptInt(descriptor, unix.SOL_SOCKET, option, 1); err != nil {
			return NewCallError(CallSetOption, err)
		}
	}
	l.setOption(descriptor, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	l.setOption(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferSize) // accepted sockets inherit these
	l.setOption(descriptor, unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferSize)
	if err := l.syscalls.Bind(descriptor, sockaddr); err != nil {
		return NewCallError(CallBind, err)
	}
	return NewCallError(CallListen, l.syscalls.Listen(descriptor, listenBacklog))
}
