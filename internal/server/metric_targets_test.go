package server

import (
	"log/slog"
	"strings"
	"syscall"
	"testing"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/filesystem/filesystemtest"
)

// The metrics file is opened while the disk is full, is written once there is space, and contains complete lines only. Lost
// batches are reported to the exporter, which counts them.
func TestMetricsFileOnFullDisk(t *testing.T) {
	disk := filesystemtest.New(nil)
	disk.SetFault(filesystemtest.FailAll(syscall.ENOSPC))
	instance := &server{files: disk, logger: slog.New(slog.DiscardHandler)}
	targets, err := instance.openMetricTargets(&config.Metrics{File: "/dir/figures"})
	if err != nil {
		t.Fatal(err)
	}
	failures := 0
	send := func(text string) {
		if targets.targets[0].Send([]byte(text)) != nil {
			failures++
		}
		done := make(chan struct{})
		targets.writer.Enqueue(0, func() error { close(done); return nil })
		<-done
	}
	send("a:1|c\n")
	disk.SetFault(nil)
	send("b:1|c\n")
	disk.SetFault(func(filesystemtest.Call) filesystemtest.Fault {
		return filesystemtest.Fault{Err: syscall.ENOSPC, Bytes: 3}
	})
	send("c:1|c\nd:1|c\n")
	disk.SetFault(nil)
	send("e:1|c\n")
	send("f:1|c\n")
	targets.close()
	want := "b:1|c\nc:1|c\ne:1|c\nf:1|c\n"
	if got := disk.Files()["/dir/figures"]; got != want || failures != 2 {
		t.Errorf("%q, expected %q; %d failures", got, want, failures)
	}
}

// After a partial write to the log, the rest of the line is written before the next line.
func TestLogAfterPartialWrite(t *testing.T) {
	var log partialWriter
	writer := newLogWriter(&log, config.Log{}, "n0")
	for _, line := range []string{"first\n", "second\n", "third\n"} {
		_, _ = writer.Write([]byte(line))
	}
	writer.Close(time.Minute)
	if log.text.String() != "first\nsecond\nthird\n" {
		t.Errorf("the log has %q, expected three complete lines", log.text.String())
	}
}

// partialWriter writes only a part of its second write.
type partialWriter struct {
	text  strings.Builder
	calls int
}

func (c *partialWriter) Write(text []byte) (int, error) {
	c.calls++
	if c.calls == 2 {
		c.text.Write(text[:3])
		return 3, syscall.ENOSPC
	}
	return c.text.Write(text)
}
