// Package filesystem is the interface between the scheduler and the disk. It contains the calls that the scheduler needs to store
// files, and functions that complete interrupted writes. Tests replace the disk by one that fails; see package filesystemtest.
// The package is for files that are not accessed while a request is being handled. It does not interpret their content.
package filesystem

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"syscall"
)

// FileSystem stores files. Implementations are safe for concurrent use.
type FileSystem interface {
	// OpenFile opens a file for writing. flags are those of os.OpenFile.
	OpenFile(path string, flags int, mode fs.FileMode) (File, error)
	// OpenReader opens a file for reading.
	OpenReader(path string) (io.ReadSeekCloser, error)
	// ListNames returns the names in a directory, sorted.
	ListNames(directory string) ([]string, error)
	// Rename renames a file. It replaces a file that has the new name.
	Rename(oldPath, newPath string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDirectory makes earlier changes of the names in a directory durable.
	SyncDirectory(directory string) error
}

// File is a file that is open for writing.
type File interface {
	// Write returns an error if it writes only a part of the data.
	io.Writer
	// Truncate reduces the file to a size.
	Truncate(size int64) error
	// Sync makes the written data durable.
	Sync() error
	Close() error
}

// Disk is the file system of the operating system.
var Disk FileSystem = disk{}

type disk struct{}

func (disk) OpenFile(path string, flags int, mode fs.FileMode) (File, error) {
	file, err := os.OpenFile(path, flags, mode)
	if err != nil {
		return nil, err // not file: a nil *os.File would be a File that is not nil
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
	if errors.Is(err, syscall.EINVAL) { // this kind of file system does not sync directories
		err = nil
	}
	if closeErr := opened.Close(); err == nil {
		err = closeErr
	}
	return err
}
