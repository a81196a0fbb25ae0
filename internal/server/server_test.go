package server

import (
	"bufio"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const conf = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","limits":{"sockets":64},
"known":{"generation":1,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up"}]},
"settings":{"classes":[{"name":"a","promise":80000,"give_up":500000,"idempotency":"pure"}],
"bounds":{"try_limit":2,"connect_timeout":250000}}}`

// started is a scheduler under test, on sockets and signals as in service.
type started struct {
	*testing.T
	path, addr string
	ops        string         // the operators' file
	lines      *bufio.Scanner // of its log
	end        chan error
}

func start(t *testing.T, conf string) *started {
	t.Helper()
	return startWith(t, conf, "")
}

// startWith starts a scheduler with features.
func startWith(t *testing.T, conf, ops string) *started {
	t.Helper()
	s := &started{T: t, path: filepath.Join(t.TempDir(), "config.json"), end: make(chan error, 1)}
	if ops != "" {
		s.ops = filepath.Join(t.TempDir(), "ops.toml")
		s.write(s.ops, ops)
	}
	s.configure(conf)
	logs, log, err := os.Pipe() // holds what is not read, so that the log never holds up the loop
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = logs.Close() })
	go func() {
		s.end <- Run(func(name string) string { return map[string]string{"PROXY_CONFIG": s.path}[name] }, s.ops, log)
		_ = log.Close()
	}()
	s.lines = bufio.NewScanner(logs)
	_, s.addr, _ = strings.Cut(s.log("listening"), "addr")
	s.addr = strings.Trim(s.addr, `=":}`)
	return s
}

func (s *started) configure(conf string) { s.write(s.path, conf) }

func (s *started) write(path, text string) {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.Fatal(err)
	}
}

// log reads the log up to a line that contains a text.
func (s *started) log(want string) string {
	for s.lines.Scan() {
		if strings.Contains(s.lines.Text(), want) {
			return s.lines.Text()
		}
	}
	s.Fatalf("the log has no %q", want)
	return ""
}

func (s *started) talk(request string) *bufio.Reader {
	c := s.dial()
	_, _ = io.WriteString(c, request)
	return bufio.NewReader(c)
}

func (s *started) dial() net.Conn {
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { _ = c.Close() })
	return c
}

func (s *started) signal(sig syscall.Signal) { _ = syscall.Kill(os.Getpid(), sig) }

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// expectLine expects a connection and its first line.
func (s *started) expectLine(l net.Listener, want string) {
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
	request = "POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: 1\r\nContent-Length: 0\r\n\r\n"
	// The only worker refuses connections, so the policy eventually fails a request.
	unavailable = "HTTP/1.1 503 Service Unavailable\r\n"
)

// A scheduler is ready once it can serve. On SIGTERM with a request in flight it responds to that and ends without an error.
func TestStartAndDrain(t *testing.T) {
	s := start(t, conf)
	if line, _ := s.talk("GET /up HTTP/1.1\r\n\r\n").ReadString('\n'); line != "HTTP/1.1 200 OK\r\n" {
		t.Errorf("/up: %q", line)
	}
	answer := s.talk(request)
	stoppedAt := time.Now()
	s.signal(syscall.SIGTERM)
	if line, _ := answer.ReadString('\n'); line != unavailable {
		t.Errorf("the request in flight: %q", line)
	}
	if err := <-s.end; err != nil {
		t.Error(err)
	}
	// Without requests in flight it still runs until the end of the drain: an early end would look like a crash.
	if stayed, killDelay := time.Since(stoppedAt), 500*time.Millisecond+killMargin; stayed < killDelay {
		t.Errorf("ended %v after SIGTERM, %v before SIGKILL is due", stayed, killDelay-stayed)
	}
}

// On SIGHUP the file is read again: its discovery is watched, and a request in flight still gets its response. An invalid
// file is logged with its key and changes nothing. A file is also applied during a drain.
func TestReload(t *testing.T) {
	worker, second, third := listen(t), listen(t), listen(t)
	const watch = "GET /discovery/hosts?stream=1&index=0"
	with := func(discovery net.Listener) string {
		return strings.NewReplacer(`"hostPort":"127.0.0.1:1"`, `"hostPort":"`+worker.Addr().String()+`"`, "80000", "50000000",
			"500000", "60000000", `"discovery":"127.0.0.1:1"`, `"discovery":"`+discovery.Addr().String()+`"`).Replace(conf)
	}
	s := start(t, with(worker))
	answer, other := s.talk(request), s.dial()
	s.configure(with(second))
	s.signal(syscall.SIGHUP)
	s.log(`msg="configuration reloaded" scheduler=n0 discovery=` + second.Addr().String())
	s.expectLine(second, watch)
	s.configure(strings.Replace(with(third), `"sockets":64`, `"sockets":6`, 1))
	s.signal(syscall.SIGHUP)
	s.log(`level=ERROR msg="configuration reload failed" scheduler=n0 error="` + s.path + `: key \"limits.sockets\"`)
	s.signal(syscall.SIGTERM)
	s.log("draining")
	_, _ = io.WriteString(other, "GET /up HTTP/1.1\r\n\r\n") // a client goes on using the link that it has
	if line, _ := bufio.NewReader(other).ReadString('\n'); line != unavailable {
		t.Errorf("/up while draining: %q", line)
	}
	s.configure(with(third))
	s.signal(syscall.SIGHUP)
	s.log(`msg="configuration reloaded" scheduler=n0 discovery=` + third.Addr().String())
	s.expectLine(third, watch)
	const callback = `{"id":"1","from":"s-1","state":"done","result":"r"}`
	s.talk("POST /v1/job-events HTTP/1.1\r\nContent-Length: " + strconv.Itoa(len(callback)) + "\r\n\r\n" + callback)
	if line, _ := answer.ReadString('\n'); line != "HTTP/1.1 200 OK\r\n" {
		t.Errorf("the request in flight: %q", line)
	}
	if err := <-s.end; err != nil {
		t.Error(err)
	}
}

// While the loop is blocked by reading a configuration from a slow file, many more reloads and a SIGTERM arrive. The process
// applies the last configuration, and stops.
func TestManySignalsWhileTheLoopIsHeldUp(t *testing.T) {
	const reloads = 64
	last := listen(t)
	s := start(t, conf)
	slow := s.path + ".slow"
	if err := syscall.Mkfifo(slow, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(slow, s.path); err != nil {
		t.Fatal(err)
	}
	s.signal(syscall.SIGHUP)
	writer, err := os.OpenFile(s.path, os.O_WRONLY, 0) // returns once the loop reads
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(s.path); err != nil {
		t.Fatal(err)
	}
	s.configure(strings.Replace(conf, `"discovery":"127.0.0.1:1"`, `"discovery":"`+last.Addr().String()+`"`, 1))
	delivered := make(chan os.Signal, 1)
	signal.Notify(delivered, syscall.SIGHUP)
	defer signal.Stop(delivered)
	for range reloads {
		s.signal(syscall.SIGHUP)
		<-delivered // each is taken in by itself
	}
	s.signal(syscall.SIGTERM)
	_, _ = io.WriteString(writer, conf)
	_ = writer.Close()
	s.log(`msg="configuration reloaded" scheduler=n0 discovery=` + last.Addr().String())
	s.log("draining")
	if err := <-s.end; err != nil {
		t.Error(err)
	}
}

// On SIGTERM before the first endpoint list, it rejects queued requests and ends without an error.
func TestTermBeforeTheFirstList(t *testing.T) {
	from, to := strings.Index(conf, `"known"`), strings.Index(conf, `"settings"`)
	s := start(t, strings.NewReplacer("80000", "50000000", "500000", "60000000").Replace(conf[:from]+conf[to:]))
	if line, _ := s.talk("GET /up HTTP/1.1\r\n\r\n").ReadString('\n'); line != unavailable {
		t.Errorf("/up: %q", line)
	}
	answer := s.talk(request)
	s.signal(syscall.SIGTERM)
	if line, _ := answer.ReadString('\n'); line != unavailable {
		t.Errorf("the request in flight: %q", line)
	}
	if err := <-s.end; err != nil {
		t.Error(err)
	}
}

// A worker that hangs on SIGTERM costs no client its response: a request that is in flight there, with more time than is
// left until SIGKILL, gets its final response, and the process ends before SIGKILL.
func TestTermWithAHangingWorker(t *testing.T) {
	worker := listen(t)
	s := start(t, strings.NewReplacer(`"hostPort":"127.0.0.1:1"`, `"hostPort":"`+worker.Addr().String()+`"`, "80000", "50000000",
		"500000", "60000000").Replace(conf))
	answer := s.talk(request)
	s.expectLine(worker, "POST /a")
	s.signal(syscall.SIGTERM)
	if line, _ := answer.ReadString('\n'); line != "HTTP/1.1 500 Internal Server Error\r\n" {
		t.Errorf("the request that is in flight: %q", line)
	}
	if err := <-s.end; err != nil {
		t.Error(err)
	}
}

// Any number of idle clients leaves descriptors for others: with all descriptors for clients in use and discovery down, the
// scheduler is ready, watches the next discovery, reaches workers, and receives their callbacks.
func TestIdleClientsLeaveRoomForOthers(t *testing.T) {
	worker, discovery := listen(t), listen(t)
	text := strings.NewReplacer(`"hostPort":"127.0.0.1:1"`, `"hostPort":"`+worker.Addr().String()+`"`, "80000", "50000000",
		"500000", "60000000").Replace(conf)
	s := start(t, text)
	for n := range 150 { // of 64 descriptors
		if c := s.dial(); n%3 == 0 {
			_, _ = io.WriteString(c, "GET /up HTTP/1.1\r\n\r\n")
		}
	}
	if line, _ := s.talk("GET /up HTTP/1.1\r\n\r\n").ReadString('\n'); line != "HTTP/1.1 200 OK\r\n" {
		t.Errorf("/up: %q", line)
	}
	s.configure(strings.Replace(text, `"discovery":"127.0.0.1:1"`, `"discovery":"`+discovery.Addr().String()+`"`, 1))
	s.signal(syscall.SIGHUP)
	s.expectLine(discovery, "GET /discovery/hosts?stream=1&index=0")
	answer := s.talk(request)
	s.expectLine(worker, "POST /a")
	for range 150 {
		s.dial()
	}
	const callback = `{"id":"1","from":"s-1","state":"done","result":"r"}`
	s.talk("POST /v1/job-events HTTP/1.1\r\nContent-Length: " + strconv.Itoa(len(callback)) + "\r\n\r\n" + callback)
	if line, _ := answer.ReadString('\n'); line != "HTTP/1.1 200 OK\r\n" {
		t.Errorf("the request: %q", line)
	}
	s.signal(syscall.SIGTERM)
	if err := <-s.end; err != nil {
		t.Error(err)
	}
}

// If the platform pushes lists to the discovery address, the watch is opened at the start, from the revision of the known list on.
func TestPushedListIsWatched(t *testing.T) {
	discovery := listen(t)
	s := start(t, strings.Replace(conf, `"discovery":"127.0.0.1:1"`, `"discovery":"`+discovery.Addr().String()+`"`, 1))
	s.expectLine(discovery, "GET /discovery/hosts?stream=1&index=1")
	s.signal(syscall.SIGTERM)
	if err := <-s.end; err != nil {
		t.Error(err)
	}
}

// up waits until the scheduler accepts connections.
func (s *started) up() {
	for {
		select {
		case err := <-s.end:
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
