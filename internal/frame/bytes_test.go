package frame

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"valvecove/internal/tier"
	"valvecove/logic"
)

// complete is a message of each kind in which every field of the kind is set, with an epoch of its own. Negative numbers
// are among them where the form allows them.
func complete() []tier.Message {
	return []tier.Message{
		{Kind: tier.Hello, Epoch: 1, Name: "forwarder-1", Process: 11, Version: Version},
		{Kind: tier.Head, Epoch: 2, Query: 12, Head: &tier.HeadOf{Class: 13, Tenant: 14, Key: 15, Left: 16, Waited: 17,
			Hint: 18, Slots: 19.5, Memory: 20.25, Retry: true, Moves: 2, Attempts: []tier.Past{
				{Worker: 21, Ago: 22, Began: 23, Ended: true, Result: logic.Reset, MayRun: true},
				{Worker: 24, Ago: 25, Began: 26, Ended: true, Result: logic.Full},
				{Worker: 27, Ago: 28, MayRun: true}}}},
		{Kind: tier.Ended, Epoch: 3, Query: 29, Attempt: 30, Result: logic.NotSent, Why: tier.NotAllowed},
		{Kind: tier.Started, Epoch: 4, Query: 31, Attempt: 32},
		{Kind: tier.Progress, Epoch: 5, Query: 33, Attempt: 34, Share: 0.375},
		{Kind: tier.Over, Epoch: 6, Query: 35},
		{Kind: tier.Probed, Epoch: 7, Worker: 36, Result: logic.NoConnect},
		{Kind: tier.Asked, Epoch: 8, Number: 37},
		{Kind: tier.Welcome, Epoch: 9, Name: "planner-1", Process: 38, Version: Version, Credit: 39},
		{Kind: tier.Credit, Epoch: 10, Credit: 40},
		{Kind: tier.Send, Epoch: 11, Query: 41, Attempt: 42, Worker: 43, Patience: 44 * time.Microsecond},
		{Kind: tier.Refuse, Epoch: 12, Query: 45, After: 46 * time.Millisecond},
		{Kind: tier.Fail, Epoch: 13, Query: 47},
		{Kind: tier.Cancel, Epoch: 14, Query: 48, Attempt: 49},
		{Kind: tier.Probe, Epoch: 15, Worker: 50},
		{Kind: tier.Free, Epoch: 16, Worker: 51},
		{Kind: tier.Move, Epoch: 17, Query: 52, Name: "planner-2"},
		{Kind: tier.Here, Epoch: 18, Number: 53, Late: 54 * time.Millisecond},
		{Kind: tier.Snapshot, Epoch: 19, Age: 55 * time.Second, Bytes: []byte{56, 0, 57}},
		{Kind: tier.Bye, Epoch: 20},
		{Kind: tier.Word, Epoch: 21, Word: &tier.WordOf{Worker: 58, StartedMs: 59, Generation: 60, State: tier.Gone}},
		{Kind: tier.Greet, Epoch: 22, Name: "planner-3", Process: 61, Version: Version},
		{Kind: tier.Load, Epoch: 23, Load: &tier.LoadOf{Heads: 62, Held: 63, Forwarders: 64, Late: 65, Slots: 66.5,
			Room: -67}},
	}
}

// empty is a message of each kind whose fields are zero.
func empty() (all []tier.Message) {
	for _, kind := range kinds {
		m := tier.Message{Kind: kind}
		switch kind {
		case tier.Head:
			m.Head = &tier.HeadOf{}
		case tier.Word:
			m.Word = &tier.WordOf{}
		case tier.Load:
			m.Load = &tier.LoadOf{}
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
		messages []tier.Message
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
			if err != nil || !same(got, []tier.Message{m}) {
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
	write := func(name string, m tier.Message) {
		var w Writer
		if err := w.Add(&m); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(out, "%s: %s\n", name, hex.EncodeToString(w.Take(nil)))
	}
	reasons := []tier.Why{tier.NotRefused, tier.OldEpoch, tier.NoSuchQuery, tier.NotYours, tier.MayHaveRun, tier.OutsideGroup,
		tier.PastWindow, tier.NodeDrains, tier.NoSuchNode, tier.TwiceAtNode, tier.SecondCopy, tier.TooManyTries,
		tier.PastDeadline, tier.NotHarmless, tier.Repeated, tier.NotForClass, tier.NotAllowed}
	if len(reasons) != int(tier.Reasons) {
		t.Errorf("%d reasons, expected %d", len(reasons), tier.Reasons)
	}
	for i, why := range reasons {
		write(fmt.Sprintf("kind 3, reason %d", i), tier.Message{Kind: tier.Ended, Why: why})
	}
	for i, state := range []tier.State{tier.Up, tier.Draining, tier.Gone} {
		write(fmt.Sprintf("kind 64, state %d", i), tier.Message{Kind: tier.Word, Word: &tier.WordOf{State: state}})
	}
	results := []logic.Result{logic.OK, logic.Failed, logic.Full, logic.TimedOut, logic.NoConnect, logic.Reset, logic.Cancelled,
		logic.NotSent}
	for i, result := range results {
		write(fmt.Sprintf("kind 7, result %d", i), tier.Message{Kind: tier.Probed, Result: result})
	}
	golden(t, "enumerations.golden", out.String())
}
