package management

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/filesystem"
	"valvecove/internal/hotrestart"
	"valvecove/internal/http1"
	"valvecove/internal/limits"
	"valvecove/internal/modeltest"
)

// initialMetrics is the text of the metrics call before any request.
const initialMetrics = "edge_proxy.success.a=0\nedge_proxy.busy.a=0\nedge_proxy.failure.a=0\nedge_proxy.backend_calls=0\n" +
	"edge_proxy.inflight=0\nedge_proxy.hosts_listed=1\nedge_proxy.hosts_down=0\nedge_proxy.hosts_out_not_kept=0"

// FuzzOperatorConnection checks that an operator's call gets one response, whatever parts it is sent in, and that the connection
// is then closed. At the limit the oldest connection is closed for a new one, and no connection is kept beyond its time limit.
func FuzzOperatorConnection(f *testing.F) {
	calls := []struct{ text, want string }{
		{"GET /v1/readyz HTTP/1.1\r\n\r\n", "200 ready"},
		{"GET /v1/metrics?x HTTP/1.1\r\nConnection: keep-alive\r\n\r\n", "200 " + initialMetrics},
		{"GET /v1/metrics HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /v1/readyz HTTP/1.1\r\n\r\n", "200 " + initialMetrics},
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
		f := newFixture(s)
		type caller struct {
			*eventlooptest.Peer
			text, unsent, want string
			openedAt           time.Duration
		}
		var open []*caller
		for s.More() {
			switch what := s.Pick(8); {
			case what < 2:
				next := calls[s.Pick(len(calls))]
				open = append(open, &caller{Peer: f.connectOperator(), text: next.text, unsent: next.text, want: next.want, openedAt: f.Time})
				if len(open) > limits.MaxOperatorConnections { // the oldest is closed for the new one
					f.RunIterations()
					open[0].Read(1 << 16)
					s.Check(open[0].Ended, "the oldest connection is still open above the limit")
					open = open[1:]
				}
				s.Record("connect")
			case what < 7 && len(open) > 0:
				c := open[s.Pick(len(open))]
				i := min(len(c.unsent), 1+s.Pick(4)*s.Pick(256))
				c.Write([]byte(c.unsent[:i]))
				c.unsent = c.unsent[i:]
				s.Record(fmt.Sprint("write ", i, " of ", len(c.text)))
			case what == 7:
				f.Time += time.Duration(s.Pick(5)) * 250 * time.Millisecond
				s.Record("wait")
			}
			f.RunIterations()
			var remaining []*caller
			for _, c := range open {
				c.Read(1 << 16)
				age := f.Time - c.openedAt
				if !c.Ended {
					s.Check(c.unsent != "" || len(c.Received) > 0, "a complete call has no response")
					s.Check(age < operatorConnectionTimeout+expiryInterval, "still open after %v", age)
					remaining = append(remaining, c)
					continue
				}
				c.Close()
				f.RunIterations()
				got := statusAndBody(string(c.Received))
				// A caller that has stalled gets 408.
				s.Check(got == c.want || c.unsent != "" && age >= callReadTimeout && got == "408 call not whole",
					"%q gets %q, expected %q", c.text, got, c.want)
			}
			open = remaining
		}
	})
}

// The response to a cordon call is sent after the step that notifies the dispatcher, in the same iteration. Metrics that are
// requested as soon as the response can be read then show the change, also if they are requested while events are still being
// handled. The response to a call that changes nothing, so that no step is due, is sent in the same iteration too.
func TestCordonResponseFollowsStep(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	dispatcher := dispatch.New(dispatch.Settings{Classes: []dispatch.Class{{ClientTimeout: 5 * time.Second}}}, 1)
	f.avoidedWorkers = dispatcher.AvoidedWorkers
	f.setPolicy(dispatcher)
	f.setCordons(nil, nil, "")
	f.RunIterations()
	for _, call := range []struct{ action, response, metrics string }{
		{"suspend", "200 out", "edge_proxy.hosts_down=1\nedge_proxy.hosts_out_not_kept=0"},
		{"suspend", "200 out", "edge_proxy.hosts_down=1\nedge_proxy.hosts_out_not_kept=0"},
		{"resume", "200 serving", "edge_proxy.hosts_down=0\nedge_proxy.hosts_out_not_kept=0"},
		{"resume", "200 serving", "edge_proxy.hosts_down=0\nedge_proxy.hosts_out_not_kept=0"},
	} {
		caller := f.connectOperator()
		metrics := ""
		readResponse := func() {
			if caller.Read(1 << 16); metrics == "" && caller.Ended {
				metrics = f.cordonMetrics()
			}
		}
		other, fd := eventlooptest.SocketPair(f.T)
		_ = f.Add(fd, unix.EPOLLIN, probeHandler{readResponse})
		caller.Write([]byte("PUT /v1/worker-nodes/s-0/" + call.action + " HTTP/1.1\r\n\r\n"))
		other.Write([]byte("x"))
		if err := f.RunOnce(0); err != nil {
			t.Fatal(err)
		}
		readResponse()
		if got := statusAndBody(string(caller.Received)); got != call.response || metrics != call.metrics {
			t.Errorf("%s: %q, then %q, expected %q and %q", call.action, got, metrics, call.response, call.metrics)
		}
		f.Remove(fd)
	}
}

// cordonMetrics makes a metrics call on a new connection within the current iteration, and returns the metrics about cordons.
func (f *fixture) cordonMetrics() string {
	p, fd := eventlooptest.SocketPair(f.T)
	p.Write([]byte("GET /v1/metrics HTTP/1.1\r\n\r\n"))
	f.operators.addConnection(fd)
	p.Read(1 << 16)
	_, metrics, _ := strings.Cut(string(p.Received), "edge_proxy.hosts_listed=1\n")
	return strings.TrimSpace(metrics)
}

// A worker that was listed is cordoned and uncordoned, also if the call is repeated. An ID that was never listed is rejected. The
// response is sent once the cordon is stored, and a process that starts later restores it.
func TestCordonByOperator(t *testing.T) {
	dir := t.TempDir()
	s := &modeltest.Steps{T: t}
	f := newFixture(s)
	f.storeCordonsOn(filesystem.Disk, dir)
	put := func(action, id string) string {
		return f.callUntilAnswered("PUT /v1/worker-nodes/" + id + "/" + action + " HTTP/1.1\r\nContent-Length: 0")
	}
	for _, c := range []struct{ action, id, want, stored string }{
		{"suspend", "s-1", "404 no such worker node", ""},
		{"resume", "s-1", "404 no such worker node", ""},
		{"suspend", "s-0", "200 out", "s-0"},
		{"suspend", "s%2D0", "200 out", "s-0"},
		{"resume", "s-0", "200 serving", ""},
		{"resume", "s-0", "200 serving", ""},
		{"suspend", "s-0", "200 out", "s-0"},
	} {
		if got := put(c.action, c.id); got != c.want {
			t.Errorf("%s %s: %q, expected %q", c.action, c.id, got, c.want)
		}
		if cordoned, err := hotrestart.ReadCordonFile(dir); err != nil || strings.Join(cordoned, " ") != c.stored {
			t.Errorf("%s %s: stored %v, error %v", c.action, c.id, cordoned, err)
		}
	}
	if f.NotReadyReason() == "" {
		t.Error("ready though the only worker is cordoned")
	}
	next := newFixture(s)
	next.storeCordonsOn(filesystem.Disk, dir)
	if next.cordons.Restore(); next.table.HasReadyWorker() {
		t.Error("the next process has not restored the cordon")
	}
	for _, text := range []string{"", "{", `{"form":2,"out":["s-0"]}`, strings.Repeat(" ", hotrestart.MaxCordonFileSize+1)} {
		if err := os.WriteFile(filepath.Join(dir, hotrestart.CordonFileName), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if cordoned, err := hotrestart.ReadCordonFile(dir); err == nil || cordoned != nil {
			t.Errorf("from an invalid file: %v, error %v", cordoned, err)
		}
	}
}

// probeHandler calls act for its events.
type probeHandler struct{ act func() }

func (p probeHandler) HandleEvents(uint32) { p.act() }
func (p probeHandler) HandlePanic()        {}

// An operator's connection that breaks is closed, whatever the errno, and the next one is served.
func TestOperatorConnectionBreaksWithAnyErrno(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EPIPE} {
		f := newFixture(&modeltest.Steps{T: t})
		peer := f.connectOperator()
		failing := f.operators.connections.Front().Value.(*operatorConnection).FD()
		injector := f.injectFaults(faultinjection.Rule{
			Calls: []eventloop.Call{
				eventloop.CallRead, eventloop.CallReceive, eventloop.CallReceiveMessage, eventloop.CallWrite, eventloop.CallSendMessage,
			},
			Descriptor: func(descriptor int) bool { return descriptor == failing },
			Errnos:     []unix.Errno{errno},
		})
		peer.Write([]byte("GET "))
		f.RunIterations()
		injector.Clear()
		if open := f.operators.connections.Len(); open != 0 {
			t.Errorf("%v: %d operators' connections", errno, open)
		}
		if got := f.callOperator("GET " + pathReady + " HTTP/1.1\r\n\r\n"); got != "200 ready" {
			t.Errorf("%v: the next operator got %q", errno, got)
		}
	}
}

// injectFaults applies rules to the system calls of the loop from now on.
func (f *fixture) injectFaults(rules ...faultinjection.Rule) *faultinjection.Injector {
	injector := faultinjection.New(1, f.Now)
	for _, rule := range rules {
		injector.Add(rule)
	}
	*f.Syscalls() = injector.Syscalls()
	return injector
}

// While accepting fails, a waiting connection does not keep the loop busy. It is accepted once accepting succeeds again.
func TestLastingAcceptFailure(t *testing.T) {
	for name, listenerOf := range map[string]func(f *fixture) *listener{
		"operators": func(f *fixture) *listener { return &f.operators.listener },
		"status":    func(f *fixture) *listener { return &f.status.listener },
	} {
		t.Run(name, func(t *testing.T) {
			f := newStatusFixture(&modeltest.Steps{T: t})
			listening := listenerOf(f).acceptor.FD()
			injector := f.injectFaults(faultinjection.Rule{
				Calls: []eventloop.Call{eventloop.CallAccept}, Errnos: []unix.Errno{unix.ENFILE},
				Descriptor: func(descriptor int) bool { return descriptor == listening },
			})
			eventlooptest.Connect(t, listening)
			for range 1000 {
				if err := f.RunOnce(0); err != nil {
					t.Fatal(err)
				}
				f.Time += time.Millisecond
			}
			if calls := injector.Calls(eventloop.CallAccept); calls == 0 || calls > 32*eventloop.MaxAcceptAttempts {
				t.Errorf("accept was called %d times in a second", calls)
			}
			injector.Clear()
			failed := injector.Calls(eventloop.CallAccept)
			f.Advance(eventloop.MaxAcceptBackoff)
			f.RunIterations()
			if injector.Calls(eventloop.CallAccept) == failed || listenerOf(f).connections.Len() != 1 {
				t.Error("the waiting connection is not accepted")
			}
		})
	}
}
