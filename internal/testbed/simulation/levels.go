package simulation

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"valvecove/internal/control/membership"
	"valvecove/internal/testbed/scenario"
)

// levelNetwork models the network between forwarders and planners: streams that carry bytes in order, and gossip. It also
// applies the scenario's partitions and connection breaks to them. The environment knows nothing of it. A process takes
// part under the number of its seat: forwarders have their numbers as schedulers, planners follow. Each seat has a
// random generator of its own.
type levelNetwork struct {
	spec        *scenario.Scenario
	now         time.Duration
	seats       []levelNode
	rngs        []*rand.Rand
	events      actionQueue
	eventCount  uint64
	streamCount uint64
	streams     [][]*stream // by seat: those that it has an end of
	partitions  []*levelPartition
	sigma       float64 // log-normal spread of delays
	gossip      gossip
	reached     []int // seats that got a message since the last call of runDue
	freeBuffers [][]byte
}

// levelNode is a seat as the network sees it. Messages to a frozen process wait in its node.
type levelNode interface {
	// status returns the incarnation of the process, and whether it runs and is frozen.
	status() (incarnation int, runs, frozen bool)
	deliver(n levelMessage)
	endProcess() // at the end of the run
}

// levelMessage is an event of a stream or of gossip for a seat's process.
type levelMessage struct {
	kind     levelMessageKind
	stream   *stream
	bytes    []byte
	timedOut bool // of streamLost: nothing was heard for streamTimeout
	event    membership.Event
	takenAt  time.Duration // when the node processes it
}

type levelMessageKind uint8

const (
	streamAccepted  levelMessageKind = iota // another seat has connected
	streamConnected                         // the dialed seat has accepted
	streamRefused                           // it has not
	streamData
	streamLost
	memberEvent
)

const (
	dialTimeout   = 250 * time.Millisecond // of a dial that gets no answer
	streamTimeout = 5 * time.Second        // of data that a partition holds up
)

// stream is a connection between two seats. The first one has dialed.
type stream struct {
	id         uint64
	seats      [2]int
	open       [2]bool
	directions [2]streamDirection // by the end that sends
}

// streamDirection is one direction of a stream.
type streamDirection struct {
	queue       []segment
	lastArrival time.Duration // of the last queued segment
	stalled     bool          // by a partition
	stallCount  uint64        // counts stalls
}

type segment struct {
	arrivesAt time.Duration
	kind      levelMessageKind
	bytes     []byte
}

// levelPartition is a network fault that separates seats.
type levelPartition struct {
	a, b   []bool // by seat
	oneWay bool
	active bool
}

func (c *levelPartition) separates(from, to int) bool {
	return c.active && (c.a[from] && c.b[to] || !c.oneWay && c.a[to] && c.b[from])
}

func newLevelNetwork(spec *scenario.Scenario, seed uint64) *levelNetwork {
	n := spec.Schedulers.Count + spec.Planners.Count
	t := &levelNetwork{spec: spec, seats: make([]levelNode, n), rngs: make([]*rand.Rand, n), streams: make([][]*stream, n)}
	for i := range t.rngs {
		t.rngs[i] = rand.New(rand.NewPCG(seed^xxhash.Sum64String("tiers"), uint64(i)))
	}
	if cv := spec.Network.Jitter; cv > 0 {
		t.sigma = math.Sqrt(math.Log1p(cv * cv))
	}
	for i := range spec.Faults {
		f := &spec.Faults[i]
		if scenario.FaultKinds[f.Kind] == "planners" && f.Between != "discovery" && f.And != "discovery" {
			t.planPartition(f)
		}
	}
	t.gossip.start(t)
	return t
}

// planPartition schedules the start and the end of a partition.
func (t *levelNetwork) planPartition(f *scenario.Fault) {
	partition := &levelPartition{oneWay: f.Kind == "planner_cut_one_way"}
	partition.a, partition.b = t.sideOf(f, f.Between), t.sideOf(f, f.And)
	if f.Between == f.And { // the targets are separated from the others
		for i := range partition.b {
			partition.b[i] = t.isPlanner(i) == (f.Between == "planners") && (!partition.a[i] || !t.isNarrowed(f))
		}
	}
	t.partitions = append(t.partitions, partition)
	t.schedule(f.At.Std(), func() { partition.active = true })
	if f.Duration > 0 {
		t.schedule((f.At + f.Duration).Std(), func() {
			partition.active = false
			t.resumeStalled()
		})
	}
}

func (t *levelNetwork) isNarrowed(f *scenario.Fault) bool {
	if f.Between == "planners" {
		return len(f.Target.Planners) > 0
	}
	return len(f.Target.Schedulers) > 0
}

// sideOf returns, by seat, who is on one side of a partition.
func (t *levelNetwork) sideOf(f *scenario.Fault, name string) []bool {
	some, from, only := make([]bool, len(t.seats)), 0, f.Target.Schedulers
	to := t.spec.Schedulers.Count
	if name == "planners" {
		from, to, only = to, len(t.seats), f.Target.Planners
	}
	for i := from; i < to; i++ {
		some[i] = len(only) == 0
	}
	for _, i := range only {
		some[from+i] = true
	}
	return some
}

func (t *levelNetwork) isPlanner(seat int) bool { return seat >= t.spec.Schedulers.Count }

func (t *levelNetwork) isCut(from, to int) bool {
	for _, c := range t.partitions {
		if c.separates(from, to) {
			return true
		}
	}
	return false
}

// ---- Time ----

type scheduledAction struct {
	at  time.Duration
	seq uint64
	run func()
}

type actionQueue []scheduledAction

func (a actionQueue) Len() int { return len(a) }
func (a actionQueue) Less(i, k int) bool {
	return a[i].at < a[k].at || a[i].at == a[k].at && a[i].seq < a[k].seq
}
func (a actionQueue) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *actionQueue) Push(x any)   { *a = append(*a, x.(scheduledAction)) }
func (a *actionQueue) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last].run = nil
	*a = (*a)[:last]
	return x
}

func (t *levelNetwork) schedule(at time.Duration, do func()) {
	t.eventCount++
	heap.Push(&t.events, scheduledAction{max(at, t.now), t.eventCount, do})
}

// nextAt returns the time of the first scheduled action, or never.
func (t *levelNetwork) nextAt() time.Duration {
	if len(t.events) == 0 {
		return never
	}
	return t.events[0].at
}

// runDue runs all actions that are due, and returns the seats that got a message.
func (t *levelNetwork) runDue(now time.Duration) []int {
	t.now = now
	t.reached = t.reached[:0]
	for len(t.events) > 0 && t.events[0].at <= now {
		heap.Pop(&t.events).(scheduledAction).run()
	}
	return t.reached
}

// delay draws the network delay from seat to seat.
func (t *levelNetwork) delay(from, to int) time.Duration {
	mean := t.spec.Network.Delay.Std()
	if t.spec.ZoneOf(from) != t.spec.ZoneOf(to) {
		mean = t.spec.Network.CrossZone.Std()
	}
	if t.sigma > 0 {
		mean = time.Duration(float64(mean) * math.Exp(t.sigma*(t.rngs[from].NormFloat64()-t.sigma/2)))
	}
	return mean
}

// ---- Streams ----

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
