package link

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvecove/internal/address"
	"valvecove/internal/config"
	"valvecove/internal/logging"
	"valvecove/internal/modeltest"
)

const frontAddr, v2Start = "10.20.0.9:40000", "\r\n\r\n\x00\r\nQUIT\n"

// starts are what may come first on a connection, what a trusted front's peer is then taken for (none: the connection is
// closed), and whether another may send it.
var starts = []struct {
	text, client string
	header       bool
}{
	{"", frontAddr, false},
	{"\r\n", frontAddr, false}, // as a version 2 header begins
	{"PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000\r\n", "203.0.113.7:51514", true},
	{"PROXY TCP6 2001:db8::7 2001:db8::1 51514 9000\r\n", "[2001:db8::7]:51514", true},
	{"PROXY UNKNOWN\r\n", frontAddr, true},
	{"PROXY nonsense\r\n", "", true},
	{v2Start + "\x21\x11\x00\x0f\xcb\x00\x71\x07\x0a\x14\x00\x01\xc9\x3a\x23\x28\x04\x00\x00", "203.0.113.7:51514", true},
	{v2Start + "\x20\x00\x00\x00", frontAddr, true},
	{v2Start + "\x21\x12\x00\x0c\xcb\x00\x71\x07\x0a\x14\x00\x01\xc9\x3a\x23\x28", "", true},
	{"PROXY UNKNOWN\r\nPROXY UNKNOWN\r\n", "", true},
}

// A connection is taken for the client that a trusted front's header names, whatever pieces that comes in, and its
// requests are read from there on; a header that may not come or makes no sense, or that is not whole in time, ends
// the connection with nothing written, and every line of the log about it says whose it is.
func FuzzProxyHeader(f *testing.F) {
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		var log bytes.Buffer
		w := newProxyHarness(s, &log)
		start := starts[s.Pick(len(starts))]
		from, trusted := frontAddr, s.Pick(3) > 0
		if !trusted {
			from = "192.0.2.1:40000"
		}
		p, fd := w.socketPair()
		w.loop.clients.addConnection(fd, netip.MustParseAddrPort(from))
		began := w.now
		const request = "GET /up HTTP/1.1\r\n\r\n"
		unsent := start.text + request + request
		s.Record(fmt.Sprintf("from %s, %q", from, unsent))
		refused := start.header && (!trusted || start.client == "")
		unsent = w.writeParts(p, unsent)
		requestBytes := 2*len(request) - len(unsent) // bytes of requests that have come; less than 0: not even the header has
		whole, answered := max(0, requestBytes)/len(request), p.countOK()
		s.Check(!refused || len(p.received) == 0 && (unsent != "" || p.ended), "refused, but got %q, ended %v", p.received, p.ended)
		s.Check(refused || requestBytes < 0 || answered == whole && !p.ended, "%d answers, expected %d", answered, whole)
		if whole == 0 { // of the first request not all has come: whatever has is given up in time
			w.now = max(w.now, began+requestReadTimeout+expiryInterval)
			w.expectGivenUp(p, refused || requestBytes < 0)
		}
		whose := " client=" + from
		if start.header && !refused {
			whose = " client=" + start.client + " via=" + frontAddr
		}
		checkWhoseLines(s, log.String(), whose, refused, answered)
		s.Check(answered == 0 || strings.Contains(log.String(), "client connection open"), "no line says who it was: %q", log.String())
	})
}

// countOK reads what has come, and counts the responses that say yes.
func (p *peer) countOK() int {
	p.read(1 << 16)
	return strings.Count(string(p.received), "HTTP/1.1 200 ")
}

// checkWhoseLines expects each line of a log to say whose connection it is about.
func checkWhoseLines(s *modeltest.Steps, log, whose string, refused bool, answered int) {
	for _, line := range strings.Split(strings.TrimSpace(log), "\n") {
		if answered > 0 && line != "" {
			s.Check(strings.HasSuffix(line, whose), "%q is not about%s", line, whose)
		}
		s.Check(line == "" || refused && strings.Contains(line, " client=") || answered > 0, "%q of a connection that was not refused and said nothing", line)
	}
}

// newProxyHarness returns a harness that trusts some proxies, and logs about connections.
func newProxyHarness(s *modeltest.Steps, log *bytes.Buffer) *harness {
	w := newHarness(s)
	w.loop.clients.connectionLog = logging.NewFactory(config.Log{}, "n0", log).NewLogger()
	w.loop.clients.log = w.loop.clients.connectionLog
	w.loop.clients.accessLists = address.New(config.Addresses{TrustedProxies: []netip.Prefix{netip.MustParsePrefix("10.20.0.0/24")}})
	return w
}

// writeParts writes a text in parts for as long as there are steps, and returns what is left of it.
func (w *harness) writeParts(p *peer, unsent string) string {
	for w.More() && unsent != "" {
		n := min(len(unsent), 1+w.Pick(60))
		p.write([]byte(unsent[:n]))
		w.now += time.Duration(w.Pick(40)) * time.Millisecond
		w.runIterations()
		w.Record(fmt.Sprint("write ", n))
		unsent = unsent[n:]
	}
	return unsent
}

// expectGivenUp runs the loop, and expects the connection of a client to end with nothing written, if it must.
func (w *harness) expectGivenUp(p *peer, must bool) {
	w.runIterations()
	p.countOK()
	w.Check(!must || p.ended && len(p.received) == 0, "a header that was not whole: got %q, ended %v", p.received, p.ended)
}
