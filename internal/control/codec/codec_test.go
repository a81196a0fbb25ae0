package codec

import (
	"bytes"
	"errors"
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/modeltest"
)

// allKinds lists all kinds of messages in this version.
var allKinds = []message.Kind{
	message.KindHandshake, message.KindRequestOffer, message.KindAttemptEnded, message.KindAttemptStarted,
	message.KindAttemptProgress, message.KindRequestClosed, message.KindHealthCheckResult, message.KindHeartbeat,
	message.KindHandshakeAccept, message.KindCreditUpdate, message.KindSendCommand, message.KindRejectCommand,
	message.KindFailCommand, message.KindCancelCommand, message.KindHealthCheckCommand, message.KindCloseIdleCommand,
	message.KindTransferCommand, message.KindHeartbeatReply, message.KindModelSnapshot, message.KindGoodbye,
	message.KindWorkerStatus, message.KindPeerHandshake, message.KindLoadReport,
}

// source provides the random choices for random messages.
type source interface{ Pick(n int) int }

type randomSource struct{ *rand.Rand }

func (s randomSource) Pick(n int) int { return s.IntN(n) }

func randomUint(src source) uint64 {
	value := uint64(0)
	for range src.Pick(9) {
		value = value<<8 | uint64(src.Pick(256))
	}
	return value
}

func randomDuration(src source) time.Duration { return time.Duration(randomUint(src)) }

func randomFloat(src source) float64 {
	return []float64{0, 1, 2, 0.25, 1.0 / 3, math.Inf(1), math.MaxFloat64, -7}[src.Pick(8)]
}

func randomInt(src source) int {
	return []int{0, 1, 3, 200, -1, 70000, math.MaxInt32, math.MinInt32}[src.Pick(8)]
}

func randomName(src source) string {
	return strings.Repeat("p", src.Pick(3)) + []string{"", "0", "7"}[src.Pick(3)]
}

func randomResult(src source) dispatch.Result { return dispatch.Result(src.Pick(9)) }

// randomEnvelope returns a message of a kind with random fields.
func randomEnvelope(src source, kind message.Kind) message.Envelope {
	return message.Envelope{Epoch: message.Epoch(randomUint(src)), Message: randomMessage(src, kind)}
}

func randomMessage(src source, kind message.Kind) message.Message {
	switch {
	case kind >= message.KindWorkerStatus:
		return randomShared(src, kind)
	case kind >= message.KindHandshakeAccept:
		return randomFromPlanner(src, kind)
	}
	return randomFromForwarder(src, kind)
}

func randomFromForwarder(src source, kind message.Kind) message.Message {
	switch kind {
	case message.KindHandshake:
		return &message.Handshake{Name: randomName(src), Incarnation: randomUint(src), Version: randomInt(src)}
	case message.KindRequestOffer:
		return &message.RequestOffer{RequestID: randomUint(src), Summary: randomSummary(src)}
	case message.KindAttemptEnded:
		return &message.AttemptEnded{
			RequestID: randomUint(src), Attempt: randomInt(src), Result: randomResult(src),
			Reason: message.RejectReason(src.Pick(int(message.ReasonCount) + 1)),
		}
	case message.KindAttemptStarted:
		return &message.AttemptStarted{RequestID: randomUint(src), Attempt: randomInt(src)}
	case message.KindAttemptProgress:
		return &message.AttemptProgress{RequestID: randomUint(src), Attempt: randomInt(src), Fraction: randomFloat(src)}
	case message.KindRequestClosed:
		return &message.RequestClosed{RequestID: randomUint(src)}
	case message.KindHealthCheckResult:
		return &message.HealthCheckResult{WorkerID: randomUint(src), Result: randomResult(src)}
	case message.KindHeartbeat:
		return &message.Heartbeat{Sequence: randomUint(src)}
	}
	return nil
}

func randomShared(src source, kind message.Kind) message.Message {
	switch kind {
	case message.KindWorkerStatus:
		return &message.WorkerStatus{
			WorkerID: randomUint(src), StartedMs: int64(randomUint(src)), Revision: int64(randomUint(src)),
			State: message.WorkerState(src.Pick(4)),
		}
	case message.KindPeerHandshake:
		return &message.PeerHandshake{Name: randomName(src), Incarnation: randomUint(src), Version: randomInt(src)}
	case message.KindLoadReport:
		return &message.LoadReport{
			OpenRequests: randomInt(src), QueuedRequests: randomInt(src), Forwarders: randomInt(src),
			TimerLag: randomDuration(src), UsedSlots: randomFloat(src), FreeSlots: randomFloat(src),
		}
	}
	return nil
}

func randomFromPlanner(src source, kind message.Kind) message.Message {
	switch kind {
	case message.KindHandshakeAccept:
		return &message.HandshakeAccept{
			Name: randomName(src), Incarnation: randomUint(src), Version: randomInt(src), Credit: randomInt(src),
		}
	case message.KindCreditUpdate:
		return &message.CreditUpdate{Credit: randomInt(src)}
	case message.KindHeartbeatReply:
		return &message.HeartbeatReply{Sequence: randomUint(src), TimerLag: randomDuration(src)}
	case message.KindModelSnapshot:
		return &message.ModelSnapshot{Age: randomDuration(src), Data: randomData(src)}
	case message.KindGoodbye:
		return &message.Goodbye{}
	}
	return randomCommand(src, kind)
}

func randomCommand(src source, kind message.Kind) message.Message {
	switch kind {
	case message.KindSendCommand:
		return &message.SendCommand{
			RequestID: randomUint(src), Attempt: randomInt(src), WorkerID: randomUint(src), Timeout: randomDuration(src),
		}
	case message.KindRejectCommand:
		return &message.RejectCommand{RequestID: randomUint(src), RetryAfter: randomDuration(src)}
	case message.KindFailCommand:
		return &message.FailCommand{RequestID: randomUint(src)}
	case message.KindCancelCommand:
		return &message.CancelCommand{RequestID: randomUint(src), Attempt: randomInt(src)}
	case message.KindHealthCheckCommand:
		return &message.HealthCheckCommand{WorkerID: randomUint(src)}
	case message.KindCloseIdleCommand:
		return &message.CloseIdleCommand{WorkerID: randomUint(src)}
	case message.KindTransferCommand:
		return &message.TransferCommand{RequestID: randomUint(src), Planner: randomName(src)}
	}
	return nil
}

func randomSummary(src source) message.RequestSummary {
	summary := message.RequestSummary{
		Class: randomInt(src), Tenant: randomInt(src), Key: randomUint(src), Remaining: randomDuration(src),
		Waited: randomDuration(src), Hint: randomDuration(src), Slots: randomFloat(src), Memory: randomFloat(src),
		Retry: src.Pick(2) == 0, Transfers: randomInt(src),
	}
	for range src.Pick(4) {
		summary.Attempts = append(summary.Attempts, message.PastAttempt{
			WorkerID: randomUint(src), SentAgo: randomDuration(src), StartedAgo: randomDuration(src),
			Ended: src.Pick(2) == 0, Result: randomResult(src), PossiblyExecuted: src.Pick(2) == 0,
		})
	}
	return summary
}

func randomData(src source) []byte {
	size := []int{0, 1, 300, 4000, 1 << 17}[src.Pick(5)]
	if size == 0 {
		return nil
	}
	return bytes.Repeat([]byte{byte(src.Pick(256))}, size)
}

// decodeAll feeds data in pieces and returns the decoded messages.
func decodeAll(r *Reader, data []byte, pieceSize func(remaining int) int) (decoded []message.Envelope, err error) {
	for first := true; first || len(data) > 0; first = false {
		size := min(len(data), max(pieceSize(len(data)), 1))
		r.Feed(data[:size])
		data = data[size:]
		for {
			envelope, ok, failure := r.Next()
			if failure != nil {
				err = failure
			}
			if !ok {
				break
			}
			decoded = append(decoded, envelope.Clone())
		}
	}
	return decoded, err
}

// wholeInput feeds all data at once.
func wholeInput(remaining int) int { return remaining }

func encode(tb testing.TB, envelopes ...message.Envelope) []byte {
	tb.Helper()
	var w Writer
	for _, envelope := range envelopes {
		if err := w.Add(envelope); err != nil {
			tb.Fatal(err)
		}
	}
	return w.Take(nil)
}

func equal(a, b []message.Envelope) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}

// A reader returns exactly the messages that were written, regardless of how they are batched into frames and split into pieces.
// If bytes are corrupted, the reader returns only messages that were written before the corruption.
func FuzzFrames(f *testing.F) { modeltest.Fuzz(f, runFrames) }

func runFrames(s *modeltest.Steps) {
	var w Writer
	var wire []byte
	var sent []message.Envelope
	for s.More() {
		if s.Pick(4) == 0 {
			wire = w.Take(wire)
			s.Check(w.Len() == 0, "Len is %d after Take, want 0", w.Len())
			continue
		}
		envelope := randomEnvelope(s, allKinds[s.Pick(len(allKinds))])
		s.Check(w.Add(envelope) == nil, "message can't be written: %v", describe(envelope))
		sent = append(sent, envelope)
	}
	wire = w.Take(wire)
	rng := rand.New(rand.NewPCG(uint64(len(wire)), 1))
	randomPiece := func(remaining int) int { return 1 + rng.IntN(1+rng.IntN(max(remaining, 1))) }
	r := NewReader(0)
	decoded, err := decodeAll(r, wire, randomPiece)
	s.Check(err == nil && equal(decoded, sent), "%d of %d messages received, or not the same ones; error %v", len(decoded), len(sent), err)
	s.Check(cap(r.buffer) <= 4*maxReusedCapacity, "%d bytes buffered", cap(r.buffer))
	if len(wire) == 0 {
		return
	}
	for range 8 {
		changed := corrupt(rng, wire)
		decoded, err := decodeAll(NewReader(0), changed, randomPiece)
		s.Check(len(decoded) <= len(sent) && equal(decoded, sent[:len(decoded)]), "a reader of corrupt bytes returned messages that were not written; error %v", err)
		s.Check(err != nil || len(decoded) < len(sent) || bytes.Equal(changed[:len(wire)], wire), "corrupt bytes were not detected")
	}
}

// corrupt returns a copy of wire with a changed byte, removed bytes, or an inserted byte.
func corrupt(rng *rand.Rand, wire []byte) []byte {
	changed := bytes.Clone(wire)
	at := rng.IntN(len(changed))
	switch rng.IntN(3) {
	case 0:
		changed[at] ^= byte(1 + rng.IntN(255))
	case 1:
		changed = append(changed[:at], changed[min(len(changed), at+1+rng.IntN(9)):]...)
	case 2:
		changed = append(changed[:at:at], append([]byte{byte(rng.Uint32())}, changed[at:]...)...)
	}
	return changed
}

// For arbitrary input, the reader's error is final, the result does not depend on how the input is split into pieces, and every
// decoded message can be encoded again.
func FuzzReader(f *testing.F) {
	for seed, kind := range allKinds {
		src := randomSource{rand.New(rand.NewPCG(uint64(seed), 3))}
		f.Add(encode(f, randomEnvelope(src, kind)), false)
		f.Add(append([]byte{byte(kind), 0}, bytes.Repeat([]byte{byte(seed)}, 40)...), true)
	}
	const limit = 1 << 16
	f.Fuzz(func(t *testing.T, data []byte, isBody bool) {
		if isBody { // wrap data in a valid frame, as the fuzzer can't find valid checksums by itself
			frame := append(make([]byte, headerSize), byte(min(len(data), 127)))
			frame = append(frame, data[:min(len(data), 127)]...)
			sealFrame(frame, Major, Minor)
			data = frame
		}
		r := NewReader(limit)
		decoded, err := decodeAll(r, data, wholeInput)
		again, errAgain := decodeAll(NewReader(limit), data, func(int) int { return 1 })
		if !errors.Is(errAgain, err) && errAgain.Error() != err.Error() || len(decoded) != len(again) {
			t.Fatalf("%d messages and error %v; fed byte by byte, %d messages and error %v", len(decoded), err, len(again), errAgain)
		}
		if _, errAfter := decodeAll(r, []byte("more"), wholeInput); err != nil && errAfter != err { //nolint:errorlint // the identical error
			t.Fatalf("the reader returns error %v, and later %v", err, errAfter)
		}
		var w Writer
		for _, envelope := range decoded {
			if err := w.Add(envelope); err != nil {
				t.Fatalf("%v was decoded but can't be encoded: %v", describe(envelope), err)
			}
		}
	})
}

// foreignMessage is a message of a type that this package does not know.
type foreignMessage struct {
	*message.Goodbye
	kind message.Kind
}

func (m foreignMessage) Kind() message.Kind { return m.kind }

func TestAddRejectsInvalidMessages(t *testing.T) {
	var w Writer
	for _, c := range []struct {
		message message.Message
		want    error
	}{
		{nil, ErrUnknownKind},
		{foreignMessage{kind: 0}, ErrUnknownKind},
		{foreignMessage{kind: 30}, ErrUnknownKind},
		{foreignMessage{kind: 255}, ErrUnknownKind},
		{foreignMessage{kind: message.KindGoodbye}, ErrUnknownKind},
		{(*message.RequestOffer)(nil), ErrUnknownKind},
		{(*message.WorkerStatus)(nil), ErrUnknownKind},
		{(*message.LoadReport)(nil), ErrUnknownKind},
		{&message.TransferCommand{Planner: strings.Repeat("x", 256)}, ErrInvalidField},
		{&message.AttemptEnded{Result: 256}, ErrInvalidField},
		{&message.CancelCommand{Attempt: math.MaxInt32 + 1}, ErrInvalidField},
		{
			&message.RequestOffer{Summary: message.RequestSummary{Attempts: make([]message.PastAttempt, 256)}},
			ErrInvalidField,
		},
		{&message.ModelSnapshot{Data: make([]byte, MaxPayloadSize)}, ErrTooLarge},
	} {
		if err := w.Add(message.Envelope{Message: c.message}); !errors.Is(err, c.want) || w.Len() > 0 {
			t.Errorf("%T: error %v, want %v; %d bytes written", c.message, err, c.want, w.Len())
		}
	}
}

func TestBuffersAreBounded(t *testing.T) {
	var w Writer
	large := message.Envelope{Message: &message.ModelSnapshot{Data: make([]byte, MaxPayloadSize-1000)}}
	if err := w.Add(large); err != nil {
		t.Fatal(err)
	}
	wire := w.Take(nil)
	if cap(w.buffer)+cap(w.body)+cap(w.fields.buffer) > 2*maxReusedCapacity {
		t.Error("the writer keeps a buffer larger than maxReusedCapacity")
	}
	r := NewReader(0)
	decoded, err := decodeAll(r, wire, func(int) int { return 1 << 16 })
	if err != nil || !equal(decoded, []message.Envelope{large}) {
		t.Errorf("%d messages decoded, error %v; want the one that was written", len(decoded), err)
	}
	if r.Feed([]byte{magic0}); cap(r.buffer) > maxReusedCapacity {
		t.Error("the reader keeps a buffer larger than maxReusedCapacity")
	}
	if _, err := decodeAll(NewReader(1<<16), wire, func(int) int { return 100 }); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a frame over the limit yields error %v, want ErrTooLarge", err)
	}
}

// Many small messages are split into frames of limited size.
func TestFramesAreSplit(t *testing.T) {
	const count = 20000
	var w Writer
	for i := range uint64(count) {
		if err := w.Add(message.Envelope{Message: &message.SendCommand{RequestID: i, WorkerID: 1}}); err != nil {
			t.Fatal(err)
		}
	}
	decoded, err := decodeAll(NewReader(batchSize), w.Take(nil), func(int) int { return 4096 })
	if len(decoded) != count || err != nil {
		t.Fatalf("%d messages received, want %d; error %v", len(decoded), count, err)
	}
	for i := range decoded {
		if id := decoded[i].Message.(*message.SendCommand).RequestID; id != uint64(i) {
			t.Fatalf("message %d has request ID %d", i, id)
		}
	}
}

// Once its buffers have grown, encoding and decoding allocate no memory.
func TestSteadyStateDoesNotAllocate(t *testing.T) {
	var w Writer
	var wire []byte
	r := NewReader(0)
	all := samples()
	iteration := func() {
		for _, envelope := range all {
			if err := w.Add(envelope); err != nil {
				t.Fatal(err)
			}
		}
		wire = w.Take(wire[:0])
		r.Feed(wire)
		decoded := 0
		for {
			_, ok, err := r.Next()
			if err != nil || !ok {
				break
			}
			decoded++
		}
		if decoded != len(all) {
			t.Fatalf("%d of %d messages received", decoded, len(all))
		}
	}
	iteration()
	if n := testing.AllocsPerRun(100, iteration); n > 0 {
		t.Errorf("%v allocations in an iteration of %d messages", n, len(all))
	}
}

func BenchmarkFrames(b *testing.B) {
	for _, i := range []int{1, 12, 4} { // indexes into samples: a request offer, a send command, the end of an attempt
		envelope := samples()[i]
		b.Run(envelope.Message.Kind().String(), func(b *testing.B) { benchmarkFrames(b, envelope) })
	}
}

// benchmarkFrames encodes and decodes batches of the same message, one frame each.
func benchmarkFrames(b *testing.B, envelope message.Envelope) {
	b.Helper()
	const batch = 50
	var w Writer
	var wire []byte
	r := NewReader(0)
	b.ReportAllocs()
	for b.Loop() {
		for range batch {
			if err := w.Add(envelope); err != nil {
				b.Fatal(err)
			}
		}
		wire = w.Take(wire[:0])
		r.Feed(wire)
		for range batch {
			if _, ok, err := r.Next(); err != nil || !ok {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/msg")
	b.ReportMetric(float64(len(wire))/batch, "bytes/msg")
}
