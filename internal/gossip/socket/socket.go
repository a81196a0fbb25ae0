package socket

import (
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/gossip"
)

const (
	maxDatagramsPerEvent = 256                   // so that connections are also served during a flood of datagrams
	maxReceiveFailures   = 8                     // number of failures in one event after which receiving is paused
	receivePause         = 50 * time.Millisecond // after an error that may persist
	minReopenBackoff     = 10 * time.Millisecond // the backoff doubles with each failure
	maxReopenBackoff     = 500 * time.Millisecond
	incarnationUnit      = 16 * time.Millisecond // of Unix time; incarnations have 32 bits and wrap around after two years
)

// MessageReceiver receives the messages of a datagram from the peer with the given number, in their order. *requests.Table
// implements it.
type MessageReceiver interface {
	AddPeerMessages(from int, messages []dispatch.PeerMessage)
}

// Config configures a Socket.
type Config struct {
	Listen     netip.AddrPort
	Peers      []netip.AddrPort // addresses of all schedulers by number, including this one
	Self       int              // number of this scheduler
	Schedulers int              // number of schedulers, including this one

	Receiver        MessageReceiver
	HasRelinquished func() bool // reports whether a successor serves instead of this process
	Log             *slog.Logger

	// LeaseCounts returns the counts of leases of the dispatch policy in use.
	LeaseCounts func() dispatch.LeaseCounts
	// BudgetSpent returns the fraction of the message budget that a number of sent bytes per attempt spends.
	BudgetSpent func(bytesPerAttempt float64) float64
}

// Socket is the UDP socket of one scheduler. It accepts only datagrams that were sent from the address of a peer.
type Socket struct {
	loop          *eventloop.Loop
	config        Config
	descriptor    int                    // eventloop.NoDescriptor while the socket is not open
	peerNumbers   map[netip.AddrPort]int // by the address that a peer sends from
	peerSockaddrs []unix.Sockaddr        // by number
	node          *gossip.Node
	timer         *eventloop.Timer // for reopening the socket, or for the end of a pause
	reopenBackoff time.Duration    // before the next attempt to open the socket; 0 after a success
}

// New returns a Socket that is not open yet. The incarnation of its node is derived from the loop's time, which must be Unix
// time, so that it is greater than that of any earlier process.
func New(loop *eventloop.Loop, config Config) *Socket {
	socket := &Socket{
		loop:        loop,
		config:      config,
		descriptor:  eventloop.NoDescriptor,
		peerNumbers: map[netip.AddrPort]int{},
		node: gossip.New(gossip.Config{
			Self:        config.Self,
			Schedulers:  config.Schedulers,
			Incarnation: uint32(loop.Now() / incarnationUnit),
		}),
	}
	for number, address := range config.Peers {
		_, sockaddr := eventloop.Sockaddr(address)
		socket.peerSockaddrs = append(socket.peerSockaddrs, sockaddr)
		socket.peerNumbers[address] = number
	}
	return socket
}

// Queue queues a message for the peer with the given number, until the next Flush.
func (s *Socket) Queue(to int, message dispatch.PeerMessage) { s.node.Queue(to, message) }

// Restart notifies the peers, with the next datagram to each, that this scheduler has lost its state. Queued messages are
// dropped.
func (s *Socket) Restart() { s.node.Restart() }

// IsOpen reports whether the socket is open.
func (s *Socket) IsOpen() bool { return s.descriptor != eventloop.NoDescriptor }

// Open opens the socket. After a failure, it retries with a backoff until it succeeds or Close is called. Meanwhile no datagram
// is received, and datagrams to send are lost. Open does nothing once a successor serves.
func (s *Socket) Open() {
	if s.config.HasRelinquished() {
		return
	}
	if err := s.tryOpen(); err != nil {
		if s.reopenBackoff == 0 {
			s.config.Log.Warn("peer socket open failed", "address", s.config.Listen, "error", err)
		}
		s.scheduleOpen(min(max(2*s.reopenBackoff, minReopenBackoff), maxReopenBackoff))
		return
	}
	s.reopenBackoff = 0
}

// tryOpen opens the socket and adds it to the loop.
func (s *Socket) tryOpen() error {
	syscalls := s.loop.Syscalls()
	family, sockaddr := eventloop.Sockaddr(s.config.Listen)
	descriptor, err := syscalls.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	if err = syscalls.Bind(descriptor, sockaddr); err == nil {
		err = s.loop.Add(descriptor, unix.EPOLLIN, s)
	}
	if err != nil {
		_ = syscalls.Close(descriptor)
		return fmt.Errorf("bind: %w", err)
	}
	s.descriptor = descriptor
	return nil
}

// scheduleOpen schedules a call of Open after a backoff.
func (s *Socket) scheduleOpen(backoff time.Duration) {
	s.reopenBackoff = backoff
	s.timer = s.loop.StartTimer(backoff, s, s.Open)
}

// Close closes the socket, so that a successor can bind its address. Closing a closed socket has no effect.
func (s *Socket) Close() {
	s.loop.StopTimer(s.timer)
	if s.IsOpen() {
		s.loop.Remove(s.descriptor)
		s.descriptor = eventloop.NoDescriptor
	}
}

// reopen replaces a socket that can no longer be used.
func (s *Socket) reopen(reason error) {
	s.config.Log.Warn("peer socket lost", "address", s.config.Listen, "error", reason)
	s.Close()
	s.scheduleOpen(minReopenBackoff)
}

// pauseReceiving stops receiving for receivePause. Events are level-triggered: without the pause, a datagram that cannot be
// received would keep the loop busy.
func (s *Socket) pauseReceiving() {
	s.loop.Modify(s.descriptor, 0)
	s.loop.StopTimer(s.timer)
	s.timer = s.loop.StartTimer(receivePause, s, func() { s.loop.Modify(s.descriptor, unix.EPOLLIN) })
}

// HandleEvents receives datagrams. The read buffer holds the longest possible datagram, so that none is truncated to a valid
// length.
func (s *Socket) HandleEvents(uint32) {
	failures := 0
	for range maxDatagramsPerEvent {
		size, sockaddr, err := s.loop.Syscalls().RecvfromAddress(s.descriptor, s.loop.ReadBuffer(), unix.MSG_DONTWAIT)
		if err == nil {
			s.receive(eventloop.AddrPort(sockaddr), s.loop.ReadBuffer()[:size])
			continue
		}
		class := eventloop.Classify(eventloop.CallReceive, err)
		failures++
		switch {
		case class == eventloop.ErrorPending:
			return
		case class == eventloop.ErrorUnusable:
			s.reopen(err)
			return
		case !canRetry(class) || failures >= maxReceiveFailures:
			s.pauseReceiving()
			return
		}
	}
}

// canRetry reports whether a failed call may succeed if it is repeated at once: it was interrupted, or returned the error of an
// earlier datagram that could not be delivered.
func canRetry(class eventloop.ErrorClass) bool {
	return class == eventloop.ErrorRetry || class == eventloop.ErrorConnectionLost
}

// receive passes the messages of a datagram to Config.Receiver.
func (s *Socket) receive(from netip.AddrPort, datagram []byte) {
	number, ok := s.peerNumbers[from]
	if !ok {
		number = gossip.UnknownSender
	}
	messages, err := s.node.Receive(s.loop.Now(), number, datagram)
	if err == nil && !s.config.HasRelinquished() {
		s.config.Receiver.AddPeerMessages(number, messages)
	}
}

// Flush sends all queued messages. Datagrams that cannot be sent at once are lost and counted.
func (s *Socket) Flush() {
	for _, datagram := range s.node.Flush() {
		if !s.send(datagram) {
			s.node.CountUnsent()
		}
	}
}

// send sends a datagram, and reports whether the kernel has accepted it.
func (s *Socket) send(datagram gossip.Datagram) bool {
	if !s.IsOpen() {
		return false
	}
	err := s.sendOnce(datagram)
	if err != nil && canRetry(eventloop.Classify(eventloop.CallSendMessage, err)) {
		err = s.sendOnce(datagram)
	}
	return err == nil
}

// sendOnce sends a datagram without blocking.
func (s *Socket) sendOnce(datagram gossip.Datagram) error {
	const flags = unix.MSG_DONTWAIT | unix.MSG_NOSIGNAL
	return s.loop.Syscalls().Sendto(s.descriptor, datagram.Bytes, flags, s.peerSockaddrs[datagram.To])
}

// HandlePanic does nothing: the socket remains in use.
func (s *Socket) HandlePanic() {}
