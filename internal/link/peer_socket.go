package link

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/gossip"
)

const (
	maxDatagramsPerEvent = 256                   // in a flood of datagrams, connections are served too
	maxReceiveFailures   = 8                     // in one event, before the socket pauses
	peerPause            = 50 * time.Millisecond // while nothing can be received
	minPeerReopenDelay   = 10 * time.Millisecond // after the socket could not be opened; it doubles while that goes on
	maxPeerReopenDelay   = 500 * time.Millisecond
	incarnationUnit      = 16 * time.Millisecond // of Unix time: 32 bits of it go round in two years
)

// peerSocket is the socket by which schedulers tell each other of leases. Only datagrams from the addresses of peers are taken
// in; what can't be sent is lost, as datagrams may be.
type peerSocket struct {
	loop        *Loop
	fd          int // eventloop.NoDescriptor: it is not open
	listen      netip.AddrPort
	numbers     map[netip.AddrPort]int // of peers, by the addresses that they send from
	targets     []unix.Sockaddr        // by peer
	node        *gossip.Node
	timer       *eventloop.Timer // when it is opened again, or receives again
	reopenDelay time.Duration    // before the next try to open it; 0: the last one went well
}

// preparePeerSocket makes the socket's owner, if there are peers that may be told something. open opens the socket.
func (l *Loop) preparePeerSocket(conf config.Config) {
	if !conf.Settings.PeerMessages {
		return
	}
	l.peers = &peerSocket{
		loop:    l,
		fd:      eventloop.NoDescriptor,
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
}

// openPeerSocket opens the socket, if there is to be one and this process serves. A successor opens it once its predecessor
// has let go of it.
func (l *Loop) openPeerSocket() {
	isStandingBy := l.successorRole != nil && !l.successorRole.isServing()
	if l.peers != nil && !isStandingBy {
		l.peers.open()
	}
}

// open opens the socket. Where that fails it is tried again: until then nothing is received, and what is sent is lost.
func (p *peerSocket) open() {
	if p.loop.hasRelinquished() {
		return
	}
	if err := p.tryOpen(); err != nil {
		if p.reopenDelay == 0 {
			p.loop.log.Warn("peer socket can't be opened", "address", p.listen, "error", err)
		}
		p.reopenDelay = min(max(2*p.reopenDelay, minPeerReopenDelay), maxPeerReopenDelay)
		p.timer = p.loop.StartTimer(p.reopenDelay, p, p.open)
		return
	}
	p.reopenDelay = 0
}

func (p *peerSocket) tryOpen() error {
	syscalls := p.loop.Syscalls()
	family, sockaddr := eventloop.Sockaddr(p.listen)
	socket, err := syscalls.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	if err = syscalls.Bind(socket, sockaddr); err == nil {
		err = p.loop.Add(socket, unix.EPOLLIN, p)
	}
	if err != nil {
		_ = syscalls.Close(socket)
		return fmt.Errorf("bind: %w", err)
	}
	p.fd = socket
	return nil
}

// close lets go of the socket, for a successor to open it.
func (p *peerSocket) close() {
	p.loop.StopTimer(p.timer)
	if p.fd != eventloop.NoDescriptor {
		p.loop.Remove(p.fd)
		p.fd = eventloop.NoDescriptor
	}
}

// reopen closes a socket that is of no use any more, and opens another one in a moment.
func (p *peerSocket) reopen(cause error) {
	p.loop.log.Warn("peer socket lost", "address", p.listen, "error", cause)
	p.close()
	p.reopenDelay = minPeerReopenDelay
	p.timer = p.loop.StartTimer(p.reopenDelay, p, p.open)
}

// pause receives nothing for a while: the event of a datagram that waits is level-triggered, and would be there again at once.
func (p *peerSocket) pause() {
	p.loop.Modify(p.fd, 0)
	p.loop.StopTimer(p.timer)
	p.timer = p.loop.StartTimer(peerPause, p, func() { p.loop.Modify(p.fd, unix.EPOLLIN) })
}

// HandleEvents takes in datagrams. The buffer has room for the longest there are, so that none that is too long is taken for
// one of 256 bytes.
func (p *peerSocket) HandleEvents(uint32) {
	failures := 0
	for range maxDatagramsPerEvent {
		size, sockaddr, err := p.loop.Syscalls().RecvfromAddress(p.fd, p.loop.ReadBuffer(), unix.MSG_DONTWAIT)
		if err == nil {
			p.receive(eventloop.AddrPort(sockaddr), p.loop.ReadBuffer()[:size])
			continue
		}
		class := eventloop.Classify(eventloop.CallReceive, err)
		failures++
		// What failed may be an earlier datagram, which could not be delivered.
		isPassing := class == eventloop.ErrorRetry || class == eventloop.ErrorConnectionLost
		switch {
		case class == eventloop.ErrorPending:
			return
		case class == eventloop.ErrorUnusable:
			p.reopen(err)
			return
		case !isPassing || failures >= maxReceiveFailures:
			p.pause()
			return
		}
	}
}

func (p *peerSocket) receive(from netip.AddrPort, datagram []byte) {
	number, ok := p.numbers[from]
	if !ok {
		number = gossip.UnknownSender
	}
	messages, err := p.node.Receive(p.loop.Now(), number, datagram)
	if err == nil && !p.loop.hasRelinquished() {
		p.loop.Requests.AddPeerMessages(number, messages)
	}
}

// flush sends what is queued.
func (p *peerSocket) flush() {
	for _, datagram := range p.node.Flush() {
		if !p.send(datagram) {
			p.node.CountUnsent()
		}
	}
}

// send sends a datagram. One that the kernel does not take at once is lost: its messages are repeated where that matters.
func (p *peerSocket) send(datagram gossip.Datagram) bool {
	if p.fd == eventloop.NoDescriptor {
		return false
	}
	const flags = unix.MSG_DONTWAIT | unix.MSG_NOSIGNAL
	target := p.targets[datagram.To]
	err := p.loop.Syscalls().Sendto(p.fd, datagram.Bytes, flags, target)
	// An interrupted call is made once more, and so is one that had the error of an earlier datagram.
	if class := eventloop.Classify(eventloop.CallSendMessage, err); err != nil &&
		(class == eventloop.ErrorRetry || class == eventloop.ErrorConnectionLost) {
		err = p.loop.Syscalls().Sendto(p.fd, datagram.Bytes, flags, target)
	}
	return err == nil
}

// HandlePanic has nothing to end: the socket goes on.
func (p *peerSocket) HandlePanic() {}
