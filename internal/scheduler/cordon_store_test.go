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

// storeCordonsOn makes the scheduler store cordoned workers on a simulated disk.
func (h *harness) storeCordonsOn(disk *filesystemtest.Disk, stateDir string) {
	h.scheduler.files = disk
	h.cordonStore = h.scheduler.newCordonStore(stateDir)
	h.scheduler.prepareCordons(stateDir, h.cordonStore)
}

// awaitCordonsStored advances the clock and runs the loop until the cordoned workers are stored.
func (h *harness) awaitCordonsStored() {
	for tries := 0; !h.cordonStore.State().Stored; tries++ {
		if tries > 100 {
			h.T.Fatal("the cordoned workers were not stored")
		}
		if h.cordonStore.IsWriting() {
			_ = h.scheduler.RunOnce(1000) // the goroutine of the store wakes the loop
		} else {
			h.now += 5 * time.Second
			_ = h.scheduler.RunOnce(0)
		}
	}
}

// newFailingPredecessor returns a process that has cordoned s-0 and failed to store that, its disk, which also has a temporary
// file of an earlier write, and a function that starts a successor with the same disk.
func newFailingPredecessor(t *testing.T, dir string) (predecessor *harness, disk *filesystemtest.Disk, start func() *harness) {
	t.Helper()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	disk = filesystemtest.New(map[string]string{filepath.Join(dir, hotrestart.CordonFileName+".new"): `{"form":`})
	disk.SetFault(filesystemtest.FailAll(syscall.EIO, filesystemtest.Sync))
	predecessor.storeCordonsOn(disk, dir)
	status := 0
	predecessor.scheduler.cordons.Set("s-0", true, func(got int, _ string) { status = got })
	for status == 0 {
		_ = predecessor.scheduler.RunOnce(1000)
	}
	if status != 503 {
		t.Errorf("the cordon call was answered %d, expected 503", status)
	}
	return predecessor, disk, func() *harness {
		successor := predecessor.startSuccessor(dir, address)
		successor.storeCordonsOn(disk, dir)
		return successor
	}
}

// checkStoredBy expects a successor to store the cordon of its predecessor, and to leave no other file on the disk.
func checkStoredBy(t *testing.T, successor *harness, disk *filesystemtest.Disk, dir string) {
	t.Helper()
	disk.SetFault(nil)
	successor.awaitCordonsStored()
	got, err := hotrestart.LoadCordonFile(disk, dir)
	if err != nil || !slices.Equal(got, []string{"s-0"}) || len(disk.Files()) != 1 {
		t.Errorf("stored %v, error %v, expected s-0; files %q, expected one", got, err, disk.Files())
	}
}

// A cordon that a predecessor failed to store is stored by its successor, and the predecessor no longer writes the file.
func TestUnstoredCordonSurvivesHotRestart(t *testing.T) {
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
		t.Error("the predecessor writes the file that the successor owns")
	}
}

// A cordon that a predecessor failed to store is kept when the predecessor dies, if a successor was notified of it in the
// handshake or later.
func TestUnstoredCordonSurvivesPredecessorDeath(t *testing.T) {
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

// After a failed transfer the predecessor still owns the cordon file, and continues to write it.
func TestFailedTransferKeepsCordonFile(t *testing.T) {
	dir := t.TempDir()
	predecessor, disk, startSuccessor := newFailingPredecessor(t, dir)
	successor := startSuccessor()
	predecessor.state.alter = addBrokenConnection
	if err := predecessor.handOverTo(successor); err == nil {
		t.Fatal("relinquished to a successor that did not take over")
	}
	disk.SetFault(nil)
	predecessor.awaitCordonsStored()
	if got, err := hotrestart.LoadCordonFile(disk, dir); err != nil || !slices.Equal(got, []string{"s-0"}) {
		t.Errorf("stored %v, error %v, expected s-0", got, err)
	}
}
