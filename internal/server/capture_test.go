package server

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"valvecove/internal/capture"
	"valvecove/internal/config"
)

// dumpCapture sends SIGUSR1 and returns the log up to the end of the capture.
func (s *process) dumpCapture() string {
	s.signal(syscall.SIGUSR1)
	var text strings.Builder
	for s.logLines.Scan() {
		text.WriteString(s.logLines.Text() + "\n")
		if strings.Contains(s.logLines.Text(), `msg="capture written"`) {
			return text.String()
		}
	}
	s.Fatal("no capture in the log")
	return ""
}

// The capture of a scheduler is written to the log on SIGUSR1, and contains no request body. A replay of the log, in which the
// capture is between other lines, finds no difference with the recorded settings, and reports differences with others.
// Replaying a text without a capture fails.
func TestCaptureAndReplay(t *testing.T) {
	w := startWithWorker(t, "[capture]")
	answer := w.submit("9b1f03aa5c7e2d41")
	w.accept()
	w.callBack(`{"id":"9b1f03aa5c7e2d41","from":"s-1","state":"started"}`)
	w.callBack(`{"id":"9b1f03aa5c7e2d41","from":"s-1","state":"done","result":"booked: 42 rupees"}`)
	readResponse(t, answer)
	_, _ = w.sendRequest("POST /b HTTP/1.1\r\nX-Call-Class: b\r\nContent-Length: 0\r\n\r\n").ReadString('\n')
	text := w.dumpCapture()
	w.stop()
	for _, want := range []string{
		`"in":"head","id":"9b1f03aa5c7e2d41","method":"POST","path":"/a","class":"a","tenant":"swat-society"`,
		`"out":"send","id":"9b1f03aa5c7e2d41","worker":"s-1"`, `"in":"answer","id":"9b1f03aa5c7e2d41","status":202`,
		`"in":"event","id":"9b1f03aa5c7e2d41","length":17,"state":"done"`, `"out":"over","id":"9b1f03aa5c7e2d41","outcome":"served"`,
		`"out":"turned away","status":400`, `"in":"start","why":"start"`, `"in":"hosts"`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no %s in\n%s", want, text)
		}
	}
	if strings.Contains(text, "rupees") {
		t.Error("the capture contains a body")
	}
	file := filepath.Join(t.TempDir(), "ring.jsonl")
	w.write(file, text)
	garbage := filepath.Join(t.TempDir(), "garbage")
	w.write(garbage, "msg=draining\n"+`{"time":"2026-01-01T00:00:00Z","level":"INFO","msg":"draining"}`+"\n")
	for _, c := range []struct {
		file, ops, output, warning string
		code                       int
	}{
		{file, "", "", "", 0},
		{file, "[replay.settings.classes.a]\npromise = 1", "9b1f03aa5c7e2d41 was s-1, now ", "", 1},
		{file, "[replay.settings.bounds]\ntry_limit = 'x'", "", `key "replay.settings.bounds.try_limit": expected a number`, 2},
		{garbage, "", "", "no capture in it", 2},
		{file + "x", "", "", "no such file", 2},
	} {
		ops, err := config.DecodeOps(c.ops)
		if err != nil {
			t.Fatal(err)
		}
		var output, warnings bytes.Buffer
		code := capture.ReplayCommand(c.file, ops, &output, &warnings)
		if code != c.code || !strings.Contains(output.String(), c.output) || !strings.Contains(warnings.String(), c.warning) || c.output == "" && output.Len() > 0 {
			t.Errorf("%s with %q: %d, %q, %q", c.file, c.ops, code, output.String(), warnings.String())
		}
	}
}

// A log that nobody reads delays neither the responses nor the end of the process, with or without a capture.
func TestBlockedLog(t *testing.T) {
	t.Run("capture", func(t *testing.T) { testBlockedLog(t, "[capture]") })
	t.Run("no feature", func(t *testing.T) { testBlockedLog(t, "[log]\nlevel = 'debug'") })
}

func testBlockedLog(t *testing.T, ops string) {
	t.Helper()
	logs, log, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = logs.Close() }()
	fd := int(log.Fd())
	_ = syscall.SetNonblock(fd, true)
	for fill := bytes.Repeat([]byte("x"), 4096); err == nil; { // until the pipe is full
		_, err = syscall.Write(fd, fill)
	}
	_ = syscall.SetNonblock(fd, false) // blocking, like standard error
	l := listen(t)
	addr := l.Addr().String()
	_ = l.Close()
	s := &process{
		T: t, configPath: filepath.Join(t.TempDir(), "config.json"), opsPath: filepath.Join(t.TempDir(), "ops.toml"),
		addr: addr, result: make(chan error, 1),
	}
	s.configure(strings.Replace(testConfig, "127.0.0.1:0", addr, 1))
	s.write(s.opsPath, ops)
	go func() {
		s.result <- Run(func(name string) string { return map[string]string{"PROXY_CONFIG": s.configPath}[name] }, s.opsPath, log)
	}()
	s.awaitListening()
	if ops == "[capture]" {
		s.signal(syscall.SIGUSR1)
	}
	if line, _ := s.sendRequest(testRequest).ReadString('\n'); line != unavailableStatusLine {
		t.Errorf("a request while the log is blocked: %q", line)
	}
	s.signal(syscall.SIGTERM)
	if err := <-s.result; err != nil {
		t.Error(err)
	}
}
