package hotrestart

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The file has the bytes that processes of all builds read.
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

func TestReadCordonFile_ReportsUnusableFile(t *testing.T) {
	dir := t.TempDir()
	for _, content := range []string{"", "{", `{"form":2,"out":["s-0"]}`, strings.Repeat(" ", MaxCordonFileSize+1)} {
		if err := os.WriteFile(filepath.Join(dir, CordonFileName), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		var unusable *CordonFileError
		if got, err := ReadCordonFile(dir); !errors.As(err, &unusable) || got != nil {
			t.Errorf("%.30q: %v, %v", content, got, err)
		}
	}
}

// eventLoop runs what the goroutine of a store posts.
type eventLoop struct{ posted chan func() }

func newEventLoop() *eventLoop { return &eventLoop{make(chan func(), 1)} }

func (l *eventLoop) post(act func()) { l.posted <- act }

func (l *eventLoop) runOne() { (<-l.posted)() }

// Calls are completed once what they saved, or something newer, is in the file.
func TestCordonStore_Save(t *testing.T) {
	dir, loop := t.TempDir(), newEventLoop()
	store := NewCordonStore(dir, 2, loop.post)
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
	loop.runOne()
	if got, err := ReadCordonFile(dir); len(completed) != 2 || completed[1] != "first" || err != nil {
		t.Errorf("completed %q, kept %v, %v", completed, got, err)
	}
	loop.runOne()
	got, err := ReadCordonFile(dir)
	if len(completed) != 3 || completed[2] != "second" || err != nil || !slices.Equal(got, []string{"s-2"}) || store.IsWriting() {
		t.Errorf("completed %q, kept %v, %v, writing %v", completed, got, err, store.IsWriting())
	}
}

func TestCordonStore_ReportsFailure(t *testing.T) {
	loop := newEventLoop()
	store := NewCordonStore(filepath.Join(t.TempDir(), "missing"), 1, loop.post)
	var got error
	store.Save([]string{"s-0"}, func(err error) { got = err })
	loop.runOne()
	var unusable *CordonFileError
	if !errors.As(got, &unusable) || !errors.Is(got, fs.ErrNotExist) || store.IsWriting() {
		t.Errorf("%v", got)
	}
}
