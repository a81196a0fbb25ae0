package process

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

const steadyScenario = `[schedulers]
count = 2
[load]
rate = 40
[[class]]
name = "status-check"
share = 0.5
work = "30ms"
deadline = "1s"
effect = "safe"
[[class]]
name = "account-credit"
share = 0.5
work = "50ms"
deadline = "1s"
effect = "keyed"
group = "cell"
window = "5s"
`

// Runs the real program and replaces each of its processes. Every job is settled exactly once, each response is to an open
// request, and no process ends by itself.
func TestRun(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "valvecove")
	if outputs, err := exec.Command("go", "build", "-o", binary, "valvecove/cmd/valvecove").CombinedOutput(); err != nil {
		t.Fatalf("building the program: %v: %s", err, outputs)
	}
	history := &jobHistory{TB: t, settled: map[uint64]int{}, open: map[string]bool{}}
	var progress atomic.Int32
	o, err := Run(t.Context(), testSpec(t, steadyScenario+"[[fault]]\nwhat = \"sched_replace\"\nat = \"500ms\"\n"), 3, Options{
		Binary:   binary,
		Progress: func(Progress) { progress.Add(1) },
		Observer: history.observe,
	})
	if err != nil {
		t.Fatal(err)
	}
	for job, n := range history.settled {
		if n != 1 {
			t.Errorf("job %d settled %d times", job, n)
		}
	}
	if !o.Finished || history.jobCount == 0 || len(history.settled) != history.jobCount || len(o.AlteredRequests) > 0 || progress.Load() == 0 {
		t.Errorf("%d due, %d settled, %+v", history.jobCount, len(history.settled), o)
	}
	for _, p := range o.Schedulers {
		if p.Starts != 2 || len(p.Exits) > 0 {
			t.Errorf("want two starts and no exit of a scheduler: %+v", p)
		}
	}
}

// jobHistory counts the jobs of a run, and checks that trace events are in order of time and that each response is to an
// open request.
type jobHistory struct {
	testing.TB
	last     time.Duration
	jobCount int
	settled  map[uint64]int  // by job
	open     map[string]bool // by request id
}

func (h *jobHistory) observe(s *trace.Event) {
	if s.At < h.last {
		h.Errorf("%v after %v", s.At, h.last)
	}
	switch h.last = s.At; s.Kind {
	case trace.JobDue:
		h.jobCount++
	case trace.JobSettled:
		h.settled[s.JobID]++
	case trace.RequestSent:
		h.open[s.RequestID] = true
	case trace.ResponseReceived:
		if !h.open[s.RequestID] {
			h.Errorf("a response to request %s, which is not open", s.RequestID)
		}
		delete(h.open, s.RequestID)
	}
}

// Run returns an error for what it can't run and for a context that has ended. Unsupported lists what a run can't show.
func TestRunErrorsAndUnsupported(t *testing.T) {
	spec := testSpec(t, "")
	refused := func(o Options, why string) {
		t.Helper()
		if _, err := Run(t.Context(), spec, 1, o); err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("got error %v, want one with %s", err, why)
		}
	}
	refused(Options{Binary: "/no/such/program"}, "no such file")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Run(ctx, spec, 1, Options{Binary: "/bin/true"}); !errors.Is(err, context.Canceled) {
		t.Errorf("a context that has ended: %v", err)
	}
	spec.Fleet.Workers, spec.Schedulers.Count = 1_000_000, 4
	refused(Options{}, "descriptors live")
	spec = testSpec(t, "[net]\ndelay = \"50us\"\n[[fault]]\nwhat = \"cut\"\nat = \"1s\"\nfor = \"1s\"\n")
	spec.Fleet.Workers = scenario.MaxProcessWorkers + 1
	spec.Peers.On = true
	all := strings.Join(Unsupported(spec), "\n")
	for _, part := range []string{"1001 workers", "net.delay is 50µs", "Fault cut:", "Datagrams between schedulers"} {
		if !strings.Contains(all, part) {
			t.Errorf("not listed as unsupported: %s", part)
		}
	}
}

// A run is invalid beyond either of the bounds on lateness.
func TestLatenessBounds(t *testing.T) {
	m := newLatenessMeter()
	for range 2000 {
		m.add(time.Millisecond)
	}
	m.add(MaxLateness - time.Millisecond)
	if why := m.lateness().InvalidReason(); why != "" {
		t.Errorf("within the bounds, but invalid: %s", why)
	}
	for range 3 {
		m.add(MaxLateness999 + time.Millisecond)
	}
	if why := m.lateness().InvalidReason(); !strings.Contains(why, "one of 1000") {
		t.Errorf("beyond MaxLateness999: %q", why)
	}
	m.add(MaxLateness + time.Millisecond)
	if why := m.lateness().InvalidReason(); !strings.Contains(why, "was late by") {
		t.Errorf("beyond MaxLateness once: %q", why)
	}
}

// Every request that becomes due is counted as answered or failed, also if the server closes connections.
func TestLoad(t *testing.T) {
	r, err := StartResponder("127.0.0.1:0", 2, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	}()
	closing := newClosingServer()
	defer closing.Close()
	checkLoad(t, r.Addr, 200)
	checkLoad(t, closing.Listener.Addr().String(), 200, 503)
}

// newClosingServer returns a server that of four requests closes the connection of one without a response, responds to one
// with 503 and Connection: close, and to one with a chunked response.
func newClosingServer() *httptest.Server {
	var n atomic.Int32
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch n.Add(1) % 4 {
		case 0:
			writeRaw(w, "")
		case 1:
			w.Header().Set("Connection", "close")
			w.WriteHeader(503)
		case 2:
			w.(http.Flusher).Flush() // makes the response chunked
		}
	}))
}

// checkLoad generates a load on a server that responds with the given statuses. If there are several, it expects some
// requests to fail.
func checkLoad(t *testing.T, target string, statuses ...int) {
	t.Helper()
	got, err := Load(t.Context(), LoadOptions{
		Target: target, Rate: 2000, Conns: 8, Length: 300 * time.Millisecond,
		WarmUp: 50 * time.Millisecond, Grace: 20 * time.Second, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	sum := uint64(0)
	for _, status := range statuses {
		sum += got.Status[status]
	}
	if got.Scheduled < 400 || got.Unanswered != 0 || got.Answered != sum || got.Answered+got.Failed != got.Scheduled ||
		uint64(got.Latency.TotalCount()) != got.Answered || uint64(got.Lateness.TotalCount()) != got.Scheduled ||
		(got.Failed > 0) != (len(statuses) > 1) {
		t.Errorf("load on %s: requests are missing, or counted twice: %+v", target, got)
	}
}

// Load rejects invalid options.
func TestLoadOptions(t *testing.T) {
	for _, o := range []LoadOptions{
		{Target: "here"},
		{Target: "10.0.0.1:80", Rate: 1, Length: 1},
		{Target: "127.0.0.1:80", Rate: 1},
	} {
		if _, err := Load(t.Context(), o); err == nil {
			t.Errorf("%+v was accepted", o)
		}
	}
}

// If schedulers are peers, the configuration of each has the addresses of all, including its own.
func TestConfigurationHasPeers(t *testing.T) {
	addresses, err := findAddresses(2)
	if err != nil {
		t.Fatal(err)
	}
	defer addresses.close()
	for _, isOn := range []bool{false, true} {
		spec := testSpec(t, "")
		spec.Schedulers.Count, spec.Peers.On = 2, isOn
		driver := &driver{spec: spec, addresses: addresses}
		started := &scheduler{driver: driver, number: 1, listen: addresses.scheduler(1), startOptions: &simapi.Start{}}
		decoded, err := config.Decode(started.configuration(0), func(string) string { return "" })
		switch {
		case err != nil:
			t.Error(err)
		case !isOn && (decoded.PeerListen.IsValid() || decoded.Settings.PeerMessages):
			t.Errorf("without peers: listens at %v", decoded.PeerListen)
		case isOn && (len(decoded.Peers) != 2 || decoded.Peers[1] != decoded.PeerListen || decoded.Peers[0] == decoded.Peers[1]):
			t.Errorf("listens at %v, peers are %v", decoded.PeerListen, decoded.Peers)
		}
	}
}
