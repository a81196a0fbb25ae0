package hotrestart

import (
	"reflect"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
	"valvecove/internal/storedform"
)

// goldenTime is the reference instant of the golden files, as Unix time.
const goldenTime = 1_764_633_600*time.Second + 123_456_789

// goldenMessages returns the messages in the golden files, by file name. There is one of every kind with all fields set. Files of
// version 1 are never regenerated: see storedform.Golden.
func goldenMessages() map[string]Message {
	return map[string]Message{
		"hello.frame":   Handshake{Version: 1},
		"welcome.frame": Accept{Version: 1, CordonedWorkers: []string{"s-3", "s-4"}},
		"denied.frame":  Reject{Reason: "another process is to be the <successor>"},
		"ban.frame":     SetCordon{Sequence: 3, WorkerID: "s-3", Cordoned: true},
		"banned.frame":  CordonResult{Sequence: 3, StatusCode: 404, Message: "no such worker node"},
		"bans.frame":    CordonedWorkers{WorkerIDs: []string{"s-3", "s-4"}},
		"begin.frame":   TransferBegin{}, // of builds that send no clock readings
		"module.frame":  SnapshotChunk{0, 1, 2, 0x80, 0xff},
		"estate.frame":  goldenRequestTable(),
		"query.frame":   goldenOpenRequest(),
		"client.frame":  goldenClientConnection(),
		"server.frame":  goldenWorkerConnection(),
		"end.frame":     TransferEnd{FrameCount: 5},
		"taken.frame":   TakenOver{},

		"client-overrun.frame":   goldenOverrunConnection(),
		"client-arrivals.frame":  goldenArrivalsConnection(),
		"server-write.frame":     goldenPartlyWritten(),
		"query-expired.frame":    goldenExpiredAttempt(),
		"welcome-overruns.frame": Accept{Version: 1, CordonedWorkers: []string{"s-3", "s-4"}, MarksOverrun: true},
		"part.frame":             BodyPart{0, 1, 2, 0x80, 0xff},
		"hello-parts.frame":      Handshake{Version: 1, AcceptsParts: true},
		"estate-starts.frame":    goldenRequestTableWithStarts(),
		"estate-executed.frame":  goldenRequestTableWithExecuted(),
		"begin-clocks.frame":     TransferBegin{Clock: goldenTime, Monotonic: 86_400*time.Second + 987_654_321},
	}
}

// earlierForms contains the golden files of earlier builds, which lack fields that another file of the same kind has.
var earlierForms = map[string]bool{
	"hello.frame": true, "welcome.frame": true, "begin.frame": true, "estate.frame": true, "client.frame": true,
	"client-overrun.frame": true, "server.frame": true, "query.frame": true, "estate-starts.frame": true,
}

func goldenRequestTable() RequestTable {
	endpoint := requests.Endpoint{
		ID: "s-0", Addr: "10.0.0.1:7000", Zone: "z1", MachineType: "m5", Cell: 4, Lifecycle: "up", Weight: 8,
		StartedAtMs: 1_764_633_000_000,
	}
	return RequestTable{
		LastID:      11,
		PolicyTimer: goldenTime + time.Second,
		Revision:    42,
		Endpoints:   []requests.Endpoint{endpoint},
		ListedIDs:   []string{"s-0"},
		CordonedIDs: []string{"s-3"},
	}
}

// goldenRequestTableWithStarts returns the request table of builds that convert start times of workers to the process's clock.
func goldenRequestTableWithStarts() RequestTable {
	table := goldenRequestTable()
	table.Starts = []requests.WorkerStart{{EndpointID: "s-0", ListedMs: 1_764_633_000_000, At: goldenTime - 600*time.Second}}
	table.LeastAge = 250 * time.Millisecond
	return table
}

// goldenRequestTableWithExecuted returns the request table of builds that remember the call IDs of requests that are possibly executed.
func goldenRequestTableWithExecuted() RequestTable {
	table := goldenRequestTableWithStarts()
	table.ExecutedIDs = []requests.ExecutedID{{Hash: 0xfedcba9876543210, Until: goldenTime + 7500*time.Millisecond}}
	return table
}

func goldenOpenRequest() OpenRequest {
	payload := requests.Payload{Method: "POST", Path: "/v1/jobs?a=1&b=2", IdempotencyKey: "key-7", Body: []byte("{\"x\": 1}\n\xff")}
	job := dispatch.Job{
		ID: 7, Class: 2, Tenant: 1, Key: 0xfedcba9876543210, Remaining: 1500 * time.Millisecond, Hint: 30 * time.Millisecond,
		Slots: 1.5, Memory: 0.25, Retry: true,
	}
	attempt := requests.OpenAttempt{
		Worker: 0x8000000000000001, EndpointID: "s-0", ExpiresAt: goldenTime + time.Second, Stage: requests.StageAccepted,
		Started: true, Ended: true, Cancelling: true, Result: dispatch.ConnectionReset,
	}
	return OpenRequest{
		ID:                 7,
		CallID:             "call <7>",
		Payload:            payload,
		Job:                job,
		Deadline:           goldenTime + time.Second,
		ArrivedAt:          goldenTime - time.Second,
		FirstSentAt:        goldenTime - 900*time.Millisecond,
		Attempts:           []requests.OpenAttempt{attempt},
		EndedByCallback:    []string{"s-0"},
		Closed:             true,
		ClientDisconnected: true,
		Reported:           true,
		Outcome:            requests.OutcomeConnectionLost,
		Response:           requests.ResponseFailed,
	}
}

// goldenExpiredAttempt returns a request of builds that transfer why an attempt is being cancelled.
func goldenExpiredAttempt() OpenRequest {
	request := goldenOpenRequest()
	request.Attempts[0].Expired = true
	return request
}

func goldenClientConnection() ClientConnection {
	slot := ResponseSlot{
		RequestID: 7, KeepAlive: true, Complete: true, Status: 503, Body: []byte("busy\n"), RetryAfter: 2 * time.Second,
	}
	return ClientConnection{
		Input:             []byte("POST /"),
		Output:            []byte("HTTP/1.1 200 OK\r\n"),
		ResponseSlots:     []ResponseSlot{slot},
		LastRequestRead:   true,
		InputConsumed:     true,
		HalfClosed:        true,
		ContinueSent:      true,
		RequestSeen:       true,
		UsefulRequestSeen: true,
		ProxyHeaderDone:   true,
		LastActivity:      goldenTime,
		ClientAddress:     "10.1.2.3:4567",
		ProxyAddress:      "[2001:db8::1]:80",
	}
}

// goldenOverrunConnection returns a connection of builds that transfer that input was discarded.
func goldenOverrunConnection() ClientConnection {
	connection := goldenClientConnection()
	connection.InputOverrun = true
	return connection
}

// goldenArrivalsConnection returns a connection of builds that transfer when input arrived.
func goldenArrivalsConnection() ClientConnection {
	connection := goldenOverrunConnection()
	connection.InputArrivals = []InputArrival{{Bytes: 6, At: goldenTime - time.Second}}
	return connection
}

func goldenWorkerConnection() WorkerConnection {
	return WorkerConnection{
		WorkerID:   "s-0",
		State:      2,
		RequestID:  7,
		Attempt:    1,
		Stage:      requests.StageWritten,
		Input:      []byte("HTTP/1.1 2"),
		Output:     []byte("rest"),
		IdleBefore: 3 * time.Second,
		IdleSince:  goldenTime,
	}
}

// goldenPartlyWritten returns a connection of builds that transfer until when a request may be written.
func goldenPartlyWritten() WorkerConnection {
	connection := goldenWorkerConnection()
	connection.WriteDeadline = goldenTime + 50*time.Millisecond
	return connection
}

// hasFields reports whether the body of a message is encoded by reflection.
func hasFields(message Message) bool {
	return reflect.TypeOf(message).Kind() == reflect.Struct && reflect.TypeOf(message).NumField() > 0
}

// Messages of every kind are encoded with the same bytes as by the first build of version 1, and are decoded to the same values.
func TestGoldenFrames(t *testing.T) {
	if ProtocolVersion != 1 {
		t.Fatalf("version %d has no golden files", ProtocolVersion)
	}
	seen := map[FrameKind]bool{}
	for name, want := range goldenMessages() {
		checkGoldenFrame(t, name, want)
		if !earlierForms[name] {
			seen[want.Kind()] = true
		}
	}
	for kind := KindHandshake; kind < kindLimit; kind++ {
		if !seen[kind] {
			t.Errorf("%v has no golden file of the current form", kind)
		}
	}
}

func checkGoldenFrame(t *testing.T, name string, want Message) {
	t.Helper()
	if hasFields(want) && !earlierForms[name] {
		for _, field := range storedform.ZeroFields(want) {
			t.Errorf("%s: %s is not set", name, field)
		}
	}
	storedform.CheckGolden(t, name, encode(t, want))
	golden := storedform.Golden(t, name)
	frame, size, err := ReadFrame(golden)
	if err != nil || size != len(golden) || frame.Kind != want.Kind() {
		t.Fatalf("%s: %v of %d bytes, %v", name, frame.Kind, size, err)
	}
	isUnencoded := want.Kind() == KindSnapshotChunk || want.Kind() == KindBodyPart
	if !isUnencoded && !hasFields(want) && len(frame.Body) > 0 {
		t.Errorf("%s: unexpected body %q", name, frame.Body)
	}
	if got, err := frame.Message(); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: %+v, %v, expected %+v", name, got, err, want)
	}
}

// All fields that reflection encodes in frames have their names in tags, so that processes of other builds can read the frames
// after a field was renamed in Go.
func TestFrameBodiesAreTagged(t *testing.T) {
	roots := []any{requests.State{}, requests.OpenRequest{}}
	for _, message := range goldenMessages() {
		if hasFields(message) {
			roots = append(roots, message)
		}
	}
	storedform.CheckTags(t, roots...)
}
