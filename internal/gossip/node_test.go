package gossip

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
)

const (
	sender   = 0
	receiver = 1
	peers    = 3
)

// process returns the node of the sender's process with an incarnation.
func process(incarnation uint32) *Node {
	return New(Config{Self: sender, Peers: peers, Incarnation: incarnation})
}

func newReceiver() *Node { return New(Config{Self: receiver, Peers: peers, Incarnation: 50}) }

// datagramOf returns the datagram of a node with messages to the receiver.
func datagramOf(t *testing.T, node *Node, messages ...dispatch.PeerMessage) []byte {
	t.Helper()
	for _, message := range messages {
		node.Queue(receiver, message)
	}
	datagrams := node.Flush()
	if len(datagrams) != 1 || datagrams[0].To != receiver {
		t.Fatalf("%d messages are sent as %+v", len(messages), datagrams)
	}
	return datagrams[0].Bytes
}

// numbered returns a message that is identified by a number.
func numbered(n int) dispatch.PeerMessage { return dispatch.LeaseQueued{ID: dispatch.LeaseID(n)} }

// expect checks the result of receiving a datagram of the sender.
func expect(t *testing.T, node *Node, now time.Duration, datagram []byte, wantErr error, want ...dispatch.PeerMessage) {
	t.Helper()
	messages, err := node.Receive(now, sender, datagram)
	if !errors.Is(err, wantErr) || !slices.EqualFunc(messages, want, func(a, b dispatch.PeerMessage) bool { return reflect.DeepEqual(a, b) }) {
		t.Errorf("received %+v, %v, expected %+v, %v", messages, err, want, wantErr)
	}
}

func TestMessagesToOnePeerShareDatagrams(t *testing.T) {
	node := process(1)
	var toFirst, toSecond []dispatch.PeerMessage
	for n := range 200 {
		toFirst = append(toFirst, numbered(n))
		node.Queue(receiver, numbered(n))
		if n%2 == 0 {
			toSecond = append(toSecond, numbered(n))
			node.Queue(2, numbered(n))
		}
	}
	received := map[int][]dispatch.PeerMessage{}
	datagrams := node.Flush()
	for _, datagram := range datagrams {
		if len(datagram.Bytes) > MaxDatagram {
			t.Errorf("%d bytes", len(datagram.Bytes))
		}
		messages, err := New(Config{Self: datagram.To, Peers: peers}).Receive(0, sender, datagram.Bytes)
		if err != nil {
			t.Error(err)
		}
		received[datagram.To] = append(received[datagram.To], messages...)
	}
	if !reflect.DeepEqual(received, map[int][]dispatch.PeerMessage{receiver: toFirst, 2: toSecond}) {
		t.Errorf("received %+v", received)
	}
	if len(datagrams) != 3+2 { // 672 bytes of messages to one peer, 336 to the other, 245 in a datagram
		t.Errorf("%d datagrams", len(datagrams))
	}
	if further := node.Flush(); further != nil {
		t.Errorf("sent once more: %+v", further)
	}
}

// In any sequence of messages, each is sent once, in order, in datagrams of the allowed length.
func TestBatchesOfAnyMessages(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	node, other := process(1), newReceiver()
	for range 500 {
		var sent, received []dispatch.PeerMessage
		for range rng.IntN(30) {
			message := drawMessage(rng)
			if rng.IntN(4) == 0 {
				message = largestMessages()[rng.IntN(6)]
			}
			sent = append(sent, message)
			node.Queue(receiver, message)
		}
		for _, datagram := range node.Flush() {
			messages, err := other.Receive(0, sender, datagram.Bytes)
			if err != nil {
				t.Fatalf("%d bytes: %v", len(datagram.Bytes), err)
			}
			received = append(received, messages...)
		}
		if !reflect.DeepEqual(received, sent) {
			t.Fatalf("sent %+v, received %+v", sent, received)
		}
	}
	if counters := node.Counters(); counters.Overflowed > 0 {
		t.Errorf("%+v", counters)
	}
}

func TestQueueIsBounded(t *testing.T) {
	node := process(1)
	for n := range maxQueued + 5 {
		node.Queue(receiver, numbered(n))
	}
	sent := 0
	for _, datagram := range node.Flush() {
		_, messages, err := decode(datagram.Bytes)
		if err != nil {
			t.Fatal(err)
		}
		sent += len(messages)
	}
	if overflowed := node.Counters().Overflowed; sent != maxQueued || overflowed != 5 {
		t.Errorf("%d sent, %d overflowed", sent, overflowed)
	}
	if kept := cap(node.peers[receiver].outbox); kept > maxReusedOutbox {
		t.Errorf("room for %d messages is kept", kept)
	}
}

func TestNothingIsQueuedForNoPeer(t *testing.T) {
	node := process(1)
	for _, to := range []int{-1, sender, peers} {
		node.Queue(to, numbered(1))
	}
	if datagrams := node.Flush(); datagrams != nil {
		t.Errorf("%+v", datagrams)
	}
}

func TestDatagramsOutOfOrder(t *testing.T) {
	node, other := process(1), newReceiver()
	var datagrams [][]byte
	for n := range duplicateWindow + 2 {
		datagrams = append(datagrams, datagramOf(t, node, numbered(n)))
	}
	last := duplicateWindow + 1
	expect(t, other, 0, datagrams[last], nil, numbered(last))
	expect(t, other, 0, datagrams[2], nil, numbered(2)) // the oldest sequence number in the window
	expect(t, other, 0, datagrams[2], ErrDuplicate)
	expect(t, other, 0, datagrams[1], ErrDuplicate) // before the window
	expect(t, other, 0, datagrams[last], ErrDuplicate)
	for n := 3; n < last; n++ {
		expect(t, other, 0, datagrams[n], nil, numbered(n))
		expect(t, other, 0, datagrams[n], ErrDuplicate)
	}
	want := Counters{Received: duplicateWindow, Duplicates: duplicateWindow + 1}
	got := other.Counters()
	if got.ReceivedBytes = 0; got != want {
		t.Errorf("%+v, expected %+v", got, want)
	}
}

// During a long loss the sequence numbers wrap around. Each datagram is accepted once, whichever was received last before.
func TestSequenceNumbersGoRound(t *testing.T) {
	for _, lost := range []int{1, duplicateWindow, 1<<15 - 1, 1 << 15, 1<<16 - duplicateWindow - 1, 1 << 16, 1<<16 + 1} {
		node, other := process(1), newReceiver()
		expect(t, other, 0, datagramOf(t, node, numbered(0)), nil, numbered(0))
		for range lost {
			node.Queue(receiver, numbered(1))
			node.Flush()
		}
		later := datagramOf(t, node, numbered(2))
		if looksOld := int16(lost+1) <= -duplicateWindow; looksOld {
			expect(t, other, silenceOfRestart-1, later, ErrDuplicate)
		}
		next := datagramOf(t, node, numbered(3))
		expect(t, other, silenceOfRestart, next, nil, numbered(3))
		expect(t, other, silenceOfRestart, next, ErrDuplicate)
		expect(t, other, 3*silenceOfRestart, next, ErrDuplicate)
	}
}

func TestRestartOfPeer(t *testing.T) {
	before, after, other := process(7), process(8), newReceiver()
	late := datagramOf(t, before, numbered(1))
	expect(t, other, 0, datagramOf(t, before, numbered(2)), nil, numbered(2))
	expect(t, other, 1, datagramOf(t, after, numbered(3)), nil, dispatch.PeerRestarted{}, numbered(3))
	expect(t, other, 2, late, ErrOutdated)
	expect(t, other, 3, datagramOf(t, after, numbered(4)), nil, numbered(4))
	if got := other.Counters().Outdated; got != 1 {
		t.Errorf("%d outdated", got)
	}
}

// After Restart a scheduler has a new incarnation for its peers, and does not send the messages that were queued.
func TestRestartWithinProcess(t *testing.T) {
	node, other := process(7), newReceiver()
	late := datagramOf(t, node, numbered(1))
	expect(t, other, 0, datagramOf(t, node, numbered(2)), nil, numbered(2))
	node.Queue(receiver, numbered(3))
	node.Restart()
	if datagrams := node.Flush(); datagrams != nil {
		t.Errorf("sent %+v", datagrams)
	}
	expect(t, other, 0, datagramOf(t, node, numbered(4)), nil, dispatch.PeerRestarted{}, numbered(4))
	expect(t, other, 0, late, ErrOutdated)
}

// Incarnations wrap around after two years.
func TestIncarnationsGoRound(t *testing.T) {
	other := newReceiver()
	expect(t, other, 0, datagramOf(t, process(1<<32-1), numbered(1)), nil, numbered(1))
	expect(t, other, 0, datagramOf(t, process(1), numbered(2)), nil, dispatch.PeerRestarted{}, numbered(2))
	expect(t, other, 0, datagramOf(t, process(1<<32-1), numbered(1)), ErrOutdated)
}

// A process whose wall clock was stepped back has a lower incarnation than the one before. Its datagrams are accepted
// after silenceOfRestart, however many it has sent meanwhile.
func TestRestartWithLowerIncarnation(t *testing.T) {
	before, after, other := process(1000), process(3), newReceiver()
	expect(t, other, 0, datagramOf(t, before, numbered(1)), nil, numbered(1))
	for now := time.Duration(1); now < silenceOfRestart; now += silenceOfRestart / 20 {
		expect(t, other, now, datagramOf(t, after, numbered(2)), ErrOutdated)
	}
	expect(t, other, silenceOfRestart, datagramOf(t, after, numbered(3)), nil, dispatch.PeerRestarted{}, numbered(3))
	expect(t, other, silenceOfRestart+1, datagramOf(t, after, numbered(4)), nil, numbered(4))
}

// Datagrams of unknown senders, forged ones and malformed ones do not change the state of a peer.
func TestDroppedDatagramsChangeNothing(t *testing.T) {
	node, other := process(5), newReceiver()
	first, second := datagramOf(t, node, numbered(1)), datagramOf(t, node, numbered(2))
	expect(t, other, 0, first, nil, numbered(1))
	for _, from := range []int{-1, receiver, peers, 1 << 40} {
		if messages, err := other.Receive(0, from, second); !errors.Is(err, ErrUnknownSender) || messages != nil {
			t.Errorf("from %d: %+v, %v", from, messages, err)
		}
	}
	faulty := appendHeader(nil, header{incarnation: 6, sequence: 1})
	faulty = append(faulty, 0xff)
	seal(faulty)
	expect(t, other, 0, faulty, ErrMalformed)
	expect(t, other, 0, make([]byte, MaxDatagram+1), ErrTooLong)
	expect(t, other, 0, second, nil, numbered(2))
	want := Counters{Received: 2, UnknownSenders: 4, Malformed: 1, TooLong: 1}
	got := other.Counters()
	if got.ReceivedBytes = 0; got != want {
		t.Errorf("%+v, expected %+v", got, want)
	}
}

func TestCountersOfSending(t *testing.T) {
	node := process(1)
	bytes := uint64(0)
	for range 3 {
		bytes += uint64(len(datagramOf(t, node, numbered(1))))
	}
	node.CountUnsent()
	if got, want := node.Counters(), (Counters{Sent: 3, SentBytes: bytes, Unsent: 1}); got != want {
		t.Errorf("%+v, expected %+v", got, want)
	}
}

// A node with 900 peers receives a datagram, and sends one, with a few allocations.
func TestAllocationsOfDatagrams(t *testing.T) {
	node, other := process(1), newReceiver()
	const rounds = 1000
	messages := []dispatch.PeerMessage{numbered(1), numbered(2), numbered(3)}
	perDatagram := testing.AllocsPerRun(rounds, func() {
		for _, message := range messages {
			node.Queue(receiver, message)
		}
		for _, datagram := range node.Flush() {
			if _, err := other.Receive(0, sender, datagram.Bytes); err != nil {
				t.Error(err)
			}
		}
	})
	if perDatagram > 10 { // three messages each in an interface, their list as it grows, the bytes and the list of datagrams
		t.Errorf("%v allocations for a datagram that is sent and received", perDatagram)
	}
}

// With any datagrams from a peer's address, a node accepts no sequence number twice, and its counters include every datagram.
func FuzzReceive(f *testing.F) {
	node := process(9)
	for _, message := range sampleMessages() {
		node.Queue(receiver, message)
		f.Add(node.Flush()[0].Bytes, uint16(3), uint8(1), uint32(8))
	}
	f.Fuzz(func(t *testing.T, datagram []byte, sequence uint16, from uint8, incarnation uint32) {
		other := newReceiver()
		resealed := datagram
		if len(datagram) >= headerSize && len(datagram) <= MaxDatagram {
			resealed = append(appendHeader(nil, header{incarnation, sequence}), datagram[headerSize:]...)
			seal(resealed)
		}
		now := time.Duration(0)
		for _, received := range [][]byte{datagram, resealed, datagram, resealed} {
			messages, err := other.Receive(now, int(from), received)
			if err != nil && messages != nil {
				t.Fatalf("%+v with %v", messages, err)
			}
			now += silenceOfRestart / 8
		}
		counters := other.Counters()
		dropped := counters.Malformed + counters.TooLong + counters.UnknownSenders + counters.Duplicates + counters.Outdated
		if counters.Received+dropped != 4 || counters.Received > 2 {
			t.Fatalf("%+v of four datagrams, two of them repeated", counters)
		}
	})
}

func BenchmarkDatagramOfThreeMessages(b *testing.B) {
	node, other := process(1), newReceiver()
	messages := []dispatch.PeerMessage{sampleMessages()["lease-request"], numbered(2), numbered(3)}
	b.ReportAllocs()
	for b.Loop() {
		for _, message := range messages {
			node.Queue(receiver, message)
		}
		for _, datagram := range node.Flush() {
			if _, err := other.Receive(0, sender, datagram.Bytes); err != nil {
				b.Fatal(err)
			}
		}
	}
}
