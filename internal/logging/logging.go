// Package logging makes the loggers of a scheduler: log/slog handlers in text or JSON form, each line one Write, whose
// attributes begin with the scheduler's name. Lines of one logger have a budget of their own, so that no part of the
// program crowds out another. It owns no goroutine and no file, and never waits but for its writer.
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

// Factory makes the loggers of one scheduler. All of them write to the same writer.
type Factory struct {
	handler slog.Handler
	level   slog.Level
	now     func() time.Time
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
		handler: handler.WithAttrs([]slog.Attr{slog.String("scheduler", scheduler)}),
		level:   conf.Level,
		now:     clock.Now,
	}
}

// NewLogger returns a logger with a line budget of its own, which loggers derived from it share. Lines beyond the budget
// are left out, and their number is the attribute "skipped" of the next line that is written. For them Enabled, which
// slog asks once a line, is false too.
func (f *Factory) NewLogger() *slog.Logger {
	return slog.New(&limitedHandler{Handler: f.handler, level: f.level, budgets: newLineBudgets(f.now)})
}

// FormatLine returns the text of a line that is outside all budgets and is written whatever the configured level.
func FormatLine(conf config.Log, scheduler string, level slog.Level, message string, attrs ...slog.Attr) string {
	var text bytes.Buffer
	conf.Level = min(conf.Level, level)
	handler := NewFactory(conf, scheduler, &text).handler
	slog.New(handler).LogAttrs(context.Background(), level, message, attrs...)
	return text.String()
}
