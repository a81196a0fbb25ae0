// Package filesystemtest is a disk in memory for tests, which specify the calls that fail. It distinguishes between written and
// durable data, so that a test can inspect the state of the disk after each kind of crash.
package filesystemtest

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"valvecove/internal/filesystem"
)

// ErrKilled is the error of the call at which the process is killed, and of all later calls. Later calls have no effect.
var ErrKilled = errors.New("the process was killed")

// Operation is a kind of call.
type Operation string

// Kinds of calls.
const (
	Open          Operation = "open"
	OpenReader    Operation = "open to read"
	Write         Operation = "write"
	Truncate      Operation = "truncate"
	Sync          Operation = "sync"
	Close         Operation = "close"
	List          Operation = "list"
	Rename        Operation = "rename"
	Remove        Operation = "remove"
	SyncDirectory Operation = "sync directory"
)

// Call is one call of the disk.
type Call struct {
	Number    int // from 0
	Operation Operation
	Path      string
	Size      int // number of bytes of a write
}

// Fault describes how a call fails.
type Fault struct {
	Err         error // nil: it does not fail
	Bytes       int   // number of bytes that a failing write writes nevertheless
	AfterEffect bool  // the call takes full effect before it fails
}

// Disk is a file system in memory.
type Disk struct {
	mu      sync.Mutex
	fault   func(Call) Fault
	calls   []Call
	killed  bool
	names   map[string]*inode
	durable map[string]*inode // the names as of the last sync, which survive a power failure
	pending []nameChange      // changes since the last sync of the names, oldest first
}

// inode is a file, regardless of its name.
type inode struct {
	content []byte
	durable []byte // the content as of the last sync, which survives a power failure
}

// nameChange is one change of a directory. A rename is a single change that removes a name and adds another.
type nameChange struct {
	removed string // empty: none
	added   string // empty: none
	file    *inode
}

// New returns a disk with files, which are durable. The keys are their paths.
func New(files map[string]string) *Disk {
	disk := &Disk{names: map[string]*inode{}, durable: map[string]*inode{}}
	for path, content := range files {
		disk.put(path, []byte(content))
	}
	return disk
}

func (d *Disk) put(path string, content []byte) {
	file := &inode{content: content, durable: content}
	d.names[path] = file
	d.durable[path] = file
}

// SetFault sets the function that returns the fault of each call. If it is nil, no call fails.
func (d *Disk) SetFault(fault func(Call) Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
}

// Calls returns all calls so far.
func (d *Disk) Calls() []Call {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

// Files returns the contents of the files as a process reads them, by path.
func (d *Disk) Files() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	files := map[string]string{}
	for path, file := range d.names {
		files[path] = string(file.content)
	}
	return files
}

// begin records a call and returns its fault. The caller must hold the lock.
func (d *Disk) begin(operation Operation, path string, size int) Fault {
	if d.killed {
		return Fault{Err: ErrKilled}
	}
	call := Call{Number: len(d.calls), Operation: operation, Path: path, Size: size}
	d.calls = append(d.calls, call)
	if d.fault == nil {
		return Fault{}
	}
	fault := d.fault(call)
	d.killed = errors.Is(fault.Err, ErrKilled)
	return fault
}

// call executes a call that takes full effect or none.
func (d *Disk) call(operation Operation, path string, effect func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	fault := d.begin(operation, path, 0)
	if fault.Err != nil && !fault.AfterEffect {
		return &fs.PathError{Op: string(operation), Path: path, Err: fault.Err}
	}
	if err := effect(); err != nil {
		return &fs.PathError{Op: string(operation), Path: path, Err: err}
	}
	if fault.Err != nil {
		return &fs.PathError{Op: string(operation), Path: path, Err: fault.Err}
	}
	return nil
}

func (d *Disk) change(change nameChange) {
	d.pending = append(d.pending, change)
	change.apply(d.names)
}

func (c nameChange) apply(names map[string]*inode) {
	if c.removed != "" {
		delete(names, c.removed)
	}
	if c.added != "" {
		names[c.added] = c.file
	}
}

// OpenFile opens a file. Writes append to it, regardless of the flags.
func (d *Disk) OpenFile(path string, flags int, _ fs.FileMode) (filesystem.File, error) {
	opened := &file{disk: d, path: path}
	err := d.call(Open, path, func() error {
		existing := d.names[path]
		switch {
		case existing == nil && flags&os.O_CREATE == 0:
			return fs.ErrNotExist
		case existing != nil && flags&os.O_EXCL != 0:
			return fs.ErrExist
		case existing == nil:
			existing = &inode{}
			d.change(nameChange{added: path, file: existing})
		case flags&os.O_TRUNC != 0:
			existing.content = nil
		}
		opened.inode = existing
		return nil
	})
	if err != nil {
		return nil, err
	}
	return opened, nil
}

// OpenReader opens a file for reading.
func (d *Disk) OpenReader(path string) (reader io.ReadSeekCloser, err error) {
	err = d.call(OpenReader, path, func() error {
		file := d.names[path]
		if file == nil {
			return fs.ErrNotExist
		}
		reader = openReader{bytes.NewReader(slices.Clone(file.content))}
		return nil
	})
	return reader, err
}

// openReader is a file that is open for reading.
type openReader struct{ *bytes.Reader }

// Close closes the file.
func (openReader) Close() error { return nil }

// ListNames returns the names in a directory.
func (d *Disk) ListNames(directory string) (names []string, err error) {
	err = d.call(List, directory, func() error {
		for path := range d.names {
			if filepath.Dir(path) == filepath.Clean(directory) {
				names = append(names, filepath.Base(path))
			}
		}
		slices.Sort(names)
		return nil
	})
	return names, err
}

// Rename renames a file.
func (d *Disk) Rename(oldPath, newPath string) error {
	return d.call(Rename, oldPath, func() error {
		file := d.names[oldPath]
		if file == nil {
			return fs.ErrNotExist
		}
		d.change(nameChange{removed: oldPath, added: newPath, file: file})
		return nil
	})
}

// Remove removes a file.
func (d *Disk) Remove(path string) error {
	return d.call(Remove, path, func() error {
		if d.names[path] == nil {
			return fs.ErrNotExist
		}
		d.change(nameChange{removed: path})
		return nil
	})
}

// SyncDirectory makes all names durable, not only those in the directory.
func (d *Disk) SyncDirectory(directory string) error {
	return d.call(SyncDirectory, directory, func() error {
		d.durable = maps.Clone(d.names)
		d.pending = nil
		return nil
	})
}

// file is an open file.
type file struct {
	disk  *Disk
	path  string
	inode *inode
}

// Write appends data, or only a part of it if it fails.
func (f *file) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	fault := f.disk.begin(Write, f.path, len(data))
	size := len(data)
	if fault.Err != nil && !fault.AfterEffect {
		size = min(fault.Bytes, len(data))
	}
	f.inode.content = append(slices.Clip(f.inode.content), data[:size]...)
	if fault.Err != nil {
		return size, &fs.PathError{Op: string(Write), Path: f.path, Err: fault.Err}
	}
	return size, nil
}

// Truncate reduces the file to a size.
func (f *file) Truncate(size int64) error {
	return f.disk.call(Truncate, f.path, func() error {
		f.inode.content = f.inode.content[:min(int(size), len(f.inode.content))]
		return nil
	})
}

// Sync makes the content durable.
func (f *file) Sync() error {
	return f.disk.call(Sync, f.path, func() error {
		f.inode.durable = f.inode.content
		return nil
	})
}

// Close closes the file.
func (f *file) Close() error { return f.disk.call(Close, f.path, func() error { return nil }) }
