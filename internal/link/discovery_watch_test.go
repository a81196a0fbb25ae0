package link

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/discovery"
	"valvecove/internal/modeltest"
)

const watchResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// watchLost stands for the loss of the list among revisions.
const watchLost = -1

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// newWatchedHarness returns a world that has requested the watch, and the discovery service's end of the connection.
func newWatchedHarness(t *testing.T) (*harness, *peer) {
	t.Helper()
	watched := newHarness(&modeltest.Steps{T: t})
	watched.loop.Requests.WatchEndpoints()
	watched.runIterations()
	server := watched.dialed[0]
	server.read(1 << 12)
	watched.policy.Received = nil
	return watched, server
}

// takeRevisions returns the revisions of the list updates that the policy has received since the last call, and watchLost for each
// loss.
func (w *harness) takeRevisions() (revisions []int64) {
	for _, event := range w.policy.Received {
		list, ok := event.(dispatch.WorkerList)
		switch {
		case !ok:
		case list.Kind == dispatch.ListUnavailable:
			revisions = append(revisions, watchLost)
		default:
			revisions = append(revisions, list.Revision)
		}
	}
	w.policy.Received = nil
	return revisions
}

// expectRevisions checks and takes the revisions received.
func (w *harness) expectRevisions(t *testing.T, what string, want ...int64) {
	t.Helper()
	if got := w.takeRevisions(); !slices.Equal(got, want) {
		t.Errorf("%s: revisions %v, wanted %v", what, got, want)
	}
}

// Events are read in any layout of JSON: on a line or indented over several, with line ends between or none, in one piece or
// byte by byte, each in a chunk of its own. Each is applied once its last brace has come.
func TestWatchReadsAnyEventLayout(t *testing.T) {
	const entry = `{"instanceId":"s-}{\"]\\","hostPort":"127.0.0.1:1","lifecycle":"up"}`
	for name, text := range map[string]string{
		"lines":       `{"generation":1,"reset":true,"instances":[` + entry + "]}\n" + `{"generation":2,"instances":[]}` + "\n",
		"indented":    "{\n  \"generation\": 1,\n  \"reset\": true,\n  \"instances\": [\n    " + entry + "\n  ]\n}\n{\n\t\"generation\": 2\n}\n",
		"CRLF":        "{\r\n\"generation\": 1,\r\n\"instances\": [" + entry + "]}\r\n\r\n  {\r\n\"generation\": 2}\r\n",
		"no line end": `{"generation":1,"instances":[` + entry + `]}{"generation":2}`,
	} {
		for _, size := range []int{len(text), 7, 1} {
			watched, server := newWatchedHarness(t)
			server.write([]byte(watchResponse))
			for at := 0; at < len(text); at += size {
				server.write([]byte(chunk(text[at:min(at+size, len(text))])))
				if size > 1 || at%16 == 0 { // so that the socket never fills
					watched.runIterations()
				}
			}
			watched.runIterations()
			watched.expectRevisions(t, fmt.Sprintf("%s, %d bytes a chunk", name, size), 1, 2)
		}
	}
}

// What can't be read ends the watch at once.
func TestWatchRejectsMalformedEvents(t *testing.T) {
	for name, text := range map[string]string{
		"brace": "}\n",
		"word":  "generation\n",
		"mixed": "{\"generation\":1]\n",
		"array": "[]\n",
	} {
		watched, server := newWatchedHarness(t)
		server.write([]byte(watchResponse + chunk(text)))
		watched.runIterations()
		watched.expectRevisions(t, name, watchLost)
	}
}

// Half an event, and then silence, ends the watch when a line was due, and not before.
func TestHalfAnEventKeepsNoWatch(t *testing.T) {
	watched, server := newWatchedHarness(t)
	server.write([]byte(watchResponse + chunk("\n")))
	watched.runIterations()
	watched.now += 2 * time.Second
	server.write([]byte(chunk("{\n\"generation\":1,\n")))
	watched.runIterations()
	watched.now += time.Second - 1
	watched.runIterations()
	watched.expectRevisions(t, "half an event, before a line was due")
	watched.now++
	watched.runIterations()
	watched.expectRevisions(t, "half an event, and silence", watchLost)
}

// An event without end is not kept without end.
func TestWatchBoundsEventSize(t *testing.T) {
	const chunkSize, writeSize = 32 << 10, 4 << 10
	watched, server := newWatchedHarness(t)
	server.write([]byte(watchResponse + chunk("{\"a\":\"")))
	endless := []byte(chunk(strings.Repeat("x", chunkSize)))
	for n := 0; n < discovery.MaxEventSize/chunkSize+2 && watched.loop.watch.isOpen(); n++ {
		for piece := range slices.Chunk(endless, writeSize) {
			if !watched.loop.watch.isOpen() {
				break
			}
			server.write(piece)
			watched.runIterations()
		}
	}
	watched.expectRevisions(t, fmt.Sprintf("an event without end, of which %d bytes are kept", watched.loop.watch.scanner.Buffered()), watchLost)
}

// A watch that has fallen silent is opened anew, unasked, while what it missed does not yet count as known, however many
// schedulers there are; from the list at hand on; and what comes late on the one before is not read.
func TestSilentWatchReconnects(t *testing.T) {
	for _, schedulers := range []int{1, 300} {
		watched := newHarness(&modeltest.Steps{T: t})
		config := discovery.Config{PollInterval: 10 * time.Second, Schedulers: schedulers}
		latest := func(n int64) int64 { return n - 1 } // that may be drawn
		watched.loop.watch = watched.loop.newWatchConnection(netip.AddrPort{}, config, latest)
		watched.loop.Requests.WatchEndpoints()
		watched.runIterations()
		first := watched.dialed[0]
		first.write([]byte(watchResponse + chunk(`{"generation":7,"instances":[]}`+"\n")))
		watched.runIterations()
		watched.now += 3 * time.Second
		watched.runIterations()
		first.read(1 << 12)
		if got := watched.takeRevisions()[1:]; !first.ended || !slices.Equal(got, []int64{7, watchLost}) {
			t.Errorf("not taken for broken after 3 s: revisions %v", got)
		}
		first.write([]byte(chunk(`{"generation":8}` + "\n")))
		watched.now += 2 * time.Second // 5 s after the last line
		watched.runIterations()
		if len(watched.dialed) != 2 {
			t.Fatalf("%d schedulers: %d connections by 5 s after the last line", schedulers, len(watched.dialed))
		}
		second := watched.dialed[1]
		second.read(1 << 12)
		if got := string(second.received); !strings.HasPrefix(got, "GET /discovery/hosts?stream=1&index=7 ") {
			t.Errorf("requested %q", got)
		}
		watched.policy.Next = append(watched.policy.Next, dispatch.Subscribe{}) // the policy's own, late: the list is followed
		watched.loop.Requests.DiscoveryFailed()
		watched.runIterations()
		if len(watched.dialed) != 2 {
			t.Error("a connection beside one that is open")
		}
		second.write([]byte(watchResponse + chunk(`{"generation":9}`)))
		watched.runIterations()
		watched.expectRevisions(t, "the new watch", watchLost, 9)
	}
}

// Connections that are refused, answered with an error, or not answered at all are made again, unasked, after a bounded
// backoff.
func TestFailedConnectionsAreRetried(t *testing.T) {
	const (
		connections = 12
		maxBackoff  = 2 * time.Second
		step        = 50 * time.Millisecond
	)
	for name, test := range map[string]struct {
		fail   func(server *peer)
		within time.Duration
	}{
		"503":   {func(server *peer) { server.write([]byte("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")) }, maxBackoff},
		"reset": {(*peer).close, maxBackoff},
		"hang":  {func(*peer) {}, 4*time.Second + maxBackoff},
	} {
		watched, _ := newWatchedHarness(t)
		for n := 1; n <= connections; n++ {
			server := watched.dialed[n-1]
			server.read(1 << 12)
			test.fail(server)
			for until := watched.now + test.within; watched.now < until && len(watched.dialed) == n; watched.now += step {
				watched.runIterations()
			}
			watched.runIterations()
			if len(watched.dialed) != n+1 {
				t.Fatalf("%s: after %d connections none within %v", name, n, test.within)
			}
		}
	}
}

// A worker that is told of while the watch goes on has not started before the line before, which may have been empty: one that
// looks as if it had counts from when it was told. By a clock that may be right, it started when it is told to have.
func TestWatchBoundsStartTimes(t *testing.T) {
	watched, server := newWatchedHarness(t)
	send := func(text string) {
		server.write([]byte(chunk(text + "\n")))
		watched.runIterations()
	}
	server.write([]byte(watchResponse))
	send(`{"generation":1,"reset":true,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:1","lifecycle":"up"}]}`)
	watched.now += time.Minute
	send("") // nothing has changed
	watched.now += 2 * time.Second
	for _, test := range []struct{ listedAgo, wantAgo time.Duration }{
		{time.Hour, 0},
		{30 * time.Second, 0}, // while nothing had changed
		{800 * time.Millisecond, 800 * time.Millisecond},
		{30 * time.Second, 30 * time.Second}, // our clock was shown to be right
	} {
		watched.policy.Received = nil
		started := watched.now - test.listedAgo
		send(fmt.Sprintf(`{"generation":2,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:1","lifecycle":"up","startedAtMs":%d}]}`,
			started.Milliseconds()))
		list, ok := watched.policy.Received[len(watched.policy.Received)-1].(dispatch.WorkerList)
		if !ok || len(list.Workers) != 1 {
			t.Fatalf("received %v", watched.policy.Received)
		}
		if got := watched.now - list.Workers[0].BootAt; got != test.wantAgo {
			t.Errorf("told to have started %v ago: %v, expected %v", test.listedAgo, got, test.wantAgo)
		}
		watched.now += 500 * time.Millisecond
	}
}

// Configurations that come one after the other, each with another discovery, some of which never accept, or answer once the
// next one is named: the last is watched from revision 0 on, on the only connection that is left, before its list counts as
// known; and nothing that the others say is taken in.
func TestServersNamedInARow(t *testing.T) {
	const lastRevision = 1000
	for _, interval := range []time.Duration{0, time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond} {
		for _, schedulers := range []int{1, 300} {
			t.Run(fmt.Sprintf("%v, %d", interval, schedulers), func(t *testing.T) {
				watched := newHarness(&modeltest.Steps{T: t})
				latest := func(n int64) int64 { return n - 1 }
				config := discovery.Config{PollInterval: 10 * time.Second, Schedulers: schedulers}
				watched.loop.watch = watched.loop.newWatchConnection(netip.AddrPort{}, config, latest)
				watched.loop.Requests.WatchEndpoints()
				watched.runIterations()
				watched.policy.Received = nil
				last := watched.nameServersInARow(interval)
				known := watched.now + 4*time.Second
				for len(watched.dialed) == 0 || watched.dialed[len(watched.dialed)-1].dialedAddress != last {
					if watched.now += 10 * time.Millisecond; watched.now >= known {
						t.Fatalf("%v is not watched when its list counts as known", last)
					}
					watched.runIterations()
				}
				watched.expectOnlyLast(t, lastRevision)
			})
		}
	}
}

// nameServersInARow names ten discoveries, so far apart. Each connection that is made is answered, some only once the next is
// named, or never comes up.
func (w *harness) nameServersInARow(interval time.Duration) (last netip.AddrPort) {
	const servers = 10
	for n := range servers {
		up := w.loop.dial
		if n%3 == 1 {
			w.delayConnections()
		}
		last = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(100+n))
		w.loop.Reload(config.Config{Discovery: last, Limits: config.Limits{Sockets: 100}})
		for end := w.now + interval; ; w.now = min(end, w.now+50*time.Millisecond) {
			w.runIterations()
			if w.now == end {
				break
			}
		}
		for i, p := range w.dialed[:max(0, len(w.dialed)-1)] {
			p.write([]byte(watchResponse + chunk(fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[]}`, 10+i))))
		}
		w.loop.dial = up
	}
	return last
}

// expectOnlyLast expects the connection made last to be the only one, and its list the only one that is taken in.
func (w *harness) expectOnlyLast(t *testing.T, revision int64) {
	t.Helper()
	last := w.dialed[len(w.dialed)-1]
	for _, p := range w.dialed {
		p.read(1 << 20)
		if p.ended != (p != last) {
			t.Errorf("the connection to %v has ended: %v", p.dialedAddress, p.ended)
		}
	}
	if !strings.HasPrefix(string(last.received), "GET /discovery/hosts?stream=1&index=0 ") {
		t.Errorf("requested %q", last.received)
	}
	last.write([]byte(watchResponse + chunk(fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[]}`, revision))))
	w.runIterations()
	received := slices.DeleteFunc(w.takeRevisions(), func(r int64) bool { return r == watchLost }) // of those that did not come up
	if !slices.Equal(received, []int64{revision}) {
		t.Errorf("revisions %v, wanted that of the last server", received)
	}
}
