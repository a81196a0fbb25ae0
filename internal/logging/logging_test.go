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

// A kind has its burst, and then so many a second; what was left out is told by number in the next line. Another kind,
// and errors of the same one, have budgets of their own. What is not written costs no memory.
func TestBudgets(t *testing.T) {
	var out bytes.Buffer
	var now time.Time
	l := NewFactory(config.Log{}, "n3", &out)
	l.now = func() time.Time { return now }
	one, other := l.NewLogger(), l.NewLogger()
	write := func(n, want int, log func(msg string, args ...any)) {
		t.Helper()
		out.Reset()
		for range n {
			log("x")
		}
		if got := strings.Count(out.String(), "\n"); got != want {
			t.Errorf("%d lines, expected %d", got, want)
		}
	}
	write(burst+7, burst, one.Info)
	write(burst+7, burst, one.Error)
	write(3, 3, other.With("a", 1).Info)
	for _, level := range []slog.Level{slog.LevelDebug, slog.LevelInfo} {
		line := func() {
			one.LogAttrs(context.Background(), level, "x", slog.String("query", "9b1f"), slog.Int("status", 200))
		}
		if n := testing.AllocsPerRun(9, line); n != 0 {
			t.Errorf("%v allocations for a line that is not written", n)
		}
	}
	now = now.Add(time.Second)
	write(rate+1, rate, one.Info)
	if strings.Count(out.String(), "skipped") != 1 || !strings.Contains(out.String(), " skipped=17\n") {
		t.Errorf("17 lines skipped, got %s", &out)
	}
	now = now.Add(time.Hour)
	write(2*burst, burst, one.Info)
}

// Each level writes its own lines and those above, in either form with the same fields, whatever is in them.
func TestForms(t *testing.T) {
	levels := []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError}
	for i, least := range levels {
		var text, js bytes.Buffer
		for _, level := range levels {
			for _, k := range []*slog.Logger{NewFactory(config.Log{Level: least}, "n3", &text).NewLogger(), NewFactory(config.Log{JSON: true, Level: least}, "n3", &js).NewLogger()} {
				k.Log(context.Background(), level, "link closed", "why", errors.New("a \"b\"\nc"), "client", "192.0.2.1:7", "bytes", 12)
			}
		}
		want := " level=" + least.String() + ` msg="link closed" scheduler=n3 why="a \"b\"\nc" client=192.0.2.1:7 bytes=12` + "\n"
		if got := strings.Count(text.String(), "\n"); got != len(levels)-i || !strings.Contains(text.String(), want) {
			t.Errorf("%v: %d lines\n%s", least, got, &text)
		}
		for line := range strings.Lines(js.String()) {
			var f struct{ Time, Msg, Scheduler, Why string }
			if err := json.Unmarshal([]byte(line), &f); err != nil || f.Time == "" || f.Msg+f.Scheduler+f.Why != "link closedn3a \"b\"\nc" {
				t.Errorf("%+v, %v: %s", f, err, line)
			}
		}
		if line := FormatLine(config.Log{Level: least}, "n3", slog.LevelInfo, "lost"); !strings.HasSuffix(line, " level=INFO msg=lost scheduler=n3\n") {
			t.Errorf("%v: the line apart is %q", least, line)
		}
	}
}
