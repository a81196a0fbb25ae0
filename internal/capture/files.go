package capture

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"valvecove/internal/asyncwriter"
	"valvecove/internal/config"
	"valvecove/internal/filesystem"
)

const (
	fileSuffix       = ".jsonl"
	fileNumberDigits = 8
	filePermissions  = 0o640
	megabyte         = 1 << 20
	// maxPendingBytes is the maximum number of bytes that are queued for the disk.
	maxPendingBytes = megabyte
	// maxTakenNumbers is the maximum number of consecutive file numbers that are skipped because another process has used them.
	maxTakenNumbers = 100
)

// files is a sink that writes each segment to a file of its own. After newFiles, the disk is accessed on the queue's goroutine
// only.
type files struct {
	*asyncwriter.Queue
	disk          filesystem.FileSystem
	pathPrefix    string // of all files, before their number
	maxFileBytes  int
	maxFiles      int
	segment       int64        // number of the current segment, from 1
	segmentBytes  int          // size of the current segment
	segmentLost   bool         // a part of the current segment was lost, so the rest is not written
	failedSegment atomic.Int64 // number of the last segment in which a write failed
	storedSegment atomic.Int64 // number of the last segment whose first line is in a file

	// The fields below are used on the queue's goroutine only.
	file       filesystem.File // nil: no file is open
	filePath   string
	fileBytes  int64  // size of the file
	fileNumber int    // of the last file that was opened
	strayPath  string // path of a file that has no segment and could not be removed; empty: none
}

// newFiles returns a sink whose first file is open, or the error of the directory. An error of the disk that may be temporary,
// such as a full disk, is not returned: the file is then opened when the first segment is written.
func newFiles(disk filesystem.FileSystem, capture config.Capture, schedulerName string) (*files, error) {
	f := &files{
		disk:         disk,
		pathPrefix:   filepath.Join(capture.Dir, fileNameOf(schedulerName)+"-"),
		maxFileBytes: capture.FileMB * megabyte,
		maxFiles:     capture.Files,
	}
	earlier, err := f.list()
	if err != nil && !filesystem.IsTemporary(err) {
		return nil, err
	}
	if len(earlier) > 0 {
		f.fileNumber = f.numberOf(earlier[len(earlier)-1])
	}
	if err := f.openNextFile(); err != nil && !filesystem.IsTemporary(err) {
		return nil, err
	}
	f.Queue = asyncwriter.NewQueue(maxPendingBytes)
	return f, nil
}

// fileNameOf replaces the characters of a name that are not letters, digits, '-' or '_' by '_'.
func fileNameOf(schedulerName string) string {
	return strings.Map(func(char rune) rune {
		switch {
		case char == '-', char == '_', '0' <= char && char <= '9', 'A' <= char && char <= 'Z', 'a' <= char && char <= 'z':
			return char
		}
		return '_'
	}, schedulerName)
}

// list returns the paths of this scheduler's capture files, oldest first.
func (f *files) list() ([]string, error) {
	directory, namePrefix := filepath.Split(f.pathPrefix)
	names, err := f.disk.ListNames(filepath.Dir(f.pathPrefix))
	if err != nil {
		return nil, err
	}
	var paths []string
	for _, name := range names {
		if isFileName(name, namePrefix) {
			paths = append(paths, filepath.Join(directory, name))
		}
	}
	slices.Sort(paths)
	return paths, nil
}

// isFileName reports whether a name has the prefix, a number and the suffix of a capture file.
func isFileName(name, prefix string) bool {
	name, hasPrefix := strings.CutPrefix(name, prefix)
	number, hasSuffix := strings.CutSuffix(name, fileSuffix)
	return hasPrefix && hasSuffix && len(number) == fileNumberDigits && strings.Trim(number, "0123456789") == ""
}

// numberOf returns the number in a path that list has returned.
func (f *files) numberOf(path string) int {
	digits := strings.TrimSuffix(strings.TrimPrefix(path, f.pathPrefix), fileSuffix)
	number, _ := strconv.Atoi(digits) // never fails: list returns only paths with digits there
	return number
}

// openNextFile closes the current file and opens the next one.
func (f *files) openNextFile() error {
	f.closeFile()
	if f.strayPath != "" {
		return f.openFile(f.strayPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	}
	var err error
	for range maxTakenNumbers {
		path := fmt.Sprintf("%s%0*d%s", f.pathPrefix, fileNumberDigits, f.fileNumber+1, fileSuffix)
		err = f.openFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY)
		if err == nil || errors.Is(err, fs.ErrExist) {
			f.fileNumber++
		}
		if !errors.Is(err, fs.ErrExist) {
			break
		}
	}
	return err
}

// openFile opens a file as the current one.
func (f *files) openFile(path string, flags int) error {
	return filesystem.RetryInterrupted(func() error {
		file, err := f.disk.OpenFile(path, flags, filePermissions)
		if err != nil {
			return err
		}
		f.file = file
		f.filePath = path
		f.fileBytes = 0
		f.strayPath = ""
		return nil
	})
}

// closeFile closes the current file, if there is one.
func (f *files) closeFile() {
	if f.file != nil {
		_ = f.file.Close()
		f.file = nil
	}
}

// discardFile removes the current file, which contains no segment. If it can't be removed, the next segment is written to it:
// otherwise, while the disk fails, removeOldest would remove earlier captures in favour of empty files.
func (f *files) discardFile() {
	f.closeFile()
	remove := func() error { return f.disk.Remove(f.filePath) }
	if err := filesystem.RetryInterrupted(remove); err != nil && !errors.Is(err, fs.ErrNotExist) {
		f.strayPath = f.filePath
	}
}

// removeOldest removes the oldest files beyond maxFiles. If a removal fails, it is tried again after the start of the next
// segment.
func (f *files) removeOldest() {
	paths, _ := f.list()
	for len(paths) > f.maxFiles {
		_ = f.disk.Remove(paths[0])
		paths = paths[1:]
	}
}

// write appends lines to the file of a segment. If that fails, the file is truncated to its size before, and no more lines of the
// segment are written, so that no line is missing between others. If the truncation fails too, the file ends with an incomplete
// line.
func (f *files) write(segment int64, lines []byte) error {
	if f.failedSegment.Load() == segment {
		return os.ErrClosed
	}
	written, err := filesystem.WriteAll(f.file, lines)
	if err != nil {
		_ = filesystem.RetryInterrupted(func() error { return f.file.Truncate(f.fileBytes) })
		f.failedSegment.Store(segment)
		return err
	}
	f.fileBytes += int64(written)
	return nil
}

// writeFirstLine writes the first line of a segment to a new file.
func (f *files) writeFirstLine(segment int64, line []byte) error {
	if segment > 1 || f.file == nil { // otherwise newFiles has opened the file of the first segment
		if err := f.openNextFile(); err != nil {
			f.failedSegment.Store(segment)
			return err
		}
	}
	if err := f.write(segment, line); err != nil {
		f.discardFile()
		return err
	}
	f.storedSegment.Store(segment)
	f.removeOldest()
	return nil
}

// open implements sink.
func (f *files) open(line []byte) bool {
	line = slices.Clone(line)
	f.segment++
	f.segmentBytes = len(line)
	f.segmentLost = false
	segment := f.segment
	return f.enqueue(len(line), func() error { return f.writeFirstLine(segment, line) })
}

// add implements sink.
func (f *files) add(lines []byte) bool {
	lines = slices.Clone(lines)
	f.segmentBytes += len(lines)
	segment := f.segment
	return f.enqueue(len(lines), func() error { return f.write(segment, lines) })
}

// enqueue adds a write to the queue. It returns false if this or an earlier part of the segment is lost.
func (f *files) enqueue(size int, write func() error) bool {
	if !f.segmentLost {
		f.segmentLost = f.failedSegment.Load() == f.segment || !f.Enqueue(size, write)
	}
	return !f.segmentLost
}

func (f *files) isStored() bool              { return f.storedSegment.Load() == f.segment }
func (f *files) full() bool                  { return f.segmentBytes >= f.maxFileBytes }
func (f *files) dump() []byte                { return nil }
func (f *files) lost() uint64                { return f.Dropped() + f.Failed() }
func (f *files) close(timeout time.Duration) { f.Close(timeout) }
