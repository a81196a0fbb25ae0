package scenario

import "time"

// LiveNodes is where live ends: each worker node is a listener of its own, and each scheduler may hold connections to
// all of them. Larger fleets are virtual only.
const LiveNodes = 1000

// The load where a scenario names none.
const defaultOf = 0.6

const (
	us = Span(time.Microsecond)
	ms = Span(time.Millisecond)
	s1 = Span(time.Second)
)

// Default is a calm play of the co-operative's deployment as it is today.
func Default() *Scenario {
	s := &Scenario{
		Length:  20 * s1,
		Drivers: []string{Virtual, Live},
		Fleet:   Fleet{Nodes: 10, Zones: []string{"a"}, CellSize: 4, Weights: "rough", Kinds: defaultKinds()},
		Classes: []Class{
			{
				Name: "status-check", Share: 0.43, Work: 160 * ms, Dist: "lognormal", CV: 0.7, Noise: 0.1,
				Slots: []float64{1}, Aim: 80 * ms, Stretch: 2.5, Deadline: 5 * s1, Worth: 2, Effect: "safe",
				Group: "all", Window: 5 * s1,
			},
			{
				Name: "recipient-screen", Share: 0.21, Work: 950 * ms, Dist: "lognormal", CV: 0.7, Noise: 0.1,
				Slots: []float64{0.5, 0.3, 0.2}, Aim: 300 * ms, Stretch: 2.5, Deadline: 12 * s1, Worth: 1, Effect: "safe",
				Group: "all", Window: 5 * s1,
			},
			{
				Name: "cash-payout", Share: 0.19, Work: 640 * ms, Dist: "lognormal", CV: 0.7, Noise: 0.1,
				Slots: []float64{0.7, 0.3}, Aim: 500 * ms, Stretch: 2, Deadline: 7500 * ms, Worth: 2, Effect: "unsafe",
				Group: "all", Window: 5 * s1,
			},
			{
				Name: "account-credit", Share: 0.17, Work: 950 * ms, Dist: "lognormal", CV: 0.7, Noise: 0.1,
				Slots: []float64{0.7, 0.3}, Aim: 500 * ms, Stretch: 1.75, Deadline: 12 * s1, Worth: 3, Effect: "keyed",
				Group: "cell", Window: 20 * s1,
			},
		},
		Tenants: []Tenant{
			{Name: "khyber-society", Share: 0.43, Usage: 1},
			{Name: "mardan-society", Share: 0.37, Usage: 1},
			{Name: "swat-society", Share: 0.2, Usage: 1},
		},
		Load:    Load{Shape: "steady", Swing: 0.3, Hints: "rough", OverWorth: 0.1, Quota: 0.8},
		Clients: Clients{Retries: 2, Backoff: 500 * ms, Honour: 0.8, TryShare: 1},
		Net:     Net{Delay: 200 * us, Cross: ms, Client: 500 * us, Jitter: 0.2, Handshake: 200 * us},
		Discovery: Discovery{
			Notice: s1, SilentNotice: 8 * s1, Add: s1, Period: 400 * ms,
			Timeout: 3 * s1,
		},
		Front: Front{Notice: 2 * s1},
		Schedulers: Schedulers{
			Count: 1, Cores: 1, MemoryMB: 64, Sockets: 384, TryLimit: 6, SecondCopies: true,
			Cancelling: true, Probes: true, MaxRetryAfter: 2 * s1, ConnIdle: 60 * s1, ConnTimeout: 250 * ms,
			StartOver: 200 * ms,
		},
		Rules: Rules{
			DrainGrace: 500 * ms, AskEvery: 10 * s1, FallFactor: 3, Fall: 2 * s1, BadAnswered: 3 * s1,
			GiveUpWithin: 250 * ms,
		},
	}
	s.derive(func(string) bool { return false })
	return s
}

func defaultKinds() []Kind {
	std, slow := plainKind(), plainKind()
	std.Name, std.Share, std.Speed = "std-4c", 0.51, 0.97
	slow.Name, slow.Share, slow.Speed = "slow-4c", 0.49, 0.75
	return []Kind{std, slow}
}

// plainKind is a kind of worker node that says nothing of itself but its name.
func plainKind() Kind {
	return Kind{
		Share: 1, Cores: 4, Speed: 1, Spread: 0.08, Slots: 4, Queue: 24, Order: "fifo", ColdFrom: 0.35,
		Cold: 8 * s1, WarmBy: "time", Conns: 128, Handshake: ms, Idle: 60 * s1, Expired: "run", Progress: 2 * s1,
		ProbeWork: 50 * us, Accept: ms, NoteLate: 2 * ms, NoteEarly: 0.02, NoteTwice: 0.005, NoteLost: 0.002,
	}
}

// plainClass is a class of jobs that says nothing of itself but its name.
func plainClass() Class {
	return Class{
		Share: 1, Work: 200 * ms, Dist: "lognormal", CV: 0.7, Noise: 0.1, Slots: []float64{1}, Aim: 200 * ms,
		Stretch: 2, Deadline: 5 * s1, Worth: 1, Effect: "safe", Group: "all", Window: 5 * s1,
	}
}

// derive fills in what follows from other keys, where it was not given.
func (s *Scenario) derive(given func(key string) bool) {
	if !given("drivers") {
		s.Drivers = []string{Virtual, Live}
		if s.Fleet.Nodes > LiveNodes {
			s.Drivers = []string{Virtual}
		}
	}
	if !given("settle") {
		s.Settle = 0
		for i := range s.Classes {
			s.Settle = max(s.Settle, s.Classes[i].Deadline)
		}
		s.Settle += 2 * s1
	}
	if l := &s.Load; !given("load.of") {
		if l.Of = 0; !given("load.rate") && !given("load.closed") && l.Rate == 0 && l.Closed == 0 {
			l.Of = defaultOf
		}
	}
	if l := &s.Load; !given("load.hint_factor") {
		if l.HintFactor = 0.5; l.Hints == "wrong" {
			l.HintFactor = 3
		}
	}
	for i := range s.Faults {
		if f := &s.Faults[i]; FaultKinds[f.What] == "net" {
			if f.Between == "" {
				f.Between = "schedulers"
			}
			if f.And == "" {
				f.And = "nodes"
			}
		}
		if f := &s.Faults[i]; FaultKinds[f.What] == "planners" {
			if f.Between == "" {
				f.Between = "planners"
			}
			if f.And == "" {
				f.And = "schedulers"
			}
		}
		if f := &s.Faults[i]; f.Size == 0 {
			f.Size = faultRules[f.What].size
		}
	}
}
