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
	bansFile = "worker-nodes-out.json"
	bansForm = 1
	mostKept = 1 << 20 // bytes of such a file
)

type keptBans struct {
	Form int      `json:"form"`
	Out  []string `json:"out"` // ids of the worker nodes that are out by hand
}

// keeper writes the bans, whole and renamed, so that a reader finds the old ones or the new ones. A goroutine does it:
// the loop waits for no disk. What is asked for while it writes is written next, the newest only.
type keeper struct {
	loop    *Loop
	path    string
	work    chan []string
	writing bool
	next    []string
	waiting []func(error) // told when what they asked for is written; the first now are of the write under way
	now     int
}

// keep starts a keeper for a directory; without one nothing is kept.
func (l *Loop) keep(dir string) {
	if dir == "" {
		return
	}
	k := &keeper{loop: l, path: filepath.Join(dir, bansFile), work: make(chan []string, 1)}
	l.keeper = k
	go func() {
		for ids := range k.work {
			err := writeBans(k.path, ids)
			l.post(func() { k.written(err) })
		}
	}()
}

// errSlow is what is said while the directory takes in nothing.
var errSlow = errors.New("too many calls wait for the directory")

// save has the bans written, and tells done once that is so.
func (k *keeper) save(ids []string, done func(error)) {
	if k.next = ids; len(k.waiting) >= operatorsMost {
		done(errSlow)
		return
	}
	k.waiting = append(k.waiting, done)
	k.start()
}

func (k *keeper) start() {
	if !k.writing && len(k.waiting) > 0 {
		k.writing, k.now = true, len(k.waiting)
		k.work <- k.next
	}
}

func (k *keeper) written(err error) {
	told := k.waiting[:k.now:k.now]
	k.waiting, k.writing = k.waiting[k.now:], false
	for _, done := range told {
		done(err)
	}
	k.start()
}

func writeBans(path string, ids []string) error {
	text, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(keptBans{bansForm, ids})
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

// readBans reads what a process before this one has kept; none, if none has.
func readBans(dir string) ([]string, error) {
	if dir == "" {
		return nil, nil
	}
	path := filepath.Join(dir, bansFile)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err == nil && info.Size() > mostKept {
		err = fmt.Errorf("%s: larger than %d bytes", path, mostKept)
	}
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(path)
	var kept keptBans
	if err == nil {
		err = jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(text, &kept)
	}
	switch {
	case err != nil:
		return nil, fmt.Errorf("%s: %w", path, err)
	case kept.Form != bansForm:
		return nil, fmt.Errorf("%s: form %d, expected %d", path, kept.Form, bansForm)
	}
	return kept.Out, nil
}
