// Package logging creates the loggers of a scheduler. They use log/slog, write each line as text or JSON with a single Write, and
// add the scheduler's name as the first attribute. The rate of lines is limited for each logger separately, so that one part of
// the program can't displace the lines of another. The package starts no goroutine, opens no file, and blocks only in its writer.
package logging

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"time"

	"valvecove/internal/clock"
	"valvecove/internal/config"
)

// Factory creates the loggers of one scheduler. All of them write to the same writer.
type Factory struct {
	handler  slog.Handler
	minLevel slog.Level
	now      func() time.Time
}

// NewFactory returns a factory whose loggers write to destination, which must not block.
func NewFactory(conf config.Log, scheduler string, destination io.Writer) *Factory {
	options := &slog.HandlerOptions{Level: conf.Level}
	var handler slog.Handler
	if conf.JSON {
		handler = slog.NewJSONHandler(destination, options)
	} else {
		handler = slog.NewTextHandler(destination, options)
	}
	return &Factory{
		handler:  handler.WithAttrs([]slog.Attr{slog.String("scheduler", scheduler)}),
		minLevel: conf.Level,
		now:      clock.Now,
	}
}

// NewLogger returns a logger with its own line budget, which loggers derived from it share. Lines beyond the budget are omitted,
// and the attribute "skipped" of the next line that is written is their number. Enabled, which slog calls once for each line,
// returns false for them.
func (f *Factory) NewLogger() *slog.Logger {
	return slog.New(&limitedHandler{Handler: f.handler, minLevel: f.minLevel, budgets: newLineBudgets(f.now)})
}

// FormatLine returns the text of a line. It is not limited by a budget, and does not depend on the configured level.
func FormatLine(conf config.Log, scheduler string, level slog.Level, message string, attrs ...slog.Attr) string {
	var text bytes.Buffer
	conf.Level = min(conf.Level, level)
	handler := NewFactory(conf, scheduler, &text).handler
	slog.New(handler).LogAttrs(context.Background(), level, message, attrs...)
	return text.String()
}
