// Package logging is how a scheduler's log is written: by log/slog, as text or as JSON, each line one Write, its fields
// the time, the level, the event, the scheduler's name, and what the event is about. Lines of a kind have a budget of
// their own, so that no kind crowds out another, whatever goes on.
package logging

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"valvecove/internal/config"
)

// Of each kind so many lines at once, and so many a second after that; of its errors as many again.
const (
	burst = 200
	rate  = 5
)

// Factory makes the loggers of one scheduler.
type Factory struct {
	handler slog.Handler
	level   slog.Level
	now     func() time.Time
}

// NewFactory returns a log that is written to a writer, which must not wait for anything.
func NewFactory(conf config.Log, scheduler string, to io.Writer) *Factory {
	options := &slog.HandlerOptions{Level: conf.Level}
	var h slog.Handler = slog.NewTextHandler(to, options)
	if conf.JSON {
		h = slog.NewJSONHandler(to, options)
	}
	return &Factory{h.WithAttrs([]slog.Attr{slog.String("scheduler", scheduler)}), conf.Level, time.Now}
}

// FormatLine gives the text of a line that is written whatever the level, and stands apart from all budgets.
func FormatLine(conf config.Log, scheduler string, level slog.Level, event string, attrs ...slog.Attr) string {
	var b bytes.Buffer
	conf.Level = min(conf.Level, level)
	slog.New(NewFactory(conf, scheduler, &b).handler).LogAttrs(context.Background(), level, event, attrs...)
	return b.String()
}

// NewLogger returns a logger for a kind of lines. Of those beyond its budget nothing is written but their number, as
// 'skipped' in the next line that is. Its Enabled, which slog asks once for each line, is false for them too.
func (l *Factory) NewLogger() *slog.Logger {
	return slog.New(&limitedHandler{l.handler, l.level, &lineBudgets{now: l.now, usual: newBudget(l.now()), errors: newBudget(l.now())}})
}

// limitedHandler is a handler with a budget.
type limitedHandler struct {
	slog.Handler
	level slog.Level
	*lineBudgets
}

type lineBudgets struct {
	mu            sync.Mutex
	now           func() time.Time
	usual, errors budget
}

type budget struct {
	left    float64
	at      time.Time
	skipped uint64
}

func newBudget(now time.Time) budget { return budget{left: burst, at: now} }

// of gives the budget for a level as it is now.
func (b *lineBudgets) of(level slog.Level) *budget {
	x := &b.usual
	if level >= slog.LevelError {
		x = &b.errors
	}
	now := b.now()
	x.left = min(burst, x.left+rate*max(0, now.Sub(x.at).Seconds()))
	x.at = now
	return x
}

func (k *limitedHandler) Enabled(_ context.Context, level slog.Level) bool {
	if level < k.level {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.of(level)
	if b.left >= 1 {
		return true
	}
	b.skipped++
	return false
}

func (k *limitedHandler) Handle(ctx context.Context, r slog.Record) error {
	k.mu.Lock()
	b := k.of(r.Level)
	if b.left < 1 { // taken by another goroutine since Enabled
		b.skipped++
		k.mu.Unlock()
		return nil
	}
	skipped := b.skipped
	b.left, b.skipped = b.left-1, 0
	k.mu.Unlock()
	if skipped > 0 {
		r.AddAttrs(slog.Uint64("skipped", skipped))
	}
	return k.Handler.Handle(ctx, r)
}

func (k *limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitedHandler{k.Handler.WithAttrs(attrs), k.level, k.lineBudgets}
}

func (k *limitedHandler) WithGroup(name string) slog.Handler {
	return &limitedHandler{k.Handler.WithGroup(name), k.level, k.lineBudgets}
}
