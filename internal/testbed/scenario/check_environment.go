package scenario

import "valvecove/internal/config"

func (s *Scenario) checkLoad(check *validator) {
	load := &s.Load
	given := 0
	for _, amount := range []struct {
		key             string
		value, maxValue float64
	}{
		{"load.of", load.CapacityShare, maxCapacityShare},
		{"load.rate", load.Rate, maxRate},
		{"load.closed", float64(load.ClosedClients), maxClosedClients},
	} {
		check.inRange(amount.key, amount.value, 0, amount.maxValue)
		if amount.value > 0 {
			given++
		}
	}
	if given != 1 {
		check.report("load", "expected exactly one of load.of, load.rate and load.closed above 0, got %d of them", given)
	}
	check.oneOf("load.shape", load.Shape, "steady", "bursty", "swell", "month_start")
	check.inRange("load.swing", load.Swing, 0, 1)
	check.oneOf("load.hints", load.Hints, "none", "exact", "rough", hintsWrong)
	check.inRange("load.hint_factor", load.HintFactor, 0, 1000)
	if load.Hints == hintsWrong {
		check.inRange("load.hint_factor", load.HintFactor, 0.001, 1000)
	}
	check.inRange("load.over_worth", load.OverQuotaWeight, 0, 1)
	check.inRange("load.quota", load.Quota, 0.001, 100)
}

// checkClients checks the clients and the misbehaving clients.
func (s *Scenario) checkClients(check *validator) {
	clients := &s.Clients
	check.intInRange("clients.retries", clients.Retries, 0, 100)
	check.durationInRange("clients.backoff", clients.Backoff, 0, maxDuration)
	check.inRange("clients.honour", clients.HonourRetryAfter, 0, 1)
	check.inRange("clients.impatient", clients.Impatient, 0, 1)
	check.inRange("clients.try_share", clients.RequestTimeoutShare, 0.01, 1)
	for i := range s.Misbehaving {
		misbehaving, key := &s.Misbehaving[i], entryKey("bad", i)
		check.oneOf(key+".kind", misbehaving.Kind, MisbehaviorKinds...)
		check.inRange(key+".rate", misbehaving.Rate, 0.001, 100_000)
		check.durationInRange(key+".at", misbehaving.At, 0, s.Length-1)
		check.durationInRange(key+".for", misbehaving.Duration, 0, maxDuration)
		if !s.SupportsDriver(DriverProcess) {
			check.report(key, "misbehaving clients need the driver live, which is not among drivers")
		}
	}
}

// checkDurations checks the durations of the environment, schedulers and rules.
func (s *Scenario) checkDurations(check *validator) {
	network, discovery, schedulers, rules := &s.Network, &s.Discovery, &s.Schedulers, &s.Rules
	check.durationsInRange("", []durationLimit{
		{"net.delay", network.Delay, 0, maxNetworkDelay},
		{"net.cross", network.CrossZone, 0, maxNetworkDelay},
		{"net.client", network.ClientDelay, 0, maxNetworkDelay},
		{"net.handshake", network.Handshake, 0, maxNetworkDelay},
		{"net.drops_idle", network.DropsIdleAfter, 0, maxDuration},
		{"discovery.notice", discovery.NoticeDelay, 0, maxDuration},
		{"discovery.silent_notice", discovery.SilentNoticeDelay, 0, maxDuration},
		{"discovery.add", discovery.AddDelay, 0, maxDuration},
		{"discovery.period", discovery.Period, millisecond, maxDuration},
		{"discovery.timeout", discovery.Timeout, millisecond, maxDuration},
		{"front.notice", s.LoadBalancer.NoticeDelay, 0, maxDuration},
		{"schedulers.max_retry_after", schedulers.MaxRetryAfter, 0, maxDuration},
		{"schedulers.conn_idle", schedulers.ConnIdleTimeout, 0, maxDuration},
		{"schedulers.conn_timeout", schedulers.ConnTimeout, millisecond, maxDuration},
		{"schedulers.start_over", schedulers.StartSpread, 0, s.Length},
		{"rules.slack", rules.Slack, 0, maxDuration},
		{"rules.drain_grace", rules.DrainGrace, millisecond, maxDuration},
		{"rules.ask_every", rules.PollInterval, millisecond, maxDuration},
		{"rules.fall", rules.OverloadWindow, millisecond, maxDuration},
		{"rules.bad_answered", rules.MisbehaviorDeadline, millisecond, maxDuration},
		{"rules.give_up_within", rules.RejectionDeadline, millisecond, maxDuration},
	})
}

const maxNetworkDelay = 10 * second

// checkEnvironment checks the values of the environment, schedulers, planners and rules that checkDurations doesn't check.
func (s *Scenario) checkEnvironment(check *validator) {
	schedulers := &s.Schedulers
	check.inRange("net.jitter", s.Network.Jitter, 0, 10)
	check.inRange("discovery.capacity", s.Discovery.Capacity, 0, 1e9)
	check.intInRange("schedulers.count", schedulers.Count, 1, maxSchedulers)
	check.intInRange("planners.count", s.Planners.Count, 0, maxPlanners)
	check.intInRange("planners.idle", s.Planners.Idle, 0, s.Planners.Count)
	check.durationInRange("planners.drops", s.Planners.Drops, 0, maxDuration)
	if s.Planners.Count > 0 && s.SupportsDriver(DriverProcess) {
		check.report("drivers", "planners run only with the driver virtual, and live is among drivers")
	}
	check.inRange("schedulers.cores", schedulers.Cores, 0.01, 64)
	check.intInRange("schedulers.memory_mb", schedulers.MemoryMB, 16, 65536)
	check.intInRange("schedulers.sockets", schedulers.Sockets, 64, 1<<20)
	check.intInRange("schedulers.try_limit", schedulers.AttemptLimit, 1, 100)
	if _, err := config.DecodeOps(schedulers.OperationsFile); err != nil {
		check.report("schedulers.ops", "%w", err)
	}
	check.inRange("rules.fall_factor", s.Rules.OverloadFactor, 1, 1000)
}
