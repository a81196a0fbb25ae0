package logging

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// The line budget of a logger. Lines of level error have a second budget of the same size.
const (
	burstLines     = 200
	linesPerSecond = 5 // after a burst
)

// limitedHandler is a handler that limits the rate of lines.
type limitedHandler struct {
	slog.Handler
	minLevel slog.Level
	budgets  *lineBudgets
}

// lineBudgets contains the budgets that a logger shares with the loggers derived from it.
type lineBudgets struct {
	now       func() time.Time
	nonErrors lineBudget // of lines below level error
	errors    lineBudget // of lines of level error and above
}

// lineBudget limits the rate of lines. It is safe for concurrent use.
type lineBudget struct {
	limiter *rate.Limiter
	skipped atomic.Uint64 // lines omitted since the last one that was written
}

func newLineBudgets(now func() time.Time) *lineBudgets {
	return &lineBudgets{
		now:       now,
		nonErrors: lineBudget{limiter: rate.NewLimiter(linesPerSecond, burstLines)},
		errors:    lineBudget{limiter: rate.NewLimiter(linesPerSecond, burstLines)},
	}
}

// forLevel returns the budget for lines of a level.
func (b *lineBudgets) forLevel(level slog.Level) *lineBudget {
	if level >= slog.LevelError {
		return &b.errors
	}
	return &b.nonErrors
}

// Enabled reports whether a line of a level may be written. If it may not because the budget is used up, it is counted as
// skipped.
func (h *limitedHandler) Enabled(_ context.Context, level slog.Level) bool {
	if level < h.minLevel {
		return false
	}
	budget := h.budgets.forLevel(level)
	if budget.limiter.TokensAt(h.budgets.now()) >= 1 {
		return true
	}
	budget.skipped.Add(1)
	return false
}

// Handle writes a line, unless another goroutine has used up the budget since the call of Enabled.
func (h *limitedHandler) Handle(ctx context.Context, record slog.Record) error {
	budget := h.budgets.forLevel(record.Level)
	if !budget.limiter.AllowN(h.budgets.now(), 1) {
		budget.skipped.Add(1)
		return nil
	}
	if skipped := budget.skipped.Swap(0); skipped > 0 {
		record.AddAttrs(slog.Uint64("skipped", skipped))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler with more attributes and the same budgets.
func (h *limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithAttrs(attrs), minLevel: h.minLevel, budgets: h.budgets}
}

// WithGroup returns a handler whose attributes are in a group, with the same budgets.
func (h *limitedHandler) WithGroup(name string) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithGroup(name), minLevel: h.minLevel, budgets: h.budgets}
}
