package environment

import (
	"math"
	"slices"
	"time"

	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
)

// discovery is the list of workers, as one service for all schedulers (views.go has what each of these knows).
//
// It comes to know of a turn in a worker's life after the notice for turns of its kind, give or take three
// tenths. Once in a period it looks at what it has come to know, and what is new then makes the next generation of
// its list, which goes out over all watches. Calls for a watch are handled in turn, each in lines / capacity, where a
// list has a line for each entry and one at least; a call that waits for its turn for longer than the timeout fails.
//
// A process that ended is off the list, and so is one that fell silent. One that starts again is back on it, with a
// new start. What discovery is cut off from is silent to it.
type discovery struct {
	env            *Environment
	dice           drawSource
	revision       int64
	entries        []listEntry
	entryOf        []int // by worker: its entry; a machine that took another's place has one of its own
	changed        []int // entries of which something new is known
	publishPlanned bool
	phase          time.Duration    // of its period
	views          []*schedulerView // by scheduler

	calls   []*watchCall // calls that wait for their turn
	serving *watchCall

	address      int // which address it answers at
	outages      int
	staleAnswers int
	noticeDelay  time.Duration
	slowFactors  []float64
	wrongEntries []int // by worker
	cutCounts    []int // by worker: ways to it that are cut
	heldEvents   []lifeEventNotice
}

// listEntry is a worker's line in the list.
type listEntry struct {
	endpoint    requests.Endpoint // but for what changes
	worker      int
	revision    int64   // of its last change; 0: never listed
	listed      version // as it is in the list
	known       version // as discovery knows it
	removed     bool    // removed for good
	unreachable bool    // discovery is cut off from it, and has noticed
	marked      bool    // among the dirty
}

// version is what changes in an entry.
type version struct {
	state       endpointState
	incarnation int
	startedMs   int64 // start; 0: long ago
}

type endpointState uint8

const (
	endpointAbsent endpointState = iota // not, or no longer, on the list
	endpointUp
	endpointDraining
)

var endpointStateNames = [...]string{"removed", "up", "draining"}

// lifeEventNotice is a turn in a worker's life.
type lifeEventNotice struct {
	entry       int
	event       lifeEvent
	incarnation int
	startedMs   int64
}

// What a worker does that discovery comes to know of.
type lifeEvent uint8

const (
	lifeStarted  lifeEvent = iota // a process has started
	lifeStopped                   // its process has ended: the machine says so
	lifeSilent                    // it can't be reached, and nobody says so
	lifeDraining                  // it began to drain
	lifeRemoved                   // it is removed
)

const (
	firstRevision     = 40              // of the list at the run's start
	newcomerShare     = 0.03            // share of the workers that schedulers may not know yet at the start
	historyLength     = 256             // generations after which changes are told; further back the whole list is
	heartbeatInterval = 2 * time.Second // between empty lines on a watch
	moveGrace         = 1500 * time.Millisecond
	weightNoise       = 0.2 // log-normal, of rough weights
)

func newDiscovery(w *Environment) *discovery {
	d := &discovery{
		env: w, dice: newDrawSource(w.seed, "discovery"), revision: firstRevision, entryOf: make([]int, len(w.workers)),
		wrongEntries: make([]int, len(w.workers)), cutCounts: make([]int, len(w.workers)),
	}
	d.phase = time.Duration(d.dice.stream(0, 0).Float64() * float64(w.Spec.Discovery.Period))
	return d
}

// start lists the fleet. Some of it was added a moment ago: of these, a scheduler may not know yet.
func (d *discovery) start() {
	rng := d.env.rng("newcomers", 0)
	for i, n := range d.env.workers {
		e := d.add(n)
		e.revision, e.known = firstRevision, version{endpointUp, n.incarnation, n.startedMs()}
		if e.listed = e.known; i > 0 && rng.Float64() < newcomerShare {
			e.revision = firstRevision + 1
			d.revision = firstRevision + 1
		}
	}
	for i := range d.env.schedulers {
		schedulerView := newSchedulerView(d, i)
		up := int64(firstRevision)
		if rng.Float64() < 0.5 {
			up = d.revision
		}
		schedulerView.revision = up
		for j := range d.entries {
			if d.entries[j].revision <= up {
				schedulerView.versions = append(schedulerView.versions, d.entries[j].listed)
			} else {
				schedulerView.versions = append(schedulerView.versions, version{})
			}
		}
		d.views = append(d.views, schedulerView)
	}
	d.env.schedule(0, func() { d.reportAcceptMode(d.address) })
}

// add makes a line for the machine that a worker is now. It is not on the list yet.
func (d *discovery) add(n *worker) *listEntry {
	weight := 1.0
	switch d.env.Spec.Fleet.Weights {
	case "nominal":
		weight = n.kind.Cores
	case "rough":
		noise := weightNoise * d.dice.stream(1, uint64(len(d.entries))).NormFloat64()
		weight = max(0.01, math.Round(100*n.capacity()*math.Exp(noise))/100)
	}
	zone := ""
	if zones := d.env.Spec.Fleet.Zones; len(zones) > 0 {
		zone = zones[n.zone]
	}
	d.entryOf[n.number] = len(d.entries)
	d.entries = append(d.entries, listEntry{worker: n.number, endpoint: requests.Endpoint{
		ID: n.id, Addr: d.env.WorkerAddr(n.placeIndex()), Zone: zone,
		MachineType: n.kind.Name, Cell: n.cell, Weight: weight,
	}})
	return &d.entries[len(d.entries)-1]
}

// endpointAt is an entry as it is told.
func (e *listEntry) endpointAt(v version) requests.Endpoint {
	h := e.endpoint
	h.Lifecycle, h.StartedAtMs = endpointStateNames[v.state], v.startedMs
	return h
}

// ---- What it comes to know ----

// workerEvent is told by a worker of a turn in its life, when that happens.
func (d *discovery) workerEvent(n *worker, what lifeEvent) {
	if d.entries[d.entryOf[n.number]].endpoint.ID != n.id {
		d.add(n)
	}
	if what == lifeStarted {
		d.env.faults.workerStarted(n.number)
	}
	x := lifeEventNotice{d.entryOf[n.number], what, n.incarnation, n.startedMs()}
	d.env.after(d.drawNoticeDelay(n.number, what), func() { d.applyNotice(x) })
}

// drawNoticeDelay draws how long it takes to notice a turn.
func (d *discovery) drawNoticeDelay(node int, what lifeEvent) time.Duration {
	spec := &d.env.Spec.Discovery
	mean := spec.NoticeDelay
	switch what {
	case lifeStarted:
		mean = spec.AddDelay
	case lifeSilent:
		mean = spec.SilentNoticeDelay
	}
	r := d.dice.stream(2+uint64(what), uint64(d.env.now)<<20^uint64(node)).Float64()
	return time.Duration(float64(mean)*(0.7+0.6*r)) + d.noticeDelay
}

// applyNotice takes news, which may come late, and of processes that others have followed.
func (d *discovery) applyNotice(lifeEventNotice lifeEventNotice) {
	listEntry := &d.entries[lifeEventNotice.entry]
	if d.cutCounts[listEntry.worker] > 0 && lifeEventNotice.event != lifeSilent {
		d.heldEvents = append(d.heldEvents, lifeEventNotice)
		return
	}
	if lifeEventNotice.event == lifeRemoved {
		listEntry.removed = true
	} else if lifeEventNotice.incarnation < listEntry.known.incarnation {
		return
	}
	switch {
	case lifeEventNotice.event == lifeStarted && lifeEventNotice.incarnation > listEntry.known.incarnation:
		listEntry.known = version{endpointUp, lifeEventNotice.incarnation, lifeEventNotice.startedMs}
	case lifeEventNotice.event == lifeDraining && (lifeEventNotice.incarnation > listEntry.known.incarnation || listEntry.known.state == endpointUp):
		listEntry.known = version{endpointDraining, lifeEventNotice.incarnation, lifeEventNotice.startedMs}
	case lifeEventNotice.event == lifeStopped || lifeEventNotice.event == lifeSilent || lifeEventNotice.event == lifeRemoved:
		listEntry.known = version{endpointAbsent, lifeEventNotice.incarnation, lifeEventNotice.startedMs}
	}
	d.markChanged(lifeEventNotice.entry)
}

// markChanged has it look at an entry, the next time that it looks at all.
func (d *discovery) markChanged(i int) {
	if e := &d.entries[i]; !e.marked {
		e.marked = true
		d.changed = append(d.changed, i)
	}
	d.planPublish()
}

func (d *discovery) planPublish() {
	if d.publishPlanned || d.staleAnswers > 0 || len(d.changed) == 0 {
		return
	}
	d.publishPlanned = true
	period := d.env.Spec.Discovery.Period.Std()
	iterations := (d.env.now-d.phase)/period + 1
	d.env.schedule(max(d.env.now, d.phase+iterations*period), d.publish)
}

// publish makes the next generation of what is new.
func (d *discovery) publish() {
	d.publishPlanned = false
	if d.staleAnswers > 0 {
		return
	}
	slices.Sort(d.changed)
	var changed []int
	for _, i := range d.changed {
		e := &d.entries[i]
		e.marked = false
		if v := d.currentVersion(i); v != e.listed {
			e.listed, e.revision = v, d.revision+1
			changed = append(changed, i)
		}
	}
	if d.changed = d.changed[:0]; len(changed) == 0 {
		return
	}
	d.revision++
	for _, v := range d.views {
		v.published(changed)
	}
}

// currentVersion is how an entry ought to be listed.
func (d *discovery) currentVersion(i int) version {
	e := &d.entries[i]
	v := e.known
	if e.unreachable || e.removed {
		v.state = endpointAbsent
	}
	if v.state != endpointUp && e.listed.incarnation > 0 && d.wrongEntries[e.worker] > 0 && d.entryOf[e.worker] == i {
		return version{endpointUp, e.listed.incarnation, e.listed.startedMs}
	}
	if v.state == endpointAbsent && e.listed.state == endpointAbsent {
		return e.listed // off the list is off the list
	}
	return v
}

// ---- Calls and watches ----

// watchCall is a call for the watch, and then the watch.
type watchCall struct {
	view        *schedulerView
	stage       watchCallStage
	address     int // of the address that was called
	incarnation int // of the scheduler
	after       int64
	wasOpen     bool            // it was open once
	queue       []*watchMessage // on the way to the scheduler, in order
}

type watchCallStage uint8

const (
	watchSending watchCallStage = iota // on its way
	watchWaiting                       // for its turn
	watchServed
	watchOpen
	watchEnded
)

// watchMessage is something that discovery writes on a watch.
type watchMessage struct {
	kind     simapi.InputKind // Listed, Quiet, Unlisted
	revision int64
	reset    bool
	entries  []int
	versions []version
}

// apply takes a scheduler's call for the watch. An earlier one of the same scheduler's is left by that.
func (d *discovery) apply(o *simapi.Output) {
	scheduler, v := d.env.schedulers[o.Scheduler], d.views[o.Scheduler]
	if !scheduler.alive {
		return
	}
	watchCall := &watchCall{view: v, address: scheduler.discovery, incarnation: scheduler.incarnation, after: int64(o.RetryAfter)}
	if v.call == nil {
		v.askingSince = d.env.now
	}
	d.abandonWatch(v)
	v.call = watchCall
	v.touch()
	me, it := endpoint{schedulerEndpoint, scheduler.number}, endpoint{discoveryEndpoint, 0}
	way, back, ok := d.env.network.connectDelays(me, it)
	if !ok {
		return // it never comes up, and the scheduler has patience of its own
	}
	d.env.after(way+back, func() {
		if watchCall.stage == watchSending {
			d.env.deliver(simapi.Input{Kind: simapi.WatchConnected, Scheduler: scheduler.number})
		}
		d.env.network.send(me, it, func() { d.callReceived(watchCall) })
	})
}

// abandonWatch forgets a scheduler's watch or call, as nobody is at its other end.
func (d *discovery) abandonWatch(v *schedulerView) {
	c := v.call
	if v.call = nil; c != nil {
		d.endCall(c)
	}
}

// endCall is the end of a call or a watch. If it was handled just now, it is the next one's turn.
func (d *discovery) endCall(c *watchCall) {
	was := c.stage
	c.stage = watchEnded
	switch was {
	case watchWaiting:
		d.calls = slices.DeleteFunc(d.calls, func(x *watchCall) bool { return x == c })
	case watchServed:
		d.serving = nil
		d.serveNext()
	}
}

func (d *discovery) callReceived(watchCall *watchCall) {
	if watchCall.stage != watchSending {
		return
	}
	if d.outages > 0 || watchCall.address != d.address {
		d.endWatch(watchCall)
		return
	}
	watchCall.stage = watchWaiting
	d.calls = append(d.calls, watchCall)
	d.env.after(d.env.Spec.Discovery.Timeout.Std(), func() {
		if watchCall.stage == watchWaiting {
			d.endWatch(watchCall)
		}
	})
	d.serveNext()
}

// serveNext handles the next call.
func (d *discovery) serveNext() {
	if d.serving != nil || len(d.calls) == 0 {
		return
	}
	watchCall := d.calls[0]
	d.calls = slices.Delete(d.calls, 0, 1)
	watchCall.stage, d.serving = watchServed, watchCall
	done := func() {
		if d.serving == watchCall {
			d.serving = nil
			d.openWatch(watchCall)
			d.serveNext()
		}
	}
	capacity := d.env.Spec.Discovery.Capacity
	for _, f := range d.slowFactors {
		capacity /= f
	}
	if capacity <= 0 {
		done()
		return
	}
	lines := max(1, len(d.changesSince(watchCall.after).entries))
	d.env.after(time.Duration(float64(lines)/capacity*float64(time.Second)), done)
}

// openWatch answers a call: what changed since the version that it names, or all.
func (d *discovery) openWatch(c *watchCall) {
	c.stage, c.wasOpen = watchOpen, true
	d.send(c, d.changesSince(c.after))
	c.view.touch()
	d.env.after(heartbeatInterval, func() { d.sendHeartbeat(c) })
}

// sendHeartbeat writes an empty line every so often.
func (d *discovery) sendHeartbeat(c *watchCall) {
	if s := d.env.schedulers[c.view.scheduler]; c.stage != watchOpen || !s.alive || s.incarnation != c.incarnation {
		return
	}
	d.send(c, &watchMessage{kind: simapi.WatchHeartbeat})
	d.env.after(heartbeatInterval, func() { d.sendHeartbeat(c) })
}

// changesSince is what has changed after a generation; the whole list, if it can't tell.
func (d *discovery) changesSince(after int64) *watchMessage {
	m := &watchMessage{kind: simapi.ListReceived, revision: d.revision, reset: after <= 0 || after > d.revision || after < d.revision-historyLength}
	for i := range d.entries {
		e := &d.entries[i]
		if m.reset && e.listed.state != endpointAbsent || !m.reset && e.revision > after {
			m.entries, m.versions = append(m.entries, i), append(m.versions, e.listed)
		}
	}
	return m
}

// send writes something on a watch. All arrives in order, however long the network takes for each.
func (d *discovery) send(c *watchCall, m *watchMessage) {
	c.queue = append(c.queue, m)
	d.env.network.send(endpoint{discoveryEndpoint, 0}, endpoint{schedulerEndpoint, c.view.scheduler}, func() {
		first := c.queue[0]
		c.queue = c.queue[1:]
		c.view.messageArrived(c, first)
	})
}

// endWatch ends a watch, or fails a call, from discovery's side.
func (d *discovery) endWatch(c *watchCall) {
	if c.stage == watchEnded {
		return
	}
	d.endCall(c)
	d.send(c, &watchMessage{kind: simapi.WatchEnded})
	c.view.touch()
}

// ---- What may be done to discovery, until undo ----

// reportAcceptMode lets a process driver know of how the address at an index takes connections.
func (d *discovery) reportAcceptMode(index int) {
	mode := simapi.AcceptAll
	if d.outages > 0 || index != d.address {
		mode = simapi.AcceptNone
	}
	d.env.inputs = append(d.env.inputs, simapi.Input{Kind: simapi.DiscoveryAcceptModeChanged, Discovery: index, Mode: mode})
}

// startOutage: it answers nothing, and watches end.
func (d *discovery) startOutage() (undo func()) {
	d.outages++
	d.endWatches(d.address)
	d.reportAcceptMode(d.address)
	return func() {
		d.outages--
		d.reportAcceptMode(d.address)
	}
}

// endWatches ends all calls and watches that came in at the addresses up to index.
func (d *discovery) endWatches(index int) {
	for _, v := range d.views {
		if c := v.call; c != nil && c.address <= index && c.stage != watchSending {
			d.endWatch(c)
		}
	}
}

// delayNotices: it comes to know so much later of what happens from now on.
func (d *discovery) delayNotices(by time.Duration) (undo func()) {
	d.noticeDelay += by
	return func() { d.noticeDelay -= by }
}

// listWrongly: it lists these as up, though they are down, draining or silent.
func (d *discovery) listWrongly(nodes []int) (undo func()) {
	return d.countFaults(d.wrongEntries, nodes, nil, nil)
}

// isolate: nothing passes between it and these. It takes them for silent in time, and what they would tell waits.
func (d *discovery) isolate(nodes []int) (undo func()) {
	return d.countFaults(d.cutCounts, nodes, func(n int) {
		e := d.entryOf[n]
		d.env.after(d.drawNoticeDelay(n, lifeSilent), func() { d.setReachable(e, false) })
	}, func(n int) {
		entry := d.entryOf[n]
		d.env.after(d.drawNoticeDelay(n, lifeStarted), func() {
			var held []lifeEventNotice
			d.heldEvents = slices.DeleteFunc(d.heldEvents, func(x lifeEventNotice) bool {
				own := d.entries[x.entry].worker == n && d.cutCounts[n] == 0
				if own {
					held = append(held, x)
				}
				return own
			})
			for _, x := range held {
				d.applyNotice(x)
			}
			d.setReachable(entry, true)
		})
	})
}

// setReachable callbacks that it can reach an entry's machine or not, if that is still so.
func (d *discovery) setReachable(i int, does bool) {
	if e := &d.entries[i]; does == (d.cutCounts[e.worker] == 0) && e.unreachable == does {
		e.unreachable = !does
		d.markChanged(i)
	}
}

// countFaults counts one more of something for each of some workers, until undo; first and last are for those of which
// there was none, and is none any more.
func (d *discovery) countFaults(counts []int, nodes []int, first, last func(n int)) (undo func()) {
	step := func(by, edge int, iteration func(n int)) {
		for _, n := range nodes {
			if counts[n] += by; counts[n] == edge && iteration != nil {
				iteration(n)
			}
			d.markChanged(d.entryOf[n])
		}
	}
	step(1, 1, first)
	return func() { step(-1, 0, last) }
}

// freezeList: it answers with the list and generation of this moment, whatever happens after.
func (d *discovery) freezeList() (undo func()) {
	d.staleAnswers++
	return func() {
		d.staleAnswers--
		d.planPublish()
	}
}

// slowDown: its capacity is divided by this.
func (d *discovery) slowDown(factor float64) (undo func()) {
	d.slowFactors = append(d.slowFactors, factor)
	return func() {
		i := slices.Index(d.slowFactors, factor)
		d.slowFactors = slices.Delete(d.slowFactors, i, i+1)
	}
}

// changeAddress: it answers at another address from now on. The old one accepts nothing more, and ends its watches in 1.5 s.
func (d *discovery) changeAddress() {
	d.address++
	old := d.address - 1
	d.reportAcceptMode(old)
	d.reportAcceptMode(d.address)
	d.env.after(moveGrace, func() { d.endWatches(old) })
}
