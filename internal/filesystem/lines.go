package filesystem

import (
	"bytes"
	"io"
	"io/fs"
	"os"
	"slices"
)

// LineWriter writes texts of whole lines to a destination that may fail and work again. Where a write was cut, the line that
// it stopped in is completed before the next text, and the lines after it are lost: no line is glued to a part of another one.
// It is for one goroutine at a time.
type LineWriter struct {
	destination io.Writer
	remainder   []byte // of the line that was cut
}

// NewLineWriter returns a writer to a destination.
func NewLineWriter(destination io.Writer) *LineWriter { return &LineWriter{destination: destination} }

// Write writes a text that ends with a line's end. After an error, the line that was cut is completed by a later call.
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

// lineRemainder returns the start of a text up to the first line's end, with that.
func lineRemainder(text []byte) []byte {
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		return text[:end+1]
	}
	return text
}

// LineFile appends texts of whole lines to a file, through a LineWriter. While the file can't be opened, as the disk is full,
// writes fail. It is for one goroutine at a time.
type LineFile struct {
	files  FileSystem
	path   string
	mode   fs.FileMode
	file   File // nil: not open
	writer *LineWriter
}

// OpenLineFile opens a file, or creates it. It returns an error if the path or a right is wrong, and none if it is the disk that
// fails or is full: the file is opened by a later write then.
func OpenLineFile(files FileSystem, path string, mode fs.FileMode) (*LineFile, error) {
	opened := &LineFile{files: files, path: path, mode: mode}
	if err := opened.open(); err != nil && !MayPass(err) {
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
		if f.endsInLine() { // a process was killed while it wrote that
			f.writer.remainder = []byte{'\n'}
		}
		return nil
	})
}

// endsInLine reports whether the file ends within a line. Of what can't be read, such as a pipe, it says no.
func (f *LineFile) endsInLine() bool {
	reader, err := f.files.OpenReader(f.path)
	if err != nil {
		return false
	}
	defer func() { _ = reader.Close() }()
	if _, err := reader.Seek(-1, io.SeekEnd); err != nil { // empty, or no file
		return false
	}
	last := make([]byte, 1)
	_, err = io.ReadFull(reader, last)
	return err == nil && last[0] != '\n'
}

// Write appends a text that ends with a line's end.
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
