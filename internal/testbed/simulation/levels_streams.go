package simulation

import "time"

// dial connects a node to another one. The node then gets streamConnected or streamRefused.
func (n *controlNetwork) dial(from, target int) *stream {
	n.streamCount++
	stream := &stream{id: n.streamCount, nodes: [2]int{from, target}}
	stream.open[0] = true
	n.streams[from] = append(n.streams[from], stream)
	refuse := func() {
		if stream.open[0] {
			n.removeStream(stream, 0)
			n.deliver(from, controlMessage{kind: streamRefused, stream: stream})
		}
	}
	if n.isCut(from, target) || n.isCut(target, from) {
		n.schedule(n.now+dialTimeout, refuse)
		return stream
	}
	n.schedule(n.now+n.delay(from, target), func() {
		back := n.now + n.delay(target, from)
		if _, runs, _ := n.nodes[target].status(); !runs || !stream.open[0] {
			n.schedule(back, refuse)
			return
		}
		stream.open[1] = true
		n.streams[target] = append(n.streams[target], stream)
		stream.directions[1].lastArrival = back
		n.deliver(target, controlMessage{kind: streamAccepted, stream: stream})
		n.schedule(back, func() {
			if stream.open[0] {
				n.deliver(from, controlMessage{kind: streamConnected, stream: stream})
			}
		})
		if mean := n.spec.Planners.Drops.Std(); mean > 0 {
			n.schedule(n.now+time.Duration(n.rngs[from].ExpFloat64()*float64(mean)), func() { n.breakStream(stream) })
		}
	})
	return stream
}

// send writes to a stream from one of its ends. The bytes belong to the network until they have arrived.
func (n *controlNetwork) send(s *stream, end int, bytes []byte) {
	if s.open[end] {
		n.enqueue(s, end, segment{kind: streamData, bytes: bytes})
	}
}

func (n *controlNetwork) enqueue(s *stream, end int, x segment) {
	p := &s.directions[end]
	x.arrivesAt = max(p.lastArrival, n.now+n.delay(s.nodes[end], s.nodes[1-end]))
	p.lastArrival = x.arrivesAt
	if p.queue = append(p.queue, x); len(p.queue) == 1 {
		n.schedule(x.arrivesAt, func() { n.deliverNext(s, end) })
	}
}

// deliverNext delivers the first queued segment, or stalls the direction if a partition separates the ends.
func (n *controlNetwork) deliverNext(stream *stream, end int) {
	direction := &stream.directions[end]
	from, receiver := stream.nodes[end], stream.nodes[1-end]
	if len(direction.queue) == 0 || direction.stalled {
		return
	}
	if n.isCut(from, receiver) {
		direction.stalled = true
		direction.stallCount++
		stall := direction.stallCount
		n.schedule(n.now+streamTimeout, func() {
			if direction.stalled && direction.stallCount == stall && stream.open[end] {
				n.notifyLost(stream, end, true)
				n.enqueue(stream, end, segment{kind: streamLost})
			}
		})
		return
	}
	next := direction.queue[0]
	if direction.queue = direction.queue[1:]; len(direction.queue) > 0 {
		n.schedule(direction.queue[0].arrivesAt, func() { n.deliverNext(stream, end) })
	} else {
		direction.queue = nil
	}
	switch {
	case !stream.open[1-end]: // the receiver has closed
	case next.kind == streamLost:
		n.notifyLost(stream, 1-end, false)
	default:
		n.deliver(receiver, controlMessage{kind: next.kind, stream: stream, bytes: next.bytes})
	}
}

// resumeStalled continues the directions that no partition stalls any more.
func (n *controlNetwork) resumeStalled() {
	for nodeIndex := range n.streams {
		for _, stream := range n.streams[nodeIndex] {
			for end := range stream.directions {
				p := &stream.directions[end]
				if !p.stalled || n.isCut(stream.nodes[end], stream.nodes[1-end]) {
					continue
				}
				p.stalled = false
				at := n.now + n.delay(stream.nodes[end], stream.nodes[1-end])
				for i := range p.queue {
					p.queue[i].arrivesAt = max(p.queue[i].arrivesAt, at)
				}
				p.lastArrival = max(p.lastArrival, at)
				n.schedule(at, func() { n.deliverNext(stream, end) })
			}
		}
	}
}

// closeStream closes a stream from one of its ends.
func (n *controlNetwork) closeStream(s *stream, end int) {
	if s.open[end] {
		n.removeStream(s, end)
		n.enqueue(s, end, segment{kind: streamLost})
	}
}

// notifyLost notifies one end that its stream is lost.
func (n *controlNetwork) notifyLost(s *stream, end int, silent bool) {
	if s.open[end] {
		n.removeStream(s, end)
		n.deliver(s.nodes[end], controlMessage{kind: streamLost, stream: s, timedOut: silent})
	}
}

func (n *controlNetwork) removeStream(s *stream, end int) {
	s.open[end] = false
	list := n.streams[s.nodes[end]]
	for i, x := range list {
		if x == s {
			n.streams[s.nodes[end]] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// breakStream notifies both ends that their stream is lost.
func (n *controlNetwork) breakStream(s *stream) {
	if s.open[0] && s.open[1] {
		n.notifyLost(s, 0, false)
		n.notifyLost(s, 1, false)
	}
}

// breakStreams breaks all streams of a node.
func (n *controlNetwork) breakStreams(nodeIndex int) {
	for _, s := range append([]*stream(nil), n.streams[nodeIndex]...) {
		n.breakStream(s)
	}
}

// processEnded closes all streams of a node whose process has ended.
func (n *controlNetwork) processEnded(nodeIndex int) {
	for _, s := range append([]*stream(nil), n.streams[nodeIndex]...) {
		end := 0
		if s.nodes[1] == nodeIndex {
			end = 1
		}
		n.closeStream(s, end)
	}
}

func (n *controlNetwork) deliver(nodeIndex int, message controlMessage) {
	n.nodes[nodeIndex].deliver(message)
	n.reached = append(n.reached, nodeIndex)
}

// peerOf returns the node at the other end of a node's stream, and which end is the node's own.
func (s *stream) peerOf(nodeIndex int) (other, end int) {
	if s.nodes[0] == nodeIndex {
		return s.nodes[1], 0
	}
	return s.nodes[0], 1
}

// buffer returns an empty buffer for data to send.
func (n *controlNetwork) buffer() []byte {
	if last := len(n.freeBuffers) - 1; last >= 0 {
		b := n.freeBuffers[last]
		n.freeBuffers = n.freeBuffers[:last]
		return b[:0]
	}
	return nil
}

// recycle makes a buffer available again whose bytes were read.
func (n *controlNetwork) recycle(b []byte) {
	if cap(b) > 0 && cap(b) <= 64<<10 && len(n.freeBuffers) < 256 {
		n.freeBuffers = append(n.freeBuffers, b)
	}
}
