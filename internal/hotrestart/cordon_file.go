package hotrestart

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// The file of cordoned workers, in the state directory.
const (
	// CordonFileName is the name of the file.
	CordonFileName = "worker-nodes-out.json"

	// MaxCordonFileSize is the largest file that is read, in bytes.
	MaxCordonFileSize = 1 << 20

	cordonFileVersion = 1
	cordonFileMode    = 0o600
)

type cordonFile struct {
	Version   int      `json:"form"`
	WorkerIDs []string `json:"out"`
}

// CordonFileError reports a file of cordoned workers that can't be used.
type CordonFileError struct {
	Path string
	Err  error
}

// Error names the file and the cause.
func (e *CordonFileError) Error() string {
	return fmt.Sprintf("cordoned workers in %s: %v", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *CordonFileError) Unwrap() error { return e.Err }

// ReadCordonFile returns the ids of the workers that an earlier process has cordoned. Without a file, or with an empty
// stateDir, there are none. Any error is a *CordonFileError.
func ReadCordonFile(stateDir string) ([]string, error) {
	if stateDir == "" {
		return nil, nil
	}
	path := filepath.Join(stateDir, CordonFileName)
	content, err := readLimited(path, MaxCordonFileSize)
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

func readLimited(path string, limit int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > limit {
		return nil, fmt.Errorf("%d bytes, at most %d allowed", info.Size(), limit)
	}
	return os.ReadFile(path)
}

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

// WriteCordonFile replaces the file of cordoned workers in stateDir as a whole: a reader finds the old content or the new
// one. Any error is a *CordonFileError.
func WriteCordonFile(stateDir string, workerIDs []string) error {
	path := filepath.Join(stateDir, CordonFileName)
	content, err := json.Marshal(cordonFile{cordonFileVersion, workerIDs})
	if err != nil {
		return &CordonFileError{path, err}
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, append(content, '\n'), cordonFileMode); err != nil {
		return &CordonFileError{path, err}
	}
	if err := os.Rename(temporary, path); err != nil {
		return &CordonFileError{path, err}
	}
	return nil
}
