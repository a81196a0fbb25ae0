package simwire

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"valvecove/dispatch"
)

// Writer writes replies. End returns the errors of its output.
type Writer struct {
	output *bufio.Writer
	line   []byte // reused
}

// NewWriter returns a Writer to an output.
func NewWriter(output io.Writer) *Writer {
	return &Writer{output: bufio.NewWriterSize(output, bufferBytes)}
}

// Actions adds the actions of an instance to the reply.
func (w *Writer) Actions(instance int, actions []dispatch.Action) {
	for _, action := range actions {
		w.action(instance, action)
	}
}

func (w *Writer) action(instance int, action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Send:
		w.writeLine("FORWARD", instance,
			field{"txn", action.Job}, field{"patience", microseconds(action.AttemptTimeout)}, field{"worker", action.Worker})
	case dispatch.Reject:
		w.writeLine("REFUSE", instance, field{"txn", action.Job}, field{"not_before_for", microseconds(action.RetryAfter)})
	case dispatch.Fail:
		w.writeLine("END_FAILED", instance, field{"txn", action.Job})
	case dispatch.Cancel:
		w.writeLine("REVOKE", instance, field{"txn", action.Job}, field{"shot", uint64(action.Attempt)})
	case dispatch.HealthCheck:
		w.writeLine("TOUCH", instance, field{"worker", action.Worker})
	case dispatch.CloseIdleConnections:
		w.writeLine("FREE_LINKS", instance, field{"worker", action.Worker})
	case dispatch.SetTimer:
		// The offset is rounded up, so that the timer never fires early. The tag may have any value, as an instance has only one
		// timer.
		offset := microseconds(action.After + time.Microsecond - 1)
		w.writeLine("ARM", instance, field{"tag", 1}, field{"offset", offset})
	case dispatch.Subscribe:
		w.writeLine("SUBSCRIBE", instance, field{"on", 1})
	case dispatch.Log:
		w.writeText("LOG", instance, action.Text)
	case dispatch.WorkerEjected:
		w.writeText("LOG", instance, action.Text())
	}
}

// PeerDatagram adds to the reply a datagram from an instance to another one of the same deployment.
func (w *Writer) PeerDatagram(instance, to int, payload []byte) {
	fmt.Fprintf(w.output, "MEMO_TO i=%d peer=%d payload=%s\n", instance, to, base64.StdEncoding.EncodeToString(payload))
}

// InternalError adds to the reply an internal error of an instance.
func (w *Writer) InternalError(instance int, text string) {
	w.writeText("INTERNAL_ERROR", instance, text)
}

// End completes the reply and flushes it.
func (w *Writer) End() error {
	_, _ = w.output.WriteString("NEXT\n") // Flush returns the error
	if err := w.output.Flush(); err != nil {
		return fmt.Errorf("writing the reply: %w", err)
	}
	return nil
}

// field is a name and a value of a line.
type field struct {
	name  string
	value uint64
}

// microseconds returns a duration in the unit of the protocol, or 0 if it is negative.
func microseconds(duration time.Duration) uint64 { return uint64(max(0, duration.Microseconds())) }

func (w *Writer) writeLine(name string, instance int, fields ...field) {
	line := w.line[:0]
	line = append(line, name...)
	line = append(line, " i="...)
	line = strconv.AppendInt(line, int64(instance), 10)
	for _, field := range fields {
		line = append(line, ' ')
		line = append(line, field.name...)
		line = append(line, '=')
		line = strconv.AppendUint(line, field.value, 10)
	}
	line = append(line, '\n')
	w.line = line
	_, _ = w.output.Write(line) // End returns the error
}

// writeText writes a line that ends with a text, in which control characters are replaced by spaces.
func (w *Writer) writeText(name string, instance int, text string) {
	visible := strings.Map(func(char rune) rune {
		if char < ' ' {
			return ' '
		}
		return char
	}, text)
	fmt.Fprintf(w.output, "%s i=%d msg=%s\n", name, instance, visible)
}
