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

// starts are what may come first on a link, what a trusted front's peer is then taken for (none: the link is
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

// A link is taken for the client that a trusted front's header names, whatever pieces that comes in, and its
// requests are read from there on; a header that may not come or makes no sense, or that is not whole in time, ends
// the link with nothing written, and every line of the log about it says whose it is.
func FuzzIntroduction(f *testing.F) {
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		w := newWorld(s)
		var log bytes.Buffer
		w.loop.connectionLog = logging.NewFactory(config.Log{}, "n0", &log).NewLogger()
		w.loop.log = w.loop.connectionLog
		w.loop.addressLists = address.New(config.Addresses{TrustedProxies: []netip.Prefix{netip.MustParsePrefix("10.20.0.0/24")}})
		start := starts[s.Pick(len(starts))]
		from, trusted := frontAddr, s.Pick(3) > 0
		if !trusted {
			from = "192.0.2.1:40000"
		}
		p, fd := w.pair()
		w.loop.clients.addConnection(fd, netip.MustParseAddrPort(from))
		began := w.now
		const ask = "GET /up HTTP/1.1\r\n\r\n"
		rest := start.text + ask + ask
		s.Record(fmt.Sprintf("from %s, %q", from, rest))
		refused := start.header && (!trusted || start.client == "")
		for n := 0; s.More() && rest != ""; rest = rest[n:] {
			n = min(len(rest), 1+s.Pick(60))
			p.write([]byte(rest[:n]))
			w.now += time.Duration(s.Pick(40)) * time.Millisecond
			w.turn()
			s.Record(fmt.Sprint("write ", n))
		}
		got := func() int {
			p.read(1 << 16)
			return strings.Count(string(p.got), "HTTP/1.1 200 ")
		}
		asked := 2*len(ask) - len(rest) // bytes of requests that have come; less than 0: not even the header has
		whole, answered := max(0, asked)/len(ask), got()
		if refused {
			s.Check(len(p.got) == 0 && (rest != "" || p.ended), "refused, but got %q, ended %v", p.got, p.ended)
		} else if asked >= 0 {
			s.Check(answered == whole && !p.ended, "%d answers, expected %d", answered, whole)
		}
		if whole == 0 { // of the first request not all has come: whatever has is given up in time
			w.now = max(w.now, began+requestReadTimeout+expiryInterval)
			w.turn()
			if got(); refused || asked < 0 {
				s.Check(p.ended && len(p.got) == 0, "a header that was not whole: got %q, ended %v", p.got, p.ended)
			}
		}
		whose := " client=" + from
		if start.header && trusted && !refused {
			whose = " client=" + start.client + " via=" + frontAddr
		}
		for _, line := range strings.Split(strings.TrimSpace(log.String()), "\n") {
			if answered > 0 && line != "" {
				s.Check(strings.HasSuffix(line, whose), "%q is not about%s", line, whose)
			}
			s.Check(line == "" || refused && strings.Contains(line, " client=") || answered > 0, "%q of a link that was not refused and said nothing", line)
		}
		s.Check(answered == 0 || strings.Contains(log.String(), "client link open"), "no line says who it was: %q", log.String())
	})
}
