package gossip

import (
	"bytes"
	"errors"
	"time"

	"valvecove/dispatch"
)

const (
	duplicateWindow    = 64              // number of the latest sequence numbers for which duplicates are detected
	restartSilence     = 2 * time.Second // after a peer was silent this long, a lower incarnation is accepted as its restart
	maxQueuedMessages  = 4096            // until Flush; further messages are dropped
	maxReusedOutbox    = 64              // messages; an outbox with a larger capacity is not reused
	encodingBufferSize = 2 * MaxDatagram // bytes, for a datagram and the first message that does not fit into it
)

// UnknownSender is the number to pass to Receive for a sender that is not a peer.
const UnknownSender = -1

// Errors of dropped datagrams, besides those of the codec.
var (
	ErrUnknownSender = errors.New("datagram of an unknown sender")
	ErrDuplicate     = errors.New("duplicate or late datagram")
	ErrOutdated      = errors.New("datagram of an earlier process of the peer")
)

// Config configures a Node.
type Config struct {
	Self        int    // number of this scheduler, from 0
	Schedulers  int    // number of schedulers, including this one
	Incarnation uint32 // identifies this process; greater than in any earlier process, unless the clock was set back
}

// Datagram is a datagram to send to a peer.
type Datagram struct {
	To    int // number of the peer
	Bytes []byte
}

// Node encodes and decodes the datagrams of one scheduler. It is not safe for concurrent use.
type Node struct {
	config         Config
	peers          map[int]*peer
	queuedPeers    []int  // numbers of the peers with queued messages, in the order of their first message
	queuedMessages int    // number of queued messages to all peers
	buffer         []byte // reused to encode datagrams
	counters       Counters
}

// Counters contains counts since the start of the process, of datagrams unless noted otherwise.
type Counters struct {
	Sent, SentBytes         uint64 // encoded by Flush, and their bytes
	Unsent                  uint64 // counted as Sent, and then rejected by the network or the machine; see CountUnsent
	Received, ReceivedBytes uint64 // accepted, and their bytes
	Malformed               uint64 // dropped: header, checksum, version or content is invalid
	TooLong                 uint64 // dropped: longer than MaxDatagram
	UnknownSenders          uint64 // dropped: the sender is not a peer
	Duplicates              uint64 // dropped: duplicate, or too late to detect duplicates
	Outdated                uint64 // dropped: from an earlier process of the peer
	Overflowed              uint64 // messages dropped: too many were queued, or the message was longer than a datagram
}

// peer is the state of a peer, and the messages queued for it.
type peer struct {
	isKnown         bool          // a datagram was accepted
	incarnation     uint32        // of the last accepted datagram
	receivedAt      time.Duration // when the last datagram was accepted
	highestSequence uint16        // highest received sequence number, modulo 65536
	receivedBits    uint64        // bit n: the sequence number highestSequence-n was received
	nextSequence    uint16        // sequence number of the next datagram to send
	outbox          []dispatch.PeerMessage
}

// New returns a node that has received no datagram.
func New(config Config) *Node {
	return &Node{config: config, peers: map[int]*peer{}, buffer: make([]byte, 0, encodingBufferSize)}
}

// Restart starts a new incarnation, which notifies the peers that this scheduler has lost its state. Queued messages are dropped.
func (n *Node) Restart() {
	n.config.Incarnation++
	for _, known := range n.peers {
		known.nextSequence = 0
		known.emptyOutbox()
	}
	n.queuedPeers = n.queuedPeers[:0]
	n.queuedMessages = 0
}

// Counters returns the counters.
func (n *Node) Counters() Counters { return n.counters }

// CountUnsent counts a datagram that Flush has returned and the caller could not send.
func (n *Node) CountUnsent() { n.counters.Unsent++ }

// peer returns the state of a peer, which is created if necessary.
func (n *Node) peer(number int) *peer {
	known := n.peers[number]
	if known == nil {
		known = &peer{}
		n.peers[number] = known
	}
	return known
}

// Receive returns the messages of a datagram from a peer, or the reason for dropping it. In the first datagram after a restart of
// the peer, dispatch.PeerRestarted precedes the messages.
func (n *Node) Receive(now time.Duration, from int, datagram []byte) ([]dispatch.PeerMessage, error) {
	messages, err := n.receive(now, from, datagram)
	switch {
	case err == nil:
		n.counters.Received++
		n.counters.ReceivedBytes += uint64(len(datagram))
	case errors.Is(err, ErrUnknownSender):
		n.counters.UnknownSenders++
	case errors.Is(err, ErrDuplicate):
		n.counters.Duplicates++
	case errors.Is(err, ErrOutdated):
		n.counters.Outdated++
	case errors.Is(err, ErrTooLong):
		n.counters.TooLong++
	default:
		n.counters.Malformed++
	}
	return messages, err
}

// receive is Receive without the counters.
func (n *Node) receive(now time.Duration, from int, datagram []byte) ([]dispatch.PeerMessage, error) {
	if from < 0 || from >= n.config.Schedulers || from == n.config.Self {
		return nil, ErrUnknownSender
	}
	header, encoded, err := parseHeader(datagram)
	if err != nil {
		return nil, err
	}
	messages, err := parseMessages(encoded)
	if err != nil {
		return nil, err
	}
	sender := n.peer(from)
	hasRestarted, err := sender.accept(now, header)
	if err != nil {
		return nil, err
	}
	if hasRestarted {
		messages = append([]dispatch.PeerMessage{dispatch.PeerRestarted{}}, messages...)
	}
	return messages, nil
}

// accept updates the state of the peer by the header of a valid datagram, or returns the reason for dropping the datagram.
func (p *peer) accept(now time.Duration, received header) (hasRestarted bool, err error) {
	if !p.isKnown || received.incarnation != p.incarnation {
		isLater := int32(received.incarnation-p.incarnation) > 0
		if p.isKnown && !isLater && now-p.receivedAt < restartSilence {
			return false, ErrOutdated
		}
		hasRestarted = p.isKnown
		p.isKnown = true
		p.incarnation = received.incarnation
		p.restartSequence(received.sequence)
		p.receivedAt = now
		return hasRestarted, nil
	}
	if !p.markReceived(received.sequence, now-p.receivedAt >= restartSilence) {
		return false, ErrDuplicate
	}
	p.receivedAt = now
	return false, nil
}

// restartSequence resets the duplicate detection, with one received sequence number.
func (p *peer) restartSequence(sequence uint16) {
	p.highestSequence = sequence
	p.receivedBits = 1
}

// markReceived records a sequence number, and reports whether it is new. A number before the duplicate window does not count as
// new, except after a silence, during which the sequence numbers may have wrapped around.
func (p *peer) markReceived(sequence uint16, wasSilent bool) bool {
	ahead := int16(sequence - p.highestSequence)
	if ahead > 0 {
		p.receivedBits = p.receivedBits<<min(ahead, duplicateWindow) | 1
		p.highestSequence = sequence
		return true
	}
	behind := -int(ahead)
	switch {
	case behind >= duplicateWindow && wasSilent:
		p.restartSequence(sequence)
		return true
	case behind >= duplicateWindow, p.receivedBits>>behind&1 == 1:
		return false
	}
	p.receivedBits |= 1 << behind
	return true
}

// Queue queues a message for a peer until the next Flush. If the number is not that of a peer, the message is dropped.
func (n *Node) Queue(to int, message dispatch.PeerMessage) {
	if to < 0 || to >= n.config.Schedulers || to == n.config.Self {
		return
	}
	if n.queuedMessages >= maxQueuedMessages {
		n.counters.Overflowed++
		return
	}
	receiver := n.peer(to)
	if len(receiver.outbox) == 0 {
		n.queuedPeers = append(n.queuedPeers, to)
	}
	receiver.outbox = append(receiver.outbox, message)
	n.queuedMessages++
}

// Flush encodes all queued messages into datagrams. The caller owns their bytes.
func (n *Node) Flush() []Datagram {
	var datagrams []Datagram
	for _, to := range n.queuedPeers {
		receiver := n.peers[to]
		for waiting := receiver.outbox; len(waiting) > 0; {
			var datagram []byte
			datagram, waiting = n.nextDatagram(receiver, waiting)
			if datagram != nil {
				datagrams = append(datagrams, Datagram{To: to, Bytes: datagram})
			}
		}
		receiver.emptyOutbox()
	}
	n.queuedPeers = n.queuedPeers[:0]
	n.queuedMessages = 0
	return datagrams
}

// nextDatagram encodes as many messages into a datagram as fit, and returns the remaining ones. If the first message does not fit
// into a datagram, it is dropped, and the datagram is nil.
func (n *Node) nextDatagram(receiver *peer, messages []dispatch.PeerMessage) (datagram []byte, remaining []dispatch.PeerMessage) {
	buffer := appendHeader(n.buffer[:0], header{n.config.Incarnation, receiver.nextSequence})
	encodedCount := 0
	for _, message := range messages {
		longer := appendMessage(buffer, message)
		if len(longer) > MaxDatagram {
			break
		}
		buffer = longer
		encodedCount++
	}
	if encodedCount == 0 {
		n.counters.Overflowed++
		return nil, messages[1:]
	}
	receiver.nextSequence++
	seal(buffer)
	n.counters.Sent++
	n.counters.SentBytes += uint64(len(buffer))
	return bytes.Clone(buffer), messages[encodedCount:]
}

// emptyOutbox removes all messages. The memory is kept for further messages if it is small.
func (p *peer) emptyOutbox() {
	if cap(p.outbox) > maxReusedOutbox {
		p.outbox = nil
		return
	}
	clear(p.outbox)
	p.outbox = p.outbox[:0]
}
