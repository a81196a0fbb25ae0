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
	testStateDir = "/state"
	oldCordons   = `{"form":1,"out":["s-0","s-1"]}` + "\n"
	newCordons   = `{"form":1,"out":["s-2"]}` + "\n"
)

var (
	cordonPath   = filepath.Join(testStateDir, CordonFileName)
	newWorkerIDs = []string{"s-2"}
)

func diskWithOldCordons() *filesystemtest.Disk {
	return filesystemtest.New(map[string]string{cordonPath: oldCordons})
}

// killPoints returns faults that kill a write of the file at each point: before and after each call, and at each byte of a call
// that writes.
func killPoints(t *testing.T) (points []func(filesystemtest.Call) filesystemtest.Fault) {
	t.Helper()
	disk := diskWithOldCordons()
	if err := newCordonFileWriter(disk, testStateDir).write(newWorkerIDs); err != nil {
		t.Fatal(err)
	}
	calls := disk.Calls()
	for _, call := range calls {
		for size := range call.Size + 1 {
			points = append(points, filesystemtest.KillAt(call.Number, size))
		}
		after := filesystemtest.Fault{Err: filesystemtest.ErrKilled, AfterEffect: true}
		points = append(points, filesystemtest.FailCall(call.Number, after))
	}
	return append(points, filesystemtest.KillAt(len(calls), 0)) // after the last call
}

// The process is killed, or the power fails, at any byte of a write or between any two calls. The file has the old content or
// the new one, and the new one if the write has returned without an error. The next process can write the file, and removes
// temporary files.
func TestCordonFileSurvivesKill(t *testing.T) {
	points, outcomes := killPoints(t), 0
	for number, point := range points {
		disk := diskWithOldCordons()
		disk.SetFault(point)
		err := newCordonFileWriter(disk, testStateDir).write(newWorkerIDs)
		for _, outcome := range append(disk.AfterPowerLoss(), disk.AfterKill()) {
			outcomes++
			files := outcome.Files()
			if got := files[cordonPath]; got != newCordons && (got != oldCordons || err == nil) {
				t.Fatalf("kill %d, write returned %v: left %q of %q", number, err, got, files)
			}
			checkNextProcess(t, outcome)
		}
	}
	t.Logf("%d kills, %d outcomes", len(points), outcomes)
	if len(points) < 30 || outcomes < 500 {
		t.Errorf("%d kills with %d outcomes: expected at least 30 and 500", len(points), outcomes)
	}
}

// checkNextProcess checks that a new process can read and write the file after a crash, and that it removes all other files.
func checkNextProcess(t *testing.T, disk *filesystemtest.Disk) {
	t.Helper()
	if _, err := LoadCordonFile(disk, testStateDir); err != nil {
		t.Errorf("reading %q: %v", disk.Files(), err)
	}
	writer := newCordonFileWriter(disk, testStateDir)
	writer.removeStrayFiles()
	if err := writer.write([]string{"s-3"}); err != nil {
		t.Error(err)
	}
	if got := slices.Collect(maps.Keys(disk.Files())); !slices.Equal(got, []string{cordonPath}) {
		t.Errorf("files that are left: %q, expected the cordon file only", got)
	}
	if got, err := LoadCordonFile(disk, testStateDir); err != nil || !slices.Equal(got, []string{"s-3"}) {
		t.Errorf("after the write of the next process: %v, %v", got, err)
	}
}

// Any call fails with any error, before or after its effect. The write returns an error, or the new content is durable, and the
// file never has an incomplete content.
func TestCordonFileSurvivesErrors(t *testing.T) {
	complete := diskWithOldCordons()
	_ = newCordonFileWriter(complete, testStateDir).write(newWorkerIDs)
	for _, call := range complete.Calls() {
		for _, failure := range filesystemtest.Errors {
			for _, after := range []bool{false, true} {
				disk := diskWithOldCordons()
				disk.SetFault(filesystemtest.FailCall(call.Number, filesystemtest.Fault{Err: failure, Bytes: call.Size / 2, AfterEffect: after}))
				checkFailedWrite(t, disk, failure)
			}
		}
	}
}

func checkFailedWrite(t *testing.T, disk *filesystemtest.Disk, failure error) {
	t.Helper()
	err := newCordonFileWriter(disk, testStateDir).write(newWorkerIDs)
	if errors.Is(failure, syscall.EINTR) && err != nil && !strings.Contains(err.Error(), "close") && !strings.Contains(err.Error(), "rename") {
		t.Errorf("the write failed because of an interrupted call: %v", err)
	}
	for _, outcome := range append(disk.AfterPowerLoss(), disk.AfterKill()) {
		if got := outcome.Files()[cordonPath]; got != newCordons && (got != oldCordons || err == nil) {
			t.Errorf("%v, write returned %v: left %q", failure, err, got)
		}
	}
}

// Two processes, each of which assumes that the other has ended, write the file at the same time. Neither renames an incomplete
// temporary file of the other.
func TestCordonFileOfTwoWriters(t *testing.T) {
	disk := diskWithOldCordons()
	first, second := newCordonFileWriter(disk, testStateDir), newCordonFileWriter(disk, testStateDir)
	err := errors.Join(first.writeTemporary([]byte(newCordons)), second.writeTemporary([]byte("half")), first.renameTemporary())
	if got := disk.Files()[cordonPath]; err != nil || got != newCordons {
		t.Errorf("error %v, left %q, expected the new content", err, got)
	}
}
