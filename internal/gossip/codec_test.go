package gossip

import (
	"bytes"
	"errors"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/storedform"
)

// encode returns a datagram with the given header and messages.
func encode(h header, messages ...dispatch.PeerMessage) []byte {
	datagram := appendHeader(nil, h)
	for _, message := range messages {
		datagram = appendMessage(datagram, message)
	}
	seal(datagram)
	return datagram
}

func decode(datagram []byte) (header, []dispatch.PeerMessage, error) {
	h, encoded, err := parseHeader(datagram)
	if err != nil {
		return h, nil, err
	}
	messages, err := parseMessages(encoded)
	return h, messages, err
}

// The encoding of each message matches the golden files, so that builds with the same version of the format understand each
// other.
func TestGoldenDatagrams(t *testing.T) {
	h := header{incarnation: 0x01020304, sequence: 0x0506}
	for name, message := range sampleMessages() {
		t.Run(name, func(t *testing.T) {
			storedform.CheckGolden(t, name+"-1.bin", encode(h, message))
			readHeader, messages, err := decode(storedform.Golden(t, name+"-1.bin"))
			if err != nil || readHeader != h || !reflect.DeepEqual(messages, []dispatch.PeerMessage{message}) {
				t.Errorf("decoded the golden file as %+v, %+v, error %v; want %+v, %+v", readHeader, messages, err, h, message)
			}
		})
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		h := header{incarnation: rng.Uint32(), sequence: uint16(rng.Uint32())}
		sent := []dispatch.PeerMessage{drawMessage(rng), drawMessage(rng)}
		readHeader, received, err := decode(encode(h, sent[0]))
		if err != nil || readHeader != h || !reflect.DeepEqual(received, sent[:1]) {
			t.Fatalf("encoded %+v %+v, decoded %+v %+v, error %v", h, sent[0], readHeader, received, err)
		}
		if both := encode(h, sent...); len(both) <= MaxDatagram {
			if _, received, err = decode(both); err != nil || !reflect.DeepEqual(received, sent) {
				t.Fatalf("encoded %+v, decoded %+v, error %v", sent, received, err)
			}
		}
	}
}

// The largest message of each kind fits into a datagram, and is decoded without change.
func TestLargestMessagesFit(t *testing.T) {
	for _, message := range largestMessages() {
		datagram := encode(header{math.MaxUint32, math.MaxUint16}, message)
		if len(datagram) > MaxDatagram {
			t.Errorf("a datagram with a %T takes %d bytes, want at most %d", message, len(datagram), MaxDatagram)
		}
		if _, messages, err := decode(datagram); err != nil || !reflect.DeepEqual(messages, []dispatch.PeerMessage{message}) {
			t.Errorf("encoded %+v, decoded %+v, error %v", message, messages, err)
		}
	}
}

// A value outside of the range of its encoding is limited to that range, so that the datagram stays valid.
func TestValuesOutOfRangeAreLimited(t *testing.T) {
	for _, test := range []struct{ sent, want dispatch.PeerMessage }{
		{
			dispatch.LeaseRequest{
				Shard: dispatch.Shard{Zone: math.MinInt, Number: -1}, Class: math.MaxInt, Demand: math.NaN(), Work: math.Inf(1),
				LongProbability: math.NaN(), PromoteIn: math.MaxInt64, Excluded: []uint64{1, 2, 3, 4, 5},
			},
			dispatch.LeaseRequest{
				Class: maxIndex, Work: maxWork, PromoteIn: math.MaxInt32 * time.Millisecond, Excluded: []uint64{1, 2, 3, 4},
			},
		},
		{
			dispatch.LeaseRequest{Demand: -1, Work: 0.0001, LongProbability: 2},
			dispatch.LeaseRequest{Work: 1.0 / workParts, LongProbability: 1},
		},
		{dispatch.LeaseGranted{FreeSlots: math.MaxInt}, dispatch.LeaseGranted{FreeSlots: math.MaxInt32}},
		{dispatch.LeaseQueued{FreeSlots: math.MinInt}, dispatch.LeaseQueued{FreeSlots: math.MinInt32}},
	} {
		if _, got, err := decode(encode(header{}, test.sent)); err != nil || !reflect.DeepEqual(got[0], test.want) {
			t.Errorf("encoded %+v, decoded %+v, error %v, want %+v", test.sent, got, err, test.want)
		}
	}
}

// A datagram that is truncated or has a changed byte is dropped as a whole.
func TestCorruptedDatagramsAreDropped(t *testing.T) {
	whole := encode(header{7, 8}, dispatch.LeaseStarted{ID: 5, Prompt: true}, dispatch.LeaseQueued{ID: 6})
	for size := range whole {
		if _, _, err := decode(whole[:size]); err == nil {
			t.Errorf("a datagram truncated to %d of %d bytes was accepted", size, len(whole))
		}
		changed := bytes.Clone(whole)
		changed[size] ^= 0x10
		if _, _, err := decode(changed); err == nil {
			t.Errorf("a datagram with a change of byte %d was accepted", size)
		}
	}
}

func TestMalformedDatagrams(t *testing.T) {
	sealed := func(content ...byte) []byte {
		datagram := append(appendHeader(nil, header{}), content...)
		seal(datagram)
		return datagram
	}
	newer := sealed()
	newer[0] = version + 1
	var held []byte // one lease more than a report may contain
	for range dispatch.MaxReported + 1 {
		held = append(held, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0)
	}
	for name, test := range map[string]struct {
		datagram []byte
		want     error
	}{
		"empty":                       {nil, ErrMalformed},
		"unknown version":             {newer, ErrVersion},
		"too long":                    {make([]byte, MaxDatagram+1), ErrTooLong},
		"unknown kind":                {sealed(0), ErrMalformed},
		"kind after the last":         {sealed(byte(kindLeaseQueued) + 1), ErrMalformed},
		"kind without fields":         {sealed(byte(kindLeaseStarted)), ErrMalformed},
		"bool of 2":                   {sealed(byte(kindLeaseStarted), 1, 2), ErrMalformed},
		"unknown result":              {sealed(byte(kindLeaseReleased), 1, byte(dispatch.NotSent)+1), ErrMalformed},
		"lease ID of 33 bits":         {sealed(byte(kindLeaseStarted), 0xff, 0xff, 0xff, 0xff, 0x1f, 1), ErrMalformed},
		"varint too long":             {sealed(byte(kindLeaseQueued), 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80), ErrMalformed},
		"too many leases":             {sealed(append([]byte{byte(kindLeaseReport), 1, dispatch.MaxReported + 1}, held...)...), ErrMalformed},
		"fewer leases than announced": {sealed(byte(kindLeaseReport), 1, 2, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0), ErrMalformed},
		"malformed last message":      {sealed(byte(kindLeaseStarted), 1, 1, 0), ErrMalformed},
		"demand over limit":           {sealed(byte(kindLeaseReport), 1, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f, 0), ErrMalformed},
		"free slots over limit":       {sealed(byte(kindLeaseQueued), 1, 0xff, 0xff, 0xff, 0xff, 0x7f), ErrMalformed},
		"too many excluded workers":   {sealed(byte(kindLeaseRequest), 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, dispatch.MaxExcluded+1), ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			if _, messages, err := decode(test.datagram); !errors.Is(err, test.want) || messages != nil {
				t.Errorf("decoded %+v, error %v, want error %v", messages, err, test.want)
			}
		})
	}
}

// Malformed content yields no messages. Valid content yields messages that are decoded without change once encoded again.
func FuzzParse(f *testing.F) {
	for _, message := range sampleMessages() {
		f.Add(appendMessage(nil, message))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		messages, err := parseMessages(content)
		if err != nil {
			if messages != nil {
				t.Fatalf("decoded %+v with the error %v", messages, err)
			}
			return
		}
		var encoded []byte
		for _, message := range messages {
			encoded = appendMessage(encoded, message)
		}
		again, err := parseMessages(encoded)
		if err != nil || !reflect.DeepEqual(again, messages) || len(encoded) > len(content) {
			t.Fatalf("%+v is encoded as %x and decoded as %+v, error %v", messages, encoded, again, err)
		}
	})
}
