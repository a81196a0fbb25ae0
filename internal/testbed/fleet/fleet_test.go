package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"valvecove/internal/requests"
)

// The test's program is also the processes that plays start.
func TestMain(m *testing.M) {
	var err error
	switch os.Getenv("FLEET_TEST_AS") {
	case "rig":
		err = RunRigProcess(os.Stdin, os.Stdout)
	case "proxy":
		err = RunProxyProcess(os.Stdin)
	default:
		os.Exit(m.Run())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

func testRig(t *testing.T, spec Spec) *Rig {
	t.Helper()
	r, err := NewRig(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// do makes a request, and gives the answer's status and body.
func do(t *testing.T, method, url, call string) (int, string) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	if call != "" {
		q.Header.Set("X-Call-Id", call)
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return a.StatusCode, string(text)
}

// A worker speaks the protocol: probes, 202, notes in order that are sent again until they are taken, DELETE.
func TestNode(t *testing.T) {
	for _, notices := range []bool{true, false} {
		r := testRig(t, Spec{Nodes: 2, StartNotifications: notices, Work: time.Millisecond, Slots: 1})
		callbacks := make(chan requests.Callback, 100)
		at, err := net.Listen("tcp", r.Addresses().Scheduler)
		if err != nil {
			t.Fatal(err)
		}
		var refused atomic.Int32
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			var n requests.Callback
			if err := json.NewDecoder(q.Body).Decode(&n); err != nil || q.URL.Path != "/v1/job-events" {
				t.Errorf("%s: %v", q.URL, err)
			}
			if refused.Add(1) <= 2 {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			callbacks <- n
			w.WriteHeader(http.StatusNoContent)
		})}
		go func() { _ = s.Serve(at) }()
		t.Cleanup(func() { _ = s.Close() })
		node := "http://" + r.Addresses().Workers[1]
		for _, x := range []struct {
			method, path, call string
			status             int
		}{
			{"GET", "/alive", "", 200},
			{"GET", "/metrics/load", "", 404},
			{"POST", "/status-check/1", "", 404},
			{"POST", "/status-check/1", "a1", 202},
			{"POST", "/status-check/2", "a2", 202},
			{"DELETE", "/jobs/a2", "", 204},
		} {
			if got, _ := do(t, x.method, node+x.path, x.call); got != x.status {
				t.Errorf("%s %s: %d, expected %d", x.method, x.path, got, x.status)
			}
		}
		want := map[string]int{"a1 done": 1, "a2 done": 1}
		if notices {
			want["a1 started"], want["a2 started"] = 1, 1
		}
		for range len(want) {
			n := <-callbacks
			if want[n.CallID+" "+n.State]--; want[n.CallID+" "+n.State] != 0 || n.EndpointID != "w-1" {
				t.Errorf("told twice, or not asked for: %+v", n)
			}
			if done := n.State == "done"; done != (n.Result != nil) || done && *n.Result != n.CallID+" ran on w-1" {
				t.Errorf("result of %+v", n)
			}
		}
	}
}

// A worker that answers by itself does so once the job has run, in the order in which jobs came; one that is full
// rejects, and dies as a process does.
func TestNodeAnswers(t *testing.T) {
	r := testRig(t, Spec{Nodes: 1, Responds: true, Work: time.Hour, Slots: 1, QueueLimit: 1})
	ends := make(chan error, 2)
	for i := range 2 { // one runs, one waits
		c, err := net.Dial("tcp", r.Addresses().Workers[0])
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		fmt.Fprintf(c, "POST /status-check/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: b%d\r\nContent-Length: 2\r\n\r\nhi", i)
		go func() {
			_, err := http.ReadResponse(bufio.NewReader(c), nil)
			ends <- err
		}()
		for taken := false; !taken; { // it has it
			r.onEngines(func(int, *engine) { taken = len(r.workers[0].running)+r.workers[0].queue.len() == i+1 })
		}
	}
	if got, _ := do(t, "POST", "http://"+r.Addresses().Workers[0]+"/status-check/1", "b2"); got != 503 {
		t.Errorf("full: %d", got)
	}
	r.onEngines(func(int, *engine) { r.workers[0].stop() })
	for range 2 {
		if err := <-ends; err == nil {
			t.Error("an answer of a process that has died")
		}
	}
	if c, err := net.Dial("tcp", r.Addresses().Workers[0]); err == nil {
		_ = c.Close()
		t.Error("it takes connections")
	}
	r.onEngines(func(int, *engine) { r.workers[0].restart() })
	if got, _ := do(t, "GET", "http://"+r.Addresses().Workers[0]+"/alive", ""); got != 200 {
		t.Errorf("restarted: %d", got)
	}
}

// Discovery gives the whole list, at once or over a watch, and tells those who watch of a start.
func TestDiscovery(t *testing.T) {
	r := testRig(t, Spec{Nodes: 7})
	at := "http://" + r.Addresses().Discovery + "/discovery/hosts"
	a, err := http.Get(at + "?stream=1&index=0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	lines := bufio.NewScanner(a.Body)
	next := func() (g requests.EndpointList) {
		for lines.Scan() {
			if text := lines.Bytes(); len(text) > 0 {
				if err := json.Unmarshal(text, &g); err != nil {
					t.Fatal(err)
				}
				return g
			}
		}
		t.Fatal(lines.Err())
		return g
	}
	for i, g := range []requests.EndpointList{next(), func() (g requests.EndpointList) {
		_, text := do(t, "GET", at, "")
		if err := json.Unmarshal([]byte(text), &g); err != nil {
			t.Fatal(err)
		}
		return g
	}()} {
		if !g.Reset || g.Revision != 1 || len(g.Endpoints) != 7 || g.Endpoints[6].ID != "w-6" || g.Endpoints[6].StartedAtMs != 0 ||
			g.Endpoints[6].Addr != r.Addresses().Workers[6] {
			t.Errorf("list %d: %+v", i, g)
		}
	}
	r.onEngines(func(int, *engine) {
		r.workers[3].stop()
		r.workers[3].restart()
	})
	if g := next(); g.Reset || g.Revision != 2 || len(g.Endpoints) != 1 || g.Endpoints[0].ID != "w-3" ||
		g.Endpoints[0].StartedAtMs == 0 {
		t.Errorf("a start: %+v", g)
	}
}

// Each of the clients' requests is answered once, and counted as what it was answered with, whatever the server does.
func TestClients(t *testing.T) {
	r := testRig(t, Spec{
		Nodes: 1, Clients: 3, Burst: 2, Jobs: 60, Length: time.Minute, Work: time.Millisecond,
		Hint: 30 * time.Millisecond,
	})
	at, err := net.Listen("tcp", r.Addresses().Scheduler)
	if err != nil {
		t.Fatal(err)
	}
	kinds := make(chan int, 1000) // of answers, in turn
	for i := range cap(kinds) {
		kinds <- i % 6
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get("X-Call-Cost") != "30000" || q.Header.Get("X-Budget-Ms") != "5000" ||
			q.Header.Get("X-Call-Class") != jobClass {
			t.Errorf("%v", q.Header)
		}
		switch <-kinds {
		case 0:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			w.WriteHeader(http.StatusInternalServerError)
		case 2:
			_, _ = io.WriteString(w, "of another")
		case 3:
			w.Header().Set("Connection", "close")
			fallthrough
		default:
			_, _ = io.WriteString(w, q.Header.Get("X-Call-Id")+" ran")
		}
	})}
	go func() { _ = s.Serve(at) }()
	defer func() { _ = s.Close() }()
	got, err := r.Run(t.Context(), []netip.AddrPort{r.addresses.scheduler()}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got.All != (Second{Served: 36, Rejected: 12, Failed: 24}) || got.Requested != 72 || got.Settled != 72 ||
		got.FailureReasons["status 500"] != 12 || got.FailureReasons["another request's answer"] != 12 {
		t.Errorf("%+v", got)
	}
}

// Messages are read whole or not at all, however they come in pieces.
func TestMessage(t *testing.T) {
	var m message
	var reader messageReader
	text := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\nConnection: close\r\n\r\nabc"
	for n := range text {
		if got, err := reader.read([]byte(text[:n]), &m); got != 0 || err != nil {
			t.Fatalf("%d bytes: %d, %v", n, got, err)
		}
	}
	if n, err := reader.read([]byte(text+"more"), &m); n != len(text) || err != nil || string(m.body) != "abc" || !m.lastOnConn {
		t.Errorf("%d, %v, %+v", n, err, m)
	}
	for _, bad := range []string{
		"GET\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
		"POST / HTTP/1.1\r\nno field\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", strings.Repeat("x", 17<<10),
	} {
		if n, err := reader.read([]byte(bad), &m); err == nil {
			t.Errorf("%.40q was taken: %d", bad, n)
		}
	}
}

// Where the rig ends is said.
func TestRoom(t *testing.T) {
	for _, n := range []int{1 << 20, maxWorkers + 1} {
		if _, err := NewRig(Spec{Nodes: n}); err == nil || !strings.Contains(err.Error(), "which ends at") {
			t.Errorf("%d worker nodes: %v", n, err)
		}
	}
	if got := (descriptorPlan{limit: 20_000}).workerLimit(200); got != 6439 {
		t.Errorf("%d", got)
	}
}

// The least busy is taken, in turn among equals.
func TestLeast(t *testing.T) {
	l := &leastInFlight{workers: make([]string, 3), inFlight: make([]int, 3)}
	var got []int
	for range 4 {
		got = append(got, l.acquire())
	}
	l.release(2)
	if got = append(got, l.acquire(), l.acquire()); fmt.Sprint(got) != "[0 1 2 0 2 1]" {
		t.Error(got)
	}
}

// The real program and the baseline policy serve each of a few jobs once.
func TestPlay(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "valvecove")
	if outputs, err := exec.Command("go", "build", "-o", binary, "valvecove/cmd/valvecove").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, outputs)
	}
	self := func(as string) []string { return []string{"/usr/bin/env", "FLEET_TEST_AS=" + as, os.Args[0]} }
	o := Options{Rig: self("rig"), Proxy: self("proxy"), Binary: binary, Clients: 5, Jobs: 50, Length: time.Minute}
	if _, err := FindCores(); err != nil {
		t.Skip(err)
	}
	report := &Report{}
	for _, line := range []TableRow{{"build", 5, true, 1}, {"build", 5, false, 1}, {Proxy, 5, false, 0}, {Direct, 5, false, 0}} {
		p, err := Measure(t.Context(), line, o)
		if err != nil {
			t.Fatalf("%v: %v", line, err)
		}
		if p.All.Served != 50 || p.Settled != 50+p.All.Rejected || p.All.Failed > 0 || p.Unexpected > 0 || p.CallbacksLost > 0 ||
			(p.Descriptors > 0) != (line.Subject != Direct) || len(p.FailureReasons) > 0 {
			text, _ := json.Marshal(p)
			t.Errorf("%v: %s", line, text)
		}
		p.MaxCPU, p.Lateness50, p.Lateness99 = 0, 0, 0 // how it goes here is of no interest
		report.Measurements = append(report.Measurements, p, p)
	}
	report.Measurements[1].Lateness99 = 2 * maxLateness99
	var b strings.Builder
	if err := report.Table(&b); err != nil || strings.Count(b.String(), "\n") != 6 ||
		!strings.Contains(b.String(), "(1 void)") || !strings.Contains(b.String(), "| build | 5 | yes | right | ") {
		t.Errorf("%v: %s", err, b.String())
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Measure(ctx, TableRow{"build", 5, true, 1}, o); err == nil {
		t.Error("played after its end")
	}
	o.Binary = "/bin/false"
	_, err := Measure(t.Context(), TableRow{"build", 5, true, 1}, o)
	if err == nil || !strings.Contains(err.Error(), "build ended") {
		t.Errorf("a program that ends: %v", err)
	}
}

// A trouble is over once a whole second is as good as before.
func TestBack(t *testing.T) {
	p := Measurement{Disturbances: []float64{2, 3.5}}
	for _, n := range []int{100, 100, 100, 3, 50, 94, 95} {
		p.Seconds = append(p.Seconds, Second{Served: n})
	}
	if got := p.RecoveredAfter(); got != 2 {
		t.Errorf("%d", got)
	}
	p.Seconds = p.Seconds[:6]
	if got := p.RecoveredAfter(); got != -1 {
		t.Errorf("%d", got)
	}
	for text, want := range map[string]string{
		"1": "right", "1/30": "30 times too low", "30": "30 times too high",
		"none": "none",
	} {
		if f, err := ParseHint(text); err != nil || hintText(f) != want {
			t.Errorf("%s: %v, %v", text, f, err)
		}
	}
	for _, text := range []string{"", "x", "1/0", "0", "-1", "1/x"} {
		if _, err := ParseHint(text); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
}
