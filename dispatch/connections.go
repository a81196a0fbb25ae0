package dispatch

// Idle connections: how long a connection may have been idle and still be reused for an attempt. If the
// connection was dropped without notice, the attempt is lost and counts as possibly executed. The design does
// not cover this.

import (
	"math/bits"
	"time"
)

const (
	idleBuckets              = 20               // of idle times
	idleOutcomeDecayTime     = 10 * time.Second // time constant of the decay of counted outcomes
	maxIdleDoublingInterval  = 10 * time.Second // the bound on idle times doubles after each interval
	minIdleFailures          = 1.5              // more than these set a bound: two recent ones, less decay
	nonIdempotentIdleDivisor = 4                // divides the bound for classes that are not Idempotent
)

// connectionHistory bounds the idle time of connections from the outcomes of attempts on idle connections.
type connectionHistory struct {
	maxIdle      time.Duration // connections idle for longer are closed before use; 0: no bound
	maxIdleSetAt time.Duration
	outcomes     idleHistory
}

// connectionState describes this dispatcher's connections to a worker.
type connectionState struct {
	open       int           // connections, idle or in use
	lastUsedAt time.Duration // the latest end of an attempt
}

// idleHistory counts the outcomes of attempts by how long their connections had been idle. Bucket n covers
// idle times from 2^n to 2^(n+1) milliseconds.
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

// sumFrom returns the sum over a bucket and all buckets of longer idle times.
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

// observe counts the outcome of an attempt on a connection that had been idle. An idle time of 0 means a new
// connection, which is not counted. On a failure, the bound becomes the longest idle time from which on there
// were at least two recent failures, and more failures than successes. Then the connections are at fault and
// not the workers: if only one rack of workers had become silent, attempts on idle connections to the others
// would still succeed.
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

// decay reduces the counts by the decay of one maintenance interval, and doubles the bound when that is due.
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

// prepare determines the connection of a new attempt, which counts as in flight already: an idle one, or a
// new one if none is idle. Idle connections close by themselves after idleTimeout; 0: never. closeIdle
// reports that the idle ones have been idle for too long: the caller must close them first, and the attempt
// opens a new one.
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
