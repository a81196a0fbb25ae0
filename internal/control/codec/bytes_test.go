package codec

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// complete is a message of each kind in which every field of the kind is set, with an epoch of its own. Negative numbers
// are among them where the form allows them.
func complete() []message.Message {
	return []message.Message{
		{Kind: message.KindHandshake, Epoch: 1, Name: "forwarder-1", Process: 11, Version: Version},
		{Kind: message.KindRequestOffer, Epoch: 2, Query: 12, Head: &message.RequestSummary{Class: 13, Tenant: 14, Key: 15, Left: 16, Waited: 17,
			Hint: 18, Slots: 19.5, Memory: 20.25, Retry: true, Moves: 2, Attempts: []message.PastAttempt{
				{Worker: 21, Ago: 22, Began: 23, Ended: true, Result: dispatch.ConnectionReset, MayRun: true},
				{Worker: 24, Ago: 25, Began: 26, Ended: true, Result: dispatch.WorkerFull},
				{Worker: 27, Ago: 28, MayRun: true}}}},
		{Kind: message.KindAttemptEnded, Epoch: 3, Query: 29, Attempt: 30, Result: dispatch.NotSent, Why: message.ReasonNotPermitted},
		{Kind: message.KindAttemptStarted, Epoch: 4, Query: 31, Attempt: 32},
		{Kind: message.KindAttemptProgress, Epoch: 5, Query: 33, Attempt: 34, Share: 0.375},
		{Kind: message.KindRequestClosed, Epoch: 6, Query: 35},
		{Kind: message.KindHealthCheckResult, Epoch: 7, Worker: 36, Result: dispatch.ConnectFailed},
		{Kind: message.KindHeartbeat, Epoch: 8, Number: 37},
		{Kind: message.KindHandshakeAccept, Epoch: 9, Name: "planner-1", Process: 38, Version: Version, Credit: 39},
		{Kind: message.KindCreditUpdate, Epoch: 10, Credit: 40},
		{Kind: message.KindSendCommand, Epoch: 11, Query: 41, Attempt: 42, Worker: 43, Patience: 44 * time.Microsecond},
		{Kind: message.KindRejectCommand, Epoch: 12, Query: 45, After: 46 * time.Millisecond},
		{Kind: message.KindFailCommand, Epoch: 13, Query: 47},
		{Kind: message.KindCancelCommand, Epoch: 14, Query: 48, Attempt: 49},
		{Kind: message.KindHealthCheckCommand, Epoch: 15, Worker: 50},
		{Kind: message.KindCloseIdleCommand, Epoch: 16, Worker: 51},
		{Kind: message.KindTransferCommand, Epoch: 17, Query: 52, Name: "planner-2"},
		{Kind: message.KindHeartbeatReply, Epoch: 18, Number: 53, Late: 54 * time.Millisecond},
		{Kind: message.KindModelSnapshot, Epoch: 19, Age: 55 * time.Second, Bytes: []byte{56, 0, 57}},
		{Kind: message.KindGoodbye, Epoch: 20},
		{Kind: message.KindWorkerStatus, Epoch: 21, Word: &message.WorkerStatus{Worker: 58, StartedMs: 59, Generation: 60, State: message.WorkerGone}},
		{Kind: message.KindPeerHandshake, Epoch: 22, Name: "planner-3", Process: 61, Version: Version},
		{Kind: message.KindLoadReport, Epoch: 23, Load: &message.LoadReport{Heads: 62, Held: 63, Forwarders: 64, Late: 65, Slots: 66.5,
			Room: -67}},
	}
}

// empty is a message of each kind whose fields are zero.
func empty() (all []message.Message) {
	for _, kind := range kinds {
		m := message.Message{Kind: kind}
		switch kind {
		case message.KindRequestOffer:
			m.Head = &message.RequestSummary{}
		case message.KindWorkerStatus:
			m.Word = &message.WorkerStatus{}
		case message.KindLoadReport:
			m.Load = &message.LoadReport{}
		}
		all = append(all, m)
	}
	return all
}

// The bytes of each kind are those of earlier builds, with all fields set and with none. The golden file names kinds by
// their number only, so that it outlasts the names of the messages.
func TestBytesOfEveryKind(t *testing.T) {
	out := &strings.Builder{}
	for _, set := range []struct {
		name     string
		messages []message.Message
	}{{"every field set", complete()}, {"no field set", empty()}} {
		for i, m := range set.messages {
			if m.Kind != kinds[i] {
				t.Fatalf("%s: message %d is of kind %d, expected %d", set.name, i, m.Kind, kinds[i])
			}
			var w Writer
			if err := w.Add(&m); err != nil {
				t.Fatal(err)
			}
			wire := w.Take(nil)
			fmt.Fprintf(out, "kind %d, %s: %s\n", m.Kind, set.name, hex.EncodeToString(wire))
			got, err := read(NewReader(0), wire, func(left int) int { return left })
			if err != nil || !same(got, []message.Message{m}) {
				t.Errorf("%+v came as %+v, %v", m, got, err)
			}
		}
		if len(set.messages) != len(kinds) {
			t.Errorf("%s: %d messages, expected %d", set.name, len(set.messages), len(kinds))
		}
	}
	golden(t, "bytes.golden", out.String())
}

// Enumerations that stand in messages have the numbers that they had in earlier builds.
func TestBytesOfEnumerations(t *testing.T) {
	out := &strings.Builder{}
	write := func(name string, m message.Message) {
		var w Writer
		if err := w.Add(&m); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(out, "%s: %s\n", name, hex.EncodeToString(w.Take(nil)))
	}
	reasons := []message.RejectReason{message.ReasonNone, message.ReasonStaleEpoch, message.ReasonUnknownRequest, message.ReasonNotOwner, message.ReasonPossiblyExecuted, message.ReasonOutsideScope,
		message.ReasonWindowExpired, message.ReasonWorkerDraining, message.ReasonUnknownWorker, message.ReasonDuplicateAtWorker, message.ReasonHedgingDisabled, message.ReasonAttemptLimit,
		message.ReasonDeadlineExceeded, message.ReasonUnsafeRejection, message.ReasonDuplicateCommand, message.ReasonClassMismatch, message.ReasonNotPermitted}
	if len(reasons) != int(message.ReasonCount) {
		t.Errorf("%d reasons, expected %d", len(reasons), message.ReasonCount)
	}
	for i, why := range reasons {
		write(fmt.Sprintf("kind 3, reason %d", i), message.Message{Kind: message.KindAttemptEnded, Why: why})
	}
	for i, state := range []message.WorkerState{message.WorkerUp, message.WorkerDraining, message.WorkerGone} {
		write(fmt.Sprintf("kind 64, state %d", i), message.Message{Kind: message.KindWorkerStatus, Word: &message.WorkerStatus{State: state}})
	}
	results := []dispatch.Result{dispatch.OK, dispatch.Failed, dispatch.WorkerFull, dispatch.TimedOut, dispatch.ConnectFailed, dispatch.ConnectionReset, dispatch.Cancelled,
		dispatch.NotSent}
	for i, result := range results {
		write(fmt.Sprintf("kind 7, result %d", i), message.Message{Kind: message.KindHealthCheckResult, Result: result})
	}
	golden(t, "enumerations.golden", out.String())
}
