package dispatch

// Machine kinds: their speed, and how many slots their workers have. In the design a job is sent to a worker
// that is able to start it now; the greatest number of slots seen on a kind bounds what its workers can
// start.

import "math"

// minLateOverflows is how many attempts beyond the greatest number of slots seen on a machine kind must start
// late before that number bounds what its workers are sent.
const minLateOverflows = 2

// machineInfo holds the estimates for one machine kind, from all of its workers.
type machineInfo struct {
	logSpeed      float64 // log of the speed relative to a standard core
	samples       float64 // runs that the speed is estimated from
	maxSlots      float64 // the greatest number of slots seen free or running on a worker
	lateOverflows int     // late starts with at least maxSlots running
}

// observeSlots updates the greatest number of slots with the number that were free, or running, on a worker
// at once.
func (m *machineInfo) observeSlots(slots float64) {
	if slots > m.maxSlots {
		m.maxSlots = slots
		m.lateOverflows = 0
	}
}

// observeLateStart counts a late start at a worker if at least maxSlots slots were running there.
func (m *machineInfo) observeLateStart(running float64) {
	if running >= m.maxSlots {
		m.lateOverflows++
	}
}

// slotBound returns the greatest number of slots seen on a worker once minLateOverflows attempts beyond it
// have started late, and infinity until then. Without this bound a concurrency limit would grow past the
// worker's slots, as an attempt that is sent just when another one ends starts promptly.
func (m *machineInfo) slotBound() float64 {
	if m.lateOverflows >= minLateOverflows {
		return m.maxSlots
	}
	return math.Inf(1)
}
