package transport

import (
	"errors"
	"testing"

	"valvecove/internal/hotrestart"
)

// breakTransfers makes each transfer fail at the successor: the socket of a connection is missing.
func (p *process) breakTransfers() {
	p.snapshot.WorkerConnections = []WorkerConnection{{Descriptor: hotrestart.NoDescriptor}}
}

// awaitStandby runs both processes until the successor is in standby again, and reports whether it is within a second.
func (p *process) awaitStandby(successor *process) bool {
	for range 100 {
		p.RunIterations()
		successor.RunIterations()
		if successor.isIn(hotrestart.SuccessorStandby) && p.roles.HasSuccessor() {
			return true
		}
		successor.Time += maxReconnectBackoff / 40
	}
	return false
}

// However many transfers fail, the predecessor alone serves until it ends, and the successor serves without its state after that.
// Two processes that serve receive callbacks for attempts of each other.
func TestOneOwnerWhileTransfersFail(t *testing.T) {
	predecessor := newPredecessor(t)
	predecessor.breakTransfers()
	successor := predecessor.startSuccessor()
	for n := range 10 {
		predecessor.roles.predecessor.failedTransfers = 0 // earlier builds of a predecessor transfer again in each session
		if err := predecessor.relinquishTo(successor); err == nil || predecessor.roles.HasRelinquished() {
			t.Fatalf("transfer %d without a socket succeeded: %v", n, err)
		}
		if successor.socket >= 0 || !successor.roles.IsStandby() {
			t.Fatalf("after %d failed transfers both processes serve", n+1)
		}
		if !predecessor.awaitStandby(successor) {
			t.Fatalf("after %d failed transfers the successor is not in standby: %s", n+1, successor.log.String())
		}
	}
	predecessor.roles.Close()
	predecessor.RunIterations()
	successor.RunIterations()
	successor.Advance(maxReconnectBackoff)
	if successor.socket < 0 || successor.roles.IsStandby() || len(successor.restored) != 0 {
		t.Errorf("the successor does not serve alone after its predecessor has ended: %s", successor.log.String())
	}
}

// A predecessor gives up transferring before a successor of an earlier build has lost three sessions, after which that one would
// serve beside it. The session is kept, so that the successor sees the predecessor's end.
func TestPredecessorKeepsSessionAfterFailedTransfers(t *testing.T) {
	predecessor := newPredecessor(t)
	predecessor.breakTransfers()
	successor := predecessor.startSuccessor()
	for range maxFailedTransfers {
		if err := predecessor.relinquishTo(successor); err == nil {
			t.Fatal("a transfer without a socket succeeded")
		}
		if !predecessor.awaitStandby(successor) {
			t.Fatal("the successor is not in standby again")
		}
	}
	err := predecessor.roles.Relinquish()
	if !errors.Is(err, ErrTransferGivenUp) || !predecessor.roles.HasSuccessor() || !successor.isIn(hotrestart.SuccessorStandby) {
		t.Errorf("after %d failed transfers: %v", maxFailedTransfers, err)
	}
}

// A predecessor that does not answer still owns the state: its successor waits until it answers or has ended.
func TestSuccessorAwaitsSilentPredecessor(t *testing.T) {
	predecessor := newPredecessor(t)
	successor := newProcess(t, predecessor.dir)
	if !successor.roles.Join(predecessor.dir, predecessor.address) {
		t.Fatal("no predecessor found")
	}
	for range 3 { // fewer connections than wait to be accepted
		successor.Advance(handshakeTimeout + maxReconnectBackoff)
		if successor.socket >= 0 || !successor.isIn(hotrestart.SuccessorJoining) || successor.roles.NotReadyReason() == "" {
			t.Fatal("the successor serves beside a predecessor that does not answer")
		}
	}
	if !predecessor.awaitStandby(successor) {
		t.Errorf("the successor is not in standby: %s", successor.log.String())
	}
}

// A cordon call that arrives while the successor has no session is answered in the next one.
func TestCordonCallWithoutSession(t *testing.T) {
	predecessor := newPredecessor(t)
	predecessor.breakTransfers()
	successor := predecessor.startSuccessor()
	for range maxFailedTransfers {
		if err := predecessor.relinquishTo(successor); err == nil {
			t.Fatal("a transfer without a socket succeeded")
		}
		if successor.roles.successor.IsOpen() {
			predecessor.awaitStandby(successor)
		}
	}
	if successor.roles.successor.IsOpen() {
		t.Fatal("the successor has a session right after the second one was lost")
	}
	answer := 0
	successor.roles.ForwardCordon("s-0", true, func(statusCode int, _ string) { answer = statusCode })
	if !predecessor.awaitStandby(successor) {
		t.Fatal("the successor is not in standby again")
	}
	predecessor.RunIterations()
	successor.RunIterations()
	if answer != 200 || len(predecessor.calls) != 1 {
		t.Errorf("answer %d, calls %+v", answer, predecessor.calls)
	}
}
