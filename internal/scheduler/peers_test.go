package scheduler

import (
	"io"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/gossip"
	"valvecove/internal/limits"
	"valvecove/internal/logging"
	"valvecove/internal/metrics"
	"valvecove/internal/modeltest"
)

// peerReopenTime is the delay after which opening a socket has been retried.
const peerReopenTime = 500 * time.Millisecond

// preparePeers configures the scheduler as the one with the given number among its peers.
func (h *harness) preparePeers(number int, peers ...netip.AddrPort) {
	settings := config.Settings{Settings: dispatch.Settings{Replicas: len(peers), ReplicaIndex: number, PeerMessages: true}}
	h.scheduler.preparePeerSocket(config.Config{PeerListen: peers[number], Peers: peers, Settings: settings})
}

func (h *harness) openPeers(number int, peers ...netip.AddrPort) {
	h.preparePeers(number, peers...)
	h.scheduler.openPeerSocket()
}

// sendToPeer makes the policy send a message to a peer.
func (h *harness) sendToPeer(to int, message dispatch.PeerMessage) {
	h.policy.Next = append(h.policy.Next, dispatch.SendPeerMessage{To: to, Message: message})
	h.scheduler.Requests.Wake()
	h.runIterations()
}

// messagesFromPeers returns the messages that the policy has received.
func (h *harness) messagesFromPeers() (received []dispatch.PeerMessageReceived) {
	for _, event := range h.policy.Received {
		if message, ok := event.(dispatch.PeerMessageReceived); ok {
			received = append(received, message)
		}
	}
	return received
}

// remotePeer is scheduler 1 of two, which the test implements.
type remotePeer struct {
	fd      int
	address netip.AddrPort
	node    *gossip.Node
}

// send sends a datagram with a message to scheduler 0.
func (r *remotePeer) send(t *testing.T, to netip.AddrPort, message dispatch.PeerMessage) {
	t.Helper()
	r.node.Queue(0, message)
	_, sockaddr := eventloop.Sockaddr(to)
	if err := unix.Sendto(r.fd, r.node.Flush()[0].Bytes, 0, sockaddr); err != nil {
		t.Fatal(err)
	}
}

// countCalls returns how many system calls of a kind the scheduler makes during act.
func (h *harness) countCalls(counted eventloop.Call, act func()) (calls int) {
	h.scheduler.Syscalls().Interceptor = func(call eventloop.Call, _ int) eventloop.Injection {
		if call == counted {
			calls++
		}
		return eventloop.Injection{}
	}
	act()
	h.scheduler.Syscalls().Interceptor = nil
	return calls
}

// newPeerPair returns scheduler 0 of two, and scheduler 1.
func newPeerPair(t *testing.T) (*harness, *remotePeer) {
	t.Helper()
	h := newHarness(&modeltest.Steps{T: t})
	remote := &remotePeer{node: gossip.New(gossip.Config{Self: 1, Schedulers: 2, Incarnation: 1})}
	remote.fd, remote.address = eventlooptest.OpenDatagramSocket(t, "127.0.0.3")
	t.Cleanup(func() { _ = unix.Close(remote.fd) })
	h.openPeers(0, eventlooptest.FreeDatagramAddress(t, "127.0.0.2"), remote.address)
	return h, remote
}

// queuedMessage returns a message that is identified by its lease ID.
func queuedMessage(id int) dispatch.PeerMessage {
	return dispatch.LeaseQueued{ID: dispatch.LeaseID(id)}
}

// queuedEventsFrom1 returns the events of messages from scheduler 1.
func queuedEventsFrom1(ids ...int) (events []dispatch.PeerMessageReceived) {
	for _, id := range ids {
		events = append(events, dispatch.PeerMessageReceived{From: 1, Message: queuedMessage(id)})
	}
	return events
}

func (h *harness) expectFromPeers(want []dispatch.PeerMessageReceived) {
	h.T.Helper()
	if got := h.messagesFromPeers(); !reflect.DeepEqual(got, want) {
		h.T.Errorf("received %+v, expected %+v", got, want)
	}
}

// A message that a policy sends to another scheduler is received by that scheduler's policy.
func TestSchedulersExchangeMessages(t *testing.T) {
	first, second := newHarness(&modeltest.Steps{T: t}), newHarness(&modeltest.Steps{T: t})
	peers := []netip.AddrPort{eventlooptest.FreeDatagramAddress(t, "127.0.0.2"), eventlooptest.FreeDatagramAddress(t, "127.0.0.3")}
	first.openPeers(0, peers...)
	second.openPeers(1, peers...)
	second.sendToPeer(0, queuedMessage(5))
	second.sendToPeer(0, queuedMessage(6))
	first.runIterations()
	first.expectFromPeers(queuedEventsFrom1(5, 6))
	first.sendToPeer(1, queuedMessage(7))
	second.runIterations()
	second.expectFromPeers([]dispatch.PeerMessageReceived{{From: 0, Message: queuedMessage(7)}})
}

// A successor opens the socket once its predecessor has closed its own, and receives from the same peers.
func TestHotRestartHandsOverPeerSocket(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	remote := &remotePeer{node: gossip.New(gossip.Config{Self: 1, Schedulers: 2})}
	remote.fd, remote.address = eventlooptest.OpenDatagramSocket(t, "127.0.0.3")
	defer func() { _ = unix.Close(remote.fd) }()
	own := eventlooptest.FreeDatagramAddress(t, "127.0.0.2")
	predecessor.openPeers(0, own, remote.address)
	successor := predecessor.startSuccessor(dir, address)
	opened := successor.countCalls(eventloop.CallSocket, func() { successor.openPeers(0, own, remote.address) })
	if successor.scheduler.peers.IsOpen() || opened > 0 {
		t.Error("a successor in standby opened the socket")
	}
	if err := predecessor.handOverTo(successor); err != nil {
		t.Fatal(err)
	}
	if predecessor.scheduler.peers.IsOpen() {
		t.Error("the predecessor has kept the socket")
	}
	successor.now += peerReopenTime // the predecessor's socket may have been open at the first attempt
	successor.runIterations()
	remote.send(t, own, queuedMessage(1))
	predecessor.runIterations()
	successor.runIterations()
	successor.expectFromPeers(queuedEventsFrom1(1))
	if received := predecessor.messagesFromPeers(); received != nil {
		t.Errorf("the predecessor received %+v", received)
	}
}

// After a failed policy was replaced, peers are notified of a restart: the new policy numbers its leases from 1 again.
func TestNewPolicyIsAnnouncedAsRestart(t *testing.T) {
	h, remote := newPeerPair(t)
	newPolicy := h.scheduler.policyFactory(config.Config{}, config.Ops{}, false)
	expectFirst := func(want dispatch.PeerMessage) {
		t.Helper()
		h.sendToPeer(1, queuedMessage(1))
		buffer := make([]byte, 2*gossip.MaxDatagram)
		size, _, err := unix.Recvfrom(remote.fd, buffer, unix.MSG_DONTWAIT)
		if err != nil {
			t.Fatal(err)
		}
		if messages, err := remote.node.Receive(0, 0, buffer[:size]); err != nil || messages[0] != want {
			t.Errorf("received %+v, %v, expected %+v first", messages, err, want)
		}
	}
	expectFirst(queuedMessage(1))
	newPolicy()
	expectFirst(dispatch.PeerRestarted{})
}

// Without the section [gossip] of the operators' file there is no socket, and the policy can't send messages.
func TestPeerSocketNeedsGossipSection(t *testing.T) {
	own, other := eventlooptest.FreeDatagramAddress(t, "127.0.0.2"), eventlooptest.FreeDatagramAddress(t, "127.0.0.3")
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
		scheduler, err := Open(nil, conf, test.ops, logging.NewFactory(config.Log{}, "n0", io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		isOpen := scheduler.peers != nil && scheduler.peers.IsOpen()
		if isOpen != test.want || (scheduler.Requests.SendPeerMessage != nil) != test.want {
			t.Errorf("section %v: open %v", test.ops.Gossip, isOpen)
		}
		if features := limits.SharesOf(conf, test.ops).FeatureDescriptors; (features == 1) != test.want {
			t.Errorf("section %v: %d descriptors", test.ops.Gossip, features)
		}
		scheduler.CloseDescriptors()
	}
}

// Without a socket the metrics of messages are zero. With one they include those of the socket and of the dispatcher, and can
// be read before there is a dispatcher.
func TestPeerCounts(t *testing.T) {
	h := newHarness(&modeltest.Steps{T: t})
	if counts := h.scheduler.peerCounts(1); counts != (metrics.PeerCounts{}) {
		t.Errorf("counts %+v without a socket, expected zeros", counts)
	}
	h, _ = newPeerPair(t)
	h.sendToPeer(1, queuedMessage(1))
	before := h.scheduler.peerCounts(0)
	if !before.Enabled || before.Sent != 1 {
		t.Errorf("counts %+v after a datagram, expected one sent", before)
	}
	h.scheduler.dispatcher = dispatch.New(dispatch.Settings{}, 1)
	if counts := h.scheduler.peerCounts(0); counts != before {
		t.Errorf("%+v, expected %+v", counts, before)
	}
}
