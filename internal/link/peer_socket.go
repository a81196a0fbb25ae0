package link

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/gossip"
)

const (
	maxDatagramsPerEvent = 256                    // in a flood of datagrams, connections are served too
	peerReopenDelay      = 250 * time.Millisecond // after the socket could not be opened
	incarnationUnit      = 16 * time.Millisecond  // of Unix time: 32 bits of it go round in two years
)

// peerSocket is the socket by which schedulers tell each other of their load. Only datagrams from the addresses of peers are
// heard; what can't be sent is lost, as datagrams may be.
type peerSocket struct {
	loop    *Loop
	fd      int // -1: it is not open
	listen  netip.AddrPort
	numbers map[netip.AddrPort]int // of peers, by the addresses that they send from
	targets []unix.Sockaddr        // by peer
	node    *gossip.Node
}

// openPeerSocket opens the socket, if there are peers that may be told something.
func (l *Loop) openPeerSocket(conf config.Config) {
	if !conf.Settings.PeerMessages {
		return
	}
	l.peers = &peerSocket{
		loop:    l,
		fd:      -1,
		listen:  conf.PeerListen,
		numbers: map[netip.AddrPort]int{},
		node: gossip.New(gossip.Config{
			Self:        conf.Settings.ReplicaIndex,
			Peers:       conf.Settings.Replicas,
			Incarnation: uint32(l.Now() / incarnationUnit),
		}),
	}
	for number, address := range conf.Peers {
		_, sockaddr := eventloop.Sockaddr(address)
		l.peers.targets = append(l.peers.targets, sockaddr)
		l.peers.numbers[address] = number
	}
	l.Requests.TellPeer = l.peers.node.Queue
	l.peers.open()
}

// open opens the socket. Where that fails it is tried again: until then nothing is heard.
func (p *peerSocket) open() {
	if err := p.tryOpen(); err != nil {
		p.loop.log.Warn("peer socket can't be opened", "address", p.listen, "error", err)
		p.loop.StartTimer(peerReopenDelay, p, p.open)
	}
}

func (p *peerSocket) tryOpen() error {
	syscalls := p.loop.Syscalls()
	family, sockaddr := eventloop.Sockaddr(p.listen)
	fd, err := syscalls.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	if err = syscalls.Bind(fd, sockaddr); err == nil {
		err = p.loop.Add(fd, unix.EPOLLIN, p)
	}
	if err != nil {
		_ = syscalls.Close(fd)
		return fmt.Errorf("bind: %w", err)
	}
	p.fd = fd
	return nil
}

// HandleEvents takes in datagrams.
func (p *peerSocket) HandleEvents(uint32) {
	for range maxDatagramsPerEvent {
		n, sockaddr, err := p.loop.Syscalls().RecvfromAddress(p.fd, p.loop.ReadBuffer(), unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return
		case err != nil: // an earlier datagram could not be delivered, or memory is short: there is another event
			return
		}
		p.receive(eventloop.AddrPort(sockaddr), p.loop.ReadBuffer()[:n])
	}
}

func (p *peerSocket) receive(from netip.AddrPort, datagram []byte) {
	number, ok := p.numbers[from]
	if !ok {
		number = -1
	}
	if messages, err := p.node.Receive(p.loop.Now(), number, datagram); err == nil && !p.loop.hasRelinquished() {
		p.loop.Requests.AddPeerMessages(number, messages)
	}
}

// flush sends what is queued.
func (p *peerSocket) flush() {
	for _, datagram := range p.node.Flush() {
		if p.fd >= 0 {
			_ = p.loop.Syscalls().Sendto(p.fd, datagram.Bytes, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, p.targets[datagram.To])
		}
	}
}

// HandlePanic has nothing to end: the socket goes on.
func (p *peerSocket) HandlePanic() {}
