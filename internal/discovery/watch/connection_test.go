package watch

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/discovery"
	"valvecove/internal/eventloop"
	"valvecove/internal/modeltest"
)

// Events are read in any layout of JSON, on one line or several, with or without line ends between events, and with the body
// split into chunks of any size. Each event is applied once its last brace is received.
func TestWatchReadsAnyEventLayout(t *testing.T) {
	const entry = `{"instanceId":"s-}{\"]\\","hostPort":"127.0.0.1:1","lifecycle":"up"}`
	for name, text := range map[string]string{
		"lines":       `{"generation":1,"reset":true,"instances":[` + entry + "]}\n" + `{"generation":2,"instances":[]}` + "\n",
		"indented":    "{\n  \"generation\": 1,\n  \"reset\": true,\n  \"instances\": [\n    " + entry + "\n  ]\n}\n{\n\t\"generation\": 2\n}\n",
		"CRLF":        "{\r\n\"generation\": 1,\r\n\"instances\": [" + entry + "]}\r\n\r\n  {\r\n\"generation\": 2}\r\n",
		"no line end": `{"generation":1,"instances":[` + entry + `]}{"generation":2}`,
	} {
		for _, size := range []int{len(text), 7, 1} {
			f, server := newWatchingFixture(t)
			server.Write([]byte(watchResponse))
			for at := 0; at < len(text); at += size {
				server.Write([]byte(chunk(text[at:min(at+size, len(text))])))
				if size > 1 || at%16 == 0 { // often enough that the socket's buffer does not fill
					f.RunIterations()
				}
			}
			f.RunIterations()
			f.expectRevisions(t, fmt.Sprintf("%s, %d bytes per chunk", name, size), 1, 2)
		}
	}
}

// Input that is not an event ends the watch at once.
func TestWatchRejectsMalformedEvents(t *testing.T) {
	for name, text := range map[string]string{
		"brace": "}\n",
		"word":  "generation\n",
		"mixed": "{\"generation\":1]\n",
		"array": "[]\n",
	} {
		f, server := newWatchingFixture(t)
		server.Write([]byte(watchResponse + chunk(text)))
		f.RunIterations()
		f.expectRevisions(t, name, watchLost)
	}
}

// An incomplete event does not count as a line: without further input, the watch ends at the time limit after the last line, and
// not before.
func TestIncompleteEventDoesNotExtendWatch(t *testing.T) {
	f, server := newWatchingFixture(t)
	server.Write([]byte(watchResponse + chunk("\n")))
	f.RunIterations()
	f.Time += 2 * time.Second
	server.Write([]byte(chunk("{\n\"generation\":1,\n")))
	f.RunIterations()
	f.Time += time.Second - 1
	f.RunIterations()
	f.expectRevisions(t, "incomplete event, before the time limit")
	f.Time++
	f.RunIterations()
	f.expectRevisions(t, "incomplete event, at the time limit", watchLost)
}

// An event that exceeds discovery.MaxEventSize ends the watch.
func TestWatchBoundsEventSize(t *testing.T) {
	const chunkSize, writeSize = 32 << 10, 4 << 10
	f, server := newWatchingFixture(t)
	server.Write([]byte(watchResponse + chunk("{\"a\":\"")))
	endless := []byte(chunk(strings.Repeat("x", chunkSize)))
	for n := 0; n < discovery.MaxEventSize/chunkSize+2 && f.watch.IsOpen(); n++ {
		for piece := range slices.Chunk(endless, writeSize) {
			if !f.watch.IsOpen() {
				break
			}
			server.Write(piece)
			f.RunIterations()
		}
	}
	f.expectRevisions(t, fmt.Sprintf("an event without end, %d bytes buffered", f.watch.scanner.Buffered()), watchLost)
}

// A watch without input is reopened before its staleness deadline, regardless of the number of schedulers, and requests the
// changes since the current revision. Late input on the previous connection is not read.
func TestSilentWatchReconnects(t *testing.T) {
	for _, schedulers := range []int{1, 300} {
		config := discovery.Config{PollInterval: 10 * time.Second, Schedulers: schedulers}
		f := newFixture(&modeltest.Steps{T: t}, config, maxRandom)
		f.table.WatchEndpoints()
		f.RunIterations()
		first := f.dialed[0]
		first.Write([]byte(watchResponse + chunk(`{"generation":7,"instances":[]}`+"\n")))
		f.RunIterations()
		f.Time += 3 * time.Second
		f.RunIterations()
		first.Read(1 << 12)
		if got := f.takeRevisions()[1:]; !first.Ended || !slices.Equal(got, []int64{7, watchLost}) {
			t.Errorf("after 3 s without input: connection closed %v, revisions %v, want a lost watch", first.Ended, got)
		}
		first.Write([]byte(chunk(`{"generation":8}` + "\n")))
		f.Time += 2 * time.Second // 5 s after the last line
		f.RunIterations()
		if len(f.dialed) != 2 {
			t.Fatalf("%d schedulers: %d connections 5 s after the last line, want 2", schedulers, len(f.dialed))
		}
		second := f.dialed[1]
		second.Read(1 << 12)
		if got := string(second.Received); !strings.HasPrefix(got, "GET /discovery/hosts?stream=1&index=7 ") {
			t.Errorf("requested %q, want the changes since revision 7", got)
		}
		f.policy.Next = append(f.policy.Next, dispatch.Subscribe{}) // the policy subscribes while the watch is already reopened
		f.table.DiscoveryFailed()
		f.RunIterations()
		if len(f.dialed) != 2 {
			t.Error("a second connection was opened while one is open")
		}
		second.Write([]byte(watchResponse + chunk(`{"generation":9}`)))
		f.RunIterations()
		f.expectRevisions(t, "reopened watch", watchLost, 9)
	}
}

// After a connection that is reset, receives an error response or receives no response, the next connection is opened after a
// bounded backoff, without a request by the policy.
func TestFailedConnectionsAreRetried(t *testing.T) {
	const (
		connections = 12
		maxBackoff  = 2 * time.Second
		step        = 50 * time.Millisecond
	)
	for name, test := range map[string]struct {
		fail   func(server *server)
		within time.Duration
	}{
		"503":         {func(server *server) { server.Write([]byte("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")) }, maxBackoff},
		"reset":       {(*server).Close, maxBackoff},
		"no response": {func(*server) {}, 4*time.Second + maxBackoff},
	} {
		f, _ := newWatchingFixture(t)
		for n := 1; n <= connections; n++ {
			server := f.dialed[n-1]
			server.Read(1 << 12)
			test.fail(server)
			for until := f.Time + test.within; f.Time < until && len(f.dialed) == n; f.Time += step {
				f.RunIterations()
			}
			f.RunIterations()
			if len(f.dialed) != n+1 {
				t.Fatalf("%s: after %d connections, no further one within %v", name, n, test.within)
			}
		}
	}
}

// A worker that is first listed in an event of an open watch has started after the previous line, which may have been empty. An
// earlier start time is therefore replaced by the time of the event, unless an earlier event has shown that this process's clock
// agrees with the worker's.
func TestWatchBoundsStartTimes(t *testing.T) {
	f, server := newWatchingFixture(t)
	send := func(text string) {
		server.Write([]byte(chunk(text + "\n")))
		f.RunIterations()
	}
	server.Write([]byte(watchResponse))
	send(`{"generation":1,"reset":true,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:1","lifecycle":"up"}]}`)
	f.Time += time.Minute
	send("") // an empty line: the list has not changed
	f.Time += 2 * time.Second
	for _, test := range []struct{ listedAgo, wantAgo time.Duration }{
		{time.Hour, 0},
		{30 * time.Second, 0}, // before the last empty line
		{800 * time.Millisecond, 800 * time.Millisecond},
		{30 * time.Second, 30 * time.Second}, // the previous event has shown that the clocks agree
	} {
		f.policy.Received = nil
		started := f.Time - test.listedAgo
		send(fmt.Sprintf(`{"generation":2,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:1","lifecycle":"up","startedAtMs":%d}]}`,
			started.Milliseconds()))
		list, ok := f.policy.Received[len(f.policy.Received)-1].(dispatch.WorkerList)
		if !ok || len(list.Workers) != 1 {
			t.Fatalf("received %v, want a list with 1 worker last", f.policy.Received)
		}
		if got := f.Time - list.Workers[0].BootAt; got != test.wantAgo {
			t.Errorf("listed as started %v ago: start time %v ago, want %v", test.listedAgo, got, test.wantAgo)
		}
		f.Time += 500 * time.Millisecond
	}
}

// The server is changed repeatedly: some servers never accept the connection, and others respond only after the next server is
// configured. The last server is watched from revision 0 on, on the only open connection, before its staleness deadline, and no
// input from the other servers is applied.
func TestRepeatedServerChanges(t *testing.T) {
	const lastRevision = 1000
	for _, interval := range []time.Duration{0, time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond} {
		for _, schedulers := range []int{1, 300} {
			t.Run(fmt.Sprintf("%v, %d", interval, schedulers), func(t *testing.T) {
				config := discovery.Config{PollInterval: 10 * time.Second, Schedulers: schedulers}
				f := newFixture(&modeltest.Steps{T: t}, config, maxRandom)
				f.table.WatchEndpoints()
				f.RunIterations()
				f.policy.Received = nil
				last := f.changeServerRepeatedly(interval)
				deadline := f.Time + 4*time.Second
				for len(f.dialed) == 0 || f.dialed[len(f.dialed)-1].address != last {
					if f.Time += 10 * time.Millisecond; f.Time >= deadline {
						t.Fatalf("%v is not watched at its staleness deadline", last)
					}
					f.RunIterations()
				}
				f.expectOnlyLastServer(t, lastRevision)
			})
		}
	}
}

// changeServerRepeatedly configures ten servers, one per interval, and returns the last one. The connections to some of them are
// never established; the others receive a response, which may arrive after the next server is configured.
func (f *fixture) changeServerRepeatedly(interval time.Duration) (last netip.AddrPort) {
	const servers = 10
	for n := range servers {
		f.neverEstablished = n%3 == 1
		last = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(100+n))
		f.watch.ChangeServer(last)
		for end := f.Time + interval; ; f.Time = min(end, f.Time+50*time.Millisecond) {
			f.RunIterations()
			if f.Time == end {
				break
			}
		}
		for i, p := range f.dialed[:max(0, len(f.dialed)-1)] {
			p.Write([]byte(watchResponse + chunk(fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[]}`, 10+i))))
		}
		f.neverEstablished = false
	}
	return last
}

// expectOnlyLastServer checks that only the newest connection is open, and that only its list is applied.
func (f *fixture) expectOnlyLastServer(t *testing.T, revision int64) {
	t.Helper()
	last := f.dialed[len(f.dialed)-1]
	for _, p := range f.dialed {
		p.Read(1 << 20)
		if p.Ended != (p != last) {
			t.Errorf("the connection to %v is closed: %v, want %v", p.address, p.Ended, p != last)
		}
	}
	if !strings.HasPrefix(string(last.Received), "GET /discovery/hosts?stream=1&index=0 ") {
		t.Errorf("requested %q, want the list from revision 0 on", last.Received)
	}
	last.Write([]byte(watchResponse + chunk(fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[]}`, revision))))
	f.RunIterations()
	// Connections that were never established are reported as lost.
	received := slices.DeleteFunc(f.takeRevisions(), func(r int64) bool { return r == watchLost })
	if !slices.Equal(received, []int64{revision}) {
		t.Errorf("revisions %v, want only %d of the last server", received, revision)
	}
}

// localShortages are errors of a dial that are caused by a lack of resources of this machine.
var localShortages = []struct {
	call  eventloop.Call
	errno unix.Errno
}{
	{eventloop.CallSocket, unix.EMFILE},
	{eventloop.CallSocket, unix.ENFILE},
	{eventloop.CallSocket, unix.ENOBUFS},
	{eventloop.CallSocket, unix.ENOMEM},
	{eventloop.CallConnect, unix.EADDRNOTAVAIL},
	{eventloop.CallConnect, unix.EAGAIN},
	{eventloop.CallConnect, unix.ENETUNREACH},
	{eventloop.CallConnect, unix.ENOBUFS},
}

// A watch that cannot be opened because this machine lacks a resource is opened later.
func TestWatchOpensAfterLocalShortage(t *testing.T) {
	for _, shortage := range localShortages {
		f := newFixture(&modeltest.Steps{T: t}, discovery.Config{PollInterval: 10 * time.Second}, minRandom)
		f.dialErrors = slices.Repeat([]error{fmt.Errorf("dial: %w", eventloop.NewCallError(shortage.call, shortage.errno))}, 2)
		f.table.WatchEndpoints()
		f.RunIterations()
		if len(f.dialed) != 0 || f.watch.IsOpen() {
			t.Fatalf("%v: watch opened although the dial failed", shortage.errno)
		}
		for range 60 {
			f.Advance(time.Second)
		}
		if len(f.dialed) == 0 || len(f.dialErrors) > 0 {
			t.Errorf("%v: watch not opened within a minute", shortage.errno)
		}
	}
}

// A watch that is lost by an error of the network is reopened, whatever the error is.
func TestWatchIsReopenedAfterAnyErrno(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EPIPE} {
		f := newFixture(&modeltest.Steps{T: t}, discovery.Config{PollInterval: 10 * time.Second}, minRandom)
		f.table.WatchEndpoints()
		f.RunIterations()
		if !f.watch.IsOpen() || len(f.dialed) != 1 {
			t.Fatalf("%d connections, open: %v, want 1 open connection", len(f.dialed), f.watch.IsOpen())
		}
		f.failTransfers(f.watch.FD(), errno)
		f.dialed[0].Write([]byte("HTTP/1.1 200"))
		f.RunIterations()
		if f.watch.IsOpen() {
			t.Errorf("%v: watch still open", errno)
		}
		f.Syscalls().Interceptor = nil
		f.Advance(time.Minute)
		if !f.watch.IsOpen() || len(f.dialed) != 2 {
			t.Errorf("%v: watch not reopened within a minute", errno)
		}
	}
}

// failTransfers makes all reads and writes of a descriptor fail.
func (f *fixture) failTransfers(failing int, errno unix.Errno) {
	f.Syscalls().Interceptor = func(call eventloop.Call, descriptor int) (injection eventloop.Injection) {
		switch call {
		case eventloop.CallRead, eventloop.CallReceive, eventloop.CallReceiveMessage, eventloop.CallWrite, eventloop.CallSendMessage:
			if descriptor == failing {
				injection.Errno = errno
			}
		default:
		}
		return injection
	}
}
