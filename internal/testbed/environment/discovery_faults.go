package environment

import (
	"slices"
	"time"

	"valvecove/internal/testbed/simapi"
)

// This file holds the faults of discovery, each of which holds until it is undone.

// reportAcceptMode lets a process driver know of how the address at an index takes connections.
func (d *discovery) reportAcceptMode(index int) {
	mode := simapi.AcceptAll
	if d.outages > 0 || index != d.address {
		mode = simapi.AcceptNone
	}
	d.env.inputs = append(d.env.inputs, simapi.Input{Message: simapi.DiscoveryAcceptModeChanged{Discovery: index, Mode: mode}})
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

// setReachable records that it can reach an entry's machine or not, if that is still so.
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
