package hotrestart

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"

	"valvecove/internal/filesystem"
)

// Constants of the file of cordoned workers, in the state directory.
const (
	// CordonFileName is the name of the file.
	CordonFileName = "worker-nodes-out.json"

	// MaxCordonFileSize is the maximum size in bytes of a file that is read.
	MaxCordonFileSize = 1 << 20

	cordonFileVersion = 1
)

// cordonFile is the content of the file, in its JSON form.
type cordonFile struct {
	Version   int      `json:"form"`
	WorkerIDs []string `json:"out"`
}

// CordonFileError is the error of a file of cordoned workers that can't be read or written.
type CordonFileError struct {
	Path string
	Err  error
}

// Error returns the path and the cause.
func (c *CordonFileError) Error() string {
	return fmt.Sprintf("cordoned workers in %s: %v", c.Path, c.Err)
}

// Unwrap returns the cause.
func (c *CordonFileError) Unwrap() error { return c.Err }

// ReadCordonFile calls LoadCordonFile with the file system of the machine.
func ReadCordonFile(stateDir string) ([]string, error) {
	return LoadCordonFile(filesystem.Disk, stateDir)
}

// LoadCordonFile returns the IDs of the cordoned workers in the file that an earlier process has written, or none if there is
// no file or stateDir is empty. Any error is a *CordonFileError.
func LoadCordonFile(files filesystem.FileSystem, stateDir string) ([]string, error) {
	if stateDir == "" {
		return nil, nil
	}
	path := filepath.Join(stateDir, CordonFileName)
	var content []byte
	err := filesystem.RetryInterrupted(func() (err error) {
		content, err = readLimited(files, path, MaxCordonFileSize)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &CordonFileError{path, err}
	}
	workerIDs, err := decodeCordonFile(content)
	if err != nil {
		return nil, &CordonFileError{path, err}
	}
	return workerIDs, nil
}

// readLimited returns the content of a file, or an error if it is larger than limit bytes.
func readLimited(files filesystem.FileSystem, path string, limit int64) ([]byte, error) {
	file, err := files.OpenReader(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, fmt.Errorf("file is larger than %d bytes", limit)
	}
	return content, nil
}

// decodeCordonFile returns the worker IDs in the content of a file.
func decodeCordonFile(content []byte) ([]string, error) {
	var file cordonFile
	if err := json.Unmarshal(content, &file); err != nil {
		return nil, err
	}
	if file.Version != cordonFileVersion {
		return nil, fmt.Errorf("version %d, expected %d", file.Version, cordonFileVersion)
	}
	return file.WorkerIDs, nil
}

// WriteCordonFile replaces the file of cordoned workers in stateDir atomically: a reader finds the old content or the new one.
// Any error is a *CordonFileError.
func WriteCordonFile(stateDir string, workerIDs []string) error {
	return newCordonFileWriter(filesystem.Disk, stateDir).write(workerIDs)
}
