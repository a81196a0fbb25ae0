package capture

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"valvecove/internal/asyncwriter"
	"valvecove/internal/config"
)

// sink keeps segments.
type sink interface {
	open(b []byte) bool     // begins a segment with its opening line; false: it can't now; b is not kept
	add(b []byte) bool      // adds whole lines to it; false: they are lost, and so is the segment's rest
	full() bool             // it is time for another segment
	dump() []byte           // a copy of what is in memory; nil if nothing is
	lost() (n uint64)       // pieces that could not be kept
	close(up time.Duration) // hands on what waits, for so long at most
}

// ring keeps the latest segments in memory. A segment is a good part of it, so that openings don't fill it.
type ring struct {
	most    int
	segs    [][]byte
	held    int
	opening int
	missed  uint64
}

const ringParts = 4

func (r *ring) open(b []byte) bool {
	if len(b) > r.most/2 {
		r.missed++
		return false
	}
	r.opening = len(b)
	r.segs = append(r.segs, append(make([]byte, 0, max(r.most/ringParts, len(b)+r.most/(2*ringParts))), b...))
	r.held += len(b)
	r.trim()
	return true
}

func (r *ring) add(b []byte) bool {
	last := len(r.segs) - 1
	r.segs[last] = append(r.segs[last], b...)
	r.held += len(b)
	r.trim()
	return true
}

func (r *ring) trim() {
	for r.held > r.most && len(r.segs) > 1 {
		r.held -= len(r.segs[0])
		r.segs = slices.Delete(r.segs, 0, 1)
	}
}

func (r *ring) full() bool {
	return r.held > r.most || len(r.segs[len(r.segs)-1]) >= max(r.most/ringParts, r.opening+r.most/(2*ringParts))
}

func (r *ring) dump() []byte {
	b := make([]byte, 0, r.held) // not nil, even if there is nothing in it
	for _, s := range r.segs {
		b = append(b, s...)
	}
	return b
}

func (r *ring) lost() uint64        { return r.missed }
func (r *ring) close(time.Duration) {}

// files keeps segments on a disk, one a file. Everything that touches the disk is done by the queue.
type files struct {
	*asyncwriter.Queue
	path    string // but for number and suffix
	most    int
	keep    int
	size    int          // of the segment, as handed on
	segment int64        // counts them
	torn    bool         // the segment has lost something
	failed  atomic.Int64 // the segment under which the disk failed
	number  int          // the queue's, as is the file
	file    *os.File
}

const (
	fileSuffix  = ".jsonl"
	diskWaiting = 1 << 20 // bytes that may wait for the disk
)

// newFiles opens the first file at once: a directory that can't be written to is a fault of the start.
func newFiles(conf config.Capture, name string) (*files, error) {
	safe := strings.Map(func(r rune) rune {
		if r == '-' || r == '_' || r >= '0' && r <= '9' || r >= 'A' && r <= 'Z' || r >= 'a' && r <= 'z' {
			return r
		}
		return '_'
	}, name)
	f := &files{path: filepath.Join(conf.Dir, safe+"-"), most: conf.FileMB << 20, keep: conf.Files}
	old, err := f.list()
	if err != nil {
		return nil, err
	}
	if len(old) > 0 {
		_, _ = fmt.Sscanf(strings.TrimPrefix(old[len(old)-1], f.path), "%d", &f.number)
	}
	if err := f.next(); err != nil {
		return nil, err
	}
	f.Queue = asyncwriter.NewQueue(diskWaiting)
	return f, nil
}

// list gives the files of this scheduler, oldest first.
func (f *files) list() ([]string, error) {
	all, err := os.ReadDir(filepath.Dir(f.path))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range all {
		number, ours := strings.CutPrefix(e.Name(), filepath.Base(f.path))
		number, ours2 := strings.CutSuffix(number, fileSuffix)
		if ours && ours2 && len(number) == 8 && strings.Trim(number, "0123456789") == "" {
			names = append(names, filepath.Join(filepath.Dir(f.path), e.Name()))
		}
	}
	slices.Sort(names)
	return names, nil
}

// next goes on to another file and removes the oldest.
func (f *files) next() error {
	if f.file != nil {
		_ = f.file.Close()
		f.file = nil
	}
	f.number++
	file, err := os.OpenFile(fmt.Sprintf("%s%08d%s", f.path, f.number, fileSuffix), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	f.file = file
	names, err := f.list()
	for len(names) > f.keep && err == nil {
		err = os.Remove(names[0])
		names = names[1:]
	}
	return err
}

// write appends whole lines to a segment. What the disk took in part is taken back, and nothing is written after
// it, so that no broken line stays and none is missing in between.
func (f *files) write(segment int64, b []byte) error {
	if f.failed.Load() == segment {
		return os.ErrClosed
	}
	at, err := f.file.Seek(0, 2)
	if err == nil {
		if _, err = f.file.Write(b); err != nil {
			_ = f.file.Truncate(at)
		}
	}
	if err != nil {
		f.failed.Store(segment)
	}
	return err
}

func (f *files) open(b []byte) bool {
	b = slices.Clone(b)
	f.segment++
	f.size, f.torn = len(b), false
	segment := f.segment
	return f.queue(len(b), func() error {
		if segment > 1 { // the first file is there
			if err := f.next(); f.file == nil {
				f.failed.Store(segment)
				return err
			}
		}
		return f.write(segment, b)
	})
}

func (f *files) add(b []byte) bool {
	b = slices.Clone(b)
	f.size += len(b)
	segment := f.segment
	return f.queue(len(b), func() error { return f.write(segment, b) })
}

func (f *files) queue(size int, do func() error) bool {
	f.torn = f.torn || f.failed.Load() == f.segment || !f.Enqueue(size, do)
	return !f.torn
}

func (f *files) full() bool             { return f.size >= f.most }
func (f *files) dump() []byte           { return nil }
func (f *files) lost() uint64           { return f.Dropped() + f.Failed() }
func (f *files) close(up time.Duration) { f.Close(up) }
