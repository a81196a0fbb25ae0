package link

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
	"valvecove/internal/http1"
	"valvecove/internal/limits"
	"valvecove/internal/metrics"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// newOperatorHarness is a harness with a management address.
func newOperatorHarness(s *modeltest.Steps) *harness {
	w := newHarness(s)
	counters := metrics.NewCounters(requests.NameTable{Classes: []string{"a"}})
	if err := w.loop.serveOperators(netip.MustParseAddrPort("127.0.0.1:0"), counters); err != nil {
		s.T.Fatal(err)
	}
	w.loop.Requests.AddObserver(counters)
	return w
}

// connectOperator connects to the management address.
func (w *harness) connectOperator() *peer {
	p, fd := w.socketPair()
	w.loop.operators.addConnection(fd)
	return p
}

// callOperator makes one call and gives the answer's status and body.
func (w *harness) callOperator(text string) string {
	p := w.connectOperator()
	p.write([]byte(text))
	w.runIterations()
	p.read(1 << 16)
	return statusAndBody(string(p.received))
}

func statusAndBody(answer string) string {
	header, body, _ := strings.Cut(answer, "\r\n\r\n")
	if !strings.Contains(header, "\r\nConnection: close") {
		return "no close in " + answer
	}
	return strings.Split(header, " ")[1] + " " + strings.TrimSpace(body)
}

const metricsAtFirst = "edge_proxy.success.a=0\nedge_proxy.busy.a=0\nedge_proxy.failure.a=0\nedge_proxy.backend_calls=0\n" +
	"edge_proxy.inflight=0\nedge_proxy.hosts_listed=1\nedge_proxy.hosts_down=0\nedge_proxy.hosts_out_not_kept=0"

// An operator's call is answered once, in whatever pieces it comes, with a close; callers that stall make room for
// those that don't, and none is held for ever.
func FuzzOperatorConnection(f *testing.F) {
	calls := []struct{ text, want string }{
		{"GET /v1/readyz HTTP/1.1\r\n\r\n", "200 ready"},
		{"GET /v1/metrics?x HTTP/1.1\r\nConnection: keep-alive\r\n\r\n", "200 " + metricsAtFirst},
		{"GET /v1/metrics HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /v1/readyz HTTP/1.1\r\n\r\n", "200 " + metricsAtFirst},
		{"POST /v1/readyz HTTP/1.1\r\n\r\n", "405 GET only"},
		{"GET /v1/worker-nodes HTTP/1.1\r\n\r\n", `200 {"out":[],"kept":false,"error":"no directory to keep them in"}`},
		{"PUT /v1/worker-nodes HTTP/1.1\r\n\r\n", "405 GET only"},
		{"GET /v1/worker-nodes/s-0/suspend HTTP/1.1\r\n\r\n", "405 PUT only"},
		{"PUT /v1/worker-nodes/s-1/suspend HTTP/1.1\r\n\r\n", "404 no such worker node"},
		{"PUT /v1/worker-nodes//suspend HTTP/1.1\r\n\r\n", "404 no such path"},
		{"PUT /v1/worker-nodes/s-0/stop HTTP/1.1\r\n\r\n", "404 no such path"},
		{"GET /up HTTP/1.1\r\n\r\n", "404 no such path"},
		{"nonsense\r\n\r\n", "400 not a request line"},
		{"GET /" + strings.Repeat("x", http1.MaxHeaderSize) + " HTTP/1.1\r\n\r\n", "431 head too large"},
	}
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		w := newOperatorHarness(s)
		type caller struct {
			*peer
			text, unsent, want string
			began              time.Duration
		}
		var open []*caller
		for s.More() {
			switch what := s.Pick(8); {
			case what < 2:
				next := calls[s.Pick(len(calls))]
				open = append(open, &caller{peer: w.connectOperator(), text: next.text, unsent: next.text, want: next.want, began: w.now})
				if len(open) > limits.MaxOperatorConnections { // the oldest has made room
					w.runIterations()
					open[0].read(1 << 16)
					s.Check(open[0].ended, "the oldest of too many is held")
					open = open[1:]
				}
				s.Record("connect")
			case what < 7 && len(open) > 0:
				c := open[s.Pick(len(open))]
				i := min(len(c.unsent), 1+s.Pick(4)*s.Pick(256))
				c.write([]byte(c.unsent[:i]))
				c.unsent = c.unsent[i:]
				s.Record(fmt.Sprint("write ", i, " of ", len(c.text)))
			case what == 7:
				w.now += time.Duration(s.Pick(5)) * 250 * time.Millisecond
				s.Record("wait")
			}
			w.runIterations()
			var remaining []*caller
			for _, c := range open {
				c.read(1 << 16)
				age := w.now - c.began
				if !c.ended {
					s.Check(c.unsent != "" || len(c.received) > 0, "a whole call has no answer")
					s.Check(age < operatorConnectionTimeout+managementExpiryInterval, "held for %v", age)
					remaining = append(remaining, c)
					continue
				}
				c.close()
				w.runIterations()
				got := statusAndBody(string(c.received))
				// One that stalled is told so; of one cut short nothing more can be said.
				s.Check(got == c.want || c.unsent != "" && age >= operatorCallTimeout && got == "408 call not whole",
					"%q gets %q, expected %q", c.text, got, c.want)
			}
			open = remaining
		}
	})
}

// An answered connection is over with its answer: what is in its way is only that the caller reads it.
func TestOperatorBeforeClients(t *testing.T) {
	s := &modeltest.Steps{T: t}
	w := newOperatorHarness(s)
	if got := w.callOperator("GET /v1/metrics HTTP/1.1\r\n\r\n"); got != "200 "+metricsAtFirst {
		t.Errorf("at first %q", got)
	}
	client, fd := w.socketPair() // at the clients' address these calls are not there
	w.loop.clients.AddConnection(fd, netip.MustParseAddrPort("127.0.0.1:9"))
	client.write([]byte("GET /v1/metrics HTTP/1.1\r\n\r\n"))
	w.runIterations()
	if client.read(1 << 16); !strings.HasPrefix(string(client.received), "HTTP/1.1 404 ") {
		t.Errorf("a client gets %q", client.received)
	}
	w.loop.Drain()
	if got := w.callOperator("GET /v1/readyz HTTP/1.1\r\n\r\n"); got != "503 draining" {
		t.Errorf("draining: %q", got)
	}
	// A client connection that is ready in the same iteration, and by a lower descriptor, is looked at later.
	var calls []string
	first := func(what string) eventloop.Handler { return probeHandler{func() { calls = append(calls, what) }} }
	a, fdA := w.socketPair()
	b, fdB := w.socketPair()
	_ = w.loop.Add(fdA, eventloop.StreamEvents, first("client"))
	_ = w.loop.Add(fdB, eventloop.StreamEvents, urgentHandler{first("operator")})
	a.write([]byte("x"))
	b.write([]byte("x"))
	if err := w.loop.RunOnce(0); err != nil || strings.Join(calls, " ") != "operator client" {
		t.Errorf("order of a turn: %v, %v", calls, err)
	}
}

type probeHandler struct{ act func() }

func (p probeHandler) HandleEvents(uint32) { p.act() }
func (p probeHandler) HandlePanic()        {}

type urgentHandler struct{ eventloop.Handler }

func (urgentHandler) Priority() eventloop.Priority { return eventloop.PriorityUrgent }

// The answer to a call that takes a worker out or brings it back leaves after the step in which the dispatcher learns of that,
// in the same iteration: metrics asked for as soon as the answer can be read show it, also if they are asked for while events
// are still handed out. A call that changes nothing, so that no step is due, is answered as soon.
func TestCordonIsAnsweredAfterStep(t *testing.T) {
	w := newOperatorHarness(&modeltest.Steps{T: t})
	dispatcher := dispatch.New(*w.loop.settings, 1)
	w.loop.dispatcher = dispatcher
	endpoints := requests.EndpointList{Endpoints: []requests.Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}
	newPolicy := func() requests.Policy { return dispatcher }
	w.loop.Requests = requests.New(6, requests.NameTable{}, newPolicy, endpoints, transport{w.loop.workers, w.loop}, slog.New(slog.DiscardHandler))
	w.loop.workers.SetTable(w.loop.Requests)
	w.runIterations()
	for _, call := range []struct{ action, answer, figure string }{
		{"suspend", "200 out", "edge_proxy.hosts_down=1\nedge_proxy.hosts_out_not_kept=0"},
		{"suspend", "200 out", "edge_proxy.hosts_down=1\nedge_proxy.hosts_out_not_kept=0"},
		{"resume", "200 serving", "edge_proxy.hosts_down=0\nedge_proxy.hosts_out_not_kept=0"},
		{"resume", "200 serving", "edge_proxy.hosts_down=0\nedge_proxy.hosts_out_not_kept=0"},
	} {
		caller := w.connectOperator()
		figure := ""
		readAnswer := func() {
			if caller.read(1 << 16); figure == "" && caller.ended {
				figure = w.downWorkers()
			}
		}
		other, fd := w.socketPair()
		_ = w.loop.Add(fd, unix.EPOLLIN, probeHandler{readAnswer})
		caller.write([]byte("PUT /v1/worker-nodes/s-0/" + call.action + " HTTP/1.1\r\n\r\n"))
		other.write([]byte("x"))
		if err := w.loop.RunOnce(0); err != nil {
			t.Fatal(err)
		}
		readAnswer()
		if got := statusAndBody(string(caller.received)); got != call.answer || figure != call.figure {
			t.Errorf("%s: %q, then %q, expected %q and %q", call.action, got, figure, call.answer, call.figure)
		}
		w.loop.Remove(fd)
	}
}

// downWorkers makes a call for metrics that is answered at once, as one is that comes while others are accepted.
func (w *harness) downWorkers() string {
	p, fd := w.socketPair()
	p.write([]byte("GET /v1/metrics HTTP/1.1\r\n\r\n"))
	w.loop.operators.addConnection(fd)
	p.read(1 << 16)
	_, figure, _ := strings.Cut(string(p.received), "edge_proxy.hosts_listed=1\n")
	return strings.TrimSpace(figure)
}

// A worker that was listed is taken out and brought back, whatever the number of calls; an id that never was gets a no.
// The yes comes once the ban is kept, and a process that starts later reads it.
func TestCordonByOperator(t *testing.T) {
	dir := t.TempDir()
	s := &modeltest.Steps{T: t}
	w := newOperatorHarness(s)
	w.loop.openCordonStore(dir)
	put := func(what, id string) string {
		p := w.connectOperator()
		p.write([]byte("PUT /v1/worker-nodes/" + id + "/" + what + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n"))
		for !p.ended { // the file is written by another goroutine, which wakes the loop
			if err := w.loop.RunOnce(1000); err != nil {
				t.Fatal(err)
			}
			p.read(1 << 16)
		}
		return statusAndBody(string(p.received))
	}
	for _, c := range []struct{ what, id, want, kept string }{
		{"suspend", "s-1", "404 no such worker node", ""},
		{"resume", "s-1", "404 no such worker node", ""},
		{"suspend", "s-0", "200 out", "s-0"},
		{"suspend", "s%2D0", "200 out", "s-0"},
		{"resume", "s-0", "200 serving", ""},
		{"resume", "s-0", "200 serving", ""},
		{"suspend", "s-0", "200 out", "s-0"},
	} {
		if got := put(c.what, c.id); got != c.want {
			t.Errorf("%s %s: %q, expected %q", c.what, c.id, got, c.want)
		}
		if cordoned, err := hotrestart.ReadCordonFile(dir); err != nil || strings.Join(cordoned, " ") != c.kept {
			t.Errorf("%s %s: kept %v, %v", c.what, c.id, cordoned, err)
		}
	}
	if w.loop.notReadyReason() == "" {
		t.Error("ready with its only worker out")
	}
	next := newHarness(s)
	cordoned, _ := hotrestart.ReadCordonFile(dir)
	if next.loop.Requests.SetCordoned(cordoned); next.loop.Requests.HasReadyWorker() {
		t.Error("the next process sends to a worker that is out")
	}
	for _, text := range []string{"", "{", `{"form":2,"out":["s-0"]}`, strings.Repeat(" ", hotrestart.MaxCordonFileSize+1)} {
		if err := os.WriteFile(filepath.Join(dir, hotrestart.CordonFileName), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if cordoned, err := hotrestart.ReadCordonFile(dir); err == nil || cordoned != nil {
			t.Errorf("of a spoilt file: %v, %v", cordoned, err)
		}
	}
}
