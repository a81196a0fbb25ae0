package dispatch

// Idle connections: for how long a connection may have been idle to be reused for an attempt. A
// connection that was dropped unnoticed loses the attempt, which was then possibly executed. The design
// does not cover this.

import (
	"math/bits"
	"time"
)

const (
	idleBuckets              = 20               // of idle times
	idleOutcomeDecayTime     = 10 * time.Second // time constant of the decay of counted outcomes
	maxIdleDoublingInterval  = 10 * time.Second // a bound on idle times is doubled each time this has passed
	minIdleFailures          = 1.5              // that set a bound: two recent ones, less their decay
	nonIdempotentIdleDivisor = 4                // of the bound, for jobs that are not idempotent
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

// idleHistory counts the outcomes of attempts by how long their connections had been idle. Bucket n is
// from 2^n to 2^(n+1) milliseconds.
type idleHistory [idleBuckets]idleOutcomes

// idleOutcomes are decaying counts.
type idleOutcomes struct{ succeeded, failed float64 }

func (o *idleOutcomes) add(success bool) {
	if success {
		o.succeeded++
	} else {
		o.failed++
	}
}

// sumFrom returns the sum over a bucket and all of longer idle times.
func (h *idleHistory) sumFrom(bucket int) idleOutcomes {
	var sum idleOutcomes
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

// idleBucket returns the bucket of an idle time.
func idleBucket(idle time.Duration) int {
	return min(max(bits.Len64(uint64(idle/time.Millisecond))-1, 0), idleBuckets-1)
}

// minIdleOf returns the least idle time of a bucket.
func minIdleOf(bucket int) time.Duration { return time.Millisecond << bucket }

// observe counts the outcome of an attempt on a connection that had been idle; idle 0 is a new
// connection, and not counted. A failure bounds idle times by the longest one from which on there were
// at least two recent failures, and more than successes: then the connections are at fault and not the
// workers, as the workers of one silent rack have only a part of the idle connections.
func (c *connectionHistory) observe(idle time.Duration, success bool, now time.Duration) {
	if idle == 0 {
		return
	}
	bucket := idleBucket(idle)
	c.outcomes[bucket].add(success)
	if success {
		return
	}
	for ; bucket >= 0; bucket-- {
		sum := c.outcomes.sumFrom(bucket)
		if sum.failed > minIdleFailures && sum.failed > sum.succeeded {
			c.maxIdle = minIdleOf(bucket)
			c.maxIdleSetAt = now
			return
		}
	}
}

// decay reduces the counts by one maintenance interval, and doubles the bound when it is due.
func (c *connectionHistory) decay(now time.Duration) {
	c.outcomes.decay(1 - maintenanceInterval.Seconds()/idleOutcomeDecayTime.Seconds())
	if c.maxIdle > 0 && now-c.maxIdleSetAt > maxIdleDoublingInterval {
		c.maxIdle *= 2
		c.maxIdleSetAt = now
	}
}

// allows reports whether a connection that has been idle for some time may be used for a job of a class.
func (c *connectionHistory) allows(idle time.Duration, class *Class) bool {
	maxIdle := c.maxIdle
	if class.Idempotency != Idempotent {
		maxIdle /= nonIdempotentIdleDivisor
	}
	return c.maxIdle <= 0 || idle <= maxIdle
}

// prepare determines the connection of a new attempt, which counts as in flight already: a new one if
// none is idle, else an idle one. Idle connections close by themselves after idleTimeout; 0: never.
// closeIdle reports that they have been idle for too long: they have to be closed first, and a new one
// is opened.
func (c *connectionHistory) prepare(
	attempt *attemptInfo, idleTimeout, now time.Duration,
) (closeIdle bool) {
	inFlight := len(attempt.worker.inFlight)
	connections := &attempt.worker.connections
	idle := now - connections.lastUsedAt
	if idleTimeout > 0 && idle >= idleTimeout {
		connections.open = min(connections.open, inFlight-1)
	}
	if connections.open < inFlight {
		connections.open = inFlight
		return false
	}
	if !c.allows(idle, attempt.job.class) {
		connections.open = inFlight
		return true
	}
	attempt.connectionIdle = idle
	return false
}
