package process

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"valvecove/internal/requests"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// testDriver is a driver with the test in place of the environment: the test receives the schedulers' outputs, and supplies the
// inputs.
type testDriver struct {
	*testing.T
	d    *driver
	outs chan simapi.Output
}

func (r *testDriver) Next() (time.Duration, bool) { return 0, false }
func (r *testDriver) Finished() bool              { return false }

func (r *testDriver) Step(_ time.Duration, outs []simapi.Output, dst []simapi.Input) []simapi.Input {
	for _, o := range outs {
		r.outs <- o
	}
	return dst
}

func testSpec(t *testing.T, more string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("test", []byte("length = \"2s\"\n[fleet]\nnodes = 2\n"+more))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newTestDriver(t *testing.T, opt Options) *testDriver {
	t.Helper()
	opt.Dir, opt.StayOpen = t.TempDir(), true
	d, err := newDriver(testSpec(t, ""), opt)
	if err != nil {
		t.Fatal(err)
	}
	r := &testDriver{t, d, make(chan simapi.Output, 1<<14)}
	ctx, cancel := context.WithCancel(context.Background())
	d.environment, d.onStart = r, func(time.Time) {}
	var all sync.WaitGroup
	all.Go(func() {
		if err := d.run(ctx, time.Hour); err != nil {
			t.Error(err)
		}
		d.close()
	})
	all.Go(d.sampleProcesses)
	t.Cleanup(func() {
		cancel()
		all.Wait()
	})
	return r
}

// carryOut has the driver carry out inputs.
func (r *testDriver) carryOut(ins ...simapi.Input) {
	r.d.post(func() {
		for _, in := range ins {
			r.d.carryOut(&in)
		}
	})
}

// nextOutput returns the next output.
func (r *testDriver) nextOutput() simapi.Output {
	r.Helper()
	select {
	case o := <-r.outs:
		return o
	case <-time.After(30 * time.Second):
		r.Fatal("no output within 30 s")
	}
	return simapi.Output{}
}

// expectOutput returns the next output, which must be of type T.
func expectOutput[T simapi.OutputMessage](r *testDriver) T {
	r.Helper()
	o := r.nextOutput()
	message, ok := o.Message.(T)
	if !ok {
		r.Fatalf("got %T %+v, expected %T", o.Message, o, message)
	}
	return message
}

// serve serves HTTP at the address of scheduler 0.
func (r *testDriver) serve(h http.Handler) {
	l, err := net.Listen("tcp", r.d.schedulers[0].listen.String())
	if err != nil {
		r.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadTimeout: 300 * time.Millisecond, MaxHeaderBytes: 16 << 10}
	go func() { _ = s.Serve(l) }()
	r.Cleanup(func() { _ = s.Close() })
}

// writeRaw sends a text as the whole response, and closes the connection.
func writeRaw(w http.ResponseWriter, text string) {
	c, _, _ := w.(http.Hijacker).Hijack()
	_, _ = io.WriteString(c, text)
	_ = c.Close()
}

// Clients write requests in the form of the protocol, and accept responses of any framing.
func TestClients(t *testing.T) {
	r := newTestDriver(t, Options{})
	r.sendRequest(1, "nobody")
	expectOutput[simapi.ClientConnFailed](r)
	r.serve(framingHandler(t))
	for i, x := range []struct {
		call, result string
		status       int // 0: the connection ends without a response
		after        time.Duration
		ends         bool // the connection ends with the response
	}{
		{call: "plain", status: 200, result: "made"},
		{call: "chunked", status: 200, result: "made in chunks"},
		{call: "refused", status: 503, after: 250 * time.Millisecond},
		{call: "plain-again", status: 200, result: "made"},
		{call: "interim", status: 200, result: "ok", ends: true},
		{call: "unframed", status: 500, result: "until the end", ends: true},
		{call: "cut"},
		{call: "garbage"},
	} {
		conn := simapi.Conn(2 + max(0, i-4)) // the first five requests share a connection
		r.sendRequest(conn, x.call)
		if x.status > 0 {
			o := expectOutput[simapi.ResponseWritten](r)
			if o != (simapi.ResponseWritten{Conn: conn, RequestID: x.call, Status: x.status, Result: x.result, RetryAfter: x.after}) {
				t.Errorf("%s: unexpected response: %+v", x.call, o)
			}
		}
		if x.status == 0 || x.ends {
			if o := expectOutput[simapi.ClientConnClosed](r); o.Conn != conn {
				t.Errorf("%s: another connection is reported as closed: %+v", x.call, o)
			}
		}
	}
}

// sendRequest has a client send a request with every optional field.
func (r *testDriver) sendRequest(conn simapi.Conn, call string) {
	r.carryOut(simapi.Input{Message: simapi.RequestReceived{Conn: conn, Request: &simapi.ClientRequest{
		RequestID: call, Class: 3, Tenant: 1, IdempotencyKey: "k-" + call,
		Budget: 480*time.Millisecond + 700, CostHint: 12 * time.Millisecond, Slots: 2, BodyLength: 300, Retry: true,
	}}})
}

// framingHandler checks the requests of sendRequest, and responds to them in different framings, by their ids.
func framingHandler(t *testing.T) http.Handler {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /account-credit/{key}", func(w http.ResponseWriter, q *http.Request) {
		call := q.Header.Get("X-Call-Id")
		body, _ := io.ReadAll(q.Body)
		for name, value := range map[string]string{
			"X-Call-Class": "account-credit", "X-Caller": "mardan-society",
			"X-Budget-Ms": "480", "Idempotency-Key": q.PathValue("key"), "X-Call-Cost": "12000",
			"X-Call-Info": "slots=2", "X-Again": "1",
		} {
			if got := q.Header.Get(name); got != value {
				t.Errorf("header field %s: got %q, want %q", name, got, value)
			}
		}
		if len(body) != 300 || !strings.HasPrefix(string(body), call) {
			t.Errorf("body %q", body)
		}
		respondFramed(w, call)
	})
	return mux
}

func respondFramed(w http.ResponseWriter, call string) {
	switch call {
	case "chunked":
		_, _ = io.WriteString(w, "made in ")
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, "chunks")
	case "refused":
		w.Header().Set("Retry-After", "0.25")
		w.WriteHeader(503)
	case "interim":
		writeRaw(w, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	case "unframed":
		writeRaw(w, "HTTP/1.0 500 Oh\r\n\r\nuntil the end")
	case "cut":
		writeRaw(w, "")
	case "garbage":
		writeRaw(w, "what?\r\n\r\n")
	default:
		_, _ = io.WriteString(w, "made")
	}
}

// A request is sent once more if the scheduler closed the connection before reading it, and not if the scheduler has read
// it and closed the connection without a response.
func TestRequestIsResentAfterReset(t *testing.T) {
	r := newTestDriver(t, Options{})
	l, err := net.Listen("tcp", r.d.schedulers[0].listen.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	respond := func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
	request := func(call string) {
		r.carryOut(simapi.Input{Message: simapi.RequestReceived{Conn: 1, Request: &simapi.ClientRequest{RequestID: call, BodyLength: 10}}})
	}
	r.d.post(func() { r.d.schedulers[0].alive, r.d.schedulers[0].incarnation = true, 2 })
	request("a")
	c, _ := l.Accept()
	respond(c)
	expectOutput[simapi.ResponseWritten](r)
	request("b")
	_, _ = c.Read(make([]byte, 1)) // leaves the rest unread, so that closing resets the connection
	_ = c.Close()
	if c, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	respond(c)
	if o := expectOutput[simapi.ResponseWritten](r); o.RequestID != "b" {
		t.Errorf("response to the request that was sent again: %+v, want one to b", o)
	}
	request("c")
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Error(err)
	}
	b := make([]byte, 4096)
	for got := ""; !strings.Contains(got, "\r\n\r\nc"); {
		n, _ := c.Read(b)
		got += string(b[:n])
	}
	_ = c.Close()
	expectOutput[simapi.ClientConnClosed](r)
}

// schedulerConn is the scheduler's end, in the test, of a connection to a worker.
type schedulerConn struct {
	net.Conn
	r  *testDriver
	in *bufio.Reader
}

func (r *testDriver) connect(node int) *schedulerConn {
	r.Helper()
	c, err := net.DialTimeout("tcp", r.d.addresses.worker(node, 0).String(), 10*time.Second)
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	return &schedulerConn{c, r, bufio.NewReader(c)}
}

// status reads a response and returns its status, or 0 if the connection has ended without one.
func (s *schedulerConn) status() int {
	a, err := http.ReadResponse(s.in, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode
}

func requestText(call, key, body string) string {
	return fmt.Sprintf("POST /account-credit/%s HTTP/1.1\r\nHost: w\r\nX-Call-Id: %s\r\nIdempotency-Key: %s\r\n"+
		"X-Budget-Ms: 77\r\nContent-Length: %d\r\n\r\n%s", key, call, key, len(body), body)
}

// A worker passes requests on to the environment, and responds by itself only where the protocol alone determines the
// response.
func TestWorkers(t *testing.T) {
	r := newTestDriver(t, Options{})
	s := r.connect(1)
	dial := expectOutput[simapi.WorkerDialed](r)
	if dial.Worker != 1 || dial.Conn != simapi.WorkerConn(0, 1) {
		t.Fatalf("first connection: %+v, want one to worker 1", dial)
	}
	up := simapi.Input{Message: simapi.WorkerConnected{Conn: dial.Conn}}
	body := string(appendBody(nil, "c1", 40))
	r.d.post(func() {
		r.d.requestForms.add(&simapi.ClientRequest{RequestID: "c1", Class: 3, IdempotencyKey: "k1", BodyLength: 40}, 0)
	})
	_, _ = io.WriteString(s, requestText("c1", "k1", body)) // waits until the environment accepts the connection
	r.carryOut(up)
	o := expectOutput[simapi.AttemptWritten](r)
	if o.RequestID != "c1" || o.IdempotencyKey != "k1" || o.Budget != 77*time.Millisecond || o.Worker != 1 || o.FirstByteAt <= 0 {
		t.Errorf("attempt reported to the environment: %+v", o)
	}
	s.respond(dial.Conn, 202)
	if got := s.status(); got != 202 {
		t.Errorf("202: %d", got)
	}
	s.checkForwarded(dial.Conn, body)
	s.checkDirectResponses(body)
	_, _ = io.WriteString(s, "what?\r\n\r\n")
	if got := s.status(); got != 400 || s.status() != 0 {
		t.Errorf("garbage: %d", got)
	}
	expectOutput[simapi.WorkerConnClosed](r)
}

// respond has the environment respond to the last request.
func (s *schedulerConn) respond(conn simapi.Conn, status int) {
	s.r.carryOut(simapi.Input{Message: simapi.ResponseReceived{Conn: conn, Status: status, Rejected: status == 503}})
}

// checkForwarded sends requests that the worker passes on to the environment, and checks the outputs and the responses.
func (s *schedulerConn) checkForwarded(conn simapi.Conn, body string) {
	s.r.Helper()
	for _, x := range []struct {
		text string
		want simapi.OutputMessage // without FirstByteAt
	}{
		{requestText("c1", "k1", body[:39]+"!"), attempt(conn, "c1!body", "k1")},
		{requestText("c1", "k2", body), attempt(conn, "c1!path", "k2")},
		{requestText("unknown", "k2", "x"), attempt(conn, "unknown", "k2")},
		{"GET /alive HTTP/1.1\r\nHost: w\r\n\r\n", simapi.HealthCheckWritten{Worker: 1, Conn: conn}},
		{"GET /metrics/load HTTP/1.1\r\nHost: w\r\n\r\n", simapi.HealthCheckWritten{Worker: 1, Conn: conn, WantsLoadReport: true}},
		{"DELETE /jobs/c1 HTTP/1.1\r\nHost: w\r\n\r\n", simapi.CancellationWritten{Worker: 1, Conn: conn, RequestID: "c1"}},
	} {
		_, _ = io.WriteString(s, x.text)
		if got := withoutFirstByte(s.r.nextOutput().Message); got != x.want {
			s.r.Errorf("%s: unexpected output %+v", x.text, got)
		}
		s.respond(conn, 503)
		a, err := http.ReadResponse(s.in, nil)
		if err != nil || a.StatusCode != 503 || a.Header.Get("X-Rejected") != "1" {
			s.r.Errorf("%s: got response %v, %v, want a rejection with 503", x.text, a, err)
		}
	}
}

// attempt is the output of worker 1 for an attempt of requestText, without FirstByteAt.
func attempt(conn simapi.Conn, call, key string) simapi.OutputMessage {
	return simapi.AttemptWritten{Worker: 1, Conn: conn, RequestID: call, IdempotencyKey: key, Budget: 77 * time.Millisecond}
}

// withoutFirstByte returns a message with FirstByteAt cleared.
func withoutFirstByte(message simapi.OutputMessage) simapi.OutputMessage {
	switch m := message.(type) {
	case simapi.AttemptWritten:
		m.FirstByteAt = 0
		return m
	case simapi.HealthCheckWritten:
		m.FirstByteAt = 0
		return m
	case simapi.CancellationWritten:
		m.FirstByteAt = 0
		return m
	}
	return message
}

// checkDirectResponses checks the responses that the worker sends without the environment.
func (s *schedulerConn) checkDirectResponses(body string) {
	s.r.Helper()
	for request, status := range map[string]int{
		"GET /else HTTP/1.1\r\nHost: w\r\n\r\n":                             404,
		"POST /account-credit/k HTTP/1.1\r\nHost: w\r\n\r\n":                404, // without an id
		strings.Replace(requestText("c1", "k1", body), "77", "soon", 1):     400,
		requestText("any", misbehavingPrefix+"1", "x"):                      400, // a misbehaving client's
		strings.Replace(requestText("c1", "k1", body), "POST", "DELETE", 1): 404,
	} {
		_, _ = io.WriteString(s, request)
		if got := s.status(); got != status {
			s.r.Errorf("%s: got status %d, want %d", request, got, status)
		}
	}
}

// The environment can close a worker's connection, and reset it after a number of bytes of a request or of a response.
func TestWorkerConnEnds(t *testing.T) {
	r := newTestDriver(t, Options{})
	request := requestText("x", "k", "body")
	// Reset after a number of bytes of the request.
	for most, notified := range map[int]bool{10: false, len(request): true} {
		s := r.connect(0)
		conn := expectOutput[simapi.WorkerDialed](r).Conn
		_, _ = io.WriteString(s, request)
		r.carryOut(simapi.Input{Message: simapi.WorkerConnected{Conn: conn, ResetAfter: most}})
		if notified {
			expectOutput[simapi.AttemptWritten](r)
		}
		expectOutput[simapi.WorkerConnClosed](r)
		if _, err := s.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("reset after %d bytes: %v", most, err)
		}
	}
	// Reset after a number of bytes of the response.
	s := r.connect(0)
	conn := expectOutput[simapi.WorkerDialed](r).Conn
	r.carryOut(simapi.Input{Message: simapi.WorkerConnected{Conn: conn}})
	_, _ = io.WriteString(s, request)
	expectOutput[simapi.AttemptWritten](r)
	r.carryOut(simapi.Input{Message: simapi.ResponseReceived{Conn: conn, Status: 202, Bytes: 9}})
	if b, err := io.ReadAll(s.in); string(b) != "HTTP/1.1 " || !errors.Is(err, syscall.ECONNRESET) {
		// A reset may overtake bytes that were written before it, as on any network.
		if !errors.Is(err, syscall.ECONNRESET) || len(b) > 0 {
			t.Errorf("response that is reset after 9 bytes: read %q, %v", b, err)
		}
	}
	expectOutput[simapi.WorkerConnClosed](r)
	// Closed by the environment, and by the scheduler.
	for _, reset := range []bool{false, true} {
		s := r.connect(0)
		r.carryOut(simapi.Input{Message: simapi.WorkerDisconnected{Conn: expectOutput[simapi.WorkerDialed](r).Conn, Reset: reset}})
		if _, err := s.Read(make([]byte, 1)); errors.Is(err, syscall.ECONNRESET) != reset {
			t.Errorf("reset %v: %v", reset, err)
		}
	}
	_ = r.connect(0).Close()
	expectOutput[simapi.WorkerDialed](r)
	expectOutput[simapi.WorkerConnClosed](r)
}

const silentDialTimeout = 50 * time.Millisecond // of a dial that gets no reply

// A worker refuses or ignores new connections by its mode, and accepts them again; open connections are not affected.
func TestAcceptModes(t *testing.T) {
	r := newTestDriver(t, Options{})
	s := r.connect(0)
	conn := expectOutput[simapi.WorkerDialed](r).Conn
	r.carryOut(simapi.Input{Message: simapi.WorkerConnected{Conn: conn}})
	setMode := func(machine, mode int) {
		done := make(chan struct{})
		r.carryOut(simapi.Input{Message: simapi.AcceptModeChanged{Worker: 0, Machine: machine, Mode: mode}})
		r.d.post(func() { close(done) })
		<-done
	}
	at := r.d.addresses.worker(0, 0).String()
	for _, mode := range []int{simapi.AcceptNone, simapi.AcceptSilently, simapi.AcceptNone, simapi.AcceptSilently} {
		setMode(0, mode)
		timeout := time.Minute // a refusal may be late on a busy machine
		if mode == simapi.AcceptSilently {
			timeout = silentDialTimeout
		}
		_, err := net.DialTimeout("tcp", at, timeout)
		var late net.Error
		refused, silent := errors.Is(err, syscall.ECONNREFUSED), errors.As(err, &late) && late.Timeout()
		if refused != (mode == simapi.AcceptNone) || silent != (mode == simapi.AcceptSilently) {
			t.Errorf("mode %d: %v", mode, err)
		}
		_, _ = io.WriteString(s, "GET /alive HTTP/1.1\r\nHost: w\r\n\r\n")
		expectOutput[simapi.HealthCheckWritten](r)
		r.carryOut(simapi.Input{Message: simapi.ResponseReceived{Conn: conn, Status: 200}})
		if s.status() != 200 {
			t.Errorf("mode %d: no response on the open connection", mode)
		}
	}
	setMode(0, simapi.AcceptAll)
	r.connect(0)
	expectOutput[simapi.WorkerDialed](r)
	// The machine that replaces the first one has another address, and the first address accepts no connection.
	setMode(0, simapi.AcceptSilently)
	setMode(1, simapi.AcceptAll)
	r.connect(2 + 0)
	if o := expectOutput[simapi.WorkerDialed](r); o.Worker != 0 || o.Machine != 1 {
		t.Errorf("dialling the second machine: %+v", o)
	}
	if _, err := net.DialTimeout("tcp", at, silentDialTimeout); err == nil {
		t.Error("the first machine still accepts connections")
	}
}

// The outcome of each callback is reported to the environment, also if there is no response.
func TestCallbacks(t *testing.T) {
	r := newTestDriver(t, Options{})
	result := "made"
	sendCallback := func(id uint64, state string) {
		n := &requests.Callback{CallID: "c", EndpointID: "w-1", State: state}
		if state == "done" {
			n.Result = &result
		}
		r.carryOut(simapi.Input{Message: simapi.CallbackReceived{Worker: 1, CallbackID: id, Callback: n}})
	}
	expectAnswer := func(id uint64, status int) {
		t.Helper()
		if o := expectOutput[simapi.CallbackAnswered](r); o.CallbackID != id || o.Status != status || o.Worker != 1 {
			t.Errorf("outcome of a callback: %+v, want callback %d with status %d", o, id, status)
		}
	}
	sendCallback(1, "done")
	expectAnswer(1, 0) // no scheduler listens yet
	mux := http.NewServeMux()
	hang := make(chan struct{})
	mux.HandleFunc("POST /v1/job-events", func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)
		switch text := string(b); {
		case text == `{"id":"c","from":"w-1","state":"done","result":"made"}`:
			w.WriteHeader(204)
		case strings.Contains(text, "lost"):
			writeRaw(w, "")
		case strings.Contains(text, "failed"):
			<-hang
		default:
			w.WriteHeader(400)
		}
	})
	r.serve(mux)
	t.Cleanup(func() { close(hang) })
	for id, x := range map[uint64]struct {
		state   string
		status  int
		timeout time.Duration // a minute where a response is expected, as the machine may be busy
	}{2: {"done", 204, time.Minute}, 3: {"started", 400, time.Minute}, 4: {"lost", 0, time.Minute}, 5: {"failed", 0, 0}} {
		r.d.post(func() { r.d.callbackTimeout = x.timeout })
		sendCallback(id, x.state)
		expectAnswer(id, x.status)
	}
	r.d.post(func() { r.d.callbackTimeout = time.Minute })
	// Each of many callbacks has its outcome, although only maxCallbackCalls are in flight at a time.
	for id := uint64(10); id < 60; id++ {
		sendCallback(id, "done")
	}
	got := map[uint64]int{}
	for range 50 {
		o := expectOutput[simapi.CallbackAnswered](r)
		got[o.CallbackID] = o.Status
	}
	if len(got) != 50 || got[10] != 204 || got[59] != 204 {
		t.Errorf("statuses of 50 callbacks at once: %v", got)
	}
}

// Discovery sends a watch the lists and heartbeats of the environment, with the addresses for the watch's scheduler, and
// ends the watch by a reset.
func TestDiscovery(t *testing.T) {
	r := newTestDriver(t, Options{})
	request := func(at netip.AddrPort, path string) (*http.Response, *bufio.Reader) {
		c, err := net.Dial("tcp", at.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(30 * time.Second))
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: d\r\n\r\n", path)
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		return a, bufio.NewReader(a.Body)
	}
	list := &requests.EndpointList{Revision: 43, Endpoints: []requests.Endpoint{
		{ID: "w-1.1", Zone: "a", MachineType: "m", Lifecycle: "up", Weight: 1},
	}}
	wantLine := fmt.Sprintf(`{"generation":43,"reset":false,"instances":[{"instanceId":"w-1.1","hostPort":"%v","zone":"a",`+
		`"machineType":"m","cell":0,"lifecycle":"up","weight":1,"startedAtMs":0}]}`,
		r.d.addresses.worker(2+1, 0)) // the second machines' addresses follow those of the two workers' first machines
	go func() {
		if o := expectOutput[simapi.WatchRequested](r); o.Revision != 41 {
			t.Errorf("request for a watch: %+v, want revision 41", o)
		}
		received := simapi.Input{Message: simapi.ListReceived{List: list}}
		r.carryOut(received, simapi.Input{Message: simapi.WatchHeartbeat{}}, received)
	}()
	_, lines := request(r.d.addresses.discovery(0, 0), "/discovery/hosts?stream=1&index=41")
	for _, x := range []string{wantLine, "", wantLine} {
		if line, err := lines.ReadString('\n'); err != nil || line != x+"\n" {
			t.Errorf("line of the watch: %q, %v, want %q", line, err, x)
		}
	}
	r.carryOut(simapi.Input{Message: simapi.WatchEnded{}})
	if _, err := lines.ReadString('\n'); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("ended: %v", err)
	}
	// At another address, to which the environment moves discovery: a watch that is rejected, a snapshot, and malformed
	// requests.
	r.carryOut(
		simapi.Input{Message: simapi.DiscoveryAcceptModeChanged{Discovery: 1, Mode: simapi.AcceptAll}},
		simapi.Input{Message: simapi.DiscoveryAcceptModeChanged{Mode: simapi.AcceptNone}},
	)
	notified := make(chan struct{})
	r.d.post(func() { close(notified) })
	<-notified
	if _, err := net.Dial("tcp", r.d.addresses.discovery(0, 0).String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dialling the old address: %v", err)
	}
	go func() {
		expectOutput[simapi.WatchRequested](r)
		r.carryOut(simapi.Input{Message: simapi.WatchEnded{}})
		if o := expectOutput[simapi.WatchRequested](r); o.Revision != 0 {
			t.Errorf("request for a snapshot: %+v, want revision 0", o)
		}
		r.carryOut(simapi.Input{Message: simapi.ListReceived{List: list}})
	}()
	if a, _ := request(r.d.addresses.discovery(1, 0), "/discovery/hosts?stream=1&index=43"); a.StatusCode != 503 {
		t.Errorf("a watch that is rejected: %d", a.StatusCode)
	}
	a, body := request(r.d.addresses.discovery(1, 0), "/discovery/hosts")
	if text, _ := io.ReadAll(body); a.StatusCode != 200 || string(text) != wantLine {
		t.Errorf("snapshot: status %d, body %s", a.StatusCode, text)
	}
	for path, status := range map[string]int{"/else": 404, "/discovery/hosts?stream=1&index=x": 400} {
		if a, _ := request(r.d.addresses.discovery(1, 0), path); a.StatusCode != status {
			t.Errorf("GET %s: status %d", path, a.StatusCode)
		}
	}
}

// Misbehaving clients of every kind report a response or a closed connection, at a server that rejects every request.
func TestMisbehavingClients(t *testing.T) {
	r := newTestDriver(t, Options{})
	var lock sync.Mutex
	sent := map[string]int{}
	r.serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		lock.Lock()
		sent[q.URL.Path[strings.LastIndexByte(q.URL.Path, '/')+1:]]++
		lock.Unlock()
		w.WriteHeader(400)
	}))
	kinds := map[simapi.Conn]string{}
	for i, kind := range scenario.MisbehaviorKinds {
		conn := simapi.Conn(i + 1)
		kinds[conn] = kind
		r.carryOut(simapi.Input{Message: simapi.ClientMisbehaves{Conn: conn, Kind: kind, Number: 1, RequestID: "open"}})
	}
	for len(kinds) > 0 {
		conn := simapi.Conn(0)
		o := r.nextOutput()
		switch message := o.Message.(type) {
		case simapi.ClientConnClosed:
			conn = message.Conn
		case simapi.ResponseWritten:
			if conn = message.Conn; message.Status < 400 {
				t.Errorf("%s: want an error status, got %+v", kinds[conn], o)
			}
		default:
			t.Fatalf("unexpected output of type %T: %+v", o.Message, o)
		}
		delete(kinds, conn)
	}
	lock.Lock()
	defer lock.Unlock()
	at := func(kind string) string {
		for i, k := range scenario.MisbehaviorKinds {
			if k == kind {
				return misbehavingPrefix + string("0123456789abcdefghijklmnopqrstuvwxyz"[i+1]) + "-0"
			}
		}
		return ""
	}
	// net/http reads the smuggled request by its chunks, and so sees the hidden one as a second request.
	insist, stolen, garbage := sent[at("insist")], sent[at("stolen_id")], sent[at("garbage")]
	hidden := sent[hiddenPrefix+strings.TrimSuffix(at("smuggle"), "0")+"1"]
	if insist == 0 || stolen != 1 || garbage != 0 || hidden != 1 {
		t.Errorf("insist %d, stolen_id %d, garbage %d, hidden %d", insist, stolen, garbage, hidden)
	}
}

// With Options.Guests, a request that no client of the environment has sent runs without the environment.
func TestGuests(t *testing.T) {
	r := newTestDriver(t, Options{Guests: true})
	callbacks := make(chan string, 4)
	r.serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)
		callbacks <- string(b)
		w.WriteHeader(204)
	}))
	s := r.connect(0)
	r.carryOut(simapi.Input{Message: simapi.WorkerConnected{Conn: expectOutput[simapi.WorkerDialed](r).Conn}})
	_, _ = io.WriteString(s, requestText("mine", "k", "x"))
	status, started, done := s.status(), <-callbacks, <-callbacks
	if status != 202 || !strings.Contains(started, "started") || !strings.Contains(done, `"done","result":"mine ran`) {
		t.Error(status, started, done)
	}
}

// ---- Processes ----

// TestMain also runs the test's program as the fake scheduler of TestProcesses, which sends a request to discovery at its
// start and at SIGHUP, and exits with 7 at SIGTERM.
func TestMain(m *testing.M) {
	if os.Getenv("LIVE_FAKE") == "" {
		os.Exit(m.Run())
	}
	os.Exit(fakeScheduler())
}

// A scheduler's process is started, sampled, signalled, reloaded and killed, and its exit is reported. No goroutine is left
// after the run.
func TestProcesses(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("run", testProcesses)
	// Goroutines may take a moment to end. If one does not end, the test times out here.
	for runtime.NumGoroutine() > before {
		runtime.Gosched()
	}
}

func testProcesses(t *testing.T) {
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var usage trace.Event
	sampled := make(chan struct{})
	r := newTestDriver(t, Options{Binary: exe, Env: []string{"LIVE_FAKE=1"}, Cores: []int{0}, Observer: func(s *trace.Event) {
		if s.Kind == trace.ResourceUsage && s.Scheduler == 0 && usage.Kind == 0 {
			usage = *s
			close(sampled)
		}
	}})
	known := requests.EndpointList{Revision: 9, Endpoints: []requests.Endpoint{{ID: "w-1", Lifecycle: "up"}}}
	start := simapi.Start{Name: "s1", Seed: 5, KnownEndpoints: known}
	r.carryOut(simapi.Input{Message: start})
	r.expectPoll(9, true) // the revision that it was started with
	<-sampled
	if usage.Memory <= 0 || usage.OpenFiles <= 0 || usage.CPU <= 0 {
		t.Errorf("sample of the process lacks memory, descriptors or processor time: %+v", usage)
	}
	r.carryOut(simapi.Input{Message: simapi.Freeze{}}, simapi.Input{Message: simapi.Resume{}}, simapi.Input{Message: simapi.Reload{Discovery: 1}})
	r.expectPoll(9, false)
	r.carryOut(simapi.Input{Message: simapi.Terminate{}})
	if o := expectOutput[simapi.Exited](r); o.Status != 7 {
		t.Errorf("exit after SIGTERM: %+v, want status 7", o)
	}
	start.KnownEndpoints.Revision = 10
	r.carryOut(simapi.Input{Message: start})
	r.expectPoll(10, true)
	r.carryOut(simapi.Input{Message: simapi.Freeze{}}, simapi.Input{Message: simapi.Kill{}}) // no exit is reported
	r.carryOut(simapi.Input{Message: start})
	r.expectPoll(10, true)
	log, err := os.ReadFile(r.d.schedulers[0].log.path)
	text := string(log)
	if err != nil || strings.Count(text, "begins") != 3 || !strings.Contains(text, "discovery moved") {
		t.Errorf("log %s, %v", log, err)
	}
}

// expectPoll expects a scheduler's request to discovery for the changes after a revision and, if ready is set, its readiness,
// in any order.
func (r *testDriver) expectPoll(after int64, ready bool) {
	r.Helper()
	for sent := false; !sent || ready; {
		o := r.nextOutput()
		_, isReady := o.Message.(simapi.Ready)
		switch {
		case isReady && ready:
			ready = false
		case !sent && o.Message == simapi.OutputMessage(simapi.WatchRequested{Revision: after}):
			sent = true
		default:
			r.Fatalf("unexpected output while waiting for a request to discovery or readiness: %+v", o)
		}
	}
}
