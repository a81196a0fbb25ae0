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

// fixture is the Socket of scheduler 0 on an event loop, with the messages that it has received.
type fixture struct {
	*eventlooptest.Loop
	t               *testing.T
	socket          *Socket
	received        []dispatch.PeerMessageReceived
	leases          dispatch.LeaseCounts
	settings        dispatch.Settings
	hasRelinquished bool
}

// newFixture returns a fixture whose socket is not open yet. peers contains the addresses of all schedulers, scheduler 0 first.
func newFixture(t *testing.T, peers ...netip.AddrPort) *fixture {
	t.Helper()
	f := &fixture{Loop: eventlooptest.NewLoop(t, eventloop.Hooks{}), t: t}
	f.socket = New(f.Loop.Loop, Config{
		Listen:          peers[0],
		Peers:           peers,
		Schedulers:      len(peers),
		Receiver:        f,
		HasRelinquished: func() bool { return f.hasRelinquished },
		Log:             slog.New(slog.DiscardHandler),
		LeaseCounts:     func() dispatch.LeaseCounts { return f.leases },
		BudgetSpent:     func(bytesPerAttempt float64) float64 { return f.settings.BudgetSpent(bytesPerAttempt) },
	})
	return f
}

// AddPeerMessages implements MessageReceiver, and records the messages.
func (f *fixture) AddPeerMessages(from int, messages []dispatch.PeerMessage) {
	for _, message := range messages {
		f.received = append(f.received, dispatch.PeerMessageReceived{From: from, Message: message})
	}
}

// sendMessage sends a message of scheduler 0 to a peer.
func (f *fixture) sendMessage(to int, message dispatch.PeerMessage) {
	f.socket.Queue(to, message)
	f.socket.Flush()
	f.RunIterations()
}

func (f *fixture) expectReceived(want []dispatch.PeerMessageReceived) {
	f.t.Helper()
	if !reflect.DeepEqual(f.received, want) {
		f.t.Errorf("received %+v, want %+v", f.received, want)
	}
}

// sendFrom sends a datagram to scheduler 0 from the socket of a descriptor.
func (f *fixture) sendFrom(descriptor int, datagram []byte) {
	_, sockaddr := eventloop.Sockaddr(f.socket.config.Listen)
	if err := unix.Sendto(descriptor, datagram, 0, sockaddr); err != nil {
		f.t.Fatal(err)
	}
}

// failCalls makes the next calls of a kind fail with the given errors, one per call.
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

// remotePeer simulates scheduler 1 of two, with a socket of the test.
type remotePeer struct {
	fd      int
	address netip.AddrPort
	node    *gossip.Node
}

// newFixtureWithPeer returns schedulers 0 and 1 of two. The socket of scheduler 0 is open.
func newFixtureWithPeer(t *testing.T) (*fixture, *remotePeer) {
	t.Helper()
	remote := &remotePeer{node: gossip.New(gossip.Config{Self: 1, Schedulers: 2, Incarnation: 1})}
	remote.fd, remote.address = eventlooptest.OpenDatagramSocket(t, "127.0.0.3")
	t.Cleanup(func() { _ = unix.Close(remote.fd) })
	f := newFixture(t, eventlooptest.FreeDatagramAddress(t, "127.0.0.2"), remote.address)
	f.socket.Open()
	return f, remote
}

// datagram returns a datagram to scheduler 0 with a message.
func (r *remotePeer) datagram(message dispatch.PeerMessage) []byte {
	r.node.Queue(0, message)
	return r.node.Flush()[0].Bytes
}

// queued returns a LeaseQueued message with a lease ID, and queuedFrom1 the events of such messages from scheduler 1.
func queued(id int) dispatch.PeerMessage { return dispatch.LeaseQueued{ID: dispatch.LeaseID(id)} }

func queuedFrom1(ids ...int) (events []dispatch.PeerMessageReceived) {
	for _, id := range ids {
		events = append(events, dispatch.PeerMessageReceived{From: 1, Message: queued(id)})
	}
	return events
}
