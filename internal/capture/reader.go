package capture

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// reader reads a capture line by line and gives its segments and steps to a player.
type reader struct {
	player   player
	warnings io.Writer

	lineNumber   int
	cut          *LineError     // the line before, if that is malformed
	step         []numberedLine // the lines of the step that is being read
	hasSegment   bool
	skippedSteps int // those without a dispatcher to take them
}

type numberedLine struct {
	Line
	number int
}

// read reads a whole capture. A malformed line that is the last one, or is followed by the start of a segment, was cut off;
// any other is an error.
func (r *reader) read(from *bufio.Reader) error {
	for ended := false; !ended; {
		text, err := from.ReadBytes('\n')
		ended = errors.Is(err, io.EOF)
		if err != nil && !ended {
			return err
		}
		r.lineNumber++
		if text = bytes.TrimSpace(text); len(text) == 0 {
			continue
		}
		if err := r.readLine(text); err != nil {
			return err
		}
	}
	return r.finish()
}

// readLine reads a line that is not empty.
func (r *reader) readLine(text []byte) error {
	var line Line
	isLine := isCaptureLine(text)
	if isLine {
		if err := json.Unmarshal(text, &line); err != nil {
			return r.readMalformed(text, &LineError{r.lineNumber, err})
		}
	}
	if r.cut != nil && line.Input != inputStart {
		return r.cut
	}
	if !isLine {
		return nil
	}
	if err := r.take(line); err != nil {
		return &LineError{r.lineNumber, err}
	}
	return nil
}

// readMalformed reads a line that is none. It may be one that was cut off by a failing disk or a kill, with the start of the
// next segment glued to it.
func (r *reader) readMalformed(text []byte, malformed *LineError) error {
	if r.cut != nil {
		return r.cut
	}
	r.cut = malformed
	for offset := 1; ; {
		found := bytes.Index(text[offset:], lineStart)
		if found < 0 {
			return nil
		}
		offset += found
		var line Line
		if json.Unmarshal(text[offset:], &line) == nil && line.Input == inputStart {
			if err := r.take(line); err != nil {
				return &LineError{r.lineNumber, err}
			}
			return nil
		}
		offset++
	}
}

// lineStart begins each line of a capture.
var lineStart = []byte(`{"t":`)

// logPrefix begins each line of a log in JSON; no line of a capture has such a field.
var logPrefix = []byte(`{"time":`)

// isCaptureLine tells lines of a capture from those of a log that it was written into.
func isCaptureLine(text []byte) bool { return text[0] == '{' && !bytes.HasPrefix(text, logPrefix) }

// skipCut warns of a line that was cut off, and of the step that it was of.
func (r *reader) skipCut() {
	if r.cut != nil {
		r.warn("line %d is cut short and skipped: %v", r.cut.Line, r.cut.Err)
	}
	if len(r.step) > 0 {
		r.warn("the step from line %d on is cut short and skipped", r.step[0].number)
	}
	r.cut, r.step = nil, nil
}

// finish warns of what was skipped.
func (r *reader) finish() error {
	r.skipCut()
	if r.skippedSteps > 0 {
		r.warn("%d steps before the first segment, or after the module had failed, are skipped", r.skippedSteps)
	}
	if !r.hasSegment {
		return ErrNoCapture
	}
	return nil
}

func (r *reader) warn(format string, args ...any) {
	fmt.Fprintf(r.warnings, "warning: "+format+"\n", args...)
}

func (r *reader) take(line Line) error {
	kind := line.Input + line.Output
	isStepLine := stepKinds[kind]
	if line.Input != "" && line.Output != "" || !isStepLine && !otherKinds[kind] {
		return fmt.Errorf("not a line of a capture: in %q, out %q", line.Input, line.Output)
	}
	if isStepLine {
		return r.takeStepLine(line)
	}
	if kind != inputStart {
		if len(r.step) > 0 {
			return fmt.Errorf("%q within the step that began at line %d", kind, r.step[0].number)
		}
		return nil
	}
	r.skipCut()
	if r.hasSegment && line.Reason == reasonGap {
		r.warn("before line %d the capture has a gap: what happened in it is not replayed", r.lineNumber)
	}
	if err := r.player.startSegment(line); err != nil {
		return err
	}
	r.hasSegment = true
	return nil
}

// Errors of lines that lack what their kind has.
var (
	errNoJob     = errors.New("a job without what arrived")
	errNoMessage = errors.New("no message")
)

// takeStepLine adds a line to the step, and has a step that is complete played.
func (r *reader) takeStepLine(line Line) error {
	if r.hasSegment {
		if err := r.player.names.resolve(&line); err != nil {
			return err
		}
	}
	if line.Input == inputJob && line.ArrivedJob == nil {
		return errNoJob
	}
	if (line.Input == inputPeerMessage || line.Output == outputPeerMessage) && line.Message.message() == nil {
		return errNoMessage
	}
	if r.hasSegment {
		r.player.names.addListed(line.Workers)
	}
	r.step = append(r.step, numberedLine{line, r.lineNumber})
	if len(r.step) < r.step[0].StepLines {
		return nil
	}
	step := r.step
	r.step = nil
	if r.player.dispatcher == nil {
		r.skippedSteps++
		return nil
	}
	r.player.play(step)
	return nil
}
