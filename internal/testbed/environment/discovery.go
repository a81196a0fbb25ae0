package environment

import (
	"math"
	"slices"
	"time"

	"valvecove/internal/requests"
)

// This file holds discovery's list of workers: its entries, how it comes to know of workers, and how it publishes what
// has changed.

// discovery is the list of workers, as one service for all schedulers (scheduler_views.go has what each of these knows).
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
		e.revision, e.known = firstRevision, version{endpointUp, n.process.incarnation, n.startedMs()}
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
func (l *listEntry) endpointAt(v version) requests.Endpoint {
	h := l.endpoint
	h.Lifecycle, h.StartedAtMs = endpointStateNames[v.state], v.startedMs
	return h
}

// workerEvent is told by a worker of a turn in its life, when that happens.
func (d *discovery) workerEvent(n *worker, what lifeEvent) {
	if d.entries[d.entryOf[n.number]].endpoint.ID != n.id {
		d.add(n)
	}
	if what == lifeStarted {
		d.env.faults.workerStarted(n.number)
	}
	x := lifeEventNotice{d.entryOf[n.number], what, n.process.incarnation, n.startedMs()}
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
