package hotrestart

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"valvecove/internal/filesystem"
)

// The file is written in the form that all builds read.
func TestCordonFile(t *testing.T) {
	dir := t.TempDir()
	if got, err := ReadCordonFile(dir); err != nil || got != nil {
		t.Errorf("without a file: %v, %v", got, err)
	}
	if got, err := ReadCordonFile(""); err != nil || got != nil {
		t.Errorf("without a directory: %v, %v", got, err)
	}
	for _, workerIDs := range [][]string{{"s-0", "s-1"}, {"s-1"}} {
		if err := WriteCordonFile(dir, workerIDs); err != nil {
			t.Fatal(err)
		}
		if got, err := ReadCordonFile(dir); err != nil || !slices.Equal(got, workerIDs) {
			t.Errorf("%v, %v, expected %v", got, err, workerIDs)
		}
	}
	content, err := os.ReadFile(filepath.Join(dir, "worker-nodes-out.json"))
	if want := `{"form":1,"out":["s-1"]}` + "\n"; err != nil || string(content) != want {
		t.Errorf("%q, %v, expected %q", content, err, want)
	}
}

func TestReadCordonFileReportsUnusableFile(t *testing.T) {
	dir := t.TempDir()
	for _, content := range []string{"", "{", `{"form":2,"out":["s-0"]}`, strings.Repeat(" ", MaxCordonFileSize+1)} {
		if err := os.WriteFile(filepath.Join(dir, CordonFileName), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		var unusable *CordonFileError
		if got, err := ReadCordonFile(dir); !errors.As(err, &unusable) || got != nil {
			t.Errorf("file with %.30q: read %v, error %v, expected a CordonFileError", content, got, err)
		}
	}
}

// eventLoop runs functions that a store's goroutine posts, and timers that the store starts, on a clock that the test advances.
type eventLoop struct {
	posted  chan func()
	now     time.Duration
	timers  []loopTimer
	changes []error // reported by the store
}

type loopTimer struct {
	at  time.Duration
	act func()
}

func newEventLoop() *eventLoop { return &eventLoop{posted: make(chan func(), 1)} }

// newStore returns a store with at most 2 waiting callbacks.
func (e *eventLoop) newStore(files filesystem.FileSystem, stateDir string) *CordonStore {
	return NewCordonStore(CordonStoreConfig{
		Files: files, StateDir: stateDir, MaxCallbacks: 2,
		Now:     func() time.Duration { return e.now },
		Post:    func(act func()) { e.posted <- act },
		After:   func(delay time.Duration, act func()) { e.timers = append(e.timers, loopTimer{e.now + delay, act}) },
		Changed: func(err error) { e.changes = append(e.changes, err) },
	})
}

func (e *eventLoop) runPosted() { (<-e.posted)() }

// finishWrite handles the end of a write, if one is in progress.
func (e *eventLoop) finishWrite(store *CordonStore) {
	if store.IsWriting() {
		e.runPosted()
	}
}

// runTimer advances the clock to the only timer, runs it, and returns its delay.
func (e *eventLoop) runTimer(t *testing.T) time.Duration {
	t.Helper()
	if len(e.timers) != 1 {
		t.Fatalf("%d timers, expected 1", len(e.timers))
	}
	timer, before := e.timers[0], e.now
	e.timers, e.now = nil, timer.at
	timer.act()
	return e.now - before
}

// The callback of a Save is called once its IDs, or newer ones, are in the file.
func TestCordonStoreSave(t *testing.T) {
	dir, loop := t.TempDir(), newEventLoop()
	store := loop.newStore(filesystem.Disk, dir)
	var completed []string
	save := func(name string, workerIDs ...string) {
		store.Save(workerIDs, func(err error) {
			if err != nil {
				name += ": " + err.Error()
			}
			completed = append(completed, name)
		})
	}
	if store.IsWriting() {
		t.Error("writing before the first call")
	}
	save("first", "s-0")
	save("second", "s-0", "s-1")
	save("third", "s-2")
	if want := []string{"third: " + ErrTooManySaves.Error()}; !slices.Equal(completed, want) || !store.IsWriting() {
		t.Errorf("completed %q, writing %v", completed, store.IsWriting())
	}
	loop.runPosted()
	if got, err := ReadCordonFile(dir); len(completed) != 2 || completed[1] != "first" || err != nil {
		t.Errorf("completed %q, stored %v, %v", completed, got, err)
	}
	loop.runPosted()
	got, err := ReadCordonFile(dir)
	if len(completed) != 3 || completed[2] != "second" || err != nil || !slices.Equal(got, []string{"s-2"}) || store.IsWriting() {
		t.Errorf("completed %q, stored %v, %v, writing %v", completed, got, err, store.IsWriting())
	}
}

func TestCordonStoreReportsFailure(t *testing.T) {
	loop := newEventLoop()
	store := loop.newStore(filesystem.Disk, filepath.Join(t.TempDir(), "missing"))
	var got error
	store.Save([]string{"s-0"}, func(err error) { got = err })
	loop.runPosted()
	var unusable *CordonFileError
	if !errors.As(got, &unusable) || !errors.Is(got, fs.ErrNotExist) || store.IsWriting() {
		t.Errorf("the callback received %v, expected a CordonFileError for a missing directory", got)
	}
}
