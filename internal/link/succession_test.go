package link

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/config"
	"valvecove/internal/ledger"
	"valvecove/internal/steps"
	"valvecove/internal/succession"
	"valvecove/logic"
)

// replaceable makes a world one whose process can be replaced, or can replace another.
func (w *world) replaceable() {
	w.loop.decides = logic.New(*w.loop.clients.set, 1)
	w.loop.wrap = func(*logic.Dispatcher) ledger.Module { return w.module } // what it does is scripted, before and after
	w.loop.onFail = func(err error) { w.T.Errorf("a process fails: %v", err) }
}

// succeeds makes a new world that stands by to replace this one.
func (w *world) succeeds(dir string, at netip.AddrPort) *world {
	next := newWorld(w.Steps)
	next.replaceable()
	next.now, next.loop.clients.set = w.now, w.loop.clients.set
	w.Check(next.loop.succeed(dir, at), "no elder")
	for next.loop.heir.decides.Stand() == succession.Joining {
		w.turn()
		next.turn()
	}
	return next
}

// replacedBy hands over to it.
func (w *world) replacedBy(next *world) error {
	ended, heir := make(chan struct{}), next.loop.heir
	go func() {
		defer close(ended)
		for heir.decides.Stand() == succession.Standing || heir.decides.Stand() == succession.Receiving {
			_ = next.loop.turn(1000) // the elder does nothing else meanwhile, so this is another goroutine's
		}
	}()
	err := w.loop.Cede()
	if err != nil { // its channel is closed with that
		_ = w.loop.turn(0)
	}
	<-ended
	w.turn()
	next.turn()
	return err
}

func elderWorld(s *steps.Steps, dir string) (*world, netip.AddrPort) {
	w := newWorld(s)
	w.replaceable()
	var err error
	if w.loop.clients.fd, err = w.loop.listen(netip.MustParseAddrPort("127.0.0.1:0"), w.loop.clients); err != nil {
		s.T.Fatal(err)
	}
	w.loop.awaitHeir(meetingPoints(dir, w.loop.Addr()))
	return w, w.loop.Addr()
}

// Wherever a hand-over cuts the bytes of a request, of an attempt, of a worker node's answer or of what has been answered, one
// client on one connection gets each answer once, and worker nodes get each attempt once and whole.
func FuzzHandOver(f *testing.F) {
	steps.Fuzz(f, func(s *steps.Steps) {
		dir := s.T.TempDir()
		w, at := elderWorld(s, dir)
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
			s.Check((len(w.loop.Ledger.Bans()) == 1) == out, "bans %v", w.loop.Ledger.Bans())
			for _, p := range w.dialed {
				if p.at != w.loop.watch.to { // who takes over calls discovery too
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
				next := w.succeeds(dir, at)
				err := w.replacedBy(next)
				s.Check(err == nil, "hand-over: %v", err)
				s.Check(w.loop.ceded && next.loop.elder != nil, "not replaced")
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
			case what < 6 && !out && unsent == "" && seen < n && !sent && w.loop.Ledger.Open() == 1:
				s.Check(w.loop.Ledger.Query(uint64(n)) != nil, "query %d has another number", n)
				w.module.Next = []logic.Action{logic.Send{Job: uint64(n), Worker: worker}}
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
				_, _ = w.loop.Ledger.Tell(ledger.Note{ID: fmt.Sprint("q", n), From: "s-0", State: "done", Result: &result})
				want += fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body()), body())
				sent = false
				answered++
				s.Did("done")
			case what == 8:
				w.now += 20 * time.Millisecond
			case what == 9 && !sent:
				if out = !out; out {
					w.loop.Ledger.Suspend("s-0")
				} else {
					w.loop.Ledger.Restore("s-0")
				}
				s.Did("ban or end it")
			}
			look(1 + s.Pick(4)*3000)
		}
		for range 20 { // whatever was under way when the steps ended gets there
			look(1 << 16)
		}
		s.Check(!sent || seen == n, "an attempt did not come whole")
		s.Check(unsent != "" || n == answered || w.loop.Ledger.Open() == 1, "a query is lost")
	})
}

// asks has a client of the world, on a link of its own, bring query "q".
func (w *world) asks(at netip.AddrPort) *peer {
	client, fd := w.pair()
	w.loop.clients.adopt(fd, at)
	client.write([]byte("POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: q\r\nX-Caller: t\r\nContent-Length: 0\r\n\r\n"))
	w.turn()
	return client
}

// A hand-over that breaks off changes nothing: the elder still has all, and serves; the heir has nothing of it, and asks anew,
// so that the next one succeeds. A second heir is turned away, and takes nobody's place by that.
func TestHandOverFails(t *testing.T) {
	s := &steps.Steps{T: t}
	dir := t.TempDir()
	w, at := elderWorld(s, dir)
	if err := w.loop.Cede(); err != ErrNoHeir {
		t.Errorf("with no heir: %v", err)
	}
	client := w.asks(at)
	next := w.succeeds(dir, at)
	if both := w.loop.clients.most + next.loop.clients.most; both > 1024-2*ownDescriptors {
		t.Errorf("two processes hold %d client links", both)
	}
	second, denied := newWorld(s), false
	second.replaceable()
	second.loop.onFail = func(error) { denied = true }
	if !second.loop.succeed(dir, at) {
		t.Error("the second heir finds no elder")
	}
	for !denied {
		w.turn()
		second.turn()
	}
	if second.loop.elder != nil || second.loop.clients.fd >= 0 {
		t.Error("the second heir serves, or has the elder's place")
	}
	heir := next.loop.heir
	_, stray := w.pair()
	heir.came.sockets = []int{stray} // what has come makes no sense, but to the end
	if err := w.replacedBy(next); err == nil || w.loop.ceded || w.loop.Ledger.Open() != 1 {
		t.Fatalf("handed over to one that did not take it: %v", err)
	}
	for heir.decides.Stand() == succession.Joining || w.loop.elder.heir == nil {
		w.turn()
		next.turn()
	}
	if next.loop.Ledger.Open() != 0 || len(next.loop.clients.links) != 0 || next.loop.clients.fd >= 0 {
		t.Error("the heir has something of a hand-over that failed")
	}
	if err := w.replacedBy(next); err != nil || next.loop.halved {
		t.Fatalf("the second time: %v", err)
	}
	next.module.Next = []logic.Action{logic.Refuse{Job: 1}}
	next.loop.Ledger.Wake()
	next.turn()
	if client.read(1 << 16); !strings.HasPrefix(string(client.got), "HTTP/1.1 503 ") {
		t.Errorf("the client got %q", client.got)
	}
}

// An elder that dies leaves its bans, in the file; what is left at the path of its socket is in nobody's way.
func TestElderDies(t *testing.T) {
	s := &steps.Steps{T: t}
	dir := t.TempDir()
	w, at := elderWorld(s, dir)
	next := w.succeeds(dir, at)
	if err := writeBans(dir+"/"+bansFile, []string{"s-0"}); err != nil {
		t.Fatal(err)
	}
	w.loop.remove(w.loop.elder.fd)
	w.turn()
	w.loop.elder.heir.drop()
	w.turn()
	next.turn()
	if got := next.loop.Ledger.Bans(); len(got) != 1 || got[0] != "s-0" || next.loop.clients.fd < 0 || next.loop.unready() == "" {
		t.Errorf("after its elder's death: bans %v", got)
	}
	third := next.succeeds(dir, at)
	if err := next.replacedBy(third); err != nil || len(third.loop.Ledger.Bans()) != 1 {
		t.Errorf("the next one: %v", err)
	}
}

// A module's state that is of no use to the next build costs what was learnt, and no query: its module is told of each query
// and what became of its attempts.
func TestOtherModule(t *testing.T) {
	s := &steps.Steps{T: t}
	dir := t.TempDir()
	w, at := elderWorld(s, dir)
	client := w.asks(at)
	w.module.Next = []logic.Action{logic.Send{Job: 1, Worker: w.worker()}}
	w.loop.Ledger.Wake()
	w.turn()
	next := w.succeeds(dir, at)
	set := *w.loop.clients.set
	set.Classes = append(set.Classes, set.Classes[0]) // a snapshot for other classes is none for these
	next.loop.clients.set = &set
	if err := w.replacedBy(next); err != nil {
		t.Fatal(err)
	}
	next.turn()
	var told []logic.Resumed
	for _, e := range next.module.Heard {
		if r, ok := e.(logic.Resumed); ok {
			told = append(told, r)
		}
	}
	if len(told) != 1 || told[0].Job.ID != 1 || len(told[0].Attempts) != 1 || told[0].Attempts[0].Ended {
		t.Fatalf("told of %+v", told)
	}
	result := "made"
	_, _ = next.loop.Ledger.Tell(ledger.Note{ID: "q", From: "s-0", State: "done", Result: &result})
	next.turn()
	if client.read(1 << 16); !strings.HasSuffix(string(client.got), "made") {
		t.Errorf("the client got %q", client.got)
	}
}

// A call that was handed on, and that the elder had not read when it handed over, is carried out by the new owner. The heir's
// word counts if it was said before the elder gave up, also behind such a call, and can't be said after that.
func TestCallCrossesHandOver(t *testing.T) {
	s := &steps.Steps{T: t}
	dir := t.TempDir()
	w, at := elderWorld(s, dir)
	next := w.succeeds(dir, at)
	code := 0
	next.loop.ban("s-0", true, func(got int, _ string) { code = got })
	if err := w.replacedBy(next); err != nil || code != 200 || len(next.loop.Ledger.Bans()) != 1 {
		t.Errorf("%v, answered %d, bans %v", err, code, next.loop.Ledger.Bans())
	}
	for _, said := range []bool{false, true} {
		heir := next.succeeds(dir, at).loop.heir
		_ = heir.say(succession.KindBan, succession.Ban{Seq: 1, ID: "s-0"})
		if said {
			_ = heir.say(succession.KindTaken, nil)
		}
		if next.loop.elder.heir.taken() != said || heir.say(succession.KindTaken, nil) == nil {
			t.Errorf("said %v, not heard so, or said too late", said)
		}
		next.loop.elder.heir.end(nil)
	}
}

// A process that is told to end while it stands by takes nothing along, and the next can stand by.
func TestStandDown(t *testing.T) {
	s := &steps.Steps{T: t}
	dir := t.TempDir()
	w, at := elderWorld(s, dir)
	next := w.succeeds(dir, at)
	if w.loop.StandDown() || !next.loop.StandDown() || next.loop.StandDown() {
		t.Error("one that serves stands down, or one that stands by does not, or does twice")
	}
	next.turn()
	w.turn()
	if err := w.loop.Cede(); err != ErrNoHeir || w.loop.halved {
		t.Errorf("handed over to nobody: %v", err)
	}
	// Nor does one that connects and never says a word keep others out.
	mute, err := reach(meetingPoints(dir, at))
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(mute)
	w.turn()
	w.now += welcomeWithin
	w.turn()
	if err := w.replacedBy(w.succeeds(dir, at)); err != nil {
		t.Error(err)
	}
}

// Who takes over watches the host group itself, from before it says that it is ready, and goes on to if that had just ended.
func TestHeirWatches(t *testing.T) {
	for _, lost := range []bool{false, true} {
		s := &steps.Steps{T: t}
		dir := t.TempDir()
		w, at := elderWorld(s, dir)
		w.loop.clients.set.MustSubscribe = true // an heir has its elder's settings
		next := w.succeeds(dir, at)
		s.Check(next.loop.watch.on, "it stands by without a watch")
		if lost {
			next.loop.watch.stop()
		}
		// Both are told to read their configuration, which names another discovery and other limits.
		conf := config.Config{Discovery: netip.MustParseAddrPort("127.0.0.1:8"), Limits: config.Limits{Sockets: 512, MemoryMB: 64}}
		w.loop.Reload(conf)
		next.loop.Reload(conf)
		half := next.loop.clients.most
		if err := w.replacedBy(next); err != nil || !next.loop.watch.on || next.loop.watch.to != conf.Discovery ||
			next.loop.clients.most < 2*half {
			t.Errorf("lost %v: %v, watched %v at %v, %d client links, %d before", lost, err, next.loop.watch.on, next.loop.watch.to,
				next.loop.clients.most, half)
		}
	}
}
