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

	// temporarySuffix ends the names of files of cordoned workers that are not in place yet.
	temporarySuffix = ".new"
)

// errFenced means that the file was not replaced, as another process is to write it.
var errFenced = errors.New("another process writes the file from now on")

// cordonFileWriter replaces the file of cordoned workers. All but its fence is for one goroutine.
type cordonFileWriter struct {
	files         filesystem.FileSystem
	stateDir      string
	path          string
	temporaryPath string // of this writer alone: another process may write the file at the same time
	fence         renameFence
}

func newCordonFileWriter(files filesystem.FileSystem, stateDir string) *cordonFileWriter {
	path := filepath.Join(stateDir, CordonFileName)
	return &cordonFileWriter{
		files:         files,
		stateDir:      stateDir,
		path:          path,
		temporaryPath: fmt.Sprintf("%s.%016x%s", path, rand.Uint64(), temporarySuffix),
	}
}

// write replaces the file as a whole. Once it returns nil, the new content outlives a kill and a power failure; before that,
// and after an error, either of them leaves the old content or the new one. Any error is a *CordonFileError.
func (w *cordonFileWriter) write(workerIDs []string) error {
	content, err := json.Marshal(cordonFile{cordonFileVersion, workerIDs})
	if err == nil {
		err = w.replace(append(content, '\n'))
	}
	if err != nil {
		return &CordonFileError{w.path, err}
	}
	return nil
}

func (w *cordonFileWriter) replace(content []byte) error {
	err := w.writeTemporary(content)
	if err == nil {
		err = w.renameTemporary()
	}
	if err != nil {
		_ = w.files.Remove(w.temporaryPath) // what stays there is overwritten by the next write
		return err
	}
	return filesystem.RetryInterrupted(func() error { return w.files.SyncDirectory(w.stateDir) })
}

// writeTemporary makes the content durable beside the file.
func (w *cordonFileWriter) writeTemporary(content []byte) error {
	var file filesystem.File
	err := filesystem.RetryInterrupted(func() (err error) {
		file, err = w.files.OpenFile(w.temporaryPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, cordonFileMode)
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

func (w *cordonFileWriter) renameTemporary() error {
	if !w.fence.beginRename() {
		return errFenced
	}
	defer w.fence.endRename()
	return filesystem.RetryInterrupted(func() error { return w.files.Rename(w.temporaryPath, w.path) })
}

// removeStrayFiles removes what killed processes have left half done. A process that writes at this moment loses its
// temporary file by that, and has to write again.
func (w *cordonFileWriter) removeStrayFiles() {
	names, _ := w.files.ListNames(w.stateDir) // else they stay until the next start
	for _, name := range names {
		if strings.HasPrefix(name, CordonFileName+".") && strings.HasSuffix(name, temporarySuffix) {
			_ = w.files.Remove(filepath.Join(w.stateDir, name))
		}
	}
}

// renameFence keeps a process from replacing the file once another one does. Safe for concurrent use.
type renameFence struct{ state atomic.Int32 }

// States of a renameFence.
const (
	fenceOpen int32 = iota
	fenceRenaming
	fenceClosed
)

// beginRename reports whether a rename may begin. endRename is to follow then.
func (f *renameFence) beginRename() bool { return f.state.CompareAndSwap(fenceOpen, fenceRenaming) }

func (f *renameFence) endRename() { f.state.Store(fenceOpen) }

// close has no rename begin until open. It returns false, and changes nothing, while one is in progress.
func (f *renameFence) close() bool {
	return f.state.CompareAndSwap(fenceOpen, fenceClosed) || f.state.Load() == fenceClosed
}

func (f *renameFence) open() { f.state.CompareAndSwap(fenceClosed, fenceOpen) }
