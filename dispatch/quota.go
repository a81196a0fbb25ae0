package dispatch

// Tenant quotas, shared between dispatchers. A job over its tenant's quota is dispatched after the others.
// The design does not mention quotas.

import (
	"cmp"
	"time"
)

const (
	minQuotaBurst     = 8.0 // jobs of a tenant at once, however small this dispatcher's share of its quota
	quotaBurstSeconds = 2   // seconds of a tenant's quota that it may use at once
)

// tenantQuotas limits the rate of each tenant's jobs by a token bucket.
type tenantQuotas struct {
	jobsPerSecond []float64       // by tenant, over all dispatchers; 0: no limit
	buckets       []tokenBucket   // by tenant
	refilledAt    []time.Duration // by tenant
}

// newTenantQuotas returns quotas whose buckets hold the tokens of one second.
func newTenantQuotas(jobsPerSecond []float64) tenantQuotas {
	quotas := tenantQuotas{
		jobsPerSecond: jobsPerSecond,
		buckets:       make([]tokenBucket, len(jobsPerSecond)),
		refilledAt:    make([]time.Duration, len(jobsPerSecond)),
	}
	for tenant, rate := range jobsPerSecond {
		quotas.buckets[tenant].tokens = rate
	}
	return quotas
}

// charge charges a job to this dispatcher's share of a tenant's quota, and reports whether the job is within
// that share. An unknown tenant has no limit.
func (q *tenantQuotas) charge(tenant int, share float64, now time.Duration) (withinQuota bool) {
	isKnown := tenant >= 0 && tenant < len(q.buckets)
	if !isKnown || q.jobsPerSecond[tenant] <= 0 {
		return true
	}
	rate := q.jobsPerSecond[tenant] * share
	capacity := max(quotaBurstSeconds*rate, minQuotaBurst)
	bucket := &q.buckets[tenant]
	bucket.add(rate*(now-q.refilledAt[tenant]).Seconds(), capacity)
	q.refilledAt[tenant] = now
	if !bucket.has(1) {
		return false
	}
	bucket.take(1)
	return true
}

// chargeQuota lowers the priority of a job whose tenant is over this dispatcher's share of its quota.
func (d *Dispatcher) chargeQuota(job *jobInfo) {
	if !d.quotas.charge(job.Tenant, d.quotaShare(), d.now) {
		job.priority = priorityOverQuota
	}
}

// quotaShare returns this dispatcher's share of each tenant's quota.
func (d *Dispatcher) quotaShare() float64 {
	if d.latestReplicas.QuotaShare > 0 {
		return d.latestReplicas.QuotaShare
	}
	return 1 / float64(max(1, cmp.Or(d.latestReplicas.Replicas, d.settings.Replicas)))
}
