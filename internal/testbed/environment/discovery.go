package environment

import (
	"math"
	"slices"
	"time"

	"valvecove/internal/requests"
)

// This file holds discovery's list of workers: its entries, how it notices changes of workers, and how it publishes them.

// discovery is the service that publishes the list of workers to all schedulers. What each scheduler has been notified of is in
// scheduler_views.go.
//
// Discovery notices a lifecycle event of a worker after the scenario's delay for events of that kind, plus or minus 30%. Once
// per period it publishes the changes that it has noticed as the next revision of the list, on all watches. Calls that open a
// watch are served one at a time, in order of arrival. Each takes lines / capacity, where a list has one line per entry and at
// least one; a call that waits for longer than the timeout fails.
//
// A worker whose process has ended or whose machine is silent is not listed. When its next process starts it is listed again,
// with a new start time. Workers from which discovery is partitioned count as silent.
type discovery struct {
	env            *Environment
	keyedRand      keyedRand
	revision       int64
	entries        []listEntry
	entryOf        []int // by worker: index of its present machine's entry; each replacement has an entry of its own
	changedEntries []int // indices of entries that may have to be published
	publishPlanned bool
	phase          time.Duration    // offset of the publishing times within the period
	views          []*schedulerView // by scheduler

	calls   []*watchCall // calls that wait to be served
	serving *watchCall

	address         int           // index of the address that it listens at
	outages         int           // active outages, as faults may overlap
	listFreezes     int           // active freezes of the list
	noticeDelay     time.Duration // that faults add to each notice delay
	slowFactors     []float64     // of the active faults that slow discovery down
	wronglyListed   []int         // by worker: active faults that list it as up
	isolationCounts []int         // by worker: active partitions between it and discovery
	heldEvents      []lifeEventNotice
}

// listEntry is the entry of a worker's machine in the list.
type listEntry struct {
	endpoint    requests.Endpoint // without the fields of version
	worker      int
	revision    int64   // of its last change; 0: never listed
	listed      version // as published
	known       version // as noticed by discovery
	removed     bool    // removed for good
	unreachable bool    // discovery has noticed a partition between itself and the worker
	inChanged   bool    // it is in discovery.changedEntries
}

// version holds the fields of an entry that change.
type version struct {
	state       endpointState
	incarnation int
	startedMs   int64 // start of the process in Unix milliseconds; 0: long ago
}

type endpointState uint8

const (
	endpointAbsent endpointState = iota // not listed yet, or not any more
	endpointUp
	endpointDraining
)

var endpointStateNames = [...]string{"removed", "up", "draining"}

// lifeEventNotice is a lifecycle event of a worker that discovery is to notice.
type lifeEventNotice struct {
	entry       int
	event       lifeEvent
	incarnation int
	startedMs   int64
}

// lifeEvent is a kind of lifecycle event of a worker that discovery notices.
type lifeEvent uint8

const (
	lifeStarted  lifeEvent = iota // a process has started
	lifeStopped                   // its process has ended, and the machine reports that
	lifeSilent                    // its machine is unreachable, and nothing reports that
	lifeDraining                  // it began to drain
	lifeRemoved                   // it is removed from the list for good
)

const (
	firstRevision      = 40                      // revision of the list at the start of a run
	recentlyAddedShare = 0.03                    // share of the workers that schedulers may not know at the start of a run
	historyLength      = 256                     // revisions back for which changes are sent, instead of the whole list
	heartbeatInterval  = 2 * time.Second         // between heartbeats on a watch
	oldAddressGrace    = 1500 * time.Millisecond // from a change of the address until watches at the old one end
	weightNoise        = 0.2                     // sigma of the log-normal noise of rough weights
)

func newDiscovery(environment *Environment) *discovery {
	d := &discovery{
		env: environment, keyedRand: newKeyedRand(environment.seed, "discovery"), revision: firstRevision, entryOf: make([]int, len(environment.workers)),
		wronglyListed: make([]int, len(environment.workers)), isolationCounts: make([]int, len(environment.workers)),
	}
	d.phase = time.Duration(d.keyedRand.stream(0, 0).Float64() * float64(environment.Spec.Discovery.Period))
	return d
}

// start lists the fleet. Some workers were added just before the run, so that a scheduler may not know them yet.
func (d *discovery) start() {
	rng := d.env.rng("newcomers", 0)
	for i, worker := range d.env.workers {
		e := d.add(worker)
		e.revision, e.known = firstRevision, version{endpointUp, worker.process.incarnation, worker.startedMs()}
		if e.listed = e.known; i > 0 && rng.Float64() < recentlyAddedShare {
			e.revision = firstRevision + 1
			d.revision = firstRevision + 1
		}
	}
	for i := range d.env.schedulers {
		view := newSchedulerView(d, i)
		revision := int64(firstRevision)
		if rng.Float64() < 0.5 {
			revision = d.revision
		}
		view.revision = revision
		for j := range d.entries {
			if d.entries[j].revision <= revision {
				view.versions = append(view.versions, d.entries[j].listed)
			} else {
				view.versions = append(view.versions, version{})
			}
		}
		d.views = append(d.views, view)
	}
	d.env.schedule(0, func() { d.reportAcceptMode(d.address) })
}

// add adds an entry for the present machine of a worker. It is not listed yet.
func (d *discovery) add(worker *worker) *listEntry {
	weight := 1.0
	switch d.env.Spec.Fleet.Weights {
	case "nominal":
		weight = worker.kind.Cores
	case "rough":
		noise := weightNoise * d.keyedRand.stream(1, uint64(len(d.entries))).NormFloat64()
		weight = max(0.01, math.Round(100*worker.capacity()*math.Exp(noise))/100)
	}
	zone := ""
	if zones := d.env.Spec.Fleet.Zones; len(zones) > 0 {
		zone = zones[worker.zone]
	}
	d.entryOf[worker.number] = len(d.entries)
	d.entries = append(d.entries, listEntry{worker: worker.number, endpoint: requests.Endpoint{
		ID: worker.id, Addr: d.env.WorkerAddr(worker.placeIndex()), Zone: zone,
		MachineType: worker.kind.Name, Cell: worker.cell, Weight: weight,
	}})
	return &d.entries[len(d.entries)-1]
}

// endpointAt returns an entry as it is published in a version.
func (l *listEntry) endpointAt(v version) requests.Endpoint {
	result := l.endpoint
	result.Lifecycle, result.StartedAtMs = endpointStateNames[v.state], v.startedMs
	return result
}

// workerEvent handles a lifecycle event of a worker at the time it happens; discovery notices it later.
func (d *discovery) workerEvent(worker *worker, event lifeEvent) {
	if d.entries[d.entryOf[worker.number]].endpoint.ID != worker.id {
		d.add(worker)
	}
	if event == lifeStarted {
		d.env.faults.workerStarted(worker.number)
	}
	notice := lifeEventNotice{d.entryOf[worker.number], event, worker.process.incarnation, worker.startedMs()}
	d.env.after(d.drawNoticeDelay(worker.number, event), func() { d.applyNotice(notice) })
}

// drawNoticeDelay draws the time until discovery notices an event.
func (d *discovery) drawNoticeDelay(worker int, event lifeEvent) time.Duration {
	spec := &d.env.Spec.Discovery
	mean := spec.NoticeDelay
	switch event {
	case lifeStarted:
		mean = spec.AddDelay
	case lifeSilent:
		mean = spec.SilentNoticeDelay
	}
	draw := d.keyedRand.stream(2+uint64(event), uint64(d.env.now)<<20^uint64(worker)).Float64()
	return time.Duration(float64(mean)*(0.7+0.6*draw)) + d.noticeDelay
}

// applyNotice applies an event that is noticed now. It may be late, and of an earlier process than the last one noticed.
func (d *discovery) applyNotice(notice lifeEventNotice) {
	entry := &d.entries[notice.entry]
	if d.isolationCounts[entry.worker] > 0 && notice.event != lifeSilent {
		d.heldEvents = append(d.heldEvents, notice)
		return
	}
	if notice.event == lifeRemoved {
		entry.removed = true
	} else if notice.incarnation < entry.known.incarnation {
		return
	}
	switch {
	case notice.event == lifeStarted && notice.incarnation > entry.known.incarnation:
		entry.known = version{endpointUp, notice.incarnation, notice.startedMs}
	case notice.event == lifeDraining && (notice.incarnation > entry.known.incarnation || entry.known.state == endpointUp):
		entry.known = version{endpointDraining, notice.incarnation, notice.startedMs}
	case notice.event == lifeStopped || notice.event == lifeSilent || notice.event == lifeRemoved:
		entry.known = version{endpointAbsent, notice.incarnation, notice.startedMs}
	}
	d.markChanged(notice.entry)
}

// markChanged makes discovery check an entry for changes when it publishes next.
func (d *discovery) markChanged(i int) {
	if e := &d.entries[i]; !e.inChanged {
		e.inChanged = true
		d.changedEntries = append(d.changedEntries, i)
	}
	d.schedulePublish()
}

func (d *discovery) schedulePublish() {
	if d.publishPlanned || d.listFreezes > 0 || len(d.changedEntries) == 0 {
		return
	}
	d.publishPlanned = true
	period := d.env.Spec.Discovery.Period.Std()
	periods := (d.env.now-d.phase)/period + 1
	d.env.schedule(max(d.env.now, d.phase+periods*period), d.publish)
}

// publish publishes the changed entries as the next revision, unless none has changed.
func (d *discovery) publish() {
	d.publishPlanned = false
	if d.listFreezes > 0 {
		return
	}
	slices.Sort(d.changedEntries)
	var changed []int
	for _, i := range d.changedEntries {
		e := &d.entries[i]
		e.inChanged = false
		if v := d.currentVersion(i); v != e.listed {
			e.listed, e.revision = v, d.revision+1
			changed = append(changed, i)
		}
	}
	if d.changedEntries = d.changedEntries[:0]; len(changed) == 0 {
		return
	}
	d.revision++
	for _, v := range d.views {
		v.published(changed)
	}
}

// currentVersion returns the version in which an entry is to be listed.
func (d *discovery) currentVersion(i int) version {
	e := &d.entries[i]
	v := e.known
	if e.unreachable || e.removed {
		v.state = endpointAbsent
	}
	if v.state != endpointUp && e.listed.incarnation > 0 && d.wronglyListed[e.worker] > 0 && d.entryOf[e.worker] == i {
		return version{endpointUp, e.listed.incarnation, e.listed.startedMs}
	}
	if v.state == endpointAbsent && e.listed.state == endpointAbsent {
		return e.listed // it stays unlisted, so that there is no change to publish
	}
	return v
}
