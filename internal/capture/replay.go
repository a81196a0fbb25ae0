package capture

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"valvecove/internal/config"
	"valvecove/internal/filesystem"
)

// LineError is the error of a line that can't be replayed.
type LineError struct {
	Line int // number of the line, from 1
	Err  error
}

// Error returns the line's number and the cause.
func (l *LineError) Error() string { return fmt.Sprintf("line %d: %v", l.Line, l.Err) }

// Unwrap returns the cause.
func (l *LineError) Unwrap() error { return l.Err }

// ErrNoCapture is returned for a text without a segment.
var ErrNoCapture = errors.New("no capture in it: no line starts a segment")

// readBufferBytes is the size of the buffer through which a capture is read.
const readBufferBytes = 1 << 16

// Replay replays the events of a capture on a dispatcher. ops may replace recorded settings. For each decision that differs from
// the recorded one, Replay writes a line to output, and continues with the recorded events. It returns the number of differences.
// For each skipped part it writes a line to warnings. The error is a *LineError, ErrNoCapture or an error of reading.
func Replay(capture io.Reader, ops config.Ops, output, warnings io.Writer) (differences int, err error) {
	reader := reader{player: player{ops: ops, output: output}, warnings: warnings}
	err = reader.read(bufio.NewReaderSize(capture, readBufferBytes))
	return reader.player.differences, err
}

// Exit codes of ReplayCommand.
const (
	exitSame      = 0
	exitDifferent = 1
	exitFailed    = 2
)

// ReplayCommand is the command `valvecove replay`. It returns the exit code: 0 if no decision differs, 1 if one does, 2 if the
// capture could not be replayed.
func ReplayCommand(path string, ops config.Ops, output, warnings io.Writer) int {
	file, err := filesystem.Disk.OpenReader(path)
	if err != nil {
		fmt.Fprintln(warnings, "valvecove replay:", err)
		return exitFailed
	}
	defer func() { _ = file.Close() }()
	buffered := bufio.NewWriter(output)
	differences, err := Replay(file, ops, buffered, warnings)
	if flushErr := buffered.Flush(); err == nil {
		err = flushErr
	}
	switch {
	case err != nil:
		fmt.Fprintf(warnings, "valvecove replay: %s: %v\n", path, err)
		return exitFailed
	case differences > 0:
		return exitDifferent
	}
	return exitSame
}
