package hotrestart

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"valvecove/internal/modeltest"
)

func encode(tb testing.TB, message Message) []byte {
	tb.Helper()
	encoded, err := AppendMessage(nil, message)
	if err != nil {
		tb.Fatal(err)
	}
	return encoded
}

// Each proper prefix of a valid frame is reported as incomplete. No input makes the reader or the decoder panic, or consume more
// bytes than there are.
func FuzzReadFrame(f *testing.F) {
	var all []byte
	for _, message := range []Message{
		Handshake{Version: ProtocolVersion},
		Accept{Version: ProtocolVersion, CordonedWorkers: []string{"s-0"}},
		SetCordon{1, "s-0", true},
		TransferBegin{},
		SnapshotChunk{0, 1, 2},
		ClientConnection{
			Input:         []byte("GET"),
			ResponseSlots: []ResponseSlot{{RequestID: 3, KeepAlive: true}},
			LastActivity:  time.Second,
		},
		TransferEnd{7},
	} {
		encoded := encode(f, message)
		f.Add(encoded)
		all = append(all, encoded...)
	}
	f.Add(all)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 0})
	f.Add([]byte{0, 0, 0, 0, byte(KindHandshake), 1})
	f.Fuzz(func(t *testing.T, buffer []byte) {
		whole, size, err := ReadFrame(buffer)
		if err != nil {
			return
		}
		if size > len(buffer) || size < headerSize || (whole.DescriptorCount == 1) != whole.Kind.CarriesDescriptor() {
			t.Fatalf("consumed %d of %d bytes, %v", size, len(buffer), whole)
		}
		for i := range size {
			if _, _, short := ReadFrame(buffer[:i]); !errors.Is(short, ErrIncomplete) {
				t.Fatalf("%d of %d bytes of a frame: %v, expected ErrIncomplete", i, size, short)
			}
		}
		if again, k, err := ReadFrame(buffer[:size]); err != nil || k != size || !bytes.Equal(again.Body, whole.Body) {
			t.Fatalf("bytes after the frame changed it")
		}
		if message, err := whole.Message(); err == nil && message.Kind() != whole.Kind {
			t.Fatalf("%v decoded as %v", whole.Kind, message.Kind())
		}
	})
}

func TestReadFrameRejectsInvalidHeader(t *testing.T) {
	for name, header := range map[string][]byte{
		"body too large":     {0, 0x10, 0, 1, byte(KindHandshake), 0},
		"kind 0":             {0, 0, 0, 0, 0, 0},
		"kind after the end": {0, 0, 0, 0, byte(kindLimit), 0},
		"descriptor missing": {0, 0, 0, 0, byte(KindAccept), 0},
		"descriptor extra":   {0, 0, 0, 0, byte(KindReject), 1},
		"two descriptors":    {0, 0, 0, 0, byte(KindAccept), 2},
	} {
		var broken *FrameError
		if _, _, err := ReadFrame(header); !errors.As(err, &broken) {
			t.Errorf("%s: %v, expected a FrameError", name, err)
		}
	}
}

func TestAppendMessageRejectsLargeBody(t *testing.T) {
	buffer := []byte("before")
	var tooLarge *FrameError
	got, err := AppendMessage(buffer, SnapshotChunk(make([]byte, MaxBodySize+1)))
	if !errors.As(err, &tooLarge) || tooLarge.Kind != KindSnapshotChunk || !bytes.Equal(got, buffer) {
		t.Errorf("%d bytes, %v, expected the unchanged buffer and a FrameError", len(got), err)
	}
	if _, err := AppendMessage(nil, SnapshotChunk(make([]byte, MaxBodySize))); err != nil {
		t.Error(err)
	}
}

// A Reject is valid even if its body can't be decoded; an Accept is not.
func TestFrameMessageRejectWithoutReason(t *testing.T) {
	frame := Frame{Kind: KindReject, Body: []byte("{")}
	if message, err := frame.Message(); err != nil || message.Kind() != KindReject {
		t.Errorf("a Reject with an invalid body: %v, %v", message, err)
	}
	if message, err := (Frame{Kind: KindAccept, Body: []byte("{")}).Message(); err == nil {
		t.Errorf("an Accept with an invalid body was decoded: %v", message)
	}
}

func TestFrameKindString(t *testing.T) {
	seen := map[string]bool{}
	for kind := KindHandshake; kind < kindLimit; kind++ {
		if kind.String() == "" || seen[kind.String()] {
			t.Errorf("kind %d has the name %q", byte(kind), kind)
		}
		seen[kind.String()] = true
	}
	if got := kindLimit.String(); got != "kind 16" {
		t.Errorf("an unknown kind has the name %q", got)
	}
}

// pickMessage returns a message of any kind, mostly one that a predecessor sends in a hot restart. The number of frames in a
// TransferEnd is sometimes wrong.
func pickMessage(choices *modeltest.Steps, framesSent int) Message {
	kind := FrameKind(1 + choices.Pick(int(kindLimit)-1))
	if choices.Pick(3) > 0 {
		kind = [...]FrameKind{KindAccept, KindTransferBegin, KindSnapshotChunk, KindOpenRequest, KindTransferEnd}[choices.Pick(5)]
	}
	if choices.Pick(4) == 0 {
		framesSent++
	}
	return newMessage(kind, framesSent)
}

func newMessage(kind FrameKind, frameCount int) Message {
	switch kind {
	case KindHandshake:
		return Handshake{Version: ProtocolVersion}
	case KindAccept:
		return Accept{Version: ProtocolVersion}
	case KindTransferEnd:
		return TransferEnd{frameCount}
	case KindSnapshotChunk:
		return SnapshotChunk{1}
	}
	message, err := Frame{Kind: kind, Body: []byte("{}")}.Message()
	if err != nil {
		panic(err)
	}
	return message
}

// A message of any size is read as it was written, and no frame of it is over MaxBodySize. Each proper prefix of it is incomplete.
func TestMessageInParts(t *testing.T) {
	for _, size := range []int{0, 1, MaxBodySize, MaxBodySize + 1, 2 * MaxBodySize, 3*MaxBodySize + 1} {
		sent := make(SnapshotChunk, size)
		for i := range sent {
			sent[i] = byte(i * i >> 8)
		}
		encoded, err := AppendMessageInParts([]byte("before"), sent)
		if err != nil {
			t.Fatal(err)
		}
		encoded = encoded[len("before"):]
		for _, length := range []int{0, headerSize - 1, len(encoded) / 2, len(encoded) - 1} {
			if _, _, err := ReadMessageFrame(encoded[:length]); !errors.Is(err, ErrIncomplete) {
				t.Errorf("%d of %d bytes: %v, expected ErrIncomplete", length, len(encoded), err)
			}
		}
		frame, read, err := ReadMessageFrame(append(encoded, encode(t, TakenOver{})...))
		if err != nil || read != len(encoded) || frame.Kind != KindSnapshotChunk || !bytes.Equal(frame.Body, sent) {
			t.Errorf("%d bytes: %v of %d bytes in %d of %d, %v", size, frame.Kind, len(frame.Body), read, len(encoded), err)
		}
		if size <= MaxBodySize && !bytes.Equal(encoded, encode(t, sent)) {
			t.Errorf("a message of %d bytes, which fits into one frame, is encoded in another form", size)
		}
	}
}

// A message over MaxMessageSize is neither sent nor received.
func TestMessageSizeIsLimited(t *testing.T) {
	buffer := []byte("before")
	var tooLarge *FrameError
	got, err := AppendMessageInParts(buffer, SnapshotChunk(make([]byte, MaxMessageSize+1)))
	if !errors.As(err, &tooLarge) || tooLarge.Kind != KindSnapshotChunk || !bytes.Equal(got, buffer) {
		t.Errorf("%d bytes, %v, expected the unchanged buffer and a FrameError", len(got), err)
	}
	var received []byte
	part := make([]byte, MaxBodySize)
	for range MaxMessageSize/MaxBodySize + 1 {
		if received, err = appendFrame(received, KindBodyPart, part); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := ReadMessageFrame(received); !errors.As(err, &tooLarge) {
		t.Errorf("parts of %d bytes: %v, expected a FrameError", len(received), err)
	}
}
