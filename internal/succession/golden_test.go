package succession

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"valvecove/internal/ledger"
	"valvecove/internal/storedform"
	"valvecove/logic"
)

// at is an instant of the golden files, as Unix time.
const at = 1_764_633_600*time.Second + 123_456_789

// goldenFrames are frames of every kind, all fields set, by the golden files that hold them. Files of form 1 are never
// written anew: see storedform.Golden.
func goldenFrames() map[string]struct {
	kind Kind
	body any
} {
	job := logic.Job{ID: 7, Class: 2, Tenant: 1, Key: 0xfedcba9876543210, Left: 1500 * time.Millisecond, Hint: 30 * time.Millisecond,
		Slots: 1.5, Memory: 0.25, Retry: true}
	return map[string]struct {
		kind Kind
		body any
	}{
		"hello.frame":   {KindHello, Hello{Form: 1}},
		"welcome.frame": {KindWelcome, Welcome{Form: 1, Out: []string{"s-3", "s-4"}}},
		"denied.frame":  {KindDenied, Denied{Why: "another process is to be the <successor>"}},
		"ban.frame":     {KindBan, Ban{Seq: 3, ID: "s-3", Out: true}},
		"banned.frame":  {KindBanned, Banned{Seq: 3, Code: 404, What: "no such worker node"}},
		"bans.frame":    {KindBans, Bans{Out: []string{"s-3", "s-4"}}},
		"begin.frame":   {KindBegin, nil},
		"module.frame":  {KindModule, []byte{0, 1, 2, 0x80, 0xff}},
		"estate.frame": {KindBook, ledger.Estate{LastID: 11, Timer: at + time.Second, Generation: 42,
			Hosts: []ledger.Host{{ID: "s-0", Addr: "10.0.0.1:7000", Zone: "z1", Kind: "m5", Cell: 4, State: "up", Weight: 8,
				StartedMs: 1_764_633_000_000}},
			Listed: []string{"s-0"}, Out: []string{"s-3"}}},
		"query.frame": {KindQuery, ledger.OpenQuery{ID: 7, Call: "call <7>",
			Parcel:   ledger.Parcel{Verb: "POST", Path: "/v1/jobs?a=1&b=2", Key: "key-7", Body: []byte("{\"x\": 1}\n\xff")},
			Job:      job,
			Deadline: at + time.Second, Came: at - time.Second, Sent: at - 900*time.Millisecond,
			Attempts: []ledger.OpenAttempt{{Worker: 0x8000000000000001, From: "s-0", Until: at + time.Second, Stage: ledger.Accepted,
				Sent: true, Ended: true, Withdrawing: true, Outcome: logic.Reset}},
			Noted: []string{"s-0"}, Closed: true, Left: true, Over: true, Outcome: ledger.ConnectionLost, Answer: ledger.AnsweredFailed}},
		"client.frame": {KindClient, ClientLink{In: []byte("POST /"), Out: []byte("HTTP/1.1 200 OK\r\n"),
			Turns: []Turn{{Query: 7, Keep: true, Done: true, Status: 503, Body: []byte("busy\n"), Retry: 2 * time.Second}},
			Last:  true, Ended: true, Half: true, Continued: true, Spoke: true, Useful: true, Introduced: true, Since: at,
			Client: "10.1.2.3:4567", Via: "[2001:db8::1]:80"}},
		"server.frame": {KindServer, ServerLink{Host: "s-0", State: 2, Query: 7, Attempt: 1, Stage: ledger.AllWritten,
			In: []byte("HTTP/1.1 2"), Out: []byte("rest"), Rested: 3 * time.Second, IdleAt: at}},
		"end.frame":   {KindEnd, End{Frames: 5}},
		"taken.frame": {KindTaken, nil},
	}
}

// Frames of every kind are written as the build of form 1 wrote them, and mean the same when they are read.
func TestGoldenFrames(t *testing.T) {
	if Form != 1 {
		t.Fatalf("form %d has no golden files", Form)
	}
	seen := map[Kind]bool{}
	for name, want := range goldenFrames() {
		seen[want.kind] = true
		if _, state := want.body.([]byte); !state && want.body != nil {
			for _, field := range storedform.Zero(want.body) {
				t.Errorf("%s: %s is not set", name, field)
			}
		}
		written, err := Append(nil, want.kind, want.body)
		if err != nil {
			t.Fatal(err)
		}
		storedform.CheckGolden(t, name, written)
		golden := storedform.Golden(t, name)
		frame, n, err := Read(golden)
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
	for kind := KindHello; kind < kinds; kind++ {
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
	storedform.CheckTags(t, append(roots, ClientLink{}, ServerLink{}, ledger.Estate{}, ledger.OpenQuery{})...)
}
