package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	socketBufferSize = 64 << 10 // bytes, the kernel's, by accepted socket: it would hold megabytes
	listenBacklog    = 4096     // connections
	maxOptionTries   = 8        // of one option, while the machine lacks something for it
)

// Sockaddr returns an address as the kernel has it, and its family; an IPv4 address written as IPv6 is IPv4.
func Sockaddr(address netip.AddrPort) (family int, sockaddr unix.Sockaddr) {
	if ip := address.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(address.Port()), Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
}

// AddrPort is the reverse of Sockaddr; of an address that is not an IP address it returns the zero value.
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

// Dial starts a connection, and does not wait for it: one that is interrupted goes on, as any that is in progress. The caller
// owns the socket; see Stream.ConnectError. An error says by its class whether it is this machine's or the peer's.
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

// Listen opens a socket whose connections the owner accepts, and adds it. Options are of the socket, as SO_REUSEPORT, which
// lets another process listen there too.
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

// setOption sets an option that a socket can do without, such as one of another family.
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
