package dispatch

import "time"

// Idempotency says what executing a job twice does.
type Idempotency int

// The idempotency of a class of jobs.
const (
	NonIdempotent     Idempotency = iota // must never be executed twice
	IdempotentWithKey                    // repeats are dropped by a group of workers for a limited time
	Idempotent                           // may be repeated freely
)

// DeduplicationScope says which workers share their records of executed keys.
type DeduplicationScope int

// The scopes of deduplication.
const (
	ScopeCell DeduplicationScope = iota
	ScopeZone
	ScopeAll
)

// ReportField is the meaning of one number of a load report.
type ReportField int

// The fields of a load report that decisions use; others are ReportFieldOther.
const (
	ReportFieldOther ReportField = iota
	ReportFieldFreeSlots
)

// Class describes one class of jobs.
type Class struct {
	// LatencyObjective and ObjectiveStretch: an answer within LatencyObjective + ObjectiveStretch x the job's
	// own work has its full utility.
	LatencyObjective time.Duration
	ObjectiveStretch float64
	// ClientTimeout is how long a client waits in total, over all its retries.
	ClientTimeout time.Duration
	Idempotency   Idempotency
	// DeduplicationScope and DeduplicationWindow: where, and for how long, a repeat with the same key is
	// dropped. They are for classes that are IdempotentWithKey.
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration
	// LateValue is the fraction of the utility, from 0 to 1, that a late answer has.
	LateValue float64
	// PriorityWeight is the utility of an answer, relative to other classes.
	PriorityWeight float64
	// Kinds and Zones are the only machine kinds and zones that a job may go to; nil: any.
	Kinds []int
	Zones []int
}

// Settings configure a dispatcher. It keeps the slices, which must not change afterwards.
type Settings struct {
	// Replicas is the number of dispatchers that share the workers, this one included; ReplicaIndex is its
	// index among them, from 0.
	Replicas     int
	ReplicaIndex int
	Zone         int
	// ZoneCount is how many zones workers may be in; 0: unknown.
	ZoneCount int
	// PeerMessages allows SendPeerMessage. PeerCost is the fraction of the total utility that is lost by 256
	// bytes of messages for each job, and PeerBudget the fraction that messages may cost; 0: the default.
	PeerMessages bool
	PeerCost     float64
	PeerBudget   float64
	Classes      []Class
	// TenantQuota is the quota of each tenant in jobs per second, over all dispatchers; 0: no limit.
	TenantQuota []float64
	// MustSubscribe: the list of workers has to be requested, by Subscribe.
	MustSubscribe bool
	// AttemptLimit bounds the attempts of a job; less than 1 counts as 1.
	AttemptLimit int
	// Hedging allows a second attempt while one is in flight, Cancellation allows Cancel, HealthChecks
	// HealthCheck.
	Hedging      bool
	Cancellation bool
	HealthChecks bool
	// StartNotifications: workers send start notifications. Otherwise an attempt counts as started when it
	// is sent.
	StartNotifications bool
	// ProgressInterval is how often workers notify of progress; 0: never.
	ProgressInterval time.Duration
	// MaxRetryAfter bounds Reject.RetryAfter; 0: clients ignore it.
	MaxRetryAfter time.Duration
	// ReportFields are the meanings of the numbers of a load report, in its order.
	ReportFields []ReportField
	// The costs are the fractions of the total utility that are lost by one health check for each job, when
	// each job crosses zones once, and when each opens a connection.
	HealthCheckCost float64
	CrossZoneCost   float64
	HandshakeCost   float64
	// TailShare is the fraction of the total utility that counts in full only while the fraction of misses is
	// at most MissBudget.
	TailShare  float64
	MissBudget float64
	// ConnectTimeout bounds the time that a connection takes to open.
	ConnectTimeout time.Duration
	// ConnIdleTimeout is how long a connection may be idle before it closes; 0: without limit.
	ConnIdleTimeout time.Duration
	// PollInterval is the longest interval between two requests for the list. The backoff of requests follows
	// from it.
	PollInterval time.Duration
	// WarmUp is how long a worker warms up after its start. Meanwhile its capacity grows from the fraction
	// WarmUpCapacity to all of it.
	WarmUp         time.Duration
	WarmUpCapacity float64
	// OverloadFactor is the multiple of its present capacity that overloads a warming worker if it lasts for
	// OverloadWindow.
	OverloadFactor float64
	OverloadWindow time.Duration
}
