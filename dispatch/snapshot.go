package dispatch

import (
	"errors"
	"time"
)

// A snapshot holds the whole state exactly: given the same events, a restored dispatcher returns the same
// actions. The exception is leases: a restored dispatcher has none, and requests them again.
// SnapshotWithLeases stores them too.
//
// Three things are stored only in part, as no action depends on the rest. Jobs that are closed with nothing
// in flight are stored only as entries of heaps. A timer of an attempt that has ended is stored with its time
// alone. Of the work by key only that of the open jobs' keys is stored, with the number of the other keys:
// see RecallKeyWork.
//
// Each type has a method serialize that both writes and reads its part, depending on the codec.
// Dispatcher.serialize determines the order of the parts, which is part of the format.

// ErrInvalidSnapshot is the error of Restore for bytes that are not a snapshot for the settings.
var ErrInvalidSnapshot = errors.New("not a snapshot for these settings")

// Snapshot appends the state, without leases, to b. It must not be called during a step.
func (d *Dispatcher) Snapshot(b []byte) []byte {
	return d.write(&codec{b: b, writing: true})
}

// SnapshotWithLeases is Snapshot with leases, for RestoreWithLeases.
func (d *Dispatcher) SnapshotWithLeases(b []byte) []byte {
	return d.write(&codec{b: b, writing: true, withLeases: true})
}

func (d *Dispatcher) write(codec *codec) []byte {
	d.serialize(codec)
	return codec.b
}

// Restore returns a dispatcher with the state of a snapshot that was taken by Snapshot. The settings may
// differ from those of the original, except for the numbers of classes and tenants. Any error is
// ErrInvalidSnapshot.
func Restore(settings Settings, b []byte) (*Dispatcher, error) { return RestoreOnClock(settings, b, 0) }

// RestoreOnClock is Restore for a process whose clock is ahead, by clockAhead, of that of the process that
// took the snapshot: all points in time are shifted by it. It is negative for a clock that is behind.
func RestoreOnClock(settings Settings, b []byte, clockAhead time.Duration) (*Dispatcher, error) {
	d, err := read(settings, &codec{b: b, clockAhead: clockAhead})
	if err == nil {
		d.leases.resume(d.now, d.fleet.workers, d.jobs)
	}
	return d, err
}

// RestoreWithLeases is Restore for a snapshot that was taken by SnapshotWithLeases.
func RestoreWithLeases(settings Settings, b []byte) (*Dispatcher, error) {
	return read(settings, &codec{b: b, withLeases: true})
}

func read(settings Settings, c *codec) (d *Dispatcher, err error) {
	defer func() {
		if recover() != nil { // malformed bytes must not end the process
			d, err = nil, ErrInvalidSnapshot
		}
	}()
	d = New(settings, 0)
	d.serialize(c)
	if c.invalid || len(c.b) > 0 {
		return nil, ErrInvalidSnapshot
	}
	return d, nil
}

// serialize writes or reads the whole state.
func (d *Dispatcher) serialize(codec *codec) {
	codec.clockReading(&d.now)
	codec.now = d.now
	codec.random(d.source)
	d.serializeScalars(codec)
	d.serializeTables(codec)
	d.cordons.serialize(codec)
	d.serializeWorkersAndJobs(codec)
	d.workload.serializeKeys(codec)
	d.idleConnections.outcomes.serialize(codec)
	d.serializeIndex(codec)
	d.queue.serialize(codec)
	d.serializeTimers(codec)
	d.starts.unstarted.serialize(codec)
	d.reservation.serialize(codec)
	if codec.withLeases {
		d.leases.serialize(codec)
	}
}

// serializeScalars writes or reads the scalar values of all types.
func (d *Dispatcher) serializeScalars(codec *codec) {
	codec.instant(
		&d.slowStart.firstStepAt, &d.timers.callerAt, &d.outliers.nextProbeAt, &d.subscription.retryAt,
		&d.idleConnections.maxIdleSetAt, &d.stalls.endedAt, &d.starts.lastSentAt,
	)
	codec.duration(
		&d.starts.minDelay, &d.starts.meanLateDelay, &d.subscription.backoff,
		&d.idleConnections.maxIdle, &d.checks.minDelay, &d.stalls.length,
	)
	codec.float(
		&d.workload.longWorkThreshold, &d.workload.meanShortSojourn, &d.arrivals.meanWeight,
		&d.arrivals.meanCost, &d.arrivals.count, &d.workload.meanAbsoluteLogError, &d.workload.maxLogSpeed,
		&d.starts.usedSlots,
		&d.hedges.tokens, &d.checks.tokens.tokens, &d.objectives.exploration.tokens, &d.starts.lateCount,
	)
	codec.flags(&d.outliers.silencePanic, &d.outliers.failurePanic)
	d.subscription.state.serialize(codec)
	codec.int(&d.latestReplicas.Replicas)
	codec.int(&d.latestReplicas.ReplicaIndex)
	codec.float(&d.latestReplicas.QuotaShare)
}

// serializeTables writes or reads the values by class, tenant, machine kind and zone.
func (d *Dispatcher) serializeTables(codec *codec) {
	fixedList(codec, d.workload.sizeCorrection, func(logs *[slotBuckets]float64) {
		codec.float(&logs[0], &logs[1], &logs[2], &logs[3])
	})
	for _, table := range [][]float64{d.workload.overrunRatio, d.workload.weights} {
		fixedList(codec, table, func(value *float64) { codec.float(value) })
	}
	fixedList(codec, d.quotas.buckets, func(bucket *tokenBucket) { codec.float(&bucket.tokens) })
	fixedList(codec, d.objectives.firstTryTimeouts, func(timeout *time.Duration) { codec.duration(timeout) })
	fixedList(codec, d.quotas.refilledAt, func(at *time.Duration) { codec.instant(at) })
	sortedMap(codec, d.workload.kinds, codec.machine)
	sortedMap(codec, d.fleet.zoneBusy, func(zone *int, chance *float64) {
		codec.int(zone)
		codec.float(chance)
	})
}

// serialize writes or reads a state as two flags, of which at most one is set.
func (s *subscriptionState) serialize(codec *codec) {
	isRequested := *s == subscribing
	isAnswered := *s == subscribed
	codec.flags(&isRequested, &isAnswered)
	switch {
	case isAnswered:
		*s = subscribed
	case isRequested:
		*s = subscribing
	default:
		*s = unsubscribed
	}
}

// serialize writes or reads which workers are cordoned.
func (c *cordons) serialize(codec *codec) {
	sortedMap(codec, c.since, func(worker *uint64, since *time.Duration) {
		codec.uint(worker)
		codec.clockReading(since)
	})
	codec.flags(&c.coverFleet)
}

// serialize writes or reads the outcomes on idle connections.
func (h *idleHistory) serialize(codec *codec) {
	fixedList(codec, h[:], func(outcomes *idleOutcomes) {
		codec.float(&outcomes.succeeded, &outcomes.failed)
	})
}

// serializeKeys writes or reads the work by key, for the keys of the open jobs.
func (m *workloadModel) serializeKeys(codec *codec) {
	known := map[uint64]float64{}
	for _, job := range codec.jobs {
		if work, ok := m.keyWork[job.Key]; ok {
			known[job.Key] = work
		}
	}
	omitted := m.keysOmitted + len(m.keyWork) - len(known)
	codec.int(&omitted)
	sortedMap(codec, known, func(key *uint64, work *float64) {
		codec.uint(key)
		codec.float(work)
	})
	if !codec.writing {
		m.keyWork = known
		m.keysOmitted = omitted
	}
}
