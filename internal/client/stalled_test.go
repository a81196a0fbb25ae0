package client

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
)

const (
	// stalledClientLimit is the time within which, by the protocol, a client that stops in the middle of a request gets an error
	// or the end of its connection. After a request in flight the time counts from the response to that.
	stalledClientLimit = 3 * time.Second
	stalledClientStep  = 50 * time.Millisecond // between two checks
)

// stalledRequests are partial requests, by the place at which they stop.
var stalledRequests = map[string]string{
	"method":        "PO",
	"target":        "POST /a",
	"head":          "POST /a HTTP/1.1\r\nX-Call-Cla",
	"end of head":   "POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: s\r\nX-Caller: t\r\nContent-Length: 5\r\n",
	"no body":       "POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: s\r\nX-Caller: t\r\nContent-Length: 5\r\n\r\n",
	"body":          "POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: s\r\nX-Caller: t\r\nContent-Length: 5\r\n\r\nhell",
	"awaited body":  "POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: s\r\nX-Caller: t\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n",
	"chunk size":    "POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: s\r\nX-Caller: t\r\nTransfer-Encoding: chunked\r\n\r\n1",
	"chunk":         "POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: s\r\nX-Caller: t\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhel",
	"after a chunk": "POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: s\r\nX-Caller: t\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n",
	"last chunk":    "POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: s\r\nX-Caller: t\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n",
	"large body":    "POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: s\r\nX-Caller: t\r\nContent-Length: 65000\r\n\r\n" + strings.Repeat("x", 40_000),
	"PROXY text":    "PROXY TCP4 203.0.113.7 10.2",
	"PROXY binary":  v2Start + "\x21\x11\x00",
	"PROXY, method": "PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000\r\nPO",
}

// A client that stops in the middle of a request gets an error or the end of its connection within stalledClientLimit: on a new
// connection, on one that was idle after a response, and after a request in flight, whose response it gets first.
func TestStalledRequestsEndInTime(t *testing.T) {
	for where, text := range stalledRequests {
		for name, stall := range map[string]func(f *fixture, p *eventlooptest.Peer, text string){
			"new": func(f *fixture, p *eventlooptest.Peer, text string) { f.writeAll(p, []byte(text)) },
			"in pieces": func(f *fixture, p *eventlooptest.Peer, text string) {
				for piece := range strings.SplitAfterSeq(text, "\n") {
					f.writeAll(p, []byte(piece))
					f.runUntilIdle()
				}
			},
			"idle before":      stallAfterIdle,
			"after a request":  stallAfterRequest,
			"after a response": stallAfterResponse,
			"during shutdown": func(f *fixture, p *eventlooptest.Peer, text string) {
				f.writeAll(p, []byte(text))
				f.listener.Drain()
				f.listener.Close()
			},
		} {
			if strings.HasPrefix(where, "PROXY") && (name == "after a request" || name == "after a response") {
				continue // a PROXY header comes first on its connection
			}
			t.Run(where+", "+name, func(t *testing.T) {
				var log bytes.Buffer
				f := newProxyFixture(&modeltest.Steps{T: t}, &log)
				p := f.openConnectionFrom(netip.MustParseAddrPort(proxyAddr))
				stall(f, p, text)
				f.expectEndInTime(p)
			})
		}
	}
}

// stallAfterIdle stalls on a connection that was silent for nearly requestReadTimeout.
func stallAfterIdle(f *fixture, p *eventlooptest.Peer, text string) {
	f.Time += requestReadTimeout - time.Millisecond
	f.runUntilIdle()
	f.writeAll(p, []byte(text))
}

// stallAfterResponse stalls on a connection that was idle after a useful request.
func stallAfterResponse(f *fixture, p *eventlooptest.Peer, text string) {
	stallAfterRequest(f, p, "")
	f.Time += time.Hour
	f.runUntilIdle()
	f.writeAll(p, []byte(text))
}

// stallAfterRequest stalls while a request is in flight, which then fails.
func stallAfterRequest(f *fixture, p *eventlooptest.Peer, text string) {
	f.writeAll(p, []byte(requestOfSize(1, 0)))
	f.runUntilIdle()
	f.writeAll(p, []byte(text))
	f.runUntilIdle()
	f.Time += 4 * time.Second
	f.runUntilIdle()
	f.act(dispatch.Fail{Job: 1})
	f.runUntilIdle()
	p.Read(1 << 10)
	if !strings.Contains(string(p.Received), "HTTP/1.1 500 ") || strings.Contains(string(p.Received), " 408 ") || p.Ended {
		f.T.Fatalf("the request in flight got %q, ended %v", p.Received, p.Ended)
	}
	p.Received = nil
}

// expectEndInTime expects an error response or the end of a connection within stalledClientLimit, and no open connection after
// maxLingerTime.
func (f *fixture) expectEndInTime(p *eventlooptest.Peer) {
	f.T.Helper()
	stalledAt := f.Time
	hasEnded := func() bool {
		f.runUntilIdle()
		p.Read(1 << 12)
		text := strings.ReplaceAll(string(p.Received), http1.ContinueResponse, "")
		return p.Ended || strings.HasPrefix(text, "HTTP/1.1 4") || strings.HasPrefix(text, "HTTP/1.1 5")
	}
	for !hasEnded() {
		if f.Time += stalledClientStep; f.Time-stalledAt > stalledClientLimit {
			f.T.Fatalf("%v after it stopped, the client has received %q, ended %v", f.Time-stalledAt, p.Received, p.Ended)
		}
	}
	f.Time += maxLingerTime + expiryInterval
	f.runUntilIdle()
	if connections := len(f.listener.connections); connections != 0 {
		f.T.Errorf("%d connections are left", connections)
	}
}
