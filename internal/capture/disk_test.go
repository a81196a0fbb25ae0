package capture

import (
	"bytes"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/filesystem/filesystemtest"
)

// awaitQueue waits until all enqueued writes have been executed.
func (f *files) awaitQueue() {
	done := make(chan struct{})
	f.Enqueue(0, func() error { close(done); return nil })
	<-done
}

// runWithDisk runs a number of steps. After each it waits until the step's lines have been written.
func (s *scheduler) runWithDisk(steps int) {
	for range steps {
		s.run(1)
		s.recorder.sink.(*files).awaitQueue()
	}
}

// concatenated returns the contents of all files of a disk as one text, in the order of their paths.
func concatenated(disk *filesystemtest.Disk) []byte {
	contents := disk.Files()
	var text []byte
	for _, path := range slices.Sorted(maps.Keys(contents)) {
		text = append(text, contents[path]...)
	}
	return text
}

// While the disk is full, the gap is logged once, losses are counted, and no earlier file is removed in favour of empty ones.
// Once there is space again, recording continues, which is logged. Each file can be replayed, and a replay of the concatenated
// files warns of the gap.
func TestFilesWhileDiskIsFull(t *testing.T) {
	disk := filesystemtest.New(map[string]string{"/dir/n0-00000007.jsonl": "kept\n"})
	var log bytes.Buffer
	s := newSchedulerWithDisk(t, disk, slog.New(slog.NewTextHandler(&log, nil)), 1, config.Capture{Dir: "/dir", FileMB: 1, Files: 3})
	s.runWithDisk(100)
	disk.SetFault(func(call filesystemtest.Call) filesystemtest.Fault {
		if call.Operation == filesystemtest.Write {
			return filesystemtest.Fault{Err: syscall.ENOSPC, Bytes: call.Size / 2}
		}
		return filesystemtest.Fault{}
	})
	for range 6 {
		s.runWithDisk(10)
		s.Now += segmentRetryInterval
	}
	if got := disk.Files(); len(got) != 2 || got["/dir/n0-00000007.jsonl"] != "kept\n" {
		t.Errorf("files while the disk is full: %v", slices.Sorted(maps.Keys(got)))
	}
	disk.SetFault(nil)
	s.Now += segmentRetryInterval
	s.runWithDisk(100)
	s.recorder.Close(time.Minute)
	if s.recorder.Lost() < 6 || s.recorder.LostLines() == 0 {
		t.Errorf("%d writes and %d lines lost", s.recorder.Lost(), s.recorder.LostLines())
	}
	if text := log.String(); strings.Count(text, "capture gap started") != 1 || strings.Count(text, "capture gap ended") != 1 {
		t.Errorf("log:\n%s", text)
	}
	contents := disk.Files()
	delete(contents, "/dir/n0-00000007.jsonl")
	if len(contents) != 2 {
		t.Errorf("%d files, expected 2", len(contents))
	}
	for _, content := range contents {
		checkReplaysWithoutDifference(t, []byte(content))
	}
	got := replay(t, concatenated(disk)[len("kept\n"):], "")
	if got.differences != 0 || got.err != nil || !strings.Contains(got.warnings, "the capture has a gap") {
		t.Errorf("concatenated files: %d differences, %v, %q", got.differences, got.err, got.warnings)
	}
}

// One in ten calls of the disk fails, and a write that fails may be partial. The concatenated files replay without a difference.
// Truncate always fails, so that an incomplete line stays in the file and the next segment follows it on the same line.
func TestFilesUnderRandomFaults(t *testing.T) {
	gaps := 0
	for seed := range uint64(12) {
		disk := filesystemtest.New(nil)
		s := newSchedulerWithDisk(t, disk, slog.New(slog.DiscardHandler), seed, config.Capture{Dir: "/dir", FileMB: 1, Files: 100})
		fail := filesystemtest.FailRandomly(seed, 0.1)
		disk.SetFault(func(call filesystemtest.Call) filesystemtest.Fault {
			if call.Operation == filesystemtest.Truncate {
				return filesystemtest.Fault{Err: syscall.EIO}
			}
			return fail(call)
		})
		for range 8 {
			s.runWithDisk(20)
			s.Now += segmentRetryInterval
		}
		s.recorder.Close(time.Minute)
		got := replay(t, concatenated(disk), "")
		if got.differences != 0 || got.err != nil {
			t.Fatalf("seed %d: %d differences, %v, %q\n%.400s", seed, got.differences, got.err, got.warnings, got.output)
		}
		gaps += strings.Count(got.warnings, "gap")
	}
	if gaps < 12 {
		t.Errorf("%d gaps, expected at least 12: the test covers too few faults", gaps)
	}
}

// A recorder that is created while the disk is full starts to record once there is space. In contrast to a missing directory, a
// full disk is not an error; see TestNewFilesNeedsDirectory.
func TestFilesStartOnFullDisk(t *testing.T) {
	disk := filesystemtest.New(nil)
	disk.SetFault(filesystemtest.FailAll(syscall.ENOSPC))
	s := newSchedulerWithDisk(t, disk, slog.New(slog.DiscardHandler), 1, config.Capture{Dir: "/dir", FileMB: 1, Files: 3})
	s.runWithDisk(10)
	disk.SetFault(nil)
	s.Now += segmentRetryInterval
	s.runWithDisk(100)
	s.recorder.Close(time.Minute)
	if sends := checkReplaysWithoutDifference(t, concatenated(disk)); sends == 0 {
		t.Error("no sends are recorded")
	}
}
