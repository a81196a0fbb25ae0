package requests_test

import (
	"errors"
	"log/slog"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/hotrestart"
	"valvecove/internal/requests"
	"valvecove/internal/steps"
	"valvecove/internal/storedform"
)

// goldenAt is when the golden hand-over was, as Unix time.
const goldenAt = 1_764_633_600 * time.Second

// recordingCarrier is a Carrier that keeps what it is handed.
type recordingCarrier struct {
	carried, withdrawn []*requests.Attempt
}

func (c *recordingCarrier) Start(a *requests.Attempt)   { c.carried = append(c.carried, a) }
func (c *recordingCarrier) Abandon(*requests.Attempt)   {}
func (c *recordingCarrier) Cancel(a *requests.Attempt)  { c.withdrawn = append(c.withdrawn, a) }
func (c *recordingCarrier) CheckHealth(uint64)          {}
func (c *recordingCarrier) CloseIdleConnections(uint64) {}
func (c *recordingCarrier) Watch(int64)                 {}

// recordingAsker keeps the answer that it gets.
type recordingAsker struct{ got string }

func (a *recordingAsker) RespondResult(result []byte)   { a.got += "served " + string(result) }
func (a *recordingAsker) RespondRejected(time.Duration) { a.got += "throttled" }
func (a *recordingAsker) RespondFailed()                { a.got += "failed" }

func goldenLedger(module *steps.Script, carrier requests.Transport) *requests.Table {
	names := requests.NameTable{Classes: []string{"a", "b"}, Tenants: []string{"t"}, Zones: []string{"z1", "z2"}, MachineTypes: []string{"m5", "c5"}}
	return requests.New(3, names, func() requests.Policy { return module }, requests.EndpointList{}, carrier, slog.New(slog.DiscardHandler))
}

// goldenHandOver brings a ledger to where it has queries at all stages: 1 runs; 2 waits; 3 was lost at one worker node and is
// all written at another; 4 has lost its client while it runs; 5 is answered while a second attempt of it is out; 6 is about
// to be withdrawn; 7 is half written. 8 and 9 are over and forgotten.
func goldenHandOver(t *testing.T) *requests.Table {
	module, carrier := &steps.Script{}, &recordingCarrier{}
	l := goldenLedger(module, carrier)
	var hosts []requests.Endpoint
	for i, id := range []string{"s-0", "s-1", "s-2", "s-3"} {
		hosts = append(hosts, requests.Endpoint{ID: id, Addr: "10.0.0." + id[2:] + ":7000", Zone: []string{"z1", "z2"}[i%2], MachineType: "m5", Cell: i / 2,
			Lifecycle: []string{"up", "draining"}[i/3], Weight: 4 + float64(i)/2, StartedAtMs: 1_764_633_000_000 + int64(i)})
	}
	l.UpdateEndpoints(requests.EndpointList{Revision: 41, Reset: true, Endpoints: append(hosts, requests.Endpoint{ID: "s-4", Addr: "10.0.0.4:7000", Lifecycle: "up"})})
	l.UpdateEndpoints(requests.EndpointList{Revision: 42, Endpoints: []requests.Endpoint{{ID: "s-4", Lifecycle: "removed"}}})
	l.Cordon("s-2")
	now := goldenAt
	take := func(call string, class int, left time.Duration) *requests.Request {
		q, err := l.Admit(now, requests.Arrival{CallID: call, Responder: &recordingAsker{},
			Job:     dispatch.Job{Class: class, Key: 0xfedcba9876543210, Remaining: left, Hint: 20 * time.Millisecond, Slots: 1.5, Memory: 0.5, Retry: class == 1},
			Payload: requests.Payload{Method: "POST", Path: "/run?q=<" + call + ">", IdempotencyKey: "key-" + call, Body: []byte("body of " + call)}})
		if err != nil {
			t.Fatal(err)
		}
		now += 10 * time.Millisecond
		return q
	}
	step := func(actions ...dispatch.Action) {
		module.Next = actions
		l.Wake()
		l.Step(now)
		now += 10 * time.Millisecond
	}
	send := func(q *requests.Request, host string, stage requests.Stage) *requests.Attempt {
		worker, _ := l.WorkerNumber(host)
		step(dispatch.Send{Job: q.ID, Worker: worker, AttemptTimeout: 700 * time.Millisecond})
		a := carrier.carried[len(carrier.carried)-1]
		a.Stage = stage
		return a
	}
	tell := func(q *requests.Request, host, state string) {
		result := "r"
		if known, err := l.HandleCallback(requests.Callback{CallID: q.CallID, EndpointID: host, State: state, Result: &result}); !known || err != nil {
			t.Fatalf("%s of %s: %v, %v", state, q.CallID, known, err)
		}
	}
	var queries []*requests.Request
	for _, call := range []string{"runs", "waits", "lost-once", "left", "served", "withdrawn", "half", "done", "refused"} {
		queries = append(queries, take(call, len(queries)%2, time.Duration(2+len(queries))*time.Second))
	}
	send(queries[0], "s-0", requests.StageAccepted)
	tell(queries[0], "s-0", "started")
	send(queries[2], "s-0", requests.StageAccepted)
	tell(queries[2], "s-0", "lost")
	send(queries[2], "s-1", requests.StageWritten)
	send(queries[3], "s-1", requests.StageAccepted)
	l.ClientDisconnected(queries[3])
	send(queries[4], "s-0", requests.StageAccepted)
	send(queries[4], "s-3", requests.StageAccepted)
	tell(queries[4], "s-0", "done")
	send(queries[5], "s-1", requests.StageAccepted)
	step(dispatch.Cancel{Job: queries[5].ID})
	send(queries[6], "s-3", requests.StagePartlyWritten)
	send(queries[7], "s-0", requests.StageAccepted)
	tell(queries[7], "s-0", "done")
	step(dispatch.Reject{Job: queries[8].ID}, dispatch.SetTimer{After: 30 * time.Millisecond})
	if !l.FlushEvents(now) {
		t.Fatal("not settled")
	}
	return l
}

// frames writes a ledger's state as a process does that is replaced.
func frames(t *testing.T, l *requests.Table) (b []byte) {
	put := func(message hotrestart.Message) {
		var err error
		if b, err = hotrestart.AppendMessage(b, message); err != nil {
			t.Fatal(err)
		}
	}
	put(hotrestart.Accept{Version: 1, CordonedWorkers: l.Cordoned()})
	put(hotrestart.TransferBegin{})
	estate, open := l.Snapshot()
	put(hotrestart.RequestTable(estate))
	for _, q := range open {
		put(hotrestart.OpenRequest(q))
	}
	put(hotrestart.TransferEnd{FrameCount: 1 + len(open)})
	return b
}

// readFrames reads that as a process does that replaces one.
func readFrames(t *testing.T, b []byte) (estate requests.State, open []requests.OpenRequest) {
	var successor hotrestart.Successor
	for {
		frame, n, err := hotrestart.ReadFrame(b)
		if err != nil {
			t.Fatal(err)
		}
		b = b[n:]
		message, err := frame.Message()
		if err != nil {
			t.Fatal(err)
		}
		step, err := successor.HandleMessage(message)
		if err != nil {
			t.Fatal(err)
		}
		switch message := message.(type) {
		case hotrestart.RequestTable:
			estate = requests.State(message)
		case hotrestart.OpenRequest:
			open = append(open, requests.OpenRequest(message))
		}
		if step == hotrestart.ActionTakeOver {
			if _, _, err := hotrestart.ReadFrame(b); !errors.Is(err, hotrestart.ErrIncomplete) || len(b) > 0 {
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
	askers, waiting := map[uint64]requests.Responder{}, map[string]*recordingAsker{}
	for _, q := range open {
		if !q.Closed {
			waiting[q.CallID] = &recordingAsker{}
			askers[q.ID] = waiting[q.CallID]
		}
	}
	now := goldenAt + time.Second
	l.TakeOver(now, estate, open, askers, func() requests.Policy { return module })
	storedform.CheckGolden(t, goldenFile, frames(t, l))

	if got := l.Cordoned(); !slices.Equal(got, []string{"s-2"}) {
		t.Errorf("out by hand: %v", got)
	}
	if l.Revision() != 42 || l.ListedCount() != 4 || l.OpenCount() != 5 || len(open) != 7 {
		t.Errorf("generation %d, %d listed, %d open of %d", l.Revision(), l.ListedCount(), l.OpenCount(), len(open))
	}
	if n, known := l.WorkerNumber("s-3"); !known || l.Endpoint(n) != (requests.Endpoint{ID: "s-3", Addr: "10.0.0.3:7000", Zone: "z2", MachineType: "m5", Cell: 1,
		Lifecycle: "draining", Weight: 5.5, StartedAtMs: 1_764_633_000_003}) {
		t.Errorf("s-3 is %+v", l.Endpoint(n))
	}
	for _, want := range []struct {
		query   uint64
		number  int
		host    string
		stage   requests.Stage
		waiting string // the query's call if it is owed an answer
	}{{1, 0, "s-0", requests.StageAccepted, "runs"}, {3, 1, "s-1", requests.StageWritten, "lost-once"}, {4, 0, "s-1", requests.StageAccepted, ""},
		{5, 1, "s-3", requests.StageAccepted, ""}, {6, 0, "s-1", requests.StageAccepted, "withdrawn"}, {7, 0, "s-3", requests.StagePartlyWritten, "half"}} {
		a := l.InFlightAttempt(want.query, want.number)
		if a == nil || a.EndpointID != want.host || a.Stage != want.stage || a.Request.IsClosed() != (want.waiting == "") {
			t.Errorf("attempt %d of query %d: %+v", want.number, want.query, a)
		}
	}
	if q := l.Request(2); q == nil || q.CallID != "waits" || q.Job.Key != 0xfedcba9876543210 || !q.Job.Retry || q.Job.Slots != 1.5 ||
		q.Payload.Path != "/run?q=<waits>" || string(q.Payload.Body) != "body of waits" || q.Deadline != goldenAt+10*time.Millisecond+3*time.Second {
		t.Errorf("query 2: %+v", q)
	}
	if q := l.Request(5); q.Response() != requests.ResponseResult || q.Outcome() != requests.OutcomeServed {
		t.Errorf("query 5: answer %d, outcome %q", q.Response(), q.Outcome())
	}
	if len(carrier.withdrawn) != 1 || carrier.withdrawn[0] != l.InFlightAttempt(6, 0) {
		t.Errorf("%d withdrawals go on", len(carrier.withdrawn))
	}
	result := "made"
	if known, err := l.HandleCallback(requests.Callback{CallID: "runs", EndpointID: "s-0", State: "done", Result: &result}); !known || err != nil || waiting["runs"].got != "served made" {
		t.Errorf("%v, %v: %q", known, err, waiting["runs"].got)
	}
	if q, err := l.Admit(now, requests.Arrival{CallID: "next", Responder: &recordingAsker{}}); err != nil || q.ID != 10 {
		t.Errorf("the next query: %+v, %v", q, err)
	}
	if _, err := l.Admit(now, requests.Arrival{CallID: "waits"}); !errors.Is(err, requests.ErrDuplicateCallID) {
		t.Errorf("an id of a query that was handed over: %v", err)
	}
	if at, ok := l.NextStep(); !ok || at != 0 {
		t.Errorf("nothing to tell the module: %v", at)
	}
}

// What reflection writes or reads has its names in tags: renamed in Go, it stays as it is in what is handed over, and as
// the platform has it.
func TestStoredTypesAreTagged(t *testing.T) {
	storedform.CheckTags(t, requests.State{}, requests.OpenRequest{}, requests.EndpointList{}, requests.Callback{})
}
