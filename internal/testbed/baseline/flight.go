package baseline

import (
	"time"

	"valvecove/internal/testbed/environment"
)

// sharedFlight is the state that the omniscient policies of all schedulers of a run share: the attempts that have not
// started, which the state of the workers does not show yet, and what is left of the tenants' quotas.
type sharedFlight struct {
	workers   []workerFlight
	quota     []float64 // by tenant: how many jobs its quota still allows
	meteredAt time.Duration
}

// quotaBurstSeconds is the maximum time for which a tenant's unused quota accumulates.
const quotaBurstSeconds = 2.0

// isOverQuota reports whether a job that arrives now exceeds its tenant's quota. If not, it charges the job to the quota.
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

// workerFlight is the work that was sent to a worker but that the worker's state may not show yet.
type workerFlight struct {
	slots      float64       // of attempts that have not started
	since      time.Duration // when the last of them was sent
	warmUpWork []workSample  // sent while the worker is warming up, within the overload window
}

// workSample is the work of one attempt and when it was sent.
type workSample struct {
	at   time.Duration
	work float64 // seconds, times slots
}

// workerView is the state that the omniscient policy keeps of a worker.
type workerView struct {
	index        int    // the environment's number; -1: none
	inspectedIn  uint64 // ID of the scan in which state was read
	state        environment.View
	freeSlots    float64 // slots on which an attempt can start at once
	pendingConns int     // attempts that have not started
	connected    bool    // there is probably an open connection
}
