package environment

import (
	"slices"
	"time"

	"valvecove/internal/testbed/simapi"
)

// This file holds the faults of discovery, each of which lasts until its undo is called.

// reportAcceptMode notifies the process driver of how the address with an index answers connection attempts.
func (d *discovery) reportAcceptMode(index int) {
	mode := simapi.AcceptAll
	if d.outages > 0 || index != d.address {
		mode = simapi.AcceptNone
	}
	d.env.inputs = append(d.env.inputs, simapi.Input{Message: simapi.DiscoveryAcceptModeChanged{Discovery: index, Mode: mode}})
}

// startOutage makes discovery refuse all calls, and ends the watches.
func (d *discovery) startOutage() (undo func()) {
	d.outages++
	d.endWatches(d.address)
	d.reportAcceptMode(d.address)
	return func() {
		d.outages--
		d.reportAcceptMode(d.address)
	}
}

// endWatches ends all calls and watches at the addresses up to index.
func (d *discovery) endWatches(index int) {
	for _, v := range d.views {
		if c := v.call; c != nil && c.address <= index && c.stage != watchSending {
			d.endWatch(c)
		}
	}
}

// delayNotices makes discovery notice events from now on later by the given time.
func (d *discovery) delayNotices(by time.Duration) (undo func()) {
	d.noticeDelay += by
	return func() { d.noticeDelay -= by }
}

// listWrongly makes discovery list the given workers as up even if they are down, draining or silent.
func (d *discovery) listWrongly(workers []int) (undo func()) {
	return d.countFaults(d.wronglyListed, workers, nil, nil)
}

// isolate partitions discovery from the given workers. After the notice delay for silence they are unlisted. Their events are
// held, and noticed after the partition ends.
func (d *discovery) isolate(workers []int) (undo func()) {
	return d.countFaults(d.isolationCounts, workers, func(n int) {
		e := d.entryOf[n]
		d.env.after(d.drawNoticeDelay(n, lifeSilent), func() { d.setReachable(e, false) })
	}, func(n int) {
		entry := d.entryOf[n]
		d.env.after(d.drawNoticeDelay(n, lifeStarted), func() {
			var held []lifeEventNotice
			d.heldEvents = slices.DeleteFunc(d.heldEvents, func(x lifeEventNotice) bool {
				own := d.entries[x.entry].worker == n && d.isolationCounts[n] == 0
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

// setReachable records whether discovery can reach the machine of an entry, unless that has changed again.
func (d *discovery) setReachable(i int, reachable bool) {
	if e := &d.entries[i]; reachable == (d.isolationCounts[e.worker] == 0) && e.unreachable == reachable {
		e.unreachable = !reachable
		d.markChanged(i)
	}
}

// countFaults adds one to the counts of the given workers until undo is called. first is called for each worker whose count
// rises from 0, last for each whose count falls to 0; both may be nil.
func (d *discovery) countFaults(counts []int, workers []int, first, last func(n int)) (undo func()) {
	addToAll := func(by, threshold int, notify func(n int)) {
		for _, n := range workers {
			if counts[n] += by; counts[n] == threshold && notify != nil {
				notify(n)
			}
			d.markChanged(d.entryOf[n])
		}
	}
	addToAll(1, 1, first)
	return func() { addToAll(-1, 0, last) }
}

// freezeList makes discovery publish nothing, so that it answers with the present list and revision.
func (d *discovery) freezeList() (undo func()) {
	d.listFreezes++
	return func() {
		d.listFreezes--
		d.schedulePublish()
	}
}

// slowDown divides the capacity of discovery by factor.
func (d *discovery) slowDown(factor float64) (undo func()) {
	d.slowFactors = append(d.slowFactors, factor)
	return func() {
		i := slices.Index(d.slowFactors, factor)
		d.slowFactors = slices.Delete(d.slowFactors, i, i+1)
	}
}

// changeAddress moves discovery to another address. The old one accepts no more calls, and its watches end after
// oldAddressGrace.
func (d *discovery) changeAddress() {
	d.address++
	old := d.address - 1
	d.reportAcceptMode(old)
	d.reportAcceptMode(d.address)
	d.env.after(oldAddressGrace, func() { d.endWatches(old) })
}
