package hotrestart

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
	"valvecove/internal/storedform"
)

// at is an instant of the golden files, as Unix time.
const at = 1_764_633_600*time.Second + 123_456_789

// goldenFrames are frames of every kind, all fields set, by the golden files that hold them. Files of form 1 are never
// written anew: see storedform.Golden.
func goldenFrames() map[string]struct {
	kind FrameKind
	body any
} {
	job := dispatch.Job{ID: 7, Class: 2, Tenant: 1, Key: 0xfedcba9876543210, Remaining: 1500 * time.Millisecond, Hint: 30 * time.Millisecond,
		Slots: 1.5, Memory: 0.25, Retry: true}
	return map[string]struct {
		kind FrameKind
		body any
	}{
		"hello.frame":   {KindHandshake, Handshake{Version: 1}},
		"welcome.frame": {KindAccept, Accept{Version: 1, CordonedWorkers: []string{"s-3", "s-4"}}},
		"denied.frame":  {KindReject, Reject{Reason: "another process is to be the <successor>"}},
		"ban.frame":     {KindSetCordon, SetCordon{Sequence: 3, WorkerID: "s-3", Cordoned: true}},
		"banned.frame":  {KindCordonResult, CordonResult{Sequence: 3, StatusCode: 404, Message: "no such worker node"}},
		"bans.frame":    {KindCordonedWorkers, CordonedWorkers{WorkerIDs: []string{"s-3", "s-4"}}},
		"begin.frame":   {KindTransferBegin, nil},
		"module.frame":  {KindSnapshotChunk, []byte{0, 1, 2, 0x80, 0xff}},
		"estate.frame": {KindRequestTable, requests.State{LastID: 11, PolicyTimer: at + time.Second, Revision: 42,
			Endpoints: []requests.Endpoint{{ID: "s-0", Addr: "10.0.0.1:7000", Zone: "z1", MachineType: "m5", Cell: 4, Lifecycle: "up", Weight: 8,
				StartedAtMs: 1_764_633_000_000}},
			ListedIDs: []string{"s-0"}, CordonedIDs: []string{"s-3"}}},
		"query.frame": {KindOpenRequest, requests.OpenRequest{ID: 7, CallID: "call <7>",
			Payload:  requests.Payload{Method: "POST", Path: "/v1/jobs?a=1&b=2", IdempotencyKey: "key-7", Body: []byte("{\"x\": 1}\n\xff")},
			Job:      job,
			Deadline: at + time.Second, ArrivedAt: at - time.Second, FirstSentAt: at - 900*time.Millisecond,
			Attempts: []requests.OpenAttempt{{Worker: 0x8000000000000001, EndpointID: "s-0", ExpiresAt: at + time.Second, Stage: requests.StageAccepted,
				Started: true, Ended: true, Cancelling: true, Result: dispatch.ConnectionReset}},
			EndedByCallback: []string{"s-0"}, Closed: true, ClientLeft: true, Reported: true, Outcome: requests.OutcomeConnectionLost, Response: requests.ResponseFailed}},
		"client.frame": {KindClientConnection, ClientConnection{Input: []byte("POST /"), Output: []byte("HTTP/1.1 200 OK\r\n"),
			ResponseSlots:   []ResponseSlot{{RequestID: 7, KeepAlive: true, Complete: true, Status: 503, Body: []byte("busy\n"), RetryAfter: 2 * time.Second}},
			LastRequestRead: true, InputConsumed: true, HalfClosed: true, ContinueSent: true, RequestSeen: true, UsefulRequestSeen: true, ProxyHeaderDone: true, LastActivity: at,
			ClientAddress: "10.1.2.3:4567", ProxyAddress: "[2001:db8::1]:80"}},
		"server.frame": {KindWorkerConnection, WorkerConnection{WorkerID: "s-0", State: 2, RequestID: 7, Attempt: 1, Stage: requests.StageWritten,
			Input: []byte("HTTP/1.1 2"), Output: []byte("rest"), IdleBefore: 3 * time.Second, IdleSince: at}},
		"end.frame":   {KindTransferEnd, TransferEnd{FrameCount: 5}},
		"taken.frame": {KindTakenOver, nil},
	}
}

// Frames of every kind are written as the build of form 1 wrote them, and mean the same when they are read.
func TestGoldenFrames(t *testing.T) {
	if ProtocolVersion != 1 {
		t.Fatalf("form %d has no golden files", ProtocolVersion)
	}
	seen := map[FrameKind]bool{}
	for name, want := range goldenFrames() {
		seen[want.kind] = true
		if _, state := want.body.([]byte); !state && want.body != nil {
			for _, field := range storedform.Zero(want.body) {
				t.Errorf("%s: %s is not set", name, field)
			}
		}
		written, err := AppendFrame(nil, want.kind, want.body)
		if err != nil {
			t.Fatal(err)
		}
		storedform.CheckGolden(t, name, written)
		golden := storedform.Golden(t, name)
		frame, n, err := ReadFrame(golden)
		if err != nil || n != len(golden) || frame.Kind != want.kind {
			t.Fatalf("%s: %v of %d bytes, %v", name, frame.Kind, n, err)
		}
		switch body := want.body.(type) {
		case nil:
			if len(frame.Body) > 0 {
				t.Errorf("%s: a body %q", name, frame.Body)
			}
		case []byte:
			if !bytes.Equal(frame.Body, body) {
				t.Errorf("%s: %q, expected %q", name, frame.Body, body)
			}
		default:
			got := reflect.New(reflect.TypeOf(body))
			if err := frame.Decode(got.Interface()); err != nil || !reflect.DeepEqual(got.Elem().Interface(), body) {
				t.Errorf("%s: %+v, %v, expected %+v", name, got.Elem(), err, body)
			}
		}
	}
	for kind := KindHandshake; kind < kindLimit; kind++ {
		if !seen[kind] {
			t.Errorf("%v has no golden file", kind)
		}
	}
}

// What reflection writes into frames has its names in tags: renamed in Go, it is still read by processes of other builds.
func TestFrameBodiesAreTagged(t *testing.T) {
	roots := []any{}
	for _, frame := range goldenFrames() {
		if frame.body != nil {
			roots = append(roots, frame.body)
		}
	}
	storedform.CheckTags(t, append(roots, ClientConnection{}, WorkerConnection{}, requests.State{}, requests.OpenRequest{})...)
}
