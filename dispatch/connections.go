package dispatch

// Idle connections: how long one may have been idle to be trusted with an attempt. The design is silent
// on it; what is lost on a connection that was dropped unseen was possibly executed.

import (
	"math/bits"
	"time"
)

const (
	idleBuckets    = 20               // of idle times
	idleMemory     = 10 * time.Second // outcomes on idle connections are forgotten after this
	maxIdleSpan    = 10 * time.Second // after this a bound on idle times is doubled
	minIdleFailing = 1.5              // recent failures: two, less what is forgotten of them
	careDivisor    = 4                // jobs not safe to repeat trust connections for this part of the time
)

// connectionHistory bounds the idle time of connections by how attempts on idle connections have fared.
type connectionHistory struct {
	maxIdle      time.Duration // connections idle for longer are closed before use; 0: no bound
	maxIdleSetAt time.Duration
	outcomes     idleHistory
}

// connectionState is what is known of the connections to a worker.
type connectionState struct {
	open       int           // connections of this dispatcher, idle or in use
	lastUsedAt time.Duration // the latest end of an attempt
}

// idleHistory counts how attempts fared by how long their connections had been idle: bucket n is from 2^n
// to 2^(n+1) milliseconds.
type idleHistory [idleBuckets]outcomeCounts

type outcomeCounts struct{ succeeded, failed float64 }

func (c *outcomeCounts) add(success bool) {
	if success {
		c.succeeded++
	} else {
		c.failed++
	}
}

// sumFrom is the sum over a bucket and all that are longer.
func (h *idleHistory) sumFrom(bucket int) outcomeCounts {
	var sum outcomeCounts
	for _, counts := range h[bucket:] {
		sum.succeeded += counts.succeeded
		sum.failed += counts.failed
	}
	return sum
}

func (h *idleHistory) decay(factor float64) {
	for i := range h {
		h[i].succeeded *= factor
		h[i].failed *= factor
	}
}

// idleBucket is the bucket of an idle time, and minIdleOf the least that a bucket stands for.
func idleBucket(idle time.Duration) int {
	return min(max(bits.Len64(uint64(idle/time.Millisecond))-1, 0), idleBuckets-1)
}

func minIdleOf(bucket int) time.Duration { return time.Millisecond << bucket }

// observeIdleConnection takes in how an attempt on an idle connection went. Where of connections idle for
// so long or longer two have failed of late, and more than succeeded, the connections are at fault and not
// the workers: a rack that is silent has but its part of them.
func (d *Dispatcher) observeIdleConnection(a *attemptInfo, success bool) {
	if a.connIdle == 0 {
		return
	}
	bucket := idleBucket(a.connIdle)
	d.idleConnections.outcomes[bucket].add(success)
	if success {
		return
	}
	for ; bucket >= 0; bucket-- {
		sum := d.idleConnections.outcomes.sumFrom(bucket)
		if sum.failed > minIdleFailing && sum.failed > sum.succeeded {
			d.idleConnections.maxIdle, d.idleConnections.maxIdleSetAt = minIdleOf(bucket), d.now
			return
		}
	}
}

// decayIdleConnections forgets by and by what was observed of them.
func (d *Dispatcher) decayIdleConnections() {
	d.idleConnections.outcomes.decay(1 - maintenanceInterval.Seconds()/idleMemory.Seconds())
	if d.idleConnections.maxIdle > 0 && d.now-d.idleConnections.maxIdleSetAt > maxIdleSpan {
		d.idleConnections.maxIdle, d.idleConnections.maxIdleSetAt = 2*d.idleConnections.maxIdle, d.now
	}
}

// guardConnection guards against connections dropped unseen while idle: what is sent on one is lost. Those
// idle for longer than has lately gone well are closed first.
func (d *Dispatcher) guardConnection(attempt *attemptInfo) {
	worker, maxIdle, idle := attempt.worker, d.idleConnections.maxIdle, d.now-attempt.worker.connections.lastUsedAt
	if attempt.job.class.Idempotency != Idempotent {
		maxIdle /= careDivisor
	}
	if d.settings.ConnIdleTimeout > 0 && idle >= d.settings.ConnIdleTimeout {
		worker.connections.open = min(worker.connections.open, len(worker.inFlight)-1)
	}
	if worker.connections.open < len(worker.inFlight) { // a new one is opened
		worker.connections.open = len(worker.inFlight)
		return
	}
	attempt.connIdle = idle
	if d.idleConnections.maxIdle > 0 && idle > maxIdle {
		d.emit(CloseIdleConnections{Worker: worker.ID})
		attempt.connIdle, worker.connections.open = 0, len(worker.inFlight)
	}
}
