package dispatch

import "cmp"

// Quotas of tenants, shared between dispatchers. The design is silent on them: a job over quota leaves
// after the others.

const (
	minQuotaBurst     = 8.0 // jobs of a tenant at once, however small our share of its quota
	quotaBurstSeconds = 2   // seconds of a tenant's quota, at once
)

// chargeQuota demotes a job whose tenant is beyond this dispatcher's share of its quota.
func (d *Dispatcher) chargeQuota(job *jobInfo) {
	isKnownTenant := job.Tenant >= 0 && job.Tenant < len(d.quotaTokens)
	if !isKnownTenant || d.settings.TenantQuota[job.Tenant] <= 0 {
		return
	}
	rate := d.settings.TenantQuota[job.Tenant] * d.quotaShare()
	burst := max(quotaBurstSeconds*rate, minQuotaBurst)
	refill := rate * (d.now - d.quotaRefilledAt[job.Tenant]).Seconds()
	tokens := min(d.quotaTokens[job.Tenant]+refill, burst)
	d.quotaRefilledAt[job.Tenant] = d.now
	if tokens < 1 {
		job.priority = levelOverQuota
	} else {
		tokens--
	}
	d.quotaTokens[job.Tenant] = tokens
}

// quotaShare is this dispatcher's of each tenant's quota.
func (d *Dispatcher) quotaShare() float64 {
	if d.sharing.QuotaShare > 0 {
		return d.sharing.QuotaShare
	}
	return 1 / float64(max(1, cmp.Or(d.sharing.Replicas, d.settings.Replicas)))
}
