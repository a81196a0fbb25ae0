package server

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// freePort returns a port without a listener.
func freePort(t *testing.T) string {
	t.Helper()
	l := listen(t)
	defer func() { _ = l.Close() }()
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

// readResponse reads one response, and returns its status and body.
func readResponse(t *testing.T, r *bufio.Reader) (status, text string) {
	t.Helper()
	length := 0
	for line := "?"; line != ""; {
		raw, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		line = strings.TrimSpace(raw)
		if code, ok := strings.CutPrefix(line, "HTTP/1.1 "); ok {
			status = code[:3]
		}
		if n, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(n)
		}
	}
	b := make([]byte, length)
	if _, err := io.ReadFull(r, b); err != nil {
		t.Fatal(err)
	}
	return status, strings.TrimSpace(string(b))
}

// processWithWorker is a scheduler with one worker, which the test implements.
type processWithWorker struct {
	*process
	worker           net.Listener
	statusReader     *bufio.Reader // reads from statusConnection
	statusConnection net.Conn      // connection to the status port
}

// startWithWorker starts a scheduler with one worker, and a client timeout of a minute.
func startWithWorker(t *testing.T, ops string) *processWithWorker {
	t.Helper()
	w := &processWithWorker{worker: listen(t)}
	w.process = startWith(t, strings.NewReplacer(`"hostPort":"127.0.0.1:1"`, `"hostPort":"`+w.worker.Addr().String()+`"`,
		"80000", "50000000", "500000", "60000000", `"settings":{`,
		`"settings":{"domain":{"tells_start":true,"progress":2000000},"tenants":[{"name":"swat-society"}],`).Replace(testConfig), ops)
	return w
}

// accept receives a request as the worker, and accepts it.
func (w *processWithWorker) accept() {
	c, err := w.worker.Accept()
	if err != nil {
		w.Fatal(err)
	}
	w.Cleanup(func() { _ = c.Close() })
	readResponse(w.T, bufio.NewReader(c))
	_, _ = io.WriteString(c, "HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

func (w *processWithWorker) submit(id string) *bufio.Reader {
	return w.sendRequest("POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Caller: swat-society\r\nX-Call-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
}

// callBack sends a callback as the worker, and waits for the response.
func (w *processWithWorker) callBack(callback string) {
	r := w.sendRequest("POST /v1/job-events HTTP/1.1\r\nContent-Length: " + strconv.Itoa(len(callback)) + "\r\n\r\n" + callback)
	if line, _ := r.ReadString('\n'); line != "HTTP/1.1 204 No Content\r\n" {
		w.Errorf("callback %s: %q, expected 204", callback, line)
	}
}

// expectStatus requests the status of a job.
func (w *processWithWorker) expectStatus(id, status, want string) {
	w.Helper()
	_, _ = io.WriteString(w.statusConnection, "GET /status/"+id+" HTTP/1.1\r\n\r\n")
	if got, text := readResponse(w.T, w.statusReader); got != status || text != want {
		w.Errorf("%s: %s %s, expected %s %s", id, got, text, status, want)
	}
}

func (w *processWithWorker) stop() {
	w.signal(syscall.SIGTERM)
	if err := <-w.result; err != nil {
		w.Error(err)
	}
}

// A client polls the status of a job while the job waits, after its start, after a progress report, and after its end. Another
// job's status is polled during a drain.
func TestStatusCall(t *testing.T) {
	port := freePort(t)
	w := startWithWorker(t, "[status]\nlisten_port = "+port)
	var err error
	if w.statusConnection, err = net.Dial("tcp", "127.0.0.1:"+port); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.statusConnection.Close() })
	w.statusReader = bufio.NewReader(w.statusConnection)
	w.expectStatus("9b1f03aa5c7e2d41", "404", "no such id")
	answer := w.submit("9b1f03aa5c7e2d41")
	w.accept()
	const start = `{"id":"9b1f03aa5c7e2d41","class":"a","tenant":"swat-society",`
	callBack := func(fields string) { w.callBack(`{"id":"9b1f03aa5c7e2d41","from":"s-1",` + fields) }
	w.expectStatus("9b1f03aa5c7e2d41", "200", start+`"state":"waiting","worker":"s-1"}`)
	callBack(`"state":"started"}`)
	w.expectStatus("9b1f03aa5c7e2d41", "200", start+`"state":"running","worker":"s-1"}`)
	callBack(`"state":"running","share":0.4}`)
	w.expectStatus("9b1f03aa5c7e2d41", "200", start+`"state":"running","worker":"s-1","share":0.4}`)
	callBack(`"state":"done","result":"booked"}`)
	if status, text := readResponse(t, answer); status != "200" || text != "booked" {
		t.Errorf("the client got %s %s, expected 200 booked", status, text)
	}
	w.expectStatus("9b1f03aa5c7e2d41", "200", start+`"state":"ended","worker":"s-1","outcome":"served"}`)
	w.submit("2")
	w.accept()
	w.signal(syscall.SIGTERM)
	w.awaitLogLine("draining")
	w.callBack(`{"id":"2","from":"s-1","state":"started"}`)
	w.expectStatus("2", "200", `{"id":"2","class":"a","tenant":"swat-society","state":"running","worker":"s-1"}`)
	w.callBack(`{"id":"2","from":"s-1","state":"done","result":""}`)
	if err := <-w.result; err != nil {
		t.Error(err)
	}
}

// If the status port is in use, or its key is missing because of a typing error, the start fails with an error that names the
// key.
func TestStatusPortErrors(t *testing.T) {
	l := listen(t)
	_, port, _ := net.SplitHostPort(l.Addr().String())
	for ops, want := range map[string]string{
		"[status]\nlisten_port = " + port: `key "status.listen_port": listening at ` + l.Addr().String(),
		"[status]\nlisten_prot = " + port: `key "status.listen_port": missing`,
	} {
		s := &process{T: t, configPath: t.TempDir() + "/config.json", opsPath: t.TempDir() + "/ops.toml"}
		s.configure(testConfig)
		s.write(s.opsPath, ops)
		err := Run(func(name string) string { return map[string]string{"PROXY_CONFIG": s.configPath}[name] }, s.opsPath, io.Discard)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, expected %s", ops, err, want)
		}
	}
}
