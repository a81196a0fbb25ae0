package link

import (
	"bytes"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"valvecove/internal/filesystem/filesystemtest"
	"valvecove/internal/hotrestart"
	"valvecove/internal/modeltest"
)

// keepCordonsOn has the cordoned workers kept on a disk of the test.
func (w *harness) keepCordonsOn(disk *filesystemtest.Disk, stateDir string) {
	w.loop.files = disk
	w.loop.openCordonStore(stateDir)
}

// storeCordons moves the clock on and runs the loop until what is cordoned is stored.
func (w *harness) storeCordons() {
	for tries := 0; !w.loop.cordonStore.State().Stored; tries++ {
		if tries > 100 {
			w.T.Fatal("never stored")
		}
		if w.loop.cordonStore.IsWriting() {
			_ = w.loop.RunOnce(1000) // the goroutine of the store wakes the loop
		} else {
			w.now += 5 * time.Second
			_ = w.loop.RunOnce(0)
		}
	}
}

// callUntilAnswered makes an operator's call, whose answer may wait for the disk.
func (w *harness) callUntilAnswered(text string) string {
	p := w.connectOperator()
	p.write([]byte(text + " HTTP/1.1\r\n\r\n"))
	for !p.ended {
		if err := w.loop.RunOnce(1000); err != nil {
			w.T.Fatal(err)
		}
		p.read(1 << 16)
	}
	return statusAndBody(string(p.received))
}

// A cordon that the disk does not take is answered with 503, holds, is shown by the call, the metric and one line of the log,
// and is stored once the disk takes it, whatever the number of tries.
func TestUnstoredCordonIsShownUntilStored(t *testing.T) {
	w := newOperatorHarness(&modeltest.Steps{T: t})
	var log bytes.Buffer
	w.loop.log = slog.New(slog.NewTextHandler(&log, nil))
	disk := filesystemtest.New(nil)
	disk.SetFault(filesystemtest.FailAll(syscall.ENOSPC, filesystemtest.Write))
	w.keepCordonsOn(disk, "/state")
	if got := w.callUntilAnswered("PUT /v1/worker-nodes/s-0/suspend"); !strings.HasPrefix(got, "503 not kept: ") {
		t.Errorf("suspend: %q", got)
	}
	for len(disk.Calls()) < 20 {
		w.now += 700 * time.Millisecond
		_ = w.loop.RunOnce(0)
		for w.loop.cordonStore.IsWriting() {
			_ = w.loop.RunOnce(1000)
		}
	}
	since := w.loop.Now() - w.loop.cordonStore.State().UnsavedFrom
	want := fmt.Sprintf(`200 {"out":["s-0"],"kept":false,"not_kept_ms":%d,"error":"cordoned workers in `, since.Milliseconds())
	if got := w.callUntilAnswered("GET /v1/worker-nodes"); !strings.HasPrefix(got, want) || !strings.Contains(got, syscall.ENOSPC.Error()) {
		t.Errorf("while it is not kept: %q, expected %s", got, want)
	}
	if got := w.callUntilAnswered("GET /v1/metrics"); !strings.Contains(got, "edge_proxy.hosts_out_not_kept=1") {
		t.Errorf("metrics: %q", got)
	}
	disk.SetFault(nil)
	w.storeCordons()
	if got, err := hotrestart.LoadCordonFile(disk, "/state"); err != nil || !slices.Equal(got, []string{"s-0"}) {
		t.Errorf("kept %v, %v", got, err)
	}
	if got := w.callUntilAnswered("GET /v1/worker-nodes"); got != `200 {"out":["s-0"],"kept":true}` {
		t.Errorf("once it is kept: %q", got)
	}
	if got := w.callUntilAnswered("GET /v1/metrics"); !strings.Contains(got, "edge_proxy.hosts_out_not_kept=0") {
		t.Errorf("metrics: %q", got)
	}
	text := log.String()
	if strings.Count(text, "are not stored") != 1 || strings.Count(text, "are stored again") != 1 {
		t.Errorf("log:\n%s", text)
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
	predecessor.loop.setCordoned("s-0", true, func(got int, _ string) { status = got })
	for status == 0 {
		_ = predecessor.loop.RunOnce(1000)
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

// checkStoredBy expects a successor to store the cordon of its predecessor, and to remove what stands beside the file.
func checkStoredBy(t *testing.T, successor *harness, disk *filesystemtest.Disk, dir string) {
	t.Helper()
	disk.SetFault(nil)
	successor.storeCordons()
	got, err := hotrestart.LoadCordonFile(disk, dir)
	if err != nil || !slices.Equal(got, []string{"s-0"}) || len(disk.Files()) != 1 {
		t.Errorf("kept %v, %v of %q", got, err, disk.Files())
	}
}

// What a predecessor could not store its successor stores, and the predecessor touches the file no more.
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
	if predecessor.loop.cordonStore.IsWriting() || len(disk.Calls()) != calls {
		t.Error("the predecessor writes the file that it has left to the successor")
	}
}

// What a predecessor could not store outlives its death too, if a successor had been told of it, before or after they met.
func TestUnstoredCordonOutlivesPredecessor(t *testing.T) {
	dir := t.TempDir()
	predecessor, disk, startSuccessor := newFailingPredecessor(t, dir)
	successor := startSuccessor()
	predecessor.runIterations()
	successor.runIterations()
	predecessor.loop.Remove(predecessor.loop.predecessorRole.acceptor.FD())
	predecessor.runIterations()
	predecessor.loop.predecessorRole.successor.closeWithDescriptors()
	predecessor.runIterations()
	successor.runIterations()
	checkStoredBy(t, successor, disk, dir)
}

// A hand-over that fails leaves the file with the predecessor, which goes on storing.
func TestFailedTransferKeepsCordonFile(t *testing.T) {
	dir := t.TempDir()
	predecessor, disk, startSuccessor := newFailingPredecessor(t, dir)
	successor := startSuccessor()
	successor.loop.successorRole.received.WorkerConnections = []hotrestart.ReceivedWorkerConnection{{Descriptor: hotrestart.NoDescriptor}}
	if err := predecessor.handOverTo(successor); err == nil {
		t.Fatal("handed over to one that did not take it")
	}
	disk.SetFault(nil)
	predecessor.storeCordons()
	if got, err := hotrestart.LoadCordonFile(disk, dir); err != nil || !slices.Equal(got, []string{"s-0"}) {
		t.Errorf("kept %v, %v", got, err)
	}
}
