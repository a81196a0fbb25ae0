package codec

import (
	"bytes"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/steps"
)

var update = flag.Bool("update", false, "write the golden files anew")

// kinds are all that there are.
var kinds = []message.Kind{message.KindHandshake, message.KindRequestOffer, message.KindAttemptEnded, message.KindAttemptStarted, message.KindAttemptProgress, message.KindRequestClosed, message.KindHealthCheckResult,
	message.KindHeartbeat, message.KindHandshakeAccept, message.KindCreditUpdate, message.KindSendCommand, message.KindRejectCommand, message.KindFailCommand, message.KindCancelCommand, message.KindHealthCheckCommand, message.KindCloseIdleCommand,
	message.KindTransferCommand, message.KindHeartbeatReply, message.KindModelSnapshot, message.KindGoodbye, message.KindWorkerStatus, message.KindPeerHandshake, message.KindLoadReport}

// draw is what random messages are made of.
type draw interface{ Pick(n int) int }

func wide(d draw) uint64 {
	v := uint64(0)
	for range d.Pick(9) {
		v = v<<8 | uint64(d.Pick(256))
	}
	return v
}

func span(d draw) time.Duration { return time.Duration(wide(d)) }

func float(d draw) float64 {
	return []float64{0, 1, 2, 0.25, 1.0 / 3, math.Inf(1), math.MaxFloat64, -7}[d.Pick(8)]
}

func small(d draw) int {
	return []int{0, 1, 3, 200, -1, 70000, math.MaxInt32, math.MinInt32}[d.Pick(8)]
}

func name(d draw) string { return strings.Repeat("p", d.Pick(3)) + []string{"", "0", "7"}[d.Pick(3)] }

// random makes a message of a kind, with the fields that it has by the words of package tier.
func random(d draw, kind message.Kind) message.Message {
	m := message.Message{Kind: kind, Epoch: message.Epoch(wide(d))}
	switch kind {
	case message.KindHandshake, message.KindPeerHandshake, message.KindHandshakeAccept:
		m.Name, m.Incarnation, m.Version = name(d), wide(d), small(d)
		if kind == message.KindHandshakeAccept {
			m.Credit = small(d)
		}
	case message.KindRequestOffer:
		m.RequestID = wide(d)
		h := &message.RequestSummary{Class: small(d), Tenant: small(d), Key: wide(d), Remaining: span(d), Waited: span(d),
			Hint:  span(d),
			Slots: float(d), Memory: float(d), Retry: d.Pick(2) == 0, Transfers: small(d)}
		for range d.Pick(4) {
			h.Attempts = append(h.Attempts, message.PastAttempt{WorkerID: wide(d), SentAgo: span(d), StartedAgo: span(d),
				Ended:  d.Pick(2) == 0,
				Result: dispatch.Result(d.Pick(9)), PossiblyExecuted: d.Pick(2) == 0})
		}
		m.Summary = h
	case message.KindAttemptEnded:
		m.RequestID, m.Attempt, m.Result = wide(d), small(d), dispatch.Result(d.Pick(9))
		m.Reason = message.RejectReason(d.Pick(int(message.ReasonCount) + 1))
	case message.KindAttemptStarted, message.KindCancelCommand:
		m.RequestID, m.Attempt = wide(d), small(d)
	case message.KindAttemptProgress:
		m.RequestID, m.Attempt, m.Fraction = wide(d), small(d), float(d)
	case message.KindRequestClosed, message.KindFailCommand:
		m.RequestID = wide(d)
	case message.KindHealthCheckResult:
		m.WorkerID, m.Result = wide(d), dispatch.Result(d.Pick(9))
	case message.KindHeartbeat:
		m.Sequence = wide(d)
	case message.KindCreditUpdate:
		m.Credit = small(d)
	case message.KindSendCommand:
		m.RequestID, m.Attempt, m.WorkerID, m.Timeout = wide(d), small(d), wide(d), span(d)
	case message.KindRejectCommand:
		m.RequestID, m.RetryAfter = wide(d), span(d)
	case message.KindHealthCheckCommand, message.KindCloseIdleCommand:
		m.WorkerID = wide(d)
	case message.KindTransferCommand:
		m.RequestID, m.Name = wide(d), name(d)
	case message.KindHeartbeatReply:
		m.Sequence, m.TimerLag = wide(d), span(d)
	case message.KindModelSnapshot:
		m.Age = span(d)
		if n := d.Pick(5); n > 0 {
			m.Data = bytes.Repeat([]byte{byte(d.Pick(256))}, []int{1, 2, 300, 4000, 1 << 17}[n])
		}
	case message.KindWorkerStatus:
		m.Status = &message.WorkerStatus{WorkerID: wide(d), StartedMs: int64(wide(d)), Revision: int64(wide(d)),
			State: message.WorkerState(d.Pick(4))}
	case message.KindLoadReport:
		m.LoadReport = &message.LoadReport{OpenRequests: small(d), QueuedRequests: small(d), Forwarders: small(d), TimerLag: span(d), UsedSlots: float(d),
			FreeSlots: float(d)}
	}
	return m
}

// own is a copy that does not point into the reader.
func own(m message.Message) message.Message {
	if m.Summary != nil {
		h := *m.Summary
		h.Attempts = append([]message.PastAttempt(nil), h.Attempts...)
		m.Summary = &h
	}
	if m.Status != nil {
		w := *m.Status
		m.Status = &w
	}
	if m.LoadReport != nil {
		l := *m.LoadReport
		m.LoadReport = &l
	}
	m.Data = append([]byte(nil), m.Data...)
	return m
}

// read feeds b in pieces and returns what came of it.
func read(r *Reader, b []byte, piece func(left int) int) (got []message.Message, err error) {
	var m message.Message
	for first := true; first || len(b) > 0; first = false {
		n := min(len(b), max(piece(len(b)), 1))
		r.Feed(b[:n])
		b = b[n:]
		for {
			ok, fault := r.Next(&m)
			if fault != nil {
				err = fault
			}
			if !ok {
				break
			}
			got = append(got, own(m))
		}
	}
	return got, err
}

func same(a, b []message.Message) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if x, y := own(a[i]), own(b[i]); !reflect.DeepEqual(x, y) {
			return false
		}
	}
	return true
}

// What is written is what is read, in any batches and any pieces; after a change on the way, nothing is believed that
// comes after it, and nothing that was not written.
func FuzzFrames(f *testing.F) { steps.Fuzz(f, runFrames) }

func runFrames(s *steps.Steps) {
	var w Writer
	var wire []byte
	var sent []message.Message
	for s.More() {
		if s.Pick(4) == 0 {
			wire = w.Take(wire)
			s.Check(w.Len() == 0, "%d bytes left after Take", w.Len())
			continue
		}
		m := random(s, kinds[s.Pick(len(kinds))])
		s.Check(w.Add(&m) == nil, "not written: %+v", m)
		sent = append(sent, m)
	}
	wire = w.Take(wire)
	rng := rand.New(rand.NewPCG(uint64(len(wire)), 1))
	piece := func(left int) int { return 1 + rng.IntN(1+rng.IntN(max(left, 1))) }
	r := NewReader(0)
	got, err := read(r, wire, piece)
	s.Check(err == nil && same(got, sent), "%d of %d came, %v", len(got), len(sent), err)
	s.Check(cap(r.buffer) <= 4*maxReusedCapacity, "%d bytes held", cap(r.buffer))
	if len(wire) == 0 {
		return
	}
	for range 8 { // what is changed: some bits, or bytes lost, or put in
		bad := bytes.Clone(wire)
		switch at := rng.IntN(len(bad)); rng.IntN(3) {
		case 0:
			bad[at] ^= byte(1 + rng.IntN(255))
		case 1:
			bad = append(bad[:at], bad[min(len(bad), at+1+rng.IntN(9)):]...)
		case 2:
			bad = append(bad[:at:at], append([]byte{byte(rng.Uint32())}, bad[at:]...)...)
		}
		got, err := read(NewReader(0), bad, piece)
		s.Check(len(got) <= len(sent) && same(got, sent[:len(got)]), "believed, after %v", err)
		s.Check(err != nil || len(got) < len(sent) || bytes.Equal(bad[:len(wire)], wire), "a change was not seen")
	}
}

// Whatever comes, a reader says so once and for all, holds no more than its limit, and does not depend on the pieces.
func FuzzReader(f *testing.F) {
	var w Writer
	for seed, kind := range kinds {
		m := random(pick{rand.New(rand.NewPCG(uint64(seed), 3))}, kind)
		if err := w.Add(&m); err != nil {
			f.Fatal(err)
		}
		f.Add(w.Take(nil), false)
		f.Add(append([]byte{byte(kind), 0}, bytes.Repeat([]byte{byte(seed)}, 40)...), true)
	}
	const limit = 1 << 16
	f.Fuzz(func(t *testing.T, b []byte, body bool) {
		if body { // so that the fuzzer gets past the checksum
			f := append(make([]byte, headerSize), byte(min(len(b), 127)))
			f = append(f, b[:min(len(b), 127)]...)
			sealFrame(f, Major, Minor)
			b = f
		}
		r := NewReader(limit)
		got, err := read(r, b, func(left int) int { return left })
		again, err2 := read(NewReader(limit), b, func(int) int { return 1 })
		if !errors.Is(err2, err) && err2.Error() != err.Error() || len(got) != len(again) {
			t.Fatalf("%d messages and %v; byte by byte %d and %v", len(got), err, len(again), err2)
		}
		if _, err3 := read(r, []byte("more"), func(int) int { return 4 }); err != nil && err3 != err {
			t.Fatalf("after %v: %v", err, err3)
		}
		var w Writer
		for i := range got {
			if err := w.Add(&got[i]); err != nil {
				t.Fatalf("%+v was read and can't be written: %v", got[i], err)
			}
		}
	})
}

type pick struct{ *rand.Rand }

func (p pick) Pick(n int) int { return p.IntN(n) }

// The bytes of each kind, and of a frame, are those of the golden file: other builds read them.
func TestGoldenBytes(t *testing.T) {
	out := &strings.Builder{}
	for _, m := range samples() {
		var w Writer
		if err := w.Add(&m); err != nil {
			t.Fatal(err)
		}
		b := w.Take(nil)
		fmt.Fprintf(out, "%s\n  %s %s\n", describe(m), hex.EncodeToString(b[:headerSize]),
			hex.EncodeToString(b[headerSize:]))
		got, err := read(NewReader(0), b, func(int) int { return 5 })
		if err != nil || !same(got, []message.Message{m}) {
			t.Errorf("%+v came as %+v, %v", m, got, err)
		}
	}
	var w Writer
	for _, m := range samples() {
		if err := w.Add(&m); err != nil {
			t.Fatal(err)
		}
	}
	fmt.Fprintf(out, "all in one frame\n  %s\n", hex.EncodeToString(w.Take(nil)))
	golden(t, "messages.golden", out.String())
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s is not what was written:\n%s", path, got)
	}
}

func describe(m message.Message) string {
	parts := []string{}
	v := reflect.ValueOf(m)
	for i := range v.NumField() {
		f := v.Field(i)
		switch {
		case f.IsZero():
			continue
		case f.Kind() == reflect.Pointer:
			f = f.Elem()
		}
		parts = append(parts, fmt.Sprintf("%s %+v", v.Type().Field(i).Name, f.Interface()))
	}
	return strings.Join(parts, ", ")
}

func samples() []message.Message {
	const epoch = 1718000000000000001
	return []message.Message{
		{Kind: message.KindHandshake, Epoch: epoch, Name: "f-3", Incarnation: 1718000000000000000, Version: Version},
		{Kind: message.KindRequestOffer, Epoch: epoch, RequestID: 1000, Summary: &message.RequestSummary{Class: 2, Tenant: 1, Key: 0x0123456789abcdef,
			Remaining: 4 * time.Second, Waited: 3 * time.Millisecond, Hint: 120 * time.Millisecond, Slots: 1}},
		{Kind: message.KindRequestOffer, Epoch: epoch, RequestID: 1001, Summary: &message.RequestSummary{Remaining: time.Second, Slots: 2, Memory: 1.5,
			Retry:     true,
			Transfers: 1, Attempts: []message.PastAttempt{{WorkerID: 77, SentAgo: 20 * time.Millisecond, StartedAgo: 5 * time.Millisecond,
				Ended:  true,
				Result: dispatch.ConnectionReset, PossiblyExecuted: true}, {WorkerID: 78, SentAgo: time.Millisecond}}}},
		{Kind: message.KindAttemptEnded, Epoch: epoch, RequestID: 1000, Attempt: 0},
		{Kind: message.KindAttemptEnded, Epoch: epoch, RequestID: 1000, Attempt: 1, Result: dispatch.NotSent, Reason: message.ReasonWorkerDraining},
		{Kind: message.KindAttemptStarted, Epoch: epoch, RequestID: 1000, Attempt: 1},
		{Kind: message.KindAttemptProgress, Epoch: epoch, RequestID: 1000, Attempt: 1, Fraction: 0.25},
		{Kind: message.KindRequestClosed, Epoch: epoch, RequestID: 1000},
		{Kind: message.KindHealthCheckResult, Epoch: epoch, WorkerID: 0xfedcba9876543210, Result: dispatch.WorkerFull},
		{Kind: message.KindHeartbeat, Epoch: epoch, Sequence: 12},
		{Kind: message.KindHandshakeAccept, Epoch: epoch, Name: "p-1", Incarnation: 1717999999000000000, Version: Version, Credit: 512},
		{Kind: message.KindCreditUpdate, Epoch: epoch, Credit: 300},
		{Kind: message.KindSendCommand, Epoch: epoch, RequestID: 1000, WorkerID: 0xfedcba9876543210, Attempt: 1,
			Timeout: 80 * time.Millisecond},
		{Kind: message.KindRejectCommand, Epoch: epoch, RequestID: 1000, RetryAfter: 250 * time.Millisecond},
		{Kind: message.KindFailCommand, Epoch: epoch, RequestID: 1000},
		{Kind: message.KindCancelCommand, Epoch: epoch, RequestID: 1000, Attempt: 2},
		{Kind: message.KindHealthCheckCommand, Epoch: epoch, WorkerID: 1},
		{Kind: message.KindCloseIdleCommand, Epoch: epoch, WorkerID: 1},
		{Kind: message.KindTransferCommand, Epoch: epoch, RequestID: 1000, Name: "p-2"},
		{Kind: message.KindTransferCommand, Epoch: epoch, RequestID: 1000},
		{Kind: message.KindHeartbeatReply, Epoch: epoch, Sequence: 12, TimerLag: 80 * time.Millisecond},
		{Kind: message.KindModelSnapshot, Epoch: epoch, Age: time.Second, Data: []byte("what it knows")},
		{Kind: message.KindGoodbye, Epoch: epoch},
		{Kind: message.KindWorkerStatus, Epoch: epoch, Status: &message.WorkerStatus{WorkerID: 5, StartedMs: 1718000000000, Revision: 41,
			State: message.WorkerDraining}},
		{Kind: message.KindPeerHandshake, Epoch: epoch, Name: "p-2", Incarnation: 1717999999000000000, Version: Version},
		{Kind: message.KindLoadReport, Epoch: epoch, LoadReport: &message.LoadReport{OpenRequests: 90, QueuedRequests: 4, Forwarders: 10, TimerLag: time.Millisecond,
			UsedSlots: 86, FreeSlots: 20.5}},
	}
}

// foreign writes a frame of another version: message bodies as they are.
func foreign(major, minor byte, bodies ...[]byte) []byte {
	f := make([]byte, headerSize)
	for _, b := range bodies {
		f = append(append(f, byte(len(b))), b...)
	}
	sealFrame(f, major, minor)
	return f
}

// plain is a message as this version writes it, without its length.
func plain(t *testing.T, m message.Message) []byte {
	var w Writer
	if err := w.Add(&m); err != nil {
		t.Fatal(err)
	}
	return w.Take(nil)[headerSize+1:]
}

// Versions work together or refuse each other plainly: each case is a stream of another version's bytes, and what
// comes of it.
func TestOtherVersions(t *testing.T) {
	hello := plain(t, samples()[0])
	over := plain(t, message.Message{Kind: message.KindRequestClosed, RequestID: 9})
	longer := append(plain(t, message.Message{Kind: message.KindSendCommand, RequestID: 9, Attempt: 1, WorkerID: 7, Timeout: 5}), 1, 2, 3)
	kind, past := []byte{30, 0, 1, 2, 3}, plain(t, message.Message{Kind: message.KindRequestOffer, RequestID: 9, Summary: &message.RequestSummary{
		Attempts: []message.PastAttempt{{WorkerID: 1, StartedAgo: 3}}}})
	past[len(past)-12]++ // its attempt has a field more
	past = append(past, 42)
	out := &strings.Builder{}
	for _, c := range []struct {
		what string
		b    []byte
	}{
		{"a later minor version: a kind and a field that are not known", foreign(Major, Minor+1, kind, longer, over)},
		{"the same from this version", foreign(Major, Minor, over, kind, over)},
		{"and", foreign(Major, Minor, longer)},
		{"a later minor version: a field more of an attempt", foreign(Major, Minor+1, past)},
		{"an older one: fields that it does not know are zero", foreign(Major, 0,
			plain(t, message.Message{Kind: message.KindSendCommand, RequestID: 9}))},
		{"a later major version says hello", foreign(Major+1, 3, append(hello, 9, 9), append(hello, 9, 9))},
		{"and something else", append(foreign(Major+1, 3, hello), foreign(Major+1, 3, []byte{2, 0, 1}, hello)...)},
		{"an earlier major version", foreign(0, 9, over)},
		{"another protocol", []byte("GET / HTTP/1.1\r\n")},
		{"a message of no length", foreign(Major, Minor, nil)},
	} {
		got, err := read(NewReader(0), c.b, func(int) int { return 3 })
		fmt.Fprintf(out, "%s\n  %s\n", c.what, hex.EncodeToString(c.b))
		for _, m := range got {
			fmt.Fprintf(out, "  %s\n", describe(m))
		}
		fmt.Fprintf(out, "  error: %v\n", err)
	}
	golden(t, "versions.golden", out.String())
}

func TestBounds(t *testing.T) {
	var w Writer
	for _, c := range []struct {
		m    message.Message
		want error
	}{
		{message.Message{}, ErrUnknownKind},
		{message.Message{Kind: message.KindRequestOffer}, ErrInvalidField},
		{message.Message{Kind: message.KindWorkerStatus}, ErrInvalidField},
		{message.Message{Kind: message.KindLoadReport}, ErrInvalidField},
		{message.Message{Kind: message.KindTransferCommand, Name: strings.Repeat("x", 256)}, ErrInvalidField},
		{message.Message{Kind: message.KindAttemptEnded, Result: 256}, ErrInvalidField},
		{message.Message{Kind: message.KindCancelCommand, Attempt: math.MaxInt32 + 1}, ErrInvalidField},
		{message.Message{Kind: message.KindRequestOffer, Summary: &message.RequestSummary{Attempts: make([]message.PastAttempt, 256)}}, ErrInvalidField},
		{message.Message{Kind: message.KindModelSnapshot, Data: make([]byte, MaxPayloadSize)}, ErrTooLarge},
	} {
		if err := w.Add(&c.m); err != c.want || w.Len() > 0 {
			t.Errorf("%v: %v, expected %v; %d bytes", describe(c.m), err, c.want, w.Len())
		}
	}
	long := message.Message{Kind: message.KindModelSnapshot, Data: make([]byte, MaxPayloadSize-1000)}
	if err := w.Add(&long); err != nil {
		t.Fatal(err)
	}
	wire := w.Take(nil)
	if cap(w.buffer)+cap(w.body) > 2*maxReusedCapacity {
		t.Error("a writer keeps what it needed once")
	}
	r := NewReader(0)
	if got, err := read(r, wire, func(int) int { return 1 << 16 }); err != nil || !same(got, []message.Message{long}) {
		t.Errorf("%d messages, %v", len(got), err)
	}
	if r.Feed([]byte{magic0}); cap(r.buffer) > maxReusedCapacity {
		t.Error("a reader keeps what it needed once")
	}
	if _, err := read(NewReader(1<<16), wire, func(int) int { return 100 }); err != ErrTooLarge {
		t.Errorf("over the limit: %v", err)
	}
	// Many small messages are many frames, none of which has to be long.
	for i := range 20000 {
		if err := w.Add(&message.Message{Kind: message.KindSendCommand, RequestID: uint64(i), WorkerID: 1}); err != nil {
			t.Fatal(err)
		}
	}
	got, err := read(NewReader(batchSize), w.Take(nil), func(int) int { return 4096 })
	if len(got) != 20000 || err != nil || got[19999].RequestID != 19999 {
		t.Errorf("%d came, %v", len(got), err)
	}
}

// In a steady state nothing is allocated.
func TestNothingIsAllocated(t *testing.T) {
	var w Writer
	r, all, wire, m := NewReader(0), samples(), []byte(nil), message.Message{}
	turn := func() {
		for i := range all {
			if err := w.Add(&all[i]); err != nil {
				t.Fatal(err)
			}
		}
		wire = w.Take(wire[:0])
		r.Feed(wire)
		for {
			if ok, err := r.Next(&m); err != nil || !ok {
				break
			}
		}
	}
	turn()
	if n := testing.AllocsPerRun(100, turn); n > 0 {
		t.Errorf("%v allocations in a turn of %d messages", n, len(all))
	}
}

func BenchmarkFrames(b *testing.B) {
	for _, i := range []int{1, 12, 4} { // Head, Send, Ended
		m := samples()[i]
		b.Run(m.Kind.String(), func(b *testing.B) {
			var w Writer
			r, wire, got := NewReader(0), []byte(nil), message.Message{}
			const turn = 50
			b.ReportAllocs()
			for b.Loop() {
				for range turn {
					if err := w.Add(&m); err != nil {
						b.Fatal(err)
					}
				}
				wire = w.Take(wire[:0])
				r.Feed(wire)
				for range turn {
					if ok, err := r.Next(&got); err != nil || !ok {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*turn), "ns/msg")
			b.ReportMetric(float64(len(wire))/turn, "bytes/msg")
		})
	}
}
