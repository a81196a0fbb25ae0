package codec

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

var update = flag.Bool("update", false, "rewrite the golden files with the actual output")

// checkGolden compares text with a golden file.
func checkGolden(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if text != string(want) {
		t.Errorf("the output differs from %s:\n%s", path, text)
	}
}

func describe(envelope message.Envelope) string {
	return fmt.Sprintf("%v, epoch %d: %+v", envelope.Message.Kind(), envelope.Epoch, envelope.Message)
}

// The encoding of each kind, and of a frame with several messages, matches the golden file. It must not change, as processes of
// other builds decode it.
func TestGoldenBytes(t *testing.T) {
	output := &strings.Builder{}
	for _, envelope := range samples() {
		wire := encode(t, envelope)
		fmt.Fprintf(output, "%s\n  %s %s\n", describe(envelope), hex.EncodeToString(wire[:headerSize]),
			hex.EncodeToString(wire[headerSize:]))
		decoded, err := decodeAll(NewReader(0), wire, func(int) int { return 5 })
		if err != nil || !equal(decoded, []message.Envelope{envelope}) {
			t.Errorf("%v was decoded as %+v, %v", describe(envelope), decoded, err)
		}
	}
	fmt.Fprintf(output, "all in one frame\n  %s\n", hex.EncodeToString(encode(t, samples()...)))
	checkGolden(t, "messages.golden", output.String())
}

func samples() []message.Envelope {
	const epoch = 1718000000000000001
	all := []message.Message{
		&message.Handshake{Name: "f-3", Incarnation: 1718000000000000000, Version: Version},
		&message.RequestOffer{RequestID: 1000, Summary: message.RequestSummary{
			Class: 2, Tenant: 1, Key: 0x0123456789abcdef, Remaining: 4 * time.Second, Waited: 3 * time.Millisecond,
			Hint: 120 * time.Millisecond, Slots: 1,
		}},
		&message.RequestOffer{RequestID: 1001, Summary: message.RequestSummary{
			Remaining: time.Second, Slots: 2, Memory: 1.5, Retry: true, Transfers: 1, Attempts: []message.PastAttempt{
				{
					WorkerID: 77, SentAgo: 20 * time.Millisecond, StartedAgo: 5 * time.Millisecond, Ended: true,
					Result: dispatch.ConnectionReset, PossiblyExecuted: true,
				},
				{WorkerID: 78, SentAgo: time.Millisecond},
			},
		}},
		&message.AttemptEnded{RequestID: 1000, Attempt: 0},
		&message.AttemptEnded{
			RequestID: 1000, Attempt: 1, Result: dispatch.NotSent, Reason: message.ReasonWorkerDraining,
		},
		&message.AttemptStarted{RequestID: 1000, Attempt: 1},
		&message.AttemptProgress{RequestID: 1000, Attempt: 1, Fraction: 0.25},
		&message.RequestClosed{RequestID: 1000},
		&message.HealthCheckResult{WorkerID: 0xfedcba9876543210, Result: dispatch.WorkerFull},
		&message.Heartbeat{Sequence: 12},
		&message.HandshakeAccept{Name: "p-1", Incarnation: 1717999999000000000, Version: Version, Credit: 512},
		&message.CreditUpdate{Credit: 300},
		&message.SendCommand{
			RequestID: 1000, WorkerID: 0xfedcba9876543210, Attempt: 1, Timeout: 80 * time.Millisecond,
		},
		&message.RejectCommand{RequestID: 1000, RetryAfter: 250 * time.Millisecond},
		&message.FailCommand{RequestID: 1000},
		&message.CancelCommand{RequestID: 1000, Attempt: 2},
		&message.HealthCheckCommand{WorkerID: 1},
		&message.CloseIdleCommand{WorkerID: 1},
		&message.TransferCommand{RequestID: 1000, Planner: "p-2"},
		&message.TransferCommand{RequestID: 1000},
		&message.HeartbeatReply{Sequence: 12, TimerLag: 80 * time.Millisecond},
		&message.ModelSnapshot{Age: time.Second, Data: []byte("what it knows")},
		&message.Goodbye{},
		&message.WorkerStatus{WorkerID: 5, StartedMs: 1718000000000, Revision: 41, State: message.WorkerDraining},
		&message.PeerHandshake{Name: "p-2", Incarnation: 1717999999000000000, Version: Version},
		&message.LoadReport{
			OpenRequests: 90, QueuedRequests: 4, Forwarders: 10, TimerLag: time.Millisecond, UsedSlots: 86, FreeSlots: 20.5,
		},
	}
	envelopes := make([]message.Envelope, len(all))
	for i, m := range all {
		envelopes[i] = message.Envelope{Epoch: epoch, Message: m}
	}
	return envelopes
}

// foreignFrame builds a frame of any version from message bodies.
func foreignFrame(major, minor byte, bodies ...[]byte) []byte {
	frame := make([]byte, headerSize)
	for _, body := range bodies {
		frame = append(append(frame, byte(len(body))), body...)
	}
	sealFrame(frame, major, minor)
	return frame
}

// bodyOf returns the encoding of a message in this version, without its length.
func bodyOf(t *testing.T, envelope message.Envelope) []byte {
	t.Helper()
	return encode(t, envelope)[headerSize+1:]
}

// A reader decodes the messages of a compatible version, and ends the stream of an incompatible version with an error. The golden
// file lists, for each case, the bytes of the stream and the messages that are decoded from them.
func TestOtherVersions(t *testing.T) {
	body := func(m message.Message) []byte { return bodyOf(t, message.Envelope{Message: m}) }
	handshake := bodyOf(t, samples()[0])
	closed := body(&message.RequestClosed{RequestID: 9})
	longer := append(body(&message.SendCommand{RequestID: 9, Attempt: 1, WorkerID: 7, Timeout: 5}), 1, 2, 3)
	unknownKind := []byte{30, 0, 1, 2, 3}
	longerAttempt := body(&message.RequestOffer{RequestID: 9, Summary: message.RequestSummary{
		Attempts: []message.PastAttempt{{WorkerID: 1, StartedAgo: 3}},
	}})
	longerAttempt[len(longerAttempt)-12]++
	longerAttempt = append(longerAttempt, 42)
	output := &strings.Builder{}
	for _, c := range []struct {
		name string
		wire []byte
	}{
		{
			"a later minor version: an unknown kind and an unknown field",
			foreignFrame(Major, Minor+1, unknownKind, longer, closed),
		},
		{"an unknown kind from this version", foreignFrame(Major, Minor, closed, unknownKind, closed)},
		{"an unknown field from this version", foreignFrame(Major, Minor, longer)},
		{"a later minor version: an unknown field of an attempt", foreignFrame(Major, Minor+1, longerAttempt)},
		{"an older version: fields that it does not have are zero", foreignFrame(Major, 0, body(&message.SendCommand{RequestID: 9}))},
		{
			"a later major version: handshakes",
			foreignFrame(Major+1, 3, append(handshake, 9, 9), append(handshake, 9, 9)),
		},
		{
			"a later major version: a handshake and another message",
			append(foreignFrame(Major+1, 3, handshake), foreignFrame(Major+1, 3, []byte{2, 0, 1}, handshake)...),
		},
		{"an earlier major version", foreignFrame(0, 9, closed)},
		{"another protocol", []byte("GET / HTTP/1.1\r\n")},
		{"a message without a kind", foreignFrame(Major, Minor, nil)},
	} {
		decoded, err := decodeAll(NewReader(0), c.wire, func(int) int { return 3 })
		fmt.Fprintf(output, "%s\n  %s\n", c.name, hex.EncodeToString(c.wire))
		for _, envelope := range decoded {
			fmt.Fprintf(output, "  %s\n", describe(envelope))
		}
		fmt.Fprintf(output, "  error: %v\n", err)
	}
	checkGolden(t, "versions.golden", output.String())
}

// completeMessages returns a message of each kind with every field set, in the order of allKinds.
func completeMessages() []message.Envelope {
	all := []message.Message{
		&message.Handshake{Name: "forwarder-1", Incarnation: 11, Version: Version},
		&message.RequestOffer{RequestID: 12, Summary: message.RequestSummary{
			Class: 13, Tenant: 14, Key: 15, Remaining: 16, Waited: 17, Hint: 18, Slots: 19.5, Memory: 20.25, Retry: true,
			Transfers: 2, Attempts: []message.PastAttempt{
				{
					WorkerID: 21, SentAgo: 22, StartedAgo: 23, Ended: true, Result: dispatch.ConnectionReset,
					PossiblyExecuted: true,
				},
				{WorkerID: 24, SentAgo: 25, StartedAgo: 26, Ended: true, Result: dispatch.WorkerFull},
				{WorkerID: 27, SentAgo: 28, PossiblyExecuted: true},
			},
		}},
		&message.AttemptEnded{
			RequestID: 29, Attempt: 30, Result: dispatch.NotSent, Reason: message.ReasonNotPermitted,
		},
		&message.AttemptStarted{RequestID: 31, Attempt: 32},
		&message.AttemptProgress{RequestID: 33, Attempt: 34, Fraction: 0.375},
		&message.RequestClosed{RequestID: 35},
		&message.HealthCheckResult{WorkerID: 36, Result: dispatch.ConnectFailed},
		&message.Heartbeat{Sequence: 37},
		&message.HandshakeAccept{Name: "planner-1", Incarnation: 38, Version: Version, Credit: 39},
		&message.CreditUpdate{Credit: 40},
		&message.SendCommand{RequestID: 41, Attempt: 42, WorkerID: 43, Timeout: 44 * time.Microsecond},
		&message.RejectCommand{RequestID: 45, RetryAfter: 46 * time.Millisecond},
		&message.FailCommand{RequestID: 47},
		&message.CancelCommand{RequestID: 48, Attempt: 49},
		&message.HealthCheckCommand{WorkerID: 50},
		&message.CloseIdleCommand{WorkerID: 51},
		&message.TransferCommand{RequestID: 52, Planner: "planner-2"},
		&message.HeartbeatReply{Sequence: 53, TimerLag: 54 * time.Millisecond},
		&message.ModelSnapshot{Age: 55 * time.Second, Data: []byte{56, 0, 57}},
		&message.Goodbye{},
		&message.WorkerStatus{WorkerID: 58, StartedMs: 59, Revision: 60, State: message.WorkerGone},
		&message.PeerHandshake{Name: "planner-3", Incarnation: 61, Version: Version},
		&message.LoadReport{
			OpenRequests: 62, QueuedRequests: 63, Forwarders: 64, TimerLag: 65, UsedSlots: 66.5, FreeSlots: -67,
		},
	}
	envelopes := make([]message.Envelope, len(all))
	for i, m := range all {
		envelopes[i] = message.Envelope{Epoch: message.Epoch(i + 1), Message: m}
	}
	return envelopes
}

// emptyMessages returns a message of each kind with all fields zero, in the order of allKinds.
func emptyMessages() []message.Envelope {
	envelopes := make([]message.Envelope, len(allKinds))
	for i, kind := range allKinds {
		envelopes[i].Message = formatOfKind(kind).newMessage()
	}
	return envelopes
}

// Each kind is encoded to the same bytes as in earlier builds, with all fields set and with none. The golden file identifies
// kinds by number only, so that it does not depend on the names of the messages.
func TestBytesOfEveryKind(t *testing.T) {
	output := &strings.Builder{}
	for _, set := range []struct {
		name      string
		envelopes []message.Envelope
	}{{"every field set", completeMessages()}, {"no field set", emptyMessages()}} {
		if len(set.envelopes) != len(allKinds) {
			t.Errorf("%s: %d messages, expected %d", set.name, len(set.envelopes), len(allKinds))
		}
		for i, envelope := range set.envelopes {
			kind := envelope.Message.Kind()
			if kind != allKinds[i] {
				t.Fatalf("%s: message %d is of kind %d, expected %d", set.name, i, kind, allKinds[i])
			}
			wire := encode(t, envelope)
			fmt.Fprintf(output, "kind %d, %s: %s\n", kind, set.name, hex.EncodeToString(wire))
			decoded, err := decodeAll(NewReader(0), wire, wholeInput)
			if err != nil || !equal(decoded, []message.Envelope{envelope}) {
				t.Errorf("%v was decoded as %+v, %v", describe(envelope), decoded, err)
			}
		}
	}
	checkGolden(t, "bytes.golden", output.String())
}

// The values of enumerations have the same numbers as in earlier builds.
func TestBytesOfEnumerations(t *testing.T) {
	output := &strings.Builder{}
	write := func(name string, m message.Message) {
		fmt.Fprintf(output, "%s: %s\n", name, hex.EncodeToString(encode(t, message.Envelope{Message: m})))
	}
	reasons := []message.RejectReason{
		message.ReasonNone, message.ReasonStaleEpoch, message.ReasonUnknownRequest, message.ReasonNotOwner,
		message.ReasonPossiblyExecuted, message.ReasonOutsideScope, message.ReasonWindowExpired,
		message.ReasonWorkerDraining, message.ReasonUnknownWorker, message.ReasonDuplicateAtWorker,
		message.ReasonHedgingDisabled, message.ReasonAttemptLimit, message.ReasonDeadlineExceeded,
		message.ReasonUnsafeRejection, message.ReasonDuplicateCommand, message.ReasonClassMismatch,
		message.ReasonNotPermitted,
	}
	if len(reasons) != int(message.ReasonCount) {
		t.Errorf("%d reasons, expected %d", len(reasons), message.ReasonCount)
	}
	for i, reason := range reasons {
		write(fmt.Sprintf("kind 3, reason %d", i), &message.AttemptEnded{Reason: reason})
	}
	for i, state := range []message.WorkerState{message.WorkerUp, message.WorkerDraining, message.WorkerGone} {
		write(fmt.Sprintf("kind 64, state %d", i), &message.WorkerStatus{State: state})
	}
	results := []dispatch.Result{
		dispatch.OK, dispatch.Failed, dispatch.WorkerFull, dispatch.TimedOut, dispatch.ConnectFailed,
		dispatch.ConnectionReset, dispatch.Cancelled, dispatch.NotSent,
	}
	for i, result := range results {
		write(fmt.Sprintf("kind 7, result %d", i), &message.HealthCheckResult{Result: result})
	}
	checkGolden(t, "enumerations.golden", output.String())
}
