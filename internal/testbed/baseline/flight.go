package baseline

import (
	"time"

	"valvecove/internal/testbed/environment"
)

// sharedFlight is the state that all schedulers of a run share: the attempts that no worker has started, which the workers'
// state does not show yet, and the use of tenants' quotas.
type sharedFlight struct {
	workers   []workerFlight
	quota     []float64 // by tenant: jobs left of its quota
	meteredAt time.Duration
}

// quotaBurstSeconds is the time for which a tenant's unused quota accumulates, at most.
const quotaBurstSeconds = 2.0

// isOverQuota reports whether a job that arrives now exceeds its tenant's quota, and counts it if not.
func (s *sharedFlight) isOverQuota(b *base, job *job) bool {
	quotas := b.settings.TenantQuota
	if job.Tenant < 0 || job.Tenant >= len(quotas) || quotas[job.Tenant] <= 0 {
		return false
	}
	for len(s.quota) < len(quotas) {
		s.quota = append(s.quota, quotaBurstSeconds*quotas[len(s.quota)])
	}
	for tenant, quota := range quotas {
		s.quota[tenant] = min(s.quota[tenant]+quota*(b.now-s.meteredAt).Seconds(), quotaBurstSeconds*quota)
	}
	s.meteredAt = b.now
	if s.quota[job.Tenant] < 1 {
		return true
	}
	s.quota[job.Tenant]--
	return false
}

// workerFlight is the work that was sent to a worker and that its state may not show yet.
type workerFlight struct {
	slots      float64       // of attempts that have not started
	since      time.Duration // when the last one was sent
	warmUpWork []workSample  // sent while the worker is warming up, within the overload window
}

// workSample is work that was sent at an instant.
type workSample struct {
	at   time.Duration
	work float64 // seconds, times slots
}

// workerView is the omniscient policy's state of a worker.
type workerView struct {
	index        int    // the environment's number; -1: none
	inspectedIn  uint64 // the scan in which state was read
	state        environment.View
	freeSlots    float64 // slots in which an attempt can start at once
	pendingConns int     // attempts that have not started
	connected    bool    // an open connection is expected
}
