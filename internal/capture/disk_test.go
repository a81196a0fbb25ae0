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

// awaitQueue waits until the disk has had all that was enqueued.
func (f *files) awaitQueue() {
	done := make(chan struct{})
	f.Enqueue(0, func() error { close(done); return nil })
	<-done
}

// runWithDisk runs so many steps, with the disk in step.
func (s *scheduler) runWithDisk(steps int) {
	for range steps {
		s.run(1)
		s.recorder.sink.(*files).awaitQueue()
	}
}

// concatenated are the files of a disk, in order, as one text.
func concatenated(disk *filesystemtest.Disk) []byte {
	contents := disk.Files()
	var text []byte
	for _, path := range slices.Sorted(maps.Keys(contents)) {
		text = append(text, contents[path]...)
	}
	return text
}

// While the disk is full, the gap is logged once, losses are counted, and no earlier file is removed in favour of empty ones.
// Once there is space again, recording continues, which is logged. Each file can be replayed, and a replay of all of them warns
// of the gap.
func TestFilesThroughFullDisk(t *testing.T) {
	disk := filesystemtest.New(map[string]string{"/dir/n0-00000007.jsonl": "kept\n"})
	var log bytes.Buffer
	s := newSchedulerOn(t, disk, slog.New(slog.NewTextHandler(&log, nil)), 1, config.Capture{Dir: "/dir", FileMB: 1, Files: 3})
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
		t.Errorf("while the disk is full it has %v", slices.Sorted(maps.Keys(got)))
	}
	disk.SetFault(nil)
	s.Now += segmentRetryInterval
	s.runWithDisk(100)
	s.recorder.Close(time.Minute)
	if s.recorder.Lost() < 6 || s.recorder.LostLines() == 0 {
		t.Errorf("%d pieces and %d lines lost", s.recorder.Lost(), s.recorder.LostLines())
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
		checkReplaysSame(t, []byte(content))
	}
	got := replay(t, concatenated(disk)[len("kept\n"):], "")
	if got.differences != 0 || got.err != nil || !strings.Contains(got.warnings, "the capture has a gap") {
		t.Errorf("in a row: %d differences, %v, %q", got.differences, got.err, got.warnings)
	}
}

// Whatever share of the calls fails, and wherever writes are cut: the files in a row replay without a difference, also where
// the cut part of a line can't be removed and the next segment is glued to it.
func TestFilesUnderRandomFaults(t *testing.T) {
	gaps := 0
	for seed := range uint64(12) {
		disk := filesystemtest.New(nil)
		s := newSchedulerOn(t, disk, slog.New(slog.DiscardHandler), seed, config.Capture{Dir: "/dir", FileMB: 1, Files: 100})
		fail := filesystemtest.FailShare(seed, 0.1)
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
		t.Errorf("%d gaps: too few to say anything", gaps)
	}
}

// A process starts while the disk is full, and begins to record once it isn't. A wrong directory still is an error.
func TestFilesStartOnFullDisk(t *testing.T) {
	disk := filesystemtest.New(nil)
	disk.SetFault(filesystemtest.FailAll(syscall.ENOSPC))
	s := newSchedulerOn(t, disk, slog.New(slog.DiscardHandler), 1, config.Capture{Dir: "/dir", FileMB: 1, Files: 3})
	s.runWithDisk(10)
	disk.SetFault(nil)
	s.Now += segmentRetryInterval
	s.runWithDisk(100)
	s.recorder.Close(time.Minute)
	if sends := checkReplaysSame(t, concatenated(disk)); sends == 0 {
		t.Error("nothing is recorded")
	}
}
