package transport

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/faultinjection"
)

// expectOwned expects that no process can become the owner in a state directory.
func expectOwned(t *testing.T, dir, when string) {
	t.Helper()
	other := newProcess(t, dir)
	if err := other.roles.Own(dir); !errors.Is(err, ErrOwned) {
		t.Errorf("%s: another process becomes the owner too, %v", when, err)
	}
	other.roles.Close()
}

// Guards against two processes that serve: one that starts while a transfer is under way finds nobody at the Unix socket. From the
// first process on there is an owner at any time, also between two.
func TestNoSecondOwnerWhileOneIsReplaced(t *testing.T) {
	predecessor := newPredecessor(t)
	if err := predecessor.roles.Own(predecessor.dir); err != nil {
		t.Fatal(err)
	}
	expectOwned(t, predecessor.dir, "while the first process serves")
	successor := predecessor.startSuccessor()
	third := newProcess(t, predecessor.dir)
	if !third.roles.Join(predecessor.dir, predecessor.address) { // it waits to be accepted while the transfer is under way
		t.Fatal("no predecessor found")
	}
	successor.onRestore = func() {
		expectOwned(t, predecessor.dir, "after the state was sent")
		third.runUntilSessionLost()
		third.Advance(maxReconnectBackoff)
		if third.socket >= 0 || !third.roles.IsStandby() {
			t.Error("a process that was started during the transfer serves")
		}
	}
	if err := predecessor.relinquishTo(successor); err != nil {
		t.Fatal(err)
	}
	successor.Advance(lockRetryDelay)
	expectOwned(t, predecessor.dir, "after the transfer")
	if successor.socket < 0 || third.socket >= 0 {
		t.Errorf("the successor has socket %d, the third process %d", successor.socket, third.socket)
	}
	if !successor.awaitStandby(third) {
		t.Errorf("the third process is not in standby: %s", third.log.String())
	}
}

// runUntilSessionLost runs a process that waits to be accepted until its predecessor has closed the session.
func (p *process) runUntilSessionLost() {
	for p.roles.successor.IsOpen() {
		_ = p.RunOnce(1)
	}
}

// A process in standby keeps others from becoming the owner after its predecessor has died, and becomes the owner itself.
func TestStandbyIsNextOwner(t *testing.T) {
	predecessor := newPredecessor(t)
	_ = predecessor.roles.Own(predecessor.dir)
	successor := predecessor.startSuccessor()
	predecessor.roles.Close()
	predecessor.RunIterations()
	expectOwned(t, predecessor.dir, "before the process in standby serves")
	successor.RunIterations()
	successor.Advance(maxReconnectBackoff)
	if successor.socket < 0 || successor.roles.IsStandby() {
		t.Fatalf("the process in standby does not serve: %s", successor.log.String())
	}
	expectOwned(t, predecessor.dir, "once the process in standby serves")
}

// While another process has the lock of the owner, a process does not serve alone although nobody listens for a successor.
func TestNotServingAloneBesideOwner(t *testing.T) {
	predecessor := newPredecessor(t)
	successor := predecessor.startSuccessor()
	owner := newProcess(t, predecessor.dir)
	lock, err := owner.roles.ownership.lockFile(filepath.Join(predecessor.dir, ownerFileName))
	if err != nil {
		t.Fatal(err)
	}
	owner.roles.ownership.owner = lock
	predecessor.roles.Close()
	predecessor.RunIterations()
	successor.RunIterations()
	for range 10 {
		successor.Advance(maxReconnectBackoff)
	}
	if successor.socket >= 0 {
		t.Error("it serves beside the owner")
	}
	owner.roles.Close()
	successor.Advance(maxReconnectBackoff)
	if successor.socket < 0 {
		t.Error("it does not serve after the owner has ended")
	}
}

// The error of a start beside an owner names that process. In a directory that can't be used nothing is locked, and a warning says so.
func TestOwnershipErrors(t *testing.T) {
	owner := newProcess(t, t.TempDir())
	if err := owner.roles.Own(owner.dir); err != nil {
		t.Fatal(err)
	}
	if err := newProcess(t, owner.dir).roles.Own(owner.dir); err == nil || !strings.Contains(err.Error(), "another process serves: process ") {
		t.Errorf("%v, expected the owner's process", err)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	other := newProcess(t, file)
	if err := other.roles.Own(file); err != nil || !strings.Contains(other.log.String(), "ownership not proved") {
		t.Errorf("%v, log %q", err, other.log.String())
	}
}

// Guards against a process that serves without a proof as it lacks a descriptor for a moment: it tries again.
func TestOwnershipAwaitsDescriptor(t *testing.T) {
	p := newProcess(t, t.TempDir())
	p.injectFaults(faultinjection.Rule{Calls: []eventloop.Call{eventloop.CallOpen}, Errnos: []unix.Errno{unix.EMFILE}})
	if err := p.roles.Own(p.dir); !isMomentary(err) {
		t.Errorf("%v, expected a momentary error", err)
	}
	p.injectFaults()
	if err := p.roles.Own(p.dir); err != nil {
		t.Fatal(err)
	}
	expectOwned(t, p.dir, "after the descriptor is there")
}
