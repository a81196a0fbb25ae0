package ledger_test

import (
	"errors"
	"log/slog"
	"slices"
	"testing"
	"time"

	"valvecove/internal/ledger"
	"valvecove/internal/steps"
	"valvecove/internal/storedform"
	"valvecove/internal/succession"
	"valvecove/logic"
)

// goldenAt is when the golden hand-over was, as Unix time.
const goldenAt = 1_764_633_600 * time.Second

// recordingCarrier is a Carrier that keeps what it is handed.
type recordingCarrier struct {
	carried, withdrawn []*ledger.Attempt
}

func (c *recordingCarrier) Carry(a *ledger.Attempt)    { c.carried = append(c.carried, a) }
func (c *recordingCarrier) GiveUp(*ledger.Attempt)     {}
func (c *recordingCarrier) Withdraw(a *ledger.Attempt) { c.withdrawn = append(c.withdrawn, a) }
func (c *recordingCarrier) Probe(uint64)               {}
func (c *recordingCarrier) FreeLinks(uint64)           {}
func (c *recordingCarrier) Watch(int64)                {}

// recordingAsker keeps the answer that it gets.
type recordingAsker struct{ got string }

func (a *recordingAsker) Serve(result []byte)    { a.got += "served " + string(result) }
func (a *recordingAsker) Throttle(time.Duration) { a.got += "throttled" }
func (a *recordingAsker) Fail()                  { a.got += "failed" }

func goldenLedger(module *steps.Script, carrier ledger.Carrier) *ledger.Ledger {
	names := ledger.Names{Classes: []string{"a", "b"}, Tenants: []string{"t"}, Zones: []string{"z1", "z2"}, Kinds: []string{"m5", "c5"}}
	return ledger.New(3, names, func() ledger.Module { return module }, ledger.HostGroup{}, carrier, slog.New(slog.DiscardHandler))
}

// goldenHandOver brings a ledger to where it has queries at all stages: 1 runs; 2 waits; 3 was lost at one worker node and is
// all written at another; 4 has lost its client while it runs; 5 is answered while a second attempt of it is out; 6 is about
// to be withdrawn; 7 is half written. 8 and 9 are over and forgotten.
func goldenHandOver(t *testing.T) *ledger.Ledger {
	module, carrier := &steps.Script{}, &recordingCarrier{}
	l := goldenLedger(module, carrier)
	var hosts []ledger.Host
	for i, id := range []string{"s-0", "s-1", "s-2", "s-3"} {
		hosts = append(hosts, ledger.Host{ID: id, Addr: "10.0.0." + id[2:] + ":7000", Zone: []string{"z1", "z2"}[i%2], Kind: "m5", Cell: i / 2,
			State: []string{"up", "draining"}[i/3], Weight: 4 + float64(i)/2, StartedMs: 1_764_633_000_000 + int64(i)})
	}
	l.Hosts(ledger.HostGroup{Generation: 41, Reset: true, Hosts: append(hosts, ledger.Host{ID: "s-4", Addr: "10.0.0.4:7000", State: "up"})})
	l.Hosts(ledger.HostGroup{Generation: 42, Hosts: []ledger.Host{{ID: "s-4", State: "removed"}}})
	l.Suspend("s-2")
	now := goldenAt
	take := func(call string, class int, left time.Duration) *ledger.Query {
		q, err := l.Take(now, ledger.Arrival{Call: call, Asker: &recordingAsker{},
			Job:    logic.Job{Class: class, Key: 0xfedcba9876543210, Left: left, Hint: 20 * time.Millisecond, Slots: 1.5, Memory: 0.5, Retry: class == 1},
			Parcel: ledger.Parcel{Verb: "POST", Path: "/run?q=<" + call + ">", Key: "key-" + call, Body: []byte("body of " + call)}})
		if err != nil {
			t.Fatal(err)
		}
		now += 10 * time.Millisecond
		return q
	}
	step := func(actions ...logic.Action) {
		module.Next = actions
		l.Wake()
		l.Step(now)
		now += 10 * time.Millisecond
	}
	send := func(q *ledger.Query, host string, stage ledger.Stage) *ledger.Attempt {
		worker, _ := l.Number(host)
		step(logic.Send{Job: q.ID, Worker: worker, Patience: 700 * time.Millisecond})
		a := carrier.carried[len(carrier.carried)-1]
		a.Stage = stage
		return a
	}
	tell := func(q *ledger.Query, host, state string) {
		result := "r"
		if known, err := l.Tell(ledger.Note{ID: q.Call, From: host, State: state, Result: &result}); !known || err != nil {
			t.Fatalf("%s of %s: %v, %v", state, q.Call, known, err)
		}
	}
	var queries []*ledger.Query
	for _, call := range []string{"runs", "waits", "lost-once", "left", "served", "withdrawn", "half", "done", "refused"} {
		queries = append(queries, take(call, len(queries)%2, time.Duration(2+len(queries))*time.Second))
	}
	send(queries[0], "s-0", ledger.Accepted)
	tell(queries[0], "s-0", "started")
	send(queries[2], "s-0", ledger.Accepted)
	tell(queries[2], "s-0", "lost")
	send(queries[2], "s-1", ledger.AllWritten)
	send(queries[3], "s-1", ledger.Accepted)
	l.Gone(queries[3])
	send(queries[4], "s-0", ledger.Accepted)
	send(queries[4], "s-3", ledger.Accepted)
	tell(queries[4], "s-0", "done")
	send(queries[5], "s-1", ledger.Accepted)
	step(logic.Cancel{Job: queries[5].ID})
	send(queries[6], "s-3", ledger.PartWritten)
	send(queries[7], "s-0", ledger.Accepted)
	tell(queries[7], "s-0", "done")
	step(logic.Refuse{Job: queries[8].ID}, logic.SetTimer{After: 30 * time.Millisecond})
	if !l.Settle(now) {
		t.Fatal("not settled")
	}
	return l
}

// frames writes a ledger's state as a process does that is replaced.
func frames(t *testing.T, l *ledger.Ledger) (b []byte) {
	put := func(kind succession.Kind, body any) {
		var err error
		if b, err = succession.Append(b, kind, body); err != nil {
			t.Fatal(err)
		}
	}
	put(succession.KindWelcome, succession.Welcome{Form: 1, Out: l.Bans()})
	put(succession.KindBegin, nil)
	estate, open := l.Estate()
	put(succession.KindBook, estate)
	for _, q := range open {
		put(succession.KindQuery, q)
	}
	put(succession.KindEnd, succession.End{Frames: 1 + len(open)})
	return b
}

// readFrames reads that as a process does that replaces one.
func readFrames(t *testing.T, b []byte) (estate ledger.Estate, open []ledger.OpenQuery) {
	var heir succession.Heir
	for {
		frame, n, err := succession.Read(b)
		if err != nil {
			t.Fatal(err)
		}
		b = b[n:]
		step, err := heir.Frame(frame)
		if err != nil {
			t.Fatal(err)
		}
		switch frame.Kind {
		case succession.KindBook:
			err = frame.Decode(&estate)
		case succession.KindQuery:
			var q ledger.OpenQuery
			err = frame.Decode(&q)
			open = append(open, q)
		}
		if err != nil {
			t.Fatal(err)
		}
		if step == succession.Take {
			if _, _, err := succession.Read(b); !errors.Is(err, succession.ErrShort) || len(b) > 0 {
				t.Fatalf("%d bytes are left", len(b))
			}
			return estate, open
		}
	}
}

const goldenFile = "handover.frames" // of form 1; never written anew: see storedform.Golden

// A ledger with queries at all stages is handed over in the bytes of the build of form 1.
func TestGoldenHandOverIsWritten(t *testing.T) {
	storedform.CheckGolden(t, goldenFile, frames(t, goldenHandOver(t)))
}

// What a build of form 1 has handed over goes on here: queries keep their numbers, attempts and answers that are owed, and
// what is handed on again is the same.
func TestGoldenHandOverIsTakenOver(t *testing.T) {
	estate, open := readFrames(t, storedform.Golden(t, goldenFile))
	module, carrier := &steps.Script{}, &recordingCarrier{}
	l := goldenLedger(module, carrier)
	askers, waiting := map[uint64]ledger.Asker{}, map[string]*recordingAsker{}
	for _, q := range open {
		if !q.Closed {
			waiting[q.Call] = &recordingAsker{}
			askers[q.ID] = waiting[q.Call]
		}
	}
	now := goldenAt + time.Second
	l.TakeOver(now, estate, open, askers, func() ledger.Module { return module })
	storedform.CheckGolden(t, goldenFile, frames(t, l))

	if got := l.Bans(); !slices.Equal(got, []string{"s-2"}) {
		t.Errorf("out by hand: %v", got)
	}
	if l.Generation() != 42 || l.Listed() != 4 || l.Open() != 5 || len(open) != 7 {
		t.Errorf("generation %d, %d listed, %d open of %d", l.Generation(), l.Listed(), l.Open(), len(open))
	}
	if n, known := l.Number("s-3"); !known || l.Host(n) != (ledger.Host{ID: "s-3", Addr: "10.0.0.3:7000", Zone: "z2", Kind: "m5", Cell: 1,
		State: "draining", Weight: 5.5, StartedMs: 1_764_633_000_003}) {
		t.Errorf("s-3 is %+v", l.Host(n))
	}
	for _, want := range []struct {
		query   uint64
		number  int
		host    string
		stage   ledger.Stage
		waiting string // the query's call if it is owed an answer
	}{{1, 0, "s-0", ledger.Accepted, "runs"}, {3, 1, "s-1", ledger.AllWritten, "lost-once"}, {4, 0, "s-1", ledger.Accepted, ""},
		{5, 1, "s-3", ledger.Accepted, ""}, {6, 0, "s-1", ledger.Accepted, "withdrawn"}, {7, 0, "s-3", ledger.PartWritten, "half"}} {
		a := l.Attempt(want.query, want.number)
		if a == nil || a.From != want.host || a.Stage != want.stage || a.Query.Over() != (want.waiting == "") {
			t.Errorf("attempt %d of query %d: %+v", want.number, want.query, a)
		}
	}
	if q := l.Query(2); q == nil || q.Call != "waits" || q.Job.Key != 0xfedcba9876543210 || !q.Job.Retry || q.Job.Slots != 1.5 ||
		q.Parcel.Path != "/run?q=<waits>" || string(q.Parcel.Body) != "body of waits" || q.Deadline != goldenAt+10*time.Millisecond+3*time.Second {
		t.Errorf("query 2: %+v", q)
	}
	if q := l.Query(5); q.Answer() != ledger.AnsweredServed || q.Outcome() != ledger.Served {
		t.Errorf("query 5: answer %d, outcome %q", q.Answer(), q.Outcome())
	}
	if len(carrier.withdrawn) != 1 || carrier.withdrawn[0] != l.Attempt(6, 0) {
		t.Errorf("%d withdrawals go on", len(carrier.withdrawn))
	}
	result := "made"
	if known, err := l.Tell(ledger.Note{ID: "runs", From: "s-0", State: "done", Result: &result}); !known || err != nil || waiting["runs"].got != "served made" {
		t.Errorf("%v, %v: %q", known, err, waiting["runs"].got)
	}
	if q, err := l.Take(now, ledger.Arrival{Call: "next", Asker: &recordingAsker{}}); err != nil || q.ID != 10 {
		t.Errorf("the next query: %+v, %v", q, err)
	}
	if _, err := l.Take(now, ledger.Arrival{Call: "waits"}); !errors.Is(err, ledger.ErrRepeated) {
		t.Errorf("an id of a query that was handed over: %v", err)
	}
	if at, ok := l.Next(); !ok || at != 0 {
		t.Errorf("nothing to tell the module: %v", at)
	}
}

// What reflection writes or reads has its names in tags: renamed in Go, it stays as it is in what is handed over, and as
// the platform has it.
func TestStoredTypesAreTagged(t *testing.T) {
	storedform.CheckTags(t, ledger.Estate{}, ledger.OpenQuery{}, ledger.HostGroup{}, ledger.Note{})
}
