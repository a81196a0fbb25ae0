package socket

import (
	"log/slog"
	"net/netip"
	"reflect"
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/gossip"
)

// fixture is a socket on an event loop, and the messages that it has received.
type fixture struct {
	*eventlooptest.Loop
	t          *testing.T
	socket     *Socket
	received   []dispatch.PeerMessageReceived
	leases     dispatch.LeaseCounts
	settings   dispatch.Settings
	isReplaced bool
}

// newFixture returns scheduler 0, whose socket is not open yet.
func newFixture(t *testing.T, peers ...netip.AddrPort) *fixture {
	t.Helper()
	f := &fixture{Loop: eventlooptest.NewLoop(t, eventloop.Hooks{}), t: t}
	f.socket = New(f.Loop.Loop, Config{
		Listen:          peers[0],
		Peers:           peers,
		Count:           len(peers),
		Receiver:        f,
		HasRelinquished: func() bool { return f.isReplaced },
		Log:             slog.New(slog.DiscardHandler),
		LeaseCounts:     func() dispatch.LeaseCounts { return f.leases },
		BudgetSpent:     func(bytesPerAttempt float64) float64 { return f.settings.BudgetSpent(bytesPerAttempt) },
	})
	return f
}

// AddPeerMessages records the messages.
func (f *fixture) AddPeerMessages(from int, messages []dispatch.PeerMessage) {
	for _, message := range messages {
		f.received = append(f.received, dispatch.PeerMessageReceived{From: from, Message: message})
	}
}

// tell sends a message to a peer.
func (f *fixture) tell(to int, message dispatch.PeerMessage) {
	f.socket.Queue(to, message)
	f.socket.Flush()
	f.RunIterations()
}

func (f *fixture) expectReceived(want []dispatch.PeerMessageReceived) {
	f.t.Helper()
	if !reflect.DeepEqual(f.received, want) {
		f.t.Errorf("received %+v, expected %+v", f.received, want)
	}
}

// sendFrom sends a datagram to scheduler 0.
func (f *fixture) sendFrom(descriptor int, datagram []byte) {
	_, sockaddr := eventloop.Sockaddr(f.socket.config.Listen)
	if err := unix.Sendto(descriptor, datagram, 0, sockaddr); err != nil {
		f.t.Fatal(err)
	}
}

// failCalls has the next calls of a kind fail with the given errors.
func (f *fixture) failCalls(failing eventloop.Call, errnos ...unix.Errno) {
	f.Syscalls().Interceptor = func(call eventloop.Call, _ int) (injection eventloop.Injection) {
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

// remotePeer is a scheduler whose socket is the test's: number 1 of two.
type remotePeer struct {
	fd      int
	address netip.AddrPort
	node    *gossip.Node
}

// newFixtureWithPeer returns number 0 of two schedulers, with an open socket, and the other one.
func newFixtureWithPeer(t *testing.T) (*fixture, *remotePeer) {
	t.Helper()
	remote := &remotePeer{node: gossip.New(gossip.Config{Self: 1, Peers: 2, Incarnation: 1})}
	remote.fd, remote.address = eventlooptest.OpenDatagramSocket(t, "127.0.0.3")
	t.Cleanup(func() { _ = unix.Close(remote.fd) })
	f := newFixture(t, eventlooptest.FreeDatagramAddress(t, "127.0.0.2"), remote.address)
	f.socket.Open()
	return f, remote
}

// datagram is one with a message, to scheduler 0.
func (r *remotePeer) datagram(message dispatch.PeerMessage) []byte {
	r.node.Queue(0, message)
	return r.node.Flush()[0].Bytes
}

// queued is a message with the given lease ID, and queuedFrom1 the events of such messages from scheduler 1.
func queued(id int) dispatch.PeerMessage { return dispatch.LeaseQueued{ID: dispatch.LeaseID(id)} }

func queuedFrom1(ids ...int) (events []dispatch.PeerMessageReceived) {
	for _, id := range ids {
		events = append(events, dispatch.PeerMessageReceived{From: 1, Message: queued(id)})
	}
	return events
}
