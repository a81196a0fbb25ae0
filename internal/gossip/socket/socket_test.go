package socket

import (
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/gossip"
)

// Datagrams from unknown addresses and datagrams that are too long are dropped and counted. This includes datagrams whose first
// 256 bytes are a valid datagram.
func TestUnknownSendersAndLongDatagramsAreDropped(t *testing.T) {
	f, remote := newFixtureWithPeer(t)
	unknown, _ := eventlooptest.OpenDatagramSocket(t, "127.0.0.4")
	defer func() { _ = unix.Close(unknown) }()
	otherPort, _ := eventlooptest.OpenDatagramSocket(t, "127.0.0.3")
	defer func() { _ = unix.Close(otherPort) }()
	good := remote.datagram(queued(1))
	f.sendFrom(unknown, good)
	f.sendFrom(otherPort, good)
	for range 110 { // more messages than fit into one datagram, so that the first datagram is full
		remote.node.Queue(0, dispatch.LeaseStarted{ID: 1 << 31})
	}
	full := remote.node.Flush()[0].Bytes
	for _, size := range []int{gossip.MaxDatagram + 1, 60_000} {
		f.sendFrom(remote.fd, append(full[:len(full):len(full)], make([]byte, size-len(full))...))
	}
	f.sendFrom(remote.fd, nil)
	f.sendFrom(remote.fd, good)
	f.RunIterations()
	f.expectReceived(queuedFrom1(1))
	counters := f.socket.node.Counters()
	if counters.UnknownSenders != 2 || counters.TooLong != 2 || counters.Malformed != 1 || counters.Received != 1 {
		t.Errorf("counters %+v, want 2 unknown senders, 2 too long, 1 malformed, 1 received", counters)
	}
}

// While datagrams keep arriving, each event handles a bounded number of them.
func TestDatagramsPerEventAreBounded(t *testing.T) {
	f, remote := newFixtureWithPeer(t)
	f.Syscalls().Interceptor = func(call eventloop.Call, _ int) eventloop.Injection {
		if call == eventloop.CallReceive {
			f.sendFrom(remote.fd, remote.datagram(queued(1)))
		}
		return eventloop.Injection{}
	}
	for events := uint64(1); events <= 2; events++ {
		f.socket.HandleEvents(unix.EPOLLIN)
		if got := f.socket.node.Counters().Received; got != events*maxDatagramsPerEvent {
			t.Errorf("%d datagrams received in %d events, want %d per event", got, events, maxDatagramsPerEvent)
		}
	}
}

// After any error of a receive call, the event loop does not spin, and the waiting datagram is received at once or after a pause.
func TestReceiveFailures(t *testing.T) {
	for name, test := range map[string]struct {
		errnos   []unix.Errno
		isPaused bool
	}{
		"interrupted":                       {repeated(unix.EINTR, 3), false},
		"error of an earlier datagram":      {repeated(unix.ECONNREFUSED, 3), false},
		"no datagram":                       {repeated(unix.EAGAIN, 1), false},
		"no memory":                         {repeated(unix.ENOMEM, 1), true},
		"persistently interrupted":          {repeated(unix.EINTR, 1000), true},
		"persistent errors of earlier ones": {repeated(unix.EHOSTUNREACH, 1000), true},
	} {
		t.Run(name, func(t *testing.T) {
			f, remote := newFixtureWithPeer(t)
			f.sendFrom(remote.fd, remote.datagram(queued(1)))
			f.failCalls(eventloop.CallReceive, test.errnos...)
			f.RunIterations()
			if ready := f.ReadyDescriptors(); test.isPaused && (ready > 0 || len(f.received) > 0) {
				t.Errorf("while receiving is paused: %d descriptors are ready, received %+v", ready, f.received)
			}
			f.failCalls(eventloop.CallReceive)
			if test.isPaused {
				f.Time += receivePause
			}
			f.RunIterations()
			f.expectReceived(queuedFrom1(1))
		})
	}
}

// An unusable socket is reopened after a backoff. Messages that are sent meanwhile are lost and counted.
func TestLostPeerSocketIsReopened(t *testing.T) {
	f, remote := newFixtureWithPeer(t)
	f.sendFrom(remote.fd, remote.datagram(queued(1)))
	f.failCalls(eventloop.CallReceive, unix.EBADF)
	f.RunIterations()
	if f.socket.descriptor != eventloop.NoDescriptor {
		t.Error("the unusable socket is still open")
	}
	f.sendMessage(1, queued(2)) // lost
	f.Time += minReopenBackoff
	f.RunIterations()
	f.sendFrom(remote.fd, remote.datagram(queued(3)))
	f.RunIterations()
	f.expectReceived(queuedFrom1(3))
	if counters := f.socket.node.Counters(); counters.Unsent != 1 {
		t.Errorf("counters %+v, want 1 unsent datagram", counters)
	}
}

// A socket whose address is in use is opened again with an increasing backoff of at most maxReopenBackoff, until the address is
// free.
func TestPeerSocketAddressInUse(t *testing.T) {
	other, address := eventlooptest.OpenDatagramSocket(t, "127.0.0.2")
	remote, remoteAddress := eventlooptest.OpenDatagramSocket(t, "127.0.0.3")
	defer func() { _ = unix.Close(remote) }()
	f := newFixture(t, address, remoteAddress)
	f.socket.Open()
	for range 20 {
		f.Time += maxReopenBackoff
		f.RunIterations()
		if f.socket.descriptor != eventloop.NoDescriptor || f.socket.reopenBackoff > maxReopenBackoff {
			t.Fatalf("address in use: descriptor %d, next attempt after %v", f.socket.descriptor, f.socket.reopenBackoff)
		}
	}
	_ = unix.Close(other)
	f.Time += maxReopenBackoff
	f.RunIterations()
	peer := remotePeer{node: gossip.New(gossip.Config{Self: 1, Schedulers: 2})}
	f.sendFrom(remote, peer.datagram(queued(1)))
	f.RunIterations()
	f.expectReceived(queuedFrom1(1))
}

// A send call is repeated once after an interruption or the error of an earlier datagram. Other errors lose the datagram.
func TestSendFailures(t *testing.T) {
	for name, test := range map[string]struct {
		errnos     []unix.Errno
		wantUnsent uint64
	}{
		"interrupted":                  {repeated(unix.EINTR, 1), 0},
		"error of an earlier datagram": {repeated(unix.ECONNREFUSED, 1), 0},
		"host unreachable":             {repeated(unix.EHOSTUNREACH, 2), 1},
		"send buffer full":             {repeated(unix.EAGAIN, 1), 1},
		"no buffer space":              {repeated(unix.ENOBUFS, 1), 1},
		"invalid address":              {repeated(unix.EINVAL, 1), 1},
	} {
		t.Run(name, func(t *testing.T) {
			f, remote := newFixtureWithPeer(t)
			f.failCalls(eventloop.CallSendMessage, test.errnos...)
			f.sendMessage(1, queued(1))
			f.sendMessage(1, queued(2))
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
			unsent := f.socket.node.Counters().Unsent
			if unsent != test.wantUnsent || got != 2-int(test.wantUnsent) {
				t.Errorf("%d datagrams unsent, %d messages received, want %d and %d", unsent, got, test.wantUnsent, 2-int(test.wantUnsent))
			}
		})
	}
}
