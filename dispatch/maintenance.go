package dispatch

import (
	"math"
	"time"
)

// Maintenance runs at a fixed interval: it requests the list of workers if that is due, reports and expires
// leases, decays estimates, and updates statistics of the whole fleet. The design does not mention it.

const maintenanceInterval = 250 * time.Millisecond

// maintain runs one round of maintenance and sets the timer for the next.
func (d *Dispatcher) maintain() {
	d.setTimer(&d.maintenance, d.now+maintenanceInterval)
	d.requestWorkers()
	d.leases.maintain(d.now)
	d.decayEstimates()
	d.slowStart.assignTickets(&d.fleet, d.now)
	fleet := d.fleet.summarise()
	d.outliers.updatePanic(fleet.ready, fleet.ejected, fleet.failing)
	if fleet.ready > 0 {
		d.workload.maxLogSpeed = fleet.maxLogSpeed
	}
	// Run times show only the quotient of size and speed: keep the two from drifting together.
	if mean := fleet.logSpeeds / float64(max(1, fleet.ready)); math.Abs(mean) > maxMeanLogSpeed {
		d.rescaleSpeeds(clamp(mean-clamp(mean, maxMeanLogSpeed), maxLogRescale))
	}
}

// decayEstimates moves the estimates of overruns, connections, zones and speeds towards their defaults by
// the decay of one interval.
func (d *Dispatcher) decayEstimates() {
	d.workload.decayOverruns(maintenanceInterval)
	d.idleConnections.decay(d.now)
	d.fleet.decayBusy(maintenanceInterval)
	for _, w := range d.fleet.workers {
		w.speed.decay(w.machine.logSpeed, maintenanceInterval, d.now)
	}
}
