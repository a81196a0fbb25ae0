package gossip

import (
	"bytes"
	"errors"
	"time"

	"valvecove/dispatch"
)

const (
	duplicateWindow  = 64              // number of latest sequence numbers for which duplicates are detected
	silenceOfRestart = 2 * time.Second // after this silence of a peer, a lower incarnation is accepted as a restart of it
	maxQueued        = 4096            // messages queued until Flush; further ones are dropped
	maxReusedOutbox  = 64              // capacity in messages; a larger outbox is not reused
	encodingBuffer   = 2 * MaxDatagram // bytes: a datagram, and the message that exceeds it
)

// UnknownSender is the number to pass to Receive for a sender that is not a peer.
const UnknownSender = -1

// Errors of dropped datagrams, besides those of the codec.
var (
	ErrUnknownSender = errors.New("not from a peer")
	ErrDuplicate     = errors.New("repeated, or too late")
	ErrOutdated      = errors.New("from an earlier process")
)

// Config configures a Node.
type Config struct {
	Self        int    // number of this scheduler, from 0
	Peers       int    // number of schedulers, including this one
	Incarnation uint32 // of this process; greater than that of any earlier process, unless the clock was set back
}

// Datagram is a datagram to send to a peer.
type Datagram struct {
	To    int // number of the peer
	Bytes []byte
}

// Node encodes and decodes the datagrams of one scheduler. It is not safe for concurrent use.
type Node struct {
	config   Config
	peers    map[int]*peer
	waiting  []int  // peers with queued messages, in the order of their first message
	queued   int    // number of queued messages
	buffer   []byte // reused to encode datagrams
	counters Counters
}

// Counters contains counts since the start of the process.
type Counters struct {
	Sent, SentBytes         uint64 // datagrams
	Unsent                  uint64 // sent datagrams that the network or the machine rejected: see CountUnsent
	Received, ReceivedBytes uint64 // valid datagrams
	Malformed               uint64 // dropped: header, checksum, version or content is invalid
	TooLong                 uint64 // dropped: over 256 bytes
	UnknownSenders          uint64 // dropped: not from a peer
	Duplicates              uint64 // dropped: repeated, or too late
	Outdated                uint64 // dropped: from an earlier process
	Overflowed              uint64 // messages dropped: too many were queued, or one was longer than a datagram
}

// peer is the state of a peer, and the messages queued for it.
type peer struct {
	isKnown     bool          // a datagram was received
	incarnation uint32        // of the last accepted datagram
	receivedAt  time.Duration // of the last accepted datagram
	newest      uint16        // highest received sequence number
	seen        uint64        // bit n: newest minus n was received
	sequence    uint16        // of the next datagram to send
	outbox      []dispatch.PeerMessage
}

// New returns a node that has received no datagram.
func New(config Config) *Node {
	return &Node{config: config, peers: map[int]*peer{}, buffer: make([]byte, 0, encodingBuffer)}
}

// Restart makes the peers see a new incarnation, because this scheduler has lost its state. Queued messages are dropped.
func (n *Node) Restart() {
	n.config.Incarnation++
	for _, known := range n.peers {
		known.sequence = 0
		known.emptyOutbox()
	}
	n.waiting = n.waiting[:0]
	n.queued = 0
}

// Counters returns the counters.
func (n *Node) Counters() Counters { return n.counters }

// CountUnsent counts a datagram of Flush that the caller could not send.
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

// Receive returns the messages of a datagram from a peer, or the reason for dropping it. After a restart of the peer, the first
// message is dispatch.PeerRestarted.
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
	if from < 0 || from >= n.config.Peers || from == n.config.Self {
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
		if p.isKnown && !isLater && now-p.receivedAt < silenceOfRestart {
			return false, ErrOutdated
		}
		hasRestarted = p.isKnown
		p.isKnown = true
		p.incarnation = received.incarnation
		p.restartSequence(received.sequence)
		p.receivedAt = now
		return hasRestarted, nil
	}
	if !p.markSeen(received.sequence, now-p.receivedAt >= silenceOfRestart) {
		return false, ErrDuplicate
	}
	p.receivedAt = now
	return false, nil
}

// restartSequence resets the duplicate detection to one received sequence number.
func (p *peer) restartSequence(sequence uint16) {
	p.newest = sequence
	p.seen = 1
}

// markSeen records a sequence number, and reports whether it is new. One that precedes the duplicate window is not new, except
// after a silence, in which the numbers may have wrapped around.
func (p *peer) markSeen(sequence uint16, wasSilent bool) bool {
	ahead := int16(sequence - p.newest)
	if ahead > 0 {
		p.seen = p.seen<<min(ahead, duplicateWindow) | 1
		p.newest = sequence
		return true
	}
	behind := -int(ahead)
	switch {
	case behind >= duplicateWindow && wasSilent:
		p.restartSequence(sequence)
		return true
	case behind >= duplicateWindow, p.seen>>behind&1 == 1:
		return false
	}
	p.seen |= 1 << behind
	return true
}

// Queue queues a message for a peer until the next Flush. A message to a number that is not a peer's is dropped.
func (n *Node) Queue(to int, message dispatch.PeerMessage) {
	if to < 0 || to >= n.config.Peers || to == n.config.Self {
		return
	}
	if n.queued >= maxQueued {
		n.counters.Overflowed++
		return
	}
	receiver := n.peer(to)
	if len(receiver.outbox) == 0 {
		n.waiting = append(n.waiting, to)
	}
	receiver.outbox = append(receiver.outbox, message)
	n.queued++
}

// Flush returns the datagrams with all queued messages. The caller owns their bytes.
func (n *Node) Flush() []Datagram {
	var datagrams []Datagram
	for _, to := range n.waiting {
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
	n.waiting = n.waiting[:0]
	n.queued = 0
	return datagrams
}

// nextDatagram encodes as many messages into a datagram as fit, and returns the remaining ones. If the first message is longer
// than a datagram, it is dropped and the datagram is nil.
func (n *Node) nextDatagram(receiver *peer, messages []dispatch.PeerMessage) (datagram []byte, remaining []dispatch.PeerMessage) {
	buffer := appendHeader(n.buffer[:0], header{n.config.Incarnation, receiver.sequence})
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
	receiver.sequence++
	seal(buffer)
	n.counters.Sent++
	n.counters.SentBytes += uint64(len(buffer))
	return bytes.Clone(buffer), messages[encodedCount:]
}

// emptyOutbox removes all messages, and keeps the memory for the next ones if it is small.
func (p *peer) emptyOutbox() {
	if cap(p.outbox) > maxReusedOutbox {
		p.outbox = nil
		return
	}
	clear(p.outbox)
	p.outbox = p.outbox[:0]
}
