package platform

import (
	"cmp"
	"slices"
	"time"

	"valvecove/internal/testbed/scenario"
)

// Prices of schedulers' actions, as fractions of the result. Schedulers weigh their choices by them. The testbed's own
// metrics count the actions and apply no prices.
const (
	healthCheckPrice = 0.004
	wastePrice       = 0.05
	lateFailurePrice = 0.08
)

// Weights of the parts of a result; they sum to 1.
const (
	wholeWeight       = 0.4
	worstClassWeight  = 0.2
	worstTenantWeight = 0.25
	worstWindowWeight = 0.15
)

// Durations that scenarios do not define.
const (
	schedulingCycle    = micros(4 * time.Millisecond)             // minimum time between two batches of a batching scheduler
	defaultAnswerSlack = scenario.Duration(16 * time.Millisecond) // after a deadline, if the scenario defines no slack
)

// The platform's names of queue orders of a worker.
const (
	queueFIFO     = "fifo"
	queueBackfill = "backfill"
)

// anyKind takes the place of a machine type's index for a class that may run on all types.
const anyKind = -1

// idempotencyNames maps each of a scenario's idempotency levels to the platform's name.
var idempotencyNames = map[string]string{"safe": "pure", "keyed": "token", "unsafe": "side_effect"}

// newSettings derives the settings of one scheduler.
func newSettings(spec *scenario.Scenario, scheduler int) settings {
	derived := settings{
		Family:          "jobs",
		Levels:          []string{"workers"},
		Replicas:        spec.Schedulers.Count,
		ReplicaIndex:    scheduler,
		Zone:            spec.ZoneOf(scheduler),
		Zones:           spec.Fleet.Zones,
		Discovery:       "subscribe",
		Round:           schedulingCycle,
		WeightSource:    spec.Fleet.Weights,
		WeightBy:        "work",
		OverQuotaWeight: spec.Load.OverQuotaWeight,
		Bounds:          newBounds(spec),
		Prices:          prices{LateFail: lateFailurePrice, Peer: spec.Peers.Price, HealthCheck: healthCheckPrice, Waste: wastePrice},
		Rules:           newRules(&spec.Rules),
		Goal: goal{
			Whole:       wholeWeight,
			WorstClass:  worstClassWeight,
			WorstTenant: worstTenantWeight,
			WorstWindow: worstWindowWeight,
		},
		Telemetry: telemetry{Fields: []string{}, Via: "off"},
	}
	derived.Clients.MarksRetry = spec.Clients.MarkRetry
	derived.setKinds(spec.Fleet.Kinds)
	for i := range spec.Classes {
		derived.addClass(&spec.Classes[i])
	}
	for i, described := range spec.Tenants {
		derived.Tenants = append(derived.Tenants, tenant{
			Name:      described.Name,
			Quota:     described.Quota,
			QuotaPerS: spec.QuotaRate(i),
		})
	}
	return derived
}

// newBounds derives the features that the schedulers of a scenario may use, and the limits on them.
func newBounds(spec *scenario.Scenario) bounds {
	schedulers := &spec.Schedulers
	return bounds{
		AttemptLimit:    schedulers.AttemptLimit,
		Hedging:         schedulers.Hedging,
		Cancellation:    schedulers.Cancellation,
		HealthChecks:    schedulers.HealthChecks,
		Peers:           spec.Peers.On,
		RetryAfter:      schedulers.MaxRetryAfter > 0,
		MaxRetryAfter:   micros(schedulers.MaxRetryAfter),
		ConnectTimeout:  micros(schedulers.ConnTimeout),
		ConnIdleTimeout: micros(schedulers.ConnIdleTimeout),
		Multiplex:       1,
	}
}

// newRules derives the rules, except those that setKinds derives from the kinds of workers.
func newRules(described *scenario.Rules) rules {
	return rules{
		AnswerSlack:    micros(cmp.Or(described.Slack, defaultAnswerSlack)),
		PollInterval:   micros(described.PollInterval),
		OverloadWindow: micros(described.OverloadWindow),
		OverloadFactor: described.OverloadFactor,
		DrainGrace:     micros(described.DrainGrace),
	}
}

// setKinds describes the workers by values that hold for every kind: the longest warm-up, the smallest capacity after a
// start, the longest progress interval, and only the notifications that every kind sends.
func (s *settings) setKinds(kinds []scenario.WorkerKind) {
	s.Domain = domain{
		StartNotifications: true,
		QueueOrder:         queueBackfill,
		Callbacks:          "1 it has started, 2 share done",
	}
	s.Rules.WarmUpCapacity = 1
	for i := range kinds {
		kind := &kinds[i]
		s.Kinds = append(s.Kinds, kind.Name)
		s.Rules.WarmUp = max(s.Rules.WarmUp, micros(kind.WarmUp))
		s.Rules.WarmUpCapacity = min(s.Rules.WarmUpCapacity, kind.WarmUpCapacity)
		s.Domain.StartNotifications = s.Domain.StartNotifications && !kind.OmitsStartNotifications
		s.Domain.ProgressInterval = max(s.Domain.ProgressInterval, micros(kind.ProgressInterval))
		if kind.QueueOrder != queueBackfill {
			s.Domain.QueueOrder = queueFIFO
		}
	}
	if slices.ContainsFunc(kinds, sendsNoProgress) {
		s.Domain.ProgressInterval = 0
	}
}

// sendsNoProgress reports whether workers of the kind send no progress notifications.
func sendsNoProgress(kind scenario.WorkerKind) bool {
	return kind.ProgressInterval == 0 || kind.OmitsStartNotifications
}

// addClass adds the description of a class. setKinds must have been called before.
func (s *settings) addClass(described *scenario.Class) {
	kind := anyKind
	var boundTo []int
	if described.Kind != "" {
		kind = slices.Index(s.Kinds, described.Kind)
		boundTo = []int{kind}
	}
	s.Classes = append(s.Classes, class{
		Name:                described.Name,
		LatencyObjective:    micros(described.LatencyObjective),
		ClientTimeout:       micros(described.Deadline),
		Idempotency:         idempotencyNames[described.Idempotency],
		DeduplicationScope:  cmp.Or(described.DeduplicationScope, "all"),
		DeduplicationWindow: micros(described.DeduplicationWindow),
		PriorityWeight:      described.PriorityWeight,
		BoundTo:             boundTo,
	})
	s.Domain.ClassKind = append(s.Domain.ClassKind, kind)
	s.Domain.ClassObjectiveStretch = append(s.Domain.ClassObjectiveStretch, described.ObjectiveStretch)
}
