package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// bufferBytes is the size of the buffers for input and output.
const bufferBytes = 1 << 16

// Reader reads batches.
type Reader struct {
	input      *bufio.Reader
	lineNumber int // of the line that was read last, from 1
}

// NewReader returns a Reader of an input.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(input, bufferBytes)}
}

// Read reads the next batch into batch, whose slice it reuses. It returns io.EOF at the end of the input, and a *LineError for
// input that the protocol does not allow. After an error no further batch can be read.
func (r *Reader) Read(batch *Batch) error {
	batch.Inputs = batch.Inputs[:0]
	if err := r.readStart(batch); err != nil {
		return err
	}
	for {
		line, err := r.nextLine()
		if errors.Is(err, errEndOfInput) {
			return r.endOfInputError("EOF_BATCH")
		}
		if err != nil {
			return err
		}
		if line == "EOF_BATCH" {
			return nil
		}
		input, err := r.decodeInput(line)
		if err != nil {
			return err
		}
		batch.Inputs = append(batch.Inputs, input)
	}
}

// readStart reads the first line of a batch, and skips blank lines before it.
func (r *Reader) readStart(batch *Batch) error {
	line := ""
	for line == "" {
		var err error
		line, err = r.nextLine()
		if errors.Is(err, errEndOfInput) {
			return io.EOF
		}
		if err != nil {
			return err
		}
	}
	name, fields := splitLine(line)
	if name != "ROUND" {
		return r.unexpectedLine("ROUND", line)
	}
	now := fields.duration("sim_time", required)
	if fields.err != nil {
		return r.lineError(fields.err)
	}
	batch.Now = now
	return nil
}

// nextLine returns the next line without its end, or errEndOfInput.
func (r *Reader) nextLine() (string, error) {
	line, err := r.input.ReadString('\n')
	if errors.Is(err, io.EOF) && line == "" {
		return "", errEndOfInput
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return "", fmt.Errorf("reading line %d: %w", r.lineNumber+1, err)
	}
	r.lineNumber++
	return strings.TrimRight(line, "\r\n"), nil
}

// lineError returns an error about the line that was read last.
func (r *Reader) lineError(err error) error { return &LineError{Line: r.lineNumber, Err: err} }

func (r *Reader) unexpectedLine(expected, line string) error {
	return r.lineError(fmt.Errorf("expected %s, got %q", expected, quotable(line)))
}

// endOfInputError returns an error about the line that is missing after the last one.
func (r *Reader) endOfInputError(expected string) error {
	return &LineError{Line: r.lineNumber + 1, Err: fmt.Errorf("expected %s, got %w", expected, errEndOfInput)}
}
