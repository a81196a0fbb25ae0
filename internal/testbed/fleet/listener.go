package fleet

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/testbed/loopback"
)

const listenBacklog = 4096 // connections that may wait to be accepted

// listener accepts connections at one address.
type listener struct {
	engine  *engine
	fd      int
	address netip.AddrPort
	accept  func(fd int) // owns the descriptor
}

// dropAll is a socket filter that drops every packet.
var dropAll = unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}}

// listenAt starts to listen. accept is called on the engine's thread with the descriptor of each connection.
func (e *engine) listenAt(address netip.AddrPort, accept func(fd int)) (*listener, error) {
	descriptor, err := loopback.NewSocket()
	if err != nil {
		return nil, err
	}
	created := &listener{engine: e, fd: descriptor, address: address, accept: accept}
	if err := created.open(); err != nil {
		_ = unix.Close(descriptor)
		return nil, fmt.Errorf("listening at %v: %w", address, err)
	}
	return created, nil
}

func (l *listener) open() error {
	_ = unix.SetsockoptInt(l.fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err := unix.Bind(l.fd, loopback.Sockaddr(l.address)); err != nil {
		return err
	}
	if err := unix.Listen(l.fd, listenBacklog); err != nil {
		return err
	}
	return l.engine.add(l.fd, unix.EPOLLIN, l)
}

// ready accepts one connection. While more wait, the descriptor stays ready.
func (l *listener) ready(uint32) {
	fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch {
	case err == nil:
		l.accept(fd)
	case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED), errors.Is(err, unix.EAGAIN):
	default: // out of descriptors or memory
		l.engine.fail(fmt.Errorf("accepting at %v: %w", l.address, err))
	}
}

// setPaused has the kernel drop all attempts to connect, or accept them again. Attempts that are still being retried then
// succeed.
func (l *listener) setPaused(paused bool) {
	var err error
	if paused {
		err = unix.SetsockoptSockFprog(l.fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &dropAll)
	} else {
		err = unix.SetsockoptInt(l.fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	}
	if err != nil {
		l.engine.fail(fmt.Errorf("filter at %v: %w", l.address, err))
	}
}

func (l *listener) close() {
	l.engine.remove(l.fd)
	_ = unix.Close(l.fd)
}
