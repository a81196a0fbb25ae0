package link

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/hotrestart"
	"valvecove/internal/requests"
	"valvecove/internal/steps"
)

// enableHotRestart makes a world one whose process can be replaced, or can replace another.
func (w *world) enableHotRestart() {
	w.loop.decides = dispatch.New(*w.loop.clients.set, 1)
	w.loop.wrap = func(*dispatch.Dispatcher) requests.Policy { return w.module } // what it does is scripted, before and after
	w.loop.onFail = func(err error) { w.T.Errorf("a process fails: %v", err) }
}

// startSuccessor makes a new world that stands by to replace this one.
func (w *world) startSuccessor(dir string, at netip.AddrPort) *world {
	next := newWorld(w.Steps)
	next.enableHotRestart()
	next.now, next.loop.clients.set = w.now, w.loop.clients.set
	w.Check(next.loop.joinPredecessor(dir, at), "no elder")
	for next.loop.successorRole.protocol.State() == hotrestart.SuccessorJoining {
		w.turn()
		next.turn()
	}
	return next
}

// handOverTo hands over to it.
func (w *world) handOverTo(next *world) error {
	ended, heir := make(chan struct{}), next.loop.successorRole
	go func() {
		defer close(ended)
		for heir.protocol.State() == hotrestart.SuccessorStandby || heir.protocol.State() == hotrestart.SuccessorReceiving {
			_ = next.loop.turn(1000) // the elder does nothing else meanwhile, so this is another goroutine's
		}
	}()
	err := w.loop.Relinquish()
	if err != nil { // its channel is closed with that
		_ = w.loop.turn(0)
	}
	<-ended
	w.turn()
	next.turn()
	return err
}

func newPredecessorWorld(s *steps.Steps, dir string) (*world, netip.AddrPort) {
	w := newWorld(s)
	w.enableHotRestart()
	var err error
	if w.loop.clients.fd, err = w.loop.listen(netip.MustParseAddrPort("127.0.0.1:0"), w.loop.clients); err != nil {
		s.T.Fatal(err)
	}
	w.loop.awaitSuccessor(successorAddresses(dir, w.loop.Addr()))
	return w, w.loop.Addr()
}

// Wherever a hand-over cuts the bytes of a request, of an attempt, of a worker node's answer or of what has been answered, one
// client on one connection gets each answer once, and worker nodes get each attempt once and whole.
func FuzzHotRestart(f *testing.F) {
	steps.Fuzz(f, func(s *steps.Steps) {
		dir := s.T.TempDir()
		w, at := newPredecessorWorld(s, dir)
		worker := w.worker()
		client, fd := w.pair()
		w.loop.clients.adopt(fd, netip.MustParseAddrPort("127.0.0.1:9"))
		var nodes []*peer // the far ends of server links, of all processes
		n, seen, answered := 0, 0, 0
		unsent, answer, sent, out := "", "", false, false
		text := func() string {
			return fmt.Sprintf("POST /a/%d HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: q%d\r\nX-Caller: t\r\nContent-Length: %d\r\n\r\n%s",
				n, n, 15000*(n%3), strings.Repeat("x", 15000*(n%3)))
		}
		body, want := func() string { return fmt.Sprintf("made of q%d", n) }, ""
		look := func(reads int) {
			w.turn()
			s.Check((len(w.loop.Ledger.Cordoned()) == 1) == out, "bans %v", w.loop.Ledger.Cordoned())
			for _, p := range w.dialed {
				if p.at != w.loop.watch.server { // who takes over calls discovery too
					nodes = append(nodes, p)
				}
			}
			w.dialed = nil
			for i, p := range nodes {
				p.read(reads)
				var m Message
				if k, err := m.ParseRequest(p.got); err == nil {
					s.Check(string(m.Get("X-Call-Id")) == fmt.Sprint("q", n) && len(m.Body) == 15000*(n%3) && k == len(p.got), "attempt %q", p.got)
					p.got = nil
					seen++
					s.Check(seen == n, "%d attempts of %d queries", seen, n)
					nodes[i], nodes[len(nodes)-1] = nodes[len(nodes)-1], nodes[i]
					answer = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
					break
				}
			}
			client.read(1 << 16)
			s.Check(string(client.got) == want && !client.ended, "the client has %q, expected %q", client.got, want)
		}
		for s.More() {
			switch what := s.Pick(10); {
			case what == 0:
				next := w.startSuccessor(dir, at)
				err := w.handOverTo(next)
				s.Check(err == nil, "hand-over: %v", err)
				s.Check(w.loop.relinquished && next.loop.predecessorRole != nil, "not replaced")
				w = next
				s.Did("hand over")
			case what < 4 && unsent == "" && answer == "" && !sent && seen == n:
				n++
				unsent = text()
				s.Did("ask")
			case unsent != "":
				i := min(len(unsent), 1+s.Pick(8)*s.Pick(200)*30)
				client.write([]byte(unsent[:i]))
				unsent = unsent[i:]
				s.Did(fmt.Sprint("write ", i))
			case what < 6 && !out && unsent == "" && seen < n && !sent && w.loop.Ledger.OpenCount() == 1:
				s.Check(w.loop.Ledger.Request(uint64(n)) != nil, "query %d has another number", n)
				w.module.Next = []dispatch.Action{dispatch.Send{Job: uint64(n), Worker: worker}}
				w.loop.Ledger.Wake()
				sent = true
				s.Did("send")
			case what >= 5 && answer != "":
				i := min(len(answer), 1+s.Pick(len(answer)))
				nodes[len(nodes)-1].write([]byte(answer[:i]))
				answer = answer[i:]
				s.Did("answer")
			case what >= 6 && answer == "" && sent && seen == n:
				result := body()
				_, _ = w.loop.Ledger.HandleCallback(requests.Callback{CallID: fmt.Sprint("q", n), EndpointID: "s-0", State: "done", Result: &result})
				want += fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body()), body())
				sent = false
				answered++
				s.Did("done")
			case what == 8:
				w.now += 20 * time.Millisecond
			case what == 9 && !sent:
				if out = !out; out {
					w.loop.Ledger.Cordon("s-0")
				} else {
					w.loop.Ledger.Uncordon("s-0")
				}
				s.Did("ban or end it")
			}
			look(1 + s.Pick(4)*3000)
		}
		for range 20 { // whatever was under way when the steps ended gets there
			look(1 << 16)
		}
		s.Check(!sent || seen == n, "an attempt did not come whole")
		s.Check(unsent != "" || n == answered || w.loop.Ledger.OpenCount() == 1, "a query is lost")
	})
}

// sendRequest has a client of the world, on a link of its own, bring query "q".
func (w *world) sendRequest(at netip.AddrPort) *peer {
	client, fd := w.pair()
	w.loop.clients.adopt(fd, at)
	client.write([]byte("POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: q\r\nX-Caller: t\r\nContent-Length: 0\r\n\r\n"))
	w.turn()
	return client
}

// A hand-over that breaks off changes nothing: the elder still has all, and serves; the heir has nothing of it, and asks anew,
// so that the next one succeeds. A second heir is turned away, and takes nobody's place by that.
func TestFailedTransferChangesNothing(t *testing.T) {
	s := &steps.Steps{T: t}
	dir := t.TempDir()
	w, at := newPredecessorWorld(s, dir)
	if err := w.loop.Relinquish(); err != ErrNoSuccessor {
		t.Errorf("with no heir: %v", err)
	}
	client := w.sendRequest(at)
	next := w.startSuccessor(dir, at)
	if both := w.loop.clients.most + next.loop.clients.most; both > 1024-2*ownDescriptors {
		t.Errorf("two processes hold %d client links", both)
	}
	second, denied := newWorld(s), false
	second.enableHotRestart()
	second.loop.onFail = func(error) { denied = true }
	if !second.loop.joinPredecessor(dir, at) {
		t.Error("the second heir finds no elder")
	}
	for !denied {
		w.turn()
		second.turn()
	}
	if second.loop.predecessorRole != nil || second.loop.clients.fd >= 0 {
		t.Error("the second heir serves, or has the elder's place")
	}
	heir := next.loop.successorRole
	_, stray := w.pair()
	heir.received.descriptors = []int{stray} // what has come makes no sense, but to the end
	if err := w.handOverTo(next); err == nil || w.loop.relinquished || w.loop.Ledger.OpenCount() != 1 {
		t.Fatalf("handed over to one that did not take it: %v", err)
	}
	for heir.protocol.State() == hotrestart.SuccessorJoining || w.loop.predecessorRole.successor == nil {
		w.turn()
		next.turn()
	}
	if next.loop.Ledger.OpenCount() != 0 || len(next.loop.clients.links) != 0 || next.loop.clients.fd >= 0 {
		t.Error("the heir has something of a hand-over that failed")
	}
	if err := w.handOverTo(next); err != nil || next.loop.halved {
		t.Fatalf("the second time: %v", err)
	}
	next.module.Next = []dispatch.Action{dispatch.Reject{Job: 1}}
	next.loop.Ledger.Wake()
	next.turn()
	if client.read(1 << 16); !strings.HasPrefix(string(client.got), "HTTP/1.1 503 ") {
		t.Errorf("the client got %q", client.got)
	}
}

// An elder that dies leaves its bans, in the file; what is left at the path of its socket is in nobody's way.
func TestPredecessorDies(t *testing.T) {
	s := &steps.Steps{T: t}
	dir := t.TempDir()
	w, at := newPredecessorWorld(s, dir)
	next := w.startSuccessor(dir, at)
	if err := writeCordonFile(dir+"/"+cordonFileName, []string{"s-0"}); err != nil {
		t.Fatal(err)
	}
	w.loop.remove(w.loop.predecessorRole.listenerFD)
	w.turn()
	w.loop.predecessorRole.successor.closeWithDescriptors()
	w.turn()
	next.turn()
	if got := next.loop.Ledger.Cordoned(); len(got) != 1 || got[0] != "s-0" || next.loop.clients.fd < 0 || next.loop.unready() == "" {
		t.Errorf("after its elder's death: bans %v", got)
	}
	third := next.startSuccessor(dir, at)
	if err := next.handOverTo(third); err != nil || len(third.loop.Ledger.Cordoned()) != 1 {
		t.Errorf("the next one: %v", err)
	}
}

// A module's state that is of no use to the next build costs what was learnt, and no query: its module is told of each query
// and what became of its attempts.
func TestIncompatibleSnapshotKeepsRequests(t *testing.T) {
	s := &steps.Steps{T: t}
	dir := t.TempDir()
	w, at := newPredecessorWorld(s, dir)
	client := w.sendRequest(at)
	w.module.Next = []dispatch.Action{dispatch.Send{Job: 1, Worker: w.worker()}}
	w.loop.Ledger.Wake()
	w.turn()
	next := w.startSuccessor(dir, at)
	set := *w.loop.clients.set
	set.Classes = append(set.Classes, set.Classes[0]) // a snapshot for other classes is none for these
	next.loop.clients.set = &set
	if err := w.handOverTo(next); err != nil {
		t.Fatal(err)
	}
	next.turn()
	var told []dispatch.JobResumed
	for _, e := range next.module.Heard {
		if r, ok := e.(dispatch.JobResumed); ok {
			told = append(told, r)
		}
	}
	if len(told) != 1 || told[0].Job.ID != 1 || len(told[0].Attempts) != 1 || told[0].Attempts[0].Ended {
		t.Fatalf("told of %+v", told)
	}
	result := "made"
	_, _ = next.loop.Ledger.HandleCallback(requests.Callback{CallID: "q", EndpointID: "s-0", State: "done", Result: &result})
	next.turn()
	if client.read(1 << 16); !strings.HasSuffix(string(client.got), "made") {
		t.Errorf("the client got %q", client.got)
	}
}

// A call that was handed on, and that the elder had not read when it handed over, is carried out by the new owner. The heir's
// word counts if it was said before the elder gave up, also behind such a call, and can't be said after that.
func TestCordonCallCrossesTransfer(t *testing.T) {
	s := &steps.Steps{T: t}
	dir := t.TempDir()
	w, at := newPredecessorWorld(s, dir)
	next := w.startSuccessor(dir, at)
	code := 0
	next.loop.ban("s-0", true, func(got int, _ string) { code = got })
	if err := w.handOverTo(next); err != nil || code != 200 || len(next.loop.Ledger.Cordoned()) != 1 {
		t.Errorf("%v, answered %d, bans %v", err, code, next.loop.Ledger.Cordoned())
	}
	for _, said := range []bool{false, true} {
		heir := next.startSuccessor(dir, at).loop.successorRole
		_ = heir.sendFrame(hotrestart.KindSetCordon, hotrestart.SetCordon{Sequence: 1, WorkerID: "s-0"})
		if said {
			_ = heir.sendFrame(hotrestart.KindTakenOver, nil)
		}
		if next.loop.predecessorRole.successor.takenOverBeforeShutdown() != said || heir.sendFrame(hotrestart.KindTakenOver, nil) == nil {
			t.Errorf("said %v, not heard so, or said too late", said)
		}
		next.loop.predecessorRole.successor.disconnect(nil)
	}
}

// A process that is told to end while it stands by takes nothing along, and the next can stand by.
func TestLeaveStandby(t *testing.T) {
	s := &steps.Steps{T: t}
	dir := t.TempDir()
	w, at := newPredecessorWorld(s, dir)
	next := w.startSuccessor(dir, at)
	if w.loop.LeaveStandby() || !next.loop.LeaveStandby() || next.loop.LeaveStandby() {
		t.Error("one that serves stands down, or one that stands by does not, or does twice")
	}
	next.turn()
	w.turn()
	if err := w.loop.Relinquish(); err != ErrNoSuccessor || w.loop.halved {
		t.Errorf("handed over to nobody: %v", err)
	}
	// Nor does one that connects and never says a word keep others out.
	mute, err := dialPredecessor(successorAddresses(dir, at))
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(mute)
	w.turn()
	w.now += handshakeTimeout
	w.turn()
	if err := w.handOverTo(w.startSuccessor(dir, at)); err != nil {
		t.Error(err)
	}
}

// Who takes over watches the host group itself, from before it says that it is ready, and goes on to if that had just ended.
func TestSuccessorWatchesEndpoints(t *testing.T) {
	for _, lost := range []bool{false, true} {
		s := &steps.Steps{T: t}
		dir := t.TempDir()
		w, at := newPredecessorWorld(s, dir)
		w.loop.clients.set.MustSubscribe = true // an heir has its elder's settings
		next := w.startSuccessor(dir, at)
		s.Check(next.loop.watch.isOpen(), "it stands by without a watch")
		if lost {
			next.loop.watch.stop()
		}
		// Both are told to read their configuration, which names another discovery and other limits.
		conf := config.Config{Discovery: netip.MustParseAddrPort("127.0.0.1:8"), Limits: config.Limits{Sockets: 512, MemoryMB: 64}}
		w.loop.Reload(conf)
		next.loop.Reload(conf)
		half := next.loop.clients.most
		if err := w.handOverTo(next); err != nil || !next.loop.watch.isOpen() || next.loop.watch.server != conf.Discovery ||
			next.loop.clients.most < 2*half {
			t.Errorf("lost %v: %v, watched %v at %v, %d client links, %d before", lost, err, next.loop.watch.isOpen(), next.loop.watch.server,
				next.loop.clients.most, half)
		}
	}
}
