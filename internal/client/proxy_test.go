package client

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvecove/internal/address"
	"valvecove/internal/config"
	"valvecove/internal/eventloop/eventlooptest"
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
		f := newProxyFixture(s, &log)
		start := starts[s.Pick(len(starts))]
		from, trusted := frontAddr, s.Pick(3) > 0
		if !trusted {
			from = "192.0.2.1:40000"
		}
		p := f.openConnectionFrom(netip.MustParseAddrPort(from))
		began := f.Time
		const request = "GET /up HTTP/1.1\r\n\r\n"
		unsent := start.text + request + request
		s.Record(fmt.Sprintf("from %s, %q", from, unsent))
		refused := start.header && (!trusted || start.client == "")
		unsent = f.writeParts(p, unsent)
		requestBytes := 2*len(request) - len(unsent) // bytes of requests that have come; less than 0: not even the header has
		whole, answered := max(0, requestBytes)/len(request), countOK(p)
		s.Check(!refused || len(p.Received) == 0 && (unsent != "" || p.Ended), "refused, but got %q, ended %v", p.Received, p.Ended)
		s.Check(refused || requestBytes < 0 || answered == whole && !p.Ended, "%d answers, expected %d", answered, whole)
		if whole == 0 { // of the first request not all has come: whatever has is given up in time
			f.Time = max(f.Time, began+requestReadTimeout+expiryInterval)
			f.expectGivenUp(p, refused || requestBytes < 0)
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
func countOK(p *eventlooptest.Peer) int {
	p.Read(1 << 16)
	return strings.Count(string(p.Received), "HTTP/1.1 200 ")
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

// newProxyFixture returns a fixture that trusts some proxies, and logs about connections.
func newProxyFixture(s *modeltest.Steps, log *bytes.Buffer) *fixture {
	return newFixtureWith(s, func(listenerConfig *Config) {
		listenerConfig.ConnectionLog = logging.NewFactory(config.Log{}, "n0", log).NewLogger()
		listenerConfig.Log = listenerConfig.ConnectionLog
		listenerConfig.AccessLists = address.New(config.Addresses{TrustedProxies: []netip.Prefix{netip.MustParsePrefix("10.20.0.0/24")}})
	})
}

// writeParts writes a text in parts for as long as there are steps, and returns what is left of it.
func (f *fixture) writeParts(p *eventlooptest.Peer, unsent string) string {
	for f.More() && unsent != "" {
		n := min(len(unsent), 1+f.Pick(60))
		p.Write([]byte(unsent[:n]))
		f.Time += time.Duration(f.Pick(40)) * time.Millisecond
		f.RunIterations()
		f.Record(fmt.Sprint("write ", n))
		unsent = unsent[n:]
	}
	return unsent
}

// expectGivenUp runs the loop, and expects the connection of a client to end with nothing written, if it must.
func (f *fixture) expectGivenUp(p *eventlooptest.Peer, must bool) {
	f.RunIterations()
	countOK(p)
	f.Check(!must || p.Ended && len(p.Received) == 0, "a header that was not whole: got %q, ended %v", p.Received, p.Ended)
}
