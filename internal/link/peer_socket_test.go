package link

import (
	"io"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/gossip"
	"valvecove/internal/logging"
	"valvecove/internal/modeltest"
)

// udpSocket opens a socket at an address of this machine and returns the address with its port.
func udpSocket(t *testing.T, ip string) (fd int, address netip.AddrPort) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, sockaddr := eventloop.Sockaddr(netip.AddrPortFrom(netip.MustParseAddr(ip), 0))
	if err := unix.Bind(fd, sockaddr); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fd, eventloop.AddrPort(bound)
}

// freeAddress returns an address where a socket can be opened.
func freeAddress(t *testing.T, ip string) netip.AddrPort {
	t.Helper()
	fd, address := udpSocket(t, ip)
	_ = unix.Close(fd)
	return address
}

// preparePeers gives a loop the number of a scheduler among its peers.
func (w *harness) preparePeers(number int, peers ...netip.AddrPort) {
	settings := config.Settings{Settings: dispatch.Settings{Replicas: len(peers), ReplicaIndex: number, PeerMessages: true}}
	w.loop.preparePeerSocket(config.Config{PeerListen: peers[number], Peers: peers, Settings: settings})
}

func (w *harness) openPeers(number int, peers ...netip.AddrPort) {
	w.preparePeers(number, peers...)
	w.loop.openPeerSocket()
}

// tell has the policy tell a peer something.
func (w *harness) tell(to int, message dispatch.PeerMessage) {
	w.policy.Next = append(w.policy.Next, dispatch.SendPeerMessage{To: to, Message: message})
	w.loop.Requests.Wake()
	w.runIterations()
}

// fromPeers are the messages that the policy was given.
func (w *harness) fromPeers() (received []dispatch.PeerMessageReceived) {
	for _, event := range w.policy.Received {
		if message, ok := event.(dispatch.PeerMessageReceived); ok {
			received = append(received, message)
		}
	}
	return received
}

// remotePeer is a scheduler whose socket is the test's: number 1 of two.
type remotePeer struct {
	fd      int
	address netip.AddrPort
	node    *gossip.Node
}

// newPeerPair returns a loop that is number 0 of two schedulers, and the other one.
func newPeerPair(t *testing.T) (*harness, *remotePeer) {
	t.Helper()
	w := newHarness(&modeltest.Steps{T: t})
	remote := &remotePeer{node: gossip.New(gossip.Config{Self: 1, Peers: 2, Incarnation: 1})}
	remote.fd, remote.address = udpSocket(t, "127.0.0.3")
	t.Cleanup(func() { _ = unix.Close(remote.fd) })
	w.openPeers(0, freeAddress(t, "127.0.0.2"), remote.address)
	return w, remote
}

// datagram is one with a message, to scheduler 0.
func (r *remotePeer) datagram(message dispatch.PeerMessage) []byte {
	r.node.Queue(0, message)
	return r.node.Flush()[0].Bytes
}

func (w *harness) sendFrom(fd int, datagram []byte) {
	_, sockaddr := eventloop.Sockaddr(w.loop.peers.listen)
	if err := unix.Sendto(fd, datagram, 0, sockaddr); err != nil {
		w.T.Fatal(err)
	}
}

// queued is a message that can be told from others, and queuedFrom1 the event that it is.
func queued(id int) dispatch.PeerMessage { return dispatch.LeaseQueued{ID: dispatch.LeaseID(id)} }

func queuedFrom1(ids ...int) (events []dispatch.PeerMessageReceived) {
	for _, id := range ids {
		events = append(events, dispatch.PeerMessageReceived{From: 1, Message: queued(id)})
	}
	return events
}

func (w *harness) expectFromPeers(want []dispatch.PeerMessageReceived) {
	w.T.Helper()
	if got := w.fromPeers(); !reflect.DeepEqual(got, want) {
		w.T.Errorf("received %+v, expected %+v", got, want)
	}
}

func TestLoopsExchangeDatagrams(t *testing.T) {
	first, second := newHarness(&modeltest.Steps{T: t}), newHarness(&modeltest.Steps{T: t})
	peers := []netip.AddrPort{freeAddress(t, "127.0.0.2"), freeAddress(t, "127.0.0.3")}
	first.openPeers(0, peers...)
	second.openPeers(1, peers...)
	second.tell(0, queued(5))
	second.tell(0, queued(6))
	first.runIterations()
	first.expectFromPeers(queuedFrom1(5, 6))
	first.tell(1, queued(7))
	second.runIterations()
	second.expectFromPeers([]dispatch.PeerMessageReceived{{From: 0, Message: queued(7)}})
}

// What comes from elsewhere, or is too long, is dropped and counted. Of a long datagram the first 256 bytes are a good one.
func TestUnknownSendersAndLongDatagramsAreDropped(t *testing.T) {
	w, remote := newPeerPair(t)
	unknown, _ := udpSocket(t, "127.0.0.4")
	defer func() { _ = unix.Close(unknown) }()
	otherPort, _ := udpSocket(t, "127.0.0.3")
	defer func() { _ = unix.Close(otherPort) }()
	good := remote.datagram(queued(1))
	w.sendFrom(unknown, good)
	w.sendFrom(otherPort, good)
	for range 110 { // of 2 bytes each at least: the first datagram is full
		remote.node.Queue(0, dispatch.LeaseStarted{ID: 1 << 31})
	}
	full := remote.node.Flush()[0].Bytes
	for _, size := range []int{gossip.MaxDatagram + 1, 60_000} {
		w.sendFrom(remote.fd, append(full[:len(full):len(full)], make([]byte, size-len(full))...))
	}
	w.sendFrom(remote.fd, nil)
	w.sendFrom(remote.fd, good)
	w.runIterations()
	w.expectFromPeers(queuedFrom1(1))
	counters := w.loop.peers.node.Counters()
	if counters.UnknownSenders != 2 || counters.TooLong != 2 || counters.Malformed != 1 || counters.Received != 1 {
		t.Errorf("%+v", counters)
	}
}

// While datagrams never cease to come, an event takes in a bounded number, and the next one goes on.
func TestFloodOfDatagrams(t *testing.T) {
	w, remote := newPeerPair(t)
	w.loop.Syscalls().Interceptor = func(call eventloop.Call, _ int) eventloop.Injection {
		if call == eventloop.CallReceive {
			w.sendFrom(remote.fd, remote.datagram(queued(1)))
		}
		return eventloop.Injection{}
	}
	for events := uint64(1); events <= 2; events++ {
		w.loop.peers.HandleEvents(unix.EPOLLIN)
		if got := w.loop.peers.node.Counters().Received; got != events*maxDatagramsPerEvent {
			t.Errorf("%d taken in %d events", got, events)
		}
	}
}

// failCalls has the next calls of a kind fail, as many as there are errors.
func (w *harness) failCalls(failing eventloop.Call, errnos ...unix.Errno) {
	w.loop.Syscalls().Interceptor = func(call eventloop.Call, _ int) (injection eventloop.Injection) {
		if call == failing && len(errnos) > 0 {
			injection.Errno, errnos = errnos[0], errnos[1:]
		}
		return injection
	}
}

func repeated(errno unix.Errno, times int) (errnos []unix.Errno) {
	for range times {
		errnos = append(errnos, errno)
	}
	return errnos
}

// Whatever receiving fails with, the loop comes to rest, and what has come is taken in a moment later.
func TestReceiveFailures(t *testing.T) {
	for name, test := range map[string]struct {
		errnos   []unix.Errno
		isPaused bool
	}{
		"interrupted":            {repeated(unix.EINTR, 3), false},
		"earlier undeliverable":  {repeated(unix.ECONNREFUSED, 3), false},
		"nothing":                {repeated(unix.EAGAIN, 1), false},
		"no memory":              {repeated(unix.ENOMEM, 1), true},
		"interrupted for long":   {repeated(unix.EINTR, 1000), true},
		"undeliverable for long": {repeated(unix.EHOSTUNREACH, 1000), true},
	} {
		t.Run(name, func(t *testing.T) {
			w, remote := newPeerPair(t)
			w.sendFrom(remote.fd, remote.datagram(queued(1)))
			w.failCalls(eventloop.CallReceive, test.errnos...)
			w.runIterations()
			if ready := w.readyDescriptors(); test.isPaused && (ready > 0 || len(w.fromPeers()) > 0) {
				t.Errorf("%d descriptors are ready, received %+v", ready, w.fromPeers())
			}
			w.failCalls(eventloop.CallReceive)
			if test.isPaused {
				w.now += peerPause
			}
			w.runIterations()
			w.expectFromPeers(queuedFrom1(1))
		})
	}
}

// A socket that is of no use any more is opened anew.
func TestLostPeerSocketIsReopened(t *testing.T) {
	w, remote := newPeerPair(t)
	w.sendFrom(remote.fd, remote.datagram(queued(1)))
	w.failCalls(eventloop.CallReceive, unix.EBADF)
	w.runIterations()
	if w.loop.peers.fd != eventloop.NoDescriptor {
		t.Error("the socket is kept")
	}
	w.tell(1, queued(2)) // is lost
	w.now += minPeerReopenDelay
	w.runIterations()
	w.sendFrom(remote.fd, remote.datagram(queued(3)))
	w.runIterations()
	w.expectFromPeers(queuedFrom1(3))
	if counters := w.loop.peers.node.Counters(); counters.Unsent != 1 {
		t.Errorf("%+v", counters)
	}
}

// A socket that can't be opened is tried again, ever less often, and holds up nothing.
func TestPeerSocketAddressInUse(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	other, address := udpSocket(t, "127.0.0.2")
	remote, remoteAddress := udpSocket(t, "127.0.0.3")
	defer func() { _ = unix.Close(remote) }()
	w.openPeers(0, address, remoteAddress)
	for range 20 {
		w.now += maxPeerReopenDelay
		w.runIterations()
		if w.loop.peers.fd != eventloop.NoDescriptor || w.loop.peers.reopenDelay > maxPeerReopenDelay {
			t.Fatalf("open as %d, tried again after %v", w.loop.peers.fd, w.loop.peers.reopenDelay)
		}
	}
	_ = unix.Close(other)
	w.now += maxPeerReopenDelay
	w.runIterations()
	peer := remotePeer{node: gossip.New(gossip.Config{Self: 1, Peers: 2})}
	w.sendFrom(remote, peer.datagram(queued(1)))
	w.runIterations()
	w.expectFromPeers(queuedFrom1(1))
}

func TestSendFailures(t *testing.T) {
	for name, test := range map[string]struct {
		errnos     []unix.Errno
		wantUnsent uint64
	}{
		"interrupted":             {repeated(unix.EINTR, 1), 0},
		"error of an earlier one": {repeated(unix.ECONNREFUSED, 1), 0},
		"out of reach":            {repeated(unix.EHOSTUNREACH, 2), 1},
		"buffer full":             {repeated(unix.EAGAIN, 1), 1},
		"no buffer":               {repeated(unix.ENOBUFS, 1), 1},
		"address of no use":       {repeated(unix.EINVAL, 1), 1},
	} {
		t.Run(name, func(t *testing.T) {
			w, remote := newPeerPair(t)
			w.failCalls(eventloop.CallSendMessage, test.errnos...)
			w.tell(1, queued(1))
			w.tell(1, queued(2))
			got := 0
			buffer := make([]byte, 2*gossip.MaxDatagram)
			for {
				size, _, err := unix.Recvfrom(remote.fd, buffer, unix.MSG_DONTWAIT)
				if err != nil {
					break
				}
				messages, err := remote.node.Receive(0, 0, buffer[:size])
				if err != nil {
					t.Error(err)
				}
				got += len(messages)
			}
			unsent := w.loop.peers.node.Counters().Unsent
			if unsent != test.wantUnsent || got != 2-int(test.wantUnsent) {
				t.Errorf("%d unsent, %d received", unsent, got)
			}
		})
	}
}

// A successor opens the socket once its predecessor has let go of it, and goes on with the same peers.
func TestHotRestartHandsOverPeerSocket(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	remote := &remotePeer{node: gossip.New(gossip.Config{Self: 1, Peers: 2})}
	remote.fd, remote.address = udpSocket(t, "127.0.0.3")
	defer func() { _ = unix.Close(remote.fd) }()
	own := freeAddress(t, "127.0.0.2")
	predecessor.openPeers(0, own, remote.address)
	successor := predecessor.startSuccessor(dir, address)
	successor.openPeers(0, own, remote.address)
	if successor.loop.peers.fd != eventloop.NoDescriptor || successor.loop.peers.reopenDelay > 0 {
		t.Error("a successor in standby opens the socket")
	}
	if err := predecessor.handOverTo(successor); err != nil {
		t.Fatal(err)
	}
	if predecessor.loop.peers.fd != eventloop.NoDescriptor {
		t.Error("the predecessor keeps the socket")
	}
	successor.now += maxPeerReopenDelay // the first try may have come too early
	successor.runIterations()
	successor.sendFrom(remote.fd, remote.datagram(queued(1)))
	predecessor.runIterations()
	successor.runIterations()
	successor.expectFromPeers(queuedFrom1(1))
	if received := predecessor.fromPeers(); received != nil {
		t.Errorf("the predecessor receives %+v", received)
	}
}

// A policy that replaces one that has failed is a new scheduler to its peers: it numbers its leases anew.
func TestNewPolicyIsNewToPeers(t *testing.T) {
	w, remote := newPeerPair(t)
	newPolicy := w.loop.policyFactory(config.Config{}, config.Ops{}, false)
	expectFirst := func(want dispatch.PeerMessage) {
		t.Helper()
		w.tell(1, queued(1))
		buffer := make([]byte, 2*gossip.MaxDatagram)
		size, _, err := unix.Recvfrom(remote.fd, buffer, unix.MSG_DONTWAIT)
		if err != nil {
			t.Fatal(err)
		}
		if messages, err := remote.node.Receive(0, 0, buffer[:size]); err != nil || messages[0] != want {
			t.Errorf("received %+v, %v, expected %+v first", messages, err, want)
		}
	}
	expectFirst(queued(1))
	newPolicy()
	expectFirst(dispatch.PeerRestarted{})
}

// Without the operators' section there is no socket, and the policy is allowed no message.
func TestPeerSocketNeedsOperatorsSection(t *testing.T) {
	own, other := freeAddress(t, "127.0.0.2"), freeAddress(t, "127.0.0.3")
	text := strings.NewReplacer(
		`"limits"`, `"peer_listen":"`+own.String()+`","peers":["`+own.String()+`","`+other.String()+`"],"limits"`,
		`"settings":{`, `"settings":{"replicas_of_me":2,`, `"try_limit":2`, `"try_limit":2,"peers":true`,
	).Replace(startConfig)
	conf, err := config.Decode([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		ops  config.Ops
		want bool
	}{{config.Ops{}, false}, {config.Ops{Gossip: &config.Gossip{Budget: 0.02}}, true}} {
		loop, err := Open(conf, test.ops, logging.NewFactory(config.Log{}, "n0", io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		isOpen := loop.peers != nil && loop.peers.fd != eventloop.NoDescriptor
		if isOpen != test.want || (loop.Requests.TellPeer != nil) != test.want {
			t.Errorf("section %v: open %v", test.ops.Gossip, isOpen)
		}
		if features := SharesOf(conf, test.ops).Features; (features == gossipDescriptors) != test.want {
			t.Errorf("section %v: %d descriptors", test.ops.Gossip, features)
		}
		loop.CloseDescriptors()
	}
}
