package requests_test

import (
	"errors"
	"log/slog"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/hotrestart"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
	"valvecove/internal/storedform"
)

const (
	// goldenFile contains the frames of a hot restart in form 1. It is never regenerated: see storedform.Golden.
	goldenFile = "handover.frames"
	// goldenInstant is the Unix time at which the table of that hot restart was created.
	goldenInstant = 1_764_633_600 * time.Second
)

// recordingTransport records the attempts that are started and cancelled.
type recordingTransport struct {
	started, cancelled []*requests.Attempt
}

func (r *recordingTransport) Start(a *requests.Attempt)   { r.started = append(r.started, a) }
func (r *recordingTransport) Abandon(*requests.Attempt)   {}
func (r *recordingTransport) Cancel(a *requests.Attempt)  { r.cancelled = append(r.cancelled, a) }
func (r *recordingTransport) CheckHealth(uint64)          {}
func (r *recordingTransport) CloseIdleConnections(uint64) {}
func (r *recordingTransport) Watch(int64)                 {}

// recordingResponder records the response.
type recordingResponder struct{ got string }

func (r *recordingResponder) RespondResult(result []byte)   { r.got += "result " + string(result) }
func (r *recordingResponder) RespondRejected(time.Duration) { r.got += "rejected" }
func (r *recordingResponder) RespondFailed()                { r.got += "failed" }

// goldenTable is a table in the state in which the golden file was written, or one that is restored from it.
type goldenTable struct {
	*requests.Table
	policy    *modeltest.ScriptedPolicy
	transport *recordingTransport
	now       time.Duration
}

func newGoldenTable() *goldenTable {
	g := &goldenTable{policy: &modeltest.ScriptedPolicy{}, transport: &recordingTransport{}, now: goldenInstant}
	names := requests.NameTable{
		Classes:      []string{"a", "b"},
		Tenants:      []string{"t"},
		Zones:        []string{"z1", "z2"},
		MachineTypes: []string{"m5", "c5"},
	}
	newPolicy := func() requests.Policy { return g.policy }
	g.Table = requests.New(3, names, newPolicy, requests.EndpointList{}, g.transport, slog.New(slog.DiscardHandler))
	return g
}

// listEndpoints lists s-0 to s-3, after s-4 was listed and removed again, and cordons s-2.
func (g *goldenTable) listEndpoints() {
	list := requests.EndpointList{Revision: 41, Reset: true}
	for i, id := range []string{"s-0", "s-1", "s-2", "s-3"} {
		list.Endpoints = append(list.Endpoints, requests.Endpoint{
			ID:          id,
			Addr:        "10.0.0." + id[2:] + ":7000",
			Zone:        []string{"z1", "z2"}[i%2],
			MachineType: "m5",
			Cell:        i / 2,
			Lifecycle:   []string{"up", "draining"}[i/3],
			Weight:      4 + float64(i)/2,
			StartedAtMs: 1_764_633_000_000 + int64(i),
		})
	}
	list.Endpoints = append(list.Endpoints, requests.Endpoint{ID: "s-4", Addr: "10.0.0.4:7000", Lifecycle: "up"})
	g.UpdateEndpoints(list)
	removed := []requests.Endpoint{{ID: "s-4", Lifecycle: "removed"}}
	g.UpdateEndpoints(requests.EndpointList{Revision: 42, Endpoints: removed})
	g.Cordon("s-2")
}

// admit admits a request, and advances the time by 10 ms.
func (g *goldenTable) admit(t *testing.T, callID string, class int, remaining time.Duration) *requests.Request {
	t.Helper()
	request, err := g.Admit(g.now, requests.Arrival{
		CallID:    callID,
		Responder: &recordingResponder{},
		Job: dispatch.Job{
			Class:     class,
			Key:       0xfedcba9876543210,
			Remaining: remaining,
			Hint:      20 * time.Millisecond,
			Slots:     1.5,
			Memory:    0.5,
			Retry:     class == 1,
		},
		Payload: requests.Payload{
			Method:         "POST",
			Path:           "/run?q=<" + callID + ">",
			IdempotencyKey: "key-" + callID,
			Body:           []byte("body of " + callID),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	g.now += 10 * time.Millisecond
	return request
}

// step makes the policy return the actions, and advances the time by 10 ms.
func (g *goldenTable) step(actions ...dispatch.Action) {
	g.policy.Next = actions
	g.Wake()
	g.Step(g.now)
	g.now += 10 * time.Millisecond
}

// send starts an attempt and sets its stage.
func (g *goldenTable) send(request *requests.Request, endpointID string, stage requests.Stage) {
	worker, _ := g.WorkerNumber(endpointID)
	g.step(dispatch.Send{Job: request.ID, Worker: worker, AttemptTimeout: 700 * time.Millisecond})
	g.transport.started[len(g.transport.started)-1].Stage = stage
}

// callBack passes a callback of s-0 about an attempt in flight to the table.
func (g *goldenTable) callBack(t *testing.T, callID, state, result string) {
	t.Helper()
	callback := requests.Callback{CallID: callID, EndpointID: "s-0", State: state, Result: &result}
	if known, err := g.HandleCallback(callback); !known || err != nil {
		t.Fatalf("%s of %s: known %v, %v", state, callID, known, err)
	}
}

// goldenRequests returns a table with requests in all stages: 1 is running; 2 is queued; 3 was lost at one worker and is
// written to another; the client of 4 has disconnected while it is running; 5 was responded to while a second attempt is in
// flight; 6 is being cancelled; 7 is partly written. 8 and 9 have ended and are forgotten.
func goldenRequests(t *testing.T) *goldenTable {
	t.Helper()
	g := newGoldenTable()
	g.listEndpoints()
	var all []*requests.Request
	for i, callID := range []string{"runs", "waits", "lost-once", "left", "served", "withdrawn", "half", "done", "refused"} {
		all = append(all, g.admit(t, callID, i%2, time.Duration(2+i)*time.Second))
	}
	g.send(all[0], "s-0", requests.StageAccepted)
	g.callBack(t, "runs", requests.CallbackStarted, "r")
	g.send(all[2], "s-0", requests.StageAccepted)
	g.callBack(t, "lost-once", requests.CallbackLost, "r")
	g.send(all[2], "s-1", requests.StageWritten)
	g.send(all[3], "s-1", requests.StageAccepted)
	g.ClientDisconnected(all[3])
	g.send(all[4], "s-0", requests.StageAccepted)
	g.send(all[4], "s-3", requests.StageAccepted)
	g.callBack(t, "served", requests.CallbackDone, "r")
	g.send(all[5], "s-1", requests.StageAccepted)
	g.step(dispatch.Cancel{Job: all[5].ID})
	g.send(all[6], "s-3", requests.StagePartlyWritten)
	g.send(all[7], "s-0", requests.StageAccepted)
	g.callBack(t, "done", requests.CallbackDone, "r")
	g.step(dispatch.Reject{Job: all[8].ID}, dispatch.SetTimer{After: 30 * time.Millisecond})
	if !g.FlushEvents(g.now) {
		t.Fatal("events are pending")
	}
	return g
}

// writeFrames writes a table's state as the predecessor of a hot restart does.
func writeFrames(t *testing.T, table *requests.Table) []byte {
	t.Helper()
	var frames []byte
	put := func(message hotrestart.Message) {
		t.Helper()
		var err error
		if frames, err = hotrestart.AppendMessage(frames, message); err != nil {
			t.Fatal(err)
		}
	}
	put(hotrestart.Accept{Version: 1, CordonedWorkers: table.Cordoned()})
	put(hotrestart.TransferBegin{})
	state, open := table.Snapshot()
	put(hotrestart.RequestTable(state))
	for _, request := range open {
		put(hotrestart.OpenRequest(request))
	}
	put(hotrestart.TransferEnd{FrameCount: 1 + len(open)})
	return frames
}

// readFrames reads a table's state as the successor of a hot restart does.
func readFrames(t *testing.T, frames []byte) (state requests.State, open []requests.OpenRequest) {
	t.Helper()
	var successor hotrestart.Successor
	for {
		frame, length, err := hotrestart.ReadFrame(frames)
		if err != nil {
			t.Fatal(err)
		}
		frames = frames[length:]
		message, err := frame.Message()
		if err != nil {
			t.Fatal(err)
		}
		action, err := successor.HandleMessage(message)
		if err != nil {
			t.Fatal(err)
		}
		switch message := message.(type) {
		case hotrestart.RequestTable:
			state = requests.State(message)
		case hotrestart.OpenRequest:
			open = append(open, requests.OpenRequest(message))
		}
		if action == hotrestart.ActionTakeOver {
			break
		}
	}
	if _, _, err := hotrestart.ReadFrame(frames); !errors.Is(err, hotrestart.ErrIncomplete) || len(frames) > 0 {
		t.Fatalf("%d bytes after the last frame", len(frames))
	}
	return state, open
}

// restoreGoldenTable restores the golden file into a new table, and returns the responders of the open requests by call ID.
func restoreGoldenTable(t *testing.T) (*goldenTable, map[string]*recordingResponder) {
	t.Helper()
	state, open := readFrames(t, storedform.Golden(t, goldenFile))
	if len(open) != 7 {
		t.Errorf("the golden file has %d requests, expected 7", len(open))
	}
	responders, byCallID := map[uint64]requests.Responder{}, map[string]*recordingResponder{}
	for _, request := range open {
		if !request.Closed {
			byCallID[request.CallID] = &recordingResponder{}
			responders[request.ID] = byCallID[request.CallID]
		}
	}
	g := newGoldenTable()
	g.now += time.Second
	g.TakeOver(g.now, state, open, responders, func() requests.Policy { return g.policy })
	return g, byCallID
}

// The frames of a table with requests in all stages are the bytes that a build of form 1 writes.
func TestGoldenSnapshotIsWritten(t *testing.T) {
	storedform.CheckGolden(t, goldenFile, writeFrames(t, goldenRequests(t).Table))
}

// A table that is restored from the frames of a build of form 1 writes the same bytes.
func TestGoldenSnapshotIsRewrittenUnchanged(t *testing.T) {
	g, _ := restoreGoldenTable(t)
	storedform.CheckGolden(t, goldenFile, writeFrames(t, g.Table))
}

// The endpoints, the cordons and the revision are restored.
func TestGoldenTakeOverRestoresEndpoints(t *testing.T) {
	g, _ := restoreGoldenTable(t)
	if got := g.Cordoned(); !slices.Equal(got, []string{"s-2"}) {
		t.Errorf("cordoned: %v, expected s-2", got)
	}
	if g.Revision() != 42 || g.ListedCount() != 4 {
		t.Errorf("revision %d, %d listed, expected 42 and 4", g.Revision(), g.ListedCount())
	}
	want := requests.Endpoint{
		ID:          "s-3",
		Addr:        "10.0.0.3:7000",
		Zone:        "z2",
		MachineType: "m5",
		Cell:        1,
		Lifecycle:   "draining",
		Weight:      5.5,
		StartedAtMs: 1_764_633_000_003,
	}
	if worker, known := g.WorkerNumber("s-3"); !known || g.Endpoint(worker) != want {
		t.Errorf("s-3 is %+v, expected as in the golden file", g.Endpoint(worker))
	}
}

// Attempts keep their numbers, workers and stages, and requests that were responded to stay closed.
func TestGoldenTakeOverRestoresAttempts(t *testing.T) {
	g, _ := restoreGoldenTable(t)
	for _, want := range []struct {
		request    uint64
		number     int
		endpointID string
		stage      requests.Stage
		isClosed   bool
	}{
		{1, 0, "s-0", requests.StageAccepted, false},
		{3, 1, "s-1", requests.StageWritten, false},
		{4, 0, "s-1", requests.StageAccepted, true},
		{5, 1, "s-3", requests.StageAccepted, true},
		{6, 0, "s-1", requests.StageAccepted, false},
		{7, 0, "s-3", requests.StagePartlyWritten, false},
	} {
		attempt := g.InFlightAttempt(want.request, want.number)
		if attempt == nil || attempt.EndpointID != want.endpointID || attempt.Stage != want.stage {
			t.Errorf("attempt %d of request %d: %+v", want.number, want.request, attempt)
		}
		if g.Request(want.request).IsClosed() != want.isClosed {
			t.Errorf("request %d: closed is not %v", want.request, want.isClosed)
		}
	}
}

// Requests keep their IDs, jobs, payloads and responses.
func TestGoldenTakeOverRestoresRequests(t *testing.T) {
	g, _ := restoreGoldenTable(t)
	if g.OpenCount() != 5 {
		t.Errorf("%d requests are open, expected 5", g.OpenCount())
	}
	queued := g.Request(2)
	if queued == nil || queued.CallID != "waits" || queued.Deadline != goldenInstant+10*time.Millisecond+3*time.Second {
		t.Fatalf("request 2 is %+v, expected as in the golden file", queued)
	}
	if job := queued.Job; job.Key != 0xfedcba9876543210 || !job.Retry || job.Slots != 1.5 {
		t.Errorf("the job of request 2 is %+v, expected as in the golden file", job)
	}
	if payload := queued.Payload; payload.Path != "/run?q=<waits>" || string(payload.Body) != "body of waits" {
		t.Errorf("the payload of request 2 is %+v, expected as in the golden file", payload)
	}
	if responded := g.Request(5); responded.Response() != requests.ResponseResult || responded.Outcome() != requests.OutcomeServed {
		t.Errorf("request 5: response %d, outcome %q", responded.Response(), responded.Outcome())
	}
}

// After the restoration cancellations are repeated, callbacks end their attempts, request IDs continue, call IDs of open
// requests are rejected, and a step is due for the policy.
func TestGoldenTakeOverResumesRequests(t *testing.T) {
	g, responders := restoreGoldenTable(t)
	if got := g.transport.cancelled; len(got) != 1 || got[0] != g.InFlightAttempt(6, 0) {
		t.Errorf("%d cancellations are repeated", len(got))
	}
	g.callBack(t, "runs", requests.CallbackDone, "made")
	if got := responders["runs"].got; got != "result made" {
		t.Errorf("the response of request 1 is %q, expected its result", got)
	}
	next, err := g.Admit(g.now, requests.Arrival{CallID: "next", Responder: &recordingResponder{}})
	if err != nil || next.ID != 10 {
		t.Errorf("the next request is %+v, error %v, expected ID 10", next, err)
	}
	_, err = g.Admit(g.now, requests.Arrival{CallID: "waits"})
	if !errors.Is(err, requests.ErrDuplicateCallID) {
		t.Errorf("a call ID of an open request: %v", err)
	}
	if at, ok := g.NextStep(); !ok || at != 0 {
		t.Errorf("the next step is due at %v, expected it immediately", at)
	}
}

// The fields of types that are encoded by reflection have tags, so that renaming them in Go does not change the encoded names
// in snapshots, in lists of discovery and in callbacks.
func TestStoredTypesAreTagged(t *testing.T) {
	storedform.CheckTags(t, requests.State{}, requests.OpenRequest{}, requests.EndpointList{}, requests.Callback{})
}
