package filesystem

import (
	"bytes"
	"io"
	"io/fs"
	"os"
	"slices"
)

// LineWriter writes whole lines to a destination that may fail for some time. If a write fails in the middle of a line, the next
// write completes that line before its own text, so that no line follows a part of another one. The lines of the failed write
// that come after it are lost. A LineWriter is not safe for concurrent use.
type LineWriter struct {
	destination io.Writer
	remainder   []byte // rest of a line that was written in part
}

// NewLineWriter returns a writer to a destination.
func NewLineWriter(destination io.Writer) *LineWriter { return &LineWriter{destination: destination} }

// Write writes a text, which must end with a line break. After an error, the line that was written in part is completed by a
// later call.
func (w *LineWriter) Write(text []byte) (int, error) {
	written, err := WriteAll(w.destination, w.remainder)
	w.remainder = w.remainder[written:]
	if err != nil {
		return 0, err
	}
	written, err = WriteAll(w.destination, text)
	if err != nil && written > 0 && text[written-1] != '\n' {
		w.remainder = slices.Clone(lineRemainder(text[written:]))
	}
	return written, err
}

// lineRemainder returns the start of a text up to and including the first line break.
func lineRemainder(text []byte) []byte {
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		return text[:end+1]
	}
	return text
}

// LineFile appends whole lines to a file through a LineWriter. While the file can't be opened, for example because the disk is
// full, writes fail. A LineFile is not safe for concurrent use.
type LineFile struct {
	files  FileSystem
	path   string
	mode   fs.FileMode
	file   File // nil: not open
	writer *LineWriter
}

// OpenLineFile opens or creates a file. It returns an error if the path is wrong or a permission is missing. If the disk fails or
// is full, it returns no error, and the file is opened by a later write.
func OpenLineFile(files FileSystem, path string, mode fs.FileMode) (*LineFile, error) {
	opened := &LineFile{files: files, path: path, mode: mode}
	if err := opened.open(); err != nil && !IsTemporary(err) {
		return nil, err
	}
	return opened, nil
}

func (f *LineFile) open() error {
	return RetryInterrupted(func() error {
		file, err := f.files.OpenFile(f.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, f.mode)
		if err != nil {
			return err
		}
		f.file = file
		f.writer = NewLineWriter(file)
		if f.endsWithPartialLine() { // a process was killed while it wrote a line
			f.writer.remainder = []byte{'\n'}
		}
		return nil
	})
}

// endsWithPartialLine reports whether the file ends with a part of a line. It returns false for a file that can't be read, such
// as a pipe.
func (f *LineFile) endsWithPartialLine() bool {
	reader, err := f.files.OpenReader(f.path)
	if err != nil {
		return false
	}
	defer func() { _ = reader.Close() }()
	if _, err := reader.Seek(-1, io.SeekEnd); err != nil { // empty, or not a regular file
		return false
	}
	last := make([]byte, 1)
	_, err = io.ReadFull(reader, last)
	return err == nil && last[0] != '\n'
}

// Write appends a text, which must end with a line break.
func (f *LineFile) Write(text []byte) (int, error) {
	if f.file == nil {
		if err := f.open(); err != nil {
			return 0, err
		}
	}
	return f.writer.Write(text)
}

// Close closes the file.
func (f *LineFile) Close() error {
	if f.file == nil {
		return nil
	}
	return f.file.Close()
}
