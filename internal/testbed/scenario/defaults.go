package scenario

import (
	"cmp"
	"reflect"
)

// MaxProcessWorkers is the largest fleet that the process driver runs: each worker is a listener of its own, and each
// scheduler may have connections to all of them. Larger fleets run in the simulation driver only.
const MaxProcessWorkers = 1000

const (
	defaultCapacityShare = 0.6        // load.of, if load.rate and load.closed are absent too
	defaultHintSpread    = 0.5        // log-normal spread of rough hints
	defaultHintFactor    = 3          // of wrong hints
	settleAfterDeadline  = 2 * second // added to the longest deadline
)

// hintsWrong is the value of load.hints for hints that are all wrong by the same factor.
const hintsWrong = "wrong"

// Default returns a run of the real deployment's fleet, classes and tenants, without faults.
func Default() *Scenario {
	scenario := &Scenario{
		Length: 20 * second,
		Fleet: Fleet{
			Workers: 10, Zones: []string{"a"}, CellSize: 4, Weights: "rough",
			Kinds: deployedWorkerKinds(),
		},
		Classes: deployedClasses(),
		Tenants: []Tenant{
			{Name: "khyber-society", Quota: 0.43, Usage: 1},
			{Name: "mardan-society", Quota: 0.37, Usage: 1},
			{Name: "swat-society", Quota: 0.2, Usage: 1},
		},
		Load:    Load{Shape: "steady", Swing: 0.3, Hints: "rough", OverQuotaWeight: 0.1, Quota: 0.8},
		Clients: Clients{Retries: 2, Backoff: 500 * millisecond, HonourRetryAfter: 0.8, RequestTimeoutShare: 1},
		Network: Network{
			Delay: 200 * microsecond, CrossZone: millisecond, ClientDelay: 500 * microsecond,
			Jitter: 0.2, Handshake: 200 * microsecond,
		},
		Discovery: Discovery{
			NoticeDelay: second, SilentNoticeDelay: 8 * second, AddDelay: second,
			Period: 400 * millisecond, Timeout: 3 * second,
		},
		LoadBalancer: LoadBalancer{NoticeDelay: 2 * second},
		Schedulers: Schedulers{
			Count: 1, Cores: 1, MemoryMB: 64, Sockets: 384,
			AttemptLimit: 6, Hedging: true, Cancellation: true, HealthChecks: true, MaxRetryAfter: 2 * second,
			ConnIdleTimeout: 60 * second, ConnTimeout: 250 * millisecond, StartSpread: 200 * millisecond,
		},
		Rules: Rules{
			DrainGrace: 500 * millisecond, PollInterval: 10 * second, OverloadFactor: 3, OverloadWindow: 2 * second,
			MisbehaviorDeadline: 3 * second, RejectionDeadline: 250 * millisecond,
		},
	}
	scenario.applyDerivedDefaults(noneGiven)
	return scenario
}

// deployedClasses returns the classes of jobs of the real deployment.
func deployedClasses() []Class {
	return []Class{
		{
			Name: "status-check", Share: 0.43,
			Work: 160 * millisecond, Distribution: "lognormal", CV: 0.7, Noise: 0.1, Slots: []float64{1},
			LatencyObjective: 80 * millisecond, ObjectiveStretch: 2.5, Deadline: 5 * second, PriorityWeight: 2,
			Idempotency: "safe", DeduplicationScope: "all", DeduplicationWindow: 5 * second,
		},
		{
			Name: "recipient-screen", Share: 0.21,
			Work: 950 * millisecond, Distribution: "lognormal", CV: 0.7, Noise: 0.1, Slots: []float64{0.5, 0.3, 0.2},
			LatencyObjective: 300 * millisecond, ObjectiveStretch: 2.5, Deadline: 12 * second, PriorityWeight: 1,
			Idempotency: "safe", DeduplicationScope: "all", DeduplicationWindow: 5 * second,
		},
		{
			Name: "cash-payout", Share: 0.19,
			Work: 640 * millisecond, Distribution: "lognormal", CV: 0.7, Noise: 0.1, Slots: []float64{0.7, 0.3},
			LatencyObjective: 500 * millisecond, ObjectiveStretch: 2, Deadline: 7500 * millisecond, PriorityWeight: 2,
			Idempotency: "unsafe", DeduplicationScope: "all", DeduplicationWindow: 5 * second,
		},
		{
			Name: "account-credit", Share: 0.17,
			Work: 950 * millisecond, Distribution: "lognormal", CV: 0.7, Noise: 0.1, Slots: []float64{0.7, 0.3},
			LatencyObjective: 500 * millisecond, ObjectiveStretch: 1.75, Deadline: 12 * second, PriorityWeight: 3,
			Idempotency: "keyed", DeduplicationScope: "cell", DeduplicationWindow: 20 * second,
		},
	}
}

// deployedWorkerKinds returns the kinds of workers of the real deployment.
func deployedWorkerKinds() []WorkerKind {
	standard := defaultWorkerKind()
	standard.Name, standard.Share, standard.Speed = "std-4c", 0.51, 0.97
	slow := defaultWorkerKind()
	slow.Name, slow.Share, slow.Speed = "slow-4c", 0.49, 0.75
	return []WorkerKind{standard, slow}
}

// defaultWorkerKind returns the defaults for keys that an entry of fleet.kind lacks.
func defaultWorkerKind() WorkerKind {
	return WorkerKind{
		Share: 1, Cores: 4, Speed: 1, Spread: 0.08, Slots: 4, Queue: 24, QueueOrder: "fifo",
		WarmUpCapacity: 0.35, WarmUp: 8 * second, WarmUpBy: "time",
		ConnLimit: 128, Handshake: millisecond, ConnIdleTimeout: 60 * second, ExpiredJobs: "run",
		ProgressInterval: 2 * second, HealthCheckWork: 50 * microsecond, Accept: millisecond,
		CallbackDelay: 2 * millisecond, CallbackEarlyShare: 0.02, CallbackTwiceShare: 0.005, CallbackLossShare: 0.002,
	}
}

// defaultClass returns the defaults for keys that an entry of class lacks.
func defaultClass() Class {
	return Class{
		Share: 1, Work: 200 * millisecond, Distribution: "lognormal", CV: 0.7, Noise: 0.1, Slots: []float64{1},
		LatencyObjective: 200 * millisecond, ObjectiveStretch: 2, Deadline: 5 * second, PriorityWeight: 1,
		Idempotency: "safe", DeduplicationScope: "all", DeduplicationWindow: 5 * second,
	}
}

// noneGiven reports that a key was not given, whatever the key.
func noneGiven(string) bool { return false }

// applyDerivedDefaults sets the keys that were not given and whose defaults depend on other keys.
func (s *Scenario) applyDerivedDefaults(given func(key string) bool) {
	if !given("drivers") {
		s.Drivers = s.defaultDrivers()
	}
	if !given("settle") {
		s.Settle = s.defaultSettle()
	}
	if !given("load.of") {
		hasOther := given("load.rate") || given("load.closed") || s.Load.Rate != 0 || s.Load.ClosedClients != 0
		s.Load.CapacityShare = 0
		if !hasOther {
			s.Load.CapacityShare = defaultCapacityShare
		}
	}
	if !given("load.hint_factor") {
		s.Load.HintFactor = defaultHintSpread
		if s.Load.Hints == hintsWrong {
			s.Load.HintFactor = defaultHintFactor
		}
	}
	for i := range s.Faults {
		s.Faults[i].applyDerivedDefaults()
	}
}

func (s *Scenario) defaultDrivers() []string {
	if s.Fleet.Workers > MaxProcessWorkers {
		return []string{DriverSimulation}
	}
	return []string{DriverSimulation, DriverProcess}
}

// defaultSettle is long enough for the last job to reach its deadline.
func (s *Scenario) defaultSettle() Duration {
	deadline := Duration(0)
	for i := range s.Classes {
		deadline = max(deadline, s.Classes[i].Deadline)
	}
	return deadline + settleAfterDeadline
}

func (f *Fault) applyDerivedDefaults() {
	rule := faultRules[f.Kind]
	switch rule.scope {
	case FaultScopeNetwork:
		f.Between = cmp.Or(f.Between, groupSchedulers)
		f.And = cmp.Or(f.And, groupWorkers)
	case FaultScopePlannerNetwork:
		f.Between = cmp.Or(f.Between, groupPlanners)
		f.And = cmp.Or(f.And, groupSchedulers)
	}
	if f.Size == 0 {
		f.Size = rule.size
	}
}

// defaultEntry returns an entry of a list with its defaults, before its keys are read.
func defaultEntry(entry reflect.Type) reflect.Value {
	switch entry {
	case reflect.TypeFor[WorkerKind]():
		return reflect.ValueOf(defaultWorkerKind())
	case reflect.TypeFor[Class]():
		return reflect.ValueOf(defaultClass())
	case reflect.TypeFor[Tenant]():
		return reflect.ValueOf(Tenant{Quota: 1, Usage: 1})
	}
	return reflect.Zero(entry)
}
