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
	// An answer within LatencyObjective + ObjectiveStretch x the job's run time on a standard core, counted
	// from the job's first arrival, has its full utility.
	LatencyObjective time.Duration
	ObjectiveStretch float64
	// ClientTimeout is how long a client waits in total, over all its retries.
	ClientTimeout time.Duration
	Idempotency   Idempotency
	// In a class that is IdempotentWithKey, the workers of DeduplicationScope drop a repeat with the same key
	// for DeduplicationWindow after an attempt.
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration
	// LateValue is the fraction of the utility, from 0 to 1, that a late answer has.
	LateValue float64
	// PriorityWeight is the utility of an answer, relative to other classes.
	PriorityWeight float64
	// Kinds and Zones are the machine kinds and zones of the workers that a job may be sent to; nil: any.
	Kinds []int
	Zones []int
}

// Settings configure a dispatcher. The dispatcher keeps the slices: the caller must not change them.
type Settings struct {
	// Replicas is the number of dispatchers that share the workers, this one included; ReplicaIndex is its
	// index among them, from 0.
	Replicas     int
	ReplicaIndex int
	// Zone is the dispatcher's own zone.
	Zone int
	// ZoneCount is the number of zones that workers may be in; 0: unknown.
	ZoneCount int
	// PeerMessages allows SendPeerMessage. PeerCost is the fraction of the total utility that is lost if
	// messages take 256 bytes for each job. PeerBudget is the fraction that messages may cost; 0:
	// defaultPeerBudget.
	PeerMessages bool
	PeerCost     float64
	PeerBudget   float64
	Classes      []Class
	// TenantQuota is the quota of each tenant in jobs per second, over all dispatchers; 0: no limit.
	TenantQuota []float64
	// MustSubscribe makes the dispatcher request the list of workers by Subscribe. Otherwise the caller
	// provides it without a request.
	MustSubscribe bool
	// AttemptLimit is the maximum number of attempts of a job; less than 1 counts as 1.
	AttemptLimit int
	// Hedging allows a second attempt of a job while one is in flight, Cancellation allows the action Cancel,
	// and HealthChecks the action HealthCheck.
	Hedging      bool
	Cancellation bool
	HealthChecks bool
	// StartNotifications says that workers notify of starts, so that there are Started events. Otherwise an
	// attempt counts as started when it is sent.
	StartNotifications bool
	// ProgressInterval is the time between two progress notifications of a running attempt; 0: none are sent.
	ProgressInterval time.Duration
	// MaxRetryAfter bounds Reject.RetryAfter; 0: clients ignore it.
	MaxRetryAfter time.Duration
	// ReportFields are the meanings of the numbers of a load report, in their order.
	ReportFields []ReportField
	// The costs are fractions of the total utility: the losses if there is one health check for each job, if
	// each job is sent to another zone once, and if each job opens a connection.
	HealthCheckCost float64
	CrossZoneCost   float64
	HandshakeCost   float64
	// TailShare is the fraction of the total utility that counts in full only while the fraction of jobs that
	// miss their objectives is at most MissBudget.
	TailShare  float64
	MissBudget float64
	// ConnectTimeout bounds the time that a connection takes to open.
	ConnectTimeout time.Duration
	// ConnIdleTimeout is the time after which the caller closes an idle connection; 0: never.
	ConnIdleTimeout time.Duration
	// PollInterval is the longest interval between two requests for the list of workers. After a failure the
	// dispatcher repeats Subscribe with a backoff of a fraction of it.
	PollInterval time.Duration
	// WarmUp is how long a worker warms up after its start. In that time its capacity grows from the fraction
	// WarmUpCapacity of its full capacity to all of it.
	WarmUp         time.Duration
	WarmUpCapacity float64
	// A warming worker is overloaded if it is sent OverloadFactor times its present capacity for
	// OverloadWindow.
	OverloadFactor float64
	OverloadWindow time.Duration
}
