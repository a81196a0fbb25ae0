package link

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
)

// What a client that stops in the middle of a request and stays is owed, by the protocol's page: an error or the end of its
// connection within 3 s. Behind a request in flight, that counts from its response.
const (
	stalledClientLimit = 3 * time.Second
	stalledClientStep  = 50 * time.Millisecond
)

// stalledRequests are requests that stop, by where they do.
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

// A client that stops in the middle of a request and stays gets an error or the end of its connection in time: on a new
// connection, on one that has had a response and was idle, and behind a request that is in flight, whose response it gets
// first.
func TestStalledRequestsEndInTime(t *testing.T) {
	for where, text := range stalledRequests {
		for name, stall := range map[string]func(w *harness, p *peer, text string){
			"new": func(w *harness, p *peer, text string) { w.writeAll(p, []byte(text)) },
			"in pieces": func(w *harness, p *peer, text string) {
				for piece := range strings.SplitAfterSeq(text, "\n") {
					w.writeAll(p, []byte(piece))
					w.runUntilQuiet()
				}
			},
			"idle before":       stallAfterIdle,
			"behind a request":  stallBehindRequest,
			"after a response":  stallAfterResponse,
			"amid the shutdown": func(w *harness, p *peer, text string) { w.writeAll(p, []byte(text)); w.loop.Drain(); w.loop.Close() },
		} {
			if strings.HasPrefix(where, "PROXY") && (name == "behind a request" || name == "after a response") {
				continue // a PROXY header comes first on its connection
			}
			t.Run(where+", "+name, func(t *testing.T) {
				var log bytes.Buffer
				w := newProxyHarness(&modeltest.Steps{T: t}, &log)
				p, fd := w.socketPair()
				w.loop.clients.addConnection(fd, netip.MustParseAddrPort(frontAddr))
				stall(w, p, text)
				w.expectEndInTime(p)
			})
		}
	}
}

// stallAfterIdle stalls on a connection that has been silent for nearly as long as one may be.
func stallAfterIdle(w *harness, p *peer, text string) {
	w.now += requestReadTimeout - time.Millisecond
	w.runUntilQuiet()
	w.writeAll(p, []byte(text))
}

// stallAfterResponse stalls on a connection that is idle after a request of use.
func stallAfterResponse(w *harness, p *peer, text string) {
	stallBehindRequest(w, p, "")
	w.now += time.Hour
	w.runUntilQuiet()
	w.writeAll(p, []byte(text))
}

// stallBehindRequest stalls while a request is in flight, which is then served.
func stallBehindRequest(w *harness, p *peer, text string) {
	w.writeAll(p, []byte(requestOfSize(1, 0)))
	w.runUntilQuiet()
	w.writeAll(p, []byte(text))
	w.runUntilQuiet()
	w.now += 4 * time.Second
	w.runUntilQuiet()
	w.policy.Next = append(w.policy.Next, dispatch.Fail{Job: 1})
	w.loop.Requests.Wake()
	w.runUntilQuiet()
	p.read(1 << 10)
	if !strings.Contains(string(p.received), "HTTP/1.1 500 ") || strings.Contains(string(p.received), " 408 ") || p.ended {
		w.T.Fatalf("the request in flight got %q, ended %v", p.received, p.ended)
	}
	p.received = nil
}

// expectEndInTime expects an error, or the end of a connection, and that no descriptor is left a while later.
func (w *harness) expectEndInTime(p *peer) {
	w.T.Helper()
	stalledAt := w.now
	answered := func() bool {
		w.runUntilQuiet()
		p.read(1 << 12)
		text := strings.ReplaceAll(string(p.received), http1.ContinueResponse, "")
		return p.ended || strings.HasPrefix(text, "HTTP/1.1 4") || strings.HasPrefix(text, "HTTP/1.1 5")
	}
	for !answered() {
		if w.now += stalledClientStep; w.now-stalledAt > stalledClientLimit {
			w.T.Fatalf("%v after it stopped it has %q, ended %v", w.now-stalledAt, p.received, p.ended)
		}
	}
	w.now += maxLingerTime + expiryInterval
	w.runUntilQuiet()
	if connections := len(w.loop.clients.connections); connections != 0 {
		w.T.Errorf("%d connections are left", connections)
	}
}
