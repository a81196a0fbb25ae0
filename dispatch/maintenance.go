package dispatch

import (
	"math"
	"time"
)

// Maintenance, at a fixed interval: the subscription is renewed, estimates age, and what follows from the
// fleet as a whole is brought up to date.

const maintenanceInterval = 250 * time.Millisecond

// maintain renews the subscription and what follows from the fleet as a whole.
func (d *Dispatcher) maintain() {
	d.setTimer(&d.maintenance, d.now+maintenanceInterval)
	if d.settings.MustSubscribe && d.subscription == unsubscribed && d.now >= d.subscribeAt {
		d.subscription = subscribing
		d.emit(Subscribe{})
	}
	d.reportLeases()
	d.expireLeases()
	d.decayEstimates()
	d.assignTickets()
	fleet := d.summarise()
	d.outliers.updatePanic(fleet.ready, fleet.ejected, fleet.broken)
	if fleet.ready > 0 {
		d.topSpeed = fleet.topSpeed
	}
	// Runs show only the quotient of size and speed: the two must not drift off together.
	if mean := fleet.speeds / float64(max(1, fleet.ready)); math.Abs(mean) > maxMeanLogSpeed {
		d.rescaleSpeeds(clamp(mean-clamp(mean, maxMeanLogSpeed), maxLogRescale))
	}
}

// decayEstimates lets what was learnt of sizes, connections, zones and speeds drift back for want of news,
// by one round of maintenance.
func (d *Dispatcher) decayEstimates() {
	for class := range d.overrunFactor {
		factor := d.overrunFactor[class] * (1 - maintenanceInterval.Seconds()/overrunDecayTime.Seconds())
		d.overrunFactor[class] = max(1, factor)
	}
	d.idleConnections.decay(d.now)
	for z := range d.fleet.zoneBusy {
		d.fleet.zoneBusy[z] *= 1 - maintenanceInterval.Seconds()/speedDecayTime.Seconds()
	}
	for _, w := range d.fleet.workers {
		was := w.speed.log
		if w.speed.observedAt == 0 {
			w.speed.log = w.machine.logSpeed
		} else if d.now-w.speed.observedAt > speedDecayDelay {
			distance := w.machine.logSpeed - w.speed.log
			w.speed.log += distance * maintenanceInterval.Seconds() / speedDecayTime.Seconds()
		}
		if w.speed.log != was {
			w.speed.factor = math.Exp(w.speed.log)
		}
	}
}

// fleetSummary is what maintenance goes by, of the ready workers.
type fleetSummary struct {
	ready, ejected, broken int
	speeds                 float64 // sum of their log speeds
	topSpeed               float64 // the greatest
}

func (d *Dispatcher) summarise() fleetSummary {
	fleet := fleetSummary{topSpeed: -maxLogFeature}
	for _, w := range d.fleet.workers {
		if !w.Ready {
			continue
		}
		fleet.ready++
		fleet.speeds += w.speed.log
		fleet.topSpeed = max(fleet.topSpeed, w.speed.log)
		if w.outlier.failing {
			fleet.broken++
		}
		if w.outlier.ejectionTime > 0 {
			fleet.ejected++
		}
	}
	return fleet
}
