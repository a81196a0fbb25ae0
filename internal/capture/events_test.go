package capture

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"log/slog"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/filesystem"
	"valvecove/internal/requests"
	"valvecove/internal/storedform"
)

// eventSamples contains an event of each type.
var eventSamples = []dispatch.Event{
	dispatch.WorkerList{Kind: dispatch.ListDelta, Workers: []dispatch.Worker{{ID: 3, Ready: true}}},
	dispatch.Job{ID: 7, Class: 1, Key: 1<<64 - 1, Remaining: time.Second, Slots: 1},
	dispatch.Outcome{Job: 7, Attempt: 1, Worker: 3, Result: dispatch.NotSent, Closed: true, Report: []float64{0.5}},
	dispatch.Started{Job: 7, Attempt: 1, Worker: 3},
	dispatch.Progressed{Job: 7, Attempt: 1, Worker: 3, Share: 0.25},
	dispatch.ResponseStarted{Job: 7, Attempt: 1, Worker: 3},
	dispatch.ClientDisconnected{Job: 7},
	dispatch.HealthChecked{Worker: 3, Result: dispatch.NotSent, Report: []float64{0.5}},
	dispatch.TimerFired{},
	goldenJobResumed,
	goldenReplicasChanged,
	goldenModelUpdate,
	dispatch.Cordoned{Worker: 3},
	dispatch.Uncordoned{Worker: 3},
	dispatch.PeerMessageReceived{From: 4, Message: dispatch.LeaseStarted{ID: 7, Prompt: true}},
}

var (
	goldenJobResumed = dispatch.JobResumed{
		Job: dispatch.Job{
			ID: 7, Class: 1, Tenant: 2, Key: 1<<64 - 1, Remaining: time.Second, Hint: time.Millisecond, Slots: 1.5, Memory: 0.25, Retry: true,
		},
		Age:          300 * time.Millisecond,
		QuotaCharged: true,
		Attempts: []dispatch.PastAttempt{{
			Worker: 3, SentAgo: 200 * time.Millisecond, StartedAgo: 100 * time.Millisecond, Ended: true, Result: dispatch.NotSent,
		}},
	}
	goldenReplicasChanged = dispatch.ReplicasChanged{Replicas: 5, ReplicaIndex: 4, QuotaShare: 0.125}
	goldenModelUpdate     = dispatch.ModelUpdate{Snapshot: []byte{0, 0x80, 0xff}, Age: time.Second, LoadShare: 1.0 / 3}
)

// eventTypes returns the names of the types in package dispatch that are events, from its source.
func eventTypes(t *testing.T) (names []string) {
	t.Helper()
	paths, err := filepath.Glob("../../dispatch/*.go")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no source of package dispatch: %v", err)
	}
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			method, ok := declaration.(*ast.FuncDecl)
			if !ok || method.Recv == nil || method.Name.Name != "event" {
				continue
			}
			if receiver, ok := method.Recv.List[0].Type.(*ast.Ident); ok {
				names = append(names, receiver.Name)
			}
		}
	}
	return names
}

// Every type of event is recorded, and read again as it was. An unknown type ended the capture with a panic at a hot restart.
func TestEveryEventIsRecorded(t *testing.T) {
	sampled := map[string]bool{}
	recorder := &Recorder{LookupEndpoint: func(uint64) requests.Endpoint { return requests.Endpoint{} }, namedWorkers: map[uint64]bool{}}
	for _, event := range eventSamples {
		sampled[reflect.TypeOf(event).Name()] = true
		clear(recorder.namedWorkers) // so that each line has the worker's number
		text, err := json.Marshal(recorder.eventLine(event))
		if err != nil {
			t.Fatal(err)
		}
		var line Line
		if err := json.Unmarshal(text, &line); err != nil {
			t.Fatal(err)
		}
		if got := line.event(); !reflect.DeepEqual(got, event) || !stepKinds[line.Input] {
			t.Errorf("%s is read as %+v, expected %+v", text, got, event)
		}
	}
	for _, name := range eventTypes(t) {
		if !sampled[name] {
			t.Errorf("no sample of event %s", name)
		}
	}
}

// Events that few schedulers receive are encoded as by the first build that recorded them.
func TestGoldenRareEvents(t *testing.T) {
	var golden []byte
	for _, event := range []dispatch.Event{
		goldenJobResumed, goldenReplicasChanged, goldenModelUpdate, dispatch.ResponseStarted{Job: 7, Attempt: 1, Worker: 3},
	} {
		if unset := storedform.ZeroFields(event); len(unset) > 0 {
			t.Errorf("fields without a value: %q", unset)
		}
		recorder := &Recorder{LookupEndpoint: func(uint64) requests.Endpoint { return requests.Endpoint{ID: "s-3"} }, namedWorkers: map[uint64]bool{}}
		recorder.write(recorder.eventLine(event))
		golden = append(golden, recorder.lines...)
	}
	storedform.CheckGolden(t, goldenRareEvents, golden)
}

// A process that takes over requests without the dispatcher's state, as with many schedulers, records how they are resumed, and the
// capture replays.
func TestCaptureOfResumedJobsReplays(t *testing.T) {
	predecessor := newScheduler(t, 5, config.Capture{})
	predecessor.run(100)
	if !predecessor.Table.FlushEvents(predecessor.Now) {
		t.Fatal("the predecessor's state can't be transferred")
	}
	state, open := predecessor.Table.Snapshot()
	var log strings.Builder
	successor := newSchedulerWithDisk(t, filesystem.Disk, slog.New(slog.NewTextHandler(&log, nil)), 6, config.Capture{MemoryKB: 4096})
	successor.Now, successor.jobs = predecessor.Now, predecessor.jobs
	successor.Table.Step(successor.Now)
	successor.Table.TakeOver(successor.Now, state, open, nil, func() requests.Policy { return nil })
	successor.run(300)
	text := successor.recorder.Dump()
	if count := bytes.Count(text, []byte(`"in":"job resumed"`)); count == 0 || log.Len() > 0 {
		t.Errorf("%d resumed jobs are recorded; log: %s", count, log.String())
	}
	checkReplaysWithoutDifference(t, text)
}
