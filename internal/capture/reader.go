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
	step         []numberedLine // the lines of the step that is being read
	hasSegment   bool
	skippedSteps int // those without a dispatcher to take them
}

type numberedLine struct {
	Line
	number int
}

// read reads a whole capture. A last line that is malformed was cut off; any other is an error.
func (r *reader) read(from *bufio.Reader) error {
	var malformed *LineError
	for ended := false; !ended; {
		text, err := from.ReadBytes('\n')
		ended = errors.Is(err, io.EOF)
		if err != nil && !ended {
			return err
		}
		r.lineNumber++
		text = bytes.TrimSpace(text)
		if len(text) == 0 {
			continue
		}
		if malformed != nil {
			return malformed
		}
		if !isCaptureLine(text) {
			continue
		}
		var line Line
		if err := json.Unmarshal(text, &line); err != nil {
			malformed = &LineError{r.lineNumber, err}
		} else if err := r.take(line); err != nil {
			return &LineError{r.lineNumber, err}
		}
	}
	return r.finish(malformed)
}

// logPrefix begins each line of a log in JSON; no line of a capture has such a field.
var logPrefix = []byte(`{"time":`)

// isCaptureLine tells lines of a capture from those of a log that it was written into.
func isCaptureLine(text []byte) bool { return text[0] == '{' && !bytes.HasPrefix(text, logPrefix) }

// finish warns of what was skipped.
func (r *reader) finish(cut *LineError) error {
	if cut != nil {
		r.warn("line %d is cut short and skipped: %v", cut.Line, cut.Err)
	}
	if len(r.step) > 0 {
		r.warn("the step from line %d on is cut short and skipped", r.step[0].number)
	}
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
	if len(r.step) > 0 {
		return fmt.Errorf("%q within the step that began at line %d", kind, r.step[0].number)
	}
	if kind != inputStart {
		return nil
	}
	if err := r.player.startSegment(line); err != nil {
		return err
	}
	r.hasSegment = true
	return nil
}

var errNoJob = errors.New("a job without what arrived")

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
