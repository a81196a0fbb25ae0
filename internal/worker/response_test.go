package worker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

// An attempt may have been executed if its last byte was written before the connection was reset; otherwise it was not.
func TestResetAroundLastByte(t *testing.T) {
	for name, test := range map[string]struct {
		size int
		act  func(f *fixture, request *requests.Request, remote *peer)
		want []dispatch.Result
	}{
		"before the last byte": {http1.MaxBodySize, func(_ *fixture, _ *requests.Request, remote *peer) { remote.Read(4000); remote.Close() }, []dispatch.Result{dispatch.ConnectFailed}},
		"after the last byte":  {0, func(_ *fixture, _ *requests.Request, remote *peer) { remote.Read(4000); remote.Close() }, []dispatch.Result{dispatch.ConnectionReset}},
		"within the response": {0, func(_ *fixture, _ *requests.Request, remote *peer) {
			remote.Read(4000)
			remote.Write([]byte(acceptedResponse[:20]))
			remote.Close()
		}, []dispatch.Result{dispatch.ConnectionReset}},
		"after the 202": {0, func(_ *fixture, _ *requests.Request, remote *peer) {
			remote.Read(4000)
			remote.Write([]byte(acceptedResponse))
			remote.Close()
		}, nil},
		"after the 202, reported as lost": {0, func(f *fixture, request *requests.Request, remote *peer) {
			remote.Read(4000)
			remote.Write([]byte(acceptedResponse))
			remote.Close()
			f.runIterations()
			f.applyCallback(request, "lost")
		}, []dispatch.Result{dispatch.ConnectionReset}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			request := f.sendAttempt(test.size)
			test.act(f, request, f.dialed[0])
			f.runIterations()
			f.expect(name, request, test.want...)
			if f.pool.openCount != 0 {
				t.Error("the connection is still open")
			}
		})
	}
}

// A callback may be received before the 202, and twice. It is applied once, and the connection becomes idle with the 202 as
// usual.
func TestCallbackBeforeAcceptance(t *testing.T) {
	for state, want := range map[string]dispatch.Result{"done": dispatch.OK, "returned": dispatch.WorkerFull, "failed": dispatch.Failed, "lost": dispatch.ConnectionReset} {
		t.Run(state, func(t *testing.T) {
			f := newFixture(t)
			request := f.sendAttempt(0)
			f.applyCallback(request, state)
			f.applyCallback(request, state)
			f.expect("after two callbacks", request, want)
			remote := f.dialed[0]
			remote.Read(1 << 12)
			remote.Received = nil
			remote.Write([]byte(acceptedResponse))
			f.runIterations()
			f.expect("after the 202", request, want)
			f.now += reuseDelay
			next := f.sendAttempt(0)
			if remote.Read(1 << 12); len(f.dialed) != 1 || !strings.Contains(string(remote.Received), "X-Call-Id: "+next.CallID+"\r\n") {
				t.Errorf("%d connections, the idle one got %q", len(f.dialed), remote.Received)
			}
			f.expect("next request", next)
		})
	}
}

// A second response to a request is never taken for the response to the next request, whenever it is received: the connection is
// closed, or not reused until reuseDelay has passed.
func TestSecondResponseIsNotReused(t *testing.T) {
	const rejected = "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	for name, respond := range map[string]func(f *fixture, remote *peer){
		"right after the first": func(f *fixture, remote *peer) {
			remote.Write([]byte(acceptedResponse + rejected))
			f.runIterations()
			f.now += reuseDelay
		},
		"partial, right after the first": func(f *fixture, remote *peer) {
			remote.Write([]byte(acceptedResponse + rejected[:5]))
			f.runIterations()
			f.now += reuseDelay
		},
		"while idle": func(f *fixture, remote *peer) {
			remote.Write([]byte(acceptedResponse))
			f.runIterations()
			f.now += reuseDelay
			remote.Write([]byte(rejected))
			f.runIterations()
		},
		"between the gathering of events and the write": func(f *fixture, remote *peer) {
			remote.Write([]byte(acceptedResponse))
			f.runIterations()
			f.now += reuseDelay
			f.loop.UpdateNow()
			request, _ := f.table.Admit(f.now, requests.Arrival{
				CallID: "between", Job: dispatch.Job{Remaining: 5 * time.Second},
				Payload: requests.Payload{Method: "POST", Path: "/a"}, Responder: noResponder{},
			})
			f.policy.Next = append(f.policy.Next, dispatch.Send{Job: request.ID, Worker: f.workerNumber()})
			remote.Write([]byte(rejected))
			f.table.Step(f.now)
		},
		"some milliseconds later": func(f *fixture, remote *peer) {
			remote.Write([]byte(acceptedResponse))
			f.runIterations()
			f.now += reuseDelay - time.Millisecond
			f.sendAttempt(0)
			remote.Write([]byte(rejected))
			f.runIterations()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			request := f.sendAttempt(0)
			remote := f.dialed[0]
			remote.Read(1 << 12)
			remote.Received = nil
			respond(f, remote)
			next := f.sendAttempt(0)
			if remote.Read(1 << 12); len(remote.Received) > 0 {
				t.Errorf("the connection with the stray response got %.60q, expected nothing", remote.Received)
			}
			f.expect("first request", request)
			f.expect("next request", next)
			if !remote.Ended {
				t.Error("the connection is still open")
			}
			last := f.dialed[len(f.dialed)-1]
			if last.Read(1 << 12); !strings.Contains(string(last.Received), "X-Call-Id: "+next.CallID+"\r\n") {
				t.Errorf("the next request was sent as %q", last.Received)
			}
			last.Write([]byte("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"))
			f.runIterations()
			f.expect("next request, after its own response", next, dispatch.Failed)
		})
	}
	// Attempts and health checks succeed by different status codes, so a second response to the other kind is recognised.
	t.Run("to a health check", func(t *testing.T) {
		f := newFixture(t)
		const alive = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		f.runActions(dispatch.HealthCheck{Worker: f.workerNumber()})
		remote := f.dialed[0]
		remote.Read(1 << 12)
		remote.Write([]byte(alive))
		f.runIterations()
		request := f.sendAttempt(0)
		if len(f.dialed) != 1 {
			t.Fatal("the connection of a health check is not reused")
		}
		remote.Write([]byte(alive))
		f.runIterations()
		f.expect("stray response", request, dispatch.ConnectionReset)
		if remote.Read(1 << 12); !remote.Ended {
			t.Error("the connection is still open")
		}
	})
	t.Run("of an attempt, to a health check", func(t *testing.T) {
		f := newFixture(t)
		f.sendAttempt(0)
		remote := f.dialed[0]
		remote.Read(1 << 12)
		remote.Write([]byte(acceptedResponse))
		f.runIterations()
		f.runActions(dispatch.HealthCheck{Worker: f.workerNumber()})
		remote.Write([]byte(acceptedResponse))
		f.runIterations()
		if got, _ := f.policy.Received[len(f.policy.Received)-1].(dispatch.HealthChecked); got.Result != dispatch.NotSent || len(f.dialed) != 1 {
			t.Errorf("the health check ended as %v on %d connections", got.Result, len(f.dialed))
		}
	})
}

// A response that is cut off by the end of the connection counts as none. One without a length is completed by the end of the
// connection.
func TestTruncatedResponse(t *testing.T) {
	for text, want := range map[string][]dispatch.Result{
		"":                                    {dispatch.ConnectionReset},
		"HTTP/1.1 20":                         {dispatch.ConnectionReset},
		"HTTP/1.1 202 Accepted":               {dispatch.ConnectionReset},
		"HTTP/1.1 202 Accepted\r\n":           {dispatch.ConnectionReset},
		"HTTP/1.1 202 Accepted\r\nContent-Le": {dispatch.ConnectionReset},
		"HTTP/1.1 202 Accepted\r\nContent-Length: 5\r\n\r\nhalf":             {dispatch.ConnectionReset},
		"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nha": {dispatch.ConnectionReset},
		"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n":   {dispatch.ConnectionReset},
		"HTTP/1.1 100 Continue\r\n\r\n":                                      {dispatch.ConnectionReset},
		"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\n":                             {dispatch.ConnectionReset},
		"HTTP/1.1 202 Accepted\r\n\r\nuntil the cl":                          nil,
		"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\n\r\nuntil the cl":             {dispatch.WorkerFull},
	} {
		f := newFixture(t)
		request := f.sendAttempt(0)
		remote := f.dialed[0]
		remote.Read(1 << 12)
		remote.Write([]byte(text))
		f.runIterations()
		f.expect(fmt.Sprintf("%q, still open", text), request)
		remote.Close()
		f.runIterations()
		f.expect(fmt.Sprintf("%q, closed", text), request, want...)
		if f.pool.openCount != 0 || len(f.pool.byAttempt) != 0 {
			t.Errorf("%q: the connection is still open", text)
		}
	}
}

// An endless response is cut off by closing its connection at maxResponseSize. Other exchanges are not affected.
func TestEndlessResponse(t *testing.T) {
	for name, test := range map[string]struct{ header, repeated string }{
		"a status line":         {"", "HTTP/1.1 202 Accepted "},
		"a header":              {"HTTP/1.1 202 Accepted\r\n", "X: y\r\n"},
		"interim responses":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"a body without length": {"HTTP/1.1 202 Accepted\r\n\r\n", "0123456789abcdef"},
		"chunks":                {"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"trailers":              {"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"a chunk size":          {"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n", "00000000"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			request := f.sendAttempt(0)
			remote := f.dialed[0]
			remote.Read(1 << 12)
			remote.Write([]byte(test.header))
			conn := f.pool.byAttempt[f.table.InFlightAttempt(request.ID, 0)]
			piece, maxBuffered := strings.Repeat(test.repeated, 4096/len(test.repeated)), 0
			for n := 0; n < 4*maxResponseSize && !remote.Ended; n += len(piece) {
				remote.Write([]byte(piece))
				f.runIterations()
				maxBuffered = max(maxBuffered, len(conn.Input()))
				remote.Read(1)
			}
			if !remote.Ended || maxBuffered > maxResponseSize+64<<10 {
				t.Fatalf("closed %v, %d bytes were buffered", remote.Ended, maxBuffered)
			}
			f.expect("endless response", request, dispatch.ConnectionReset)
			next := f.sendAttempt(0)
			last := f.dialed[len(f.dialed)-1]
			last.Read(1 << 12)
			last.Write([]byte("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"))
			f.runIterations()
			f.expect("next request", next, dispatch.WorkerFull)
		})
	}
}

// A response before the last byte of its request is written ends the connection, so the worker never receives all of the attempt
// and can't execute it.
func TestResponseBeforeLastByte(t *testing.T) {
	for text, want := range map[string]dispatch.Result{
		acceptedResponse: dispatch.ConnectFailed,
		"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n":                 dispatch.ConnectFailed,
		"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n": dispatch.WorkerFull,
		"HTTP/1.1 413 Too large\r\nContent-Length: 0\r\n\r\n":             dispatch.NotSent,
		"garbage\r\n\r\n": dispatch.ConnectFailed,
	} {
		f := newFixture(t)
		request := f.sendAttempt(http1.MaxBodySize)
		remote := f.dialed[0]
		remote.Read(1000)
		remote.Write([]byte(text))
		for range 64 {
			f.runIterations()
			remote.Read(1 << 20)
		}
		var m http1.Request
		if _, err := m.Parse(remote.Received); err == nil || !remote.Ended {
			t.Errorf("%.20q: the whole request was received, or the connection is open; closed %v", text, remote.Ended)
		}
		f.expect(fmt.Sprintf("%.12q", text), request, want)
	}
}
