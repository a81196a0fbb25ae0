package loopback

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Sockaddr converts an IPv4 address and port to the form of system calls.
func Sockaddr(at netip.AddrPort) *unix.SockaddrInet4 {
	return &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}
}

// NewSocket makes a non-blocking TCP socket.
func NewSocket() (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	return fd, nil
}
