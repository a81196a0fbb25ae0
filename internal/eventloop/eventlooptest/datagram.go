package eventlooptest

import (
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
)

// OpenDatagramSocket opens a non-blocking UDP socket at a free port of an IP address. The caller closes it.
func OpenDatagramSocket(tb testing.TB, ip string) (descriptor int, address netip.AddrPort) {
	tb.Helper()
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		tb.Fatal(err)
	}
	_, sockaddr := eventloop.Sockaddr(netip.AddrPortFrom(netip.MustParseAddr(ip), 0))
	if err := unix.Bind(descriptor, sockaddr); err != nil {
		tb.Fatal(err)
	}
	bound, err := unix.Getsockname(descriptor)
	if err != nil {
		tb.Fatal(err)
	}
	return descriptor, eventloop.AddrPort(bound)
}

// FreeDatagramAddress returns an address with an unused UDP port.
func FreeDatagramAddress(tb testing.TB, ip string) netip.AddrPort {
	tb.Helper()
	descriptor, address := OpenDatagramSocket(tb, ip)
	_ = unix.Close(descriptor)
	return address
}
