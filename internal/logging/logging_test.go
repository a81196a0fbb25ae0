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

// A logger writes a burst of lines, and then a limited number per second. The next line that is written contains the number of
// omitted ones. Another logger, and the errors of the same logger, have separate budgets. An omitted line allocates nothing.
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
			t.Errorf("%v allocations for an omitted line", n)
		}
	}
	now = now.Add(time.Second)
	write(linesPerSecond+1, linesPerSecond, one.Info)
	if strings.Count(output.String(), "skipped") != 1 || !strings.Contains(output.String(), " skipped=17\n") {
		t.Errorf("17 lines were omitted, got %s", &output)
	}
	now = now.Add(time.Hour)
	write(2*burstLines, burstLines, one.Info)
}

// A logger writes the lines of its minimum level and above. Text and JSON have the same attributes, even if a value contains
// quotes and line breaks.
func TestLineFormats(t *testing.T) {
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
			t.Errorf("%v: FormatLine returned %q", minLevel, line)
		}
	}
}
