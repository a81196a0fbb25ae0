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

// peerReopenTime is by when a socket that could not be opened is retried.
const peerReopenTime = 500 * time.Millisecond

// preparePeers gives a loop the number of a scheduler among its peers.
func (h *harness) preparePeers(number int, peers ...netip.AddrPort) {
	settings := config.Settings{Settings: dispatch.Settings{Replicas: len(peers), ReplicaIndex: number, PeerMessages: true}}
	h.scheduler.preparePeerSocket(config.Config{PeerListen: peers[number], Peers: peers, Settings: settings})
}

func (h *harness) openPeers(number int, peers ...netip.AddrPort) {
	h.preparePeers(number, peers...)
	h.scheduler.openPeerSocket()
}

// tell has the policy send a message to a peer.
func (h *harness) tell(to int, message dispatch.PeerMessage) {
	h.policy.Next = append(h.policy.Next, dispatch.SendPeerMessage{To: to, Message: message})
	h.scheduler.Requests.Wake()
	h.runIterations()
}

// fromPeers returns the messages that the policy has received.
func (h *harness) fromPeers() (received []dispatch.PeerMessageReceived) {
	for _, event := range h.policy.Received {
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

// send sends a datagram with a message to scheduler 0.
func (r *remotePeer) send(t *testing.T, to netip.AddrPort, message dispatch.PeerMessage) {
	t.Helper()
	r.node.Queue(0, message)
	_, sockaddr := eventloop.Sockaddr(to)
	if err := unix.Sendto(r.fd, r.node.Flush()[0].Bytes, 0, sockaddr); err != nil {
		t.Fatal(err)
	}
}

// countCalls returns how many calls of a kind the loop makes during act.
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

// newPeerPair returns a loop that is number 0 of two schedulers, and the other one.
func newPeerPair(t *testing.T) (*harness, *remotePeer) {
	t.Helper()
	h := newHarness(&modeltest.Steps{T: t})
	remote := &remotePeer{node: gossip.New(gossip.Config{Self: 1, Peers: 2, Incarnation: 1})}
	remote.fd, remote.address = eventlooptest.OpenDatagramSocket(t, "127.0.0.3")
	t.Cleanup(func() { _ = unix.Close(remote.fd) })
	h.openPeers(0, eventlooptest.FreeDatagramAddress(t, "127.0.0.2"), remote.address)
	return h, remote
}

// queued is a message that can be told from others, and queuedFrom1 the event that it is.
func queued(id int) dispatch.PeerMessage { return dispatch.LeaseQueued{ID: dispatch.LeaseID(id)} }

func queuedFrom1(ids ...int) (events []dispatch.PeerMessageReceived) {
	for _, id := range ids {
		events = append(events, dispatch.PeerMessageReceived{From: 1, Message: queued(id)})
	}
	return events
}

func (h *harness) expectFromPeers(want []dispatch.PeerMessageReceived) {
	h.T.Helper()
	if got := h.fromPeers(); !reflect.DeepEqual(got, want) {
		h.T.Errorf("received %+v, expected %+v", got, want)
	}
}

// What a policy sends to another scheduler reaches that scheduler's policy.
func TestLoopsExchangeDatagrams(t *testing.T) {
	first, second := newHarness(&modeltest.Steps{T: t}), newHarness(&modeltest.Steps{T: t})
	peers := []netip.AddrPort{eventlooptest.FreeDatagramAddress(t, "127.0.0.2"), eventlooptest.FreeDatagramAddress(t, "127.0.0.3")}
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

// A successor opens the socket once its predecessor has closed its own, and receives from the same peers.
func TestHotRestartHandsOverPeerSocket(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	remote := &remotePeer{node: gossip.New(gossip.Config{Self: 1, Peers: 2})}
	remote.fd, remote.address = eventlooptest.OpenDatagramSocket(t, "127.0.0.3")
	defer func() { _ = unix.Close(remote.fd) }()
	own := eventlooptest.FreeDatagramAddress(t, "127.0.0.2")
	predecessor.openPeers(0, own, remote.address)
	successor := predecessor.startSuccessor(dir, address)
	opened := successor.countCalls(eventloop.CallSocket, func() { successor.openPeers(0, own, remote.address) })
	if successor.scheduler.peers.IsOpen() || opened > 0 {
		t.Error("a successor in standby opens the socket")
	}
	if err := predecessor.handOverTo(successor); err != nil {
		t.Fatal(err)
	}
	if predecessor.scheduler.peers.IsOpen() {
		t.Error("the predecessor keeps the socket")
	}
	successor.now += peerReopenTime // the predecessor's socket may have been open at the first attempt
	successor.runIterations()
	remote.send(t, own, queued(1))
	predecessor.runIterations()
	successor.runIterations()
	successor.expectFromPeers(queuedFrom1(1))
	if received := predecessor.fromPeers(); received != nil {
		t.Errorf("the predecessor receives %+v", received)
	}
}

// A policy that replaces one that has failed is a new scheduler to its peers: it numbers its leases anew.
func TestNewPolicyIsNewToPeers(t *testing.T) {
	h, remote := newPeerPair(t)
	newPolicy := h.scheduler.policyFactory(config.Config{}, config.Ops{}, false)
	expectFirst := func(want dispatch.PeerMessage) {
		t.Helper()
		h.tell(1, queued(1))
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
		loop, err := Open(nil, conf, test.ops, logging.NewFactory(config.Log{}, "n0", io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		isOpen := loop.peers != nil && loop.peers.IsOpen()
		if isOpen != test.want || (loop.Requests.SendPeerMessage != nil) != test.want {
			t.Errorf("section %v: open %v", test.ops.Gossip, isOpen)
		}
		if features := limits.SharesOf(conf, test.ops).FeatureDescriptors; (features == 1) != test.want {
			t.Errorf("section %v: %d descriptors", test.ops.Gossip, features)
		}
		loop.CloseDescriptors()
	}
}

// Without a socket there are no figures of messages; with one there are those of the socket and of the dispatcher, also before it
// is made.
func TestPeerCountsOfLoop(t *testing.T) {
	h := newHarness(&modeltest.Steps{T: t})
	if counts := h.scheduler.peerCounts(1); counts != (metrics.PeerCounts{}) {
		t.Errorf("%+v without a socket", counts)
	}
	h, _ = newPeerPair(t)
	h.tell(1, queued(1))
	before := h.scheduler.peerCounts(0)
	if !before.Enabled || before.Sent != 1 {
		t.Errorf("%+v after a datagram", before)
	}
	h.scheduler.dispatcher = dispatch.New(dispatch.Settings{}, 1)
	if counts := h.scheduler.peerCounts(0); counts != before {
		t.Errorf("%+v, expected %+v", counts, before)
	}
}
