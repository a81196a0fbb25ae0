package capture

import (
	"bytes"
	"path/filepath"
	"testing"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/filesystem"
)

// Each file replays without a difference. A second process continues the numbers of the files, and the maximum number of files
// includes those of the first one.
func TestFilesReplayWithoutDifference(t *testing.T) {
	directory := t.TempDir()
	for process := range 2 {
		s := newScheduler(t, uint64(process), config.Capture{Dir: directory, FileMB: 1, Files: 3})
		s.recorder.sink.(*files).maxFileBytes = 64 << 10
		s.run(2000)
		if s.recorder.Close(time.Minute); s.recorder.Lost() > 0 || s.recorder.Dump() != nil {
			t.Errorf("%d lost, or a dump of a capture in files", s.recorder.Lost())
		}
	}
	paths := filesIn(t, directory)
	if len(paths) != 3 || filepath.Base(paths[0]) < "n0-00000010" {
		t.Errorf("files: %v", paths)
	}
	for _, path := range paths[:2] {
		checkReplaysWithoutDifference(t, readFile(t, path))
	}
}

func TestNewFilesNeedsDirectory(t *testing.T) {
	if _, err := newFiles(filesystem.Disk, config.Capture{Dir: t.TempDir() + "/none"}, "n0"); err == nil {
		t.Error("no error for a missing directory")
	}
}

// While the disk fails, the file keeps only complete lines, and the losses are counted. Once the disk works again, a new segment
// is started, which can be replayed.
func TestFilesAfterDiskFailure(t *testing.T) {
	directory := t.TempDir()
	s := newScheduler(t, 1, config.Capture{Dir: directory, FileMB: 1, Files: 3})
	sink := s.recorder.sink.(*files)
	awaitQueue := func() { // waits until all enqueued writes have been executed
		done := make(chan struct{})
		sink.EnqueueLarge(func() error { close(done); return nil })
		<-done
	}
	s.run(100)
	awaitQueue()
	_ = sink.file.Close()
	s.run(50)
	awaitQueue()
	s.run(1)
	if s.recorder.Lost() == 0 || !s.recorder.segmentLost {
		t.Errorf("%d lost after the file was closed", s.recorder.Lost())
	}
	s.Now += segmentRetryInterval
	s.run(100)
	s.recorder.Close(time.Minute)
	paths := filesIn(t, directory)
	if len(paths) != 2 {
		t.Fatalf("files: %v", paths)
	}
	for _, path := range paths {
		checkReplaysWithoutDifference(t, readFile(t, path))
	}
	if !bytes.Contains(readFile(t, paths[1]), []byte(reasonGap)) {
		t.Error("the second file does not contain the gap as the reason of its segment")
	}
}
