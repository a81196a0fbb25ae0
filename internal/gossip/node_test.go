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
	senderNumber   = 0
	receiverNumber = 1
	peerCount      = 3
)

// newSender returns a node of the sender, whose process has the given incarnation.
func newSender(incarnation uint32) *Node {
	return New(Config{Self: senderNumber, Schedulers: peerCount, Incarnation: incarnation})
}

func newReceiver() *Node {
	return New(Config{Self: receiverNumber, Schedulers: peerCount, Incarnation: 50})
}

// datagramOf returns one datagram of a node to the receiver, with the given messages.
func datagramOf(t *testing.T, node *Node, messages ...dispatch.PeerMessage) []byte {
	t.Helper()
	for _, message := range messages {
		node.Queue(receiverNumber, message)
	}
	datagrams := node.Flush()
	if len(datagrams) != 1 || datagrams[0].To != receiverNumber {
		t.Fatalf("%d messages are encoded as %+v, want 1 datagram to %d", len(messages), datagrams, receiverNumber)
	}
	return datagrams[0].Bytes
}

// messageWithID returns a message with a lease ID, which distinguishes it from others.
func messageWithID(n int) dispatch.PeerMessage { return dispatch.LeaseQueued{ID: dispatch.LeaseID(n)} }

// expectReceive checks the messages and the error that result from a datagram of the sender.
func expectReceive(t *testing.T, node *Node, now time.Duration, datagram []byte, wantErr error, want ...dispatch.PeerMessage) {
	t.Helper()
	messages, err := node.Receive(now, senderNumber, datagram)
	if !errors.Is(err, wantErr) || !slices.EqualFunc(messages, want, func(a, b dispatch.PeerMessage) bool { return reflect.DeepEqual(a, b) }) {
		t.Errorf("received %+v, error %v, want %+v, error %v", messages, err, want, wantErr)
	}
}

func TestMessagesToOnePeerShareDatagrams(t *testing.T) {
	node := newSender(1)
	var toFirst, toSecond []dispatch.PeerMessage
	for n := range 200 {
		toFirst = append(toFirst, messageWithID(n))
		node.Queue(receiverNumber, messageWithID(n))
		if n%2 == 0 {
			toSecond = append(toSecond, messageWithID(n))
			node.Queue(2, messageWithID(n))
		}
	}
	received := map[int][]dispatch.PeerMessage{}
	datagrams := node.Flush()
	for _, datagram := range datagrams {
		if len(datagram.Bytes) > MaxDatagram {
			t.Errorf("datagram of %d bytes, want at most %d", len(datagram.Bytes), MaxDatagram)
		}
		messages, err := New(Config{Self: datagram.To, Schedulers: peerCount}).Receive(0, senderNumber, datagram.Bytes)
		if err != nil {
			t.Error(err)
		}
		received[datagram.To] = append(received[datagram.To], messages...)
	}
	if !reflect.DeepEqual(received, map[int][]dispatch.PeerMessage{receiverNumber: toFirst, 2: toSecond}) {
		t.Errorf("received %+v, want %+v by scheduler %d and %+v by scheduler 2", received, toFirst, receiverNumber, toSecond)
	}
	if len(datagrams) != 3+2 { // 672 bytes of messages to one peer, 336 to the other, at most 245 in one datagram
		t.Errorf("%d datagrams, want 5", len(datagrams))
	}
	if further := node.Flush(); further != nil {
		t.Errorf("a second Flush returned %+v", further)
	}
}

// In a random sequence of messages, each message is sent once, in order, in datagrams that the receiver accepts.
func TestRandomBatches(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	node, other := newSender(1), newReceiver()
	for range 500 {
		var sent, received []dispatch.PeerMessage
		for range rng.IntN(30) {
			message := drawMessage(rng)
			if rng.IntN(4) == 0 {
				message = largestMessages()[rng.IntN(6)]
			}
			sent = append(sent, message)
			node.Queue(receiverNumber, message)
		}
		for _, datagram := range node.Flush() {
			messages, err := other.Receive(0, senderNumber, datagram.Bytes)
			if err != nil {
				t.Fatalf("a datagram of %d bytes: %v", len(datagram.Bytes), err)
			}
			received = append(received, messages...)
		}
		if !reflect.DeepEqual(received, sent) {
			t.Fatalf("sent %+v, received %+v", sent, received)
		}
	}
	if counters := node.Counters(); counters.Overflowed > 0 {
		t.Errorf("%+v, want no overflowed messages", counters)
	}
}

func TestQueueIsBounded(t *testing.T) {
	node := newSender(1)
	for n := range maxQueuedMessages + 5 {
		node.Queue(receiverNumber, messageWithID(n))
	}
	sent := 0
	for _, datagram := range node.Flush() {
		_, messages, err := decode(datagram.Bytes)
		if err != nil {
			t.Fatal(err)
		}
		sent += len(messages)
	}
	if overflowed := node.Counters().Overflowed; sent != maxQueuedMessages || overflowed != 5 {
		t.Errorf("%d messages sent, %d overflowed, want %d and 5", sent, overflowed, maxQueuedMessages)
	}
	if kept := cap(node.peers[receiverNumber].outbox); kept > maxReusedOutbox {
		t.Errorf("an outbox with a capacity of %d messages is kept, want at most %d", kept, maxReusedOutbox)
	}
}

func TestMessagesToNonPeersAreDropped(t *testing.T) {
	node := newSender(1)
	for _, to := range []int{-1, senderNumber, peerCount} {
		node.Queue(to, messageWithID(1))
	}
	if datagrams := node.Flush(); datagrams != nil {
		t.Errorf("Flush returned %+v, want nothing", datagrams)
	}
}

func TestDatagramsOutOfOrder(t *testing.T) {
	node, other := newSender(1), newReceiver()
	var datagrams [][]byte
	for n := range duplicateWindow + 2 {
		datagrams = append(datagrams, datagramOf(t, node, messageWithID(n)))
	}
	last := duplicateWindow + 1
	expectReceive(t, other, 0, datagrams[last], nil, messageWithID(last))
	expectReceive(t, other, 0, datagrams[2], nil, messageWithID(2)) // the earliest sequence number in the duplicate window
	expectReceive(t, other, 0, datagrams[2], ErrDuplicate)
	expectReceive(t, other, 0, datagrams[1], ErrDuplicate) // before the duplicate window
	expectReceive(t, other, 0, datagrams[last], ErrDuplicate)
	for n := 3; n < last; n++ {
		expectReceive(t, other, 0, datagrams[n], nil, messageWithID(n))
		expectReceive(t, other, 0, datagrams[n], ErrDuplicate)
	}
	want := Counters{Received: duplicateWindow, Duplicates: duplicateWindow + 1}
	got := other.Counters()
	if got.ReceivedBytes = 0; got != want {
		t.Errorf("counters %+v, want %+v", got, want)
	}
}

// While all datagrams are lost, the sequence numbers may wrap around. After restartSilence at the latest, the next datagram is
// accepted once, whatever number of datagrams was lost.
func TestSequenceNumbersWrapAround(t *testing.T) {
	for _, lost := range []int{1, duplicateWindow, 1<<15 - 1, 1 << 15, 1<<16 - duplicateWindow - 1, 1 << 16, 1<<16 + 1} {
		node, other := newSender(1), newReceiver()
		expectReceive(t, other, 0, datagramOf(t, node, messageWithID(0)), nil, messageWithID(0))
		for range lost {
			node.Queue(receiverNumber, messageWithID(1))
			node.Flush()
		}
		later := datagramOf(t, node, messageWithID(2))
		if looksOld := int16(lost+1) <= -duplicateWindow; looksOld {
			expectReceive(t, other, restartSilence-1, later, ErrDuplicate)
		}
		next := datagramOf(t, node, messageWithID(3))
		expectReceive(t, other, restartSilence, next, nil, messageWithID(3))
		expectReceive(t, other, restartSilence, next, ErrDuplicate)
		expectReceive(t, other, 3*restartSilence, next, ErrDuplicate)
	}
}

func TestRestartOfPeer(t *testing.T) {
	before, after, other := newSender(7), newSender(8), newReceiver()
	late := datagramOf(t, before, messageWithID(1))
	expectReceive(t, other, 0, datagramOf(t, before, messageWithID(2)), nil, messageWithID(2))
	expectReceive(t, other, 1, datagramOf(t, after, messageWithID(3)), nil, dispatch.PeerRestarted{}, messageWithID(3))
	expectReceive(t, other, 2, late, ErrOutdated)
	expectReceive(t, other, 3, datagramOf(t, after, messageWithID(4)), nil, messageWithID(4))
	if got := other.Counters().Outdated; got != 1 {
		t.Errorf("%d datagrams counted as outdated, want 1", got)
	}
}

// After Restart, the peers receive a new incarnation, and messages that were queued before are not sent.
func TestRestartWithinProcess(t *testing.T) {
	node, other := newSender(7), newReceiver()
	late := datagramOf(t, node, messageWithID(1))
	expectReceive(t, other, 0, datagramOf(t, node, messageWithID(2)), nil, messageWithID(2))
	node.Queue(receiverNumber, messageWithID(3))
	node.Restart()
	if datagrams := node.Flush(); datagrams != nil {
		t.Errorf("Flush after Restart returned %+v, want nothing", datagrams)
	}
	expectReceive(t, other, 0, datagramOf(t, node, messageWithID(4)), nil, dispatch.PeerRestarted{}, messageWithID(4))
	expectReceive(t, other, 0, late, ErrOutdated)
}

// Incarnations wrap around after two years. One after the wraparound counts as later than one before it.
func TestIncarnationsWrapAround(t *testing.T) {
	other := newReceiver()
	expectReceive(t, other, 0, datagramOf(t, newSender(1<<32-1), messageWithID(1)), nil, messageWithID(1))
	expectReceive(t, other, 0, datagramOf(t, newSender(1), messageWithID(2)), nil, dispatch.PeerRestarted{}, messageWithID(2))
	expectReceive(t, other, 0, datagramOf(t, newSender(1<<32-1), messageWithID(1)), ErrOutdated)
}

// A process that starts after the wall clock was set back has a lower incarnation than the previous process. Its datagrams are
// accepted once the previous process has been silent for restartSilence, however many were dropped meanwhile.
func TestRestartWithLowerIncarnation(t *testing.T) {
	before, after, other := newSender(1000), newSender(3), newReceiver()
	expectReceive(t, other, 0, datagramOf(t, before, messageWithID(1)), nil, messageWithID(1))
	for now := time.Duration(1); now < restartSilence; now += restartSilence / 20 {
		expectReceive(t, other, now, datagramOf(t, after, messageWithID(2)), ErrOutdated)
	}
	expectReceive(t, other, restartSilence, datagramOf(t, after, messageWithID(3)), nil, dispatch.PeerRestarted{}, messageWithID(3))
	expectReceive(t, other, restartSilence+1, datagramOf(t, after, messageWithID(4)), nil, messageWithID(4))
}

// Datagrams of unknown senders and malformed datagrams do not change the state of a peer.
func TestDroppedDatagramsChangeNothing(t *testing.T) {
	node, other := newSender(5), newReceiver()
	first, second := datagramOf(t, node, messageWithID(1)), datagramOf(t, node, messageWithID(2))
	expectReceive(t, other, 0, first, nil, messageWithID(1))
	for _, from := range []int{-1, receiverNumber, peerCount, 1 << 40} {
		if messages, err := other.Receive(0, from, second); !errors.Is(err, ErrUnknownSender) || messages != nil {
			t.Errorf("from %d: received %+v, error %v, want error %v", from, messages, err, ErrUnknownSender)
		}
	}
	malformed := appendHeader(nil, header{incarnation: 6, sequence: 1})
	malformed = append(malformed, 0xff)
	seal(malformed)
	expectReceive(t, other, 0, malformed, ErrMalformed)
	expectReceive(t, other, 0, make([]byte, MaxDatagram+1), ErrTooLong)
	expectReceive(t, other, 0, second, nil, messageWithID(2))
	want := Counters{Received: 2, UnknownSenders: 4, Malformed: 1, TooLong: 1}
	got := other.Counters()
	if got.ReceivedBytes = 0; got != want {
		t.Errorf("counters %+v, want %+v", got, want)
	}
}

func TestSendCounters(t *testing.T) {
	node := newSender(1)
	bytes := uint64(0)
	for range 3 {
		bytes += uint64(len(datagramOf(t, node, messageWithID(1))))
	}
	node.CountUnsent()
	if got, want := node.Counters(), (Counters{Sent: 3, SentBytes: bytes, Unsent: 1}); got != want {
		t.Errorf("counters %+v, want %+v", got, want)
	}
}

// Sending and receiving a datagram takes few allocations, as a scheduler may have 900 peers.
func TestDatagramAllocations(t *testing.T) {
	node, other := newSender(1), newReceiver()
	const rounds = 1000
	messages := []dispatch.PeerMessage{messageWithID(1), messageWithID(2), messageWithID(3)}
	perDatagram := testing.AllocsPerRun(rounds, func() {
		for _, message := range messages {
			node.Queue(receiverNumber, message)
		}
		for _, datagram := range node.Flush() {
			if _, err := other.Receive(0, senderNumber, datagram.Bytes); err != nil {
				t.Error(err)
			}
		}
	})
	if perDatagram > 10 { // the received messages and their slice as it grows, the datagram's bytes, and the slice of datagrams
		t.Errorf("%v allocations to send and receive a datagram, want at most 10", perDatagram)
	}
}

// With random datagrams from any number, a node accepts no sequence number twice, and counts every datagram.
func FuzzReceive(f *testing.F) {
	node := newSender(9)
	for _, message := range sampleMessages() {
		node.Queue(receiverNumber, message)
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
				t.Fatalf("received %+v with the error %v", messages, err)
			}
			now += restartSilence / 8
		}
		counters := other.Counters()
		dropped := counters.Malformed + counters.TooLong + counters.UnknownSenders + counters.Duplicates + counters.Outdated
		if counters.Received+dropped != 4 || counters.Received > 2 {
			t.Fatalf("counters %+v after four datagrams, two of them duplicates", counters)
		}
	})
}

func BenchmarkDatagramOfThreeMessages(b *testing.B) {
	node, other := newSender(1), newReceiver()
	messages := []dispatch.PeerMessage{sampleMessages()["lease-request"], messageWithID(2), messageWithID(3)}
	b.ReportAllocs()
	for b.Loop() {
		for _, message := range messages {
			node.Queue(receiverNumber, message)
		}
		for _, datagram := range node.Flush() {
			if _, err := other.Receive(0, senderNumber, datagram.Bytes); err != nil {
				b.Fatal(err)
			}
		}
	}
}
