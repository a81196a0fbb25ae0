package hotrestart

import (
	"errors"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"valvecove/internal/filesystem/filesystemtest"
)

const (
	crashStateDir = "/state"
	oldCordons    = `{"form":1,"out":["s-0","s-1"]}` + "\n"
	newCordons    = `{"form":1,"out":["s-2"]}` + "\n"
)

var (
	crashPath    = filepath.Join(crashStateDir, CordonFileName)
	newWorkerIDs = []string{"s-2"}
)

func diskWithOldCordons() *filesystemtest.Disk {
	return filesystemtest.New(map[string]string{crashPath: oldCordons})
}

// killPoints returns where a write of the file may be killed: at each call, and at each byte of a call that writes.
func killPoints(t *testing.T) (points []func(filesystemtest.Call) filesystemtest.Fault) {
	t.Helper()
	disk := diskWithOldCordons()
	if err := newCordonFileWriter(disk, crashStateDir).write(newWorkerIDs); err != nil {
		t.Fatal(err)
	}
	calls := disk.Calls()
	for _, call := range calls {
		for size := range call.Size + 1 {
			points = append(points, filesystemtest.KillAt(call.Number, size))
		}
		after := filesystemtest.Fault{Err: filesystemtest.ErrKilled, After: true}
		points = append(points, filesystemtest.FailCall(call.Number, after))
	}
	return append(points, filesystemtest.KillAt(len(calls), 0)) // after the last one
}

// A write that is killed at any byte or between any two calls leaves the old content or the new one, for a kill of the process
// and for a power failure; one that has returned leaves the new one. The next process can write, and removes what was left.
func TestCordonFileSurvivesKill(t *testing.T) {
	points, outcomes := killPoints(t), 0
	for number, point := range points {
		disk := diskWithOldCordons()
		disk.SetFault(point)
		err := newCordonFileWriter(disk, crashStateDir).write(newWorkerIDs)
		for _, outcome := range append(disk.AfterPowerLoss(), disk.AfterKill()) {
			outcomes++
			files := outcome.Files()
			if got := files[crashPath]; got != newCordons && (got != oldCordons || err == nil) {
				t.Fatalf("kill %d, write returned %v: left %q of %q", number, err, got, files)
			}
			checkNextProcess(t, outcome)
		}
	}
	t.Logf("%d kills, %d outcomes", len(points), outcomes)
	if len(points) < 30 || outcomes < 500 {
		t.Errorf("%d kills with %d outcomes: too few to be all", len(points), outcomes)
	}
}

// checkNextProcess expects of what a crash has left that a new process reads and writes it, and removes all else.
func checkNextProcess(t *testing.T, disk *filesystemtest.Disk) {
	t.Helper()
	if _, err := LoadCordonFile(disk, crashStateDir); err != nil {
		t.Errorf("of %q: %v", disk.Files(), err)
	}
	writer := newCordonFileWriter(disk, crashStateDir)
	writer.removeStrayFiles()
	if err := writer.write([]string{"s-3"}); err != nil {
		t.Error(err)
	}
	if got := slices.Collect(maps.Keys(disk.Files())); !slices.Equal(got, []string{crashPath}) {
		t.Errorf("left over: %q", got)
	}
	if got, err := LoadCordonFile(disk, crashStateDir); err != nil || !slices.Equal(got, []string{"s-3"}) {
		t.Errorf("the next process has %v, %v", got, err)
	}
}

// Whichever call fails, with whichever error, before or after its effect: the write returns an error, or the new content is
// durable; and it is never torn.
func TestCordonFileSurvivesErrors(t *testing.T) {
	complete := diskWithOldCordons()
	_ = newCordonFileWriter(complete, crashStateDir).write(newWorkerIDs)
	for _, call := range complete.Calls() {
		for _, failure := range filesystemtest.Errors {
			for _, after := range []bool{false, true} {
				disk := diskWithOldCordons()
				disk.SetFault(filesystemtest.FailCall(call.Number, filesystemtest.Fault{Err: failure, Bytes: call.Size / 2, After: after}))
				checkFailedWrite(t, disk, failure)
			}
		}
	}
}

func checkFailedWrite(t *testing.T, disk *filesystemtest.Disk, failure error) {
	t.Helper()
	err := newCordonFileWriter(disk, crashStateDir).write(newWorkerIDs)
	if errors.Is(failure, syscall.EINTR) && err != nil && !strings.Contains(err.Error(), "close") && !strings.Contains(err.Error(), "rename") {
		t.Errorf("an interrupted call ends the write: %v", err)
	}
	for _, outcome := range append(disk.AfterPowerLoss(), disk.AfterKill()) {
		if got := outcome.Files()[crashPath]; got != newCordons && (got != oldCordons || err == nil) {
			t.Errorf("%v, write returned %v: left %q", failure, err, got)
		}
	}
}

// Two processes that each assume that the other has ended write at the same time: neither renames an incomplete file of the other.
func TestCordonFileOfTwoWriters(t *testing.T) {
	disk := diskWithOldCordons()
	first, second := newCordonFileWriter(disk, crashStateDir), newCordonFileWriter(disk, crashStateDir)
	err := errors.Join(first.writeTemporary([]byte(newCordons)), second.writeTemporary([]byte("half")), first.renameTemporary())
	if got := disk.Files()[crashPath]; err != nil || got != newCordons {
		t.Errorf("%v, left %q", err, got)
	}
}
