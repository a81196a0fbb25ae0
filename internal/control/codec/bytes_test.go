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
		{Kind: message.KindHandshake, Epoch: 1, Name: "forwarder-1", Incarnation: 11, Version: Version},
		{Kind: message.KindRequestOffer, Epoch: 2, RequestID: 12, Summary: &message.RequestSummary{Class: 13, Tenant: 14, Key: 15, Remaining: 16, Waited: 17,
			Hint: 18, Slots: 19.5, Memory: 20.25, Retry: true, Transfers: 2, Attempts: []message.PastAttempt{
				{WorkerID: 21, SentAgo: 22, StartedAgo: 23, Ended: true, Result: dispatch.ConnectionReset, PossiblyExecuted: true},
				{WorkerID: 24, SentAgo: 25, StartedAgo: 26, Ended: true, Result: dispatch.WorkerFull},
				{WorkerID: 27, SentAgo: 28, PossiblyExecuted: true}}}},
		{Kind: message.KindAttemptEnded, Epoch: 3, RequestID: 29, Attempt: 30, Result: dispatch.NotSent, Reason: message.ReasonNotPermitted},
		{Kind: message.KindAttemptStarted, Epoch: 4, RequestID: 31, Attempt: 32},
		{Kind: message.KindAttemptProgress, Epoch: 5, RequestID: 33, Attempt: 34, Fraction: 0.375},
		{Kind: message.KindRequestClosed, Epoch: 6, RequestID: 35},
		{Kind: message.KindHealthCheckResult, Epoch: 7, WorkerID: 36, Result: dispatch.ConnectFailed},
		{Kind: message.KindHeartbeat, Epoch: 8, Sequence: 37},
		{Kind: message.KindHandshakeAccept, Epoch: 9, Name: "planner-1", Incarnation: 38, Version: Version, Credit: 39},
		{Kind: message.KindCreditUpdate, Epoch: 10, Credit: 40},
		{Kind: message.KindSendCommand, Epoch: 11, RequestID: 41, Attempt: 42, WorkerID: 43, Timeout: 44 * time.Microsecond},
		{Kind: message.KindRejectCommand, Epoch: 12, RequestID: 45, RetryAfter: 46 * time.Millisecond},
		{Kind: message.KindFailCommand, Epoch: 13, RequestID: 47},
		{Kind: message.KindCancelCommand, Epoch: 14, RequestID: 48, Attempt: 49},
		{Kind: message.KindHealthCheckCommand, Epoch: 15, WorkerID: 50},
		{Kind: message.KindCloseIdleCommand, Epoch: 16, WorkerID: 51},
		{Kind: message.KindTransferCommand, Epoch: 17, RequestID: 52, Name: "planner-2"},
		{Kind: message.KindHeartbeatReply, Epoch: 18, Sequence: 53, TimerLag: 54 * time.Millisecond},
		{Kind: message.KindModelSnapshot, Epoch: 19, Age: 55 * time.Second, Data: []byte{56, 0, 57}},
		{Kind: message.KindGoodbye, Epoch: 20},
		{Kind: message.KindWorkerStatus, Epoch: 21, Status: &message.WorkerStatus{WorkerID: 58, StartedMs: 59, Revision: 60, State: message.WorkerGone}},
		{Kind: message.KindPeerHandshake, Epoch: 22, Name: "planner-3", Incarnation: 61, Version: Version},
		{Kind: message.KindLoadReport, Epoch: 23, LoadReport: &message.LoadReport{OpenRequests: 62, QueuedRequests: 63, Forwarders: 64, TimerLag: 65, UsedSlots: 66.5,
			FreeSlots: -67}},
	}
}

// empty is a message of each kind whose fields are zero.
func empty() (all []message.Message) {
	for _, kind := range kinds {
		m := message.Message{Kind: kind}
		switch kind {
		case message.KindRequestOffer:
			m.Summary = &message.RequestSummary{}
		case message.KindWorkerStatus:
			m.Status = &message.WorkerStatus{}
		case message.KindLoadReport:
			m.LoadReport = &message.LoadReport{}
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
		write(fmt.Sprintf("kind 3, reason %d", i), message.Message{Kind: message.KindAttemptEnded, Reason: why})
	}
	for i, state := range []message.WorkerState{message.WorkerUp, message.WorkerDraining, message.WorkerGone} {
		write(fmt.Sprintf("kind 64, state %d", i), message.Message{Kind: message.KindWorkerStatus, Status: &message.WorkerStatus{State: state}})
	}
	results := []dispatch.Result{dispatch.OK, dispatch.Failed, dispatch.WorkerFull, dispatch.TimedOut, dispatch.ConnectFailed, dispatch.ConnectionReset, dispatch.Cancelled,
		dispatch.NotSent}
	for i, result := range results {
		write(fmt.Sprintf("kind 7, result %d", i), message.Message{Kind: message.KindHealthCheckResult, Result: result})
	}
	golden(t, "enumerations.golden", out.String())
}
