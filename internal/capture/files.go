package capture

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"valvecove/internal/asyncwriter"
	"valvecove/internal/config"
)

const (
	fileSuffix       = ".jsonl"
	fileNumberDigits = 8
	filePermissions  = 0o640
	megabyte         = 1 << 20
	// maxPendingBytes is how many bytes may wait for the disk.
	maxPendingBytes = megabyte
)

// files keeps segments on a disk, one a file. The disk is touched by the queue's goroutine only, which owns the fields so
// marked.
type files struct {
	*asyncwriter.Queue
	pathPrefix    string // of all files, before their number
	maxFileBytes  int
	maxFiles      int
	segment       int64 // counts them
	segmentBytes  int
	segmentLost   bool         // a part of the segment could not be kept
	failedSegment atomic.Int64 // in which the disk failed

	file       *os.File // the queue's
	fileNumber int      // the queue's
}

// newFiles opens the first file at once: a directory that can't be written to is an error of the start.
func newFiles(capture config.Capture, schedulerName string) (*files, error) {
	f := &files{
		pathPrefix:   filepath.Join(capture.Dir, fileNameOf(schedulerName)+"-"),
		maxFileBytes: capture.FileMB * megabyte,
		maxFiles:     capture.Files,
	}
	earlier, err := f.list()
	if err != nil {
		return nil, err
	}
	if len(earlier) > 0 {
		f.fileNumber = f.numberOf(earlier[len(earlier)-1])
	}
	if err := f.openNextFile(); err != nil {
		return nil, err
	}
	f.Queue = asyncwriter.NewQueue(maxPendingBytes)
	return f, nil
}

// fileNameOf replaces what may have a meaning in a path.
func fileNameOf(schedulerName string) string {
	return strings.Map(func(char rune) rune {
		switch {
		case char == '-', char == '_', '0' <= char && char <= '9', 'A' <= char && char <= 'Z', 'a' <= char && char <= 'z':
			return char
		}
		return '_'
	}, schedulerName)
}

// list returns the paths of this scheduler's files, oldest first.
func (f *files) list() ([]string, error) {
	directory, namePrefix := filepath.Split(f.pathPrefix)
	entries, err := os.ReadDir(filepath.Dir(f.pathPrefix))
	if err != nil {
		return nil, err
	}
	var paths []string
	for _, entry := range entries {
		if isFileName(entry.Name(), namePrefix) {
			paths = append(paths, filepath.Join(directory, entry.Name()))
		}
	}
	slices.Sort(paths)
	return paths, nil
}

func isFileName(name, prefix string) bool {
	name, hasPrefix := strings.CutPrefix(name, prefix)
	number, hasSuffix := strings.CutSuffix(name, fileSuffix)
	return hasPrefix && hasSuffix && len(number) == fileNumberDigits && strings.Trim(number, "0123456789") == ""
}

// numberOf returns the number in the path of one of the files.
func (f *files) numberOf(path string) int {
	digits := strings.TrimSuffix(strings.TrimPrefix(path, f.pathPrefix), fileSuffix)
	number, _ := strconv.Atoi(digits) // list returns only paths with digits there
	return number
}

// openNextFile closes the file, opens another, and removes the oldest beyond maxFiles.
func (f *files) openNextFile() error {
	if f.file != nil {
		_ = f.file.Close()
		f.file = nil
	}
	f.fileNumber++
	path := fmt.Sprintf("%s%0*d%s", f.pathPrefix, fileNumberDigits, f.fileNumber, fileSuffix)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, filePermissions)
	if err != nil {
		return err
	}
	f.file = file
	paths, err := f.list()
	for len(paths) > f.maxFiles && err == nil {
		err = os.Remove(paths[0])
		paths = paths[1:]
	}
	return err
}

// write appends lines to the file of a segment. Of a write that fails nothing stays, and nothing is written after it: no
// line is cut, and none is missing in between.
func (f *files) write(segment int64, lines []byte) error {
	if f.failedSegment.Load() == segment {
		return os.ErrClosed
	}
	end, err := f.file.Seek(0, io.SeekEnd)
	if err == nil {
		if _, err = f.file.Write(lines); err != nil {
			_ = f.file.Truncate(end)
		}
	}
	if err != nil {
		f.failedSegment.Store(segment)
	}
	return err
}

func (f *files) open(line []byte) bool {
	line = slices.Clone(line)
	f.segment++
	f.segmentBytes = len(line)
	f.segmentLost = false
	segment := f.segment
	return f.enqueue(len(line), func() error {
		if segment > 1 { // the first file is open
			if err := f.openNextFile(); f.file == nil {
				f.failedSegment.Store(segment)
				return err
			}
		}
		return f.write(segment, line)
	})
}

func (f *files) add(lines []byte) bool {
	lines = slices.Clone(lines)
	f.segmentBytes += len(lines)
	segment := f.segment
	return f.enqueue(len(lines), func() error { return f.write(segment, lines) })
}

// enqueue has the queue write to the segment, unless that has lost something.
func (f *files) enqueue(size int, write func() error) bool {
	if !f.segmentLost {
		f.segmentLost = f.failedSegment.Load() == f.segment || !f.Enqueue(size, write)
	}
	return !f.segmentLost
}

func (f *files) full() bool                  { return f.segmentBytes >= f.maxFileBytes }
func (f *files) dump() []byte                { return nil }
func (f *files) lost() uint64                { return f.Dropped() + f.Failed() }
func (f *files) close(timeout time.Duration) { f.Close(timeout) }
