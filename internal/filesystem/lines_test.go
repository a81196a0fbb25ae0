package filesystem_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"

	"valvecove/internal/filesystem"
	"valvecove/internal/filesystem/filesystemtest"
)

const linesPath = "/dir/lines"

func openLineFile(t *testing.T, disk *filesystemtest.Disk) *filesystem.LineFile {
	t.Helper()
	file, err := filesystem.OpenLineFile(disk, linesPath, 0o640)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// 40% of the calls of the disk fail, and a write that fails may be partial. Each line of the file is one that was written, in the
// order of the writes. The lines of each write that returned no error are in the file.
func TestLineFileUnderRandomFaults(t *testing.T) {
	lost, total := 0, 0
	for seed := range uint64(100) {
		disk := filesystemtest.New(nil)
		file := openLineFile(t, disk)
		disk.SetFault(filesystemtest.FailRandomly(seed, 0.4))
		var written, kept []string
		for number := range 40 {
			lines := []string{fmt.Sprintf("%d-a", number), fmt.Sprintf("%d-b", number)}
			written = append(written, lines...)
			if _, err := file.Write([]byte(strings.Join(lines, "\n") + "\n")); err == nil {
				kept = append(kept, lines...)
			}
		}
		disk.SetFault(nil)
		if _, err := file.Write([]byte("end\n")); err != nil {
			t.Fatal(err)
		}
		got := strings.Split(strings.TrimSuffix(disk.Files()[linesPath], "\n"), "\n")
		checkLines(t, seed, got, append(written, "end"), append(kept, "end"))
		lost += len(written) + 1 - len(got)
		total += len(written) + 1
	}
	if lost == 0 || lost > total/2 {
		t.Errorf("%d of %d lines lost, expected some, and half of them at most", lost, total)
	}
}

// checkLines checks that got contains only lines of all, in the same order, and contains each of the required lines.
func checkLines(t *testing.T, seed uint64, got, all, required []string) {
	t.Helper()
	next := 0
	for _, line := range got {
		found := slices.Index(all[next:], line)
		if found < 0 {
			t.Fatalf("seed %d: %q was not written, or not after %q", seed, line, all[:next])
		}
		next += found + 1
	}
	for _, line := range required {
		if !slices.Contains(got, line) {
			t.Fatalf("seed %d: %q is missing, although its write returned no error", seed, line)
		}
	}
}

// A process that is killed at any byte of a write may leave a part of a line. The next process then starts a new line.
func TestLineFileAfterKill(t *testing.T) {
	for size := range len("one\ntwo\n") + 1 {
		disk := filesystemtest.New(map[string]string{linesPath: "zero\n"})
		file := openLineFile(t, disk)
		calls := len(disk.Calls())
		disk.SetFault(filesystemtest.KillAt(calls, size))
		_, _ = file.Write([]byte("one\ntwo\n"))
		after := disk.AfterKill()
		if _, err := openLineFile(t, after).Write([]byte("three\n")); err != nil {
			t.Fatal(err)
		}
		want := "zero\n" + "one\ntwo\n"[:size]
		if !strings.HasSuffix(want, "\n") {
			want += "\n"
		}
		if got := after.Files()[linesPath]; got != want+"three\n" {
			t.Errorf("killed after %d bytes: %q", size, got)
		}
	}
}

// On a full disk, OpenLineFile returns no error, and a later write opens the file. A missing permission is an error.
func TestOpenLineFile(t *testing.T) {
	disk := filesystemtest.New(nil)
	disk.SetFault(filesystemtest.FailAll(syscall.ENOSPC))
	file := openLineFile(t, disk)
	if _, err := file.Write([]byte("a\n")); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("while the disk is full: %v", err)
	}
	disk.SetFault(nil)
	if _, err := file.Write([]byte("b\n")); err != nil || disk.Files()[linesPath] != "b\n" {
		t.Errorf("%v, wrote %q", err, disk.Files())
	}
	if err := file.Close(); err != nil {
		t.Error(err)
	}
	disk.SetFault(filesystemtest.FailAll(syscall.EACCES))
	if _, err := filesystem.OpenLineFile(disk, linesPath, 0); !errors.Is(err, syscall.EACCES) {
		t.Errorf("without permission: %v", err)
	}
}
