package scenario

import "time"

// MaxProcessWorkers is where live ends: each worker is a listener of its own, and each scheduler may hold connections to
// all of them. Larger fleets are virtual only.
const MaxProcessWorkers = 1000

// The load where a scenario names none.
const defaultOf = 0.6

const (
	microsecond = Duration(time.Microsecond)
	millisecond = Duration(time.Millisecond)
	second      = Duration(time.Second)
)

// Default is a calm play of the co-operative's deployment as it is today.
func Default() *Scenario {
	spec := &Scenario{
		Length:  20 * second,
		Drivers: []string{DriverSimulation, DriverProcess},
		Fleet:   Fleet{Workers: 10, Zones: []string{"a"}, CellSize: 4, Weights: "rough", Kinds: defaultWorkerKinds()},
		Classes: []Class{
			{
				Name: "status-check", Share: 0.43, Work: 160 * millisecond, Distribution: "lognormal", CV: 0.7, Noise: 0.1,
				Slots: []float64{1}, LatencyObjective: 80 * millisecond, ObjectiveStretch: 2.5, Deadline: 5 * second, PriorityWeight: 2, Idempotency: "safe",
				DeduplicationScope: "all", DeduplicationWindow: 5 * second,
			},
			{
				Name: "recipient-screen", Share: 0.21, Work: 950 * millisecond, Distribution: "lognormal", CV: 0.7, Noise: 0.1,
				Slots: []float64{0.5, 0.3, 0.2}, LatencyObjective: 300 * millisecond, ObjectiveStretch: 2.5, Deadline: 12 * second, PriorityWeight: 1, Idempotency: "safe",
				DeduplicationScope: "all", DeduplicationWindow: 5 * second,
			},
			{
				Name: "cash-payout", Share: 0.19, Work: 640 * millisecond, Distribution: "lognormal", CV: 0.7, Noise: 0.1,
				Slots: []float64{0.7, 0.3}, LatencyObjective: 500 * millisecond, ObjectiveStretch: 2, Deadline: 7500 * millisecond, PriorityWeight: 2, Idempotency: "unsafe",
				DeduplicationScope: "all", DeduplicationWindow: 5 * second,
			},
			{
				Name: "account-credit", Share: 0.17, Work: 950 * millisecond, Distribution: "lognormal", CV: 0.7, Noise: 0.1,
				Slots: []float64{0.7, 0.3}, LatencyObjective: 500 * millisecond, ObjectiveStretch: 1.75, Deadline: 12 * second, PriorityWeight: 3, Idempotency: "keyed",
				DeduplicationScope: "cell", DeduplicationWindow: 20 * second,
			},
		},
		Tenants: []Tenant{
			{Name: "khyber-society", Quota: 0.43, Usage: 1},
			{Name: "mardan-society", Quota: 0.37, Usage: 1},
			{Name: "swat-society", Quota: 0.2, Usage: 1},
		},
		Load:    Load{Shape: "steady", Swing: 0.3, Hints: "rough", OverQuotaWeight: 0.1, Quota: 0.8},
		Clients: Clients{Retries: 2, Backoff: 500 * millisecond, HonourRetryAfter: 0.8, RequestTimeoutShare: 1},
		Network: Network{Delay: 200 * microsecond, CrossZone: millisecond, ClientDelay: 500 * microsecond, Jitter: 0.2, Handshake: 200 * microsecond},
		Discovery: Discovery{
			NoticeDelay: second, SilentNoticeDelay: 8 * second, AddDelay: second, Period: 400 * millisecond,
			Timeout: 3 * second,
		},
		LoadBalancer: LoadBalancer{NoticeDelay: 2 * second},
		Schedulers: Schedulers{
			Count: 1, Cores: 1, MemoryMB: 64, Sockets: 384, AttemptLimit: 6, Hedging: true,
			Cancellation: true, HealthChecks: true, MaxRetryAfter: 2 * second, ConnIdleTimeout: 60 * second, ConnTimeout: 250 * millisecond,
			StartSpread: 200 * millisecond,
		},
		Rules: Rules{
			DrainGrace: 500 * millisecond, PollInterval: 10 * second, OverloadFactor: 3, OverloadWindow: 2 * second, MisbehaviorDeadline: 3 * second,
			RejectionDeadline: 250 * millisecond,
		},
	}
	spec.applyDerivedDefaults(func(string) bool { return false })
	return spec
}

func defaultWorkerKinds() []WorkerKind {
	std, slow := plainWorkerKind(), plainWorkerKind()
	std.Name, std.Share, std.Speed = "std-4c", 0.51, 0.97
	slow.Name, slow.Share, slow.Speed = "slow-4c", 0.49, 0.75
	return []WorkerKind{std, slow}
}

// plainWorkerKind is a kind of worker that says nothing of itself but its name.
func plainWorkerKind() WorkerKind {
	return WorkerKind{
		Share: 1, Cores: 4, Speed: 1, Spread: 0.08, Slots: 4, Queue: 24, QueueOrder: "fifo", WarmUpCapacity: 0.35,
		WarmUp: 8 * second, WarmUpBy: "time", ConnLimit: 128, Handshake: millisecond, ConnIdleTimeout: 60 * second, ExpiredJobs: "run", ProgressInterval: 2 * second,
		HealthCheckWork: 50 * microsecond, Accept: millisecond, CallbackDelay: 2 * millisecond, CallbackEarlyShare: 0.02, CallbackTwiceShare: 0.005, CallbackLossShare: 0.002,
	}
}

// plainClass is a class of jobs that says nothing of itself but its name.
func plainClass() Class {
	return Class{
		Share: 1, Work: 200 * millisecond, Distribution: "lognormal", CV: 0.7, Noise: 0.1, Slots: []float64{1}, LatencyObjective: 200 * millisecond,
		ObjectiveStretch: 2, Deadline: 5 * second, PriorityWeight: 1, Idempotency: "safe", DeduplicationScope: "all", DeduplicationWindow: 5 * second,
	}
}

// applyDerivedDefaults fills in what follows from other keys, where it was not given.
func (s *Scenario) applyDerivedDefaults(given func(key string) bool) {
	if !given("drivers") {
		s.Drivers = []string{DriverSimulation, DriverProcess}
		if s.Fleet.Workers > MaxProcessWorkers {
			s.Drivers = []string{DriverSimulation}
		}
	}
	if !given("settle") {
		s.Settle = 0
		for i := range s.Classes {
			s.Settle = max(s.Settle, s.Classes[i].Deadline)
		}
		s.Settle += 2 * second
	}
	if l := &s.Load; !given("load.of") {
		if l.CapacityShare = 0; !given("load.rate") && !given("load.closed") && l.Rate == 0 && l.ClosedClients == 0 {
			l.CapacityShare = defaultOf
		}
	}
	if l := &s.Load; !given("load.hint_factor") {
		if l.HintFactor = 0.5; l.Hints == "wrong" {
			l.HintFactor = 3
		}
	}
	for i := range s.Faults {
		if f := &s.Faults[i]; FaultKinds[f.Kind] == "net" {
			if f.Between == "" {
				f.Between = "schedulers"
			}
			if f.And == "" {
				f.And = "nodes"
			}
		}
		if f := &s.Faults[i]; FaultKinds[f.Kind] == "planners" {
			if f.Between == "" {
				f.Between = "planners"
			}
			if f.And == "" {
				f.And = "schedulers"
			}
		}
		if f := &s.Faults[i]; f.Size == 0 {
			f.Size = faultRules[f.Kind].size
		}
	}
}
