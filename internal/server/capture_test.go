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

// dumpCapture requests the capture and reads the log up to its end.
func (s *started) dumpCapture() string {
	s.signal(syscall.SIGUSR1)
	var text strings.Builder
	for s.lines.Scan() {
		text.WriteString(s.lines.Text() + "\n")
		if strings.Contains(s.lines.Text(), `msg="capture written"`) {
			return text.String()
		}
	}
	s.Fatal("no capture in the log")
	return ""
}

// The capture of a scheduler over real sockets is written to the log on SIGUSR1, between other lines, and is replayed without a
// difference, or with differences under another setting. A text without a capture is an error.
func TestCaptureAndReplay(t *testing.T) {
	w := work(t, "[capture]")
	answer := w.submit("9b1f03aa5c7e2d41")
	w.accept()
	w.callBack(`{"id":"9b1f03aa5c7e2d41","from":"s-1","state":"started"}`)
	w.callBack(`{"id":"9b1f03aa5c7e2d41","from":"s-1","state":"done","result":"booked: 42 rupees"}`)
	body(t, answer)
	_, _ = w.talk("POST /b HTTP/1.1\r\nX-Call-Class: b\r\nContent-Length: 0\r\n\r\n").ReadString('\n')
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
		t.Error("a body is in it")
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

// A log that is not read delays neither the jobs nor the end, with all features enabled.
func TestLogStuck(t *testing.T) {
	t.Run("capture", func(t *testing.T) { testStuckLog(t, "[capture]") })
	t.Run("no feature", func(t *testing.T) { testStuckLog(t, "[log]\nlevel = 'debug'") })
}

func testStuckLog(t *testing.T, ops string) {
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
	_ = syscall.SetNonblock(fd, false) // as standard error is
	l := listen(t)
	addr := l.Addr().String()
	_ = l.Close()
	s := &started{
		T: t, path: filepath.Join(t.TempDir(), "config.json"), ops: filepath.Join(t.TempDir(), "ops.toml"),
		addr: addr, end: make(chan error, 1),
	}
	s.configure(strings.Replace(conf, "127.0.0.1:0", addr, 1))
	s.write(s.ops, ops)
	go func() {
		s.end <- Run(func(name string) string { return map[string]string{"PROXY_CONFIG": s.path}[name] }, s.ops, log)
	}()
	s.up()
	if ops == "[capture]" {
		s.signal(syscall.SIGUSR1)
	}
	if line, _ := s.talk(request).ReadString('\n'); line != unavailable {
		t.Errorf("a request while the log is stuck: %q", line)
	}
	s.signal(syscall.SIGTERM)
	if err := <-s.end; err != nil {
		t.Error(err)
	}
}
