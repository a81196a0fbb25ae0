package dispatch

import (
	"math"
	"time"
)

// Maintenance, at a fixed interval: the list of workers is requested again where it is due, leases are
// reported and expire, estimates decay, and figures of the whole fleet are updated. The design does not
// mention it.

const maintenanceInterval = 250 * time.Millisecond

// maintain does what is due at each interval.
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
	// Runs show only the quotient of size and speed: the two must not drift together.
	if mean := fleet.logSpeeds / float64(max(1, fleet.ready)); math.Abs(mean) > maxMeanLogSpeed {
		d.rescaleSpeeds(clamp(mean-clamp(mean, maxMeanLogSpeed), maxLogRescale))
	}
}

// decayEstimates moves the estimates of overruns, connections, zones and speeds towards their defaults, by
// one interval.
func (d *Dispatcher) decayEstimates() {
	d.workload.decayOverruns(maintenanceInterval)
	d.idleConnections.decay(d.now)
	d.fleet.decayBusy(maintenanceInterval)
	for _, w := range d.fleet.workers {
		w.speed.decay(w.machine.logSpeed, maintenanceInterval, d.now)
	}
}
