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

const calm = `[schedulers]
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

// A run of the real program in which each process is replaced by another: every job is settled once, each answer is to a
// request that was asked, none is lost, and all that the run started has ended with it.
func TestPlay(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "valvecove")
	if outputs, err := exec.Command("go", "build", "-o", binary, "valvecove/cmd/valvecove").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, outputs)
	}
	history := &jobHistory{TB: t, settled: map[uint64]int{}, open: map[string]bool{}}
	var progress atomic.Int32
	o, err := Run(t.Context(), testSpec(t, calm+"[[fault]]\nwhat = \"sched_replace\"\nat = \"500ms\"\n"), 3, Options{
		Binary:   binary,
		Progress: func(Progress) { progress.Add(1) },
		Observer: history.see,
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
			t.Errorf("%+v", p)
		}
	}
}

// jobHistory counts the jobs of a run, and checks that each answer is to an open request.
type jobHistory struct {
	testing.TB
	last     time.Duration
	jobCount int
	settled  map[uint64]int  // by job
	open     map[string]bool // by request id
}

func (h *jobHistory) see(s *trace.Event) {
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
			h.Errorf("an answer to %s, which awaits none", s.RequestID)
		}
		delete(h.open, s.RequestID)
	}
}

// What can't be played is said, and a context ends a run.
func TestPlayFaults(t *testing.T) {
	spec := testSpec(t, "")
	refused := func(o Options, why string) {
		t.Helper()
		if _, err := Run(t.Context(), spec, 1, o); err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("%v, expected %s", err, why)
		}
	}
	refused(Options{Binary: "/no/such/program"}, "no such file")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Run(ctx, spec, 1, Options{Binary: "/bin/true"}); !errors.Is(err, context.Canceled) {
		t.Errorf("ended by its context: %v", err)
	}
	spec.Fleet.Workers, spec.Schedulers.Count = 1_000_000, 4
	refused(Options{}, "descriptors live")
	spec = testSpec(t, "[net]\ndelay = \"50us\"\n[[fault]]\nwhat = \"cut\"\nat = \"1s\"\nfor = \"1s\"\n")
	spec.Fleet.Workers = scenario.MaxProcessWorkers + 1
	spec.Peers.On = true
	all := strings.Join(Unsupported(spec), "\n")
	for _, part := range []string{"1001 workers", "net.delay is 50µs", "Fault cut:", "Datagrams between schedulers"} {
		if !strings.Contains(all, part) {
			t.Errorf("not said of what is unseen: %s", part)
		}
	}
}

// A run is void beyond either bound of lateness.
func TestVoid(t *testing.T) {
	m := newLatenessMeter()
	for range 2000 {
		m.add(time.Millisecond)
	}
	m.add(MaxLateness - time.Millisecond)
	if why := m.lateness().InvalidReason(); why != "" {
		t.Errorf("sound, but %s", why)
	}
	for range 3 {
		m.add(MaxLateness999 + time.Millisecond)
	}
	if why := m.lateness().InvalidReason(); !strings.Contains(why, "one of 1000") {
		t.Errorf("late too often: %q", why)
	}
	m.add(MaxLateness + time.Millisecond)
	if why := m.lateness().InvalidReason(); !strings.Contains(why, "was late by") {
		t.Errorf("too late once: %q", why)
	}
}

// Every request that falls due is accounted for, whatever the server does with connections.
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
	rude := newRudeServer()
	defer rude.Close()
	checkLoad(t, r.Addr, 200)
	checkLoad(t, rude.Listener.Addr().String(), 200, 503)
}

// newRudeServer closes every other connection, in one way or another.
func newRudeServer() *httptest.Server {
	var n atomic.Int32
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch n.Add(1) % 4 {
		case 0:
			raw(w, "")
		case 1:
			w.Header().Set("Connection", "close")
			w.WriteHeader(503)
		case 2:
			w.(http.Flusher).Flush() // in chunks
		}
	}))
}

// checkLoad puts a load on a server that answers with these statuses. Of one that has several, some requests fail.
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
	if got.Scheduled < 400 || got.Open != 0 || got.Answered != sum || got.Answered+got.Failed != got.Scheduled ||
		uint64(got.Latency.TotalCount()) != got.Answered || uint64(got.Lateness.TotalCount()) != got.Scheduled ||
		(got.Failed > 0) != (len(statuses) > 1) {
		t.Errorf("%s: %+v", target, got)
	}
}

// A load that can't be made is refused.
func TestLoadOptions(t *testing.T) {
	for _, o := range []LoadOptions{
		{Target: "here"},
		{Target: "10.0.0.1:80", Rate: 1, Length: 1},
		{Target: "127.0.0.1:80", Rate: 1},
	} {
		if _, err := Load(t.Context(), o); err == nil {
			t.Errorf("%+v was taken", o)
		}
	}
}

// Where schedulers are peers, each is given the addresses of all, its own among them.
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
