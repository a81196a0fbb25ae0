package logging

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"valvecove/internal/config"
)

// A logger has its burst, and then so many lines a second; the next line that is written says how many were left out.
// Another logger, and errors of the same one, have budgets of their own. A line that is not written allocates nothing.
func TestBudgets(t *testing.T) {
	var output bytes.Buffer
	var now time.Time
	factory := NewFactory(config.Log{}, "n3", &output)
	factory.now = func() time.Time { return now }
	one, other := factory.NewLogger(), factory.NewLogger()
	write := func(n, want int, log func(msg string, args ...any)) {
		t.Helper()
		output.Reset()
		for range n {
			log("x")
		}
		if got := strings.Count(output.String(), "\n"); got != want {
			t.Errorf("%d lines, expected %d", got, want)
		}
	}
	write(burstLines+7, burstLines, one.Info)
	write(burstLines+7, burstLines, one.Error)
	write(3, 3, other.With("a", 1).Info)
	for _, level := range []slog.Level{slog.LevelDebug, slog.LevelInfo} {
		line := func() {
			one.LogAttrs(context.Background(), level, "x", slog.String("request", "9b1f"), slog.Int("status", 200))
		}
		if n := testing.AllocsPerRun(9, line); n != 0 {
			t.Errorf("%v allocations for a line that is not written", n)
		}
	}
	now = now.Add(time.Second)
	write(linesPerSecond+1, linesPerSecond, one.Info)
	if strings.Count(output.String(), "skipped") != 1 || !strings.Contains(output.String(), " skipped=17\n") {
		t.Errorf("17 lines skipped, got %s", &output)
	}
	now = now.Add(time.Hour)
	write(2*burstLines, burstLines, one.Info)
}

// Each level writes its own lines and those above, in either form with the same attributes, whatever is in them.
func TestLineForms(t *testing.T) {
	levels := []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError}
	for i, minLevel := range levels {
		var text, js bytes.Buffer
		for _, level := range levels {
			for _, logger := range []*slog.Logger{NewFactory(config.Log{Level: minLevel}, "n3", &text).NewLogger(), NewFactory(config.Log{JSON: true, Level: minLevel}, "n3", &js).NewLogger()} {
				logger.Log(context.Background(), level, "client connection closed", "why", errors.New("a \"b\"\nc"), "client", "192.0.2.1:7", "bytes", 12)
			}
		}
		want := " level=" + minLevel.String() + ` msg="client connection closed" scheduler=n3 why="a \"b\"\nc" client=192.0.2.1:7 bytes=12` + "\n"
		if got := strings.Count(text.String(), "\n"); got != len(levels)-i || !strings.Contains(text.String(), want) {
			t.Errorf("%v: %d lines\n%s", minLevel, got, &text)
		}
		for line := range strings.Lines(js.String()) {
			var f struct{ Time, Msg, Scheduler, Why string }
			if err := json.Unmarshal([]byte(line), &f); err != nil || f.Time == "" || f.Msg+f.Scheduler+f.Why != "client connection closedn3a \"b\"\nc" {
				t.Errorf("%+v, %v: %s", f, err, line)
			}
		}
		if line := FormatLine(config.Log{Level: minLevel}, "n3", slog.LevelInfo, "lost"); !strings.HasSuffix(line, " level=INFO msg=lost scheduler=n3\n") {
			t.Errorf("%v: the line outside budgets is %q", minLevel, line)
		}
	}
}
