package dispatch

// Kinds of machines: their speed and the slots of their workers. By the design a job is sent to a
// worker that is able to start it now; the slots seen on a kind bound what its workers can start.

import "math"

// minLateOverflows is how many attempts beyond the greatest number of slots seen on a kind of machine must
// start late before that number bounds what its workers are sent.
const minLateOverflows = 2

// machineInfo is what is known of one kind of machine, from all of its workers.
type machineInfo struct {
	logSpeed      float64 // against a standard core
	samples       float64 // runs that the speed is estimated from
	maxSlots      float64 // the greatest number of slots seen free or running on a worker
	lateOverflows int     // late starts with at least maxSlots running
}

// observeSlots updates the greatest number of slots by the slots of a worker that were free or running
// at once.
func (m *machineInfo) observeSlots(slots float64) {
	if slots > m.maxSlots {
		m.maxSlots = slots
		m.lateOverflows = 0
	}
}

// observeLateStart counts a late start at a worker by the slots that were running there.
func (m *machineInfo) observeLateStart(running float64) {
	if running >= m.maxSlots {
		m.lateOverflows++
	}
}

// slotBound returns the greatest number of slots seen on a worker, once a few attempts beyond it have
// started late, and infinity until then. A concurrency limit alone would grow past it: an attempt sent
// just as another one ends starts promptly.
func (m *machineInfo) slotBound() float64 {
	if m.lateOverflows >= minLateOverflows {
		return m.maxSlots
	}
	return math.Inf(1)
}
