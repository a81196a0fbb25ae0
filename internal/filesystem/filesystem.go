// Package filesystem is the seam between the scheduler and the disk: the few calls by which it keeps files, and what makes
// writes complete in spite of interruptions. Tests put a disk that fails in its place: see package filesystemtest. It is for
// files that are kept off the serving path, and decides nothing about what stands in them.
package filesystem

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"syscall"
)

// FileSystem is what keeps files. Implementations are safe for concurrent use.
type FileSystem interface {
	// OpenFile opens a file to write to. flags are those of os.OpenFile.
	OpenFile(path string, flags int, mode fs.FileMode) (File, error)
	// OpenReader opens a file to read from.
	OpenReader(path string) (io.ReadSeekCloser, error)
	// ListNames returns the names in a directory, sorted.
	ListNames(directory string) ([]string, error)
	// Rename gives a file another name, in place of the file that had it.
	Rename(oldPath, newPath string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDirectory makes the names in a directory durable.
	SyncDirectory(directory string) error
}

// File is a file that is open to be written to.
type File interface {
	// Write may write less than it is given, in which case it returns an error.
	io.Writer
	// Truncate cuts the file to a size.
	Truncate(size int64) error
	// Sync makes what was written durable.
	Sync() error
	Close() error
}

// Disk is the file system of the operating system.
var Disk FileSystem = disk{}

type disk struct{}

func (disk) OpenFile(path string, flags int, mode fs.FileMode) (File, error) {
	file, err := os.OpenFile(path, flags, mode)
	if err != nil {
		return nil, err // and no *os.File that is nil
	}
	return file, nil
}

func (disk) OpenReader(path string) (io.ReadSeekCloser, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	return file, nil
}

func (disk) ListNames(directory string) ([]string, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, nil
}

func (disk) Rename(oldPath, newPath string) error { return os.Rename(oldPath, newPath) }

func (disk) Remove(path string) error { return os.Remove(path) }

func (disk) SyncDirectory(directory string) error {
	opened, err := os.Open(directory)
	if err != nil {
		return err
	}
	err = opened.Sync()
	if errors.Is(err, syscall.EINVAL) { // this kind of file system has nothing to sync
		err = nil
	}
	if closeErr := opened.Close(); err == nil {
		err = closeErr
	}
	return err
}
