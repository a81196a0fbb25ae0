package process

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/testbed/loopback"
	"valvecove/internal/testbed/simapi"
)

// listener accepts, refuses or ignores connections at one address, by the accept modes of simapi.
type listener struct {
	poller    *poller
	fd        int
	address   netip.AddrPort
	mode      int
	accept    func(fd int)    // is called with each connection, and owns its descriptor
	onFailure func(err error) // is called if accepting fails, for want of descriptors or memory
}

const backlog = 4096 // connections that may wait to be accepted

// dropAll is a socket filter that drops every packet.
var dropAll = unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}}

// listenAt binds a listener to an address. It refuses connections until setMode is called.
func (p *poller) listenAt(at netip.AddrPort, accept func(fd int), fault func(error)) (*listener, error) {
	return p.bindListener(at, unix.SO_REUSEADDR, accept, fault)
}

// listenShared binds a listener to an address that other listeners of this process share; the kernel distributes the
// connections among them. If the port is 0, the kernel chooses one, and the listener's address has it.
func (p *poller) listenShared(at netip.AddrPort, accept func(fd int), fault func(error)) (*listener, error) {
	return p.bindListener(at, unix.SO_REUSEPORT, accept, fault)
}

func (p *poller) bindListener(address netip.AddrPort, how int, accept func(fd int), fault func(error)) (*listener, error) {
	descriptor, err := newSocket()
	if err != nil {
		return nil, err
	}
	_ = unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, how, 1)
	if err := unix.Bind(descriptor, loopback.Sockaddr(address)); err != nil {
		_ = unix.Close(descriptor)
		return nil, fmt.Errorf("binding to %v: %w", address, err)
	}
	if sa, err := unix.Getsockname(descriptor); err == nil {
		if in, ok := sa.(*unix.SockaddrInet4); ok {
			address = netip.AddrPortFrom(address.Addr(), uint16(in.Port))
		}
	}
	return &listener{poller: p, fd: descriptor, address: address, mode: simapi.AcceptNone, accept: accept, onFailure: fault}, nil
}

// setMode changes how connections are accepted. With AcceptNone the socket keeps its address and does not listen. With
// AcceptSilently it listens, and a filter drops all packets of connections that are not established yet; established ones
// are not affected. A filter is better than a full backlog: no connection gets in by chance, and when the filter is
// removed, attempts that are still being retried succeed.
func (l *listener) setMode(mode int) error {
	if mode == l.mode {
		return nil
	}
	previous := l.mode
	l.mode = mode
	if previous == simapi.AcceptSilently {
		if err := unix.SetsockoptInt(l.fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0); err != nil {
			return localError{fmt.Errorf("filter at %v: %w", l.address, err)}
		}
	}
	switch mode {
	case simapi.AcceptSilently:
		if err := unix.SetsockoptSockFprog(l.fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &dropAll); err != nil {
			return localError{fmt.Errorf("filter at %v: %w", l.address, err)}
		}
	case simapi.AcceptNone:
		l.ready(0) // connections established so far are accepted
		l.poller.remove(l.fd)
		if err := unix.Shutdown(l.fd, unix.SHUT_RD); err != nil {
			return localError{fmt.Errorf("refusing at %v: %w", l.address, err)}
		}
	}
	if previous == simapi.AcceptNone {
		if err := unix.Listen(l.fd, backlog); err != nil {
			return localError{fmt.Errorf("listening at %v: %w", l.address, err)}
		}
		if err := l.poller.add(l.fd, unix.EPOLLIN, l); err != nil {
			return localError{err}
		}
	}
	return nil
}

// ready accepts the connections that wait, up to 256 at a time, so that other sockets get their turn.
func (l *listener) ready(uint32) {
	for range 256 {
		fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			l.accept(fd)
		case unix.EINTR, unix.ECONNABORTED:
		case unix.EAGAIN:
			return
		default: // out of descriptors or memory
			l.onFailure(localError{fmt.Errorf("accepting at %v: %w", l.address, err)})
			return
		}
	}
}

func (l *listener) close() {
	if l.mode != simapi.AcceptNone {
		l.poller.forget(l.fd)
	}
	_ = unix.Close(l.fd)
}
