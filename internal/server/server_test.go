package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"valvecove/internal/config"
)

const testConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","limits":{"sockets":64},
"known":{"generation":1,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up"}]},
"settings":{"classes":[{"name":"a","promise":80000,"give_up":500000,"idempotency":"pure"}],
"bounds":{"try_limit":2,"connect_timeout":250000}}}`

// process is a running scheduler process under test, with real sockets and signals.
type process struct {
	*testing.T
	configPath, addr string         // path of the platform's file; address that clients connect to
	opsPath          string         // path of the operators' file; empty: none
	logLines         *bufio.Scanner // of the log
	result           chan error     // receives the result of Run
}

func start(t *testing.T, conf string) *process {
	t.Helper()
	return startWith(t, conf, "")
}

// startWith starts a scheduler with an operators' file of the given content.
func startWith(t *testing.T, conf, ops string) *process {
	t.Helper()
	s := &process{T: t, configPath: filepath.Join(t.TempDir(), "config.json"), result: make(chan error, 1)}
	if ops != "" {
		s.opsPath = filepath.Join(t.TempDir(), "ops.toml")
		s.write(s.opsPath, ops)
	}
	s.configure(conf)
	logs, log, err := os.Pipe() // buffers lines that the test has not read yet
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = logs.Close() })
	go func() {
		s.result <- Run(func(name string) string { return map[string]string{"PROXY_CONFIG": s.configPath}[name] }, s.opsPath, log)
		_ = log.Close()
	}()
	s.logLines = bufio.NewScanner(logs)
	_, s.addr, _ = strings.Cut(s.awaitLogLine("listening"), "addr")
	s.addr = strings.Trim(s.addr, `=":}`)
	return s
}

func (s *process) configure(conf string) { s.write(s.configPath, conf) }

func (s *process) write(path, text string) {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.Fatal(err)
	}
}

// awaitLogLine reads the log up to a line that contains a text, and returns that line.
func (s *process) awaitLogLine(want string) string {
	for s.logLines.Scan() {
		if strings.Contains(s.logLines.Text(), want) {
			return s.logLines.Text()
		}
	}
	s.Fatalf("the log does not contain %q", want)
	return ""
}

func (s *process) sendRequest(request string) *bufio.Reader {
	c := s.dial()
	_, _ = io.WriteString(c, request)
	return bufio.NewReader(c)
}

func (s *process) dial() net.Conn {
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { _ = c.Close() })
	return c
}

func (s *process) signal(sig syscall.Signal) { _ = syscall.Kill(os.Getpid(), sig) }

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// expectLine accepts a connection, and expects a request line with the method and target in want.
func (s *process) expectLine(l net.Listener, want string) {
	c, err := l.Accept()
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { _ = c.Close() })
	if line, _ := bufio.NewReader(c).ReadString('\n'); line != want+" HTTP/1.1\r\n" {
		s.Errorf("received %q, expected %s", line, want)
	}
}

const (
	testRequest = "POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: 1\r\nContent-Length: 0\r\n\r\n"
	// unavailableStatusLine starts the response to testRequest: the only worker refuses connections, so the request is rejected.
	unavailableStatusLine = "HTTP/1.1 503 Service Unavailable\r\n"
)

// A scheduler is ready after its start. On SIGTERM it responds to the request in flight and ends without an error.
func TestStartAndDrain(t *testing.T) {
	s := start(t, testConfig)
	if line, _ := s.sendRequest("GET /up HTTP/1.1\r\n\r\n").ReadString('\n'); line != "HTTP/1.1 200 OK\r\n" {
		t.Errorf("/up: %q, expected 200", line)
	}
	answer := s.sendRequest(testRequest)
	stoppedAt := time.Now()
	s.signal(syscall.SIGTERM)
	if line, _ := answer.ReadString('\n'); line != unavailableStatusLine {
		t.Errorf("the request in flight: %q, expected 503", line)
	}
	if err := <-s.result; err != nil {
		t.Error(err)
	}
	// Without requests in flight the process still runs until the end of the drain: an early end would look like a crash.
	if stayed, killDelay := time.Since(stoppedAt), 500*time.Millisecond+killMargin; stayed < killDelay {
		t.Errorf("ended %v after SIGTERM, %v before SIGKILL is due", stayed, killDelay-stayed)
	}
}

// On SIGHUP the configuration file is read again: its discovery address is watched, and a request in flight still gets its
// response. For an invalid file, the log contains its key, and nothing changes. A file is also applied during a drain.
func TestReload(t *testing.T) {
	worker, second, third := listen(t), listen(t), listen(t)
	const watch = "GET /discovery/hosts?stream=1&index=0"
	with := func(discovery net.Listener) string {
		return strings.NewReplacer(`"hostPort":"127.0.0.1:1"`, `"hostPort":"`+worker.Addr().String()+`"`, "80000", "50000000",
			"500000", "60000000", `"discovery":"127.0.0.1:1"`, `"discovery":"`+discovery.Addr().String()+`"`).Replace(testConfig)
	}
	s := start(t, with(worker))
	answer, other := s.sendRequest(testRequest), s.dial()
	s.configure(with(second))
	s.signal(syscall.SIGHUP)
	s.awaitLogLine(`msg="configuration reloaded" scheduler=n0 discovery=` + second.Addr().String())
	s.expectLine(second, watch)
	s.configure(strings.Replace(with(third), `"sockets":64`, `"sockets":6`, 1))
	s.signal(syscall.SIGHUP)
	s.awaitLogLine(`level=ERROR msg="configuration reload failed" scheduler=n0 error="` + s.configPath + `: key \"limits.sockets\"`)
	s.signal(syscall.SIGTERM)
	s.awaitLogLine("draining")
	_, _ = io.WriteString(other, "GET /up HTTP/1.1\r\n\r\n") // on a connection from before the drain
	if line, _ := bufio.NewReader(other).ReadString('\n'); line != unavailableStatusLine {
		t.Errorf("/up while draining: %q, expected 503", line)
	}
	s.configure(with(third))
	s.signal(syscall.SIGHUP)
	s.awaitLogLine(`msg="configuration reloaded" scheduler=n0 discovery=` + third.Addr().String())
	s.expectLine(third, watch)
	const callback = `{"id":"1","from":"s-1","state":"done","result":"r"}`
	s.sendRequest("POST /v1/job-events HTTP/1.1\r\nContent-Length: " + strconv.Itoa(len(callback)) + "\r\n\r\n" + callback)
	if line, _ := answer.ReadString('\n'); line != "HTTP/1.1 200 OK\r\n" {
		t.Errorf("the request in flight: %q, expected 200", line)
	}
	if err := <-s.result; err != nil {
		t.Error(err)
	}
}

// Guards against a scheduler that keeps the heap of its former memory limit after a reload, and is killed for memory.
func TestReloadAppliesMemoryLimit(t *testing.T) {
	withMemory := func(memoryMB int) string {
		return strings.Replace(testConfig, `"sockets":64`, fmt.Sprintf(`"sockets":64,"memory_mb":%d`, memoryMB), 1)
	}
	s := start(t, withMemory(192))
	s.configure(withMemory(64))
	s.signal(syscall.SIGHUP)
	s.awaitLogLine(`msg="configuration reloaded"`)
	if got, want := debug.SetMemoryLimit(-1), HeapLimit(config.Limits{MemoryMB: 64}, false); got != want {
		t.Errorf("the heap may have %d bytes, expected %d", got, want)
	}
	s.signal(syscall.SIGTERM)
	if err := <-s.result; err != nil {
		t.Error(err)
	}
}

// While the event loop is blocked by reading a configuration from a slow file, many more SIGHUP and a SIGTERM are received. The
// process applies the last configuration, and drains.
func TestManySignalsWhileLoopIsBlocked(t *testing.T) {
	const reloads = 64
	last := listen(t)
	s := start(t, testConfig)
	slow := s.configPath + ".slow"
	if err := syscall.Mkfifo(slow, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(slow, s.configPath); err != nil {
		t.Fatal(err)
	}
	s.signal(syscall.SIGHUP)
	writer, err := os.OpenFile(s.configPath, os.O_WRONLY, 0) // returns once the loop reads
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(s.configPath); err != nil {
		t.Fatal(err)
	}
	s.configure(strings.Replace(testConfig, `"discovery":"127.0.0.1:1"`, `"discovery":"`+last.Addr().String()+`"`, 1))
	delivered := make(chan os.Signal, 1)
	signal.Notify(delivered, syscall.SIGHUP)
	defer signal.Stop(delivered)
	for range reloads {
		s.signal(syscall.SIGHUP)
		<-delivered // so that the signals are not merged before they are delivered
	}
	s.signal(syscall.SIGTERM)
	_, _ = io.WriteString(writer, testConfig)
	_ = writer.Close()
	s.awaitLogLine(`msg="configuration reloaded" scheduler=n0 discovery=` + last.Addr().String())
	s.awaitLogLine("draining")
	if err := <-s.result; err != nil {
		t.Error(err)
	}
}

// On SIGTERM before the first endpoint list, the process rejects queued requests and ends without an error.
func TestTermBeforeFirstEndpointList(t *testing.T) {
	from, to := strings.Index(testConfig, `"known"`), strings.Index(testConfig, `"settings"`)
	s := start(t, strings.NewReplacer("80000", "50000000", "500000", "60000000").Replace(testConfig[:from]+testConfig[to:]))
	if line, _ := s.sendRequest("GET /up HTTP/1.1\r\n\r\n").ReadString('\n'); line != unavailableStatusLine {
		t.Errorf("/up: %q, expected 503", line)
	}
	answer := s.sendRequest(testRequest)
	s.signal(syscall.SIGTERM)
	if line, _ := answer.ReadString('\n'); line != unavailableStatusLine {
		t.Errorf("the queued request: %q, expected 503", line)
	}
	if err := <-s.result; err != nil {
		t.Error(err)
	}
}

// A request whose worker hangs at SIGTERM, and whose deadline is after SIGKILL, gets its final response, and the process ends
// without an error.
func TestTermWithHangingWorker(t *testing.T) {
	worker := listen(t)
	s := start(t, strings.NewReplacer(`"hostPort":"127.0.0.1:1"`, `"hostPort":"`+worker.Addr().String()+`"`, "80000", "50000000",
		"500000", "60000000").Replace(testConfig))
	answer := s.sendRequest(testRequest)
	s.expectLine(worker, "POST /a")
	s.signal(syscall.SIGTERM)
	if line, _ := answer.ReadString('\n'); line != "HTTP/1.1 500 Internal Server Error\r\n" {
		t.Errorf("the request in flight: %q, expected 500", line)
	}
	if err := <-s.result; err != nil {
		t.Error(err)
	}
}

// Idle clients can't use up the descriptors of other connections: with all descriptors for clients in use and discovery down, the
// scheduler is ready, watches another discovery address after a reload, connects to workers, and receives their callbacks.
func TestIdleClientsLeaveDescriptorsForOthers(t *testing.T) {
	worker, discovery := listen(t), listen(t)
	text := strings.NewReplacer(`"hostPort":"127.0.0.1:1"`, `"hostPort":"`+worker.Addr().String()+`"`, "80000", "50000000",
		"500000", "60000000").Replace(testConfig)
	s := start(t, text)
	for n := range 150 { // the process may use 64 descriptors
		if c := s.dial(); n%3 == 0 {
			_, _ = io.WriteString(c, "GET /up HTTP/1.1\r\n\r\n")
		}
	}
	if line, _ := s.sendRequest("GET /up HTTP/1.1\r\n\r\n").ReadString('\n'); line != "HTTP/1.1 200 OK\r\n" {
		t.Errorf("/up: %q, expected 200", line)
	}
	s.configure(strings.Replace(text, `"discovery":"127.0.0.1:1"`, `"discovery":"`+discovery.Addr().String()+`"`, 1))
	s.signal(syscall.SIGHUP)
	s.expectLine(discovery, "GET /discovery/hosts?stream=1&index=0")
	answer := s.sendRequest(testRequest)
	s.expectLine(worker, "POST /a")
	for range 150 {
		s.dial()
	}
	const callback = `{"id":"1","from":"s-1","state":"done","result":"r"}`
	s.sendRequest("POST /v1/job-events HTTP/1.1\r\nContent-Length: " + strconv.Itoa(len(callback)) + "\r\n\r\n" + callback)
	if line, _ := answer.ReadString('\n'); line != "HTTP/1.1 200 OK\r\n" {
		t.Errorf("the request: %q, expected 200", line)
	}
	s.signal(syscall.SIGTERM)
	if err := <-s.result; err != nil {
		t.Error(err)
	}
}

// If the configuration does not require a subscription, the watch is still opened at the start, from the revision of the known
// list.
func TestPushedListIsWatched(t *testing.T) {
	discovery := listen(t)
	s := start(t, strings.Replace(testConfig, `"discovery":"127.0.0.1:1"`, `"discovery":"`+discovery.Addr().String()+`"`, 1))
	s.expectLine(discovery, "GET /discovery/hosts?stream=1&index=1")
	s.signal(syscall.SIGTERM)
	if err := <-s.result; err != nil {
		t.Error(err)
	}
}

// awaitListening waits until the scheduler accepts connections. It fails the test if the process ends.
func (s *process) awaitListening() {
	for {
		select {
		case err := <-s.result:
			s.Fatalf("ended: %v", err)
		default:
		}
		if c, err := net.Dial("tcp", s.addr); err == nil {
			_ = c.Close()
			return
		}
		runtime.Gosched()
	}
}
