package gossip

import (
	"bytes"
	"errors"
	"time"

	"valvecove/dispatch"
)

const (
	duplicateWindow  = 64              // sequence numbers that are known to have come, or not
	silenceOfRestart = 2 * time.Second // of the known process: one with a lower incarnation is its successor then
	maxQueued        = 4096            // messages that wait for Flush; further ones are dropped
	maxReusedOutbox  = 64              // messages; a larger outbox is not kept for the next ones
	encodingBuffer   = 2 * MaxDatagram // a datagram, and the message that does not fit into it any more
)

// UnknownSender is in place of the number of a sender that is no peer.
const UnknownSender = -1

// Errors of datagrams that are dropped, besides those of the codec.
var (
	ErrUnknownSender = errors.New("not from a peer")
	ErrDuplicate     = errors.New("repeated, or too late")
	ErrOutdated      = errors.New("from an earlier process")
)

// Config is what a node is made of.
type Config struct {
	Self        int    // number of this scheduler among its peers, from 0
	Peers       int    // schedulers, this one included
	Incarnation uint32 // of this process; each has a greater one than those before, but for a clock that was set back
}

// Datagram is what is to be sent to a peer.
type Datagram struct {
	To    int
	Bytes []byte
}

// Node is one scheduler's side of all exchanges.
type Node struct {
	config   Config
	peers    map[int]*peer
	waiting  []int // peers with queued messages, the one that has waited longest first
	queued   int
	buffer   []byte // that datagrams are encoded in
	counters Counters
}

// Counters count since the start.
type Counters struct {
	Sent, SentBytes         uint64 // datagrams
	Unsent                  uint64 // of these, what could not be sent: see CountUnsent
	Received, ReceivedBytes uint64 // datagrams from peers that were good
	Malformed               uint64 // dropped: header, checksum, version or content is wrong
	TooLong                 uint64 // dropped: over 256 bytes
	UnknownSenders          uint64 // dropped: not from a peer
	Duplicates              uint64 // dropped: repeated, or too late
	Outdated                uint64 // dropped: from an earlier process
	Overflowed              uint64 // messages dropped as too many waited to be sent, or one fits no datagram
}

// peer is what is known of a peer, and what waits to be sent there.
type peer struct {
	isKnown     bool
	incarnation uint32
	receivedAt  time.Duration
	newest      uint16 // sequence number
	seen        uint64 // bit n: newest minus n has come
	sequence    uint16 // of the next datagram to it
	outbox      []dispatch.PeerMessage
}

// New returns a node that has received nothing.
func New(config Config) *Node {
	return &Node{config: config, peers: map[int]*peer{}, buffer: make([]byte, 0, encodingBuffer)}
}

// Restart has the peers know that this scheduler has lost all that it knew, as with a new process. What is queued is dropped.
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

// CountUnsent counts a datagram of Flush that could not be sent.
func (n *Node) CountUnsent() { n.counters.Unsent++ }

func (n *Node) peer(number int) *peer {
	known := n.peers[number]
	if known == nil {
		known = &peer{}
		n.peers[number] = known
	}
	return known
}

// Receive returns the messages of a datagram that came from a peer's address. An error says why it was dropped. After a
// restart of the peer, dispatch.PeerRestarted comes first.
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

// accept handles the header of a valid datagram. It returns an error if the datagram is a duplicate or outdated.
func (p *peer) accept(now time.Duration, received header) (hasRestarted bool, err error) {
	if !p.isKnown || received.incarnation != p.incarnation {
		isLater := int32(received.incarnation-p.incarnation) > 0
		if p.isKnown && !isLater && now-p.receivedAt < silenceOfRestart {
			return false, ErrOutdated
		}
		hasRestarted = p.isKnown
		p.isKnown, p.incarnation = true, received.incarnation
		p.newest, p.seen = received.sequence, 1
		p.receivedAt = now
		return hasRestarted, nil
	}
	if !p.markSeen(received.sequence, now-p.receivedAt >= silenceOfRestart) {
		return false, ErrDuplicate
	}
	p.receivedAt = now
	return false, nil
}

// markSeen reports whether a sequence number comes for the first time, as far as is known. After a silence, in which numbers
// may have gone round, any that is not known to have come is taken for a new one.
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
		p.newest, p.seen = sequence, 1
		return true
	case behind >= duplicateWindow, p.seen>>behind&1 == 1:
		return false
	}
	p.seen |= 1 << behind
	return true
}

// Queue has a message sent to a peer with the next Flush. One to a number that is no peer's is dropped.
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

// Flush returns the datagrams of all queued messages. Bytes are the caller's.
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

// nextDatagram puts as many messages into a datagram as it holds, and returns those that remain. A message that is too long
// for any is dropped: the datagram is nil if there is no other.
func (n *Node) nextDatagram(receiver *peer, messages []dispatch.PeerMessage) (datagram []byte, remaining []dispatch.PeerMessage) {
	buffer := appendHeader(n.buffer[:0], header{n.config.Incarnation, receiver.sequence})
	taken := 0
	for _, message := range messages {
		longer := appendMessage(buffer, message)
		if len(longer) > MaxDatagram {
			break
		}
		buffer = longer
		taken++
	}
	if taken == 0 {
		n.counters.Overflowed++
		return nil, messages[1:]
	}
	receiver.sequence++
	seal(buffer)
	n.counters.Sent++
	n.counters.SentBytes += uint64(len(buffer))
	return bytes.Clone(buffer), messages[taken:]
}

// emptyOutbox forgets the messages, and keeps a small slice for the next ones.
func (p *peer) emptyOutbox() {
	if cap(p.outbox) > maxReusedOutbox {
		p.outbox = nil
		return
	}
	clear(p.outbox)
	p.outbox = p.outbox[:0]
}
