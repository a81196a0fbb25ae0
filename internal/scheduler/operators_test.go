package scheduler

import (
	"net/netip"
	"strings"
	"testing"

	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/metrics"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// newOperatorHarness returns a harness with a management address.
func newOperatorHarness(s *modeltest.Steps) *harness {
	h := newHarness(s)
	counters := metrics.NewCounters(requests.NameTable{Classes: []string{"a"}})
	operators, err := h.scheduler.serveOperators(netip.MustParseAddrPort("127.0.0.1:0"), counters)
	if err != nil {
		s.T.Fatal(err)
	}
	h.operatorAddress = operators.Addr()
	h.scheduler.Requests.AddObserver(counters)
	return h
}

// connectOperator connects to the management address.
func (h *harness) connectOperator() *peer {
	return &peer{Peer: eventlooptest.ConnectToAddress(h.T, h.operatorAddress)}
}

// callOperator makes one call and returns the status and body of its response.
func (h *harness) callOperator(text string) string {
	p := h.connectOperator()
	p.Write([]byte(text))
	h.runIterations()
	p.Read(1 << 16)
	return statusAndBody(string(p.Received))
}

func statusAndBody(answer string) string {
	header, body, _ := strings.Cut(answer, "\r\n\r\n")
	if !strings.Contains(header, "\r\nConnection: close") {
		return "no close in " + answer
	}
	return strings.Split(header, " ")[1] + " " + strings.TrimSpace(body)
}

const initialMetrics = "edge_proxy.success.a=0\nedge_proxy.busy.a=0\nedge_proxy.failure.a=0\nedge_proxy.backend_calls=0\n" +
	"edge_proxy.inflight=0\nedge_proxy.hosts_listed=1\nedge_proxy.hosts_down=0\nedge_proxy.hosts_out_not_kept=0"

// Operators' calls for the metrics and the readiness of the scheduler are served at the management address only. In an iteration
// they are handled before clients.
func TestOperatorsAreServedBeforeClients(t *testing.T) {
	s := &modeltest.Steps{T: t}
	h := newOperatorHarness(s)
	if got := h.callOperator("GET /v1/metrics HTTP/1.1\r\n\r\n"); got != "200 "+initialMetrics {
		t.Errorf("metrics after the start: %q", got)
	}
	client, fd := h.socketPair() // the clients' address does not serve these calls
	h.scheduler.clients.AddConnection(fd, netip.MustParseAddrPort("127.0.0.1:9"))
	client.Write([]byte("GET /v1/metrics HTTP/1.1\r\n\r\n"))
	h.runIterations()
	if client.Read(1 << 16); !strings.HasPrefix(string(client.Received), "HTTP/1.1 404 ") {
		t.Errorf("a client received %q, expected 404", client.Received)
	}
	if got := h.callOperator("GET /v1/readyz HTTP/1.1\r\n\r\n"); got != "200 ready" {
		t.Errorf("readiness while serving: %q, expected 200", got)
	}
	h.scheduler.Drain()
	if got := h.callOperator("GET /v1/readyz HTTP/1.1\r\n\r\n"); got != "503 draining" {
		t.Errorf("readiness while draining: %q, expected 503", got)
	}
	// A client connection that is ready in the same iteration is handled later, even if its descriptor is lower.
	var calls []string
	first := func(what string) eventloop.Handler { return funcHandler{func() { calls = append(calls, what) }} }
	a, fdA := h.socketPair()
	b, fdB := h.socketPair()
	_ = h.scheduler.Add(fdA, eventloop.StreamEvents, first("client"))
	_ = h.scheduler.Add(fdB, eventloop.StreamEvents, urgentHandler{first("operator")})
	a.Write([]byte("x"))
	b.Write([]byte("x"))
	if err := h.scheduler.RunOnce(0); err != nil || strings.Join(calls, " ") != "operator client" {
		t.Errorf("order in an iteration: %v, %v", calls, err)
	}
}

type funcHandler struct{ act func() }

func (p funcHandler) HandleEvents(uint32) { p.act() }
func (p funcHandler) HandlePanic()        {}

type urgentHandler struct{ eventloop.Handler }

func (urgentHandler) Priority() eventloop.Priority { return eventloop.PriorityUrgent }
