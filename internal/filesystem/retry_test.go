package filesystem_test

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"valvecove/internal/filesystem"
	"valvecove/internal/filesystem/filesystemtest"
)

// After an interrupted or short write, WriteAll continues with the rest of the data. After any other error it returns the number
// of written bytes.
func TestWriteAll(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults []filesystemtest.Fault
		want   string
		err    error
	}{
		{"whole", nil, "abcdef", nil},
		{"interrupted", []filesystemtest.Fault{{Err: syscall.EINTR}, {Err: syscall.EINTR, Bytes: 2}}, "abcdef", nil},
		{"short", []filesystemtest.Fault{{Err: io.ErrShortWrite, Bytes: 1}, {Err: io.ErrShortWrite, Bytes: 4}}, "abcdef", nil},
		{"no progress", []filesystemtest.Fault{{Err: io.ErrShortWrite}}, "", io.ErrShortWrite},
		{"full", []filesystemtest.Fault{{Err: io.ErrShortWrite, Bytes: 2}, {Err: syscall.ENOSPC, Bytes: 1}}, "abc", syscall.ENOSPC},
		{"always interrupted", slices.Repeat([]filesystemtest.Fault{{Err: syscall.EINTR}}, 1000), "", syscall.EINTR},
	} {
		disk := filesystemtest.New(nil)
		file, err := disk.OpenFile("/f", os.O_CREATE, 0)
		if err != nil {
			t.Fatal(err)
		}
		next := 0
		disk.SetFault(func(filesystemtest.Call) (fault filesystemtest.Fault) {
			if next < len(test.faults) {
				fault = test.faults[next]
			}
			next++
			return fault
		})
		written, err := filesystem.WriteAll(file, []byte("abcdef"))
		if got := disk.Files()["/f"]; got != test.want || written != len(test.want) || !errors.Is(err, test.err) {
			t.Errorf("%s: wrote %q (%d bytes), %v; expected %q, %v", test.name, got, written, err, test.want, test.err)
		}
	}
}

// Disk performs each call on the file system of the operating system.
func TestDisk(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "a")
	file, err := filesystem.Disk.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	_, err = filesystem.WriteAll(file, []byte("text"))
	moved := filepath.Join(directory, "b")
	if err := errors.Join(err, file.Sync(), file.Truncate(2), file.Close(), filesystem.Disk.Rename(path, moved),
		filesystem.Disk.SyncDirectory(directory)); err != nil {
		t.Fatal(err)
	}
	reader, err := filesystem.Disk.OpenReader(moved)
	if err != nil {
		t.Fatal(err)
	}
	content, _ := io.ReadAll(reader)
	names, err := filesystem.Disk.ListNames(directory)
	if string(content) != "te" || !slices.Equal(names, []string{"b"}) || err != nil {
		t.Errorf("content %q, names %v, %v", content, names, err)
	}
	if err := errors.Join(reader.Close(), filesystem.Disk.Remove(moved)); err != nil {
		t.Error(err)
	}
	if file, err := filesystem.Disk.OpenFile(moved, os.O_WRONLY, 0); file != nil || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("opened a removed file: %v, %v", file, err)
	}
}
