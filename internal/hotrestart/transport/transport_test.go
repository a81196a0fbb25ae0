package transport

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/hotrestart"
)

// The socket of a client connection is transferred with its state.
func TestDescriptorsAreTransferred(t *testing.T) {
	predecessor := newPredecessor(t)
	remote, descriptor := eventlooptest.SocketPair(t)
	client := ClientConnection{Record: hotrestart.ClientConnection{Input: []byte("GET"), ClientAddress: "127.0.0.1:9"}, Descriptor: descriptor}
	predecessor.snapshot.ClientConnections = []ClientConnection{client}
	successor := predecessor.startSuccessor()
	if err := predecessor.relinquishTo(successor); err != nil {
		t.Fatal(err)
	}
	restored := successor.restored[0].ClientConnections
	if len(restored) != 1 || string(restored[0].Input) != "GET" {
		t.Fatalf("restored %+v, expected the client connection", restored)
	}
	_ = unix.Close(descriptor)
	if _, err := unix.Write(restored[0].Descriptor, []byte("x")); err != nil {
		t.Error(err)
	}
	if remote.Read(1); string(remote.Received) != "x" {
		t.Errorf("the client received %q, expected x", remote.Received)
	}
	_ = unix.Close(restored[0].Descriptor)
}

// After an overrun the input is sent with its mark, without which an earlier build takes what the client sends next for the rest of a
// request.
func TestOverrunIsMarkedInTransfer(t *testing.T) {
	predecessor := newPredecessor(t)
	_, descriptor := eventlooptest.SocketPair(t)
	record := hotrestart.ClientConnection{Input: []byte("GET"), InputOverrun: true}
	predecessor.snapshot.ClientConnections = []ClientConnection{{Record: record, Descriptor: descriptor}}
	successor := predecessor.startSuccessor()
	if err := predecessor.relinquishTo(successor); err != nil {
		t.Fatal(err)
	}
	restored := successor.restored[0].ClientConnections
	if len(restored) != 1 || string(restored[0].Input) != "GET"+hotrestart.InputOverrunMark {
		t.Errorf("restored %+v, expected the input with its mark", restored)
	}
	_ = unix.Close(restored[0].Descriptor)
}

// The state is transferred once. The successor then replaces the predecessor completely, and can be replaced by another
// successor.
func TestStateIsTransferredOnce(t *testing.T) {
	predecessor := newPredecessor(t)
	successor := predecessor.startSuccessor()
	if !predecessor.isHalved || !successor.isHalved || predecessor.standbys != 1 || !successor.roles.IsStandby() {
		t.Errorf("in standby: halved %v, %v, %d standbys", predecessor.isHalved, successor.isHalved, predecessor.standbys)
	}
	if err := predecessor.relinquishTo(successor); err != nil {
		t.Fatal(err)
	}
	if len(successor.restored) != 1 || string(successor.restored[0].PolicySnapshot) != string(predecessor.snapshot.Policy) {
		t.Fatalf("restored %+v, expected the snapshot once", successor.restored)
	}
	if !predecessor.roles.HasRelinquished() || !predecessor.isReleased || successor.isHalved || successor.socket < 0 {
		t.Error("after the transfer, the successor is not the only owner")
	}
	if err := predecessor.roles.Relinquish(); !errors.Is(err, ErrNoSuccessor) {
		t.Errorf("second call of Relinquish: %v", err)
	}
	successor.address = predecessor.address
	if err := successor.relinquishTo(successor.startSuccessor()); err != nil {
		t.Errorf("transfer to the next successor: %v", err)
	}
}

// A transfer that fails at its end changes nothing: the predecessor still owns the state; the successor closes the received
// descriptors, and reconnects, so that the next transfer succeeds.
func TestFailedTransferChangesNothing(t *testing.T) {
	predecessor := newPredecessor(t)
	successor := predecessor.startSuccessor()
	role := successor.roles.successor
	remote, descriptor := eventlooptest.SocketPair(t)
	role.received.ClientConnections = []hotrestart.ReceivedClientConnection{{Descriptor: descriptor}}
	// The missing descriptor makes the transfer fail at its end.
	role.received.WorkerConnections = []hotrestart.ReceivedWorkerConnection{{Descriptor: hotrestart.NoDescriptor}}
	if err := predecessor.relinquishTo(successor); err == nil || predecessor.roles.HasRelinquished() || predecessor.isReleased {
		t.Fatalf("relinquished to a successor that did not take over: %v", err)
	}
	for successor.isIn(hotrestart.SuccessorJoining) || !predecessor.roles.HasSuccessor() {
		predecessor.RunIterations()
		successor.RunIterations()
	}
	if remote.Read(1); !remote.Ended {
		t.Error("a socket of the failed transfer is still open")
	}
	if len(successor.restored) != 0 || successor.socket >= 0 {
		t.Error("the successor has kept state of the failed transfer")
	}
	if err := predecessor.relinquishTo(successor); err != nil || successor.isHalved || len(successor.restored) != 1 {
		t.Errorf("second transfer: %v", err)
	}
}

// TakenOver is effective if it was sent before the predecessor shut the connection down, also after a cordon call. It can't be
// sent after the shutdown.
func TestTakenOverBeforeShutdown(t *testing.T) {
	for _, isSent := range []bool{false, true} {
		predecessor := newPredecessor(t)
		role := predecessor.startSuccessor().roles.successor
		_ = role.sendMessage(hotrestart.SetCordon{Sequence: 1, WorkerID: "s-0"})
		if isSent {
			_ = role.sendMessage(hotrestart.TakenOver{})
		}
		connection := predecessor.roles.predecessor.connection
		if connection.takenOverBeforeShutdown() != isSent || role.sendMessage(hotrestart.TakenOver{}) == nil {
			t.Errorf("sent before %v: wrong result, or TakenOver was sent after the shutdown", isSent)
		}
		connection.disconnect(nil)
	}
}

// A process that connects and sends no handshake is disconnected after a timeout, so that another successor can connect.
func TestSilentSuccessorIsDisconnected(t *testing.T) {
	predecessor := newPredecessor(t)
	silent, err := predecessor.roles.unixSockets().dial(hotrestart.SocketAddresses(predecessor.dir, predecessor.address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(silent) })
	predecessor.RunIterations()
	if !predecessor.roles.HasSuccessor() {
		t.Error("the silent process is not connected")
	}
	predecessor.Advance(handshakeTimeout)
	if err := predecessor.relinquishTo(predecessor.startSuccessor()); err != nil {
		t.Error(err)
	}
}

// A successor's connection that fails with any of these errors is closed, and the next successor can take over.
func TestSuccessorConnectionBreaksWithAnyErrno(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EPIPE} {
		predecessor := newPredecessor(t)
		successor := predecessor.startSuccessor()
		failing := predecessor.roles.predecessor.connection.FD()
		injector := predecessor.injectFaults(faultinjection.Rule{
			Calls: []eventloop.Call{
				eventloop.CallRead, eventloop.CallReceive, eventloop.CallReceiveMessage, eventloop.CallWrite, eventloop.CallSendMessage,
			},
			Descriptor: func(descriptor int) bool { return descriptor == failing },
			Errnos:     []unix.Errno{errno},
		})
		successor.roles.Close()
		predecessor.RunIterations()
		injector.Clear()
		if predecessor.roles.HasSuccessor() || predecessor.isHalved {
			t.Errorf("%v: the successor still counts as connected", errno)
		}
		if err := predecessor.relinquishTo(predecessor.startSuccessor()); err != nil {
			t.Errorf("%v: the next successor: %v", errno, err)
		}
	}
}

// While accepting fails, a waiting successor does not keep the event loop busy. It is accepted once accepting succeeds again.
func TestLastingAcceptFailure(t *testing.T) {
	predecessor := newPredecessor(t)
	listener := predecessor.roles.predecessor.acceptor.FD()
	injector := predecessor.injectFaults(faultinjection.Rule{
		Calls: []eventloop.Call{eventloop.CallAccept}, Errnos: []unix.Errno{unix.ENFILE},
		Descriptor: func(descriptor int) bool { return descriptor == listener },
	})
	waiting, err := predecessor.roles.unixSockets().dial(hotrestart.SocketAddresses(predecessor.dir, predecessor.address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(waiting) })
	for range 1000 {
		if err := predecessor.RunOnce(0); err != nil {
			t.Fatal(err)
		}
		predecessor.Time += time.Millisecond
	}
	if calls := injector.Calls(eventloop.CallAccept); calls == 0 || calls > 32*eventloop.MaxAcceptAttempts {
		t.Errorf("accept was called %d times in a second", calls)
	}
	injector.Clear()
	failed := injector.Calls(eventloop.CallAccept)
	predecessor.Advance(eventloop.MaxAcceptBackoff)
	predecessor.RunIterations()
	if injector.Calls(eventloop.CallAccept) == failed || !predecessor.roles.HasSuccessor() {
		t.Error("the waiting successor is not accepted")
	}
}

// A serving process retries listening for a successor, and a successor retries connecting, until their system calls succeed.
func TestJoinRetriesTemporaryFailures(t *testing.T) {
	predecessor := newProcess(t, t.TempDir())
	predecessor.serve()
	injector := predecessor.injectFaults(faultinjection.Rule{
		Calls: []eventloop.Call{eventloop.CallSocket, eventloop.CallBind, eventloop.CallListen}, Times: 8,
		Errnos: []unix.Errno{unix.ENFILE, unix.ENOMEM, unix.EMFILE},
	})
	predecessor.roles.AwaitSuccessor(hotrestart.SocketAddresses(predecessor.dir, predecessor.address))
	for range 10 {
		predecessor.Advance(maxListenBackoff)
	}
	if injector.TotalInjected() != 8 || !predecessor.roles.AwaitsSuccessor() {
		t.Fatalf("%d calls failed, or no successor can connect", injector.TotalInjected())
	}
	successor := newProcess(t, predecessor.dir)
	successor.injectFaults(faultinjection.Rule{
		Calls: []eventloop.Call{eventloop.CallSocket, eventloop.CallConnect}, Times: 4,
		Errnos: []unix.Errno{unix.ENFILE, unix.EAGAIN, unix.EINTR},
	})
	if !successor.roles.Join(predecessor.dir, predecessor.address) {
		t.Error("the successor did not find the serving process")
	}
}

// If no process serves, Join and LeaveStandby return false, and NotReadyReason returns nothing.
func TestJoinWithoutPredecessor(t *testing.T) {
	single := newProcess(t, t.TempDir())
	if single.roles.Join(single.dir, netip.MustParseAddrPort("127.0.0.1:1")) || single.roles.LeaveStandby() || single.roles.NotReadyReason() != "" {
		t.Error("a process without a predecessor is in standby")
	}
}

// A cordon call is answered by the process that owns the state, before and after the take-over, and with an error if that
// process has ended.
func TestCordonCallsAreForwarded(t *testing.T) {
	predecessor := newPredecessor(t)
	successor := predecessor.startSuccessor()
	var answers []int
	forward := func(from *process) {
		from.roles.ForwardCordon("s-0", true, func(statusCode int, _ string) { answers = append(answers, statusCode) })
		for range 2 {
			predecessor.RunIterations()
			successor.RunIterations()
		}
	}
	forward(successor)
	if len(predecessor.calls) != 1 || len(answers) != 1 || answers[0] != 200 {
		t.Errorf("in standby: %+v, answers %v", predecessor.calls, answers)
	}
	if err := predecessor.relinquishTo(successor); err != nil {
		t.Fatal(err)
	}
	forward(predecessor)
	if len(successor.calls) != 1 || len(answers) != 2 || answers[1] != 200 {
		t.Errorf("after the take-over: %+v, answers %v", successor.calls, answers)
	}
	successor.roles.Close()
	predecessor.RunIterations()
	forward(predecessor)
	if len(answers) != 3 || answers[2] != 503 {
		t.Errorf("after the successor has ended: answers %v", answers)
	}
}
