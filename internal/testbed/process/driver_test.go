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

// rig is a driver whose world is the test: it gets what comes, and says what is done.
type rig struct {
	*testing.T
	d    *driver
	outs chan simapi.Output
}

func (r *rig) Next() (time.Duration, bool) { return 0, false }
func (r *rig) Finished() bool              { return false }

func (r *rig) Step(_ time.Duration, outs []simapi.Output, dst []simapi.Input) []simapi.Input {
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

func newRig(t *testing.T, opt Options) *rig {
	t.Helper()
	opt.Dir, opt.StayOpen = t.TempDir(), true
	d, err := newDriver(testSpec(t, ""), opt)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t, d, make(chan simapi.Output, 1<<14)}
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

// do has something done to schedulers.
func (r *rig) do(ins ...simapi.Input) {
	r.d.post(func() {
		for _, in := range ins {
			r.d.carryOut(&in)
		}
	})
}

// next is what comes next from schedulers.
func (r *rig) next() simapi.Output {
	r.Helper()
	select {
	case o := <-r.outs:
		return o
	case <-time.After(30 * time.Second):
		r.Fatal("what was to come has not come")
	}
	return simapi.Output{}
}

// want is what comes next from schedulers, which must be of a type.
func want[T simapi.OutputMessage](r *rig) T {
	r.Helper()
	o := r.next()
	message, ok := o.Message.(T)
	if !ok {
		r.Fatalf("got %T %+v, expected %T", o.Message, o, message)
	}
	return message
}

// serve serves HTTP where a scheduler would.
func (r *rig) serve(h http.Handler) {
	l, err := net.Listen("tcp", r.d.schedulers[0].listen.String())
	if err != nil {
		r.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadTimeout: 300 * time.Millisecond, MaxHeaderBytes: 16 << 10}
	go func() { _ = s.Serve(l) }()
	r.Cleanup(func() { _ = s.Close() })
}

// raw answers with just these bytes and closes.
func raw(w http.ResponseWriter, text string) {
	c, _, _ := w.(http.Hijacker).Hijack()
	_, _ = io.WriteString(c, text)
	_ = c.Close()
}

// Clients write requests as the protocol shows them, and take answers in any framing.
func TestClients(t *testing.T) {
	r := newRig(t, Options{})
	r.sendRequest(1, "nobody")
	want[simapi.ClientConnFailed](r)
	r.serve(framingHandler(t))
	for i, x := range []struct {
		call, result string
		status       int // 0: the connection ends instead
		after        time.Duration
		ends         bool // and with the answer
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
		conn := simapi.Conn(2 + max(0, i-4)) // the first five share one
		r.sendRequest(conn, x.call)
		if x.status > 0 {
			o := want[simapi.ResponseWritten](r)
			if o != (simapi.ResponseWritten{Conn: conn, RequestID: x.call, Status: x.status, Result: x.result, RetryAfter: x.after}) {
				t.Errorf("%s: %+v", x.call, o)
			}
		}
		if x.status == 0 || x.ends {
			if o := want[simapi.ClientConnClosed](r); o.Conn != conn {
				t.Errorf("%s: %+v", x.call, o)
			}
		}
	}
}

// sendRequest has a client send a request with all that one may have.
func (r *rig) sendRequest(conn simapi.Conn, call string) {
	r.do(simapi.Input{Message: simapi.RequestReceived{Conn: conn, Request: &simapi.ClientRequest{
		RequestID: call, Class: 3, Tenant: 1, IdempotencyKey: "k-" + call,
		Budget: 480*time.Millisecond + 700, CostHint: 12 * time.Millisecond, Slots: 2, BodyLength: 300, Retry: true,
	}}})
}

// framingHandler checks the requests of sendRequest, and answers them in all framings, by their ids.
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
				t.Errorf("%s: %q, expected %q", name, got, value)
			}
		}
		if len(body) != 300 || !strings.HasPrefix(string(body), call) {
			t.Errorf("body %q", body)
		}
		answerFramed(w, call)
	})
	return mux
}

func answerFramed(w http.ResponseWriter, call string) {
	switch call {
	case "chunked":
		_, _ = io.WriteString(w, "made in ")
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, "chunks")
	case "refused":
		w.Header().Set("Retry-After", "0.25")
		w.WriteHeader(503)
	case "interim":
		raw(w, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	case "unframed":
		raw(w, "HTTP/1.0 500 Oh\r\n\r\nuntil the end")
	case "cut":
		raw(w, "")
	case "garbage":
		raw(w, "what?\r\n\r\n")
	default:
		_, _ = io.WriteString(w, "made")
	}
}

// A request that crosses the close of its connection is sent once more; one that was read and dropped is not.
func TestCrossedClose(t *testing.T) {
	r := newRig(t, Options{})
	l, err := net.Listen("tcp", r.d.schedulers[0].listen.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	answer := func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
	request := func(call string) {
		r.do(simapi.Input{Message: simapi.RequestReceived{Conn: 1, Request: &simapi.ClientRequest{RequestID: call, BodyLength: 10}}})
	}
	r.d.post(func() { r.d.schedulers[0].alive, r.d.schedulers[0].incarnation = true, 2 })
	request("a")
	c, _ := l.Accept()
	answer(c)
	want[simapi.ResponseWritten](r)
	request("b")
	_, _ = c.Read(make([]byte, 1)) // the rest stays unread, so that the close is a reset
	_ = c.Close()
	if c, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	answer(c)
	if o := want[simapi.ResponseWritten](r); o.RequestID != "b" {
		t.Errorf("%+v", o)
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
	want[simapi.ClientConnClosed](r)
}

// scheduler is the test's end of a link to a worker.
type schedEnd struct {
	net.Conn
	r  *rig
	in *bufio.Reader
}

func (r *rig) connect(node int) *schedEnd {
	r.Helper()
	c, err := net.DialTimeout("tcp", r.d.addresses.worker(node, 0).String(), 10*time.Second)
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	return &schedEnd{c, r, bufio.NewReader(c)}
}

// status reads an answer; 0: the link ended without one.
func (s *schedEnd) status() int {
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

// A worker tells the environment of what comes, and answers by itself only what the protocol leaves no doubt about.
func TestNodes(t *testing.T) {
	r := newRig(t, Options{})
	s := r.connect(1)
	dial := want[simapi.WorkerDialed](r)
	if dial.Worker != 1 || dial.Conn != simapi.WorkerConn(0, 1) {
		t.Fatalf("%+v", dial)
	}
	up := simapi.Input{Message: simapi.WorkerConnected{Conn: dial.Conn}}
	body := string(appendBody(nil, "c1", 40))
	r.d.post(func() {
		r.d.requestForms.add(&simapi.ClientRequest{RequestID: "c1", Class: 3, IdempotencyKey: "k1", BodyLength: 40}, 0)
	})
	_, _ = io.WriteString(s, requestText("c1", "k1", body)) // the environment has not accepted yet: this waits
	r.do(up)
	o := want[simapi.AttemptWritten](r)
	if o.RequestID != "c1" || o.IdempotencyKey != "k1" || o.Budget != 77*time.Millisecond || o.Worker != 1 || o.FirstByteAt <= 0 {
		t.Errorf("%+v", o)
	}
	s.answer(dial.Conn, 202)
	if got := s.status(); got != 202 {
		t.Errorf("202: %d", got)
	}
	s.checkForwarded(dial.Conn, body)
	s.checkAnsweredByItself(body)
	_, _ = io.WriteString(s, "what?\r\n\r\n")
	if got := s.status(); got != 400 || s.status() != 0 {
		t.Errorf("garbage: %d", got)
	}
	want[simapi.WorkerConnClosed](r)
}

// answer has the environment answer what was read last.
func (s *schedEnd) answer(conn simapi.Conn, status int) {
	s.r.do(simapi.Input{Message: simapi.ResponseReceived{Conn: conn, Status: status, Rejected: status == 503}})
}

// checkForwarded checks what the worker passes on to the environment.
func (s *schedEnd) checkForwarded(conn simapi.Conn, body string) {
	s.r.Helper()
	for _, x := range []struct {
		text string
		want simapi.OutputMessage // but for the first byte's instant
	}{
		{requestText("c1", "k1", body[:39]+"!"), attempt(conn, "c1!body", "k1")},
		{requestText("c1", "k2", body), attempt(conn, "c1!path", "k2")},
		{requestText("unknown", "k2", "x"), attempt(conn, "unknown", "k2")},
		{"GET /alive HTTP/1.1\r\nHost: w\r\n\r\n", simapi.HealthCheckWritten{Worker: 1, Conn: conn}},
		{"GET /metrics/load HTTP/1.1\r\nHost: w\r\n\r\n", simapi.HealthCheckWritten{Worker: 1, Conn: conn, WantsLoadReport: true}},
		{"DELETE /jobs/c1 HTTP/1.1\r\nHost: w\r\n\r\n", simapi.CancellationWritten{Worker: 1, Conn: conn, RequestID: "c1"}},
	} {
		_, _ = io.WriteString(s, x.text)
		if got := withoutFirstByte(s.r.next().Message); got != x.want {
			s.r.Errorf("%s: %+v", x.text, got)
		}
		s.answer(conn, 503)
		a, err := http.ReadResponse(s.in, nil)
		if err != nil || a.StatusCode != 503 || a.Header.Get("X-Rejected") != "1" {
			s.r.Errorf("%s: %v, %v", x.text, a, err)
		}
	}
}

// attempt is an attempt of requestText, as worker 1 passes it on.
func attempt(conn simapi.Conn, call, key string) simapi.OutputMessage {
	return simapi.AttemptWritten{Worker: 1, Conn: conn, RequestID: call, IdempotencyKey: key, Budget: 77 * time.Millisecond}
}

// withoutFirstByte is a message without the instant of its first byte.
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

// checkAnsweredByItself checks what the worker answers without the environment.
func (s *schedEnd) checkAnsweredByItself(body string) {
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
			s.r.Errorf("%s: %d, expected %d", request, got, status)
		}
	}
}

// The environment resets links at any byte, and closes them.
func TestLinkEnds(t *testing.T) {
	r := newRig(t, Options{})
	request := requestText("x", "k", "body")
	// Reset after so many bytes read.
	for most, notified := range map[int]bool{10: false, len(request): true} {
		s := r.connect(0)
		conn := want[simapi.WorkerDialed](r).Conn
		_, _ = io.WriteString(s, request)
		r.do(simapi.Input{Message: simapi.WorkerConnected{Conn: conn, ResetAfter: most}})
		if notified {
			want[simapi.AttemptWritten](r)
		}
		want[simapi.WorkerConnClosed](r)
		if _, err := s.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("reset after %d bytes: %v", most, err)
		}
	}
	// Reset after so many bytes of the answer.
	s := r.connect(0)
	conn := want[simapi.WorkerDialed](r).Conn
	r.do(simapi.Input{Message: simapi.WorkerConnected{Conn: conn}})
	_, _ = io.WriteString(s, request)
	want[simapi.AttemptWritten](r)
	r.do(simapi.Input{Message: simapi.ResponseReceived{Conn: conn, Status: 202, Bytes: 9}})
	if b, err := io.ReadAll(s.in); string(b) != "HTTP/1.1 " || !errors.Is(err, syscall.ECONNRESET) {
		// A reset may overtake what was written before it, as on any network.
		if !errors.Is(err, syscall.ECONNRESET) || len(b) > 0 {
			t.Errorf("%q, %v", b, err)
		}
	}
	want[simapi.WorkerConnClosed](r)
	// Closed by the environment, and by the scheduler.
	for _, reset := range []bool{false, true} {
		s := r.connect(0)
		r.do(simapi.Input{Message: simapi.WorkerDisconnected{Conn: want[simapi.WorkerDialed](r).Conn, Reset: reset}})
		if _, err := s.Read(make([]byte, 1)); errors.Is(err, syscall.ECONNRESET) != reset {
			t.Errorf("reset %v: %v", reset, err)
		}
	}
	_ = r.connect(0).Close()
	want[simapi.WorkerDialed](r)
	want[simapi.WorkerConnClosed](r)
}

// silentDialTimeout is how long a dial waits that nobody answers.
const silentDialTimeout = 50 * time.Millisecond

// Refused, never up, and accepting again; what is open goes on meanwhile.
func TestAcceptModes(t *testing.T) {
	r := newRig(t, Options{})
	s := r.connect(0)
	conn := want[simapi.WorkerDialed](r).Conn
	r.do(simapi.Input{Message: simapi.WorkerConnected{Conn: conn}})
	receive := func(machine, mode int) {
		done := make(chan struct{})
		r.do(simapi.Input{Message: simapi.AcceptModeChanged{Worker: 0, Machine: machine, Mode: mode}})
		r.d.post(func() { close(done) })
		<-done
	}
	at := r.d.addresses.worker(0, 0).String()
	for _, mode := range []int{simapi.AcceptNone, simapi.AcceptSilently, simapi.AcceptNone, simapi.AcceptSilently} {
		receive(0, mode)
		timeout := time.Minute // a refusal comes when it comes; a busy machine may be late with it
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
		want[simapi.HealthCheckWritten](r)
		r.do(simapi.Input{Message: simapi.ResponseReceived{Conn: conn, Status: 200}})
		if s.status() != 200 {
			t.Errorf("mode %d: the open link has no answer", mode)
		}
	}
	receive(0, simapi.AcceptAll)
	r.connect(0)
	want[simapi.WorkerDialed](r)
	// The machine that takes its place is found elsewhere, and where the first was there is nobody.
	receive(0, simapi.AcceptSilently)
	receive(1, simapi.AcceptAll)
	r.connect(2 + 0)
	if o := want[simapi.WorkerDialed](r); o.Worker != 0 || o.Machine != 1 {
		t.Errorf("the second machine is dialled by %+v", o)
	}
	if _, err := net.DialTimeout("tcp", at, silentDialTimeout); err == nil {
		t.Error("the first machine is there still")
	}
}

// A callback is a call of its own, and its outcome is told whatever becomes of it.
func TestCallbacks(t *testing.T) {
	r := newRig(t, Options{})
	result := "made"
	tell := func(id uint64, state string) {
		n := &requests.Callback{CallID: "c", EndpointID: "w-1", State: state}
		if state == "done" {
			n.Result = &result
		}
		r.do(simapi.Input{Message: simapi.CallbackReceived{Worker: 1, CallbackID: id, Callback: n}})
	}
	acked := func(id uint64, status int) {
		t.Helper()
		if o := want[simapi.CallbackAnswered](r); o.CallbackID != id || o.Status != status || o.Worker != 1 {
			t.Errorf("%+v, expected callback %d with %d", o, id, status)
		}
	}
	tell(1, "done")
	acked(1, 0) // nobody listens
	mux := http.NewServeMux()
	hang := make(chan struct{})
	mux.HandleFunc("POST /v1/job-events", func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)
		switch text := string(b); {
		case text == `{"id":"c","from":"w-1","state":"done","result":"made"}`:
			w.WriteHeader(204)
		case strings.Contains(text, "lost"):
			raw(w, "")
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
		timeout time.Duration // the machine may stand still for a while
	}{2: {"done", 204, time.Minute}, 3: {"started", 400, time.Minute}, 4: {"lost", 0, time.Minute}, 5: {"failed", 0, 0}} {
		r.d.post(func() { r.d.callbackTimeout = x.timeout })
		tell(id, x.state)
		acked(id, x.status)
	}
	r.d.post(func() { r.d.callbackTimeout = time.Minute })
	// Of many at once each has its outcome, though only some are under way at a time.
	for id := uint64(10); id < 60; id++ {
		tell(id, "done")
	}
	got := map[uint64]int{}
	for range 50 {
		o := want[simapi.CallbackAnswered](r)
		got[o.CallbackID] = o.Status
	}
	if len(got) != 50 || got[10] != 204 || got[59] != 204 {
		t.Errorf("%v", got)
	}
}

// Discovery tells a watch all it has to tell, with the addresses that are the scheduler's, and ends it.
func TestDiscovery(t *testing.T) {
	r := newRig(t, Options{})
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
		r.d.addresses.worker(2+1, 0)) // after the first two
	go func() {
		if o := want[simapi.WatchRequested](r); o.Revision != 41 {
			t.Errorf("%+v", o)
		}
		received := simapi.Input{Message: simapi.ListReceived{List: list}}
		r.do(received, simapi.Input{Message: simapi.WatchHeartbeat{}}, received)
	}()
	_, lines := request(r.d.addresses.discovery(0, 0), "/discovery/hosts?stream=1&index=41")
	for _, x := range []string{wantLine, "", wantLine} {
		if line, err := lines.ReadString('\n'); err != nil || line != x+"\n" {
			t.Errorf("%q, %v, expected %q", line, err, x)
		}
	}
	r.do(simapi.Input{Message: simapi.WatchEnded{}})
	if _, err := lines.ReadString('\n'); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("ended: %v", err)
	}
	// At another address, once the environment has it there: a call that fails, the whole list, and what is no call.
	r.do(
		simapi.Input{Message: simapi.DiscoveryAcceptModeChanged{Discovery: 1, Mode: simapi.AcceptAll}},
		simapi.Input{Message: simapi.DiscoveryAcceptModeChanged{Mode: simapi.AcceptNone}},
	)
	notified := make(chan struct{})
	r.d.post(func() { close(notified) })
	<-notified
	if _, err := net.Dial("tcp", r.d.addresses.discovery(0, 0).String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the old address: %v", err)
	}
	go func() {
		want[simapi.WatchRequested](r)
		r.do(simapi.Input{Message: simapi.WatchEnded{}})
		if o := want[simapi.WatchRequested](r); o.Revision != 0 {
			t.Errorf("%+v", o)
		}
		r.do(simapi.Input{Message: simapi.ListReceived{List: list}})
	}()
	if a, _ := request(r.d.addresses.discovery(1, 0), "/discovery/hosts?stream=1&index=43"); a.StatusCode != 503 {
		t.Errorf("a call that fails: %d", a.StatusCode)
	}
	a, body := request(r.d.addresses.discovery(1, 0), "/discovery/hosts")
	if text, _ := io.ReadAll(body); a.StatusCode != 200 || string(text) != wantLine {
		t.Errorf("%d %s", a.StatusCode, text)
	}
	for path, status := range map[string]int{"/else": 404, "/discovery/hosts?stream=1&index=x": 400} {
		if a, _ := request(r.d.addresses.discovery(1, 0), path); a.StatusCode != status {
			t.Errorf("%s: %d", path, a.StatusCode)
		}
	}
}

// Misbehaving clients of every kind come to an end at a server that gives each an error, or closes.
func TestBadClients(t *testing.T) {
	r := newRig(t, Options{})
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
		r.do(simapi.Input{Message: simapi.ClientMisbehaves{Conn: conn, Kind: kind, Number: 1, RequestID: "open"}})
	}
	for len(kinds) > 0 {
		conn := simapi.Conn(0)
		o := r.next()
		switch message := o.Message.(type) {
		case simapi.ClientConnClosed:
			conn = message.Conn
		case simapi.ResponseWritten:
			if conn = message.Conn; message.Status < 400 {
				t.Errorf("%s: %+v", kinds[conn], o)
			}
		default:
			t.Fatalf("%T: %+v", o.Message, o)
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
	// By chunks, as net/http reads it, the smuggler's request is two.
	insist, stolen, garbage := sent[at("insist")], sent[at("stolen_id")], sent[at("garbage")]
	hidden := sent[hiddenPrefix+strings.TrimSuffix(at("smuggle"), "0")+"1"]
	if insist == 0 || stolen != 1 || garbage != 0 || hidden != 1 {
		t.Errorf("insist %d, stolen_id %d, garbage %d, hidden %d", insist, stolen, garbage, hidden)
	}
}

// Guests' requests are run without the environment.
func TestGuests(t *testing.T) {
	r := newRig(t, Options{Guests: true})
	callbacks := make(chan string, 4)
	r.serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)
		callbacks <- string(b)
		w.WriteHeader(204)
	}))
	s := r.connect(0)
	r.do(simapi.Input{Message: simapi.WorkerConnected{Conn: want[simapi.WorkerDialed](r).Conn}})
	_, _ = io.WriteString(s, requestText("mine", "k", "x"))
	status, started, done := s.status(), <-callbacks, <-callbacks
	if status != 202 || !strings.Contains(started, "started") || !strings.Contains(done, `"done","result":"mine ran`) {
		t.Error(status, started, done)
	}
}

// ---- Processes ----

// TestMain is also the scheduler of TestProcesses: one that asks discovery at its start and at SIGHUP, and ends with 7
// at SIGTERM.
func TestMain(m *testing.M) {
	if os.Getenv("LIVE_FAKE") == "" {
		os.Exit(m.Run())
	}
	os.Exit(fakeScheduler())
}

func TestProcesses(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("play", playProcesses)
	// What has ended may still be on its way out; what has not keeps the test from ending.
	for runtime.NumGoroutine() > before {
		runtime.Gosched()
	}
}

func playProcesses(t *testing.T) {
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var usage trace.Event
	looked := make(chan struct{})
	r := newRig(t, Options{Binary: exe, Env: []string{"LIVE_FAKE=1"}, Cores: []int{0}, Observer: func(s *trace.Event) {
		if s.Kind == trace.ResourceUsage && s.Scheduler == 0 && usage.Kind == 0 {
			usage = *s
			close(looked)
		}
	}})
	known := requests.EndpointList{Revision: 9, Endpoints: []requests.Endpoint{{ID: "w-1", Lifecycle: "up"}}}
	boot := simapi.Start{Name: "s1", Seed: 5, KnownEndpoints: known}
	r.do(simapi.Input{Message: boot})
	r.wantPoll(9, true) // the generation that it was started with
	<-looked
	if usage.Memory <= 0 || usage.OpenFiles <= 0 || usage.CPU <= 0 {
		t.Errorf("%+v", usage)
	}
	r.do(simapi.Input{Message: simapi.Freeze{}}, simapi.Input{Message: simapi.Resume{}}, simapi.Input{Message: simapi.Reload{Discovery: 1}})
	r.wantPoll(9, false)
	r.do(simapi.Input{Message: simapi.Terminate{}})
	if o := want[simapi.Exited](r); o.Status != 7 {
		t.Errorf("%+v", o)
	}
	boot.KnownEndpoints.Revision = 10
	r.do(simapi.Input{Message: boot})
	r.wantPoll(10, true)
	r.do(simapi.Input{Message: simapi.Freeze{}}, simapi.Input{Message: simapi.Kill{}}) // of which nothing is told
	r.do(simapi.Input{Message: boot})
	r.wantPoll(10, true)
	log, err := os.ReadFile(r.d.schedulers[0].log.path)
	text := string(log)
	if err != nil || strings.Count(text, "begins") != 3 || !strings.Contains(text, "discovery moved") {
		t.Errorf("log %s, %v", log, err)
	}
}

// wantPoll waits for a scheduler's poll of discovery for what came after a revision, and for it to be ready, in any order.
func (r *rig) wantPoll(after int64, ready bool) {
	r.Helper()
	for sent := false; !sent || ready; {
		o := r.next()
		_, isReady := o.Message.(simapi.Ready)
		switch {
		case isReady && ready:
			ready = false
		case !sent && o.Message == simapi.OutputMessage(simapi.WatchRequested{Revision: after}):
			sent = true
		default:
			r.Fatalf("%+v", o)
		}
	}
}
