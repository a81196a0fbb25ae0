package simulation

import "time"

// dial connects a seat to another. The seat then gets streamConnected or streamRefused.
func (t *levelNetwork) dial(from, target int) *stream {
	t.streamCount++
	stream := &stream{id: t.streamCount, seats: [2]int{from, target}}
	stream.open[0] = true
	t.streams[from] = append(t.streams[from], stream)
	none := func() {
		if stream.open[0] {
			t.removeStream(stream, 0)
			t.deliver(from, levelMessage{kind: streamRefused, stream: stream})
		}
	}
	if t.isCut(from, target) || t.isCut(target, from) {
		t.schedule(t.now+dialTimeout, none)
		return stream
	}
	t.schedule(t.now+t.delay(from, target), func() {
		back := t.now + t.delay(target, from)
		if _, runs, _ := t.seats[target].status(); !runs || !stream.open[0] {
			t.schedule(back, none)
			return
		}
		stream.open[1] = true
		t.streams[target] = append(t.streams[target], stream)
		stream.directions[1].lastArrival = back
		t.deliver(target, levelMessage{kind: streamAccepted, stream: stream})
		t.schedule(back, func() {
			if stream.open[0] {
				t.deliver(from, levelMessage{kind: streamConnected, stream: stream})
			}
		})
		if mean := t.spec.Planners.Drops.Std(); mean > 0 {
			t.schedule(t.now+time.Duration(t.rngs[from].ExpFloat64()*float64(mean)), func() { t.breakStream(stream) })
		}
	})
	return stream
}

// send writes to a stream from one of its ends. It owns the bytes until they have arrived.
func (t *levelNetwork) send(w *stream, end int, bytes []byte) {
	if w.open[end] {
		t.enqueue(w, end, segment{kind: streamData, bytes: bytes})
	}
}

func (t *levelNetwork) enqueue(w *stream, end int, x segment) {
	p := &w.directions[end]
	x.arrivesAt = max(p.lastArrival, t.now+t.delay(w.seats[end], w.seats[1-end]))
	p.lastArrival = x.arrivesAt
	if p.queue = append(p.queue, x); len(p.queue) == 1 {
		t.schedule(x.arrivesAt, func() { t.deliverNext(w, end) })
	}
}

// deliverNext delivers the first queued segment, or stalls the direction if a partition separates the ends.
func (t *levelNetwork) deliverNext(stream *stream, end int) {
	direction := &stream.directions[end]
	from, receiver := stream.seats[end], stream.seats[1-end]
	if len(direction.queue) == 0 || direction.stalled {
		return
	}
	if t.isCut(from, receiver) {
		direction.stalled = true
		direction.stallCount++
		begun := direction.stallCount
		t.schedule(t.now+streamTimeout, func() {
			if direction.stalled && direction.stallCount == begun && stream.open[end] {
				t.notifyLost(stream, end, true)
				t.enqueue(stream, end, segment{kind: streamLost})
			}
		})
		return
	}
	next := direction.queue[0]
	if direction.queue = direction.queue[1:]; len(direction.queue) > 0 {
		t.schedule(direction.queue[0].arrivesAt, func() { t.deliverNext(stream, end) })
	} else {
		direction.queue = nil
	}
	switch {
	case !stream.open[1-end]: // the receiver has closed
	case next.kind == streamLost:
		t.notifyLost(stream, 1-end, false)
	default:
		t.deliver(receiver, levelMessage{kind: next.kind, stream: stream, bytes: next.bytes})
	}
}

// resumeStalled continues the directions that no partition stalls any more.
func (t *levelNetwork) resumeStalled() {
	for seat := range t.streams {
		for _, stream := range t.streams[seat] {
			for end := range stream.directions {
				p := &stream.directions[end]
				if !p.stalled || t.isCut(stream.seats[end], stream.seats[1-end]) {
					continue
				}
				p.stalled = false
				at := t.now + t.delay(stream.seats[end], stream.seats[1-end])
				for i := range p.queue {
					p.queue[i].arrivesAt = max(p.queue[i].arrivesAt, at)
				}
				p.lastArrival = max(p.lastArrival, at)
				t.schedule(at, func() { t.deliverNext(stream, end) })
			}
		}
	}
}

// closeStream closes a stream from one of its ends.
func (t *levelNetwork) closeStream(w *stream, end int) {
	if w.open[end] {
		t.removeStream(w, end)
		t.enqueue(w, end, segment{kind: streamLost})
	}
}

// notifyLost tells an end that its stream is lost.
func (t *levelNetwork) notifyLost(w *stream, end int, silent bool) {
	if w.open[end] {
		t.removeStream(w, end)
		t.deliver(w.seats[end], levelMessage{kind: streamLost, stream: w, timedOut: silent})
	}
}

func (t *levelNetwork) removeStream(w *stream, end int) {
	w.open[end] = false
	list := t.streams[w.seats[end]]
	for i, x := range list {
		if x == w {
			t.streams[w.seats[end]] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// breakStream tells both ends that their stream is lost.
func (t *levelNetwork) breakStream(w *stream) {
	if w.open[0] && w.open[1] {
		t.notifyLost(w, 0, false)
		t.notifyLost(w, 1, false)
	}
}

// breakStreams breaks all streams of a seat.
func (t *levelNetwork) breakStreams(seat int) {
	for _, w := range append([]*stream(nil), t.streams[seat]...) {
		t.breakStream(w)
	}
}

// processEnded closes all streams of a seat whose process has ended.
func (t *levelNetwork) processEnded(seat int) {
	for _, w := range append([]*stream(nil), t.streams[seat]...) {
		end := 0
		if w.seats[1] == seat {
			end = 1
		}
		t.closeStream(w, end)
	}
}

func (t *levelNetwork) deliver(seat int, n levelMessage) {
	t.seats[seat].deliver(n)
	t.reached = append(t.reached, seat)
}

// peerOf returns the seat at the other end of a seat's stream, and which end is the seat's own.
func (w *stream) peerOf(seat int) (other, end int) {
	if w.seats[0] == seat {
		return w.seats[1], 0
	}
	return w.seats[0], 1
}

// buffer returns an empty buffer for data to send.
func (t *levelNetwork) buffer() []byte {
	if last := len(t.freeBuffers) - 1; last >= 0 {
		b := t.freeBuffers[last]
		t.freeBuffers = t.freeBuffers[:last]
		return b[:0]
	}
	return nil
}

// recycle takes back a buffer whose bytes were read.
func (t *levelNetwork) recycle(b []byte) {
	if cap(b) > 0 && cap(b) <= 64<<10 && len(t.freeBuffers) < 256 {
		t.freeBuffers = append(t.freeBuffers, b)
	}
}
