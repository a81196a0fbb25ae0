package link

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	jsoniter "github.com/json-iterator/go"
)

// What outlives this process and the one before it is kept in files of the directory that $TMPDIR names.
const (
	cordonFileName    = "worker-nodes-out.json"
	cordonFileVersion = 1
	maxCordonFileSize = 1 << 20 // bytes of such a file
)

type cordonFile struct {
	Version   int      `json:"form"`
	WorkerIDs []string `json:"out"` // ids of the worker nodes that are out by hand
}

// cordonStore writes the bans, whole and renamed, so that a reader finds the old ones or the new ones. A goroutine does it:
// the loop waits for no disk. What is asked for while it writes is written next, the newest only.
type cordonStore struct {
	loop             *Loop
	path             string
	writes           chan []string
	writing          bool
	newest           []string
	callbacks        []func(error) // told when what they asked for is written; the first now are of the write under way
	callbacksOfWrite int
}

// openCordonStore starts a keeper for a directory; without one nothing is kept.
func (l *Loop) openCordonStore(dir string) {
	if dir == "" {
		return
	}
	k := &cordonStore{loop: l, path: filepath.Join(dir, cordonFileName), writes: make(chan []string, 1)}
	l.cordonStore = k
	go func() {
		for ids := range k.writes {
			err := writeCordonFile(k.path, ids)
			l.post(func() { k.writeFinished(err) })
		}
	}()
}

// errTooManyWaiting is what is said while the directory takes in nothing.
var errTooManyWaiting = errors.New("too many calls wait for the directory")

// save has the bans written, and tells done once that is so.
func (k *cordonStore) save(ids []string, done func(error)) {
	if k.newest = ids; len(k.callbacks) >= operatorsMost {
		done(errTooManyWaiting)
		return
	}
	k.callbacks = append(k.callbacks, done)
	k.startWrite()
}

func (k *cordonStore) startWrite() {
	if !k.writing && len(k.callbacks) > 0 {
		k.writing, k.callbacksOfWrite = true, len(k.callbacks)
		k.writes <- k.newest
	}
}

func (k *cordonStore) writeFinished(err error) {
	told := k.callbacks[:k.callbacksOfWrite:k.callbacksOfWrite]
	k.callbacks, k.writing = k.callbacks[k.callbacksOfWrite:], false
	for _, done := range told {
		done(err)
	}
	k.startWrite()
}

func writeCordonFile(path string, ids []string) error {
	text, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(cordonFile{cordonFileVersion, ids})
	if err != nil {
		return err
	}
	fresh := path + ".new"
	if err := os.WriteFile(fresh, append(text, '\n'), 0o600); err != nil {
		return fmt.Errorf("worker nodes that are out: %w", err)
	}
	if err := os.Rename(fresh, path); err != nil {
		return fmt.Errorf("worker nodes that are out: %w", err)
	}
	return nil
}

// readCordonFile reads what a process before this one has kept; none, if none has.
func readCordonFile(dir string) ([]string, error) {
	if dir == "" {
		return nil, nil
	}
	path := filepath.Join(dir, cordonFileName)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err == nil && info.Size() > maxCordonFileSize {
		err = fmt.Errorf("%s: larger than %d bytes", path, maxCordonFileSize)
	}
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(path)
	var kept cordonFile
	if err == nil {
		err = jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(text, &kept)
	}
	switch {
	case err != nil:
		return nil, fmt.Errorf("%s: %w", path, err)
	case kept.Version != cordonFileVersion:
		return nil, fmt.Errorf("%s: form %d, expected %d", path, kept.Version, cordonFileVersion)
	}
	return kept.WorkerIDs, nil
}
