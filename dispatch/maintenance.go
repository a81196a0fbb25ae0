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
	d.assignLots()
	fleet := d.summarise()
	d.mostEjected, d.allBroken = 2*fleet.ejected > fleet.ready, fleet.broken == fleet.ready
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
	d.decayIdleConnections()
	for z := range d.zoneBusy {
		d.zoneBusy[z] *= 1 - maintenanceInterval.Seconds()/speedDecayTime.Seconds()
	}
	for _, w := range d.workerList {
		was := w.logSpeed
		if w.learnedAt == 0 {
			w.logSpeed = w.machine.logSpeed
		} else if d.now-w.learnedAt > speedDecayDelay {
			distance := w.machine.logSpeed - w.logSpeed
			w.logSpeed += distance * maintenanceInterval.Seconds() / speedDecayTime.Seconds()
		}
		if w.logSpeed != was {
			w.speed = math.Exp(w.logSpeed)
		}
	}
}

// fleetSummary counts the ready workers.
type fleetSummary struct {
	ready, ejected, broken int
	logSpeeds              float64 // sum
	maxLogSpeed            float64
}

func (d *Dispatcher) summarise() fleetSummary {
	fleet := fleetSummary{maxLogSpeed: -maxLogFeature}
	for _, w := range d.workerList {
		if !w.Ready {
			continue
		}
		fleet.ready++
		fleet.logSpeeds += w.logSpeed
		fleet.maxLogSpeed = max(fleet.maxLogSpeed, w.logSpeed)
		if w.broken {
			fleet.broken++
		}
		if w.ejectionTime > 0 {
			fleet.ejected++
		}
	}
	return fleet
}
