package link

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
	"valvecove/internal/status"
)

// withStatus is a world with a status call that knows one job, "a".
func withStatus(s *modeltest.Steps) *world {
	w := newWorld(s)
	table := status.New(config.Status{Retention: time.Minute, MaxEntries: 10}, requests.NameTable{Classes: []string{"a"}}, true, w.loop.Now)
	if err := w.loop.serveStatus(netip.MustParseAddrPort("127.0.0.1:0"), table); err != nil {
		s.T.Fatal(err)
	}
	w.loop.Requests.AddObserver(table)
	if _, err := w.loop.Requests.Admit(w.now, requests.Arrival{CallID: "a", Job: dispatch.Job{Remaining: time.Hour}}); err != nil {
		s.T.Fatal(err)
	}
	return w
}

// knock connects to the status call.
func (w *world) knock() *peer {
	p, fd := w.pair()
	w.loop.status.addConnection(fd)
	return p
}

// A status link answers each request, in whatever pieces it comes, once and in turn; a stranger to the call gets an
// error; links are few, and one on which nothing goes on ends.
func FuzzStatusLink(f *testing.F) {
	asks := []struct {
		text, want string
		closes     bool
	}{
		{"GET /status/a HTTP/1.1\r\n\r\n", `200 {"id":"a","class":"a","state":"waiting"}`, false},
		{"GET /status/%61?x HTTP/1.1\r\nConnection: close\r\n\r\n", `200 {"id":"a","class":"a","state":"waiting"}`, true},
		{"GET /status/b HTTP/1.1\r\n\r\n", "404 no such id", false},
		{"GET /status/ HTTP/1.1\r\n\r\n", "404 no such path", false},
		{"POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", "404 no such path", false},
		{"POST /status/a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", "405 GET only", false},
		{"nonsense\r\n\r\n", "400 not a request line", true},
	}
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		w := withStatus(s)
		p, unsent, ask, want := w.knock(), "", asks[0], ""
		w.turn()
		quiet, last := w.now, false
		for s.More() && !p.ended {
			switch what := s.Pick(8); {
			case what < 2 && unsent == "" && !last:
				ask = asks[s.Pick(len(asks))]
				unsent = ask.text
			case what < 6 && unsent != "":
				i := min(len(unsent), 1+s.Pick(40))
				if p.write([]byte(unsent[:i])); len(unsent) == len(ask.text) {
					quiet = w.now
				}
				if unsent = unsent[i:]; unsent == "" {
					quiet, last = w.now, ask.closes
					want += ask.want + "\n"
				}
				s.Record(fmt.Sprint("write ", i, " of ", ask.text))
			case what == 6:
				w.now += time.Duration(s.Pick(8)) * 250 * time.Millisecond
				s.Record("wait")
			}
			w.turn()
			p.read(1 << 16)
			got := ""
			for _, part := range strings.Split(string(p.got), "HTTP/1.1 ")[1:] {
				head, body, _ := strings.Cut(part, "\r\n\r\n")
				got += head[:4] + body
			}
			s.Check(got == want, "got %q, expected %q", got, want)
			began := unsent != "" && len(unsent) < len(ask.text)
			limit := statusIdleTimeout
			if last || began {
				limit = requestReadTimeout
			}
			age := w.now - quiet
			s.Check(!p.ended || last || age >= limit, "ended after %v", age)
			s.Check(p.ended || age < limit+expiryInterval, "still there after %v", age)
			if p.ended {
				s.Check(w.loop.status.connections.Len() == 0 || last, "a link is left")
			}
		}
	})
}

// A crowd at the status call takes a few descriptors, and the one who asks gets an answer all the same.
func TestStatusCrowd(t *testing.T) {
	w := withStatus(&modeltest.Steps{T: t})
	first := w.knock()
	for range 3 * maxStatusConnections {
		w.knock()
		w.turn()
	}
	if first.read(1); w.loop.status.connections.Len() != maxStatusConnections || !first.ended {
		t.Errorf("%d links, the quietest ended: %v", w.loop.status.connections.Len(), first.ended)
	}
	p := w.knock()
	p.write([]byte("GET /status/a HTTP/1.1\r\n\r\n"))
	w.turn()
	if p.read(1 << 10); !strings.HasPrefix(string(p.got), "HTTP/1.1 200 ") {
		t.Errorf("in a crowd: %q", p.got)
	}
}
