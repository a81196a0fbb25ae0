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

const proxyAddr, v2Start = "10.20.0.9:40000", "\r\n\r\n\x00\r\nQUIT\n"

// connectionStarts are the first bytes of a connection, the client address that results on a connection of a trusted proxy
// (empty: the connection is closed), and whether they are a PROXY header.
var connectionStarts = []struct {
	text, client string
	header       bool
}{
	{"", proxyAddr, false},
	{"\r\n", proxyAddr, false}, // the first bytes of a version 2 header, and no more of it
	{"PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000\r\n", "203.0.113.7:51514", true},
	{"PROXY TCP6 2001:db8::7 2001:db8::1 51514 9000\r\n", "[2001:db8::7]:51514", true},
	{"PROXY UNKNOWN\r\n", proxyAddr, true},
	{"PROXY nonsense\r\n", "", true},
	{v2Start + "\x21\x11\x00\x0f\xcb\x00\x71\x07\x0a\x14\x00\x01\xc9\x3a\x23\x28\x04\x00\x00", "203.0.113.7:51514", true},
	{v2Start + "\x20\x00\x00\x00", proxyAddr, true},
	{v2Start + "\x21\x12\x00\x0c\xcb\x00\x71\x07\x0a\x14\x00\x01\xc9\x3a\x23\x28", "", true},
	{"PROXY UNKNOWN\r\nPROXY UNKNOWN\r\n", "", true},
}

// FuzzProxyHeader checks that the client of a connection is the one that a trusted proxy's header names, whatever parts the
// header arrives in, and that the requests after the header are served. A header that is untrusted, malformed, or not complete in
// time ends the connection with nothing written. Each log line names the client.
func FuzzProxyHeader(f *testing.F) {
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		var log bytes.Buffer
		f := newProxyFixture(s, &log)
		start := connectionStarts[s.Pick(len(connectionStarts))]
		from, trusted := proxyAddr, s.Pick(3) > 0
		if !trusted {
			from = "192.0.2.1:40000"
		}
		p := f.openConnectionFrom(netip.MustParseAddrPort(from))
		openedAt := f.Time
		const request = "GET /up HTTP/1.1\r\n\r\n"
		unsent := start.text + request + request
		s.Record(fmt.Sprintf("from %s, %q", from, unsent))
		isRejected := start.header && (!trusted || start.client == "")
		unsent = f.writeParts(p, unsent)
		requestBytes := 2*len(request) - len(unsent) // bytes of requests that were sent; negative: the header is incomplete
		complete, answered := max(0, requestBytes)/len(request), countOK(p)
		s.Check(!isRejected || len(p.Received) == 0 && (unsent != "" || p.Ended), "rejected, but got %q, ended %v", p.Received, p.Ended)
		s.Check(isRejected || requestBytes < 0 || answered == complete && !p.Ended, "%d responses, expected %d", answered, complete)
		if complete == 0 { // a partial request times out
			f.Time = max(f.Time, openedAt+requestReadTimeout+expiryInterval)
			f.runUntilTimeout(p, isRejected || requestBytes < 0)
		}
		addresses := " client=" + from
		if start.header && !isRejected {
			addresses = " client=" + start.client + " via=" + proxyAddr
		}
		checkLogAddresses(s, log.String(), addresses, isRejected, answered)
		s.Check(answered == 0 || strings.Contains(log.String(), "client connection open"), "no line names the client: %q", log.String())
	})
}

// countOK returns how many responses with status 200 a peer has received.
func countOK(p *eventlooptest.Peer) int {
	p.Read(1 << 16)
	return strings.Count(string(p.Received), "HTTP/1.1 200 ")
}

// checkLogAddresses expects each line of a log to end with the addresses of the connection.
func checkLogAddresses(s *modeltest.Steps, log, addresses string, isRejected bool, answered int) {
	for _, line := range strings.Split(strings.TrimSpace(log), "\n") {
		if answered > 0 && line != "" {
			s.Check(strings.HasSuffix(line, addresses), "log line %q does not end with%s", line, addresses)
		}
		s.Check(line == "" || isRejected && strings.Contains(line, " client=") || answered > 0, "%q logged about a connection that was not rejected and sent no request", line)
	}
}

// newProxyFixture returns a fixture that trusts some proxies, and logs about connections.
func newProxyFixture(s *modeltest.Steps, log *bytes.Buffer) *fixture {
	return newFixtureWith(s, func(listenerConfig *Config) {
		listenerConfig.ConnectionLog = logging.NewFactory(config.Log{}, "n0", log).NewLogger()
		listenerConfig.Log = listenerConfig.ConnectionLog
		listenerConfig.AccessLists = address.NewAccessLists(config.Addresses{TrustedProxies: []netip.Prefix{netip.MustParsePrefix("10.20.0.0/24")}})
	})
}

// writeParts writes a text in parts while there are steps, and returns the part that is not written.
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

// runUntilTimeout runs the loop at the timeout of a partial request. If mustEnd is set it checks that the connection has ended
// with nothing written.
func (f *fixture) runUntilTimeout(p *eventlooptest.Peer, mustEnd bool) {
	f.RunIterations()
	countOK(p)
	f.Check(!mustEnd || p.Ended && len(p.Received) == 0, "partial header: got %q, ended %v", p.Received, p.Ended)
}
