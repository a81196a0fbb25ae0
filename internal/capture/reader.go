package capture

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// reader reads a capture line by line and passes its segments and steps to a player.
type reader struct {
	player   player
	warnings io.Writer

	lineNumber   int
	malformed    *LineError     // the error of the previous line, if it is malformed
	step         []numberedLine // the lines of the step that is being read
	hasSegment   bool
	skippedSteps int // steps that were not replayed because there was no dispatcher
}

// numberedLine is a line and its number, from 1.
type numberedLine struct {
	Line
	number int
}

// read reads a complete capture. A malformed line at the end, or right before the start of a segment, is assumed to be truncated;
// any other malformed line is an error.
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
	if r.malformed != nil && line.Input != inputStart {
		return r.malformed
	}
	if !isLine {
		return nil
	}
	if err := r.handle(line); err != nil {
		return &LineError{r.lineNumber, err}
	}
	return nil
}

// readMalformed handles a malformed line. A failing disk or a kill may have truncated it, and the first line of the next segment
// may have been written right behind it.
func (r *reader) readMalformed(text []byte, malformed *LineError) error {
	if r.malformed != nil {
		return r.malformed
	}
	r.malformed = malformed
	for offset := 1; ; {
		found := bytes.Index(text[offset:], lineStart)
		if found < 0 {
			return nil
		}
		offset += found
		var line Line
		if json.Unmarshal(text[offset:], &line) == nil && line.Input == inputStart {
			if err := r.handle(line); err != nil {
				return &LineError{r.lineNumber, err}
			}
			return nil
		}
		offset++
	}
}

// lineStart is the start of each line of a capture.
var lineStart = []byte(`{"t":`)

// logPrefix is the start of each line of a log in JSON. Lines of a capture have no such field.
var logPrefix = []byte(`{"time":`)

// isCaptureLine reports whether a line belongs to a capture, not to a log that the capture was written into.
func isCaptureLine(text []byte) bool { return text[0] == '{' && !bytes.HasPrefix(text, logPrefix) }

// discardIncomplete warns of a truncated line and of an incomplete step, if there are such, and discards them.
func (r *reader) discardIncomplete() {
	if r.malformed != nil {
		r.warn("line %d is cut short and skipped: %v", r.malformed.Line, r.malformed.Err)
	}
	if len(r.step) > 0 {
		r.warn("the step from line %d on is cut short and skipped", r.step[0].number)
	}
	r.malformed = nil
	r.step = nil
}

// finish writes warnings about skipped parts, and returns ErrNoCapture if there was no segment.
func (r *reader) finish() error {
	r.discardIncomplete()
	if r.skippedSteps > 0 {
		r.warn("%d steps before the first segment, or after a panic of the dispatcher, are skipped", r.skippedSteps)
	}
	if !r.hasSegment {
		return ErrNoCapture
	}
	return nil
}

// warn writes a warning.
func (r *reader) warn(format string, args ...any) {
	fmt.Fprintf(r.warnings, "warning: "+format+"\n", args...)
}

// handle handles a well-formed line.
func (r *reader) handle(line Line) error {
	kind := line.Input + line.Output
	isStepLine := stepKinds[kind]
	if line.Input != "" && line.Output != "" || !isStepLine && !otherKinds[kind] {
		return fmt.Errorf("not a line of a capture: in %q, out %q", line.Input, line.Output)
	}
	if isStepLine {
		return r.addStepLine(line)
	}
	if kind != inputStart {
		if len(r.step) > 0 {
			return fmt.Errorf("a line of kind %q within the step that starts at line %d", kind, r.step[0].number)
		}
		return nil
	}
	r.discardIncomplete()
	if r.hasSegment && line.Reason == reasonGap {
		r.warn("the capture has a gap before line %d: what happened in the gap is not replayed", r.lineNumber)
	}
	if err := r.player.startSegment(line); err != nil {
		return err
	}
	r.hasSegment = true
	return nil
}

// Errors of lines without a field that their kind requires.
var (
	errNoJob     = errors.New(`"arrived" is missing in the line of a job`)
	errNoMessage = errors.New(`"message" is missing in the line of a message between schedulers`)
	errNoResumed = errors.New(`"arrived" or "resumed" is missing in the line of a resumed job`)
	errNoChange  = errors.New(`"replicas" is missing in the line of a change of the replicas`)
	errNoModel   = errors.New(`"model" is missing in the line of a model update`)
)

// checkFields returns an error if a line of a step lacks the field that its kind requires.
func checkFields(line Line) error {
	switch {
	case line.Input == inputJob && line.ArrivedJob == nil:
		return errNoJob
	case (line.Input == inputPeerMessage || line.Output == outputPeerMessage) && line.Message.message() == nil:
		return errNoMessage
	case line.Input == inputJobResumed && (line.ArrivedJob == nil || line.ResumedJob == nil):
		return errNoResumed
	case line.Input == inputReplicasChanged && line.Replicas == nil:
		return errNoChange
	case line.Input == inputModelUpdate && line.ModelUpdate == nil:
		return errNoModel
	}
	return nil
}

// addStepLine adds a line to the current step, and replays the step if it is complete.
func (r *reader) addStepLine(line Line) error {
	if r.hasSegment {
		if err := r.player.names.resolve(&line); err != nil {
			return err
		}
	}
	if err := checkFields(line); err != nil {
		return err
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
