package hotrestart

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"valvecove/internal/filesystem"
)

const (
	cordonFileMode = 0o600

	// temporarySuffix is the suffix of a temporary file, which is renamed when it is complete.
	temporarySuffix = ".new"
)

// errFenced is returned by a write after the fence was closed. The file is not replaced.
var errFenced = errors.New("another process writes the file from now on")

// cordonFileWriter replaces the file of cordoned workers. It is used on one goroutine, except for its fence.
type cordonFileWriter struct {
	files         filesystem.FileSystem
	stateDir      string
	path          string
	temporaryPath string // unique to this writer: another process may write the file at the same time
	fence         renameFence
}

// newCordonFileWriter returns a writer of the file in stateDir, which it does not access yet.
func newCordonFileWriter(files filesystem.FileSystem, stateDir string) *cordonFileWriter {
	path := filepath.Join(stateDir, CordonFileName)
	return &cordonFileWriter{
		files:         files,
		stateDir:      stateDir,
		path:          path,
		temporaryPath: fmt.Sprintf("%s.%016x%s", path, rand.Uint64(), temporarySuffix),
	}
}

// write replaces the file atomically. Once it returns nil, the new content is durable. If the process or the machine stops before
// that, or after an error, the file has the old content or the new one. Any error is a *CordonFileError.
func (c *cordonFileWriter) write(workerIDs []string) error {
	content, err := json.Marshal(cordonFile{cordonFileVersion, workerIDs})
	if err == nil {
		err = c.replace(append(content, '\n'))
	}
	if err != nil {
		return &CordonFileError{c.path, err}
	}
	return nil
}

// replace writes the content to the temporary file, renames that to the file, and syncs the directory.
func (c *cordonFileWriter) replace(content []byte) error {
	err := c.writeTemporary(content)
	if err == nil {
		err = c.renameTemporary()
	}
	if err != nil {
		_ = c.files.Remove(c.temporaryPath) // if this fails, the next write overwrites it
		return err
	}
	return filesystem.RetryInterrupted(func() error { return c.files.SyncDirectory(c.stateDir) })
}

// writeTemporary writes the content to the temporary file, and syncs it.
func (c *cordonFileWriter) writeTemporary(content []byte) error {
	var file filesystem.File
	err := filesystem.RetryInterrupted(func() (err error) {
		file, err = c.files.OpenFile(c.temporaryPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, cordonFileMode)
		return err
	})
	if err != nil {
		return err
	}
	_, err = filesystem.WriteAll(file, content)
	if err == nil {
		err = filesystem.RetryInterrupted(file.Sync)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// renameTemporary replaces the file by the temporary one, unless the fence is closed.
func (c *cordonFileWriter) renameTemporary() error {
	if !c.fence.beginRename() {
		return errFenced
	}
	defer c.fence.endRename()
	return filesystem.RetryInterrupted(func() error { return c.files.Rename(c.temporaryPath, c.path) })
}

// removeStrayFiles removes the temporary files that killed processes have left. It also removes that of a process that writes
// at the same time, whose write fails then and is retried.
func (c *cordonFileWriter) removeStrayFiles() {
	names, _ := c.files.ListNames(c.stateDir) // on an error the files stay until the next start
	for _, name := range names {
		if strings.HasPrefix(name, CordonFileName+".") && strings.HasSuffix(name, temporarySuffix) {
			_ = c.files.Remove(filepath.Join(c.stateDir, name))
		}
	}
}

// renameFence prevents a process from replacing the file once another process owns it. It is safe for concurrent use.
type renameFence struct{ state atomic.Int32 }

// States of a renameFence.
const (
	fenceOpen int32 = iota
	fenceRenaming
	fenceClosed
)

// beginRename reports whether a rename may begin. If it may, endRename must be called after the rename.
func (r *renameFence) beginRename() bool { return r.state.CompareAndSwap(fenceOpen, fenceRenaming) }

// endRename marks the end of a rename.
func (r *renameFence) endRename() { r.state.Store(fenceOpen) }

// close prevents renames from beginning until open is called. While a rename is in progress it returns false and changes nothing.
func (r *renameFence) close() bool {
	return r.state.CompareAndSwap(fenceOpen, fenceClosed) || r.state.Load() == fenceClosed
}

// open allows renames again after close.
func (r *renameFence) open() { r.state.CompareAndSwap(fenceClosed, fenceOpen) }
