package scheduler

import (
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"valvecove/internal/filesystem/filesystemtest"
	"valvecove/internal/hotrestart"
	"valvecove/internal/modeltest"
)

// keepCordonsOn has the cordoned workers kept on a disk of the test.
func (h *harness) keepCordonsOn(disk *filesystemtest.Disk, stateDir string) {
	h.scheduler.files = disk
	h.cordonStore = h.scheduler.newCordonStore(stateDir)
	h.scheduler.prepareCordons(stateDir, h.cordonStore)
}

// storeCordons moves the clock on and runs the loop until what is cordoned is stored.
func (h *harness) storeCordons() {
	for tries := 0; !h.cordonStore.State().Stored; tries++ {
		if tries > 100 {
			h.T.Fatal("never stored")
		}
		if h.cordonStore.IsWriting() {
			_ = h.scheduler.RunOnce(1000) // the goroutine of the store wakes the loop
		} else {
			h.now += 5 * time.Second
			_ = h.scheduler.RunOnce(0)
		}
	}
}

// newFailingPredecessor returns a process that has cordoned s-0 and could not store that, and its disk, which has a stray file.
func newFailingPredecessor(t *testing.T, dir string) (predecessor *harness, disk *filesystemtest.Disk, start func() *harness) {
	t.Helper()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	disk = filesystemtest.New(map[string]string{filepath.Join(dir, hotrestart.CordonFileName+".new"): `{"form":`})
	disk.SetFault(filesystemtest.FailAll(syscall.EIO, filesystemtest.Sync))
	predecessor.keepCordonsOn(disk, dir)
	status := 0
	predecessor.scheduler.cordons.Set("s-0", true, func(got int, _ string) { status = got })
	for status == 0 {
		_ = predecessor.scheduler.RunOnce(1000)
	}
	if status != 503 {
		t.Errorf("answered %d", status)
	}
	return predecessor, disk, func() *harness {
		successor := predecessor.startSuccessor(dir, address)
		successor.keepCordonsOn(disk, dir)
		return successor
	}
}

// checkStoredBy expects a successor to store the cordon of its predecessor, and to remove other files beside it.
func checkStoredBy(t *testing.T, successor *harness, disk *filesystemtest.Disk, dir string) {
	t.Helper()
	disk.SetFault(nil)
	successor.storeCordons()
	got, err := hotrestart.LoadCordonFile(disk, dir)
	if err != nil || !slices.Equal(got, []string{"s-0"}) || len(disk.Files()) != 1 {
		t.Errorf("kept %v, %v of %q", got, err, disk.Files())
	}
}

// A cordon that a predecessor could not store is stored by its successor, and the predecessor no longer writes the file.
func TestUnstoredCordonOutlivesHotRestart(t *testing.T) {
	dir := t.TempDir()
	predecessor, disk, startSuccessor := newFailingPredecessor(t, dir)
	successor := startSuccessor()
	if err := predecessor.handOverTo(successor); err != nil {
		t.Fatal(err)
	}
	checkStoredBy(t, successor, disk, dir)
	calls := len(disk.Calls())
	for range 10 {
		predecessor.now += 5 * time.Second
		predecessor.runIterations()
	}
	if predecessor.cordonStore.IsWriting() || len(disk.Calls()) != calls {
		t.Error("the predecessor writes the file that it has left to the successor")
	}
}

// A cordon that a predecessor could not store outlives its death, if a successor was notified of it, with the handshake or later.
func TestUnstoredCordonOutlivesPredecessor(t *testing.T) {
	dir := t.TempDir()
	predecessor, disk, startSuccessor := newFailingPredecessor(t, dir)
	successor := startSuccessor()
	predecessor.runIterations()
	successor.runIterations()
	predecessor.scheduler.restart.Close()
	predecessor.runIterations()
	successor.runIterations()
	checkStoredBy(t, successor, disk, dir)
}

// After a transfer that fails the predecessor still owns the file, and continues to store.
func TestFailedTransferKeepsCordonFile(t *testing.T) {
	dir := t.TempDir()
	predecessor, disk, startSuccessor := newFailingPredecessor(t, dir)
	successor := startSuccessor()
	predecessor.state.alter = addBrokenConnection
	if err := predecessor.handOverTo(successor); err == nil {
		t.Fatal("relinquished to a successor that did not take over")
	}
	disk.SetFault(nil)
	predecessor.storeCordons()
	if got, err := hotrestart.LoadCordonFile(disk, dir); err != nil || !slices.Equal(got, []string{"s-0"}) {
		t.Errorf("kept %v, %v", got, err)
	}
}
